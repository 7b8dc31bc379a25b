package keyspace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

const laterStart = firstStart + 5000

// restarting returns a harness that has run for a while. Its server a reports its start time.
func restarting(t *testing.T) *harness {
	b := newHarness(t, nil, 0)
	b.servers[0].Start = firstStart
	b.m = New(NewRecord(Controller{Host: "one", Incarnation: 1}, 0, b.servers), 0, 0)
	b.run(2 * time.Second)
	return b
}

// Guards against refusing every request for a server's keys for a second after it crashed and
// restarted under its ID between two renewals. A controller that tells servers apart only
// by ID would wait for the next renewal.
func TestServerThatStartedAgainIsGrantedItsKeysAtOnce(t *testing.T) {
	b := restarting(t)
	before := b.m.Record().LastToken
	b.servers[0].Start = laterStart
	b.run(b.now + 3*tick)
	r := b.m.Record().RangeOf(0)
	owner, held := b.owner()
	assert.Equal(t, owner, "a")
	assert.Equal(t, r.Start, int64(laterStart))
	assert.Assert(t, r.Token > before, "another incarnation is granted the key with a higher token")
	assert.Assert(t, held)
}

// Guards against a restarted server that accepts its predecessor's token. The entry of the
// new incarnation is known, the record that names it is not written yet, and a renewal is
// due, which must not go to whichever process has the ID.
func TestLaterIncarnationIsNotRenewedUnderTheEarlierToken(t *testing.T) {
	b := restarting(t)
	b.servers[0].Start = laterStart
	b.run(b.now + renewInterval)
	earlier := b.m.Record().RangeOf(0).Token
	b.servers[0].Start = laterStart + 1
	b.m.Confirm(b.now)
	for _, call := range b.m.Step(b.now+renewInterval, b.servers) {
		assert.Assert(t, call.Server != "a" || call.Token != earlier, "%v with token %d", call.Kind, call.Token)
	}
}

// Guards against two servers that hold the same keys. A server restarts under its ID, and a
// renewal that the controller sent before it knew reaches the new process. The end of the
// earlier process must not free the keys for another server.
func TestKeysOfARestartedServerMoveOnlyAfterItsRelease(t *testing.T) {
	b := restarting(t)
	b.servers[0].Start, b.servers[0].Leaving = laterStart, true
	b.answer = func(call Call) CallResult {
		if call.Server == "a" {
			return CallUnanswered
		}
		return CallDone
	}
	last := b.grants["a"]
	b.run(last + LeaseTerm)
	owner, held := b.owner()
	assert.Assert(t, owner == "a" || !held, "%s was given the keys within the lease of a", owner)
	b.run(last + 2*LeaseTerm + 2*time.Second)
	owner, held = b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}

// A later incarnation that answers a release frees the keys at once.
func TestRestartedServerReleasesAtOnce(t *testing.T) {
	b := restarting(t)
	b.servers[0].Start, b.servers[0].Leaving = laterStart, true
	b.run(b.now + 12*tick)
	owner, held := b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}

// Guards against serving the keys of a restarted server slowly because their next owner was
// told that it has their state. The later incarnation never worked on the keys, so the
// empty hand-over of its release must not be passed on.
func TestLaterIncarnationHasNoHandOver(t *testing.T) {
	b := restarting(t)
	b.servers[0].Start, b.servers[0].Leaving = laterStart, true
	handed := ""
	for range 12 {
		b.m.Confirm(b.now)
		for _, call := range b.m.Step(b.now, b.servers) {
			if call.Kind == GrantCall && call.Server == "b" && call.From == 0 {
				handed += call.Handoff
			}
			b.m.CallCompleted(call, CallDone, "empty", b.now, b.now)
		}
		if b.m.Pending() != nil {
			b.m.WriteAcknowledged(b.now)
		}
		b.now += tick
	}
	owner, _ := b.owner()
	assert.Equal(t, owner, "b")
	assert.Equal(t, handed, "")
}

