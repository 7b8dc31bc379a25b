package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/keyspace"
)

// A controller names two large hosts of each failure domain as relays, those that
// have reported lately; a host is told its own domain's first, and hosts of a domain
// are spread over them.
func TestRelaysAreLargeHostsThatReport(t *testing.T) {
	m := newMembers()
	for _, domain := range []string{"a", "b"} {
		for i := range 20 {
			name := fmt.Sprintf("%s%02d", domain, i)
			m.add(name, member{address: name + ":1", domain: domain, small: i >= 3})
		}
	}
	first := map[string]int{}
	for i := range 20 {
		relays := m.relaysFor(fmt.Sprintf("a%02d", i), "a", 0)
		assert.Equal(t, len(relays), relaysPerDomain+1)
		for _, near := range relays[:relaysPerDomain] {
			assert.Assert(t, !m.hosts[near[:3]].small && near[0] == 'a', near)
		}
		assert.Equal(t, relays[relaysPerDomain][0], byte('b'))
		first[relays[0]]++
	}
	assert.Equal(t, len(first), relaysPerDomain)
	assert.Equal(t, len(m.allRelays), 2*relaysPerDomain)

	// Those that stop reporting are replaced, at last by small ones.
	later := memberTimeout + relaySelectInterval
	for name, each := range m.hosts {
		if each.small || each.domain == "b" {
			each.lastSeen = later
			m.add(name, each)
		}
	}
	for _, near := range m.relaysFor("a10", "a", later)[:relaysPerDomain] {
		assert.Assert(t, m.hosts[near[:3]].small, near)
	}
}

// A host asks those that the controller named last, before that those that the
// assignment names, before that the seeds; never itself, and the next one after a
// failure.
func TestWhomAHostAsks(t *testing.T) {
	s := newSources(Identity{PeerAddress: "self", Seeds: []string{"self", "seed"}})
	assert.Equal(t, s.current(), "seed")
	s.read(keyspace.Controller{Address: "controller", Relays: []string{"written"}})
	assert.Equal(t, s.current(), "written")
	assert.Assert(t, !s.miss())
	assert.Equal(t, s.current(), "controller")
	assert.Assert(t, s.miss(), "all have been asked")
	s.name([]string{"near", "self", "far"}, true)
	assert.Equal(t, s.current(), "near")
	assert.Equal(t, s.upstream("controller"), "controller", "a relay follows the controller itself")
	s.name([]string{"near", "far"}, true)
	assert.Equal(t, s.upstream("controller"), "near")
	s.pass("near")
	assert.Equal(t, s.upstream("controller"), "far")
	s.pass("near")
	assert.Equal(t, s.upstream("controller"), "far")
	s.name([]string{"near", "far"}, false)
	assert.Equal(t, s.upstream("controller"), "controller")

	assert.Equal(t, newSources(Identity{Seeds: []string{"seed"}, FirstStart: true}).current(), "")
}

// Symptom: each time the controller's word is missed, 295 hosts make some 900 calls
// to the store.
// Sequence: the controller falls silent; its word is too old after some time.
// Cause: nobody else could vouch. A relay that is asked follows the store in short
// turns, and its word counts as the controller's did.
func TestRelayTakesTheControllersPlace(t *testing.T) {
	const silent = 10 * time.Second
	relay, host := newFreshness(0), newFreshness(0)
	for _, f := range []*freshness{&relay, &host} {
		f.known("things", 5, true)
		f.told(silent-relayAfter, wordOf(silent-relayAfter, "controller", nil))
	}
	assert.Assert(t, !host.needsSource(silent))
	_, watching := plan(&relay, "things", silent)
	now := silent + 10*time.Millisecond
	assert.Assert(t, host.needsSource(now))

	// The relay is asked. It ends its watch of the controller and watches the store.
	age, _ := relay.question(now)
	assert.Assert(t, age > relayAfter)
	assert.Assert(t, watching.Err() != nil)
	made, _ := plan(&relay, "things", now)
	assert.Equal(t, made, watchPlan{wait: awayWatch})
	relay.touch("things", now)
	made, _ = plan(&relay, "things", now+awayWatch)
	assert.Equal(t, made, watchPlan{wait: relayTurn})

	// It is asked again, and vouches.
	now += askEvery
	age, revisions := relay.question(now)
	assert.Equal(t, age, askEvery)
	assert.Assert(t, relay.serves(now))
	host.told(now, word{confirmed: now - age, teller: "relay", source: "relay", revisions: revisions})
	made, _ = plan(&host, "things", silent+time.Second)
	assert.Equal(t, made, watchPlan{wait: longWatch, source: "relay"})

	// Nobody asks it any more: it asks others itself.
	now += relayFor + askEvery
	assert.Assert(t, relay.needsSource(now))
	assert.Assert(t, !relay.serves(now))
}

