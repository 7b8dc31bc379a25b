// Package ring joins the duties of a process with bounded queues.
package ring

import "context"

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct{ items chan T }

// New returns a ring that holds at most size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item and reports whether there was room. It never blocks, so
// that a slow consumer cannot stop its producer.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Put adds an item, waiting for room until the context ends.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Out is the consumer's end.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int { return len(r.items) }
