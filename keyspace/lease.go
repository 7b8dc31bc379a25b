package keyspace

import (
	"maps"
	"time"

	"cicadarouter/fleet"
)

// lease is what is known of one holder of one range. It lives in memory only.
type lease struct {
	// until is when the holder's lease has surely run out.
	until time.Duration
	// late is when an unanswered grant, which may still take effect although a
	// release was answered, has surely run out.
	late     time.Duration
	released bool
	handoff  string
	calling  bool
	next     time.Duration // not granted again before
	retry    time.Duration // not asked to release again before
	silent   bool          // the last grant had no answer: probe before granting again
	backAt   time.Duration // when the server last answered after it had been silent
	heard    bool          // the last call had an answer
	granted  bool
	stale    bool // refused: the server has seen a higher token
	// successor is set if a later incarnation was asked to release the keys: it
	// never worked on them and has nothing to hand over.
	successor bool
}

// leaseKey names a lease: the holder's token is unique for a range and a time.
type leaseKey struct {
	from, to uint16
	holder   Holder
}

// forget drops leases that the record no longer speaks of.
func (m *Machine) forget() {
	current := map[leaseKey]bool{}
	for i := range m.record.Ranges {
		r := &m.record.Ranges[i]
		current[keyOf(r, r.Holder)] = true
		for _, former := range r.Former {
			current[keyOf(r, former)] = true
		}
	}
	named := map[fleet.Incarnation]bool{}
	for key, l := range m.leases {
		if !current[key] && !l.calling {
			delete(m.leases, key)
			continue
		}
		named[key.holder.Incarnation()] = true
	}
	maps.DeleteFunc(m.ended, func(server fleet.Incarnation, _ bool) bool { return !named[server] })
	maps.DeleteFunc(m.probeAt, func(server fleet.Incarnation, _ time.Duration) bool { return !named[server] })
}

func keyOf(r *Range, holder Holder) leaseKey { return leaseKey{from: r.From, to: r.To, holder: holder} }

func (m *Machine) lease(r *Range, holder Holder) *lease {
	key := keyOf(r, holder)
	l, known := m.leases[key]
	if !known {
		l = &lease{}
		m.leases[key] = l
	}
	return l
}

// over reports whether a holder surely holds its keys no more: its lease has run
// out, or it has released them and no unanswered grant can take effect.
func (l *lease) over(now time.Duration) bool {
	return now >= l.until || l.released && now >= l.late
}
