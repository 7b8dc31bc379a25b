package keyspace

import (
	"slices"
	"time"

	"cicadarouter/fleet"
)

// propose sets the pending record if something has to change: finished moves
// first, then servers that left, then balance.
func (m *Machine) propose(now time.Duration, servers []Server, live map[string]Server) {
	next := m.record.Clone()
	changed := m.nameRelays(next)
	changed = m.finishMoves(next) || changed
	changed = m.renewStale(now, next) || changed
	changed = m.grantAnew(now, next, live) || changed
	servers = m.markSilent(servers)
	settled := m.Settled(now)
	if settled {
		changed = changed || len(next.Earlier) > 0
		next.Earlier = nil
	}
	moves := evacuations(next, servers, m.loads, func(r *Range) bool { return m.stays(now, r, live) })
	if settled && len(moves) == 0 && now >= m.calm && now-m.planned >= planEvery {
		moves = rebalance(next, servers, m.loads)
		m.planned = now
	}
	changed = m.apply(now, next, moves, live) || changed
	if settled {
		changed = m.merge(next, changed) || changed
	}
	if changed {
		next.Writes++
		m.pending, m.proposed = next, now
	}
}

// nameRelays takes the relays over into a record, and reports whether they are a
// reason to write it: each write has a price, and the record is to name somebody
// who lives.
func (m *Machine) nameRelays(next *Record) bool {
	if len(m.relays) == 0 {
		return false
	}
	alive := 0
	for _, address := range next.Controller.Relays {
		if slices.Contains(m.relays, address) {
			alive++
		}
	}
	next.Controller.Relays = slices.Clone(m.relays)
	if m.hosts > 0 {
		next.Controller.Hosts = m.hosts
	}
	return alive == 0
}

// stays reports whether a range stays with its owner for now.
func (m *Machine) stays(now time.Duration, r *Range, live map[string]Server) bool {
	server, registered := live[r.Server]
	switch {
	case registered && m.replaced(now, r.Holder, server):
		return true // its later incarnation is given the keys
	case m.hasEnded(r.Holder):
		// Whatever an earlier controller still grants to it reaches nobody, so not
		// even a successor has to wait. A controller is often lost together with
		// servers; until it can't grant any more takes 5.75 s.
		return false
	case !m.Settled(now):
		return true
	case registered:
		return !server.Leaving
	}
	return m.waitFor(now, r)
}

// waitFor reports a lost owner whose keys stay with it until its lease has run
// out: it does not answer, so nobody can have them earlier. An owner that is
// only cut off is back by then, more often than not with its whole failure
// domain, whose keys would otherwise fill the other servers for seconds after. One
// that answers again is given the time to register anew: moving the keys of a
// whole domain at its return turned away a quarter of the service's requests for
// 6 s when the controller was lost on top of it.
func (m *Machine) waitFor(now time.Duration, r *Range) bool {
	l := m.lease(r, r.Holder)
	if l.backAt > 0 && now < l.backAt+returnWait {
		return true
	}
	return !l.heard && now < l.until
}

// returnWait is how long a server that answers again has to be registered again:
// live servers renew their entries within about 2 s.
const returnWait = 2 * time.Second

// markSilent marks the servers that left a grant unanswered or have ended. One
// that has fallen silent has no load soon, and would be given the busiest keys.
func (m *Machine) markSilent(servers []Server) []Server {
	silent := map[fleet.Incarnation]bool{}
	for key, l := range m.leases {
		if l.silent {
			silent[key.holder.Incarnation()] = true
		}
	}
	marked := slices.Clone(servers)
	for i := range marked {
		incarnation := marked[i].Incarnation()
		marked[i].Silent = silent[incarnation] || m.ended[incarnation]
	}
	return marked
}

// finishMoves takes the former holders out of ranges whose owner holds them. An
// owner takes over what binds its earlier incarnations.
func (m *Machine) finishMoves(next *Record) bool {
	changed := false
	for i := range next.Ranges {
		r := &next.Ranges[i]
		if !r.Moving() || !m.lease(r, r.Holder).granted || m.callingEarlier(r) {
			continue
		}
		m.inherit(r)
		r.Former, r.Answered = nil, false
		changed = true
	}
	return changed
}

