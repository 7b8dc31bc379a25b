package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/notice"
)

// mostNoticesTold bounds the notices of one sort in one message between hosts: some 6 KB.
const mostNoticesTold = 64

// hearing is an answer in which a server may tell something of itself. Every answer of a
// server, whatever the call, is heard here; a new sort of notice is one more note function.
type hearing struct {
	server fleet.Incarnation
	// call is the kind of call that the server answers; request the id of a caller's request.
	call    string
	request string
	// sent is when the call left.
	sent time.Duration
	// ran is set for an answer to a request that the server ran, healthy for that of a
	// healthy server to a health check: what such an answer leaves out does not hold.
	ran, healthy bool
	adapter.Notice
}

// callRequest is the call of a hearing that answers a caller's request, callHealth that of
// one that answers a health check.
const (
	callRequest = "request"
	callHealth  = "health"
)

// hear takes what a server tells of itself.
func (g *Gateway) hear(h hearing) {
	g.noteUnreadable(h)
	if len(h.Unreadable) > 0 {
		h.ran, h.healthy = false, false // what is left out may be what can't be read
	}
	g.noteLimit(h)
	g.noteLeaving(h)
	g.noteRest(h)
}

// checkHealth makes a health check and hears what the server tells of itself.
func (g *Gateway) checkHealth(ctx context.Context, server adapter.Backend) (adapter.Health, error) {
	sent := g.now()
	health, err := g.keys.Probe(ctx, server)
	g.hear(hearing{server: server.Incarnation(), call: callHealth, sent: sent, healthy: health.Healthy, Notice: health.Notice})
	return health, err
}

// noteUnreadable counts what a server tells and nobody can read. Nothing else shows it.
func (g *Gateway) noteUnreadable(h hearing) {
	for _, err := range h.Unreadable {
		g.metrics.unreadableNotice(err.Field).Inc()
		if g.noticeLogLimit.take() {
			g.log.Warn("server tells what can't be read; what was known stays", "server", h.server.String(), "call", h.call, "request", h.request, "error", err.Error())
		}
	}
}

// notices is what this host knows of one sort of notice, from servers and from other hosts.
// It is safe for concurrent use.
type notices[V comparable] struct {
	// any is set once a server has told something: nearly never, and answers come by the
	// thousand.
	any atomic.Bool

	mu     sync.Mutex
	ledger notice.Ledger[V]
}

// take takes news of a server, and returns what was known before and whether it changed.
func (n *notices[V]) take(server fleet.Incarnation, news notice.News[V]) (before V, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before = n.ledger.Value(server)
	changed = n.ledger.Take(server, news)
	n.any.Store(!n.ledger.Empty())
	return before, changed
}

// of returns what is known of a server, and whether it has ever told anything.
func (n *notices[V]) of(server fleet.Incarnation) (notice.News[V], bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.Known(server)
}

// inForce returns what holds, by server.
func (n *notices[V]) inForce() map[fleet.Incarnation]V {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.Values()
}

// count returns of how many servers something holds.
func (n *notices[V]) count() float64 { return float64(len(n.inForce())) }

// value returns what a server tells; zero if nothing.
func (n *notices[V]) value(server fleet.Incarnation) V {
	if !n.any.Load() {
		var nothing V
		return nothing
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.Value(server)
}

// changes counts the changes.
func (n *notices[V]) changes() uint64 {
	if !n.any.Load() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.Changes()
}

// tell returns what has changed since a change, and up to which one that is.
func (n *notices[V]) tell(now time.Duration, since uint64) ([]notice.Told[V], uint64) {
	if !n.any.Load() {
		return nil, 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.Tell(now, since, mostNoticesTold)
}

// retain forgets servers that have been gone for long.
func (n *notices[V]) retain(now time.Duration, present func(fleet.Incarnation) bool) {
	if !n.any.Load() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ledger.Retain(now, present)
}
