package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

const ms = time.Millisecond

func newTestPool(servers ...fleet.Server) *Pool {
	p := NewPool("home", nil, 1)
	p.ReplaceServers(0, servers)
	return p
}

// ReplaceServers replaces all servers of the pool.
func (p *Pool) ReplaceServers(now time.Duration, servers []fleet.Server) {
	listed := make(map[string]bool, len(servers))
	for i := range servers {
		listed[servers[i].ID] = true
	}
	var gone []string
	for _, server := range p.servers.sorted {
		if !listed[server.ID] {
			gone = append(gone, server.ID)
		}
	}
	p.UpdateServers(now, servers, gone)
}

func enqueue(p *Pool, now time.Duration, w Waiter) *Waiter {
	w.Ready = make(chan struct{})
	w.Arrived = now
	if w.Deadline == 0 {
		w.Deadline = now + time.Second
	}
	if w.Objective == 0 {
		w.Objective = 300 * ms
	}
	p.Enqueue(now, &w)
	return &w
}

func (w *Waiter) isReady() bool {
	select {
	case <-w.Ready:
		return true
	default:
		return false
	}
}

func TestLocalDomainPreferredUntilBusy(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "far", Domain: "away", Slots: 2}, fleet.Server{ID: "near", Domain: "home", Slots: 2})
	var went []string
	for range 3 {
		went = append(went, enqueue(p, 0, Waiter{}).Server.ID)
	}
	assert.DeepEqual(t, went, []string{"near", "near", "far"})
}

func TestRequestsWaitForFullServers(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	first := enqueue(p, 0, Waiter{})
	second := enqueue(p, 0, Waiter{})
	third := enqueue(p, 0, Waiter{})
	assert.Assert(t, first.Server != nil && second.Server != nil && !third.isReady())
	p.Done(50*ms, first.Server, AttemptResult{Outcome: Answered, Took: 50 * ms})
	assert.Equal(t, third.Server.ID, "a")
}

// A load report holds requests back and loses its weight over time.
func TestReportedLoadDecays(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	first := enqueue(p, 0, Waiter{})
	p.Done(10*ms, first.Server, AttemptResult{Outcome: Answered, Took: 10 * ms, Load: &Load{Running: 1, Waiting: 3, Slots: 1}})
	waiting := enqueue(p, 10*ms, Waiter{Objective: 3 * time.Second, Deadline: 9 * time.Second})
	assert.Assert(t, !waiting.isReady())
	p.Dispatch(600 * ms)
	assert.Assert(t, waiting.Server != nil)
}

// Guards against a queue whose end lies beyond the objective, so that under overload all
// requests are answered too late. A burst of 40 requests meets one slot of 100 ms.
func TestBurstIsRejectedAtOnce(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	rejected := 0
	for range 40 {
		w := enqueue(p, 0, Waiter{})
		if w.Rejected == nil {
			continue
		}
		rejected++
		assert.Equal(t, w.Rejected.Reason, Overload)
		assert.Assert(t, w.Rejected.RetryAfter >= minRetryAfter && w.Rejected.RetryAfter <= maxRetryAfter)
	}
	assert.Assert(t, rejected > 30, "%d of 40 were rejected", rejected)
	assert.Assert(t, p.Waiting() <= 4)
}

// Guards against requests for a busy key that wait at the hosts until their deadline.
// Several hosts use the same owner, and each expects all of the owner's slots for itself.
func TestExpectedWaitAtSharedServer(t *testing.T) {
	p := newKeyedPool(&singleOwner{id: "a"})
	now := time.Duration(0)
	var inFlight []*Waiter
	for range 5 {
		inFlight = append(inFlight, enqueue(p, now, Waiter{Keyed: true}))
	}
	for range 6 { // one completion every 200 ms, although the service time is 100 ms
		now += 200 * ms
		p.Done(now, inFlight[0].Server, AttemptResult{Outcome: Answered, Took: 100 * ms})
		inFlight = append(inFlight[1:], enqueue(p, now, Waiter{Keyed: true, Objective: 10 * time.Second, Deadline: now + 10*time.Second}))
	}
	const behindAll = 200 // priority levels
	late := enqueue(p, now, Waiter{Keyed: true, Objective: 250 * ms, Deadline: now + 500*ms, Priority: behindAll})
	assert.Assert(t, late.Rejected != nil, "the expected wait is below 200 ms")
}

