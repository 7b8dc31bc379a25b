package dispatch

import "time"

// FIFO serves waiters in the order in which they came.
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

// RoundRobin serves callers in turn, and each caller's waiters in the order in
// which they came, so that one caller's burst does not delay the others.
type RoundRobin struct {
	queues map[string]*FIFO
	turn   []string
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
		r.turn = append(r.turn, waiter.Caller)
	}
	queue.Push(now, waiter)
	r.length++
}

// Pop implements Order.
func (r *RoundRobin) Pop(now time.Duration) *Waiter {
	if r.length == 0 {
		return nil
	}
	next := r.turn[0]
	r.turn = r.turn[1:]
	queue := r.queues[next]
	waiter := queue.Pop(now)
	r.length--
	if queue.Len() == 0 {
		delete(r.queues, next)
	} else {
		r.turn = append(r.turn, next)
	}
	return waiter
}

// Len implements Order.
func (r *RoundRobin) Len() int { return r.length }
