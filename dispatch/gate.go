package dispatch

import (
	"time"
)

// Waiter is a request that waits for a slot of a server.
type Waiter struct {
	// Caller shares are counted by.
	Caller string
	// Deadline is when the request is worthless, on the gate's clock.
	Deadline time.Duration
	// Admitted is closed when the request has a slot.
	Admitted chan struct{}
	// Shed is set, before Admitted is closed, when the request was refused
	// while it waited.
	Shed bool

	admitted bool
	left     bool
}

// Order decides which waiter goes next. Implementations are not safe for
// concurrent use.
type Order interface {
	// Push adds a waiter.
	Push(now time.Duration, waiter *Waiter)
	// Pop removes and returns the next waiter, or nil.
	Pop(now time.Duration) *Waiter
	// Len returns the number of waiters, those that left included.
	Len() int
	// Ahead returns how many waiters would go before a new one of the caller.
	Ahead(now time.Duration, caller string) int
	// Evict removes and returns the waiter that should make room for a new one
	// of the caller, or nil if the newcomer has no better right than any.
	Evict(now time.Duration, caller string) *Waiter
}

// GatePolicy bounds a Gate.
type GatePolicy struct {
	// Queue is the most requests that wait for each slot.
	Queue int
	// FirstService is the service time assumed before any was measured.
	FirstService time.Duration
}

// DefaultGatePolicy is the policy measured in docs/design/dispatch.md.
func DefaultGatePolicy() GatePolicy {
	const queue = 16
	return GatePolicy{Queue: queue, FirstService: 2 * time.Millisecond}
}

// Gate admits requests to one backend server: never more at a time than it has
// slots, and none that cannot be answered within its deadline. It is not safe
// for concurrent use.
type Gate struct {
	policy   GatePolicy
	slots    int
	inFlight int
	order    Order
	service  time.Duration // smoothed time that a request holds a slot
}

// NewGate returns a gate for a server with the given number of slots.
func NewGate(policy GatePolicy, slots int, order Order) *Gate {
	return &Gate{policy: policy, slots: slots, order: order, service: policy.FirstService}
}

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(slots int) { g.slots = slots }

// InFlight returns the number of requests that hold a slot.
func (g *Gate) InFlight() int { return g.inFlight }

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int { return g.order.Len() }

// Service returns the smoothed time that a request holds a slot.
func (g *Gate) Service() time.Duration { return g.service }

// Pressure returns the requests that run or wait, for each slot.
func (g *Gate) Pressure() float64 {
	return float64(g.inFlight+g.order.Len()) / float64(max(g.slots, 1))
}

// Wait estimates how long a request of the caller that arrives now would wait
// for a slot.
func (g *Gate) Wait(now time.Duration, caller string) time.Duration {
	if g.inFlight < g.slots {
		return 0
	}
	ahead := time.Duration(g.order.Ahead(now, caller) + 1)
	return g.service * ahead / time.Duration(max(g.slots, 1))
}

// Enter asks for a slot. It returns a waiter, which may be admitted already, or
// how long to stay away if the wait cannot fit the deadline: a request that
// will be given up is refused at once, not when its time is over.
func (g *Gate) Enter(now time.Duration, waiter *Waiter) (admittedOrQueued bool, comeBack time.Duration) {
	if g.inFlight < g.slots && g.order.Len() == 0 {
		g.admit(waiter)
		return true, 0
	}
	wait := g.Wait(now, waiter.Caller)
	if now+wait+g.service > waiter.Deadline || !g.makeRoom(now, waiter.Caller) {
		return false, max(wait, g.service)
	}
	g.order.Push(now, waiter)
	return true, 0
}

// makeRoom reports whether the queue has room for a waiter of the caller. A full
// queue sheds a waiter of whoever has most of it, so that a caller's burst does
// not keep the others out.
func (g *Gate) makeRoom(now time.Duration, caller string) bool {
	if g.order.Len() < g.policy.Queue*g.slots {
		return true
	}
	victim := g.order.Evict(now, caller)
	if victim == nil {
		return false
	}
	g.shed(victim)
	return true
}

// shed tells a waiter that it will not be admitted.
func (g *Gate) shed(waiter *Waiter) {
	if waiter.left {
		return
	}
	waiter.Shed = true
	close(waiter.Admitted)
}

func (g *Gate) admit(waiter *Waiter) {
	g.inFlight++
	waiter.admitted = true
	close(waiter.Admitted)
}

// Leave tells that a request no longer wants its place in the queue. It reports
// whether the request had a slot, which it then must give back with Exit.
func (g *Gate) Leave(waiter *Waiter) bool {
	waiter.left = true
	return waiter.admitted
}

// serviceWeight is the weight of a new service time in the average.
const serviceWeight = 0.1

// Exit gives a slot back after it was held for a time, and admits the next.
func (g *Gate) Exit(now, held time.Duration) {
	g.inFlight--
	g.service += time.Duration(serviceWeight * float64(held-g.service))
	g.fill(now)
}

// fill admits waiters to free slots. Those that can no longer make their
// deadline are shed at once, so that no slot is spent on them.
func (g *Gate) fill(now time.Duration) {
	for g.inFlight < g.slots {
		waiter := g.order.Pop(now)
		if waiter == nil {
			return
		}
		if waiter.left {
			continue
		}
		if now+g.service > waiter.Deadline {
			g.shed(waiter)
			continue
		}
		g.admit(waiter)
	}
}

// Expel sheds everyone who waits, for a server that lost what they came for.
func (g *Gate) Expel(now time.Duration) {
	for waiter := g.order.Pop(now); waiter != nil; waiter = g.order.Pop(now) {
		g.shed(waiter)
	}
}