// A request that has waited too long for its objective is rejected, so that its caller can
// retry.
func TestWaitBeyondObjectiveIsRejected(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	enqueue(p, 0, Waiter{})
	enqueue(p, 0, Waiter{})
	waiting := enqueue(p, 0, Waiter{})
	p.Dispatch(200 * ms)
	assert.Assert(t, !waiting.isReady())
	p.Dispatch(300 * ms)
	assert.Equal(t, waiting.Rejected.Reason, Overload)
}

func TestPriorityWithoutStarvation(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	running := enqueue(p, 0, Waiter{})
	enqueue(p, 0, Waiter{})
	patient := Waiter{Priority: 2, Objective: time.Second, Deadline: 5 * time.Second}
	old := enqueue(p, 0, patient)
	urgent := enqueue(p, 100*ms, Waiter{Objective: time.Second})
	p.Done(110*ms, running.Server, AttemptResult{Outcome: Answered, Took: 100 * ms})
	assert.Assert(t, urgent.isReady() && !old.isReady())
	enqueue(p, 200*ms, Waiter{Objective: time.Second})
	p.Done(210*ms, urgent.Server, AttemptResult{Outcome: Answered, Took: 100 * ms})
	assert.Assert(t, old.isReady(), "an old request is overtaken by every urgent one")
}

// Servers that fail are used less, but never all of them are excluded.
func TestFailingServers(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 4}, fleet.Server{ID: "b", Domain: "home", Slots: 4})
	for i := range 20 {
		w := enqueue(p, time.Duration(i)*ms, Waiter{})
		outcome := Answered
		if w.Server.ID == "a" {
			outcome = Failed
		}
		p.Done(time.Duration(i)*ms, w.Server, AttemptResult{Outcome: outcome, Took: 100 * ms})
	}
	for range 3 {
		assert.Equal(t, enqueue(p, 30*ms, Waiter{}).Server.ID, "b")
	}
	for _, server := range p.Servers() {
		p.Done(30*ms, server, AttemptResult{Outcome: Unreachable, Took: 0})
		server.inFlight++
	}
	assert.Assert(t, enqueue(p, 31*ms, Waiter{}).Server != nil, "no server is left to choose from")
}

func TestNoServer(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Slots: 2, Draining: true})
	assert.Equal(t, enqueue(p, 0, Waiter{}).Rejected.Reason, NoServer)
}

// singleOwner is an assignment for tests in which one server owns all keys.
type singleOwner struct {
	id      string
	ownedAt time.Duration
}

func (o *singleOwner) OwnerOf(uint16) (string, time.Duration) { return o.id, o.ownedAt }

func newKeyedPool(o *singleOwner) *Pool {
	p := NewPool("home", o, 1)
	p.ReplaceServers(0, []fleet.Server{{ID: "a", Slots: 2}, {ID: "b", Slots: 2}})
	return p
}

func TestKeyedRequestsGoToOwnerOnly(t *testing.T) {
	o := &singleOwner{id: "b"}
	p := newKeyedPool(o)
	assert.Equal(t, enqueue(p, 0, Waiter{Keyed: true, Tried: []string{"b"}}).Server.ID, "b")
	o.id = ""
	moving := enqueue(p, 0, Waiter{Keyed: true})
	assert.Assert(t, !moving.isReady(), "the request does not wait for a planned move")
	o.id = "a"
	p.Dispatch(10 * ms)
	assert.Equal(t, moving.Server.ID, "a")
}

// A key whose owner is lost has no owner for seconds; its callers are told so at once.
func TestLostOwner(t *testing.T) {
	o := &singleOwner{ownedAt: 4 * time.Second}
	w := enqueue(newKeyedPool(o), 0, Waiter{Keyed: true})
	assert.Equal(t, w.Rejected.Reason, NoOwner)
	assert.Equal(t, w.Rejected.RetryAfter, maxRetryAfter)
	o.ownedAt = 0
	p := newKeyedPool(o)
	w = enqueue(p, 0, Waiter{Keyed: true, Deadline: 10 * time.Second})
	p.Dispatch(time.Second)
	assert.Equal(t, w.Rejected.Reason, NoOwner)
}

// Guards against requests sent to a server more than 2 s after it began to drain. The
// controller is down, so the keys can't move, and this host learns of the draining 1.1 s late,
// through its own watch. Either the owner was used for as long as it owned the key, or the
// grace period did not allow for the delay of the news.
func TestDrainingOwner(t *testing.T) {
	p := newKeyedPool(&singleOwner{id: "a"})
	leaving := []fleet.Server{{ID: "a", Slots: 2, Draining: true}, {ID: "b", Slots: 2}}
	p.ReplaceServers(time.Second, leaving)
	assert.Equal(t, enqueue(p, 1500*ms, Waiter{Keyed: true, Deadline: 9 * time.Second}).Server.ID, "a")
	p.ReplaceServers(1600*ms, leaving)
	assert.Equal(t, enqueue(p, 1700*ms, Waiter{Keyed: true, Deadline: 9 * time.Second}).Rejected.Reason, NoOwner)
}

// Guards against requests that time out at a server which never answers because its queue
// is full. The last load report lost its weight while answers were overdue.
func TestStuckServerGetsNoRequests(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 8})
	enqueue(p, 0, Waiter{})
	waiting := enqueue(p, 400*ms, Waiter{})
	assert.Assert(t, !waiting.isReady())
}

// Guards against lasting overload in which nearly all requests are answered slightly too
// late. Requests were served in order of arrival, including those that had already missed
// their objective.
func TestLateRequestsGoLast(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	running := enqueue(p, 0, Waiter{})
	enqueue(p, 0, Waiter{})
	old := enqueue(p, 0, Waiter{Deadline: 3 * time.Second})
	fresh := enqueue(p, 190*ms, Waiter{Deadline: 3 * time.Second})
	p.Done(220*ms, running.Server, AttemptResult{Outcome: Answered, Took: 100 * ms})
	assert.Assert(t, fresh.isReady() && !old.isReady())
}

// A request that waits for the owner of its key is not sent there after the grace period of
// a draining owner.
func TestWaitingForDrainingOwner(t *testing.T) {
	p := newKeyedPool(&singleOwner{id: "a"})
	patient := Waiter{Keyed: true, Objective: 5 * time.Second, Deadline: 9 * time.Second}
	var inFlight []*Waiter
	for range 4 {
		inFlight = append(inFlight, enqueue(p, 0, patient))
	}
	waiting := enqueue(p, 0, patient)
	p.ReplaceServers(10*ms, []fleet.Server{{ID: "a", Slots: 2, Draining: true}, {ID: "b", Slots: 2}})
	p.Done(10*ms+drainGrace, inFlight[0].Server, AttemptResult{Outcome: Answered, Took: 100 * ms})
	assert.Assert(t, waiting.Server == nil)
}

// Draining servers get no requests, however full the others are.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 1}, fleet.Server{ID: "b", Domain: "home", Slots: 4, Draining: true})
	for range 2 {
		assert.Equal(t, enqueue(p, 0, Waiter{}).Server.ID, "a")
	}
	assert.Assert(t, !enqueue(p, 0, Waiter{}).isReady())
}

// A request goes to a server that has not had it, as long as there is one.
func TestRetryGoesToUntriedServer(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 4}, fleet.Server{ID: "b", Domain: "away", Slots: 4})
	assert.Equal(t, enqueue(p, 0, Waiter{}).Server.ID, "a")
	assert.Equal(t, enqueue(p, 0, Waiter{Tried: []string{"a"}}).Server.ID, "b")
	assert.Equal(t, enqueue(p, 0, Waiter{Tried: []string{"a", "b"}}).Server.ID, "a")
}

// Guards against a few overloaded servers among idle ones after a start of the hosts. Many
// hosts without any load reports all sent their first requests to the same servers.
func TestHostsStartWithDifferentServers(t *testing.T) {
	const hosts = 40
	var servers []fleet.Server
	for i := range 20 {
		servers = append(servers, fleet.Server{ID: string(rune('a' + i)), Domain: "home", Slots: 2})
	}
	first := map[string]int{}
	for host := range hosts {
		p := NewPool("home", nil, uint64(host))
		p.ReplaceServers(0, servers)
		first[enqueue(p, 0, Waiter{}).Server.ID]++
	}
	most := 0
	for _, n := range first {
		most = max(most, n)
	}
	assert.Assert(t, most <= 8, "%d of %d hosts sent their first request to one of 20 servers", most, hosts)
}

// A server that just reported a free slot is preferred to one without recent reports, even
// if that was idle when it last reported.
func TestServerWithoutReportsHasTypicalLoad(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "idle", Domain: "home", Slots: 2}, fleet.Server{ID: "old", Domain: "home", Slots: 2})
	p.typicalLoad = 0.8
	p.servers.byID["old"].recordLoad(time.Second, Load{Slots: 2})
	p.servers.byID["idle"].recordLoad(20*time.Second, Load{Running: 1, Slots: 2})
	for range 5 {
		w := enqueue(p, 20*time.Second, Waiter{})
		assert.Equal(t, w.Server.ID, "idle")
		p.Done(20*time.Second, w.Server, AttemptResult{Outcome: Abandoned})
	}
}

