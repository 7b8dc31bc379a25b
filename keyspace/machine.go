package keyspace

import (
	"fmt"
	"maps"
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

// lease is what is known of one holder of one range. It lives in memory only.
type lease struct {
	// until is when the holder's lease has surely run out.
	until time.Duration
	// late is when an unanswered grant, which may still take effect although a
	// release was answered, has surely run out.
	late     time.Duration
	released bool
	handoff  string
	calling  bool
	next     time.Duration // not granted again before
	retry    time.Duration // not asked to release again before
	silent   bool          // the last grant had no answer: probe before granting again
	backAt   time.Duration // when the server last answered after it had been silent
	heard    bool          // the last call had an answer
	granted  bool
	stale    bool // refused: the server has seen a higher token
	// successor is set if a later incarnation was asked to release the keys: it
	// never worked on them and has nothing to hand over.
	successor bool
}

// leaseKey names a lease: the holder's token is unique for a range and a time.
type leaseKey struct {
	from, to uint16
	holder   Holder
}

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
}

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
	for _, l := range m.leases {
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

// forget drops leases that the record no longer speaks of.
func (m *Machine) forget() {
	current := map[leaseKey]bool{}
	for i := range m.record.Ranges {
		r := &m.record.Ranges[i]
		current[keyOf(r, r.Holder)] = true
		for _, former := range r.Former {
			current[keyOf(r, former)] = true
		}
	}
	named := map[fleet.Incarnation]bool{}
	for key, l := range m.leases {
		if !current[key] && !l.calling {
			delete(m.leases, key)
			continue
		}
		named[key.holder.Incarnation()] = true
	}
	maps.DeleteFunc(m.ended, func(server fleet.Incarnation, _ bool) bool { return !named[server] })
	maps.DeleteFunc(m.probeAt, func(server fleet.Incarnation, _ time.Duration) bool { return !named[server] })
}

func keyOf(r *Range, holder Holder) leaseKey { return leaseKey{from: r.From, to: r.To, holder: holder} }

func (m *Machine) lease(r *Range, holder Holder) *lease {
	key := keyOf(r, holder)
	l, known := m.leases[key]
	if !known {
		l = &lease{}
		m.leases[key] = l
	}
	return l
}

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
	for i := range m.record.Ranges {
		calls = m.stepRange(now, &m.record.Ranges[i], live, calls)
	}
	if m.pending == nil {
		m.propose(now, servers, live)
	}
	return calls
}

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

// over reports whether a holder surely holds its keys no more: its lease has run
// out, or it has released them and no unanswered grant can take effect.
func (l *lease) over(now time.Duration) bool {
	return now >= l.until || l.released && now >= l.late
}

const (
	// callRetry is how soon a call that got no answer is made again.
	callRetry = 250 * time.Millisecond
	// probeEvery is how often a server that does not answer is asked, without
	// waiting for the call before: what was sent into a cut does not arrive when
	// it has healed. With one call at a time a server's return was noticed 0.4 s
	// later on the mean. Each liveness check has a price.
	probeEvery = 250 * time.Millisecond
)

// Answered takes the result of a call that began and ended at the given times.
// An unanswered call must have been aborted, so that it can't arrive any more
// after ended.
func (m *Machine) Answered(call Call, result CallResult, handoff string, began, ended time.Duration) {
	l, known := m.leases[leaseKey{from: call.From, to: call.To, holder: call.Holder}]
	if !known {
		return
	}
	l.calling = false
	l.heard = result != CallUnanswered
	switch call.Kind {
	case GrantCall:
		m.grantAnswered(l, result, began, ended)
	case ReleaseCall:
		if result == CallUnanswered {
			l.retry = ended + callRetry
			return
		}
		l.released = true
		if !l.successor {
			l.handoff = handoff
		}
	case ProbeCall:
		if result != CallUnanswered {
			m.answers(call.Incarnation(), ended)
		} else {
			l.silent = true
		}
	}
}

// answers notes that a server answers again: all of its ranges are renewed.
func (m *Machine) answers(server fleet.Incarnation, now time.Duration) {
	for key, l := range m.leases {
		if key.holder.Incarnation() == server && l.silent {
			l.silent, l.next, l.backAt = false, now, now
		}
	}
}

func (m *Machine) grantAnswered(l *lease, result CallResult, began, ended time.Duration) {
	l.until = max(l.until, lapse(ended))
	switch result {
	case CallDone:
		l.granted, l.silent = true, false
		l.next = began + renewEvery
	case CallStale:
		l.stale = true
		l.next = ended + renewEvery
	case CallUnanswered:
		l.late = max(l.late, lapse(ended))
		l.silent = true
		l.next = ended
	}
}

// Granted reports whether the owner has confirmed that it holds the range.
func (m *Machine) Granted(r *Range) bool { return m.lease(r, r.Holder).granted }

// InvariantError reports a record that breaks the form of records.
type InvariantError struct{ What string }

// Error implements error.
func (e *InvariantError) Error() string { return "assignment: " + e.What }

// Check returns an *InvariantError unless the ranges cover all keys, each once.
func (r *Record) Check() error {
	want := 0
	for _, have := range r.Ranges {
		if int(have.From) != want || have.To < have.From {
			return &InvariantError{What: fmt.Sprintf("range %d-%d where one from %d was due", have.From, have.To, want)}
		}
		want = int(have.To) + 1
	}
	if want != LastKey+1 {
		return &InvariantError{What: fmt.Sprintf("keys from %d have no range", want)}
	}
	return nil
}
