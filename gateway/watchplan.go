package gateway

import (
	"context"
	"time"
)

// watchPlan describes the next watch of a kind.
type watchPlan struct {
	wait time.Duration
	// source is the host to watch; empty for the store.
	source string
	// news is set if the host should wait for a confirmation in place of watching; it is
	// closed when one arrives.
	news <-chan struct{}
}

// begin returns the context and the plan for the next watch of a kind. hasRelays tells whether
// there are relays that could be queried.
func (f *freshness) begin(ctx context.Context, name string, now time.Duration, hasRelays bool) (context.Context, context.CancelFunc, watchPlan) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	plan := f.plan(state, name, now, hasRelays)
	state.source, state.cancel = plan.source, cancel
	state.long = f.trusted(name, now)
	return ctx, cancel, plan
}

// plan chooses the source and the wait of a watch. The caller holds the lock.
func (f *freshness) plan(state *kindState, name string, now time.Duration, hasRelays bool) watchPlan {
	switch {
	case f.leads && name == Assignments:
		return watchPlan{wait: longWatch}
	case f.leads:
		return watchPlan{wait: f.shortWatch()}
	case f.relaying(now) && f.doubtful(now):
		if now-state.contact > 2*relayTurn {
			return watchPlan{wait: awayWatch} // other hosts wait for this relay's confirmation
		}
		return watchPlan{wait: relayTurn}
	case f.starting(now) && hasRelays && now < firstSource:
		return watchPlan{wait: firstSource - now, news: f.news}
	case f.starting(now):
		return watchPlan{wait: firstWatch}
	case !f.trusted(name, now):
		return watchPlan{wait: f.shortWatch()}
	case f.source == "" && hasRelays:
		return watchPlan{wait: f.vouched + f.vouchedFor() - now, news: f.news}
	case f.source == "":
		return watchPlan{wait: f.shortWatch()}
	}
	if state.direct {
		return watchPlan{wait: longWatch, source: f.teller}
	}
	return watchPlan{wait: longWatch, source: f.source}
}
