package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// Two objectives that stand for a short and a long kind of request.
const (
	short = 150 * ms
	long  = 600 * ms
)

// ran lets the pool's server answer a request of an objective.
func ran(p *Pool, now time.Duration, objective, took time.Duration, load *Load) {
	w := enter(p, now, Waiter{Objective: objective})
	p.Done(now, w.Server, End{Outcome: Answered, Took: took, Objective: objective, Load: load})
}

// Symptom: short requests are taken for late while they could still be answered
// in time.
// Sequence: a service runs requests of 20 ms and of 220 ms.
// Cause: both were judged by the mean of all.
func TestKindsAreJudgedByTheirOwnWork(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 4})
	for i := range 200 {
		ran(p, time.Duration(i)*ms, short, 20*ms, nil)
		ran(p, time.Duration(i)*ms, long, 220*ms, nil)
	}
	assert.Assert(t, p.work(short) < 30*ms && p.work(long) > 200*ms, "%v %v", p.work(short), p.work(long))
	assert.Assert(t, !p.missed(80*ms, &Waiter{Objective: short}), "70 ms are left for 20 ms of work")
	assert.Assert(t, p.missed(200*ms, &Waiter{Objective: long}), "400 ms are left for 220 ms of work")
	assert.Equal(t, p.work(time.Hour), p.mean, "of an unknown kind the mean is expected")
}

// The number of kinds is bounded, whatever objectives routes name.
func TestKindsAreBounded(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 4})
	for i := range 10 * mostKinds {
		ran(p, 0, time.Duration(i+1)*time.Second, 100*ms, nil)
	}
	assert.Equal(t, len(p.kinds), mostKinds)
}

// Symptom: a caller that comes back as told is turned away again and again.
// Sequence: two callers wait; one has waited elsewhere before and names what is
// left of its time.
// Cause: the one that came back stood behind the one that came anew.
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

// Symptom: a caller waits until its time is over and hears nothing.
// Sequence: it comes back with 50 ms left, to a service that needs 100 ms, and
// waits for a server.
// Cause: it was given up only at its deadline.
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

// Symptom: keys leave a server that is as fast as the others.
// Sequence: it owns busy keys; its answers come late because requests wait there.
// Cause: the time in its queue was taken for its speed.
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

// Symptom: requests wait half a second each and are then turned away.
// Sequence: the servers of a service are full of other hosts' requests.
// Cause: the expected wait took all slots of the service for this host's own.
func TestPaceOfASharedService(t *testing.T) {
	p := pool(fleet.Server{ID: "a", Domain: "home", Slots: 2})
	patient := Waiter{Objective: 9 * time.Second, Deadline: 20 * time.Second}
	now := time.Duration(0)
	var under []*Waiter
	for range 6 {
		under = append(under, enter(p, now, patient))
	}
	for range 6 { // a place each 200 ms, though the service takes 100 ms
		now += 200 * ms
		p.Done(now, under[0].Server, End{Outcome: Answered, Took: 100 * ms, Objective: patient.Objective})
		under = append(under[1:], enter(p, now, patient))
	}
	const behindAll = 300 // ranks
	late := enter(p, now, Waiter{Objective: 300 * ms, Deadline: now + time.Second, Priority: behindAll})
	assert.Assert(t, late.Rejected != nil, "gap %v", p.gap)
}
