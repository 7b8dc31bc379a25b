// Package ratelimit keeps the limits that backend servers name for the requests a second
// that they take from all hosts together, and divides them among the hosts. It is pure:
// time comes in as an argument, and nothing blocks.
//
// Load pattern: a server names a few requests a second, a fraction of what it is asked
// for, and each of hundreds of hosts has a part of that demand which nobody knows in
// advance. What each host allows itself does not bound the sum, and equal parts leave
// places idle at some hosts while others turn callers away. So one host schedules the
// places of all, on demand, one by one; a host that can't reach it falls back to a small
// equal part.
package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// News is what an answer of a server said of its limit.
type News struct {
	// PerSecond is the limit in requests a second; 0 if the server names none.
	PerSecond float64
	// Sent is when the request left that the server answered, Heard when the answer came:
	// the server said so in between.
	Sent, Heard time.Duration
}

// newer reports whether the news replaces what is known. Answers overtake each other: one
// that names no limit ends a limit only if its request left after the limit was heard of.
// Of two news the same one wins at every host, whichever it hears first.
func (n News) newer(known News) bool {
	switch {
	case n.PerSecond == 0 && known.PerSecond > 0:
		return n.Sent >= known.Heard
	case n.PerSecond > 0 && known.PerSecond == 0:
		return n.Heard > known.Sent
	}
	return n.Heard > known.Heard
}

// mostServers bounds the servers of which a ledger keeps news.
const mostServers = 1024

// entry is the news of one server.
type entry struct {
	News
	// change counts the ledger's changes up to the one that last changed the limit.
	change uint64
}

// Ledger holds the limits that servers name, as one host has heard of them. The zero
// value is empty. It is not safe for concurrent use.
type Ledger struct {
	known   map[fleet.Incarnation]entry
	changes uint64
}

// Take takes news of a server and reports whether its limit has changed. Servers that have
// never named a limit are not kept.
func (l *Ledger) Take(server fleet.Incarnation, news News) (changed bool) {
	known, present := l.known[server]
	if !present && (news.PerSecond == 0 || len(l.known) >= mostServers) {
		return false
	}
	if present && !news.newer(known.News) {
		return false
	}
	changed = known.PerSecond != news.PerSecond
	if changed {
		l.changes++
		known.change = l.changes
	}
	known.News = news
	if l.known == nil {
		l.known = map[fleet.Incarnation]entry{}
	}
	l.known[server] = known
	return changed
}

// Limit returns a server's limit in requests a second; 0 if it names none.
func (l *Ledger) Limit(server fleet.Incarnation) float64 { return l.known[server].PerSecond }

// Known returns what is known of a server, and whether it has ever named a limit.
func (l *Ledger) Known(server fleet.Incarnation) (news News, known bool) {
	found, known := l.known[server]
	return found.News, known
}

// Limits returns the limits in force.
func (l *Ledger) Limits() map[fleet.Incarnation]float64 {
	limits := map[fleet.Incarnation]float64{}
	for server, known := range l.known {
		if known.PerSecond > 0 {
			limits[server] = known.PerSecond
		}
	}
	return limits
}

// Empty reports whether no server has ever named a limit.
func (l *Ledger) Empty() bool { return len(l.known) == 0 }

// Changes counts the changes so far.
func (l *Ledger) Changes() uint64 { return l.changes }

// keptFor is for how long the news of a server are kept that is not registered: entries are
// missing for seconds while the platform's store is away.
const keptFor = time.Minute

// Retain forgets the servers that are not present and have not been heard of for long.
func (l *Ledger) Retain(now time.Duration, present func(fleet.Incarnation) bool) {
	for server, known := range l.known {
		if !present(server) && now-known.Heard > keptFor {
			delete(l.known, server)
		}
	}
}

// Told is news of a server as it passes between hosts, whose clocks differ: ages in place
// of times.
type Told struct {
	Server    fleet.Incarnation `json:"server"`
	PerSecond float64           `json:"perSecond,omitempty"`
	// SentAgo and HeardAgo are in milliseconds.
	SentAgo  int64 `json:"sentAgo"`
	HeardAgo int64 `json:"heardAgo"`
}

// TellOf expresses news in ages.
func TellOf(now time.Duration, server fleet.Incarnation, news News) Told {
	return Told{Server: server, PerSecond: news.PerSecond,
		SentAgo: (now - news.Sent).Milliseconds(), HeardAgo: (now - news.Heard).Milliseconds()}
}

// News expresses what was told in times of this host.
func (t Told) News(now time.Duration) News {
	return News{PerSecond: t.PerSecond, Sent: now - time.Duration(t.SentAgo)*time.Millisecond, Heard: now - time.Duration(t.HeardAgo)*time.Millisecond}
}

// Tell returns the limits that have changed since a change, the oldest change first and as
// many as fit, and up to which change that is all.
func (l *Ledger) Tell(now time.Duration, since uint64, most int) (told []Told, upTo uint64) {
	type changed struct {
		server fleet.Incarnation
		entry
	}
	var news []changed
	for server, known := range l.known {
		if known.change > since {
			news = append(news, changed{server, known})
		}
	}
	if len(news) == 0 {
		return nil, l.changes
	}
	slices.SortFunc(news, func(a, b changed) int { return cmp.Compare(a.change, b.change) })
	upTo = l.changes
	if len(news) > most {
		news = news[:most]
		upTo = news[most-1].change
	}
	for _, each := range news {
		told = append(told, TellOf(now, each.server, each.News))
	}
	return told, upTo
}
