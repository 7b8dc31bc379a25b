package gateway

import (
	"fmt"
	"slices"
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

	// Relays that stop reporting are replaced, if necessary by small hosts.
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

// Guards against a controller that replaces its predecessor's relays by the first hosts that report
// to it: after a restart of all hosts, half of them became relays in turn and called the store.
func TestNewControllerKeepsRelays(t *testing.T) {
	m := newMembers()
	m.inheritRelays(0, []string{"h7:1", "self:1", "h3:1"}, "self:1")
	first := map[string]int{}
	for i := range 12 {
		host := fmt.Sprintf("h%d", i)
		now := time.Duration(i) * 100 * time.Millisecond
		m.add(host, member{address: host + ":1", domain: "a", lastSeen: now})
		relays := m.relaysFor(host, "a", now)
		assert.DeepEqual(t, slices.Sorted(slices.Values(relays)), []string{"h3:1", "h7:1"})
		assert.DeepEqual(t, m.allRelays, []string{"h7:1", "h3:1"})
		first[relays[0]]++
	}
	assert.Equal(t, len(first), 2, "one relay comes first for all hosts")

	// Once all live hosts have reported, the controller selects relays from them.
	for _, name := range []string{"h1", "h2"} {
		m.add(name, member{address: name + ":1", domain: "a", lastSeen: memberTimeout})
	}
	later := memberTimeout + time.Second + 200*time.Millisecond
	assert.DeepEqual(t, slices.Sorted(slices.Values(m.relaysFor("h1", "a", later))), []string{"h1:1", "h2:1"})
}

// A host asks the relays that the controller named last; without any, those that the
// assignment names; without these, the seeds. It never asks itself, and after a failure it
// asks the next one.
func TestWhomAHostAsks(t *testing.T) {
	s := newSources(Identity{PeerAddress: "self", Seeds: []string{"self", "seed"}})
	assert.Equal(t, s.current(), "seed")
	s.updateFromAssignment(keyspace.Controller{Address: "controller", Relays: []string{"written"}})
	assert.Equal(t, s.current(), "written")
	assert.Assert(t, !s.noteMiss())
	assert.Equal(t, s.current(), "controller")
	assert.Assert(t, s.noteMiss(), "all have been asked")
	s.updateFromController([]string{"near", "self", "far"}, true)
	assert.Equal(t, s.current(), "near")
	assert.Equal(t, s.upstream("controller"), "controller", "a relay follows the controller itself")
	s.updateFromController([]string{"near", "far"}, true)
	assert.Equal(t, s.upstream("controller"), "near")
	s.skip("near")
	assert.Equal(t, s.upstream("controller"), "far")
	s.skip("near")
	assert.Equal(t, s.upstream("controller"), "far")
	s.updateFromController([]string{"near", "far"}, false)
	assert.Equal(t, s.upstream("controller"), "controller")

	assert.Equal(t, newSources(Identity{Seeds: []string{"seed"}, FirstStart: true}).current(), "")
}

// Guards against some 900 calls of 295 hosts to the store each time that the controller's
// confirmation is missed. When the controller goes silent and its confirmation grows old, a
// queried relay watches the store with short waits, and its confirmation counts like the
// controller's.
func TestRelayReplacesSilentController(t *testing.T) {
	const silent = 10 * time.Second
	relay, host := newFreshness(Identity{}), newFreshness(Identity{})
	for _, f := range []*freshness{&relay, &host} {
		f.noteRevision("things", 5, true)
		f.acceptConfirmation(silent-relayQueryAge, confirmationFrom(silent-relayQueryAge, "controller", nil))
	}
	assert.Assert(t, !host.needsRelay(silent))
	_, watchCtx := beginTestWatch(&relay, "things", silent)
	now := silent + 10*time.Millisecond
	assert.Assert(t, host.needsRelay(now))

	// The relay is queried. It cancels its watch of the controller and watches the store.
	age, _ := relay.noteRelayQuery(now)
	assert.Assert(t, age > relayQueryAge)
	assert.Assert(t, watchCtx.Err() != nil)
	planned, _ := beginTestWatch(&relay, "things", now)
	assert.Equal(t, planned, watchPlan{wait: probeWatchWait})
	relay.noteStoreRead("things", now)
	planned, _ = beginTestWatch(&relay, "things", now+probeWatchWait)
	assert.Equal(t, planned, watchPlan{wait: relayWatchWait})

	// It is queried again, and confirms the state of the store.
	now += relayQueryInterval
	age, revisions := relay.noteRelayQuery(now)
	assert.Equal(t, age, relayQueryInterval)
	assert.Assert(t, relay.canServe(now))
	host.acceptConfirmation(now, confirmation{confirmedAt: now - age, sender: "relay", source: "relay", revisions: revisions})
	planned, _ = beginTestWatch(&host, "things", silent+time.Second)
	assert.Equal(t, planned, watchPlan{wait: longWatchWait, source: "relay"})

	// When nobody queries it any more, it queries others itself.
	now += relayIdleTimeout + relayQueryInterval
	assert.Assert(t, relay.needsRelay(now))
	assert.Assert(t, !relay.canServe(now))
}

// A host whose source fails waits for another source while the last confirmation counts, and
// then watches the store.
func TestHostWaitsForSourceWhileConfirmationValid(t *testing.T) {
	f := newFreshness(Identity{})
	f.acceptConfirmation(0, confirmationFrom(0, "controller", nil))
	f.noteSourceFailure("controller")
	assert.Assert(t, f.needsRelay(time.Millisecond))
	begin := func(now time.Duration, relays bool) watchPlan {
		_, cancel, planned := f.beginWatch(t.Context(), "things", now, relays)
		cancel()
		return planned
	}
	planned := begin(time.Second, true)
	assert.Assert(t, planned.confirmationArrived != nil)
	assert.Equal(t, planned.wait, f.validFor()-time.Second)
	assert.Equal(t, begin(time.Second, false), watchPlan{wait: f.shortWait()}, "there is no host to ask")
	assert.Equal(t, begin(f.validFor(), true), watchPlan{wait: f.shortWait()})
	f.acceptConfirmation(time.Second, confirmationFrom(time.Second, "relay", nil))
	<-planned.confirmationArrived
	assert.Equal(t, begin(time.Second, true), watchPlan{wait: longWatchWait, source: "relay"})
}

// Guards against hosts that keep old owners of keys for seconds although the controller has
// the store and answers them. A report is a little late, so the controller's confirmation is
// 1.2 s old for some milliseconds. If that age alone made hosts query relays, relays that are
// cut off from the store would leave the controller to watch the store, and wait there for an
// answer that does not come, even after the controller's next confirmation.
func TestLateReportMakesNobodyLeaveTheController(t *testing.T) {
	const received = 5 * time.Second
	f := newFreshness(Identity{})
	f.noteRevision("things", 5, true)
	f.acceptConfirmation(received, confirmationFrom(received-600*time.Millisecond, "controller", nil))
	_, watchCtx := beginTestWatch(&f, "things", received)
	late := received + 610*time.Millisecond // 10 ms after the confirmation is 1.2 s old
	assert.Assert(t, !f.needsRelay(late))
	f.noteRelayQuery(late)
	assert.NilError(t, watchCtx.Err())

	// The next confirmation is overdue, and the relay watches the store.
	overdue := received + confirmationOverdueAfter + time.Millisecond
	assert.Assert(t, f.needsRelay(overdue))
	f.noteRelayQuery(overdue)
	assert.Assert(t, watchCtx.Err() != nil)
	planned, watchCtx := beginTestWatch(&f, "things", overdue)
	assert.Equal(t, planned, watchPlan{wait: probeWatchWait})
	f.acceptConfirmation(overdue+time.Millisecond, confirmationFrom(overdue, "controller", nil))
	assert.Assert(t, watchCtx.Err() != nil, "the watch of the store was not canceled")
	planned, _ = beginTestWatch(&f, "things", overdue+time.Millisecond)
	assert.Equal(t, planned, watchPlan{wait: longWatchWait, source: "controller"})
}

// Guards against a request that reaches a server 2.1 s after the store knew that it leaves.
// The store refuses the controller's calls, whose confirmation grows old, and a host follows a
// relay instead, which learns of the leaving server 6 ms later. If the host's watch stayed at
// the controller, it would learn of it only with the relay's next confirmation, 0.5 s later.
func TestWatchMovesToTheNewSource(t *testing.T) {
	f := newFreshness(Identity{})
	f.acceptConfirmation(0, confirmationFrom(0, "controller", nil))
	planned, watchCtx := beginTestWatch(&f, "things", 0)
	assert.Equal(t, planned.source, "controller")
	f.acceptConfirmation(time.Second, confirmationFrom(time.Second, "controller", nil))
	assert.NilError(t, watchCtx.Err())
	f.acceptConfirmation(2*time.Second, confirmation{confirmedAt: 2 * time.Second, sender: "controller", source: "relay"})
	assert.NilError(t, watchCtx.Err(), "a watch at the controller is as good as one at a relay that follows it")
	f.acceptConfirmation(3*time.Second, confirmationFrom(3*time.Second, "relay", nil))
	assert.Assert(t, watchCtx.Err() != nil)
	planned, _ = beginTestWatch(&f, "things", 3*time.Second)
	assert.Equal(t, planned.source, "relay")
}
