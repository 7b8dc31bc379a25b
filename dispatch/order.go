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

// Ahead implements Order.
func (f *FIFO) Ahead(time.Duration, string) int { return len(f.queue) }

// Evict implements Order: the newcomer is last and has no better right.
func (f *FIFO) Evict(time.Duration, string) *Waiter { return nil }

// popLast removes the newest waiter.
func (f *FIFO) popLast() *Waiter {
	last := len(f.queue) - 1
	waiter := f.queue[last]
	f.queue = f.queue[:last]
	return waiter
}

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

// Ahead implements Order. In the rounds until a new waiter's turn, each other
// caller gets as many turns as the newcomer's caller.
func (r *RoundRobin) Ahead(_ time.Duration, caller string) int {
	own := r.waitingOf(caller)
	ahead := 0
	for _, queue := range r.queues {
		ahead += min(queue.Len(), own+1)
	}
	return ahead
}

func (r *RoundRobin) waitingOf(caller string) int {
	if queue, known := r.queues[caller]; known {
		return queue.Len()
	}
	return 0
}

// Evict implements Order: the newest waiter of the caller with the most goes,
// if the newcomer's caller has fewer.
func (r *RoundRobin) Evict(_ time.Duration, caller string) *Waiter {
	longest := ""
	for name, queue := range r.queues {
		if longest == "" || queue.Len() > r.queues[longest].Len() || queue.Len() == r.queues[longest].Len() && name < longest {
			longest = name
		}
	}
	if longest == "" || r.queues[longest].Len() <= r.waitingOf(caller)+1 {
		return nil
	}
	r.length--
	return r.queues[longest].popLast()
}
