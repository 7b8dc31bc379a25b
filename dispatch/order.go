package dispatch

import "time"

// FIFO admits waiters in the order of their arrival.
type FIFO struct{ queue []*Waiter }

// Push implements Order.
func (f *FIFO) Push(_ time.Duration, waiter *Waiter) { f.queue = append(f.queue, waiter) }

// Pop implements Order.
func (f *FIFO) Pop(time.Duration) *Waiter {
	if len(f.queue) == 0 {
		return nil
	}
	first := f.queue[0]
	f.queue[0] = nil
	f.queue = f.queue[1:]
	return first
}

// Len implements Order.
func (f *FIFO) Len() int { return len(f.queue) }

// CountAhead implements Order.
func (f *FIFO) CountAhead(time.Duration, string) int { return len(f.queue) }

// Evict implements Order. It evicts none, since a new waiter is last in the order.
func (f *FIFO) Evict(time.Duration, string) *Waiter { return nil }

// popLast removes the newest waiter.
func (f *FIFO) popLast() *Waiter {
	last := len(f.queue) - 1
	waiter := f.queue[last]
	f.queue = f.queue[:last]
	return waiter
}

// RoundRobin admits one waiter of each caller in turn, and the waiters of one
// caller in the order of their arrival, so that a burst of one caller does not
// delay the others.
type RoundRobin struct {
	queues map[string]*FIFO
	turns  []string
	length int
}

// NewRoundRobin returns an empty order.
func NewRoundRobin() *RoundRobin { return &RoundRobin{queues: map[string]*FIFO{}} }

// Push implements Order.
func (r *RoundRobin) Push(now time.Duration, waiter *Waiter) {
	queue, known := r.queues[waiter.Caller]
	if !known {
		queue = &FIFO{}
		r.queues[waiter.Caller] = queue
		r.turns = append(r.turns, waiter.Caller)
	}
	queue.Push(now, waiter)
	r.length++
}

// Pop implements Order.
func (r *RoundRobin) Pop(now time.Duration) *Waiter {
	if r.length == 0 {
		return nil
	}
	next := r.turns[0]
	r.turns = r.turns[1:]
	queue := r.queues[next]
	waiter := queue.Pop(now)
	r.length--
	if queue.Len() == 0 {
		delete(r.queues, next)
	} else {
		r.turns = append(r.turns, next)
	}
	return waiter
}

// Len implements Order.
func (r *RoundRobin) Len() int { return r.length }

// CountAhead implements Order. Until a new waiter is admitted, each other caller
// gets at most as many turns as the new waiter's caller.
func (r *RoundRobin) CountAhead(_ time.Duration, caller string) int {
	own := r.queueLen(caller)
	ahead := 0
	for _, queue := range r.queues {
		ahead += min(queue.Len(), own+1)
	}
	return ahead
}

func (r *RoundRobin) queueLen(caller string) int {
	if queue, known := r.queues[caller]; known {
		return queue.Len()
	}
	return 0
}

// Evict implements Order. It evicts the newest waiter of the caller with the most
// waiters, if that caller has at least two more than the new waiter's caller.
func (r *RoundRobin) Evict(_ time.Duration, caller string) *Waiter {
	longest := ""
	for name, queue := range r.queues {
		if longest == "" || queue.Len() > r.queues[longest].Len() || queue.Len() == r.queues[longest].Len() && name < longest {
			longest = name
		}
	}
	if longest == "" || r.queues[longest].Len() <= r.queueLen(caller)+1 {
		return nil
	}
	r.length--
	return r.queues[longest].popLast()
}
