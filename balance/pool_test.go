package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

const ms = time.Millisecond

func pool(servers ...fleet.Server) *Pool {
	p := NewPool("home", nil, 1)
	p.SetServers(0, servers)
	return p
}

// SetServers takes all of the service's servers.
func (p *Pool) SetServers(now time.Duration, servers []fleet.Server) {
	listed := make(map[string]bool, len(servers))
	for i := range servers {
		listed[servers[i].ID] = true
	}
	var gone []string
	for _, server := range p.servers.order {
		if !listed[server.ID] {
			gone = append(gone, server.ID)
		}
	}
	p.ChangeServers(now, servers, gone)
}

func enter(p *Pool, now time.Duration, w Waiter) *Waiter {
	w.Ready = make(chan struct{})
	w.Arrived = now
	if w.Deadline == 0 {
		w.Deadline = now + time.Second
	}
	if w.Objective == 0 {
		w.Objective = 300 * ms
	}
	p.Enter(now, &w)
	return &w
}

func (w *Waiter) settled() bool {
	select {
	case <-w.Ready:
		return true
	default:
		return false
	}
}

func TestOwnDomainFirstUntilItIsBusy(t *testing.T) {
	p := pool(fleet.Server{ID: "far", Domain: "away", Slots: 2}, fleet.Server{ID: "near", Domain: "home", Slots: 2})
	var went []string
	for range 3 {
		went = append(went, enter(p, 0, Waiter{}).Server.ID)
	}
	assert.DeepEqual(t, went, []string{"near", "near", "far"})
}

func TestFullServersMakeRequestsWait(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	first := enter(p, 0, Waiter{})
	second := enter(p, 0, Waiter{})
	third := enter(p, 0, Waiter{})
	assert.Assert(t, first.Server != nil && second.Server != nil && !third.settled())
	p.Done(50*ms, first.Server, End{Outcome: Answered, Took: 50 * ms})
	assert.Equal(t, third.Server.ID, "a")
}

// A load reported by the server holds requests back, and is forgotten with time.
func TestReportedLoad(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	first := enter(p, 0, Waiter{})
	p.Done(10*ms, first.Server, End{Outcome: Answered, Took: 10 * ms, Load: &Load{Running: 1, Waiting: 3, Slots: 1}})
	waiting := enter(p, 10*ms, Waiter{Objective: 3 * time.Second, Deadline: 9 * time.Second})
	assert.Assert(t, !waiting.settled())
	p.Pump(600 * ms)
	assert.Assert(t, waiting.Server != nil)
}

// Symptom: under overload all requests are answered, but all of them late.
// Sequence: a burst of 40 requests meets one slot of 100 ms.
// Cause: requests joined a line whose end was beyond their objective.
func TestBurstIsTurnedAwayAtOnce(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	rejected := 0
	for range 40 {
		w := enter(p, 0, Waiter{})
		if w.Rejected == nil {
			continue
		}
		rejected++
		assert.Equal(t, w.Rejected.Reason, Overload)
		assert.Assert(t, w.Rejected.RetryAfter >= leastRetryAfter && w.Rejected.RetryAfter <= mostRetryAfter)
	}
	assert.Assert(t, rejected > 30, "%d of 40 were turned away", rejected)
	assert.Assert(t, p.Waiting() <= 4)
}

// Symptom: requests for a busy key wait in the hosts until their deadline.
// Sequence: several hosts send to one owner, each taking its slots for its own.
// Cause: the expected wait left the other hosts out.
func TestPaceOfASharedServer(t *testing.T) {
	p := keyedPool(&owners{id: "a"})
	now := time.Duration(0)
	var under []*Waiter
	for range 5 {
		under = append(under, enter(p, now, Waiter{Keyed: true}))
	}
	for range 6 { // a completion each 200 ms, though the service takes 100 ms
		now += 200 * ms
		p.Done(now, under[0].Server, End{Outcome: Answered, Took: 100 * ms})
		under = append(under[1:], enter(p, now, Waiter{Keyed: true, Objective: 10 * time.Second, Deadline: now + 10*time.Second}))
	}
	const behindAll = 200 // ranks
	late := enter(p, now, Waiter{Keyed: true, Objective: 250 * ms, Deadline: now + 500*ms, Priority: behindAll})
	assert.Assert(t, late.Rejected != nil, "a wait of 200 ms or more was not expected")
}

