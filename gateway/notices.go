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

// maxNoticesPerMessage bounds the notices of one kind in one message between hosts, some 6 KB.
const maxNoticesPerMessage = 64

// receivedNotices holds the notices in one response of a server. The responses of servers to
// all kinds of calls are handled here; a new kind of notice needs one more handler.
type receivedNotices struct {
	from fleet.Incarnation
	// call is the kind of call that the server responded to; request is the ID of a caller's
	// request, if it was one.
	call      string
	requestID string
	// sentAt is when the call left this host.
	sentAt time.Duration
	// ran is set for the response to a request that the server ran, healthy for a healthy
	// server's response to a health check. A notice that such a response omits is no longer
	// in effect.
	ran, healthy bool
	adapter.Notice
}

// Kinds of calls that are not calls about keys.
const (
	callRequest = "request"
	callHealth  = "health"
)

// handleNotices handles the notices in a server's response.
func (g *Gateway) handleNotices(h receivedNotices) {
	g.countUnreadable(h)
	if len(h.Unreadable) > 0 {
		h.ran, h.healthy = false, false // an omitted notice may be the unreadable one
	}
	g.handleLimit(h)
	g.handleLeaving(h)
	g.handleBackoff(h)
}

// checkHealth makes a health check and handles the notices in the response.
func (g *Gateway) checkHealth(ctx context.Context, server adapter.Backend) (adapter.Health, error) {
	sent := g.now()
	health, err := g.keys.Probe(ctx, server)
	g.handleNotices(receivedNotices{from: server.Incarnation(), call: callHealth, sentAt: sent, healthy: health.Healthy, Notice: health.Notice})
	return health, err
}

// countUnreadable counts and logs notices that can't be parsed. They have no other effect.
func (g *Gateway) countUnreadable(h receivedNotices) {
	for _, err := range h.Unreadable {
		g.metrics.unreadableNotice(err.Field).Inc()
		if g.noticeLogLimit.allow() {
			g.log.Warn("server sent a notice that can't be parsed; the previous value stays", "server", h.from.String(), "call", h.call, "request", h.requestID, "error", err.Error())
		}
	}
}

// noticeLedger holds what this host knows about one kind of notice, from servers and from other
// hosts. It is safe for concurrent use.
type noticeLedger[V comparable] struct {
	// nonEmpty is set while there are notices. Notices are rare and responses come by the thousand,
	// so this saves locking.
	nonEmpty atomic.Bool

	mu     sync.Mutex
	ledger notice.Ledger[V]
}

// update adds a server's notice, and returns the value before and whether the value changed.
func (n *noticeLedger[V]) update(server fleet.Incarnation, update notice.Update[V]) (previous V, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous = n.ledger.Value(server)
	changed = n.ledger.Apply(server, update)
	n.nonEmpty.Store(!n.ledger.Empty())
	return previous, changed
}

// latest returns the last notice by a server, and whether there is one.
func (n *noticeLedger[V]) latest(server fleet.Incarnation) (notice.Update[V], bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.Latest(server)
}

// values returns the values in effect, by server.
func (n *noticeLedger[V]) values() map[fleet.Incarnation]V {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.Values()
}

// count returns the number of servers with a value in effect.
func (n *noticeLedger[V]) count() float64 { return float64(len(n.values())) }

// value returns the value in effect for a server, or zero.
func (n *noticeLedger[V]) value(server fleet.Incarnation) V {
	if !n.nonEmpty.Load() {
		var zero V
		return zero
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.Value(server)
}

// changeCount returns how often a value has changed so far.
func (n *noticeLedger[V]) changeCount() uint64 {
	if !n.nonEmpty.Load() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.ChangeCount()
}

// changesSince returns the oldest values that changed after the change numbered since, as many as fit
// into a message, and the number of the last change that they cover.
func (n *noticeLedger[V]) changesSince(now time.Duration, since uint64) ([]notice.PeerUpdate[V], uint64) {
	if !n.nonEmpty.Load() {
		return nil, 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ledger.ChangesSince(now, since, maxNoticesPerMessage)
}

// removeStale drops the notices of servers that have been absent for long.
func (n *noticeLedger[V]) removeStale(now time.Duration, present func(fleet.Incarnation) bool) {
	if !n.nonEmpty.Load() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ledger.RemoveStale(now, present)
}
