package keyspace

import (
	"fmt"
	"slices"
	"time"
)

// Server is a backend server that may hold keys.
type Server struct {
	ID    string
	Slots int
	// Speed is its measured speed over the mean; 1 if not known.
	Speed float64
	// Leaving servers are emptied.
	Leaving bool
}

// CallKind is what a call asks of a server.
type CallKind int

// The kinds of calls.
const (
	// GrantCall grants or renews the keys.
	GrantCall CallKind = iota
	// ReleaseCall takes the keys back.
	ReleaseCall
	// ProbeCall only asks whether the server answers.
	ProbeCall
)

// String returns the kind's name.
func (k CallKind) String() string {
	switch k {
	case GrantCall:
		return "grant"
	case ReleaseCall:
		return "release"
	}
	return "probe"
}

// Call is a call to make to a server.
type Call struct {
	Kind   CallKind
	Server string
	From   uint16
	To     uint16
	Token  uint64
	// Handoff is what the last holder's release returned.
	Handoff string
}

// CallResult is how a call ended.
type CallResult int

// The results of calls.
const (
	// CallDone: the server answered and did it.
	CallDone CallResult = iota
	// CallStale: the server has seen a higher token.
	CallStale
	// CallUnanswered: the call may take effect, or may have.
	CallUnanswered
)

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
	granted  bool
	stale    bool // refused: the server has seen a higher token
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
	gone      map[string]bool // servers proven ended
	stopped   map[uint64]bool // incarnations of earlier controllers proven stopped
	loads     *KeyLoads
}

