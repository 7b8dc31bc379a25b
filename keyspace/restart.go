package keyspace

import (
	"slices"
	"time"
)

// A server may restart under its ID. The new process holds no keys and has lost the tokens
// that the old one had seen, while the record still names the old process.
//
// Three failures must be prevented. If the token in the record were renewed, a delayed grant
// to the earlier incarnation would be as valid as the newest one. If the proof that the
// earlier process has ended freed the keys, they would move to another server while the later
// process may hold them by a call meant for the earlier one. And if the restart went
// unnoticed, every request for the keys would be refused until the next renewal.
//
// The record therefore names the incarnation, the later one is granted the keys with a
// higher token, and the owner inherits the leases of its earlier incarnations (see
// finishMoves).

// earlierStartDelay is how long an owner's entry must have an earlier start than the record
// before the record counts as outdated. A controller that takes over may itself see entries
// that are up to 2 s behind its predecessor's record. A server whose clock was set back
// between two starts keeps the earlier start.
const earlierStartDelay = 3 * time.Second

// noteEarlierStarts records since when the entries of owners have had earlier starts than
// the record.
func (m *StateMachine) noteEarlierStarts(now time.Duration, live map[string]Server) {
	behind := map[string]bool{}
	for i := range m.record.Ranges {
		r := &m.record.Ranges[i]
		if server, alive := live[r.Server]; alive && server.Start < r.Start {
			behind[r.Server] = true
		}
	}
	for id := range m.earlierStartSince {
		if !behind[id] {
			delete(m.earlierStartSince, id)
		}
	}
	for id := range behind {
		if _, noted := m.earlierStartSince[id]; !noted {
			m.earlierStartSince[id] = now
		}
	}
}

// restarted reports whether a holder's server now runs as another incarnation.
func (m *StateMachine) restarted(now time.Duration, holder Holder, server Server) bool {
	if server.Start > holder.Start {
		return true
	}
	since, behind := m.earlierStartSince[holder.Server]
	return behind && server.Start < holder.Start && now-since >= earlierStartDelay
}

// reassignRestarted gives the keys of restarted owners to their new incarnations with new
// tokens. This need not wait for earlier controllers: the keys stay with the server, and
// grants by those controllers have lower tokens.
func (m *StateMachine) reassignRestarted(now time.Duration, next *Record, live map[string]Server) bool {
	changed := false
	for i := range next.Ranges {
		r := &next.Ranges[i]
		server, alive := live[r.Server]
		if !alive || !m.restarted(now, r.Holder, server) {
			continue
		}
		next.LastToken++
		r.reassign(Holder{Server: server.ID, Start: server.Start, Token: next.LastToken}, m.grantsAnswered(now, r))
		changed = true
	}
	return changed
}

// formerCallInFlight reports whether a call to an earlier incarnation of the owner is in
// flight. It may still reach the owner.
func (m *StateMachine) formerCallInFlight(r *Range) bool {
	return slices.ContainsFunc(r.FormerHolders, func(former Holder) bool {
		return former.Server == r.Server && m.leaseOf(r, former).callInFlight
	})
}

// inheritLeases extends an owner's lease by those of its earlier incarnations, whose calls
// may have reached it.
func (m *StateMachine) inheritLeases(r *Range) {
	own := m.leaseOf(r, r.Holder)
	for _, former := range r.FormerHolders {
		if former.Server != r.Server {
			continue
		}
		l := m.leaseOf(r, former)
		own.expiry, own.unansweredExpiry = max(own.expiry, l.expiry), max(own.unansweredExpiry, l.unansweredExpiry)
	}
}
