package ownership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/ownership"
	"cicadarouter/record"
)

// Tests of fixed sequences of events: failures that the stateful tests found, or
// that they reach too rarely.

// deliverIf delivers the messages that match, and those sent in response if they
// match too.
func (s *simulation) deliverIf(match func(m message) bool) {
	for range 6 {
		batch := s.messages
		s.messages = nil
		for _, m := range batch {
			if match(m) {
				s.deliver(m)
				continue
			}
			s.messages = append(s.messages, m)
		}
	}
}

func anyMessage(message) bool { return true }

// runTicks runs the whole system for some ticks of 10 ms.
func (s *simulation) runTicks(t testingT, ticks int) {
	for range ticks {
		for _, name := range s.controllerNames() {
			c := s.controllers[name]
			if c.paused {
				continue
			}
			s.read(c)
			actions{s}.tickOne(c)
		}
		s.deliverIf(func(m message) bool { return !s.paused(m.to) })
		s.trueTime += 10 * time.Millisecond
		s.checkInvariants(t)
	}
}

func settledSimulation(t *testing.T, bounded, unchecked bool) *simulation {
	s := fixedSimulation(bounded, unchecked)
	for _, name := range s.controllerNames() {
		s.read(s.controllers[name])
	}
	s.runTicks(t, 20)
	assert.Assert(t, s.page.Shards[0].Grantable())
	return s
}

func (s *simulation) move(c *controller, next string) {
	c.machine.Propose(c.now(s), ownership.Proposal{Releases: []ownership.Release{{Low: 0, Next: next}}})
	s.perform(c)
}

func (s *simulation) otherServer() string {
	if s.page.Shards[0].Owner == "s1" {
		return "s2"
	}
	return "s1"
}

// releasing returns the state machine of c1 at time 0, with a page whose only shard
// is being released by s1 in generation 2.
func releasing(t *testing.T, view ownership.View) *ownership.StateMachine {
	attempt := func() string { return "attempt" }
	m := ownership.NewStateMachine(testTerms(), attempt)
	m.Learn(0, record.Page{
		Name: testPage, High: pageHigh, Generation: 1, GroupSince: 1, Group: []string{"c1", "c2", "c3"},
		Shards: []record.Shard{{Owner: "s1", Token: 1, State: record.ShardOwned}},
	})
	view.Active = true
	view.Servers = []string{"s1", "s2"}
	view.Eligible = view.Servers
	m.Tick(0, view)
	m.Propose(0, ownership.Proposal{Releases: []ownership.Release{{Low: 0, Next: "s2"}}})
	written := m.Ready().Write
	assert.Assert(t, written != nil && written.Shards[0].Releasing())
	m.HandleWriteResult(0, written.Attempt, ownership.WriteDone)
	m.Ready()
	return m
}

// Two servers could hold a key after a planned move: the old owner accepts the
// releasing generation and restarts. A controller that does not know that
// generation yet gets the new incarnation's clock reading and a majority for the
// old generation, and its grant is delayed. If the owner's earlier ack counts as a
// release once the majority stops, the key gets a new owner and the delayed grant
// still arrives. So only acks of messages sent after the majority stopped may
// count.
func TestOwnerRestartsBetweenAckAndStop(t *testing.T) {
	m := releasing(t, ownership.View{})
	s1 := ownership.HolderID{Kind: ownership.BackendServer, Name: "s1"}
	m.HandleAck(1, s1, ownership.HolderAck{SentAt: 1, HolderTime: 1, Incarnation: 7, Generation: 2})
	running := ownership.Promise{Remaining: testTerms().LeaseDuration}
	m.HandlePromise(5, 1, "c1", running)
	m.HandlePromise(5, 1, "c2", running)
	assert.Assert(t, m.Ready().Write == nil, "an ack from before the stop counted as a release")
	m.HandleAck(6, s1, ownership.HolderAck{SentAt: 5, HolderTime: 6, Incarnation: 7, Generation: 2})
	assert.Assert(t, m.Ready().Write != nil, "the owner's ack from after the stop did not count as a release")
}

