package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
	"cicadarouter/ratelimit"
)

var limitedServer = fleet.Server{ID: "a", Start: 1, Domain: "d", Slots: 8}

// limitedPool is a pool of a host, one of eight, whose server takes two requests a second.
func limitedPool(keyed bool, servers ...fleet.Server) *Pool {
	var owner Owner
	if keyed {
		owner = fixedOwner{servers[0].ID}
	}
	p := NewPool("d", owner, 1)
	p.SetServers(0, servers)
	limits := map[fleet.Incarnation]float64{}
	for _, server := range servers {
		limits[server.Incarnation()] = 2
	}
	p.SetLimits(0, limits, 8)
	return p
}

// enterLimited lets a request come that can wait for 900 ms.
func enterLimited(p *Pool, now time.Duration, keyed bool) *Waiter {
	w := &Waiter{Keyed: keyed, Arrived: now, Deadline: now + 3*time.Second, Objective: time.Second, Ready: make(chan struct{})}
	p.Enter(now, w)
	return w
}

func TestRequestWaitsForItsPlace(t *testing.T) {
	p := limitedPool(true, limitedServer)
	w := enterLimited(p, 0, true)
	assert.Assert(t, !w.decided())
	wishes := p.Wishes(0)
	assert.DeepEqual(t, wishes, []Wish{{Server: limitedServer.Incarnation(), Places: 1, Within: 900 * ms}})
	assert.Equal(t, len(p.Wishes(ms)), 0, "it is being asked")
	p.Reserved(4*ms, limitedServer.Incarnation(), Reservation{Reached: true, Waits: []time.Duration{50 * ms}})
	p.Pump(49 * ms)
	assert.Assert(t, !w.decided())
	p.Pump(50 * ms)
	assert.Assert(t, w.Server != nil)
	next := enterLimited(p, 60*ms, true)
	assert.Assert(t, !next.decided(), "a place is for one request")
	assert.Equal(t, len(p.Wishes(60*ms)), 1)
}

// Guards against requests that wait until they expire although no place will come.
func TestRequestWithoutAPlaceInTimeIsTurnedAwayAtOnce(t *testing.T) {
	p := limitedPool(true, limitedServer)
	p.SetLimits(0, p.limits, 2)
	w := enterLimited(p, 0, true)
	p.Wishes(0)
	p.Reserved(4*ms, limitedServer.Incarnation(), Reservation{Reached: true, Full: 1200 * ms})
	assert.Assert(t, w.Rejected != nil)
	assert.Equal(t, w.Rejected.Reason, Limited)
	assert.Equal(t, w.Rejected.Limit, 2.0)
	assert.Assert(t, w.Rejected.RetryAfter >= 1196*ms)
	second, third := enterLimited(p, 10*ms, true), enterLimited(p, 10*ms, true)
	assert.Assert(t, second.Rejected != nil && third.Rejected != nil, "what is known is not asked for again")
	assert.Equal(t, len(p.Wishes(10*ms)), 0)
	assert.Equal(t, third.Rejected.RetryAfter-second.Rejected.RetryAfter, time.Second, "two hosts, two a second")
	later := enterLimited(p, 400*ms, true)
	assert.Assert(t, !later.decided(), "the next place is due in time")
	assert.Equal(t, len(p.Wishes(400*ms)), 1)
}

// Guards against a host that reserves the places of all servers for each of its requests.
func TestPlacesAreReservedOncePerRequest(t *testing.T) {
	other := fleet.Server{ID: "b", Start: 1, Domain: "d", Slots: 8}
	p := limitedPool(false, limitedServer, other)
	var waiting []*Waiter
	for range 3 {
		waiting = append(waiting, enterLimited(p, 0, false))
	}
	asked := 0
	for now := time.Duration(0); now < 100*ms; now += 10 * ms {
		p.Pump(now)
		for _, wish := range p.Wishes(now) {
			asked += wish.Places
			got := Reservation{Reached: true, Asked: now}
			for range wish.Places {
				got.Waits = append(got.Waits, time.Second)
			}
			p.Reserved(now, wish.Server, got)
		}
	}
	assert.Equal(t, asked, len(waiting))
}

