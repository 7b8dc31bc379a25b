package dispatch

import (
	"time"
)

// Waiter is a request that waits for a slot at a server.
type Waiter struct {
	// Caller is the client account that the request counts against.
	Caller string
	// Deadline is when the request's result is of no more use, on the limiter's
	// clock.
	Deadline time.Duration
	// Admitted is closed when the request has a slot or was shed.
	Admitted chan struct{}
	// Shed is set before Admitted is closed if the request was rejected while it
	// waited.
	Shed bool

	admitted  bool
	cancelled bool
}

// Order decides which waiter is admitted next. Implementations are not safe for
// concurrent use.
type Order interface {
	// Push adds a waiter.
	Push(now time.Duration, waiter *Waiter)
	// Pop removes and returns the next waiter, or returns nil if there is none.
	Pop(now time.Duration) *Waiter
	// Len returns the number of waiters, including cancelled ones.
	Len() int
	// CountAhead returns how many waiters would be admitted before a new one of the
	// caller.
	CountAhead(now time.Duration, caller string) int
	// Evict removes and returns the waiter that is to make room for a new one of
	// the caller. It returns nil if the new one takes precedence over none.
	Evict(now time.Duration, caller string) *Waiter
}

// LimiterPolicy configures a ConcurrencyLimiter.
type LimiterPolicy struct {
	// MaxQueuePerSlot is the maximum number of waiting requests per slot.
	MaxQueuePerSlot int
	// InitialServiceTime is the service time assumed before the first measurement.
	InitialServiceTime time.Duration
}

// DefaultLimiterPolicy returns the policy that docs/design/dispatch.md evaluates.
func DefaultLimiterPolicy() LimiterPolicy {
	const queuePerSlot = 16
	return LimiterPolicy{MaxQueuePerSlot: queuePerSlot, InitialServiceTime: 2 * time.Millisecond}
}

// ConcurrencyLimiter admits requests to one backend server: never more at a time
// than the server has slots, and none that is not expected to complete within its
// deadline. It is not safe for concurrent use.
type ConcurrencyLimiter struct {
	policy      LimiterPolicy
	slots       int
	inFlight    int
	order       Order
	serviceTime time.Duration // moving average of the time that a request holds a slot
}

// NewConcurrencyLimiter returns a limiter for a server with the given number of
// slots.
func NewConcurrencyLimiter(policy LimiterPolicy, slots int, order Order) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{policy: policy, slots: slots, order: order, serviceTime: policy.InitialServiceTime}
}

// SetSlots changes the number of slots. Waiting requests are admitted to additional
// slots at the next Release.
func (l *ConcurrencyLimiter) SetSlots(slots int) { l.slots = slots }

// InFlight returns the number of requests that hold a slot.
func (l *ConcurrencyLimiter) InFlight() int { return l.inFlight }

// Waiting returns the number of waiting requests, including cancelled ones.
func (l *ConcurrencyLimiter) Waiting() int { return l.order.Len() }

// MeanServiceTime returns the moving average of the time that a request holds a
// slot.
func (l *ConcurrencyLimiter) MeanServiceTime() time.Duration { return l.serviceTime }

// LoadPerSlot returns the number of running and waiting requests per slot.
func (l *ConcurrencyLimiter) LoadPerSlot() float64 {
	return float64(l.inFlight+l.order.Len()) / float64(max(l.slots, 1))
}

// EstimateWait estimates how long a request of the caller that arrives now would
// wait for a slot.
func (l *ConcurrencyLimiter) EstimateWait(now time.Duration, caller string) time.Duration {
	if l.inFlight < l.slots {
		return 0
	}
	ahead := time.Duration(l.order.CountAhead(now, caller) + 1)
	return l.serviceTime * ahead / time.Duration(max(l.slots, 1))
}

// Enqueue requests a slot. It reports whether the waiter was admitted or queued.
// Otherwise the expected wait exceeds the deadline or the queue is full, and
// retryAfter is when to try again: a request that cannot complete in time is
// rejected at once rather than at its deadline.
func (l *ConcurrencyLimiter) Enqueue(now time.Duration, waiter *Waiter) (admittedOrQueued bool, retryAfter time.Duration) {
	if l.inFlight < l.slots && l.order.Len() == 0 {
		l.admit(waiter)
		return true, 0
	}
	wait := l.EstimateWait(now, waiter.Caller)
	if now+wait+l.serviceTime > waiter.Deadline || !l.makeRoom(now, waiter.Caller) {
		return false, max(wait, l.serviceTime)
	}
	l.order.Push(now, waiter)
	return true, 0
}

// makeRoom reports whether the queue has room for a waiter of the caller. If the
// queue is full, it sheds the waiter that the order evicts, so that a burst of one
// caller does not lock out the others.
func (l *ConcurrencyLimiter) makeRoom(now time.Duration, caller string) bool {
	if l.order.Len() < l.policy.MaxQueuePerSlot*l.slots {
		return true
	}
	evicted := l.order.Evict(now, caller)
	if evicted == nil {
		return false
	}
	l.shed(evicted)
	return true
}

// shed notifies a waiter that it will not be admitted.
func (l *ConcurrencyLimiter) shed(waiter *Waiter) {
	if waiter.cancelled {
		return
	}
	waiter.Shed = true
	close(waiter.Admitted)
}

func (l *ConcurrencyLimiter) admit(waiter *Waiter) {
	l.inFlight++
	waiter.admitted = true
	close(waiter.Admitted)
}

// Cancel marks a waiter whose request needs no slot any more; it is skipped when
// its turn comes. Cancel reports whether the request already had a slot, which the
// caller must then return with Release.
func (l *ConcurrencyLimiter) Cancel(waiter *Waiter) bool {
	waiter.cancelled = true
	return waiter.admitted
}

// serviceTimeWeight is the weight of a new service time in the moving average.
const serviceTimeWeight = 0.1

// Release returns a slot after it was held for the given time, and admits the next
// waiter.
func (l *ConcurrencyLimiter) Release(now, held time.Duration) {
	l.inFlight--
	l.serviceTime += time.Duration(serviceTimeWeight * float64(held-l.serviceTime))
	l.admitWaiting(now)
}

// admitWaiting admits waiters to free slots. Those that can no longer complete
// within their deadline are shed at once, so that they take no slot.
func (l *ConcurrencyLimiter) admitWaiting(now time.Duration) {
	for l.inFlight < l.slots {
		waiter := l.order.Pop(now)
		if waiter == nil {
			return
		}
		if waiter.cancelled {
			continue
		}
		if now+l.serviceTime > waiter.Deadline {
			l.shed(waiter)
			continue
		}
		l.admit(waiter)
	}
}

// ShedAll sheds all waiting requests, for a server that no longer owns their keys.
func (l *ConcurrencyLimiter) ShedAll(now time.Duration) {
	for waiter := l.order.Pop(now); waiter != nil; waiter = l.order.Pop(now) {
		l.shed(waiter)
	}
}
