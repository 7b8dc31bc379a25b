package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// Objectives of a class of shortObjective requests and of one of longObjective requests.
const (
	shortObjective = 150 * ms
	longObjective  = 600 * ms
)

// complete sends a request with an objective to the pool's server and completes it.
func complete(p *Pool, now time.Duration, objective, took time.Duration, load *Load) {
	w := enqueue(p, now, Waiter{Objective: objective})
	p.Done(now, w.Server, AttemptResult{Outcome: Answered, Took: took, Objective: objective, Load: load})
}

// Guards against short requests that are judged late although they can still be answered in
// time. A service runs requests of 20 ms and of 220 ms, and both were judged by their mean.
func TestClassesHaveOwnServiceTimes(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 4})
	for i := range 200 {
		complete(p, time.Duration(i)*ms, shortObjective, 20*ms, nil)
		complete(p, time.Duration(i)*ms, longObjective, 220*ms, nil)
	}
	assert.Assert(t, p.serviceTime(shortObjective) < 30*ms && p.serviceTime(longObjective) > 200*ms, "%v %v", p.serviceTime(shortObjective), p.serviceTime(longObjective))
	assert.Assert(t, !p.likelyLate(80*ms, &Waiter{Objective: shortObjective}), "70 ms are left for 20 ms of work")
	assert.Assert(t, p.likelyLate(200*ms, &Waiter{Objective: longObjective}), "400 ms are left for 220 ms of work")
	assert.Equal(t, p.serviceTime(time.Hour), p.meanServiceTime, "an unknown class is expected to take the mean")
}

// The number of request classes is bounded, whatever objectives the routes have.
func TestClassesAreBounded(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 4})
	for i := range 10 * maxClasses {
		complete(p, 0, time.Duration(i+1)*time.Second, 100*ms, nil)
	}
	assert.Equal(t, len(p.classes), maxClasses)
}

// Guards against a caller that retries when told to and is rejected again and again. Of two
// waiting callers, the one that had waited before and has less time left was served after
// the new one.
func TestRetryingCallerGoesFirst(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	const patience = 1200 * ms
	fresh := Waiter{Objective: 900 * ms, Timeout: patience, Deadline: 5 * time.Second}
	for range maxVotes {
		w := enqueue(p, 0, fresh)
		p.Done(0, w.Server, AttemptResult{Outcome: Answered, Took: 100 * ms, Objective: fresh.Objective})
	}
	running := enqueue(p, 0, fresh)
	enqueue(p, 0, fresh)
	again := fresh
	again.Timeout = patience - 300*ms
	first := enqueue(p, 0, fresh)
	second := enqueue(p, 50*ms, again)
	p.Done(60*ms, running.Server, AttemptResult{Outcome: Answered, Took: 60 * ms, Objective: fresh.Objective})
	assert.Assert(t, second.isReady() && !first.isReady())
}

// Guards against a caller that gets no answer before its timeout. It retries with 50 ms left
// while the service time is 100 ms, and was rejected only at its deadline.
func TestTooLittleTimeIsRejectedAtOnce(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 1})
	complete(p, 0, longObjective, 100*ms, nil)
	w := enqueue(p, 10*ms, Waiter{Objective: longObjective, Deadline: 10*ms + p.serviceTime(longObjective)/3})
	assert.Equal(t, w.Rejected.Reason, Expired)
	enqueue(p, 10*ms, Waiter{Objective: longObjective})
	enqueue(p, 10*ms, Waiter{Objective: longObjective})
	waiting := enqueue(p, 10*ms, Waiter{Objective: longObjective, Deadline: 220 * ms})
	assert.Assert(t, !waiting.isReady())
	p.Dispatch(200 * ms)
	assert.Equal(t, waiting.Rejected.Reason, Expired)
}

// Guards against keys that move away from a server which is as fast as the others. Requests
// for its busy keys queue there, and the time in the queue was counted as service time.
func TestQueueingIsNotServiceTime(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 4})
	for i := range 50 {
		complete(p, time.Duration(i)*time.Second, longObjective, 100*ms, &Load{Running: 1, Slots: 4})
	}
	before := p.servers.byID["a"].ServiceTimeRatio()
	for i := range 50 {
		complete(p, time.Duration(100+i)*time.Second, longObjective, 500*ms, &Load{Running: 4, Waiting: 2, Slots: 4})
	}
	assert.Equal(t, p.servers.byID["a"].ServiceTimeRatio(), before)
}

// Guards against requests that wait half a second each and are then rejected. The servers are
// full of other hosts' requests, and the expected wait assumed all slots of the service for
// this host.
func TestExpectedWaitAtSharedService(t *testing.T) {
	p := newTestPool(fleet.Server{ID: "a", Domain: "home", Slots: 2})
	patient := Waiter{Objective: 9 * time.Second, Deadline: 20 * time.Second}
	now := time.Duration(0)
	var inFlight []*Waiter
	for range 6 {
		inFlight = append(inFlight, enqueue(p, now, patient))
	}
	for range 6 { // one slot every 200 ms, although the service time is 100 ms
		now += 200 * ms
		p.Done(now, inFlight[0].Server, AttemptResult{Outcome: Answered, Took: 100 * ms, Objective: patient.Objective})
		inFlight = append(inFlight[1:], enqueue(p, now, patient))
	}
	const behindAll = 300 // priority levels
	late := enqueue(p, now, Waiter{Objective: 300 * ms, Deadline: now + time.Second, Priority: behindAll})
	assert.Assert(t, late.Rejected != nil, "gap %v", p.startInterval)
}
