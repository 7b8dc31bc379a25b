package keyspace

import "time"

// AssignFirst proposes the first assignment of a service whose record has none. It reports
// whether it did: the record must be acknowledged and the controller have authority.
//
// An earlier controller that has proposed one meets this controller's record when it writes,
// and nobody grants what no acknowledged record says, so nothing has to be waited for. Only
// a store that has come back from a copy may have forgotten an assignment.
func (m *Machine) AssignFirst(now time.Duration, servers []Server) bool {
	if !m.record.Unassigned || m.pending != nil || len(servers) == 0 || !m.Authority(now) {
		return false
	}
	next := m.record.Clone()
	m.nameRelays(next) // hosts that start again learn from the record whom to ask
	next.Unassigned = false
	forgotten := next.LastToken > 0
	next.assign(servers)
	if forgotten {
		m.bindForgotten(now, next)
	}
	next.Writes++
	m.pending, m.proposed = next, now
	return true
}

// bindForgotten makes each range wait until whatever a forgotten assignment may have granted
// has lapsed.
func (m *Machine) bindForgotten(now time.Duration, next *Record) {
	lapsed := lapse(now + AuthorityBound + clockMargin + underWay)
	for i := range next.Ranges {
		r := &next.Ranges[i]
		unknown := Holder{Server: unknownServer, Token: r.Token}
		r.Former = []Holder{unknown}
		l := m.lease(r, unknown)
		l.until, l.late = lapsed, lapsed
	}
}
