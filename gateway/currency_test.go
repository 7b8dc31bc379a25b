package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/contract/objects/memobjects"
	"cicadarouter/host/logs"
	"cicadarouter/keyspace"
)

// statement is a confirmation by a host that has just been asked, with the age of its copy of
// "things".
func statement(now time.Duration, sender string, revision uint64, age time.Duration) confirmation {
	return confirmation{confirmedAt: now, sender: sender, source: sender, askedAt: now,
		revisions: map[string]uint64{"things": revision}, agesMs: map[string]int64{"things": age.Milliseconds()}}
}

// Guards against hosts that take an old configuration for current because the store has just
// confirmed the controller's role: the controller's watch of the configuration is another call, and
// it may be silent meanwhile.
func TestConfirmedRoleDoesNotConfirmOtherKinds(t *testing.T) {
	f := newFreshness(Identity{})
	now := 10 * time.Second
	f.noteRevision("things", 5, true)
	f.acceptConfirmation(now, statement(now, "controller", 5, 2*time.Second))
	planned, _ := beginTestWatch(&f, "things", now)
	assert.Equal(t, planned, watchPlan{wait: f.shortWait()})

	f.acceptConfirmation(now, statement(now, "controller", 5, time.Second))
	planned, watchCtx := beginTestWatch(&f, "things", now)
	assert.Equal(t, planned, watchPlan{wait: longWatchWait, source: "controller"})
	// The role is confirmed again and again, the kind isn't.
	now += f.validFor() - time.Second
	f.acceptConfirmation(now, statement(now, "controller", 5, f.validFor()))
	f.setControlling(now, false)
	assert.Assert(t, watchCtx.Err() != nil)
}

// Guards against a relay that passes on a controller's confirmation although its own copy is behind
// what the controller stated.
func TestRelayThatIsBehindDoesNotConfirm(t *testing.T) {
	relay := newFreshness(Identity{})
	now := 10 * time.Second
	relay.noteRevision("things", 5, true)
	relay.acceptConfirmation(now, statement(now, "controller", 5, 0))
	age, _ := relay.noteRelayQuery(now)
	assert.Equal(t, age, time.Duration(0))

	now += time.Second
	relay.acceptConfirmation(now, statement(now, "controller", 6, 0))
	age, revisions := relay.noteRelayQuery(now)
	assert.Equal(t, age, time.Second)
	assert.Equal(t, revisions["things"], uint64(5))

	relay.noteRevision("things", 6, true)
	age, revisions = relay.noteRelayQuery(now)
	assert.Equal(t, age, time.Duration(0))
	assert.Equal(t, revisions["things"], uint64(6))
}

// Guards against confirmations that become younger while their answers wait: on a busy machine, the
// control loop applies an answer long after the controller has stated its age.
func TestConfirmationAgesWhileItsAnswerWaits(t *testing.T) {
	const waited = 700 * time.Millisecond
	g := New(Identity{}, Platform{}, logs.Discard())
	g.clock = fixedClock(10 * time.Second)
	c := &serviceControl{service: newService("s", Identity{}, true, g.now)}
	to := keyspace.Controller{Host: "one", Address: "one:1", Incarnation: 7}
	answer := loadAnswer{Incarnation: 7, Controls: true, StoreAgeMs: 300, Revisions: map[string]uint64{}, AgesMs: map[string]int64{}}
	(&reportResult{control: c, to: to, answer: answer, askedAt: g.now() - waited}).apply(g, 0)
	age := g.freshness.lastConfirmationAge(g.now())
	assert.Assert(t, age >= 300*time.Millisecond+waited, "the age of the confirmation is %v", age)
}