// apply changes the record by the moves. Leases of ranges that are cut apart
// pass to the parts.
func (m *Machine) apply(now time.Duration, next *Record, moves []Move, live map[string]Server) bool {
	changed := false
	for _, move := range moves {
		if m.calling(next, move) {
			continue
		}
		m.cut(next, move.From)
		if move.To < LastKey {
			m.cut(next, move.To+1)
		}
		for i := range next.Ranges {
			r := &next.Ranges[i]
			if r.From < move.From || r.To > move.To || r.Server == move.Server {
				continue
			}
			changed = true
			next.LastToken++
			free, answered := m.free(now, r), m.answered(now, r)
			r.passTo(Holder{Server: move.Server, Start: live[move.Server].Start, Token: next.LastToken}, answered)
			if free {
				r.Former, r.Answered = nil, false
			}
		}
	}
	return changed
}

// free reports whether nobody can hold the keys of a range any more. They are
// given to their next owner by one record then. A successor that finds the move
// half-way, with a former holder that does not answer, would have to wait for the
// longest lease again; when all hosts were killed just as the keys of a domain
// that had been cut off were moving, that took 6 s.
func (m *Machine) free(now time.Duration, r *Range) bool {
	for _, holder := range append(slices.Clone(r.Former), r.Holder) {
		if l := m.lease(r, holder); l.calling || !l.over(now) {
			return false
		}
	}
	return true
}

// calling reports whether a call about the keys to move is under way. Its
// answer speaks of the range as it was, so the range is not cut meanwhile.
func (m *Machine) calling(next *Record, move Move) bool {
	for i := range next.Ranges {
		r := &next.Ranges[i]
		if r.To < move.From || r.From > move.To {
			continue
		}
		if m.lease(r, r.Holder).calling || m.callingEarlier(r) {
			return true
		}
	}
	return false
}

// renewStale gives a new token to owners that have seen a higher one than the
// record gives them: they refuse every renewal.
func (m *Machine) renewStale(now time.Duration, next *Record) bool {
	changed := false
	for i := range next.Ranges {
		r := &next.Ranges[i]
		l := m.lease(r, r.Holder)
		if !l.stale || l.calling {
			continue
		}
		next.LastToken++
		r.passTo(Holder{Server: r.Server, Start: r.Start, Token: next.LastToken}, m.answered(now, r))
		changed = true
	}
	return changed
}

// mergeAt is how many ranges must be superfluous before they are joined for
// that alone; each range costs a call for every renewal.
const mergeAt = 8

// merge joins neighbouring ranges of one owner under a new token. The owner
// holds the keys already, so nothing has to be released.
func (m *Machine) merge(next *Record, writing bool) bool {
	joinable := 0
	for i := 1; i < len(next.Ranges); i++ {
		if m.joinable(&next.Ranges[i-1], &next.Ranges[i]) {
			joinable++
		}
	}
	if joinable == 0 || !writing && joinable < mergeAt {
		return false
	}
	kept := next.Ranges[:1]
	for _, r := range next.Ranges[1:] {
		last := &kept[len(kept)-1]
		if !m.joinable(last, &r) {
			kept = append(kept, r)
			continue
		}
		left, right := *m.lease(last, last.Holder), *m.lease(&r, r.Holder)
		next.LastToken++
		last.To = r.To
		last.Token = next.LastToken
		m.leases[keyOf(last, last.Holder)] = &lease{until: max(left.until, right.until), late: max(left.late, right.late), granted: true}
	}
	next.Ranges = kept
	return true
}

// joinable reports whether two neighbouring ranges can become one now.
func (m *Machine) joinable(a, b *Range) bool {
	if a.Incarnation() != b.Incarnation() || a.Moving() || b.Moving() || m.hasEnded(a.Holder) {
		return false
	}
	left, right := m.lease(a, a.Holder), m.lease(b, b.Holder)
	return left.granted && right.granted && !left.calling && !right.calling &&
		!left.silent && !right.silent && !left.stale && !right.stale
}

// cut makes a range begin at a key.
func (m *Machine) cut(next *Record, at uint16) {
	r := next.At(at)
	if r == nil || r.From == at {
		return
	}
	left, right := *r, *r
	left.To, right.From = at-1, at
	right.Former = slices.Clone(r.Former)
	for _, holder := range append(slices.Clone(r.Former), r.Holder) {
		whole := *m.lease(r, holder)
		whole.calling = false
		for _, part := range []Range{left, right} {
			copied := whole
			m.leases[keyOf(&part, holder)] = &copied
		}
	}
	i := slices.IndexFunc(next.Ranges, func(have Range) bool { return have.From == left.From })
	next.Ranges[i] = left
	next.Ranges = slices.Insert(next.Ranges, i+1, right)
}
