package keyspace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// harness runs a state machine for two servers, with the time under the test's control.
type harness struct {
	t       *testing.T
	m       *StateMachine
	now     time.Duration
	servers []Server
	// answer decides the result of a call; nil means CallDone at once.
	answer func(Call) CallResult
	grants map[string]time.Duration // by server: when a grant was last sent
}

func newHarness(t *testing.T, m *StateMachine, now time.Duration) *harness {
	return &harness{t: t, m: m, now: now, grants: map[string]time.Duration{},
		servers: []Server{{ID: "a", Slots: 2, Speed: 1}, {ID: "b", Slots: 2, Speed: 1}}}
}

func twoServers() *Record {
	return NewRecord(Controller{Host: "one", Incarnation: 1}, 0, []Server{{ID: "a", Slots: 2}, {ID: "b", Slots: 2}})
}

// run steps the state machine until a time, with the store confirming the controller.
func (b *harness) run(until time.Duration) {
	for ; b.now < until; b.now += tick {
		b.m.Confirm(b.now)
		b.step()
	}
}

func (b *harness) step() {
	for _, call := range b.m.Step(b.now, b.servers) {
		if call.Kind == GrantCall {
			b.grants[call.Server] = b.now
		}
		result := CallDone
		if b.answer != nil {
			result = b.answer(call)
		}
		b.m.CallCompleted(call, result, "", b.now, b.now)
	}
	if b.m.Pending() != nil {
		b.m.WriteAcknowledged(b.now)
	}
}

// owner returns the owner of key 0 and whether it has confirmed its grant.
func (b *harness) owner() (string, bool) {
	r := b.m.Record().RangeOf(0)
	return r.Server, !r.Moving() && b.m.Granted(r)
}

// loseA makes server a unresponsive and removes its entry.
func (b *harness) loseA() {
	b.answer = func(call Call) CallResult {
		if call.Server == "a" {
			return CallUnanswered
		}
		return CallDone
	}
	b.servers = b.servers[1:]
}

// silenceA makes server a unresponsive. Its entry expires after three missed heartbeats. It
// returns the servers as they were registered.
func (b *harness) silenceA() []Server {
	registered := b.servers
	b.loseA()
	lapsed := b.servers
	b.servers = registered
	b.run(b.now + entryExpiry)
	b.servers = lapsed
	return registered
}

// Guards against two servers that run requests for the same keys for a tenth of a second. A
// server becomes unresponsive but lives, and its clock runs 2% slow. Its keys move when the
// lease has expired on the controller's clock, but not yet on the server's.
func TestUnresponsiveServersLeaseExpiresOnItsOwnClock(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(3 * time.Second)
	last := b.grants["a"]
	b.loseA()
	delete(b.grants, "a")
	for owner, held := b.owner(); owner != "b" || !held; owner, held = b.owner() {
		b.run(b.now + tick)
		assert.Assert(t, b.now < 20*time.Second)
	}
	const onSlowClock = LeaseTerm * 102 / 100
	assert.Assert(t, b.grants["b"] >= last+onSlowClock, "b was granted the keys %v after a", b.grants["b"]-last)
}

// Guards against two servers that hold the same keys, seconds after a move. A grant to a is
// unanswered; a is leaving and confirms its release, and b gets the keys. Then the delayed
// grant takes effect at a. The release does not undo a grant that is still in flight.
func TestUnansweredGrantOutlivesRelease(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(2 * time.Second)
	b.answer = func(call Call) CallResult {
		if call.Server == "a" && call.Kind == GrantCall {
			return CallUnanswered
		}
		return CallDone
	}
	b.run(3500 * time.Millisecond)
	lost := b.grants["a"]
	b.servers[0].Leaving = true
	b.run(lost + LeaseTerm - 2*tick)
	_, held := b.owner()
	assert.Assert(t, !held, "the keys have an owner while the unanswered grant may still take effect")
	b.run(lost + LeaseTerm + 2*time.Second)
	owner, held := b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}

// Guards against two holders of the same keys after a controller is disconnected from the
// store for long. Another one takes over and moves keys, while the first keeps renewing the
// old owner's lease without confirmation by the store.
func TestNoGrantWithoutConfirmationByTheStore(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(2 * time.Second)
	for end := b.now + AuthorityTimeout + 4*time.Second; b.now < end; b.now += tick {
		b.step()
	}
	assert.Assert(t, b.grants["a"] < 2*time.Second+AuthorityTimeout)
	assert.Assert(t, !b.m.Authorized(b.now))
}

// Guards against two holders of the same keys when a release is treated as final while an
// earlier controller can still grant. That controller is disconnected from the store and
// renews the old owner's lease after its successor got the release and moved the keys.
func TestReleaseCountsOnceEarlierControllersHaveStopped(t *testing.T) {
	record := twoServers()
	record.Ranges[0].FormerHolders = []Holder{{Server: "a", Token: record.Ranges[0].Token}}
	record.LastToken++
	record.Ranges[0].Holder = Holder{Server: "b", Token: record.LastToken}
	start := time.Minute
	b := newHarness(t, Adopt(record.TakeOver(Controller{Host: "two", Incarnation: 2}), start, start), start)
	b.run(start + AuthorityTimeout)
	_, held := b.owner()
	assert.Assert(t, !held)
	b.run(start + AuthorityTimeout + LeaseTerm + 3*time.Second)
	owner, held := b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}

// Guards against a successor that only waits for its direct predecessor. Controller one is
// disconnected; two takes over and resigns at once; three takes over from two and moves keys
// that one still renews.
func TestAllEarlierControllersMustHaveStopped(t *testing.T) {
	second := twoServers().TakeOver(Controller{Host: "two", Incarnation: 2})
	third := second.TakeOver(Controller{Host: "three", Incarnation: 3})
	start := time.Minute
	m := Adopt(third, start, start)
	assert.Equal(t, len(m.UnfencedPredecessors(start)), 2)
	m.PredecessorStopped(start, second.Controller)
	assert.Assert(t, !m.PredecessorsFenced(start), "controller one may still grant")
	m.PredecessorStopped(start, Controller{Host: "one", Incarnation: 1})
	assert.Assert(t, m.PredecessorsFenced(start))

	second.Controller.Resigned = true
	afterResigning := second.TakeOver(Controller{Host: "three", Incarnation: 3})
	assert.Equal(t, len(afterResigning.Predecessors), 1)
}

// Guards against moving the keys of a live server, which is running requests, because one
// grant to it was unanswered.
func TestUnansweredGrantDoesNotProveTheServersEnd(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(2 * time.Second)
	registered := b.servers
	b.loseA()
	lost := b.servers
	b.servers = registered
	b.run(b.now + 1500*time.Millisecond)
	b.servers = lost
	b.run(b.now + 2*time.Second)
	owner, held := b.owner()
	assert.Assert(t, owner == "a" || !held, "the keys moved within a's lease")
}

// The proof that a server's process has ended frees its keys at once.
func TestKeysOfAnEndedServerMoveAtOnce(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(2 * time.Second)
	b.loseA()
	b.m.IncarnationEnded(fleet.Incarnation{ID: "a"})
	b.run(b.now + 10*tick)
	owner, held := b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}

// Guards against a number of ranges that makes the controller's host answer requests seconds
// late. 170 servers of two slots had four ranges each, and a call for each range at every
// renewal made 570 calls a second.
func TestRangesOfAFirstAssignmentAreBounded(t *testing.T) {
	for _, n := range []int{1, 3, 14, 170} {
		var servers []Server
		for i := range n {
			servers = append(servers, Server{ID: string(rune('A' + i)), Slots: 4})
		}
		record := NewRecord(Controller{}, 0, servers)
		assert.NilError(t, record.Validate())
		assert.Assert(t, len(record.Ranges) < max(maxInitialRanges, n)+n)
		owners := map[string]int{}
		for _, r := range record.Ranges {
			owners[r.Server]++
		}
		assert.Equal(t, len(owners), n, "every server owns keys")
	}
}

// Guards against two servers that hold the same keys, seconds after a move. One grant to a is
// unanswered, later ones are answered, and two ranges of a are merged. Then a is leaving and
// confirms its release, and the delayed grant takes effect while the next owner has the
// keys, if the merge has dropped the unanswered grant.
func TestMergedRangesKeepTheirUnansweredGrants(t *testing.T) {
	record := &Record{Term: 1, Controller: Controller{Host: "one", Incarnation: 1}, LastToken: 4, Ranges: []Range{
		{From: 0, To: 9999, Holder: Holder{Server: "a", Token: 1}}, {From: 10000, To: 19999, Holder: Holder{Server: "a", Token: 2}},
		{From: 20000, To: 39999, Holder: Holder{Server: "b", Token: 3}}, {From: 40000, To: LastKey, Holder: Holder{Server: "c", Token: 4}}}}
	b := newHarness(t, New(record, 0, 0), 0)
	b.servers = append(b.servers, Server{ID: "c", Slots: 2, Speed: 1})
	b.run(2 * time.Second)
	b.answer = func(call Call) CallResult {
		if call.Server == "a" && call.Kind == GrantCall {
			return CallUnanswered
		}
		return CallDone
	}
	b.run(2*time.Second + renewInterval)
	lost := b.grants["a"]
	b.answer = nil
	b.run(b.now + 10*tick)
	b.servers[1].Leaving = true // so that the record is written
	b.run(b.now + 4*tick)
	assert.Assert(t, b.m.Record().RangeOf(0).To >= 19999, "the ranges of a are merged")
	b.servers[0].Leaving = true
	b.run(lost + LeaseTerm - 2*tick)
	owner, held := b.owner()
	assert.Assert(t, owner != "a" && !held, "%s has the keys while the unanswered grant may still take effect", owner)
	b.run(lost + LeaseTerm + 2*time.Second)
	_, held = b.owner()
	assert.Assert(t, held)
}

