package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/keyspace"
)

// A controller names two large hosts of each failure domain as relays, chosen from those that
// reported lately. A host is given its own domain's relays first, and the hosts of a domain
// are spread over them.
func TestRelaysAreLargeHostsThatReport(t *testing.T) {
	m := newMembers()
	for _, domain := range []string{"a", "b"} {
		for i := range 20 {
			name := fmt.Sprintf("%s%02d", domain, i)
			m.note(name, member{address: name + ":1", domain: domain, small: i >= 3})
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
	assert.Equal(t, len(m.all), 2*relaysPerDomain)

	// Relays that stop reporting are replaced, if necessary by small hosts.
	later := memberKept + namedEvery
	for name, each := range m.hosts {
		if each.small || each.domain == "b" {
			each.seen = later
			m.note(name, each)
		}
	}
	for _, near := range m.relaysFor("a10", "a", later)[:relaysPerDomain] {
		assert.Assert(t, m.hosts[near[:3]].small, near)
	}
}

// A host asks the relays that the controller named last; without any, those that the
// assignment names; without these, the seeds. It never asks itself, and after a failure it
// asks the next one.
func TestWhomAHostAsks(t *testing.T) {
	s := newSources(Identity{Peers: "self", Seeds: []string{"self", "seed"}})
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

// Guards against some 900 calls of 295 hosts to the store each time that the controller's
// confirmation is missed. When the controller goes silent and its confirmation grows old, a
// queried relay watches the store with short waits, and its confirmation counts like the
// controller's.
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

	// The relay is queried. It cancels its watch of the controller and watches the store.
	age, _ := relay.question(now)
	assert.Assert(t, age > relayAfter)
	assert.Assert(t, watching.Err() != nil)
	made, _ := plan(&relay, "things", now)
	assert.Equal(t, made, watchPlan{wait: awayWatch})
	relay.touch("things", now)
	made, _ = plan(&relay, "things", now+awayWatch)
	assert.Equal(t, made, watchPlan{wait: relayTurn})

	// It is queried again, and confirms the state of the store.
	now += askEvery
	age, revisions := relay.question(now)
	assert.Equal(t, age, askEvery)
	assert.Assert(t, relay.serves(now))
	host.told(now, word{confirmed: now - age, teller: "relay", source: "relay", revisions: revisions})
	made, _ = plan(&host, "things", silent+time.Second)
	assert.Equal(t, made, watchPlan{wait: longWatch, source: "relay"})

	// When nobody queries it any more, it queries others itself.
	now += relayFor + askEvery
	assert.Assert(t, relay.needsSource(now))
	assert.Assert(t, !relay.serves(now))
}

// A host whose source fails waits for another source while the last confirmation counts, and
// then watches the store.
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
	assert.Equal(t, begin(time.Second, false), watchPlan{wait: f.shortWatch()}, "there is no host to ask")
	assert.Equal(t, begin(f.vouchedFor(), true), watchPlan{wait: f.shortWatch()})
	f.told(time.Second, wordOf(time.Second, "relay", nil))
	<-made.news
	assert.Equal(t, begin(time.Second, true), watchPlan{wait: longWatch, source: "relay"})
}

// Guards against hosts that keep old owners of keys for seconds although the controller has
// the store and answers them. A report is a little late, so the controller's confirmation is
// 1.2 s old for some milliseconds. If that age alone made hosts query relays, relays that are
// cut off from the store would leave the controller to watch the store, and wait there for an
// answer that does not come, even after the controller's next confirmation.
func TestLateReportMakesNobodyLeaveTheController(t *testing.T) {
	const told = 5 * time.Second
	f := newFreshness(0)
	f.known("things", 5, true)
	f.told(told, wordOf(told-600*time.Millisecond, "controller", nil))
	_, watching := plan(&f, "things", told)
	late := told + 610*time.Millisecond // 10 ms after the confirmation is 1.2 s old
	assert.Assert(t, !f.needsSource(late))
	f.question(late)
	assert.NilError(t, watching.Err())

	// The next confirmation is overdue, and the relay watches the store.
	overdue := told + nextWord + time.Millisecond
	assert.Assert(t, f.needsSource(overdue))
	f.question(overdue)
	assert.Assert(t, watching.Err() != nil)
	made, watching := plan(&f, "things", overdue)
	assert.Equal(t, made, watchPlan{wait: awayWatch})
	f.told(overdue+time.Millisecond, wordOf(overdue, "controller", nil))
	assert.Assert(t, watching.Err() != nil, "the watch of the store was not canceled")
	made, _ = plan(&f, "things", overdue+time.Millisecond)
	assert.Equal(t, made, watchPlan{wait: longWatch, source: "controller"})
}

// Guards against a request that reaches a server 2.1 s after the store knew that it leaves.
// The store refuses the controller's calls, whose confirmation grows old, and a host follows a
// relay instead, which learns of the leaving server 6 ms later. If the host's watch stayed at
// the controller, it would learn of it only with the relay's next confirmation, 0.5 s later.
func TestWatchMovesToTheNewSource(t *testing.T) {
	f := newFreshness(0)
	f.told(0, wordOf(0, "controller", nil))
	made, watching := plan(&f, "things", 0)
	assert.Equal(t, made.source, "controller")
	f.told(time.Second, wordOf(time.Second, "controller", nil))
	assert.NilError(t, watching.Err())
	f.told(2*time.Second, word{confirmed: 2 * time.Second, teller: "controller", source: "relay"})
	assert.NilError(t, watching.Err(), "a watch at the controller is as good as one at a relay that follows it")
	f.told(3*time.Second, wordOf(3*time.Second, "relay", nil))
	assert.Assert(t, watching.Err() != nil)
	made, _ = plan(&f, "things", 3*time.Second)
	assert.Equal(t, made.source, "relay")
}