// Guards against a queue whose requests each wait half a second before they are rejected. All
// callers use the same key; many hosts share its owner, and each gets a slot every few seconds.
// A host that has seen no completion can't tell the owner's rate, so each request waited until
// it was too late.
func TestFailedWaitsRejectLaterRequests(t *testing.T) {
	p := newKeyedPool(&singleOwner{id: "a"})
	p.servers.byID["a"].otherLoad, p.servers.byID["a"].loadReportedAt = 1000, 0
	full := func(now time.Duration) { p.servers.byID["a"].loadReportedAt = now }
	asked := Waiter{Keyed: true, Objective: 600 * ms, Deadline: 9 * time.Second}
	var waiting []*Waiter
	for range minFailedWaits {
		waiting = append(waiting, enqueue(p, 0, asked))
	}
	full(700 * ms)
	p.Dispatch(700 * ms)
	for _, w := range waiting {
		assert.Equal(t, w.Rejected.Reason, Overload)
	}
	next := enqueue(p, 710*ms, asked)
	assert.Assert(t, next.Rejected != nil, "the next request waits in vain as well")
	full(2500 * ms)
	later := enqueue(p, 2500*ms, asked)
	assert.Assert(t, !later.isReady(), "no request tries whether there is room again")
	full(0)
	p.servers.byID["a"].otherLoad = 0
	p.Dispatch(2510 * ms)
	assert.Assert(t, later.Server != nil)
	assert.Equal(t, p.servers.byID["a"].expectedFailedWait(2510*ms), time.Duration(0))
}

// Guards against a restarted server that gets no requests until the requests lost in the crash
// time out. The new process uses the same ID, at the same address or another, and the state
// was kept by ID.
func TestNewIncarnationStartsWithoutState(t *testing.T) {
	first := fleet.Server{ID: "a", Start: 1, Address: "10.0.0.1:80", Domain: "home", Slots: 1}
	again, elsewhere := first, first
	again.Start = 2
	elsewhere.Address = "10.0.0.2:80"
	for _, later := range []fleet.Server{again, elsewhere} {
		p := newTestPool(first)
		lost := enqueue(p, 0, Waiter{})
		enqueue(p, 0, Waiter{})
		assert.Assert(t, lost.isReady() && lost.Rejected == nil)
		p.AddServiceTimes(first.Incarnation(), ServiceTimes{Count: 50, Ratio: 5})
		p.ReplaceServers(10*ms, []fleet.Server{later})
		server := p.Servers()[0]
		assert.Equal(t, server.InFlight(), 0)
		assert.Equal(t, server.ServiceTimeRatio(), 1.0)
		full := Load{Running: 1, Waiting: 9, Slots: 1}
		p.Done(20*ms, lost.Server, AttemptResult{Outcome: Unreachable, Load: &full})
		assert.Equal(t, server.InFlight(), 0)
		assert.Assert(t, server.reachable(20*ms))
		got := enqueue(p, 20*ms, Waiter{})
		assert.Assert(t, got.isReady() && got.Server == server, "%+v", got.Rejected)
	}
}

// Service times measured of an earlier incarnation are not attributed to a later one.
func TestServiceTimesBelongToOneIncarnation(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Start: 2, Domain: "home", Slots: 1})
	p.AddServiceTimes(fleet.Incarnation{ID: "a", Start: 1}, ServiceTimes{Count: 50, Ratio: 5})
	assert.Equal(t, p.Servers()[0].ServiceTimeRatio(), 1.0)
	p.AddServiceTimes(fleet.Incarnation{ID: "a", Start: 2}, ServiceTimes{Count: 50, Ratio: 5})
	assert.Assert(t, p.Servers()[0].ServiceTimeRatio() > 2)
}

// failToReach makes one attempt fail to reach the server with this ID.
func failToReach(p *Pool, now time.Duration, id string) {
	const most = 16
	var others []*Server
	for range most {
		w := enqueue(p, now, Waiter{})
		if w.Server.ID == id {
			p.Done(now, w.Server, AttemptResult{Outcome: Unreachable})
			break
		}
		others = append(others, w.Server)
	}
	for _, server := range others {
		p.Done(now, server, AttemptResult{Outcome: Abandoned})
	}
}

