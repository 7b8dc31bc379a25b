package gateway

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadarouter/balance"
	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/ratelimit"
)

// mostLimitsTold bounds the limits in one message between hosts: some 6 KB.
const mostLimitsTold = 64

// serverLimits is what this host knows of the limits that servers name.
type serverLimits struct {
	// any is set once a server has named a limit: nearly never, and answers come by the
	// thousand.
	any atomic.Bool

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
	if another || answer.Limit == 0 && (!g.limits.any.Load() || !answer.Proven) {
		return // only an answer to a request that ran says that the server needs no limit
	}
	news := ratelimit.News{PerSecond: answer.Limit, Sent: sent, Heard: g.now()}
	before, changed := g.limits.take(server.Incarnation(), news)
	if !changed {
		return
	}
	g.applyLimits()
	g.nudge() // the others are to hear of it at once
	if g.failureLines.take() {
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
	l.any.Store(!l.ledger.Empty())
	return before, changed
}

// of returns what is known of a server's limit, and whether it has ever named one.
func (l *serverLimits) of(server fleet.Incarnation) (ratelimit.News, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Known(server)
}

// inForce returns the limits that servers name now.
func (l *serverLimits) inForce() map[fleet.Incarnation]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Limits()
}

// limited returns how many servers name a limit.
func (l *serverLimits) limited() float64 { return float64(len(l.inForce())) }

// limit returns a server's limit in requests a second; 0 if it names none.
func (l *serverLimits) limit(server fleet.Incarnation) float64 {
	if !l.any.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Limit(server)
}

// changes counts the changes of limits.
func (l *serverLimits) changes() uint64 {
	if !l.any.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Changes()
}

// tell returns what has changed since a change, and up to which one that is.
func (l *serverLimits) tell(now time.Duration, since uint64) ([]ratelimit.Told, uint64) {
	if !l.any.Load() {
		return nil, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Tell(now, since, mostLimitsTold)
}

// applyLimits tells the services which servers name limits, and by how many hosts those
// are shared that can't ask for places.
func (g *Gateway) applyLimits() {
	limits, hosts := g.limits.inForce(), g.hosts.count()
	g.mu.Lock()
	services := slices.Collect(maps.Values(g.services))
	g.mu.Unlock()
	for _, s := range services {
		s.setLimits(limits, hosts)
	}
}

// retain forgets servers that have been gone for long.
func (l *serverLimits) retain(now time.Duration, byService map[string][]fleet.Server) {
	if !l.any.Load() {
		return
	}
	present := map[fleet.Incarnation]bool{}
	for _, servers := range byService {
		for i := range servers {
			present[servers[i].Incarnation()] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Retain(now, func(server fleet.Incarnation) bool { return present[server] })
}

// tellLimits adds to a report what the controller has not heard of, and returns up to which
// change that is all.
func (g *Gateway) tellLimits(c *controller, report *loadReport) uint64 {
	var upTo uint64
	report.Limits, upTo = g.limits.tell(g.now(), c.news.limits.told)
	report.KnownLimits = c.news.limits.heard
	c.news.limits.sent = upTo
	return upTo
}

// hearReportedLimits takes what the controller told with its answer to a report.
func (g *Gateway) hearReportedLimits(c *controller, e *reportEnded) {
	before := g.limits.changes()
	g.hearLimits(e.answer.Limits, e.to.Host)
	c.news.limits.took(before, g.limits.changes(), e.limitsUpTo, e.answer.LimitsUpTo)
}

// hearLimits takes what another host told of limits.
func (g *Gateway) hearLimits(told []ratelimit.Told, teller string) {
	changed := false
	for _, each := range told {
		before, news := g.limits.take(each.Server, each.News(g.now()))
		changed = changed || news
		if news && g.failureLines.take() {
			g.log.Info("heard that a server's limit changed", "teller", teller, "server", each.Server.String(),
				"per-second", each.PerSecond, "before", before, "age-ms", each.HeardAgo)
		}
	}
	if changed {
		g.applyLimits()
	}
}
