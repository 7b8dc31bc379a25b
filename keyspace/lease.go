package keyspace

import (
	"maps"
	"time"

	"cicadarouter/fleet"
)

// lease is the in-memory state of one holder of one range.
type lease struct {
	// expiry is when the holder's lease has certainly expired.
	expiry time.Duration
	// unansweredExpiry is when the leases of all unanswered grants have certainly expired.
	// Such a grant may take effect even after an answered release.
	unansweredExpiry time.Duration
	released         bool
	handoff          string
	callInFlight     bool
	nextGrant        time.Duration // no grant before
	nextRelease      time.Duration // no release call before
	unresponsive     bool          // the last grant or probe was unanswered: probe before the next grant
	recoveredAt      time.Duration // when the server answered again after being unresponsive
	answeredLast     bool          // the last call was answered
	granted          bool
	tokenStale       bool // refused: the server has seen a higher token
	// successorAsked is set if a later incarnation was asked to release the keys. It never
	// worked on them and has nothing to hand over.
	successorAsked bool
}

// leaseKey identifies a lease. The holder's token is unique per range and assignment.
type leaseKey struct {
	from, to uint16
	holder   Holder
}

// dropUnusedLeases drops leases that are no longer in the record.
func (m *StateMachine) dropUnusedLeases() {
	current := map[leaseKey]bool{}
	for i := range m.record.Ranges {
		r := &m.record.Ranges[i]
		current[keyOf(r, r.Holder)] = true
		for _, former := range r.FormerHolders {
			current[keyOf(r, former)] = true
		}
	}
	named := map[fleet.Incarnation]bool{}
	for key, l := range m.leases {
		if !current[key] && !l.callInFlight {
			delete(m.leases, key)
			continue
		}
		named[key.holder.Incarnation()] = true
	}
	maps.DeleteFunc(m.ended, func(server fleet.Incarnation, _ bool) bool { return !named[server] })
	maps.DeleteFunc(m.nextProbe, func(server fleet.Incarnation, _ time.Duration) bool { return !named[server] })
}

func keyOf(r *Range, holder Holder) leaseKey { return leaseKey{from: r.From, to: r.To, holder: holder} }

func (m *StateMachine) leaseOf(r *Range, holder Holder) *lease {
	key := keyOf(r, holder)
	l, known := m.leases[key]
	if !known {
		l = &lease{}
		m.leases[key] = l
	}
	return l
}

// lapsed reports whether a holder certainly holds its keys no more: its lease has expired, or
// it has released them and no unanswered grant can take effect.
func (l *lease) lapsed(now time.Duration) bool {
	return now >= l.expiry || l.released && now >= l.unansweredExpiry
}
