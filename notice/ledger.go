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

// News is the value of a notice in one response of a server. The zero Value means that the response
// had no such notice.
type News[V comparable] struct {
	Value V
	// Sent is when the request left the host, Heard when the response arrived. The server produced
	// the value between the two.
	Sent, Heard time.Duration
}

// newer reports whether the news replaces the known news. Responses may arrive out of order: one
// without a notice ends an earlier notice only if its request was sent no earlier than the notice
// arrived. Of two news that arrived at different times, every host keeps the same one, whichever it
// learns of first.
func (n News[V]) newer(current News[V]) bool {
	var zero V
	switch {
	case n.Value == zero && current.Value != zero:
		return n.Sent >= current.Heard
	case n.Value != zero && current.Value == zero:
		return n.Heard > current.Sent
	}
	return n.Heard > current.Heard
}

// mostServers bounds the servers whose notices a ledger stores.
const mostServers = 1024

// entry is the latest notice of one server.
type entry[V comparable] struct {
	News[V]
	// change is the number of the ledger's change that last changed the value.
	change uint64
}

// Ledger holds one kind of notice of all servers. The zero value is empty. A Ledger is not safe for
// concurrent use.
type Ledger[V comparable] struct {
	known   map[fleet.Incarnation]entry[V]
	changes uint64
}

// Take applies the news of a server and reports whether its value changed. Servers that have never
// sent a notice are not stored.
func (l *Ledger[V]) Take(server fleet.Incarnation, news News[V]) (changed bool) {
	var zero V
	current, present := l.known[server]
	if !present && (news.Value == zero || len(l.known) >= mostServers) {
		return false
	}
	if present && !news.newer(current.News) {
		return false
	}
	changed = current.Value != news.Value
	if changed {
		l.changes++
		current.change = l.changes
	}
	current.News = news
	if l.known == nil {
		l.known = map[fleet.Incarnation]entry[V]{}
	}
	l.known[server] = current
	return changed
}

// Value returns the value in effect for a server, or zero.
func (l *Ledger[V]) Value(server fleet.Incarnation) V { return l.known[server].Value }

// Known returns the latest news of a server, and whether there is any.
func (l *Ledger[V]) Known(server fleet.Incarnation) (news News[V], known bool) {
	found, known := l.known[server]
	return found.News, known
}

// Values returns the values in effect, by server.
func (l *Ledger[V]) Values() map[fleet.Incarnation]V {
	var zero V
	values := map[fleet.Incarnation]V{}
	for server, current := range l.known {
		if current.Value != zero {
			values[server] = current.Value
		}
	}
	return values
}

// Empty reports whether the ledger stores no servers.
func (l *Ledger[V]) Empty() bool { return len(l.known) == 0 }

// Changes returns the number of changes so far.
func (l *Ledger[V]) Changes() uint64 { return l.changes }

// keptFor is how long the notices of an unregistered server are kept: entries are missing for
// seconds during an outage of the registry's store.
const keptFor = time.Minute

// Retain removes the servers that are not present and whose latest news is older than keptFor.
func (l *Ledger[V]) Retain(now time.Duration, present func(fleet.Incarnation) bool) {
	for server, known := range l.known {
		if !present(server) && now-known.Heard > keptFor {
			delete(l.known, server)
		}
	}
}

// Told is the news of a server as hosts exchange it. It contains ages instead of times, because the
// clocks of hosts differ.
type Told[V comparable] struct {
	Server fleet.Incarnation `json:"server"`
	Value  V                 `json:"value"`
	// SentAgo and HeardAgo are in milliseconds.
	SentAgo  int64 `json:"sentAgo"`
	HeardAgo int64 `json:"heardAgo"`
}

// TellOf converts news to a message.
func TellOf[V comparable](now time.Duration, server fleet.Incarnation, news News[V]) Told[V] {
	return Told[V]{Server: server, Value: news.Value, SentAgo: (now - news.Sent).Milliseconds(), HeardAgo: (now - news.Heard).Milliseconds()}
}

// News converts a message to news with times of this host's clock.
func (t Told[V]) News(now time.Duration) News[V] {
	return News[V]{Value: t.Value, Sent: now - time.Duration(t.SentAgo)*time.Millisecond, Heard: now - time.Duration(t.HeardAgo)*time.Millisecond}
}

// Tell returns the values that changed after the change numbered since, oldest change first and at
// most limit of them, and the number of the last change that they cover.
func (l *Ledger[V]) Tell(now time.Duration, since uint64, limit int) (messages []Told[V], upTo uint64) {
	type changedEntry struct {
		server fleet.Incarnation
		entry[V]
	}
	var due []changedEntry
	for server, current := range l.known {
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
		messages = append(messages, TellOf(now, each.server, each.News))
	}
	return messages, upTo
}
