package domain

import (
	"context"
	"errors"
	"time"

	"cicadarouter/contract/platform"
	"cicadarouter/host/clock"
)

const (
	// storeOverdue is how long a call to the store may remain unanswered, besides the time that it was
	// asked to wait, before other calls show whether the store answers.
	storeOverdue = 300 * time.Millisecond
	// storeProbeInterval is the interval between these calls, storeProbeTimeout bounds each of them.
	storeProbeInterval = 400 * time.Millisecond
	storeProbeTimeout  = 600 * time.Millisecond
)

// errResponseLost ends a call whose response was lost: the store has answered one that began later.
var errResponseLost = errors.New("the response of the store was lost")

// callStore makes a call to the store that may wait for a time. It ends with errResponseLost as soon as
// the call is overdue and a later one is answered: the store returns nothing further on a connection on
// which a response was lost, also when it is back.
func (c *Controller) callStore(ctx context.Context, wait time.Duration, call func(context.Context) (platform.Snapshot, error)) (platform.Snapshot, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for clock.Sleep(ctx, wait+storeOverdue); ctx.Err() == nil; clock.Sleep(ctx, storeProbeInterval) {
			go c.probeStore(ctx, func() { cancel(errResponseLost) })
		}
	}()
	snapshot, err := call(ctx)
	if err != nil && errors.Is(context.Cause(ctx), errResponseLost) {
		err = errors.Join(errResponseLost, err)
	}
	return snapshot, err
}

// probeStore makes a call to the store that returns at once, and reports whether it is answered.
func (c *Controller) probeStore(ctx context.Context, answered func()) {
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	_, err := c.store.Watch(ctx, c.directory.Revision(), 0)
	if err == nil || errors.Is(err, platform.ErrCompacted) {
		answered()
		return
	}
	c.log.Debug("call to find out whether the store answers failed", "error", err)
}
