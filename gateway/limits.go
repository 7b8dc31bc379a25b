package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadarouter/balance"
	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/ratelimit"
)

// serverLimits is what this host knows of the limits that servers name.
type serverLimits struct {
	// known is set while any server has named a limit: nearly never, and answers come by
	// the thousand.
	known atomic.Bool

	mu     sync.Mutex
	ledger ratelimit.Ledger
}

// noteLimit takes what an answer says of its server's limit. sent is when the request left.
func (g *Gateway) noteLimit(req *request, server *balance.Server, answer *adapter.Answer, sent time.Duration) {
	if answer.LimitError != nil {
		g.counts.unreadableLimits.Inc()
		if g.loadLines.take() {
			g.log.Warn("limit of a server can't be read; the one known stays", "request", req.ID, "server", server.Incarnation().String(), "error", answer.LimitError.Error())
		}
		return
	}
	another := answer.Misdirected && answer.Server != server.ID
	if another || answer.Limit == 0 && (!g.limits.known.Load() || !answer.Proven) {
		return // only an answer to a request that ran says that the server needs no limit
	}
	news := ratelimit.News{PerSecond: answer.Limit, Sent: sent, Heard: g.now()}
	before, changed := g.limits.take(server.Incarnation(), news)
	if changed && g.failureLines.take() {
		g.log.Info("server's limit changed", "request", req.ID, "server", server.Incarnation().String(),
			"per-second", news.PerSecond, "before", before, "answered-ms", (news.Heard - sent).Milliseconds())
	}
}

// take takes news of a server, and returns the limit known before and whether it changed.
func (l *serverLimits) take(server fleet.Incarnation, news ratelimit.News) (before float64, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.ledger.Limit(server)
	changed = l.ledger.Take(server, news)
	l.known.Store(!l.ledger.Empty())
	return before, changed
}

// limited returns how many servers name a limit.
func (l *serverLimits) limited() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.ledger.Limits()))
}

// limit returns a server's limit in requests a second; 0 if it names none.
func (l *serverLimits) limit(server fleet.Incarnation) float64 {
	if !l.known.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Limit(server)
}
