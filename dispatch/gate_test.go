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

func settled(w *dispatch.Waiter) bool {
	select {
	case <-w.Admitted:
		return true
	default:
		return false
	}
}

// TestGateBounds: never more requests at a time than slots, never a longer queue
// than the policy says, and nobody is left waiting while a slot is free.
func TestGateBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, queue = 3, 2
		policy := dispatch.GatePolicy{Queue: queue, FirstService: 10 * time.Millisecond}
		gate := dispatch.NewGate(policy, slots, dispatch.NewRoundRobin())
		var now time.Duration
		var inside, waiting []*dispatch.Waiter
		sort := func() {
			var still []*dispatch.Waiter
			for _, w := range waiting {
				switch {
				case admitted(w):
					inside = append(inside, w)
				case !settled(w):
					still = append(still, w)
				}
				// Shed waiters are gone.
			}
			waiting = still
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				sort()
				if len(inside) > slots || gate.InFlight() != len(inside) {
					t.Fatalf("%d inside, gate says %d, slots %d", len(inside), gate.InFlight(), slots)
				}
				if len(waiting) > queue*slots {
					t.Fatalf("%d wait", len(waiting))
				}
				if len(waiting) > 0 && len(inside) < slots {
					t.Fatalf("%d wait while a slot is free", len(waiting))
				}
			},
			"enter": func(t *rapid.T) {
				budget := time.Duration(rapid.IntRange(0, 200).Draw(t, "budget")) * time.Millisecond
				w := waiter(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"), now+budget)
				if ok, comeBack := gate.Enter(now, w); ok {
					waiting = append(waiting, w)
				} else if comeBack <= 0 {
					t.Fatalf("refused without a time to come back")
				}
			},
			"exit": func(t *rapid.T) {
				if len(inside) > 0 {
					inside = inside[1:]
					gate.Exit(now, time.Duration(rapid.IntRange(1, 30).Draw(t, "held"))*time.Millisecond)
				}
			},
			"leave": func(t *rapid.T) {
				if len(waiting) > 0 {
					gate.Leave(waiting[0])
					waiting = waiting[1:]
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond
			},
		})
	})
}

// TestHopelessWaitIsRefusedAtOnce: who cannot be served in time is told so when
// it comes, not when its time is over.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	policy := dispatch.GatePolicy{Queue: 100, FirstService: 10 * time.Millisecond}
	gate := dispatch.NewGate(policy, 1, &dispatch.FIFO{})
	for range 3 {
		ok, _ := gate.Enter(0, waiter("", time.Second))
		assert.Assert(t, ok)
	}
	ok, comeBack := gate.Enter(0, waiter("", 35*time.Millisecond))
	assert.Assert(t, !ok)
	assert.Equal(t, comeBack, 30*time.Millisecond)
}

// TestQueueIsBounded: patience alone does not make the queue longer.
func TestQueueIsBounded(t *testing.T) {
	const slots, queue = 2, 3
	gate := dispatch.NewGate(dispatch.GatePolicy{Queue: queue, FirstService: time.Millisecond}, slots, &dispatch.FIFO{})
	taken := 0
	for range 100 {
		if ok, _ := gate.Enter(0, waiter("", time.Hour)); ok {
			taken++
		}
	}
	assert.Equal(t, taken, slots+slots*queue)
}

// Symptom: calm callers are refused while one caller bursts.
// Sequence: the burst fills the queue; a calm caller's request comes.
// Cause: a full queue turned away whoever came, not who filled it.
func TestBurstDoesNotKeepOthersOut(t *testing.T) {
	gate := dispatch.NewGate(dispatch.GatePolicy{Queue: 3, FirstService: time.Millisecond}, 1, dispatch.NewRoundRobin())
	var burst []*dispatch.Waiter
	for range 4 {
		w := waiter("burst", time.Second)
		ok, _ := gate.Enter(0, w)
		assert.Assert(t, ok)
		burst = append(burst, w)
	}
	ok, _ := gate.Enter(0, waiter("burst", time.Second))
	assert.Assert(t, !ok, "the burst makes no room for itself")
	ok, _ = gate.Enter(0, waiter("calm", time.Second))
	assert.Assert(t, ok)
	assert.Assert(t, burst[3].Shed, "the burst's newest waiter made room")
	assert.Equal(t, gate.Waiting(), 3)
}

// TestRoundRobinIsFair: a caller's burst does not delay another caller.
func TestRoundRobinIsFair(t *testing.T) {
	order := dispatch.NewRoundRobin()
	for range 10 {
		order.Push(0, waiter("burst", 0))
	}
	order.Push(0, waiter("calm", 0))
	assert.Equal(t, order.Pop(0).Caller, "burst")
	assert.Equal(t, order.Pop(0).Caller, "calm")
}

// TestBudgetBoundsRetries: retries stay a share of first attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	budget := dispatch.NewBudget(0.1, 5)
	retries := 0
	for range 1000 {
		budget.First()
		if budget.Retry() {
			retries++
		}
	}
	assert.Assert(t, retries <= 105 && retries >= 100, "%d retries", retries)
}
