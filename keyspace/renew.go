package keyspace

import (
	"time"
)

// stepRange renews an owner, or brings a move forward.
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
		return calls // it is granted the keys once the record gives them to it
	case now < l.next || m.changing(r):
		return calls
	case l.silent:
		return m.probe(now, r, l, calls)
	}
	l.calling = true
	// Whoever may hold keys from now on is not known to have ended: a server that
	// does not tell its starts may be back under its ID at another address.
	delete(m.ended, r.Incarnation())
	return append(calls, Call{Kind: GrantCall, Holder: r.Holder, From: r.From, To: r.To, Handoff: handoff})
}

// probe asks an owner that left a grant unanswered, or has no entry, whether it
// answers. One range of the server is as good as all. It goes on as long as the
// lease lasts: a server that is back is granted its keys, and the answer of
// another at its address proves that it has ended, which frees them.
func (m *Machine) probe(now time.Duration, r *Range, l *lease, calls []Call) []Call {
	server := r.Incarnation()
	if now < m.probeAt[server] || m.hasEnded(r.Holder) {
		return calls
	}
	m.probeAt[server] = now + probeEvery
	l.calling = true
	return append(calls, Call{Kind: ProbeCall, Holder: r.Holder, From: r.From, To: r.To})
}

// changing reports whether the pending record takes the range from its owner:
// renewing it would only lengthen the wait.
func (m *Machine) changing(r *Range) bool {
	if m.pending == nil {
		return false
	}
	next := m.pending.At(r.From)
	return next == nil || next.Holder != r.Holder || next.To != r.To
}

// answered reports whether all grants to the owner of a range have been answered
// that may still take effect.
func (m *Machine) answered(now time.Duration, r *Range) bool {
	l := m.lease(r, r.Holder)
	return !l.calling && now >= l.late
}

// clear reports whether a former holder surely holds the keys no more.
func (m *Machine) clear(now time.Duration, r *Range, former Holder, l *lease) bool {
	if l.over(now) {
		return true
	}
	// The process of an earlier incarnation of the owner has ended. What reached
	// the later one in its place that one holds itself, and the keys are its own.
	return r.Incarnation().Replaces(former.Incarnation())
}
