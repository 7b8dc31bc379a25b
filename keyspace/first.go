package keyspace

import "time"

// AssignInitially proposes the first assignment of a service whose record has none, and
// reports whether it did. The record must be acknowledged and the controller have authority.
//
// No wait is needed: an earlier controller's proposal fails because this controller's record
// has replaced the one that it read, and no one grants what no acknowledged record contains.
// Only a store that was restored from a backup may have lost an assignment.
func (m *StateMachine) AssignInitially(now time.Duration, servers []Server) bool {
	if !m.record.Unassigned || m.pending != nil || len(servers) == 0 || !m.Authorized(now) {
		return false
	}
	next := m.record.Clone()
	m.updateRelays(next) // hosts that restart find relays in the record
	next.Unassigned = false
	restored := next.LastToken > 0
	next.assignRoundRobin(servers)
	if restored {
		m.awaitUnknownLeases(now, next)
	}
	next.Writes++
	m.pending, m.proposedAt = next, now
	return true
}

// awaitUnknownLeases makes each range wait until every lease that a lost assignment may have
// granted has expired.
func (m *StateMachine) awaitUnknownLeases(now time.Duration, next *Record) {
	lapsed := leaseExpiry(now + AuthorityTimeout + clockMargin + maxCallTime)
	for i := range next.Ranges {
		r := &next.Ranges[i]
		unknown := Holder{Server: unknownServer, Token: r.Token}
		r.FormerHolders = []Holder{unknown}
		l := m.leaseOf(r, unknown)
		l.expiry, l.unansweredExpiry = lapsed, lapsed
	}
}
