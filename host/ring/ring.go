// Package ring provides bounded queues between the goroutines of a process.
package ring

import "context"

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct{ items chan T }

// New returns a queue that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item and reports whether there was room. It never blocks, so that a slow
// consumer can't delay its producer.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put adds an item. If the queue is full, it waits until there is room or the context
// ends.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Out returns the channel from which the consumer receives items.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }
