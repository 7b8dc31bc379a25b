package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadarouter/fleet"
)

var (
	restServer  = fleet.Server{ID: "a", Start: 1, Domain: "d", Slots: 4}
	otherServer = fleet.Server{ID: "b", Start: 1, Domain: "d", Slots: 4}
)

// restPool returns a pool of servers; with keys, the first server owns all of them.
func restPool(keyed bool, servers ...fleet.Server) *Pool {
	var owner Owner
	if keyed {
		owner = fixedOwner{servers[0].ID}
	}
	p := NewPool("d", owner, 1)
	p.SetServers(0, servers)
	return p
}

func TestOwnerThatRestsGetsNothing(t *testing.T) {
	p := restPool(true, restServer)
	inFlight := enterLimited(p, 0, true)
	assert.Assert(t, inFlight.Server != nil)
	p.Rest(10*ms, restServer.Incarnation(), 3*time.Second)
	first, second := enterLimited(p, 20*ms, true), enterLimited(p, 20*ms, true)
	assert.Equal(t, first.Rejected.Reason, Resting)
	assert.Equal(t, first.Rejected.Server, "a")
	assert.Equal(t, first.Rejected.RetryAfter, 2990*ms)
	assert.Equal(t, second.Rejected.RetryAfter-first.Rejected.RetryAfter, p.servers.byID["a"].pace(p.mean), "retries are spaced")
	p.Done(30*ms, inFlight.Server, End{Outcome: Answered, Took: 30 * ms})
	assert.Assert(t, enterLimited(p, 2000*ms, true).Rejected != nil, "an answer to an earlier request does not end the backoff")
}

// Guards against a server that gets all waiting requests at once when its backoff ends.
func TestServerIsTriedWithOneRequestAfterItsRest(t *testing.T) {
	p := restPool(true, restServer)
	p.Rest(0, restServer.Incarnation(), 300*ms)
	var waiting []*Waiter
	for range 3 {
		waiting = append(waiting, enterLimited(p, 10*ms, true))
		assert.Assert(t, !waiting[len(waiting)-1].decided(), "the backoff ends in time")
	}
	p.Pump(299 * ms)
	assert.Assert(t, !waiting[0].decided())
	p.Pump(300 * ms)
	assert.Assert(t, waiting[0].Server != nil && waiting[1].Server == nil)
	p.Done(310*ms, waiting[0].Server, End{Outcome: Refused})
	p.Pump(400 * ms)
	given := 0
	for _, w := range waiting[1:] {
		if w.Server != nil {
			given++
		}
	}
	assert.Assert(t, given <= 1, "the server refused a request once more")
	for _, w := range waiting[1:] {
		if w.Server != nil {
			p.Done(410*ms, w.Server, End{Outcome: Answered, Took: 10 * ms})
		}
	}
	p.Pump(600 * ms)
	assert.Assert(t, waiting[1].Server != nil && waiting[2].Server != nil)
}

// Guards against requests that wait for the backoff of one server while another has room.
func TestRequestsGoToServersThatDoNotRest(t *testing.T) {
	p := restPool(false, restServer, otherServer)
	p.Rest(0, restServer.Incarnation(), time.Minute)
	for i := range 4 {
		w := enterLimited(p, time.Duration(i)*ms, false)
		assert.Assert(t, w.Server != nil)
		assert.Equal(t, w.Server.ID, "b")
	}
	p.Rest(10*ms, otherServer.Incarnation(), 5*time.Second)
	all := enterLimited(p, 10*ms, false)
	assert.Equal(t, all.Rejected.Reason, Resting)
	assert.Equal(t, all.Rejected.Server, "b", "its backoff ends first")
	assert.Equal(t, all.Rejected.RetryAfter, 5*time.Second)
}

