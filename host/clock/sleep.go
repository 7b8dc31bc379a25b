package clock

import (
	"context"
	"time"
)

// Sleep waits for d by the system's clock, or less if the context ends.
func Sleep(ctx context.Context, d time.Duration) { Await(ctx, nil, d) }

// Await returns when the channel is closed, after d by the system's clock, or when
// the context ends.
func Await(ctx context.Context, closed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
