package keyspace

import (
	"math"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// propose sets the pending record if something has to change. Finished moves come first,
// then evacuations, then load balancing.
func (m *StateMachine) propose(now time.Duration, servers []Server, live map[string]Server) {
	next := m.record.Clone()
	changed := m.updateRelays(next)
	changed = m.finishMoves(next) || changed
	changed = m.reissueStaleTokens(now, next) || changed
	changed = m.reassignRestarted(now, next, live) || changed
	servers = m.markUnresponsive(servers)
	settled := m.PredecessorsFenced(now)
	if settled {
		changed = changed || len(next.Predecessors) > 0
		next.Predecessors = nil
	}
	limit := m.rangeLimit(len(servers))
	allowed := math.MaxInt // keys of lost servers need an owner at any rate
	moves := evacuations(next, servers, m.loads, limit, func(r *Range) bool { return m.keepsOwner(now, r, live) })
	if settled && len(moves) == 0 && now >= m.predecessorGrantsExpireAt && now-m.plannedAt >= m.planInterval(len(servers)) {
		moves = rebalance(next, servers, m.loads, limit)
		allowed = limit
		m.plannedAt = now
	}
	changed = m.applyMoves(now, next, moves, live, allowed) || changed
	if settled {
		changed = m.mergeRanges(next, changed || len(next.Ranges) > limit) || changed
	}
	if changed {
		next.Writes++
		m.pending, m.proposedAt = next, now
	}
}

// planInterval returns the minimum time between two plans for balance.
func (m *StateMachine) planInterval(servers int) time.Duration {
	if m.NearRangeLimit(servers) && mergedRanges(m.record) <= m.rangeLimit(servers) {
		return mergingPlanInterval
	}
	return planInterval
}

// updateRelays copies the relays into a record, and reports whether they are a reason to
// write it: only if the record names none that is still a relay, because writes are costly.
func (m *StateMachine) updateRelays(next *Record) bool {
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
	if m.hostCount > 0 {
		next.Controller.Hosts = m.hostCount
	}
	return alive == 0
}

// keepsOwner reports whether a range's owner keeps it for now.
func (m *StateMachine) keepsOwner(now time.Duration, r *Range, live map[string]Server) bool {
	server, registered := live[r.Server]
	switch {
	case registered && m.restarted(now, r.Holder, server):
		return true // the owner's later incarnation is given the keys
	case m.hasEnded(r.Holder):
		// Grants by an earlier controller have no effect on an ended process, so even a
		// successor need not wait the 5.75 s until the earlier controller can't grant any
		// more. A controller is often lost together with servers.
		return false
	case !m.PredecessorsFenced(now):
		return true
	case registered:
		return !server.Leaving
	}
	return m.awaitsLeaseExpiry(now, r)
}

// awaitsLeaseExpiry reports whether the keys of a lost owner stay with it until its lease has
// expired. It does not answer, so no one can have the keys earlier. An owner that was only
// disconnected is usually back by then, together with its failure domain; moving the
// domain's keys would overload the other servers for seconds. An owner that answers again
// gets time to register again: when the controller was lost at the same time, moving a
// whole domain's keys at its return rejected a quarter of the service's requests for 6 s.
func (m *StateMachine) awaitsLeaseExpiry(now time.Duration, r *Range) bool {
	l := m.leaseOf(r, r.Holder)
	if l.recoveredAt > 0 && now < l.recoveredAt+reregistrationWait {
		return true
	}
	return !l.answeredLast && now < l.expiry
}

// reregistrationWait is how long a server that answers again has to register again. Live
// servers renew their entries within about 2 s.
const reregistrationWait = 2 * time.Second

// markUnresponsive marks the servers that left a grant unanswered or have ended. Their
// measured load drops soon, which would make them receivers of the busiest keys.
func (m *StateMachine) markUnresponsive(servers []Server) []Server {
	silent := map[fleet.Incarnation]bool{}
	for key, l := range m.leases {
		if l.unresponsive {
			silent[key.holder.Incarnation()] = true
		}
	}
	marked := slices.Clone(servers)
	for i := range marked {
		incarnation := marked[i].Incarnation()
		marked[i].Unresponsive = silent[incarnation] || m.ended[incarnation]
	}
	return marked
}

// finishMoves removes the former holders from ranges whose owner has confirmed its grant.
// The owner inherits the leases of its earlier incarnations.
func (m *StateMachine) finishMoves(next *Record) bool {
	changed := false
	for i := range next.Ranges {
		r := &next.Ranges[i]
		if !r.Moving() || !m.leaseOf(r, r.Holder).granted || m.formerCallInFlight(r) {
			continue
		}
		m.inheritLeases(r)
		r.FormerHolders, r.GrantsAnswered = nil, false
		changed = true
	}
	return changed
}

// applyMoves changes the record by the moves. When a range is split, both parts get its leases.
// limit is the maximum number of ranges: moves that need ranges which a blocked move would have
// freed are left to the next plan.
func (m *StateMachine) applyMoves(now time.Duration, next *Record, moves []Move, live map[string]Server, limit int) bool {
	changed := false
	ranges := mergedRanges(next)
	for _, move := range moves {
		if m.moveBlocked(next, move) {
			continue
		}
		added := addedRanges(next, move)
		if added > 0 && ranges+added > limit {
			continue
		}
		ranges += added
		m.splitRange(next, move.From)
		if move.To < LastKey {
			m.splitRange(next, move.To+1)
		}
		for i := range next.Ranges {
			r := &next.Ranges[i]
			if r.From < move.From || r.To > move.To || r.Server == move.Server {
				continue
			}
			changed = true
			next.LastToken++
			free, answered := m.unheld(now, r), m.grantsAnswered(now, r)
			r.reassign(Holder{Server: move.Server, Start: live[move.Server].Start, Token: next.LastToken}, answered)
			if free {
				r.FormerHolders, r.GrantsAnswered = nil, false
			}
		}
	}
	return changed
}

// unheld reports whether no one can hold the keys of a range any more. A single record then
// gives them to the next owner. A successor that read the move half done, with a former
// holder that does not answer, would wait for the longest lease again: 6 s when all hosts
// were killed while the keys of a disconnected domain were moving.
func (m *StateMachine) unheld(now time.Duration, r *Range) bool {
	for _, holder := range append(slices.Clone(r.FormerHolders), r.Holder) {
		if l := m.leaseOf(r, holder); l.callInFlight || !l.lapsed(now) {
			return false
		}
	}
	return true
}

// moveBlocked reports whether a call about the keys to move is in flight. Its result refers
// to the range as it was, so the range must not be split meanwhile.
func (m *StateMachine) moveBlocked(next *Record, move Move) bool {
	for i := range next.Ranges {
		r := &next.Ranges[i]
		if r.To < move.From || r.From > move.To {
			continue
		}
		if m.leaseOf(r, r.Holder).callInFlight || m.formerCallInFlight(r) {
			return true
		}
	}
	return false
}

// reissueStaleTokens gives a new token to owners that have seen a higher one than the
// record's: they refuse every renewal.
func (m *StateMachine) reissueStaleTokens(now time.Duration, next *Record) bool {
	changed := false
	for i := range next.Ranges {
		r := &next.Ranges[i]
		l := m.leaseOf(r, r.Holder)
		if !l.tokenStale || l.callInFlight {
			continue
		}
		next.LastToken++
		r.reassign(Holder{Server: r.Server, Start: r.Start, Token: next.LastToken}, m.grantsAnswered(now, r))
		changed = true
	}
	return changed
}

// mergeThreshold is how many ranges must be redundant before merging them justifies a write
// of its own. Each range costs a call per renewal.
const mergeThreshold = 8

// mergeRanges joins adjacent ranges of one owner under a new token. The owner already holds
// the keys, so nothing has to be released. With few redundant ranges it does so only if the
// record is written anyway or exceeds the maximum number of ranges.
func (m *StateMachine) mergeRanges(next *Record, few bool) bool {
	joinable := 0
	for i := 1; i < len(next.Ranges); i++ {
		if m.mergeable(&next.Ranges[i-1], &next.Ranges[i]) {
			joinable++
		}
	}
	if joinable == 0 || !few && joinable < mergeThreshold {
		return false
	}
	kept := next.Ranges[:1]
	for _, r := range next.Ranges[1:] {
		last := &kept[len(kept)-1]
		if !m.mergeable(last, &r) {
			kept = append(kept, r)
			continue
		}
		left, right := *m.leaseOf(last, last.Holder), *m.leaseOf(&r, r.Holder)
		next.LastToken++
		last.To = r.To
		last.Token = next.LastToken
		m.leases[keyOf(last, last.Holder)] = &lease{expiry: max(left.expiry, right.expiry), unansweredExpiry: max(left.unansweredExpiry, right.unansweredExpiry), granted: true}
	}
	next.Ranges = kept
	return true
}

// mergeable reports whether two adjacent ranges can be merged now.
func (m *StateMachine) mergeable(a, b *Range) bool {
	if a.Incarnation() != b.Incarnation() || a.Moving() || b.Moving() || m.hasEnded(a.Holder) {
		return false
	}
	left, right := m.leaseOf(a, a.Holder), m.leaseOf(b, b.Holder)
	return left.granted && right.granted && !left.callInFlight && !right.callInFlight &&
		!left.unresponsive && !right.unresponsive && !left.tokenStale && !right.tokenStale
}

// splitRange splits the range that contains a key, so that a range starts at the key.
func (m *StateMachine) splitRange(next *Record, at uint16) {
	r := next.RangeOf(at)
	if r == nil || r.From == at {
		return
	}
	left, right := *r, *r
	left.To, right.From = at-1, at
	right.FormerHolders = slices.Clone(r.FormerHolders)
	for _, holder := range append(slices.Clone(r.FormerHolders), r.Holder) {
		whole := *m.leaseOf(r, holder)
		whole.callInFlight = false
		for _, part := range []Range{left, right} {
			copied := whole
			m.leases[keyOf(&part, holder)] = &copied
		}
	}
	i := slices.IndexFunc(next.Ranges, func(have Range) bool { return have.From == left.From })
	next.Ranges[i] = left
	next.Ranges = slices.Insert(next.Ranges, i+1, right)
}
