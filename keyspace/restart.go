package keyspace

import (
	"slices"
	"time"
)

// A server may start again under its ID. Its process then holds none of its
// keys and has forgotten the tokens that it saw, while the record still names
// the process that ended.
//
// What goes wrong without care: the record's token is renewed, and a grant of
// the earlier incarnation's that is still on its way is as good as the newest;
// the keys pass to another server on the word that the earlier process has
// ended, while the later one was granted them by a call that was meant for the
// earlier; or nobody notices, and every request for the keys is refused until
// the next renewal. So the record names the incarnation, the later one is given
// the keys anew with a higher token, and whatever may have reached either of
// them binds the owner (see finishMoves).

// earlierBelieved is for how long an owner's entry must name an earlier start
// than the record before the record is taken to be behind. A controller that
// takes over may itself be behind its predecessor's record, by 2 s at most; a
// server whose clock was set back between two starts names the earlier one for
// good.
const earlierBelieved = 3 * time.Second

// noteEarlierStarts notes since when the entries of owners have named earlier
// starts than the record.
func (m *Machine) noteEarlierStarts(now time.Duration, live map[string]Server) {
	behind := map[string]bool{}
	for i := range m.record.Ranges {
		r := &m.record.Ranges[i]
		if server, alive := live[r.Server]; alive && server.Start < r.Start {
			behind[r.Server] = true
		}
	}
	for id := range m.earlier {
		if !behind[id] {
			delete(m.earlier, id)
		}
	}
	for id := range behind {
		if _, noted := m.earlier[id]; !noted {
			m.earlier[id] = now
		}
	}
}

// replaced reports whether a holder's server runs as another incarnation now.
func (m *Machine) replaced(now time.Duration, holder Holder, server Server) bool {
	if server.Start > holder.Start {
		return true
	}
	since, behind := m.earlier[holder.Server]
	return behind && server.Start < holder.Start && now-since >= earlierBelieved
}

// grantAnew gives the keys of owners that have started again to their new
// incarnations, with new tokens. It needs no word of earlier controllers: the
// keys stay with the server, and what those may still grant has lower tokens.
func (m *Machine) grantAnew(now time.Duration, next *Record, live map[string]Server) bool {
	changed := false
	for i := range next.Ranges {
		r := &next.Ranges[i]
		server, alive := live[r.Server]
		if !alive || !m.replaced(now, r.Holder, server) {
			continue
		}
		next.LastToken++
		r.passTo(Holder{Server: server.ID, Start: server.Start, Token: next.LastToken}, m.answered(now, r))
		changed = true
	}
	return changed
}

// callingEarlier reports whether a call to an earlier incarnation of the owner
// is under way: it may yet reach the owner.
func (m *Machine) callingEarlier(r *Range) bool {
	return slices.ContainsFunc(r.Former, func(former Holder) bool {
		return former.Server == r.Server && m.lease(r, former).calling
	})
}

// inherit binds an owner by the calls that were made to its earlier
// incarnations.
func (m *Machine) inherit(r *Range) {
	own := m.lease(r, r.Holder)
	for _, former := range r.Former {
		if former.Server != r.Server {
			continue
		}
		l := m.lease(r, former)
		own.until, own.late = max(own.until, l.until), max(own.late, l.late)
	}
}
