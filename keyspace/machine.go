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
	// Start is the start time of the registered incarnation.
	Start int64
	Slots int
	// Speed is the measured speed relative to the mean of all servers; 1 if unknown.
	Speed float64
	// Leaving servers have their keys moved away.
	Leaving bool
	// Unresponsive servers are given no keys. The StateMachine sets it.
	Silent bool
}

// Incarnation returns the server's incarnation.
func (s *Server) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: s.ID, Start: s.Start}
}

// capacity is the server's slots expressed as slots of mean speed.
func (s *Server) capacity() float64 { return float64(s.Slots) * cmp.Or(s.Speed, 1) }

// StateMachine runs the assignment of one service while this process is its controller. It
// is not safe for concurrent use.
type Machine struct {
	record    *Record // acknowledged by the store
	pending   *Record // being written, or nil
	confirmed time.Duration
	settled   time.Duration // when no predecessor can grant any more
	calm      time.Duration // when every lease that a predecessor may have granted has expired
	planned   time.Duration
	leases    map[leaseKey]*lease
	ended     map[fleet.Incarnation]bool          // proven to have ended
	probeAt   map[fleet.Incarnation]time.Duration // time of the next probe
	earlier   map[string]time.Duration            // by server: since when its entry has had an earlier start than the record
	stopped   map[uint64]bool                     // incarnations of predecessors proven stopped
	loads     *KeyLoads
	relays    []string      // for the next record
	hosts     int           // for the next record
	pace      time.Duration // minimum time between two records
	proposed  time.Duration // when the last record was proposed
	underWay  int           // calls without a result yet
	turn      int           // index of the range that is stepped first
}

// maxCallsInFlight bounds concurrent calls. With thousands at once, each would take longer
// than the time a server has to answer.
const mostCalls = 512

// New returns a state machine for the first record of a service, which the store has
// acknowledged by a call started at confirmed.
func New(record *Record, confirmed, now time.Duration) *Machine {
	return &Machine{record: record.Clone(), confirmed: confirmed, settled: now, calm: now,
		leases: map[leaseKey]*lease{}, ended: map[fleet.Incarnation]bool{}, probeAt: map[fleet.Incarnation]time.Duration{}, earlier: map[string]time.Duration{}, stopped: map[uint64]bool{}, loads: NewKeyLoads()}
}

// Adopt returns a state machine for a record taken over from a predecessor by a call
// started at confirmed.
func Adopt(record *Record, confirmed, now time.Duration) *Machine {
	m := New(record, confirmed, now)
	if len(record.Earlier) > 0 {
		m.settled = now + AuthorityBound + clockMargin
	}
	// An unanswered grant by the predecessor may still arrive, and its lease counts
	// from its arrival.
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

// UnfencedPredecessors returns the earlier controllers that may still grant.
func (m *Machine) Unproven(now time.Duration) []Controller {
	if m.Settled(now) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(m.record.Earlier), func(c Controller) bool { return m.stopped[c.Incarnation] })
}

// PredecessorStopped records the proof that an earlier controller can't grant any more: it
// reported so itself, or another process runs at its address.
func (m *Machine) Stopped(now time.Duration, earlier Controller) {
	m.stopped[earlier.Incarnation] = true
	if m.Settled(now) || len(m.Unproven(now)) > 0 {
		return
	}
	m.settled, m.calm = now, lapse(now+underWay)
	for key, l := range m.leases {
		if key.holder.Server == unknownServer {
			continue // granted by an unknown controller, not by those proven stopped
		}
		l.until, l.late = min(l.until, m.calm), min(l.late, m.calm)
		l.next = min(l.next, now)
	}
}

// PredecessorsFenced reports whether no earlier controller can still grant.
func (m *Machine) Settled(now time.Duration) bool { return now >= m.settled }

// Record returns the acknowledged record.
func (m *Machine) Record() *Record { return m.record }

// Loads returns the measured load by key.
func (m *Machine) Loads() *KeyLoads { return m.loads }

// Advertise sets the relays and the number of hosts, 0 if unknown, for the next record.
func (m *Machine) Advertise(relays []string, hosts int) { m.relays, m.hosts = relays, hosts }

// SetMinWriteInterval sets the minimum time between two records. Each record is sent to
// every host, which spends milliseconds on it; moves that end within the interval share one.
func (m *Machine) SetPace(pace time.Duration) { m.pace = pace }

// NearRangeLimit reports whether the record has nearly as many ranges as allowed. Load
// balancing can then hardly move any keys.
func (m *Machine) Crowded(servers int) bool {
	return len(m.record.Ranges)+cutsOfMove > rangesAllowed(servers)
}

// Pending returns the record to write with a compare-and-swap on the acknowledged record's
// revision, or nil. It stays the same until WriteAcknowledged or RewriteLostRecord.
func (m *Machine) Pending() *Record { return m.pending }

// Confirm records that the store confirmed this controller by a call started at begun.
func (m *Machine) Confirm(begun time.Duration) { m.confirmed = max(m.confirmed, begun) }

// ConfirmedAge returns the time since the store last confirmed this controller.
func (m *Machine) ConfirmedAge(now time.Duration) time.Duration { return now - m.confirmed }

// Authorized reports whether the controller may still grant.
func (m *Machine) Authority(now time.Duration) bool { return now-m.confirmed < AuthorityBound }

// WriteAcknowledged records that the store acknowledged the pending record by a call
// started at begun.
func (m *Machine) Written(begun time.Duration) {
	m.record, m.pending = m.pending, nil
	m.Confirm(begun)
	m.forget()
}

// IncarnationEnded records the proof that a server's process has ended: another server
// answers at its address. Other incarnations are not affected. The proof covers what was
// granted until now: a call still in flight may reach a process that starts under the same
// ID, and its lease counts as if there were no proof.
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

// Step returns the calls to make now, and sets Pending if the record has to change. servers
// are those that may hold keys.
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
			// The next step begins with the remaining ranges.
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