// A server that does not check tokens runs every request that arrives before its
// deadline. A request in transit when the router's lease expires could run after
// the key's new owner has run another. So the key must stay without an owner until
// the deadlines of such requests have passed.
func TestUncheckedServerRunsRequestsInFlight(t *testing.T) {
	m := releasing(t, ownership.View{TokensUnchecked: true, MaxRequestDuration: 150 * time.Millisecond})
	view := ownership.View{Active: true, Servers: []string{"s1", "s2"}, Eligible: []string{"s2"},
		TokensUnchecked: true, MaxRequestDuration: 150 * time.Millisecond}
	m.HandlePromise(0, 1, "c1", ownership.Promise{})
	m.HandlePromise(0, 1, "c2", ownership.Promise{})
	terms := testTerms()
	drained := terms.SafeWait(terms.LeaseDuration) + terms.SafeWait(view.MaxRequestDuration)
	m.Tick(drained-1, view)
	assert.Assert(t, m.Ready().Write == nil, "the key got a new owner while a request could be in transit")
	m.Tick(drained, view)
	assert.Assert(t, m.Ready().Write != nil)
}

// When another domain takes a page over, the routers of the previous domain send
// requests until their bounded leases end. The wait for requests in transit must
// begin at that time, not when the new group has stopped. Otherwise a late request
// could run at a server that does not check tokens after the key's new owner has
// run another.
func TestUncheckedTakeOverWaitsForTheLastRequest(t *testing.T) {
	terms := testTerms()
	const drain = 150 * time.Millisecond
	m := ownership.NewStateMachine(terms, func() string { return "attempt" })
	page := ownership.TakeOver(record.Page{
		Name: testPage, High: pageHigh, Generation: 1, GroupSince: 1, Bounded: true, Group: []string{"c1"},
		Shards: []record.Shard{{Owner: "s1", Token: 1, State: record.ShardOwned}},
	}, "b", []string{"d1"}, "taken")
	view := ownership.View{Active: true, Eligible: []string{"s2"}, TokensUnchecked: true, MaxRequestDuration: drain}
	m.Learn(0, page)
	m.Tick(0, view)
	m.HandlePromise(0, 1, "d1", ownership.Promise{})
	lastSent := terms.SafeWait(terms.LeaseDuration) + terms.SafeWait(terms.MaxStoreOutage)
	m.Tick(lastSent+terms.SafeWait(drain)-1, view)
	assert.Assert(t, m.Ready().Write == nil, "the key got a new owner while the old domain's last request could be in transit")
	m.Tick(lastSent+terms.SafeWait(drain), view)
	assert.Assert(t, m.Ready().Write != nil)
}

// Two servers could hold a key after a voter that promised to stop a generation is
// replaced by a new process at its address, which does not know that promise. A
// controller without contact to the store may ask it to agree to that generation.
// So the new process must abstain until it has read the store.
func TestReplacedVoterAbstains(t *testing.T) {
	s := settledSimulation(t, false, false)
	c1, c2, c3 := s.controllers["c1"], s.controllers["c2"], s.controllers["c3"]
	s.messages = nil
	s.cut[[2]string{"c3", storeName}] = true
	s.cut[[2]string{storeName, "c3"}] = true
	s.cut[[2]string{"c1", "c3"}] = true
	s.cut[[2]string{"c3", "c1"}] = true
	s.move(c1, s.otherServer())
	for range 3 {
		actions{s}.tickOne(c1)
		s.deliverIf(func(m message) bool { return m.from != "c3" && m.to != "c3" })
		s.trueTime += 5 * time.Millisecond
	}
	s.startController(c2)
	s.storeDown = true
	for range 30 {
		actions{s}.tickOne(c3)
		actions{s}.tickOne(c1)
		s.deliverIf(anyMessage)
		s.trueTime += 10 * time.Millisecond
		s.checkInvariants(t)
	}
	answer := c2.voter.Agree(c2.now(s), ownership.RenewalRequest{Page: testPage, Generation: c3.machine.Page().Generation})
	assert.Equal(t, answer.Verdict, ownership.Abstains)
}