// Guards against queued requests that are left to expire when the server asks for a backoff.
func TestWaitingRequestsAreTurnedAwayWhenTheServerWantsRest(t *testing.T) {
	p := restPool(true, restServer)
	for range 2 * restServer.Slots {
		enterLimited(p, 0, true)
	}
	waiting := enterLimited(p, 0, true)
	assert.Assert(t, !waiting.decided())
	p.Rest(10*ms, restServer.Incarnation(), 3*time.Second)
	assert.Equal(t, waiting.Rejected.Reason, Resting)
}

func TestLengthsOfRest(t *testing.T) {
	p := restPool(true, restServer)
	p.Rest(0, restServer.Incarnation(), 3*time.Second)
	p.Rest(100*ms, restServer.Incarnation(), time.Second)
	assert.Equal(t, p.servers.byID["a"].RestLeft(100*ms), 2900*ms, "a shorter backoff")
	p.Rest(200*ms, restServer.Incarnation(), 0)
	assert.Equal(t, p.servers.byID["a"].RestLeft(200*ms), 2800*ms, "no backoff")
	p.Rest(time.Second, restServer.Incarnation(), 3*time.Second)
	assert.Equal(t, p.servers.byID["a"].RestLeft(time.Second), 3*time.Second, "a longer backoff")
	p.Rest(2*time.Second, restServer.Incarnation(), 10*time.Minute)
	late := enterLimited(p, 3*time.Second, true)
	assert.Equal(t, late.Rejected.RetryAfter, mostLimitRetry, "the keys may have another owner by then")
	next := restServer
	next.Start = 2
	p.SetServers(4*time.Second, []fleet.Server{next})
	assert.Equal(t, p.servers.byID["a"].RestLeft(4*time.Second), time.Duration(0), "another incarnation did not ask for it")
}

// Tests that, in any order of events, a server gets no request during its backoff, gets one
// request at a time after it until it has answered one, and that no request stays in the queue
// past its deadline.
func TestFuzzRests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keyed := rapid.Bool().Draw(t, "keyed")
		servers := []fleet.Server{restServer, otherServer}
		p := restPool(keyed, servers...)
		now := time.Duration(0)
		until := map[string]time.Duration{}
		trying, inFlight := map[string]bool{}, map[string][]*Server{}
		var waiting []*Waiter
		settle := func() {
			open := waiting[:0]
			for _, w := range waiting {
				switch {
				case w.Server != nil:
					id := w.Server.ID
					assert.Assert(t, now >= until[id], "%s gets a request before the end of its backoff at %v, at %v", id, until[id], now)
					assert.Assert(t, !trying[id] || len(inFlight[id]) == 0, "%s is probed with more than one request", id)
					inFlight[id] = append(inFlight[id], w.Server)
				case w.Rejected == nil:
					open = append(open, w)
					assert.Assert(t, now < w.Deadline)
				}
			}
			waiting = open
		}
		t.Repeat(map[string]func(*rapid.T){
			"a request arrives": func(t *rapid.T) {
				waiting = append(waiting, enterLimited(p, now, keyed))
				settle()
			},
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * ms
				p.Pump(now)
				settle()
			},
			"a server asks for backoff": func(t *rapid.T) {
				server := rapid.SampledFrom(servers).Draw(t, "server")
				length := time.Duration(rapid.IntRange(0, 4000).Draw(t, "length")) * ms
				if length > 0 {
					until[server.ID], trying[server.ID] = max(until[server.ID], now+length), true
				}
				p.Rest(now, server.Incarnation(), length)
				settle()
			},
			"a request ends": func(t *rapid.T) {
				id := rapid.SampledFrom(servers).Draw(t, "server").ID
				if len(inFlight[id]) == 0 {
					return
				}
				outcome := rapid.SampledFrom([]Outcome{Answered, Failed, Refused, Unreachable, Abandoned}).Draw(t, "outcome")
				server := inFlight[id][0]
				inFlight[id] = inFlight[id][1:]
				if outcome == Answered && now >= until[id] {
					trying[id] = false
				}
				p.Done(now, server, End{Outcome: outcome, Took: 10 * ms})
				settle()
			},
		})
	})
}
