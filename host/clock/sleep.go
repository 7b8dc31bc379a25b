package clock

import (
	"context"
	"time"
)

// Sleep waits for d by the system's clock, or less if the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