// A wait that turned out longer than expected ends; the caller may come back.
func TestWaitThatOutlastsItsObjectiveEnds(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	enter(p, 0, Waiter{})
	enter(p, 0, Waiter{})
	waiting := enter(p, 0, Waiter{})
	p.Pump(200 * ms)
	assert.Assert(t, !waiting.settled())
	p.Pump(300 * ms)
	assert.Equal(t, waiting.Rejected.Reason, Overload)
}

func TestUrgentFirstWithoutStarving(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	running := enter(p, 0, Waiter{})
	enter(p, 0, Waiter{})
	patient := Waiter{Priority: 2, Objective: time.Second, Deadline: 5 * time.Second}
	old := enter(p, 0, patient)
	urgent := enter(p, 100*ms, Waiter{Objective: time.Second})
	p.Done(110*ms, running.Server, End{Outcome: Answered, Took: 100 * ms})
	assert.Assert(t, urgent.settled() && !old.settled())
	enter(p, 200*ms, Waiter{Objective: time.Second})
	p.Done(210*ms, urgent.Server, End{Outcome: Answered, Took: 100 * ms})
	assert.Assert(t, old.settled(), "an old request stands behind every urgent one")
}

// Servers that fail are used less, but never all of them shut out.
func TestFailingServers(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 4}, fleet.Server{ID: "b", Domain: "home", Slots: 4})
	for i := range 20 {
		w := enter(p, time.Duration(i)*ms, Waiter{})
		outcome := Answered
		if w.Server.ID == "a" {
			outcome = Failed
		}
		p.Done(time.Duration(i)*ms, w.Server, End{Outcome: outcome, Took: 100 * ms})
	}
	for range 3 {
		assert.Equal(t, enter(p, 30*ms, Waiter{}).Server.ID, "b")
	}
	for _, server := range p.Servers() {
		p.Done(30*ms, server, End{Outcome: Unreachable, Took: 0})
		server.inFlight++
	}
	assert.Assert(t, enter(p, 31*ms, Waiter{}).Server != nil, "both are passed over")
}

func TestNoServer(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Slots: 2, Draining: true})
	assert.Equal(t, enter(p, 0, Waiter{}).Rejected.Reason, NoServer)
}

// owners is an assignment for tests.
type owners struct {
	id   string
	back time.Duration
}

func (o *owners) OwnerOf(uint16) (string, time.Duration) { return o.id, o.back }

func keyedPool(o *owners) *Pool {
	p := NewPool("home", o, 1)
	p.SetServers(0, []fleet.Server{{ID: "a", Slots: 2}, {ID: "b", Slots: 2}})
	return p
}

func TestKeyGoesToItsOwnerOnly(t *testing.T) {
	o := &owners{id: "b"}
	p := keyedPool(o)
	assert.Equal(t, enter(p, 0, Waiter{Keyed: true, Tried: []string{"b"}}).Server.ID, "b")
	o.id = ""
	moving := enter(p, 0, Waiter{Keyed: true})
	assert.Assert(t, !moving.settled(), "a planned move is waited for")
	o.id = "a"
	p.Pump(10 * ms)
	assert.Equal(t, moving.Server.ID, "a")
}

// A key whose owner is lost has none for seconds: its callers are told at once.
func TestLostOwner(t *testing.T) {
	o := &owners{back: 4 * time.Second}
	w := enter(keyedPool(o), 0, Waiter{Keyed: true})
	assert.Equal(t, w.Rejected.Reason, NoOwner)
	assert.Equal(t, w.Rejected.RetryAfter, mostRetryAfter)
	o.back = 0
	p := keyedPool(o)
	w = enter(p, 0, Waiter{Keyed: true, Deadline: 10 * time.Second})
	p.Pump(time.Second)
	assert.Equal(t, w.Rejected.Reason, NoOwner)
}

