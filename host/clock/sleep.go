package clock

import (
	"context"
	"time"
)

// Sleep waits for d of real time, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) { Await(ctx, nil, d) }

// Await waits until the channel is closed, d of real time has passed, or the context
// ends. A nil channel is never closed.
func Await(ctx context.Context, closed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
