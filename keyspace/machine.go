package keyspace

import (
	"cmp"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// Server is a backend server that may hold keys.
type Server struct {
	ID string
	// Start is that of the incarnation that is registered.
	Start int64
	Slots int
	// Speed is its measured speed over the mean; 1 if not known.
	Speed float64
	// Leaving servers are emptied.
	Leaving bool
	// Silent servers are given no keys. The machine sets it.
	Silent bool
}

// Incarnation returns who the server is.
func (s *Server) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: s.ID, Start: s.Start}
}

// capacity is how many slots of mean speed the server's are worth.
func (s *Server) capacity() float64 { return float64(s.Slots) * cmp.Or(s.Speed, 1) }

// Machine runs the assignment of one service while this process is its
// controller. It is not safe for concurrent use.
type Machine struct {
	record    *Record // acknowledged by the store
	pending   *Record // being written, or nil
	confirmed time.Duration
	settled   time.Duration // from when no earlier controller grants
	calm      time.Duration // from when nothing that it sent can take effect
	planned   time.Duration
	leases    map[leaseKey]*lease
	ended     map[fleet.Incarnation]bool          // proven to have ended
	probeAt   map[fleet.Incarnation]time.Duration // not probed again before
	earlier   map[string]time.Duration            // by server: since when its entry names an earlier start than the record
	stopped   map[uint64]bool                     // incarnations of earlier controllers proven stopped
	loads     *KeyLoads
	relays    []string      // to be named by the next record
	hosts     int           // likewise
	pace      time.Duration // least time between two records
	proposed  time.Duration // when the last record was proposed
	underWay  int           // calls that have not been answered
	turn      int           // the range that is first in turn for a call
}

// mostCalls bounds the calls that are under way. Thousands at once would each take longer than a
// server is given to answer.
const mostCalls = 512

// New returns a machine for the first record of a service, which the store has
// acknowledged by a call begun at confirmed.
func New(record *Record, confirmed, now time.Duration) *Machine {
	return &Machine{record: record.Clone(), confirmed: confirmed, settled: now, calm: now,
		leases: map[leaseKey]*lease{}, ended: map[fleet.Incarnation]bool{}, probeAt: map[fleet.Incarnation]time.Duration{}, earlier: map[string]time.Duration{}, stopped: map[uint64]bool{}, loads: NewKeyLoads()}
}

// Adopt returns a machine for a record taken over from an earlier controller by
// a call begun at confirmed.
func Adopt(record *Record, confirmed, now time.Duration) *Machine {
	m := New(record, confirmed, now)
	if len(record.Earlier) > 0 {
		m.settled = now + AuthorityBound + clockMargin
	}
	// A grant of the predecessor's that had no answer may take effect until its
	// lease, counted from its arrival, has run out.
	m.calm = lapse(m.settled + underWay)
	for i := range m.record.Ranges {
		r := &m.record.Ranges[i]
		l := m.lease(r, r.Holder)
		l.until, l.late = m.calm, m.calm
		for _, former := range r.Former {
			l := m.lease(r, former)
			l.until = m.calm
			if !r.Answered {
				l.late = m.calm
			}
		}
	}
	return m
}

// Unproven returns the earlier controllers that may still grant.
func (m *Machine) Unproven(now time.Duration) []Controller {
	if m.Settled(now) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(m.record.Earlier), func(c Controller) bool { return m.stopped[c.Incarnation] })
}

// Stopped notes the proof that an earlier controller can't grant any more: it
// said so, or another process runs at its address.
func (m *Machine) Stopped(now time.Duration, earlier Controller) {
	m.stopped[earlier.Incarnation] = true
	if m.Settled(now) || len(m.Unproven(now)) > 0 {
		return
	}
	m.settled, m.calm = now, lapse(now+underWay)
	for key, l := range m.leases {
		if key.holder.Server == unknownServer {
			continue // granted by a controller that nobody knows, not by those proven stopped
		}
		l.until, l.late = min(l.until, m.calm), min(l.late, m.calm)
		l.next = min(l.next, now)
	}
}

// Settled reports whether no earlier controller can still grant.
func (m *Machine) Settled(now time.Duration) bool { return now >= m.settled }

// Record returns the acknowledged record.
func (m *Machine) Record() *Record { return m.record }

// Loads returns the measured load of keys.
func (m *Machine) Loads() *KeyLoads { return m.loads }

// Advertise notes the hosts that the next record is to name as relays, and how many hosts
// there are, 0 if that is not known.
func (m *Machine) Advertise(relays []string, hosts int) { m.relays, m.hosts = relays, hosts }

// SetPace sets the least time between two records. Each is sent to every host, which
// then spends milliseconds on it; moves that end within the time share a record.
func (m *Machine) SetPace(pace time.Duration) { m.pace = pace }

// Crowded reports whether the record has about as many ranges as it may have: keys
// are hardly moved for balance then.
func (m *Machine) Crowded(servers int) bool {
	return len(m.record.Ranges)+cutsOfMove > rangesAllowed(servers)
}

// Pending returns the record that is to be written under the acknowledged
// one's revision, or nil. It stays the same until Written or Adopt.
func (m *Machine) Pending() *Record { return m.pending }

// Confirm notes that the store confirmed this controller by a call begun at a time.
func (m *Machine) Confirm(begun time.Duration) { m.confirmed = max(m.confirmed, begun) }

// ConfirmedAge returns how long ago the store last confirmed this controller.
func (m *Machine) ConfirmedAge(now time.Duration) time.Duration { return now - m.confirmed }

// Authority reports whether the controller may still grant.
func (m *Machine) Authority(now time.Duration) bool { return now-m.confirmed < AuthorityBound }

// Written notes that the pending record was acknowledged by a call begun at a time.
func (m *Machine) Written(begun time.Duration) {
	m.record, m.pending = m.pending, nil
	m.Confirm(begun)
	m.forget()
}

// Ended notes the proof that a server's process has ended: another server
// answers at its address. Other incarnations are not meant. The proof covers what
// was granted until now: a call that is under way may yet reach a process that
// starts under the same ID, and binds as if there were no proof.
func (m *Machine) Ended(server fleet.Incarnation) {
	m.ended[server] = true
	for key, l := range m.leases {
		if key.holder.Incarnation() == server {
			l.until, l.late = 0, 0
		}
	}
}

// hasEnded reports whether a holder's process is proven to have ended.
func (m *Machine) hasEnded(holder Holder) bool { return m.ended[holder.Incarnation()] }

// Step returns the calls to make now, and sets Pending if the record has to
// change. servers are those that may hold keys.
func (m *Machine) Step(now time.Duration, servers []Server) []Call {
	if !m.Authority(now) {
		return nil
	}
	var calls []Call
	live := make(map[string]Server, len(servers))
	for _, server := range servers {
		live[server.ID] = server
	}
	m.noteEarlierStarts(now, live)
	ranges := m.record.Ranges
	for i := range ranges {
		if m.underWay+len(calls) >= mostCalls {
			// The rest is first in turn when some have been answered.
			m.turn = (m.turn + i) % len(ranges)
			break
		}
		calls = m.stepRange(now, &ranges[(m.turn+i)%len(ranges)], live, calls)
	}
	m.underWay += len(calls)
	if m.pending == nil && (m.proposed == 0 || now-m.proposed >= m.pace) {
		m.propose(now, servers, live)
	}
	return calls
}

// Granted reports whether the owner has confirmed that it holds the range.
func (m *Machine) Granted(r *Range) bool { return m.lease(r, r.Holder).granted }