// Two routers could dispatch one page: a router releases its lease, restarts and
// gets a new lease, and a delayed renewal request that reports the release arrives
// afterwards. So a release must apply to one incarnation of the router only.
func TestReleaseAppliesToOneIncarnation(t *testing.T) {
	terms := testTerms()
	voter := ownership.NewVoter(terms, 0)
	voter.StoreRead(0)
	now := terms.SafeWait(terms.LeaseDuration)
	ask := ownership.RenewalRequest{Page: testPage, Generation: 1, Dispatcher: "r1", DispatcherIncarnation: 2}
	assert.Equal(t, voter.Agree(now, ask).Verdict, ownership.Agreed)
	late := ownership.RenewalRequest{Page: testPage, Generation: 1, Dispatcher: "r2", DispatcherIncarnation: 5, ReleasedDispatcher: "r1", ReleasedIncarnation: 1}
	assert.Equal(t, voter.Agree(now, late).Verdict, ownership.DispatcherBusy)
	late.ReleasedIncarnation = 2
	assert.Equal(t, voter.Agree(now, late).Verdict, ownership.Agreed)
}

// TestVerdicts checks each reason for a voter to agree or to refuse.
func TestVerdicts(t *testing.T) {
	terms := testTerms()
	lapsed := terms.SafeWait(terms.LeaseDuration)
	ask := ownership.RenewalRequest{Page: testPage, Generation: 5}
	rows := []struct {
		name    string
		prepare func(v *ownership.Voter)
		at      time.Duration
		ask     ownership.RenewalRequest
		want    ownership.Verdict
	}{
		{"no reason to refuse", func(v *ownership.Voter) { v.StoreRead(0) }, 0, ask, ownership.Agreed},
		{"store not read", func(v *ownership.Voter) { v.Learn(testPage, 5) }, 0, ask, ownership.Abstains},
		{"newer generation known", func(v *ownership.Voter) { v.StoreRead(0); v.Learn(testPage, 6) }, 0, ask, ownership.NewerGenerationKnown},
		{"stopped", func(v *ownership.Voter) { v.StoreRead(0); v.Stop(0, testPage, 5) }, 0, ask, ownership.Stopped},
		{"older generation stopped", func(v *ownership.Voter) { v.StoreRead(0); v.Stop(0, testPage, 4) }, 0, ask, ownership.Agreed},
		{"bounded, store outage too long", func(v *ownership.Voter) { v.StoreRead(0) }, terms.MaxStoreOutage + 1,
			ownership.RenewalRequest{Page: testPage, Generation: 5, Bounded: true}, ownership.Abstains},
		{"bounded, store outage within limit", func(v *ownership.Voter) { v.StoreRead(0) }, terms.MaxStoreOutage,
			ownership.RenewalRequest{Page: testPage, Generation: 5, Bounded: true}, ownership.Agreed},
		{"predecessor may have agreed to another router", func(v *ownership.Voter) { v.StoreRead(0) }, lapsed - 1,
			ownership.RenewalRequest{Page: testPage, Generation: 5, Dispatcher: "r1"}, ownership.DispatcherBusy},
		{"predecessor's leases have expired", func(v *ownership.Voter) { v.StoreRead(0) }, lapsed,
			ownership.RenewalRequest{Page: testPage, Generation: 5, Dispatcher: "r1"}, ownership.Agreed},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			voter := ownership.NewVoter(terms, 0)
			row.prepare(voter)
			assert.Equal(t, voter.Agree(row.at, row.ask).Verdict, row.want)
		})
	}
}

// With WaitForOperator, the keys of an unreachable server that does not check
// tokens must not get a new owner before an operator declares it lost, even when
// all leases have expired and all request deadlines have passed.
func TestUncheckedServerWaitsForOperator(t *testing.T) {
	s := settledSimulation(t, false, true)
	old := s.holders[s.page.Shards[0].Owner]
	for _, c := range s.controllers {
		c.view.WaitForOperator = true
	}
	old.paused = true
	s.move(s.controllers["c1"], s.otherServer())
	s.runTicks(t, 100)
	assert.Assert(t, s.page.Shards[0].Releasing())
	for _, c := range s.controllers {
		c.view.LostServers = []string{old.name}
	}
	s.runTicks(t, 10)
	assert.Assert(t, s.page.Shards[0].Grantable())
	assert.Assert(t, s.page.Shards[0].Owner != old.name)
}