// Guards against requests in a partitioned failure domain that fail after four attempts of a
// few milliseconds, although the domain's own servers answer others within 0.1 s. The
// unreachable servers of other domains are idle, and free slots counted for more than
// reachability.
func TestRequestWaitsForReachableServer(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "far", Domain: "away", Slots: 2}, fleet.Server{ID: "near", Domain: "home", Slots: 1})
	failToReach(p, 0, "far")
	running := enqueue(p, 10*ms, Waiter{})
	queued := enqueue(p, 10*ms, Waiter{})
	waiting := enqueue(p, 10*ms, Waiter{})
	assert.Equal(t, running.Server.ID, "near")
	assert.Equal(t, queued.Server.ID, "near")
	assert.Assert(t, !waiting.isReady())
	p.Done(60*ms, running.Server, AttemptResult{Outcome: Answered, Took: 50 * ms})
	assert.Assert(t, waiting.isReady() && waiting.Server.ID == "near")

	// If no server can be reached, any is tried.
	alone := newTestPool(fleet.Server{ID: "far", Domain: "away", Slots: 2})
	failToReach(alone, 0, "far")
	assert.Equal(t, enqueue(alone, 10*ms, Waiter{}).Server.ID, "far")
}

// Guards against a server that stays unreachable and, each time that its suspicion ends, gets
// as many requests as it has slots; each of them waits for a connection in vain.
func TestUnreachableServerIsProbedWithOneRequest(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 4}, fleet.Server{ID: "b", Domain: "away", Slots: 4})
	failToReach(p, 0, "a")
	now := minSuspectTime + ms
	placed := map[string]*Server{}
	at := func() (count int) {
		for range 8 {
			w := enqueue(p, now, Waiter{})
			if w.Server != nil {
				placed[w.Server.ID] = w.Server
			}
		}
		return p.servers.byID["a"].InFlight()
	}
	assert.Equal(t, at(), 1)
	p.Done(now+50*ms, placed["a"], AttemptResult{Outcome: Answered, Took: 50 * ms})
	assert.Assert(t, at() > 1)
}

// A host that has sent less while queues were long sends more again when they are short, and
// finally without limit.
func TestWindowGrowsAgain(t *testing.T) {
	var w sendWindow
	w.inFlight = 20
	for range 40 {
		w.recordLoad(Load{Running: 6, Waiting: 24, Slots: 6})
	}
	assert.Assert(t, !w.allowsSend())
	assert.Assert(t, w.limit >= minWindow, "the window is too small to learn the length of the queues")
	for range int(unlimitedWindow * unlimitedWindow) {
		w.recordLoad(Load{Running: 3, Slots: 6})
	}
	assert.Equal(t, w.limit, 0.0)
	assert.Assert(t, w.allowsSend())
}

// Guards against callers that are told again and again to retry in a moment while the keys of
// a drained server can't move.
func TestRetryAfterGrowsWithOverdueMove(t *testing.T) {
	leaving := fleet.Server{ID: "a", Domain: "d", Slots: 4, Draining: true}
	p := NewPool("d", fixedOwners{"a"}, 1)
	p.ReplaceServers(0, []fleet.Server{leaving})
	for at, want := range map[time.Duration]time.Duration{
		drainGrace:       drainGrace,
		1500 * ms:        1500 * ms,
		20 * time.Second: maxRetryAfter,
	} {
		w := &Waiter{Keyed: true, Arrived: at, Deadline: at + 4*time.Second, Objective: time.Second, Ready: make(chan struct{})}
		p.Enqueue(at, w)
		assert.Assert(t, w.Rejected != nil, "after %v", at)
		assert.Equal(t, w.Rejected.Reason, NoOwner)
		assert.Equal(t, w.Rejected.RetryAfter, want)
	}
}

// Guards against avoiding servers after the host's own links, which were at fault, work again.
func TestServersAreUsedAgainAfterLinksAreRestored(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 2})
	now := time.Duration(0)
	for range 6 {
		w := enqueue(p, now, Waiter{Deadline: now + time.Second})
		assert.Assert(t, w.isReady())
		p.Done(now, w.Server, AttemptResult{Outcome: Unreachable})
		now += 20 * ms
	}
	p.ForgetUnreachable(now)
	for range 2 {
		w := enqueue(p, now, Waiter{Deadline: now + time.Second})
		assert.Assert(t, w.isReady(), "the server takes one request at a time")
	}
	assert.Assert(t, p.Servers()[0].reachable(now))
}
