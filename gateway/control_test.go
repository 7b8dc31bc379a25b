package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
	"cicadarouter/host/logs"
	"cicadarouter/keyspace"
)

// Symptom: requests reach servers two seconds after their callers have left.
// Sequence: the controller is a host with a link of 10 Mbit/s; it passes each
// change of an assignment to 75 others.
// Cause: every host was as likely to be the controller.
func TestSmallHostsClaimAfterAllOthers(t *testing.T) {
	for i := range 20 {
		name := fmt.Sprintf("host-%d", i)
		large := New(Identity{Host: name}, Platform{}, logs.Discard())
		small := New(Identity{Host: name, Small: true}, Platform{}, logs.Discard())
		c := &controller{service: newService("s", Identity{Incarnation: 1}, true, large.now)}
		assert.Assert(t, large.claimDelay(c, 1) < claimSpread)
		assert.Assert(t, small.claimDelay(c, 1) >= claimSpread)
		assert.Assert(t, small.claimDelay(c, 1) < 2*claimSpread)
	}
}

// Symptom: servers are handed more repeats than operators allow.
// Sequence: a deployment allows half of the usual share.
// Cause: the share was a constant of the code.
func TestRetriesKeepToTheOperatorsRatio(t *testing.T) {
	const requests = 1000
	for ratio, most := range map[float64]float64{0: defaultRetryRatio, 0.1: 0.1, 0.3: 0.3} {
		s := newService("s", Identity{RetryRatio: ratio}, false, func() time.Duration { return 0 })
		repeats := 0
		for range requests {
			s.recordRequest(nil)
			if s.takeRetry() {
				repeats++
			}
		}
		assert.Assert(t, float64(repeats) <= maxRetryReserve+usedRetryFraction*most*requests, "%d repeats at a ratio of %v", repeats, ratio)
		assert.Assert(t, float64(repeats) >= usedRetryFraction*most*requests, "%d repeats at a ratio of %v", repeats, ratio)
	}
}

// claiming is a host whose claim the store has taken, with the answer on its way.
func claiming(term uint64) (*Gateway, *controller, *claimEnded) {
	g := New(Identity{Host: "one", Incarnation: 1}, Platform{}, logs.Discard())
	c := &controller{service: newService("s", Identity{Incarnation: 1}, true, g.now), known: map[string]fleet.Server{}, members: newMembers(), claiming: true}
	g.control.services["s"] = c
	record := keyspace.NewRecord(g.self(), 0, []keyspace.Server{{ID: "a", Slots: 1}})
	record.Term = term
	return g, c, &claimEnded{controller: c, record: record}
}

// Symptom: two servers hold the same keys, each granted by another controller.
// Sequence: a host claims control as its predecessor resigns; the store takes the claim.
// Another host reads the new record and reports to the first, which has not read the
// store's answer yet and says that it controls nothing; so the other claims control,
// and asks the first whether it has stopped: it has, it says. It then reads the answer,
// believes itself in control, is cut off, and goes on renewing leases of its domain's
// servers; the other gives their keys away when those that it knows of have run out.
// Cause: a claim under way counted as no claim.
func TestClaimIsNotTakenAfterItsSuccessorWasToldOfTheStop(t *testing.T) {
	g, c, claim := claiming(2)
	assert.Assert(t, g.takeReport(&loadReport{Service: "s"}, 0).Claiming, "nobody is to claim in its place yet")
	assert.Assert(t, g.yieldTo(&yieldRequest{Service: "s", Term: 3}).Stopped)
	claim.apply(g, 0)
	assert.Assert(t, c.machine == nil, "it has said that it has stopped")

	g, c, claim = claiming(4)
	g.yieldTo(&yieldRequest{Service: "s", Term: 3})
	claim.apply(g, 0)
	assert.Assert(t, c.machine != nil, "a claim after that successor's is its own")
}

// While the claim of a controller is under way, those who report to it do not take over.
func TestClaimingControllerIsWaitedFor(t *testing.T) {
	g, c, _ := claiming(2)
	c.claiming, c.heard = false, time.Minute
	to := keyspace.Controller{Host: "two", Incarnation: 2}
	(&reportEnded{controller: c, to: to, answer: loadAnswer{Incarnation: 2, Claiming: true}}).apply(g, time.Minute)
	assert.Equal(t, c.heard, time.Minute)
	(&reportEnded{controller: c, to: to, answer: loadAnswer{Incarnation: 2}}).apply(g, time.Minute)
	assert.Assert(t, time.Minute-c.heard >= silentAfter)
}
