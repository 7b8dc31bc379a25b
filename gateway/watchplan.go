package gateway

import (
	"context"
	"time"

	"cicadarouter/host/clock"
)

// watchPlan describes the next watch of a kind.
type watchPlan struct {
	wait time.Duration
	// source is the host to watch; empty for the store.
	source string
	// stale is set if a stale read of the store is enough.
	stale bool
	// confirmationArrived is set if the host should wait for a confirmation in place of
	// watching; it is closed when one arrives.
	confirmationArrived <-chan struct{}
}

// beginWatch returns the context and the plan for the next watch of a kind. hasRelays tells
// whether there are relays that could be queried.
func (f *freshness) beginWatch(ctx context.Context, name string, now time.Duration, hasRelays bool) (context.Context, context.CancelFunc, watchPlan) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	plan := f.planWatch(state, name, now, hasRelays)
	state.source, state.cancelWatch, state.askedSource = plan.source, cancel, plan.source != ""
	state.isLong = f.mayWaitLong(name, now)
	return ctx, cancel, plan
}

// planWatch chooses the source and the wait of a watch. The caller holds the lock.
func (f *freshness) planWatch(state *kindState, name string, now time.Duration, hasRelays bool) watchPlan {
	switch {
	case f.controlling && name != Assignments && f.copyAgeLocked(name, now) > f.verifyTimeout():
		return watchPlan{wait: probeWatchWait} // the copy could not be verified
	case f.controlling:
		return watchPlan{wait: longWatchWait}
	case f.isRelay(now) && !f.mayWaitLong(name, now):
		if now-state.storeReadAt > 2*relayWatchWait {
			return watchPlan{wait: probeWatchWait} // other hosts wait for this relay's confirmation
		}
		return watchPlan{wait: relayWatchWait}
	case f.startingUp(now) && hasRelays && now < startupRelayWait:
		return watchPlan{wait: startupRelayWait - now, confirmationArrived: f.confirmationArrived}
	case f.startingUp(now) && f.firstStart && now < staleReadPeriod:
		return watchPlan{wait: staleReadPeriod - now, stale: true}
	case f.startingUp(now):
		return watchPlan{wait: min(startupWatchWait, startupPeriod-now)}
	case !f.mayWaitLong(name, now) && f.canCatchUp(state, now):
		return watchPlan{wait: relayWatchWait, source: f.sender}
	case !f.mayWaitLong(name, now):
		return watchPlan{wait: f.shortWait()}
	case f.source == "" && hasRelays:
		return watchPlan{wait: f.confirmedAt + f.validFor() - now, confirmationArrived: f.confirmationArrived}
	case f.source == "":
		return watchPlan{wait: f.shortWait()}
	}
	if state.bypassRelay {
		return watchPlan{wait: longWatchWait, source: f.sender}
	}
	return watchPlan{wait: longWatchWait, source: f.source}
}

// canCatchUp reports whether to ask the host that has stated a change which the copy of a kind lacks:
// it answers at once, and the store may refuse this host. If that didn't help, it is the store's turn.
// The caller holds the lock.
func (f *freshness) canCatchUp(state *kindState, now time.Duration) bool {
	return f.isConfirmed(now) && f.sender != "" && state.currency.awaitsChange(now, f.validFor()) && !state.askedSource
}

// expireWatches cancels watches at other hosts whose confirmation expires. The control loop does so
// too, but on a busy host its steps may be seconds apart.
func (g *Gateway) expireWatches(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, g.freshness.expireWatches(g.now()))
	}
}