// New returns a machine for the first record of a service, which the store has
// acknowledged by a call begun at confirmed.
func New(record *Record, confirmed, now time.Duration) *Machine {
	return &Machine{record: record.Clone(), confirmed: confirmed, settled: now, calm: now,
		leases: map[leaseKey]*lease{}, gone: map[string]bool{}, stopped: map[uint64]bool{}, loads: NewKeyLoads()}
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
		for _, holder := range append(slices.Clone(r.Former), r.Holder) {
			l := m.lease(r, holder)
			l.until, l.late = m.calm, m.calm
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
// answers at its address.
func (m *Machine) Ended(server string) { m.gone[server] = true }

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
	for key, l := range m.leases {
		if !current[key] && !l.calling {
			delete(m.leases, key)
		}
	}
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

// BackAt returns when a range is expected to have an owner at the latest.
func (m *Machine) BackAt(r *Range) time.Duration {
	var back time.Duration
	for _, former := range r.Former {
		back = max(back, m.lease(r, former).until)
	}
	return back
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
	probed := map[string]bool{}
	for i := range m.record.Ranges {
		calls = m.stepRange(now, &m.record.Ranges[i], live, probed, calls)
	}
	if m.pending == nil {
		m.propose(now, servers, live)
	}
	return calls
}

// stepRange renews an owner, or brings a move forward.
func (m *Machine) stepRange(now time.Duration, r *Range, live map[string]Server, probed map[string]bool, calls []Call) []Call {
	free := true
	handoff := ""
	for _, former := range r.Former {
		l := m.lease(r, former)
		if m.clear(now, former, l) {
			if l.handoff != "" {
				handoff = l.handoff
			}
			continue
		}
		free = false
		if !l.calling && !l.released && now >= l.retry {
			l.calling = true
			calls = append(calls, Call{Kind: ReleaseCall, Server: former.Server, From: r.From, To: r.To, Token: former.Token})
		}
	}
	if !free {
		return calls
	}
	if _, alive := live[r.Server]; !alive {
		return calls
	}
	l := m.lease(r, r.Holder)
	if l.calling || now < l.next || m.changing(r) {
		return calls
	}
	if l.silent && probed[r.Server] {
		return calls
	}
	kind := GrantCall
	if l.silent {
		kind = ProbeCall
		probed[r.Server] = true
	}
	l.calling = true
	return append(calls, Call{Kind: kind, Server: r.Server, From: r.From, To: r.To, Token: r.Token, Handoff: handoff})
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

// clear reports whether a former holder surely holds the keys no more.
func (m *Machine) clear(now time.Duration, former Holder, l *lease) bool {
	if m.gone[former.Server] || now >= l.until {
		return true
	}
	return l.released && now >= l.late
}

// callRetry is how soon a call that got no answer is made again.
const callRetry = 250 * time.Millisecond

// Answered takes the result of a call that began and ended at the given times.
// An unanswered call must have been aborted, so that it can't arrive any more
// after ended.
func (m *Machine) Answered(call Call, result CallResult, handoff string, began, ended time.Duration) {
	l, known := m.leases[leaseKey{from: call.From, to: call.To, holder: Holder{Server: call.Server, Token: call.Token}}]
	if !known {
		return
	}
	l.calling = false
	switch call.Kind {
	case GrantCall:
		m.grantAnswered(l, result, began, ended)
	case ReleaseCall:
		if result == CallUnanswered {
			l.retry = ended + callRetry
			return
		}
		l.released, l.handoff = true, handoff
	case ProbeCall:
		l.next = ended + callRetry
		l.silent = result == CallUnanswered
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

// propose sets the pending record if something has to change: finished moves
// first, then servers that left, then balance.
func (m *Machine) propose(now time.Duration, servers []Server, live map[string]Server) {
	next := m.record.Clone()
	changed := m.finishMoves(next)
	changed = m.renewStale(next) || changed
	if now >= m.settled {
		changed = changed || len(next.Earlier) > 0
		next.Earlier = nil
		moves := evacuations(next, live, servers, m.loads)
		if len(moves) == 0 && now >= m.calm && now-m.planned >= planEvery && !anyMoving(next) {
			moves = rebalance(next, servers, m.loads)
			m.planned = now
		}
		changed = m.apply(next, moves) || changed
		changed = m.merge(next, changed) || changed
	}
	if changed {
		m.pending = next
	}
}

func anyMoving(record *Record) bool {
	return slices.ContainsFunc(record.Ranges, func(r Range) bool { return r.Moving() })
}

// finishMoves takes the former holders out of ranges whose owner holds them.
func (m *Machine) finishMoves(next *Record) bool {
	changed := false
	for i := range next.Ranges {
		r := &next.Ranges[i]
		if !r.Moving() || !m.lease(r, r.Holder).granted {
			continue
		}
		r.Former = nil
		changed = true
	}
	return changed
}

// apply changes the record by the moves. Leases of ranges that are cut apart
// pass to the parts.
func (m *Machine) apply(next *Record, moves []Move) bool {
	changed := false
	for _, move := range moves {
		if m.calling(next, move) {
			continue
		}
		m.cut(next, move.From)
		if move.To < LastKey {
			m.cut(next, move.To+1)
		}
		for i := range next.Ranges {
			r := &next.Ranges[i]
			if r.From < move.From || r.To > move.To || r.Server == move.Server {
				continue
			}
			changed = true
			next.LastToken++
			r.Former = append(r.Former, r.Holder)
			r.Holder = Holder{Server: move.Server, Token: next.LastToken}
		}
	}
	return changed
}

// calling reports whether a call about the keys to move is under way. Its
// answer speaks of the range as it was, so the range is not cut meanwhile.
func (m *Machine) calling(next *Record, move Move) bool {
	for i := range next.Ranges {
		r := &next.Ranges[i]
		if r.To < move.From || r.From > move.To {
			continue
		}
		if m.lease(r, r.Holder).calling {
			return true
		}
	}
	return false
}

// renewStale gives a new token to owners that have seen a higher one than the
// record gives them: they refuse every renewal.
func (m *Machine) renewStale(next *Record) bool {
	changed := false
	for i := range next.Ranges {
		r := &next.Ranges[i]
		l := m.lease(r, r.Holder)
		if !l.stale || l.calling {
			continue
		}
		next.LastToken++
		r.Former = append(r.Former, r.Holder)
		r.Holder.Token = next.LastToken
		changed = true
	}
	return changed
}

// mergeAt is how many ranges must be superfluous before they are joined for
// that alone; each range costs a call for every renewal.
const mergeAt = 8

// merge joins neighbouring ranges of one owner under a new token. The owner
// holds the keys already, so nothing has to be released.
func (m *Machine) merge(next *Record, writing bool) bool {
	joinable := 0
	for i := 1; i < len(next.Ranges); i++ {
		if m.joinable(&next.Ranges[i-1], &next.Ranges[i]) {
			joinable++
		}
	}
	if joinable == 0 || !writing && joinable < mergeAt {
		return false
	}
	kept := next.Ranges[:1]
	for _, r := range next.Ranges[1:] {
		last := &kept[len(kept)-1]
		if !m.joinable(last, &r) {
			kept = append(kept, r)
			continue
		}
		left, right := *m.lease(last, last.Holder), *m.lease(&r, r.Holder)
		next.LastToken++
		last.To = r.To
		last.Token = next.LastToken
		m.leases[keyOf(last, last.Holder)] = &lease{until: max(left.until, right.until), late: max(left.late, right.late), granted: true}
	}
	next.Ranges = kept
	return true
}

// joinable reports whether two neighbouring ranges can become one now.
func (m *Machine) joinable(a, b *Range) bool {
	if a.Server != b.Server || a.Moving() || b.Moving() || m.gone[a.Server] {
		return false
	}
	left, right := m.lease(a, a.Holder), m.lease(b, b.Holder)
	return left.granted && right.granted && !left.calling && !right.calling &&
		!left.silent && !right.silent && !left.stale && !right.stale
}

// cut makes a range begin at a key.
func (m *Machine) cut(next *Record, at uint16) {
	r := next.At(at)
	if r == nil || r.From == at {
		return
	}
	left, right := *r, *r
	left.To, right.From = at-1, at
	right.Former = slices.Clone(r.Former)
	for _, holder := range append(slices.Clone(r.Former), r.Holder) {
		whole := *m.lease(r, holder)
		whole.calling = false
		for _, part := range []Range{left, right} {
			copied := whole
			m.leases[keyOf(&part, holder)] = &copied
		}
	}
	i := slices.IndexFunc(next.Ranges, func(have Range) bool { return have.From == left.From })
	next.Ranges[i] = left
	next.Ranges = slices.Insert(next.Ranges, i+1, right)
}

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
