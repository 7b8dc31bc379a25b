package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// Objectives of a class of short requests and of one of long requests.
const (
	short = 150 * ms
	long  = 600 * ms
)

// ran sends a request with an objective to the pool's server and completes it.
func ran(p *Pool, now time.Duration, objective, took time.Duration, load *Load) {
	w := enter(p, now, Waiter{Objective: objective})
	p.Done(now, w.Server, End{Outcome: Answered, Took: took, Objective: objective, Load: load})
}

// Guards against short requests that are judged late although they can still be answered in
// time. A service runs requests of 20 ms and of 220 ms, and both were judged by their mean.
func TestKindsAreJudgedByTheirOwnWork(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 4})
	for i := range 200 {
		ran(p, time.Duration(i)*ms, short, 20*ms, nil)
		ran(p, time.Duration(i)*ms, long, 220*ms, nil)
	}
	assert.Assert(t, p.work(short) < 30*ms && p.work(long) > 200*ms, "%v %v", p.work(short), p.work(long))
	assert.Assert(t, !p.missed(80*ms, &Waiter{Objective: short}), "70 ms are left for 20 ms of work")
	assert.Assert(t, p.missed(200*ms, &Waiter{Objective: long}), "400 ms are left for 220 ms of work")
	assert.Equal(t, p.work(time.Hour), p.mean, "an unknown class is expected to take the mean")
}

// The number of request classes is bounded, whatever objectives the routes have.
func TestKindsAreBounded(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 4})
	for i := range 10 * mostKinds {
		ran(p, 0, time.Duration(i+1)*time.Second, 100*ms, nil)
	}
	assert.Equal(t, len(p.kinds), mostKinds)
}

// Guards against a caller that retries when told to and is rejected again and again. Of two
// waiting callers, the one that had waited before and has less time left was served after
// the new one.
func TestWhoComesBackGoesFirst(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	const patience = 1200 * ms
	fresh := Waiter{Objective: 900 * ms, Patience: patience, Deadline: 5 * time.Second}
	for range mostVotes {
		w := enter(p, 0, fresh)
		p.Done(0, w.Server, End{Outcome: Answered, Took: 100 * ms, Objective: fresh.Objective})
	}
	running := enter(p, 0, fresh)
	enter(p, 0, fresh)
	again := fresh
	again.Patience = patience - 300*ms
	first := enter(p, 0, fresh)
	second := enter(p, 50*ms, again)
	p.Done(60*ms, running.Server, End{Outcome: Answered, Took: 60 * ms, Objective: fresh.Objective})
	assert.Assert(t, second.settled() && !first.settled())
}

// Guards against a caller that gets no answer before its timeout. It retries with 50 ms left
// while the service time is 100 ms, and was rejected only at its deadline.
func TestTooLittleTimeIsToldAtOnce(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	ran(p, 0, long, 100*ms, nil)
	w := enter(p, 10*ms, Waiter{Objective: long, Deadline: 10*ms + p.work(long)/3})
	assert.Equal(t, w.Rejected.Reason, Expired)
	enter(p, 10*ms, Waiter{Objective: long})
	enter(p, 10*ms, Waiter{Objective: long})
	waiting := enter(p, 10*ms, Waiter{Objective: long, Deadline: 220 * ms})
	assert.Assert(t, !waiting.settled())
	p.Pump(200 * ms)
	assert.Equal(t, waiting.Rejected.Reason, Expired)
}

// Guards against keys that move away from a server which is as fast as the others. Requests
// for its busy keys queue there, and the time in the queue was counted as service time.
func TestFullServersAreNotSlow(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 4})
	for i := range 50 {
		ran(p, time.Duration(i)*time.Second, long, 100*ms, &Load{Running: 1, Slots: 4})
	}
	before := p.servers.byID["a"].Ratio()
	for i := range 50 {
		ran(p, time.Duration(100+i)*time.Second, long, 500*ms, &Load{Running: 4, Waiting: 2, Slots: 4})
	}
	assert.Equal(t, p.servers.byID["a"].Ratio(), before)
}

// Guards against requests that wait half a second each and are then rejected. The servers are
// full of other hosts' requests, and the expected wait assumed all slots of the service for
// this host.
func TestPaceOfASharedService(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 2})
	patient := Waiter{Objective: 9 * time.Second, Deadline: 20 * time.Second}
	now := time.Duration(0)
	var inFlight []*Waiter
	for range 6 {
		inFlight = append(inFlight, enter(p, now, patient))
	}
	for range 6 { // one slot every 200 ms, although the service time is 100 ms
		now += 200 * ms
		p.Done(now, inFlight[0].Server, End{Outcome: Answered, Took: 100 * ms, Objective: patient.Objective})
		inFlight = append(inFlight[1:], enter(p, now, patient))
	}
	const behindAll = 300 // priority levels
	late := enter(p, now, Waiter{Objective: 300 * ms, Deadline: now + time.Second, Priority: behindAll})
	assert.Assert(t, late.Rejected != nil, "gap %v", p.gap)
}