// A host whose source fails waits for another as long as the last word counts, and
// then asks the store.
func TestHostWaitsForASourceWhileTheLastWordCounts(t *testing.T) {
	f := newFreshness(0)
	f.told(0, wordOf(0, "controller", nil))
	f.failed("controller")
	assert.Assert(t, f.needsSource(time.Millisecond))
	begin := func(now time.Duration, relays bool) watchPlan {
		_, cancel, made := f.begin(t.Context(), "things", now, relays)
		cancel()
		return made
	}
	made := begin(time.Second, true)
	assert.Assert(t, made.news != nil)
	assert.Equal(t, made.wait, f.vouchedFor()-time.Second)
	assert.Equal(t, begin(time.Second, false), watchPlan{wait: f.shortWatch()}, "there is nobody to ask")
	assert.Equal(t, begin(f.vouchedFor(), true), watchPlan{wait: f.shortWatch()})
	f.told(time.Second, wordOf(time.Second, "relay", nil))
	<-made.news
	assert.Equal(t, begin(time.Second, true), watchPlan{wait: longWatch, source: "relay"})
}

// Symptom: hosts that the store turns away without an answer keep old owners of keys
// for seconds, though the controller has the store and answers them.
// Sequence: a report is a little late, so the controller's word is 1.2 s old for some
// milliseconds; hosts ask their relays; relays that are cut off from the store leave
// the controller for it, and wait there for an answer that does not come.
// Cause: the age alone was taken for doubt, and a watch of the store went on although
// the controller had spoken since.
func TestLateReportMakesNobodyLeaveTheController(t *testing.T) {
	const told = 5 * time.Second
	f := newFreshness(0)
	f.known("things", 5, true)
	f.told(told, wordOf(told-600*time.Millisecond, "controller", nil))
	_, watching := plan(&f, "things", told)
	late := told + 610*time.Millisecond // 10 ms after the word is 1.2 s old
	assert.Assert(t, !f.needsSource(late))
	f.question(late)
	assert.NilError(t, watching.Err())

	// The next word is overdue, and the relay goes to the store.
	overdue := told + nextWord + time.Millisecond
	assert.Assert(t, f.needsSource(overdue))
	f.question(overdue)
	assert.Assert(t, watching.Err() != nil)
	made, watching := plan(&f, "things", overdue)
	assert.Equal(t, made, watchPlan{wait: awayWatch})
	f.told(overdue+time.Millisecond, wordOf(overdue, "controller", nil))
	assert.Assert(t, watching.Err() != nil, "the watch of the store goes on")
	made, _ = plan(&f, "things", overdue+time.Millisecond)
	assert.Equal(t, made, watchPlan{wait: longWatch, source: "controller"})
}

// Symptom: a request reaches a server 2.1 s after the store knew that it leaves.
// Sequence: a server leaves just as the store turns the controller away; the controller's
// word grows old, and a host takes that of a relay, which does not know of the leaving
// yet; the relay learns of it 6 ms later.
// Cause: the host's watch went on waiting at the controller, until the relay's next word,
// 0.5 s later, told that it was behind.
func TestWatchMovesToTheNewSource(t *testing.T) {
	f := newFreshness(0)
	f.told(0, wordOf(0, "controller", nil))
	made, watching := plan(&f, "things", 0)
	assert.Equal(t, made.source, "controller")
	f.told(time.Second, wordOf(time.Second, "controller", nil))
	assert.NilError(t, watching.Err())
	f.told(2*time.Second, word{confirmed: 2 * time.Second, teller: "controller", source: "relay"})
	assert.NilError(t, watching.Err(), "the controller is as good as who follows it")
	f.told(3*time.Second, wordOf(3*time.Second, "relay", nil))
	assert.Assert(t, watching.Err() != nil)
	made, _ = plan(&f, "things", 3*time.Second)
	assert.Equal(t, made.source, "relay")
}