// Symptom: a server gets requests more than 2 s after it said that it leaves.
// Sequence: it begins to leave while nobody can move its keys; the controller is
// away, and a host learns of it 1.1 s later, by its own watch.
// Cause: the owner of a key was used for as long as it was the owner, and then
// for a time that left nothing for the news to come.
func TestLeavingOwner(t *testing.T) {
	p := keyedPool(&owners{id: "a"})
	leaving := []fleet.Server{{ID: "a", Slots: 2, Draining: true}, {ID: "b", Slots: 2}}
	p.SetServers(time.Second, leaving)
	assert.Equal(t, enter(p, 1500*ms, Waiter{Keyed: true, Deadline: 9 * time.Second}).Server.ID, "a")
	p.SetServers(1600*ms, leaving)
	assert.Equal(t, enter(p, 1700*ms, Waiter{Keyed: true, Deadline: 9 * time.Second}).Rejected.Reason, NoOwner)
}

// Symptom: requests time out at a server that never answers.
// Sequence: its queue is full; it leaves requests unanswered and tells no load.
// Cause: the last load it told was forgotten while answers were due.
func TestSilentServerGetsNoMore(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 8})
	enter(p, 0, Waiter{})
	waiting := enter(p, 400*ms, Waiter{})
	assert.Assert(t, !waiting.settled())
}

// Symptom: under lasting overload nearly all requests are answered, each a
// little too late.
// Sequence: requests wait for a server in the order in which they came.
// Cause: one that had missed its objective went before one that had not.
func TestWhatIsLateAlreadyGoesLast(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	running := enter(p, 0, Waiter{})
	enter(p, 0, Waiter{})
	old := enter(p, 0, Waiter{Deadline: 3 * time.Second})
	fresh := enter(p, 190*ms, Waiter{Deadline: 3 * time.Second})
	p.Done(220*ms, running.Server, End{Outcome: Answered, Took: 100 * ms})
	assert.Assert(t, fresh.settled() && !old.settled())
}

// A request that waits for a leaving owner does not go there once it has left.
func TestWaitingForALeavingOwner(t *testing.T) {
	p := keyedPool(&owners{id: "a"})
	patient := Waiter{Keyed: true, Objective: 5 * time.Second, Deadline: 9 * time.Second}
	var under []*Waiter
	for range 4 {
		under = append(under, enter(p, 0, patient))
	}
	waiting := enter(p, 0, patient)
	p.SetServers(10*ms, []fleet.Server{{ID: "a", Slots: 2, Draining: true}, {ID: "b", Slots: 2}})
	p.Done(10*ms+leaveWithin, under[0].Server, End{Outcome: Answered, Took: 100 * ms})
	assert.Assert(t, waiting.Server == nil)
}

// Draining servers take nothing, however full the others are.
func TestDrainingServerStaysEmpty(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 1}, fleet.Server{ID: "b", Domain: "home", Slots: 4, Draining: true})
	for range 2 {
		assert.Equal(t, enter(p, 0, Waiter{}).Server.ID, "a")
	}
	assert.Assert(t, !enter(p, 0, Waiter{}).settled())
}

// A request goes to a server that has not had it, as long as there is one.
func TestRepeatedRequestGoesElsewhere(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 4}, fleet.Server{ID: "b", Domain: "away", Slots: 4})
	assert.Equal(t, enter(p, 0, Waiter{}).Server.ID, "a")
	assert.Equal(t, enter(p, 0, Waiter{Tried: []string{"a"}}).Server.ID, "b")
	assert.Equal(t, enter(p, 0, Waiter{Tried: []string{"a", "b"}}).Server.ID, "a")
}

// Symptom: a few servers are overrun while others idle, whenever hosts start.
// Sequence: many hosts that know nothing yet send their first requests.
// Cause: all of them began with the same servers.
func TestHostsBeginWithDifferentServers(t *testing.T) {
	const hosts = 40
	var servers []fleet.Server
	for i := range 20 {
		servers = append(servers, fleet.Server{ID: string(rune('a' + i)), Domain: "home", Slots: 2})
	}
	first := map[string]int{}
	for host := range hosts {
		p := NewPool("home", nil, uint64(host))
		p.SetServers(0, servers)
		first[enter(p, 0, Waiter{}).Server.ID]++
	}
	most := 0
	for _, n := range first {
		most = max(most, n)
	}
	assert.Assert(t, most <= 8, "%d of %d hosts began with one of 20 servers", most, hosts)
}