// A host that gets no answer keeps to its turn, and asks again later.
func TestHostWithoutAnAnswerKeepsToItsTurn(t *testing.T) {
	p := limitedPool(true, limitedServer)
	enterLimited(p, 0, true)
	p.Wishes(0)
	p.Reserved(0, limitedServer.Incarnation(), Reservation{})
	sent := 0
	for now := time.Duration(0); now < aloneFor; now += 20 * ms {
		w := enterLimited(p, now, true)
		if w.Server != nil {
			sent++
		}
		assert.Equal(t, len(p.Wishes(now)), 0)
	}
	assert.Assert(t, sent <= 1, "%d sent", sent)
	enterLimited(p, aloneFor, true)
	assert.Equal(t, len(p.Wishes(aloneFor)), 1)
}

func TestLimitThatEndsOrIsOfAnEarlierIncarnation(t *testing.T) {
	p := limitedPool(true, limitedServer)
	w := enterLimited(p, 0, true)
	assert.Assert(t, !w.decided())
	p.SetLimits(ms, nil, 8)
	assert.Assert(t, w.Server != nil)

	p = limitedPool(true, limitedServer)
	again := limitedServer
	again.Start = 2
	p.SetServers(ms, []fleet.Server{again})
	assert.Assert(t, enterLimited(p, ms, true).Server != nil, "a later incarnation names none")
	p.SetServers(2*ms, []fleet.Server{limitedServer})
	assert.Assert(t, !enterLimited(p, 2*ms, true).decided(), "the limit is kept while the server is not listed")
}

// Requests that any server may take go to one without a limit if that costs no more, and
// keep in touch with the limited one.
func TestOthersTakeWhatALimitedServerCannot(t *testing.T) {
	p := limitedPool(false, limitedServer, fleet.Server{ID: "b", Start: 1, Domain: "d", Slots: 8})
	p.SetLimits(0, map[fleet.Incarnation]float64{limitedServer.Incarnation(): 2}, 8)
	wished := 0
	for i := range 20 {
		now := time.Duration(i) * ms
		w := enterLimited(p, now, false)
		assert.Assert(t, w.Server != nil && w.Server.ID == "b")
		p.Done(now, w.Server, End{Outcome: Answered, Took: 50 * ms, Objective: w.Objective})
		wished += len(p.Wishes(now))
	}
	assert.Equal(t, wished, 1, "one place for the next request that costs least there")
}

// A limited server counts for part of its limit when keys are placed.
func TestSpeedOfALimitedServer(t *testing.T) {
	p := limitedPool(true, limitedServer)
	server := p.Servers()[0]
	assert.Assert(t, p.Speed(0, server) <= limitFill*2*firstMean.Seconds()/8)
	p.SetLimits(0, nil, 8)
	assert.Equal(t, p.Speed(0, server), 1.0)
}

// Guards against places that are saved until a burst uses them all at once.
func TestPlaceThatIsNotUsedInTimeIsLost(t *testing.T) {
	p := limitedPool(true, limitedServer)
	w := enterLimited(p, 0, true)
	p.Wishes(0)
	p.Reserved(ms, limitedServer.Incarnation(), Reservation{Reached: true, Waits: []time.Duration{100 * ms}})
	p.Leave(w)
	until := 100*ms + ratelimit.PermitValidity
	assert.Assert(t, p.hasPlace(until, p.Servers()[0]))
	assert.Assert(t, !enterLimited(p, until+ms, true).decided())
}

// A host whose questions are answered has no part of its own beside its places.
func TestHostWithAnAnswerHasNoTurn(t *testing.T) {
	p := limitedPool(true, limitedServer)
	for now := time.Duration(0); now < time.Minute; now += 100 * ms {
		w := enterLimited(p, now, true)
		for _, wish := range p.Wishes(now) {
			p.Reserved(now, wish.Server, Reservation{Reached: true, Asked: now, Full: time.Hour})
		}
		assert.Assert(t, w.Server == nil, "sent at %v", now)
	}
}