// Guards against a host that never learns of a change because the store refuses its calls: its copy is
// old, but another host has stated the change and can return it.
func TestCopyThatIsOldCatchesUpWithTheSender(t *testing.T) {
	f := newFreshness(Identity{})
	now := 10 * time.Second
	f.noteRevision("things", 5, true)
	f.acceptConfirmation(now, statement(now, "controller", 5, 0))
	now += 2 * time.Second
	f.acceptConfirmation(now, statement(now, "controller", 6, 0))
	planned, _ := beginTestWatch(&f, "things", now)
	assert.Equal(t, planned, watchPlan{wait: relayWatchWait, source: "controller"})
	planned, _ = beginTestWatch(&f, "things", now)
	assert.Equal(t, planned, watchPlan{wait: f.shortWait()}, "the sender did not help")
	planned, _ = beginTestWatch(&f, "things", now)
	assert.Equal(t, planned, watchPlan{wait: relayWatchWait, source: "controller"})
	f.noteRevision("things", 6, true)
	planned, _ = beginTestWatch(&f, "things", now)
	assert.Equal(t, planned, watchPlan{wait: longWatchWait, source: "controller"})
}

// fixedClock is a clock that stands still.
type fixedClock time.Duration

// Now implements clock.Clock.
func (c fixedClock) Now() time.Duration { return time.Duration(c) }

// Guards against a watch at a host that went on although nothing confirmed it any more, because a busy
// control loop checked it late.
func TestUnconfirmedWatchEndsWithoutTheControlLoop(t *testing.T) {
	f := newFreshness(Identity{})
	f.noteRevision("things", 5, true)
	now := 10 * time.Second
	f.acceptConfirmation(now, statement(now, "controller", 5, 400*time.Millisecond))
	_, watchCtx := beginTestWatch(&f, "things", now)
	end := now + f.validFor() - 400*time.Millisecond
	for now < end {
		left := f.expireWatches(now)
		assert.NilError(t, watchCtx.Err())
		assert.Assert(t, left > 0 && left <= maxExpiryInterval)
		now += left
	}
	assert.Equal(t, now, end)
	f.expireWatches(now)
	assert.Assert(t, watchCtx.Err() != nil)
}

func TestCurrency(t *testing.T) {
	var c currency
	assert.Equal(t, ageMillis(c.age(time.Second)), int64(unknownAgeMs))
	c.complete(2 * time.Second)
	c.complete(time.Second)
	assert.Equal(t, c.age(5*time.Second), 3*time.Second)
	c.state(3*time.Second, 7, 6)
	assert.Equal(t, c.age(5*time.Second), 3*time.Second)
	c.reach(6)
	assert.Equal(t, c.age(5*time.Second), 3*time.Second)
	c.reach(7)
	assert.Equal(t, c.age(5*time.Second), 2*time.Second)
	c.state(4*time.Second, 7, 8)
	assert.Equal(t, c.age(5*time.Second), time.Second)
}

// Guards against a controller that vouches for a copy while its watch is silent, and against one whose
// watch starts from a revision that the store's history no longer reaches.
func TestControllerVerifiesItsCopies(t *testing.T) {
	stored := memobjects.New()
	g := New(Identity{}, Platform{Store: stored, Registry: kindNames{}}, logs.Discard())
	g.freshness.setControlling(0, true)
	const kind = "things"
	put := func(kind, name string) {
		_, err := stored.Put(t.Context(), objects.Object{Kind: kind, Name: name, Spec: []byte("{}")})
		assert.NilError(t, err)
	}
	put(kind, "one")
	g.freshness.noteRevision(kind, 1, true)
	put("others", "one")
	watchCtx, cancel, _ := g.freshness.beginWatch(t.Context(), kind, 0, false)
	defer cancel()
	g.verifyCopy(t.Context(), kind, 1)
	assert.NilError(t, watchCtx.Err())
	assert.Equal(t, g.freshness.knownRevision(kind), uint64(2))
	assert.Assert(t, g.freshness.copyAge(kind, g.now()) < time.Minute)

	put(kind, "two")
	before := g.freshness.copyAge(kind, time.Hour)
	g.verifyCopy(t.Context(), kind, 2)
	assert.Assert(t, watchCtx.Err() != nil, "the watch that missed a change was not canceled")
	assert.Equal(t, g.freshness.copyAge(kind, time.Hour), before)
}
