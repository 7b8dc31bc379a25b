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
	Unresponsive bool
}

// Incarnation returns the server's incarnation.
func (s *Server) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: s.ID, Start: s.Start}
}

// capacity is the server's slots expressed as slots of mean speed.
func (s *Server) capacity() float64 { return float64(s.Slots) * cmp.Or(s.Speed, 1) }

// StateMachine runs the assignment of one service while this process is its controller. It
// is not safe for concurrent use.
type StateMachine struct {
	record                    *Record // acknowledged by the store
	pending                   *Record // being written, or nil
	confirmed                 time.Duration
	fencedAt                  time.Duration // when no predecessor can grant any more
	predecessorGrantsExpireAt time.Duration // when every lease that a predecessor may have granted has expired
	plannedAt                 time.Duration
	leases                    map[leaseKey]*lease
	ended                     map[fleet.Incarnation]bool          // proven to have ended
	nextProbe                 map[fleet.Incarnation]time.Duration // time of the next probe
	earlierStartSince         map[string]time.Duration            // by server: since when its entry has had an earlier start than the record
	stoppedPredecessors       map[uint64]bool                     // incarnations of predecessors proven stopped
	loads                     *KeyLoads
	relays                    []string      // for the next record
	hostCount                 int           // for the next record
	minWriteInterval          time.Duration // minimum time between two records
	proposedAt                time.Duration // when the last record was proposed
	callsInFlight             int           // calls without a result yet
	firstRange                int           // index of the range that is stepped first
	maxRanges                 int           // if not 0, replaces rangeLimit
}

// maxCallsInFlight bounds concurrent calls. With thousands at once, each would take longer
// than the time a server has to answer.
const maxCallsInFlight = 512

// New returns a state machine for the first record of a service, which the store has
// acknowledged by a call started at confirmed.
func New(record *Record, confirmed, now time.Duration) *StateMachine {
	return &StateMachine{record: record.Clone(), confirmed: confirmed, fencedAt: now, predecessorGrantsExpireAt: now,
		leases: map[leaseKey]*lease{}, ended: map[fleet.Incarnation]bool{}, nextProbe: map[fleet.Incarnation]time.Duration{}, earlierStartSince: map[string]time.Duration{}, stoppedPredecessors: map[uint64]bool{}, loads: NewKeyLoads()}
}

// Adopt returns a state machine for a record taken over from a predecessor by a call
// started at confirmed.
func Adopt(record *Record, confirmed, now time.Duration) *StateMachine {
	m := New(record, confirmed, now)
	if len(record.Predecessors) > 0 {
		m.fencedAt = now + AuthorityTimeout + clockMargin
	}
	// An unanswered grant by the predecessor may still arrive, and its lease counts
	// from its arrival.
	m.predecessorGrantsExpireAt = leaseExpiry(m.fencedAt + maxCallTime)
	for i := range m.record.Ranges {
		r := &m.record.Ranges[i]
		l := m.leaseOf(r, r.Holder)
		l.expiry, l.unansweredExpiry = m.predecessorGrantsExpireAt, m.predecessorGrantsExpireAt
		for _, former := range r.FormerHolders {
			l := m.leaseOf(r, former)
			l.expiry = m.predecessorGrantsExpireAt
			if !r.GrantsAnswered {
				l.unansweredExpiry = m.predecessorGrantsExpireAt
			}
		}
	}
	return m
}

// UnfencedPredecessors returns the earlier controllers that may still grant.
func (m *StateMachine) UnfencedPredecessors(now time.Duration) []Controller {
	if m.PredecessorsFenced(now) {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(m.record.Predecessors), func(c Controller) bool { return m.stoppedPredecessors[c.Incarnation] })
}

// PredecessorStopped records the proof that an earlier controller can't grant any more: it
// reported so itself, or another process runs at its address.
func (m *StateMachine) PredecessorStopped(now time.Duration, earlier Controller) {
	m.stoppedPredecessors[earlier.Incarnation] = true
	if m.PredecessorsFenced(now) || len(m.UnfencedPredecessors(now)) > 0 {
		return
	}
	m.fencedAt, m.predecessorGrantsExpireAt = now, leaseExpiry(now+maxCallTime)
	for key, l := range m.leases {
		if key.holder.Server == unknownServer {
			continue // granted by an unknown controller, not by those proven stopped
		}
		l.expiry, l.unansweredExpiry = min(l.expiry, m.predecessorGrantsExpireAt), min(l.unansweredExpiry, m.predecessorGrantsExpireAt)
		l.nextGrant = min(l.nextGrant, now)
	}
}

