package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadarouter/dispatch"
)

func waiter(caller string, deadline time.Duration) *dispatch.Waiter {
	return &dispatch.Waiter{Caller: caller, Deadline: deadline, Admitted: make(chan struct{})}
}

func admitted(w *dispatch.Waiter) bool {
	select {
	case <-w.Admitted:
		return !w.Shed
	default:
		return false
	}
}

func decided(w *dispatch.Waiter) bool {
	select {
	case <-w.Admitted:
		return true
	default:
		return false
	}
}

// TestGateBounds checks that there are never more running requests than slots,
// never more waiting ones than the policy allows, and none waiting while a slot is
// free.
func TestGateBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, queue = 3, 2
		policy := dispatch.LimiterPolicy{MaxQueuePerSlot: queue, InitialServiceTime: 10 * time.Millisecond}
		gate := dispatch.NewConcurrencyLimiter(policy, slots, dispatch.NewRoundRobin())
		var now time.Duration
		var running, waiting []*dispatch.Waiter
		classify := func() {
			var still []*dispatch.Waiter
			for _, w := range waiting {
				switch {
				case admitted(w):
					running = append(running, w)
				case !decided(w):
					still = append(still, w)
				}
				// Shed waiters are dropped.
			}
			waiting = still
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				classify()
				if len(running) > slots || gate.InFlight() != len(running) {
					t.Fatalf("%d running, limiter reports %d, slots %d", len(running), gate.InFlight(), slots)
				}
				if len(waiting) > queue*slots {
					t.Fatalf("%d waiting", len(waiting))
				}
				if len(waiting) > 0 && len(running) < slots {
					t.Fatalf("%d waiting while a slot is free", len(waiting))
				}
			},
			"enter": func(t *rapid.T) {
				budget := time.Duration(rapid.IntRange(0, 200).Draw(t, "budget")) * time.Millisecond
				w := waiter(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"), now+budget)
				if ok, retryAfter := gate.Enqueue(now, w); ok {
					waiting = append(waiting, w)
				} else if retryAfter <= 0 {
					t.Fatalf("rejected without a retry delay")
				}
			},
			"exit": func(t *rapid.T) {
				if len(running) > 0 {
					running = running[1:]
					gate.Release(now, time.Duration(rapid.IntRange(1, 30).Draw(t, "held"))*time.Millisecond)
				}
			},
			"leave": func(t *rapid.T) {
				if len(waiting) > 0 {
					gate.Cancel(waiting[0])
					waiting = waiting[1:]
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
			},
		})
	})
}

// TestWaitBeyondDeadlineIsRejectedAtOnce checks that a request that cannot complete
// in time is rejected on arrival, not at its deadline.
func TestWaitBeyondDeadlineIsRejectedAtOnce(t *testing.T) {
	policy := dispatch.LimiterPolicy{MaxQueuePerSlot: 100, InitialServiceTime: 10 * time.Millisecond}
	gate := dispatch.NewConcurrencyLimiter(policy, 1, &dispatch.FIFO{})
	for range 3 {
		ok, _ := gate.Enqueue(0, waiter("", time.Second))
		assert.Assert(t, ok)
	}
	ok, retryAfter := gate.Enqueue(0, waiter("", 35*time.Millisecond))
	assert.Assert(t, !ok)
	assert.Equal(t, retryAfter, 30*time.Millisecond)
}

// TestQueueIsBounded checks that long deadlines do not make the queue exceed its
// limit.
func TestQueueIsBounded(t *testing.T) {
	const slots, queue = 2, 3
	gate := dispatch.NewConcurrencyLimiter(dispatch.LimiterPolicy{MaxQueuePerSlot: queue, InitialServiceTime: time.Millisecond}, slots, &dispatch.FIFO{})
	accepted := 0
	for range 100 {
		if ok, _ := gate.Enqueue(0, waiter("", time.Hour)); ok {
			accepted++
		}
	}
	assert.Equal(t, accepted, slots+slots*queue)
}

// A burst of one caller that fills the queue must not lock out other callers: a
// full queue evicts a waiter of the caller that filled it rather than rejecting the
// new request.
func TestBurstDoesNotKeepOthersOut(t *testing.T) {
	gate := dispatch.NewConcurrencyLimiter(dispatch.LimiterPolicy{MaxQueuePerSlot: 3, InitialServiceTime: time.Millisecond}, 1, dispatch.NewRoundRobin())
	var burst []*dispatch.Waiter
	for range 4 {
		w := waiter("burst", time.Second)
		ok, _ := gate.Enqueue(0, w)
		assert.Assert(t, ok)
		burst = append(burst, w)
	}
	ok, _ := gate.Enqueue(0, waiter("burst", time.Second))
	assert.Assert(t, !ok, "the burst got room for a further request of its own")
	ok, _ = gate.Enqueue(0, waiter("calm", time.Second))
	assert.Assert(t, ok)
	assert.Assert(t, burst[3].Shed, "the burst's newest waiter was not evicted")
	assert.Equal(t, gate.Waiting(), 3)
}

// TestRoundRobinIsFair checks that a burst of one caller does not delay another
// caller.
func TestRoundRobinIsFair(t *testing.T) {
	order := dispatch.NewRoundRobin()
	for range 10 {
		order.Push(0, waiter("burst", 0))
	}
	order.Push(0, waiter("calm", 0))
	assert.Equal(t, order.Pop(0).Caller, "burst")
	assert.Equal(t, order.Pop(0).Caller, "calm")
}

// TestBudgetBoundsRetries checks that retries are limited to a fraction of the
// first attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	budget := dispatch.NewRetryBudget(0.1, 5)
	retries := 0
	for range 1000 {
		budget.RecordFirstAttempt()
		if budget.TakeRetry() {
			retries++
		}
	}
	assert.Assert(t, retries <= 105 && retries >= 100, "%d retries", retries)
}