// A server that has just told that it has a free slot is preferred to one of
// which nothing has been heard for long, however idle that was then.
func TestNoNewsIsUsual(t *testing.T) {
	p := pool(fleet.Server{ID: "idle", Domain: "home", Slots: 2}, fleet.Server{ID: "old", Domain: "home", Slots: 2})
	p.usual = 0.8
	p.servers.byID["old"].report(time.Second, Load{Slots: 2})
	p.servers.byID["idle"].report(20*time.Second, Load{Running: 1, Slots: 2})
	for range 5 {
		w := enter(p, 20*time.Second, Waiter{})
		assert.Equal(t, w.Server.ID, "idle")
		p.Done(20*time.Second, w.Server, End{Outcome: Abandoned})
	}
}

// Symptom: most requests for one key are told after half a second that they
// can't be served.
// Sequence: all callers ask for one key; its owner is shared by many hosts, and a
// place there comes every few seconds.
// Cause: each request waited for itself until it was too late, since the host had
// seen no completion from which to tell the owner's pace.
func TestWhoWaitsInVainSparesTheNext(t *testing.T) {
	p := keyedPool(&owners{id: "a"})
	p.servers.byID["a"].others, p.servers.byID["a"].reportAt = 1000, 0
	full := func(now time.Duration) { p.servers.byID["a"].reportAt = now }
	asked := Waiter{Keyed: true, Objective: 600 * ms, Deadline: 9 * time.Second}
	var waiting []*Waiter
	for range believedStalls {
		waiting = append(waiting, enter(p, 0, asked))
	}
	full(700 * ms)
	p.Pump(700 * ms)
	for _, w := range waiting {
		assert.Equal(t, w.Rejected.Reason, Overload)
	}
	next := enter(p, 710*ms, asked)
	assert.Assert(t, next.Rejected != nil, "the next waits as long in vain")
	full(2500 * ms)
	later := enter(p, 2500*ms, asked)
	assert.Assert(t, !later.settled(), "nobody finds out when there is room again")
	full(0)
	p.servers.byID["a"].others = 0
	p.Pump(2510 * ms)
	assert.Assert(t, later.Server != nil)
	assert.Equal(t, p.servers.byID["a"].stalled(2510*ms), time.Duration(0))
}

// Symptom: a server that has just started again gets no requests for as long as
// those take that it lost.
// Sequence: a server of one slot has two requests; it crashes and starts again
// under its ID, at another address or not; the lost requests end later.
// Cause: what was known of a server was kept by ID.
func TestLaterIncarnationBeginsAfresh(t *testing.T) {
	first := fleet.Server{ID: "a", Start: 1, Address: "10.0.0.1:80", Domain: "home", Slots: 1}
	again, elsewhere := first, first
	again.Start = 2
	elsewhere.Address = "10.0.0.2:80"
	for _, later := range []fleet.Server{again, elsewhere} {
		p := pool(first)
		lost := enter(p, 0, Waiter{})
		enter(p, 0, Waiter{})
		assert.Assert(t, lost.settled() && lost.Rejected == nil)
		p.Learn(first.Incarnation(), Pace{Samples: 50, Ratio: 5})
		p.SetServers(10*ms, []fleet.Server{later})
		server := p.Servers()[0]
		assert.Equal(t, server.InFlight(), 0)
		assert.Equal(t, server.Ratio(), 1.0)
		full := Load{Running: 1, Waiting: 9, Slots: 1}
		p.Done(20*ms, lost.Server, End{Outcome: Unreachable, Load: &full})
		assert.Equal(t, server.InFlight(), 0)
		assert.Assert(t, server.reachable(20*ms))
		got := enter(p, 20*ms, Waiter{})
		assert.Assert(t, got.settled() && got.Server == server, "%+v", got.Rejected)
	}
}

// A speed that was measured of an earlier incarnation is not taken for the
// later one's.
func TestSpeedIsThatOfOneIncarnation(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Start: 2, Domain: "home", Slots: 1})
	p.Learn(fleet.Incarnation{ID: "a", Start: 1}, Pace{Samples: 50, Ratio: 5})
	assert.Equal(t, p.Servers()[0].Ratio(), 1.0)
	p.Learn(fleet.Incarnation{ID: "a", Start: 2}, Pace{Samples: 50, Ratio: 5})
	assert.Assert(t, p.Servers()[0].Ratio() > 2)
}

