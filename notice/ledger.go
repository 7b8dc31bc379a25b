// Package notice stores the notices that backend servers send in their responses, such as a rate
// limit, as received by one host from the servers or from other hosts. It performs no I/O and reads
// no clock: callers pass the time as an argument, and nothing blocks.
package notice

import (
	"cmp"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// Update is the value of a notice in one response of a server. The zero Value means that the
// response had no such notice.
type Update[V comparable] struct {
	Value V
	// SentAt is when the request left the host, ReceivedAt when the response arrived. The server
	// produced the value between the two.
	SentAt, ReceivedAt time.Duration
}

// supersedes reports whether the update replaces the current one. Responses may arrive out of
// order: one without a notice ends an earlier notice only if its request was sent no earlier than
// the notice arrived. Of two updates that arrived at different times, every host keeps the same
// one, whichever it learns of first.
func (u Update[V]) supersedes(current Update[V]) bool {
	var zero V
	switch {
	case u.Value == zero && current.Value != zero:
		return u.SentAt >= current.ReceivedAt
	case u.Value != zero && current.Value == zero:
		return u.ReceivedAt > current.SentAt
	}
	return u.ReceivedAt > current.ReceivedAt
}

// maxServers bounds the servers whose notices a ledger stores.
const maxServers = 1024

// entry is the latest notice of one server.
type entry[V comparable] struct {
	Update[V]
	// change is the number of the ledger's change that last changed the value.
	change uint64
}

// Ledger holds one kind of notice of all servers. The zero value is empty. A Ledger is not safe for
// concurrent use.
type Ledger[V comparable] struct {
	latest  map[fleet.Incarnation]entry[V]
	changes uint64
}

// Apply applies the update of a server and reports whether its value changed. Servers that have
// never sent a notice are not stored.
func (l *Ledger[V]) Apply(server fleet.Incarnation, update Update[V]) (changed bool) {
	var zero V
	current, present := l.latest[server]
	if !present && (update.Value == zero || len(l.latest) >= maxServers) {
		return false
	}
	if present && !update.supersedes(current.Update) {
		return false
	}
	changed = current.Value != update.Value
	if changed {
		l.changes++
		current.change = l.changes
	}
	current.Update = update
	if l.latest == nil {
		l.latest = map[fleet.Incarnation]entry[V]{}
	}
	l.latest[server] = current
	return changed
}

// Value returns the value in effect for a server, or zero.
func (l *Ledger[V]) Value(server fleet.Incarnation) V { return l.latest[server].Value }

// Latest returns the latest update of a server, and whether there is any.
func (l *Ledger[V]) Latest(server fleet.Incarnation) (update Update[V], known bool) {
	found, known := l.latest[server]
	return found.Update, known
}

// Values returns the values in effect, by server.
func (l *Ledger[V]) Values() map[fleet.Incarnation]V {
	var zero V
	values := map[fleet.Incarnation]V{}
	for server, current := range l.latest {
		if current.Value != zero {
			values[server] = current.Value
		}
	}
	return values
}

// Empty reports whether the ledger stores no servers.
func (l *Ledger[V]) Empty() bool { return len(l.latest) == 0 }

// ChangeCount returns the number of changes so far.
func (l *Ledger[V]) ChangeCount() uint64 { return l.changes }

// staleAfter is how long the notices of an unregistered server are kept: entries are missing for
// seconds during an outage of the registry's store.
const staleAfter = time.Minute

// RemoveStale removes the servers that are not present and whose latest update is older than
// staleAfter.
func (l *Ledger[V]) RemoveStale(now time.Duration, present func(fleet.Incarnation) bool) {
	for server, known := range l.latest {
		if !present(server) && now-known.ReceivedAt > staleAfter {
			delete(l.latest, server)
		}
	}
}

// PeerUpdate is the update of a server as hosts exchange it. It contains ages instead of times,
// because the clocks of hosts differ.
type PeerUpdate[V comparable] struct {
	Server fleet.Incarnation `json:"server"`
	Value  V                 `json:"value"`
	// SentAgoMs and ReceivedAgoMs are in milliseconds.
	SentAgoMs     int64 `json:"sentAgo"`
	ReceivedAgoMs int64 `json:"heardAgo"`
}

// NewPeerUpdate converts an update to a message.
func NewPeerUpdate[V comparable](now time.Duration, server fleet.Incarnation, update Update[V]) PeerUpdate[V] {
	return PeerUpdate[V]{Server: server, Value: update.Value, SentAgoMs: (now - update.SentAt).Milliseconds(), ReceivedAgoMs: (now - update.ReceivedAt).Milliseconds()}
}

// ToUpdate converts a message to an update with times of this host's clock.
func (p PeerUpdate[V]) ToUpdate(now time.Duration) Update[V] {
	return Update[V]{Value: p.Value, SentAt: now - time.Duration(p.SentAgoMs)*time.Millisecond, ReceivedAt: now - time.Duration(p.ReceivedAgoMs)*time.Millisecond}
}

// ChangesSince returns the values that changed after the change numbered since, oldest change first
// and at most limit of them, and the number of the last change that they cover.
func (l *Ledger[V]) ChangesSince(now time.Duration, since uint64, limit int) (messages []PeerUpdate[V], upTo uint64) {
	type changedEntry struct {
		server fleet.Incarnation
		entry[V]
	}
	var due []changedEntry
	for server, current := range l.latest {
		if current.change > since {
			due = append(due, changedEntry{server, current})
		}
	}
	if len(due) == 0 {
		return nil, l.changes
	}
	slices.SortFunc(due, func(a, b changedEntry) int { return cmp.Compare(a.change, b.change) })
	upTo = l.changes
	if len(due) > limit {
		due = due[:limit]
		upTo = due[limit-1].change
	}
	for _, each := range due {
		messages = append(messages, NewPeerUpdate(now, each.server, each.Update))
	}
	return messages, upTo
}
