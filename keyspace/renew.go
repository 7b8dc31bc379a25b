package keyspace

import (
	"time"
)

// stepRange renews the grant of an owner, or continues a move.
func (m *StateMachine) stepRange(now time.Duration, r *Range, live map[string]Server, calls []Call) []Call {
	free := true
	handoff := ""
	for _, former := range r.FormerHolders {
		l := m.leaseOf(r, former)
		if m.holderCleared(now, r, former, l) {
			if l.handoff != "" {
				handoff = l.handoff
			}
			continue
		}
		free = false
		if !l.callInFlight && !l.released && now >= l.nextRelease {
			l.callInFlight = true
			l.successorAsked = live[former.Server].Start > former.Start
			calls = append(calls, Call{Kind: ReleaseCall, Holder: former, From: r.From, To: r.To})
		}
	}
	if !free {
		return calls
	}
	l := m.leaseOf(r, r.Holder)
	server, alive := live[r.Server]
	switch {
	case l.callInFlight:
		return calls
	case !alive:
		if !l.answeredLast && now < l.expiry {
			return m.probeOwner(now, r, l, calls)
		}
		return calls
	case m.restarted(now, r.Holder, server):
		return calls // granted once the record names the later incarnation
	case now < l.nextGrant || m.changePending(r):
		return calls
	case l.unresponsive:
		return m.probeOwner(now, r, l, calls)
	}
	l.callInFlight = true
	// An earlier proof of the holder's end no longer applies once it may hold keys: a
	// server that does not report its start time may be back at another address.
	delete(m.ended, r.Incarnation())
	return append(calls, Call{Kind: GrantCall, Holder: r.Holder, From: r.From, To: r.To, Handoff: handoff})
}

// probeOwner probes an owner that left a grant unanswered or has no entry, one range of the
// server in place of all. Probing continues until the lease expires: a server that is
// back is granted its keys, and if another server answers at the address the owner is
// proven to have ended, which frees its keys.
func (m *StateMachine) probeOwner(now time.Duration, r *Range, l *lease, calls []Call) []Call {
	server := r.Incarnation()
	if now < m.nextProbe[server] || m.hasEnded(r.Holder) {
		return calls
	}
	m.nextProbe[server] = now + probeInterval
	l.callInFlight = true
	return append(calls, Call{Kind: ProbeCall, Holder: r.Holder, From: r.From, To: r.To})
}

// changePending reports whether the pending record takes the range from its owner. A renewal
// would only lengthen the wait for the lease.
func (m *StateMachine) changePending(r *Range) bool {
	if m.pending == nil {
		return false
	}
	next := m.pending.RangeOf(r.From)
	return next == nil || next.Holder != r.Holder || next.To != r.To
}

// grantsAnswered reports whether the owner of a range has replied to every grant that may
// still take effect.
func (m *StateMachine) grantsAnswered(now time.Duration, r *Range) bool {
	l := m.leaseOf(r, r.Holder)
	return !l.callInFlight && now >= l.unansweredExpiry
}

// holderCleared reports whether a former holder certainly holds the keys no more.
func (m *StateMachine) holderCleared(now time.Duration, r *Range, former Holder, l *lease) bool {
	if l.lapsed(now) {
		return true
	}
	// An earlier incarnation of the owner has ended. Grants that reached the later
	// incarnation instead do no harm, because the later one owns the keys.
	return r.Incarnation().Replaces(former.Incarnation())
}