// Guards against two servers that hold the same keys, seconds after the second restart of a
// server. A grant to it is unanswered; it restarts and is granted the keys again; they move
// to another server. Then the delayed grant reaches the server, which has restarted once more
// and lost the tokens that would have refused it. Leases must outlive the incarnation.
func TestUnansweredGrantBindsLaterIncarnations(t *testing.T) {
	b := restarting(t)
	b.answer = func(call Call) CallResult {
		if call.Server == "a" && call.Kind == GrantCall {
			return CallUnanswered
		}
		return CallDone
	}
	b.run(b.now + renewInterval)
	lost := b.grants["a"]
	b.answer = nil
	b.servers[0].Start = laterStart
	b.run(b.now + 4*tick)
	_, held := b.owner()
	assert.Assert(t, held)
	b.servers[0].Leaving = true
	b.run(lost + LeaseTerm - 2*tick)
	owner, held := b.owner()
	assert.Assert(t, owner != "b" || !held, "b holds the keys while the unanswered grant may reach a")
	b.run(lost + LeaseTerm + 2*time.Second)
	owner, held = b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}

// Guards against two servers that hold the same keys. A server's process is proven to have
// ended, and the server restarts under its ID and is granted keys. A proof kept by ID would
// let them move without its release.
func TestProofOfTheEndIsOfOneIncarnation(t *testing.T) {
	b := restarting(t)
	b.m.IncarnationEnded(fleet.Incarnation{ID: "a", Start: firstStart})
	b.servers[0].Start = laterStart
	b.run(b.now + time.Second)
	_, held := b.owner()
	assert.Assert(t, held)
	b.m.IncarnationEnded(fleet.Incarnation{ID: "a", Start: firstStart}) // a repeated proof
	b.loseA()
	b.run(b.grants["a"] + LeaseTerm)
	owner, held := b.owner()
	assert.Assert(t, owner == "a" || !held, "the keys moved within the lease of the later incarnation")
}

// The same for a server that does not report its start time: it may hold keys again once it
// is granted some.
func TestProofOfTheEndIsOverWithTheNextGrant(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(2 * time.Second)
	b.m.IncarnationEnded(fleet.Incarnation{ID: "a"})
	b.now += renewInterval // a grant is due before anything else
	b.run(b.now + 2*renewInterval)
	b.loseA()
	b.run(b.grants["a"] + LeaseTerm)
	owner, held := b.owner()
	assert.Assert(t, owner == "a" || !held, "the keys moved within a's lease")
}

// Guards against two servers that hold the same keys. A grant is in flight when another
// server answers at the address; then the server restarts and the grant reaches it. The proof
// must not cover calls that have not ended.
func TestProofOfTheEndDoesNotCoverCallsInFlight(t *testing.T) {
	b := restarting(t)
	b.now += renewInterval
	b.m.Confirm(b.now)
	calls := b.m.Step(b.now, b.servers)
	b.m.IncarnationEnded(fleet.Incarnation{ID: "a", Start: firstStart})
	for _, call := range calls {
		b.m.CallCompleted(call, CallDone, "", b.now, b.now)
	}
	sent := b.now
	b.loseA()
	b.run(sent + LeaseTerm)
	owner, held := b.owner()
	assert.Assert(t, owner == "a" || !held, "the keys moved within the lease that was in flight")
}

// Guards against a server that runs nothing until the controller is replaced, because its
// machine's clock was set back between two starts and the earlier start counts as outdated
// forever.
func TestServerWhoseClockWasSetBackIsGrantedItsKeys(t *testing.T) {
	b := restarting(t)
	before := b.m.Record().RangeOf(0).Token
	b.servers[0].Start = firstStart - 5000
	b.run(b.now + earlierStartDelay - tick)
	assert.Equal(t, b.m.Record().RangeOf(0).Token, before, "a controller's entries may be behind the record that it took over")
	b.run(b.now + 6*tick)
	assert.Assert(t, b.m.Record().RangeOf(0).Token > before)
	assert.Equal(t, b.m.Record().RangeOf(0).Start, int64(firstStart-5000))
	_, held := b.owner()
	assert.Assert(t, held)
}

