package gateway

import (
	"context"
	"time"
)

// watchPlan says how the next watch of a kind is made.
type watchPlan struct {
	wait time.Duration
	// source is the host to ask in place of the store; empty for the store.
	source string
	// news is set if the host is not to watch now, but to wait for a source's
	// word; it is closed when there is one.
	news <-chan struct{}
}

// begin returns the context and the plan for the next watch of a kind. hasRelays
// tells whether there are hosts to ask in a controller's place.
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

func (f *freshness) plan(state *kindState, name string, now time.Duration, hasRelays bool) watchPlan {
	switch {
	case f.leads && name == Assignments:
		return watchPlan{wait: longWatch}
	case f.leads:
		return watchPlan{wait: f.shortWatch()}
	case f.relaying(now) && f.doubtful(now):
		if now-state.contact > 2*relayTurn {
			return watchPlan{wait: awayWatch} // others wait for its word
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
