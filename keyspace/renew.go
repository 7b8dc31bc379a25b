package keyspace

import (
	"time"
)

// stepRange renews the grant of an owner, or continues a move.
func (m *Machine) stepRange(now time.Duration, r *Range, live map[string]Server, calls []Call) []Call {
	free := true
	handoff := ""
	for _, former := range r.Former {
		l := m.lease(r, former)
		if m.clear(now, r, former, l) {
			if l.handoff != "" {
				handoff = l.handoff
			}
			continue
		}
		free = false
		if !l.calling && !l.released && now >= l.retry {
			l.calling = true
			l.successor = live[former.Server].Start > former.Start
			calls = append(calls, Call{Kind: ReleaseCall, Holder: former, From: r.From, To: r.To})
		}
	}
	if !free {
		return calls
	}
	l := m.lease(r, r.Holder)
	server, alive := live[r.Server]
	switch {
	case l.calling:
		return calls
	case !alive:
		if !l.heard && now < l.until {
			return m.probe(now, r, l, calls)
		}
		return calls
	case m.replaced(now, r.Holder, server):
		return calls // granted once the record names the later incarnation
	case now < l.next || m.changing(r):
		return calls
	case l.silent:
		return m.probe(now, r, l, calls)
	}
	l.calling = true
	// An earlier proof of the holder's end no longer applies once it may hold keys: a
	// server that does not report its start time may be back at another address.
	delete(m.ended, r.Incarnation())
	return append(calls, Call{Kind: GrantCall, Holder: r.Holder, From: r.From, To: r.To, Handoff: handoff})
}

// probeOwner probes an owner that left a grant unanswered or has no entry, one range of the
// server in place of all. Probing continues until the lease expires: a server that is
// back is granted its keys, and if another server answers at the address the owner is
// proven to have ended, which frees its keys.
func (m *Machine) probe(now time.Duration, r *Range, l *lease, calls []Call) []Call {
	server := r.Incarnation()
	if now < m.probeAt[server] || m.hasEnded(r.Holder) {
		return calls
	}
	m.probeAt[server] = now + probeEvery
	l.calling = true
	return append(calls, Call{Kind: ProbeCall, Holder: r.Holder, From: r.From, To: r.To})
}

// changePending reports whether the pending record takes the range from its owner. A renewal
// would only lengthen the wait for the lease.
func (m *Machine) changing(r *Range) bool {
	if m.pending == nil {
		return false
	}
	next := m.pending.At(r.From)
	return next == nil || next.Holder != r.Holder || next.To != r.To
}

// grantsAnswered reports whether the owner of a range has replied to every grant that may
// still take effect.
func (m *Machine) answered(now time.Duration, r *Range) bool {
	l := m.lease(r, r.Holder)
	return !l.calling && now >= l.late
}

// holderCleared reports whether a former holder certainly holds the keys no more.
func (m *Machine) clear(now time.Duration, r *Range, former Holder, l *lease) bool {
	if l.over(now) {
		return true
	}
	// An earlier incarnation of the owner has ended. Grants that reached the later
	// incarnation instead do no harm, because the later one owns the keys.
	return r.Incarnation().Replaces(former.Incarnation())
}