// Guards against keys without an owner for eleven seconds after a controller was lost for
// good together with a server. Its successor gets proof that the server has ended, and need
// not wait until the predecessor can't grant any more, because grants to an ended process
// have no effect.
func TestSuccessorMovesKeysOfServersThatEnded(t *testing.T) {
	start := time.Minute
	b := newHarness(t, Adopt(twoServers().TakeOver(Controller{Host: "two", Incarnation: 2}), start, start), start)
	registered := b.servers
	b.loseA()
	b.servers = registered // its entry has not expired yet
	b.run(start + time.Second)
	owner, _ := b.owner()
	assert.Equal(t, owner, "a")
	b.m.IncarnationEnded(fleet.Incarnation{ID: "a"})
	b.run(b.now + 2*maxCallTime)
	owner, held := b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
	assert.Assert(t, !b.m.PredecessorsFenced(b.now))
	assert.Equal(t, len(b.m.Record().Predecessors), 1, "the earlier controller is still listed")
}

// Guards against keys that have no owner until the lease of a crashed server expires, although
// another server answers at its address. The server left a grant unanswered, and its entry
// expired before the address was reused, so probing must continue without an entry.
func TestUnresponsiveOwnerIsProbedUntilItsLeaseExpires(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(2 * time.Second)
	b.silenceA()
	probes := map[time.Duration]int{}
	unanswered := b.answer
	b.answer = func(call Call) CallResult {
		if call.Kind == ProbeCall {
			probes[b.now]++
		}
		return unanswered(call)
	}
	b.run(b.now + LeaseTerm - entryExpiry - renewInterval)
	assert.Assert(t, len(probes) > 3, "probed %d times", len(probes))
	for at, n := range probes {
		assert.Equal(t, n, 1, "probes of the server at %v", at)
	}
}

// Guards against renewing a server's ranges one by one for seconds after a short
// disconnection. All grants to a server with several ranges are unanswered; its answer to one
// probe must count for all of them.
func TestAnswerToAProbeIsForAllRanges(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(2 * time.Second)
	registered := b.servers
	b.loseA()
	b.servers = registered
	b.run(b.now + renewInterval + tick)
	b.answer = nil
	back := b.now
	b.run(back + releaseRetryDelay + 3*tick)
	for i := range b.m.Record().Ranges {
		r := &b.m.Record().Ranges[i]
		if r.Server == "a" {
			assert.Assert(t, !b.m.leaseOf(r, r.Holder).unresponsive && b.m.leaseOf(r, r.Holder).nextGrant > back, "%d-%d", r.From, r.To)
		}
	}
}

// A successor does not move keys that a server may hold while its predecessor can still grant
// them: no one could have them earlier.
func TestSuccessorMovesNothingElseAtFirst(t *testing.T) {
	start := time.Minute
	b := newHarness(t, Adopt(twoServers().TakeOver(Controller{Host: "two", Incarnation: 2}), start, start), start)
	b.loseA()
	b.run(start + AuthorityTimeout - tick)
	owner, _ := b.owner()
	assert.Equal(t, owner, "a")
	assert.Assert(t, !b.m.Record().RangeOf(0).Moving())
}

// Guards against a quarter of all requests finding no owner for seconds after a failure domain
// was disconnected for about as long as a lease. Its servers answer again before their entries
// are back; a server that answers without an entry must get time to register again.
func TestKeysStayWithServersThatAreAboutToRegisterAgain(t *testing.T) {
	b := newHarness(t, New(twoServers(), 0, 0), 0)
	b.run(2 * time.Second)
	token := b.m.Record().LastToken
	registered := b.silenceA()
	b.run(b.now + time.Second)
	b.answer = nil
	b.run(b.now + 900*time.Millisecond) // a heartbeat
	b.servers = registered
	b.run(b.now + time.Second)
	owner, held := b.owner()
	assert.Equal(t, owner, "a")
	assert.Assert(t, held)
	assert.Equal(t, b.m.Record().LastToken, token, "nothing was moved")

	// A server that does not register again loses its keys.
	b.silenceA()
	b.run(b.now + time.Second)
	b.answer = nil
	b.run(b.now + reregistrationWait + time.Second)
	owner, held = b.owner()
	assert.Equal(t, owner, "b")
	assert.Assert(t, held)
}