// unreachable makes a server fail an attempt.
func unreachable(p *Pool, now time.Duration, id string) {
	const most = 16
	var others []*Server
	for range most {
		w := enter(p, now, Waiter{})
		if w.Server.ID == id {
			p.Done(now, w.Server, End{Outcome: Unreachable})
			break
		}
		others = append(others, w.Server)
	}
	for _, server := range others {
		p.Done(now, server, End{Outcome: Abandoned})
	}
}

// Symptom: in a failure domain that is cut off, requests are turned away after four
// tries of a few milliseconds each, while the domain's own servers serve others in
// a tenth of a second.
// Sequence: the servers of other domains can't be reached; the own one has no room
// at the moment; the others, which get nothing, are idle.
// Cause: a server with room was preferred to one that can be reached.
func TestRequestWaitsForAServerThatCanBeReached(t *testing.T) {
	p := pool(fleet.Server{ID: "far", Domain: "away", Slots: 2}, fleet.Server{ID: "near", Domain: "home", Slots: 1})
	unreachable(p, 0, "far")
	running := enter(p, 10*ms, Waiter{})
	queued := enter(p, 10*ms, Waiter{})
	waiting := enter(p, 10*ms, Waiter{})
	assert.Equal(t, running.Server.ID, "near")
	assert.Equal(t, queued.Server.ID, "near")
	assert.Assert(t, !waiting.settled())
	p.Done(60*ms, running.Server, End{Outcome: Answered, Took: 50 * ms})
	assert.Assert(t, waiting.settled() && waiting.Server.ID == "near")

	// Where none can be reached, any is tried.
	alone := pool(fleet.Server{ID: "far", Domain: "away", Slots: 2})
	unreachable(alone, 0, "far")
	assert.Equal(t, enter(alone, 10*ms, Waiter{}).Server.ID, "far")
}

// Symptom: at each end of its suspicion, a silent server takes as many requests as
// it has slots, each of which waits for a connection in vain.
// Sequence: a server can't be reached; the time for which it is passed over ends;
// several requests come.
// Cause: it was trusted again at once.
func TestServerThatCouldNotBeReachedIsTriedWithOneRequest(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 4}, fleet.Server{ID: "b", Domain: "away", Slots: 4})
	unreachable(p, 0, "a")
	now := suspectFirst + ms
	placed := map[string]*Server{}
	at := func() (count int) {
		for range 8 {
			w := enter(p, now, Waiter{})
			if w.Server != nil {
				placed[w.Server.ID] = w.Server
			}
		}
		return p.servers.byID["a"].InFlight()
	}
	assert.Equal(t, at(), 1)
	p.Done(now+50*ms, placed["a"], End{Outcome: Answered, Took: 50 * ms})
	assert.Assert(t, at() > 1)
}

// A host that has sent less while servers were crowded sends more again when they are
// not, and in the end as much as it likes.
func TestWindowOpensAgain(t *testing.T) {
	var w window
	w.inFlight = 20
	for range 40 {
		w.report(Load{Running: 6, Waiting: 24, Slots: 6})
	}
	assert.Assert(t, !w.open())
	assert.Assert(t, w.limit >= leastWindow, "a host keeps in touch")
	for range int(openWindow * openWindow) {
		w.report(Load{Running: 3, Slots: 6})
	}
	assert.Equal(t, w.limit, 0.0)
	assert.Assert(t, w.open())
}

// Guards against callers who are told again and again to come back in a moment while the keys
// of a server that has left can't pass on.
func TestRetryAfterGrowsWithAMoveThatIsOverdue(t *testing.T) {
	leaving := fleet.Server{ID: "a", Domain: "d", Slots: 4, Draining: true}
	p := NewPool("d", fixedOwner{"a"}, 1)
	p.SetServers(0, []fleet.Server{leaving})
	for at, want := range map[time.Duration]time.Duration{
		leaveWithin:      leaveWithin,
		1500 * ms:        1500 * ms,
		20 * time.Second: mostRetryAfter,
	} {
		w := &Waiter{Keyed: true, Arrived: at, Deadline: at + 4*time.Second, Objective: time.Second, Ready: make(chan struct{})}
		p.Enter(at, w)
		assert.Assert(t, w.Rejected != nil, "after %v", at)
		assert.Equal(t, w.Rejected.Reason, NoOwner)
		assert.Equal(t, w.Rejected.RetryAfter, want)
	}
}