// PredecessorsFenced reports whether no earlier controller can still grant.
func (m *StateMachine) PredecessorsFenced(now time.Duration) bool { return now >= m.fencedAt }

// Record returns the acknowledged record.
func (m *StateMachine) Record() *Record { return m.record }

// Loads returns the measured load by key.
func (m *StateMachine) Loads() *KeyLoads { return m.loads }

// Advertise sets the relays and the number of hosts, 0 if unknown, for the next record.
func (m *StateMachine) Advertise(relays []string, hosts int) { m.relays, m.hostCount = relays, hosts }

// SetMinWriteInterval sets the minimum time between two records. Each record is sent to
// every host, which spends milliseconds on it; moves that end within the interval share one.
func (m *StateMachine) SetMinWriteInterval(pace time.Duration) { m.minWriteInterval = pace }

// NearRangeLimit reports whether the record has nearly as many ranges as allowed. Load
// balancing then has to merge ranges for most of its moves.
func (m *StateMachine) NearRangeLimit(servers int) bool {
	return len(m.record.Ranges)+rangesAddedByMove > m.rangeLimit(servers)
}

// wellBelowRangeLimit is the fraction of the maximum number of ranges up to which the record is well
// below it.
const wellBelowRangeLimit = 0.9

// BelowRangeLimit reports whether the record has well fewer ranges than allowed.
func (m *StateMachine) BelowRangeLimit(servers int) bool {
	return float64(len(m.record.Ranges)) <= wellBelowRangeLimit*float64(m.rangeLimit(servers))
}

func (m *StateMachine) rangeLimit(servers int) int {
	return cmp.Or(m.maxRanges, rangeLimit(servers))
}

// Pending returns the record to write with a compare-and-swap on the acknowledged record's
// revision, or nil. It stays the same until WriteAcknowledged or RewriteLostRecord.
func (m *StateMachine) Pending() *Record { return m.pending }

// Confirm records that the store confirmed this controller by a call started at begun.
func (m *StateMachine) Confirm(begun time.Duration) { m.confirmed = max(m.confirmed, begun) }

// ConfirmedAge returns the time since the store last confirmed this controller.
func (m *StateMachine) ConfirmedAge(now time.Duration) time.Duration { return now - m.confirmed }

// Authorized reports whether the controller may still grant.
func (m *StateMachine) Authorized(now time.Duration) bool { return now-m.confirmed < AuthorityTimeout }

// WriteAcknowledged records that the store acknowledged the pending record by a call
// started at begun.
func (m *StateMachine) WriteAcknowledged(begun time.Duration) {
	m.record, m.pending = m.pending, nil
	m.Confirm(begun)
	m.dropUnusedLeases()
}

// IncarnationEnded records the proof that a server's process has ended: another server
// answers at its address. Other incarnations are not affected. The proof covers what was
// granted until now: a call still in flight may reach a process that starts under the same
// ID, and its lease counts as if there were no proof.
func (m *StateMachine) IncarnationEnded(server fleet.Incarnation) {
	m.ended[server] = true
	for key, l := range m.leases {
		if key.holder.Incarnation() == server {
			l.expiry, l.unansweredExpiry = 0, 0
		}
	}
}

// hasEnded reports whether a holder's process is proven to have ended.
func (m *StateMachine) hasEnded(holder Holder) bool { return m.ended[holder.Incarnation()] }

// Step returns the calls to make now, and sets Pending if the record has to change. servers
// are those that may hold keys.
func (m *StateMachine) Step(now time.Duration, servers []Server) []Call {
	if !m.Authorized(now) {
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
		if m.callsInFlight+len(calls) >= maxCallsInFlight {
			// The next step begins with the remaining ranges.
			m.firstRange = (m.firstRange + i) % len(ranges)
			break
		}
		calls = m.stepRange(now, &ranges[(m.firstRange+i)%len(ranges)], live, calls)
	}
	m.callsInFlight += len(calls)
	if m.pending == nil && (m.proposedAt == 0 || now-m.proposedAt >= m.minWriteInterval) {
		m.propose(now, servers, live)
	}
	return calls
}

// Granted reports whether the owner has confirmed that it holds the range.
func (m *StateMachine) Granted(r *Range) bool { return m.leaseOf(r, r.Holder).granted }
