package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
	"cicadarouter/ratelimit"
)

var limitedServer = fleet.Server{ID: "a", Start: 1, Domain: "d", Slots: 8}

// newLimitedPool returns the pool of one of eight hosts, with servers limited to two requests
// per second each.
func newLimitedPool(keyed bool, servers ...fleet.Server) *Pool {
	var owner Owner
	if keyed {
		owner = fixedOwners{servers[0].ID}
	}
	p := NewPool("d", owner, 1)
	p.ReplaceServers(0, servers)
	limits := map[fleet.Incarnation]float64{}
	for _, server := range servers {
		limits[server.Incarnation()] = 2
	}
	p.SetLimits(0, limits, 8)
	return p
}

// enqueueLimited queues a request that can wait for 900 ms.
func enqueueLimited(p *Pool, now time.Duration, keyed bool) *Waiter {
	w := &Waiter{Keyed: keyed, Arrived: now, Deadline: now + 3*time.Second, Objective: time.Second, Ready: make(chan struct{})}
	p.Enqueue(now, w)
	return w
}

func TestRequestWaitsForPermit(t *testing.T) {
	p := newLimitedPool(true, limitedServer)
	w := enqueueLimited(p, 0, true)
	assert.Assert(t, !w.decided())
	requests := p.ReservationRequests(0)
	assert.DeepEqual(t, requests, []ReservationRequest{{Server: limitedServer.Incarnation(), Permits: 1, Within: 900 * ms}})
	assert.Equal(t, len(p.ReservationRequests(ms)), 0, "the permit has already been requested")
	p.ApplyReservation(4*ms, limitedServer.Incarnation(), Reservation{Reached: true, Waits: []time.Duration{50 * ms}})
	p.Dispatch(49 * ms)
	assert.Assert(t, !w.decided())
	p.Dispatch(50 * ms)
	assert.Assert(t, w.Server != nil)
	next := enqueueLimited(p, 60*ms, true)
	assert.Assert(t, !next.decided(), "a permit is for one request")
	assert.Equal(t, len(p.ReservationRequests(60*ms)), 1)
}

// Guards against requests that wait until they expire although no permit will become valid.
func TestRequestWithoutPermitInTimeIsRejectedAtOnce(t *testing.T) {
	p := newLimitedPool(true, limitedServer)
	p.SetLimits(0, p.serverLimits, 2)
	w := enqueueLimited(p, 0, true)
	p.ReservationRequests(0)
	p.ApplyReservation(4*ms, limitedServer.Incarnation(), Reservation{Reached: true, RefusedWait: 1200 * ms})
	assert.Assert(t, w.Rejected != nil)
	assert.Equal(t, w.Rejected.Reason, ServerLimit)
	assert.Equal(t, w.Rejected.Limit, 2.0)
	assert.Assert(t, w.Rejected.RetryAfter >= 1196*ms)
	second, third := enqueueLimited(p, 10*ms, true), enqueueLimited(p, 10*ms, true)
	assert.Assert(t, second.Rejected != nil && third.Rejected != nil, "the known wait is not requested again")
	assert.Equal(t, len(p.ReservationRequests(10*ms)), 0)
	assert.Equal(t, third.Rejected.RetryAfter-second.Rejected.RetryAfter, time.Second, "two hosts, two requests per second")
	later := enqueueLimited(p, 400*ms, true)
	assert.Assert(t, !later.decided(), "the next permit becomes valid in time")
	assert.Equal(t, len(p.ReservationRequests(400*ms)), 1)
}

// Guards against a host that reserves permits at all servers for each of its requests.
func TestOnePermitIsReservedPerRequest(t *testing.T) {
	other := fleet.Server{ID: "b", Start: 1, Domain: "d", Slots: 8}
	p := newLimitedPool(false, limitedServer, other)
	var waiting []*Waiter
	for range 3 {
		waiting = append(waiting, enqueueLimited(p, 0, false))
	}
	asked := 0
	for now := time.Duration(0); now < 100*ms; now += 10 * ms {
		p.Dispatch(now)
		for _, request := range p.ReservationRequests(now) {
			asked += request.Permits
			got := Reservation{Reached: true, RequestedAt: now}
			for range request.Permits {
				got.Waits = append(got.Waits, time.Second)
			}
			p.ApplyReservation(now, request.Server, got)
		}
	}
	assert.Equal(t, asked, len(waiting))
}