// Guards against overload for seconds after a failure domain was disconnected for less than a
// lease. Its servers had lost their keys to others although no one could get the keys
// before the leases expired.
func TestKeysStayWithAnOwnerThatIsBackInTime(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(2 * time.Second)
	registered, token := b.servers, b.m.Record().LastToken
	b.loseA()
	b.servers = registered
	b.run(b.now + 2*time.Second) // its entry expires after three missed heartbeats
	b.servers = registered[1:]
	b.run(b.now + 1500*time.Millisecond)
	b.servers, b.answer = registered, nil
	b.run(b.now + time.Second)
	owner, held := b.owner()
	assert.Equal(t, owner, "a")
	assert.Assert(t, held)
	assert.Equal(t, b.m.Record().LastToken, token)
}

// A server without an entry that answers is only disconnected from the registry. It releases
// its keys, and they are served by another server at once.
func TestKeysOfAReachableServerMoveAtOnce(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(8 * time.Second)
	b.servers = b.servers[1:]
	b.run(b.now + 10*tick)
	owner, held := b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}

// A controller that has just taken over probes an owner without an entry instead of waiting
// for its lease to expire.
func TestSuccessorProbesLostOwners(t *testing.T) {
	m := Adopt(twoServers().TakeOver(Controller{Host: "two", Incarnation: 2}), 0, 0)
	m.PredecessorStopped(0, Controller{Host: "one", Incarnation: 1})
	b := newHarness(t, m, 0)
	b.servers = b.servers[1:]
	b.run(10 * tick)
	assert.Assert(t, b.m.Record().RangeOf(0).Moving(), "the move has begun")
	b.run(leaseExpiry(maxCallTime) + 10*tick)
	owner, held := b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}

// begun returns a record in which controller one has begun to move the keys of a to b.
func begun(answered bool) *Record {
	record := twoServers()
	record.LastToken++
	record.Ranges[0].reassign(Holder{Server: "b", Token: record.LastToken}, answered)
	return record
}

// Guards against a key that has no owner for ten seconds after the controller's host is lost.
// The controller had just written a move from an owner that had answered all grants. Its
// successor need not wait for the predecessor's authority and longest lease to expire: by
// its last record the predecessor grants the keys only to their new owner.
func TestSuccessorFinishesWhatItsPredecessorBegan(t *testing.T) {
	start := time.Minute
	b := newHarness(t, Adopt(begun(true).TakeOver(Controller{Host: "two", Incarnation: 2}), start, start), start)
	b.run(start + 5*tick)
	owner, held := b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}

// Guards against two holders of the same keys in the same situation when a grant to the old
// owner was unanswered, or when a still earlier controller may renew its lease. The old
// owner's release is not final then.
func TestSuccessorWaitsForGrantsThatMayTakeEffect(t *testing.T) {
	cutOff := begun(true)
	cutOff.Predecessors = []Controller{{Host: "zero", Incarnation: 9}}
	twice := begun(false)
	twice.LastToken++
	twice.Ranges[0].reassign(Holder{Server: "b", Token: twice.LastToken}, true)
	for _, record := range []*Record{begun(false), cutOff, twice} {
		start := time.Minute
		b := newHarness(t, Adopt(record.TakeOver(Controller{Host: "two", Incarnation: 2}), start, start), start)
		b.run(start + AuthorityTimeout + LeaseTerm)
		_, held := b.owner()
		assert.Assert(t, !held)
	}
}

// The record of a move says whether the controller got answers to all of its grants.
func TestRecordTellsWhetherGrantsWereAnswered(t *testing.T) {
	for _, answered := range []bool{true, false} {
		b := newHarness(t, New(twoServers(), 0, 0), 0)
		b.run(2 * time.Second)
		if !answered {
			b.answer = func(call Call) CallResult { return CallUnanswered }
			b.run(b.now + renewInterval)
			b.answer = nil
		}
		b.servers[0].Leaving = true
		for range 10 {
			if pending := b.m.Pending(); pending != nil && pending.RangeOf(0).Moving() {
				break
			}
			b.m.Confirm(b.now)
			for _, call := range b.m.Step(b.now, b.servers) {
				b.m.CallCompleted(call, CallDone, "", b.now, b.now)
			}
			b.now += tick
		}
		assert.Equal(t, b.m.Pending().RangeOf(0).GrantsAnswered, answered)
	}
}

// Guards against a third of all keys having no owner for six seconds. An unresponsive server's
// lease has expired and its keys are given to others; all hosts are killed before those are
// granted the keys. If the record still names the unresponsive server as a holder, the
// successor waits for the longest lease again.
func TestKeysWithExpiredLeaseMoveByOneRecord(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(2 * time.Second)
	b.silenceA()
	for end := b.now + 2*LeaseTerm; b.m.Pending() == nil && b.now < end; b.now += tick {
		b.m.Confirm(b.now)
		for _, call := range b.m.Step(b.now, b.servers) {
			b.m.CallCompleted(call, b.answer(call), "", b.now, b.now)
		}
	}
	assert.Assert(t, b.m.Pending() != nil)
	record := b.m.Pending().Clone()
	assert.Assert(t, !record.RangeOf(0).Moving())
	successor := Adopt(record.TakeOver(Controller{Host: "two", Incarnation: 2}), b.now, b.now)
	after := newHarness(t, successor, b.now)
	after.servers = b.servers
	after.run(b.now + 3*tick)
	owner, held := after.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}