// A host without an answer from the scheduler uses its fallback share, and asks again later.
func TestFallbackShareWithoutSchedulerAnswer(t *testing.T) {
	p := newLimitedPool(true, limitedServer)
	enqueueLimited(p, 0, true)
	p.ReservationRequests(0)
	p.ApplyReservation(0, limitedServer.Incarnation(), Reservation{})
	sent := 0
	for now := time.Duration(0); now < schedulerRetryDelay; now += 20 * ms {
		w := enqueueLimited(p, now, true)
		if w.Server != nil {
			sent++
		}
		assert.Equal(t, len(p.ReservationRequests(now)), 0)
	}
	assert.Assert(t, sent <= 1, "%d sent", sent)
	enqueueLimited(p, schedulerRetryDelay, true)
	assert.Equal(t, len(p.ReservationRequests(schedulerRetryDelay)), 1)
}

func TestLimitEndsOrIsOfEarlierIncarnation(t *testing.T) {
	p := newLimitedPool(true, limitedServer)
	w := enqueueLimited(p, 0, true)
	assert.Assert(t, !w.decided())
	p.SetLimits(ms, nil, 8)
	assert.Assert(t, w.Server != nil)

	p = newLimitedPool(true, limitedServer)
	again := limitedServer
	again.Start = 2
	p.ReplaceServers(ms, []fleet.Server{again})
	assert.Assert(t, enqueueLimited(p, ms, true).Server != nil, "a later incarnation has no limit")
	p.ReplaceServers(2*ms, []fleet.Server{limitedServer})
	assert.Assert(t, !enqueueLimited(p, 2*ms, true).decided(), "the limit is kept while the server is not listed")
}

// Requests that any server can take go to one without a limit if that costs no more, while a
// permit is prefetched at the limited one.
func TestUnlimitedServerTakesLoadOfLimitedServer(t *testing.T) {
	p := newLimitedPool(false, limitedServer, fleet.Server{ID: "b", Start: 1, Domain: "d", Slots: 8})
	p.SetLimits(0, map[fleet.Incarnation]float64{limitedServer.Incarnation(): 2}, 8)
	requested := 0
	for i := range 20 {
		now := time.Duration(i) * ms
		w := enqueueLimited(p, now, false)
		assert.Assert(t, w.Server != nil && w.Server.ID == "b")
		p.Done(now, w.Server, AttemptResult{Outcome: Answered, Took: 50 * ms, Objective: w.Objective})
		requested += len(p.ReservationRequests(now))
	}
	assert.Equal(t, requested, 1, "one permit for the next request that is cheapest there")
}

// When keys are assigned, a limited server counts for a fraction of its limit.
func TestSpeedOfLimitedServer(t *testing.T) {
	p := newLimitedPool(true, limitedServer)
	server := p.Servers()[0]
	assert.Assert(t, p.Speed(0, server) <= limitFillFraction*2*initialServiceTime.Seconds()/8)
	p.SetLimits(0, nil, 8)
	assert.Equal(t, p.Speed(0, server), 1.0)
}

// Guards against permits that are saved up and then used in one burst.
func TestUnusedPermitExpires(t *testing.T) {
	p := newLimitedPool(true, limitedServer)
	w := enqueueLimited(p, 0, true)
	p.ReservationRequests(0)
	p.ApplyReservation(ms, limitedServer.Incarnation(), Reservation{Reached: true, Waits: []time.Duration{100 * ms}})
	p.Cancel(w)
	until := 100*ms + ratelimit.PermitValidity
	assert.Assert(t, p.hasPermit(until, p.Servers()[0]))
	assert.Assert(t, !enqueueLimited(p, until+ms, true).decided())
}

// A host that gets answers from the scheduler has no fallback share in addition to its permits.
func TestNoFallbackShareWithSchedulerAnswer(t *testing.T) {
	p := newLimitedPool(true, limitedServer)
	for now := time.Duration(0); now < time.Minute; now += 100 * ms {
		w := enqueueLimited(p, now, true)
		for _, request := range p.ReservationRequests(now) {
			p.ApplyReservation(now, request.Server, Reservation{Reached: true, RequestedAt: now, RefusedWait: time.Hour})
		}
		assert.Assert(t, w.Server == nil, "sent at %v", now)
	}
}
