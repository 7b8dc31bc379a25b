package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadarouter/fleet"
)

var (
	backoffServer = fleet.Server{ID: "a", Start: 1, Domain: "d", Slots: 4}
	otherServer   = fleet.Server{ID: "b", Start: 1, Domain: "d", Slots: 4}
)

// newBackoffPool returns a pool of servers; with keys, the first server owns all of them.
func newBackoffPool(keyed bool, servers ...fleet.Server) *Pool {
	var owner Owner
	if keyed {
		owner = fixedOwners{servers[0].ID}
	}
	p := NewPool("d", owner, 1)
	p.ReplaceServers(0, servers)
	return p
}

func TestOwnerInBackoffGetsNoRequests(t *testing.T) {
	p := newBackoffPool(true, backoffServer)
	inFlight := enqueueLimited(p, 0, true)
	assert.Assert(t, inFlight.Server != nil)
	p.BackOff(10*ms, backoffServer.Incarnation(), 3*time.Second)
	first, second := enqueueLimited(p, 20*ms, true), enqueueLimited(p, 20*ms, true)
	assert.Equal(t, first.Rejected.Reason, ServerBackoff)
	assert.Equal(t, first.Rejected.Server, "a")
	assert.Equal(t, first.Rejected.RetryAfter, 2990*ms)
	assert.Equal(t, second.Rejected.RetryAfter-first.Rejected.RetryAfter, p.servers.byID["a"].expectedInterval(p.meanServiceTime), "retries are spaced")
	p.Done(30*ms, inFlight.Server, AttemptResult{Outcome: Answered, Took: 30 * ms})
	assert.Assert(t, enqueueLimited(p, 2000*ms, true).Rejected != nil, "an answer to an earlier request does not end the backoff")
}

// Guards against a server that gets all waiting requests at once when its backoff ends.
func TestServerIsProbedWithOneRequestAfterBackoff(t *testing.T) {
	p := newBackoffPool(true, backoffServer)
	p.BackOff(0, backoffServer.Incarnation(), 300*ms)
	var waiting []*Waiter
	for range 3 {
		waiting = append(waiting, enqueueLimited(p, 10*ms, true))
		assert.Assert(t, !waiting[len(waiting)-1].decided(), "the backoff ends in time")
	}
	p.Dispatch(299 * ms)
	assert.Assert(t, !waiting[0].decided())
	p.Dispatch(300 * ms)
	assert.Assert(t, waiting[0].Server != nil && waiting[1].Server == nil)
	p.Done(310*ms, waiting[0].Server, AttemptResult{Outcome: Refused})
	p.Dispatch(400 * ms)
	given := 0
	for _, w := range waiting[1:] {
		if w.Server != nil {
			given++
		}
	}
	assert.Assert(t, given <= 1, "the server refused a request once more")
	for _, w := range waiting[1:] {
		if w.Server != nil {
			p.Done(410*ms, w.Server, AttemptResult{Outcome: Answered, Took: 10 * ms})
		}
	}
	p.Dispatch(600 * ms)
	assert.Assert(t, waiting[1].Server != nil && waiting[2].Server != nil)
}

// Guards against requests that wait for the backoff of one server while another has room.
func TestRequestsAvoidServersInBackoff(t *testing.T) {
	p := newBackoffPool(false, backoffServer, otherServer)
	p.BackOff(0, backoffServer.Incarnation(), time.Minute)
	for i := range 4 {
		w := enqueueLimited(p, time.Duration(i)*ms, false)
		assert.Assert(t, w.Server != nil)
		assert.Equal(t, w.Server.ID, "b")
	}
	p.BackOff(10*ms, otherServer.Incarnation(), 5*time.Second)
	all := enqueueLimited(p, 10*ms, false)
	assert.Equal(t, all.Rejected.Reason, ServerBackoff)
	assert.Equal(t, all.Rejected.Server, "b", "its backoff ends first")
	assert.Equal(t, all.Rejected.RetryAfter, 5*time.Second)
}

// Guards against queued requests that are left to expire when the server asks for a backoff.
func TestQueuedRequestsAreRejectedOnBackoff(t *testing.T) {
	p := newBackoffPool(true, backoffServer)
	for range 2 * backoffServer.Slots {
		enqueueLimited(p, 0, true)
	}
	waiting := enqueueLimited(p, 0, true)
	assert.Assert(t, !waiting.decided())
	p.BackOff(10*ms, backoffServer.Incarnation(), 3*time.Second)
	assert.Equal(t, waiting.Rejected.Reason, ServerBackoff)
}

func TestBackoffDurations(t *testing.T) {
	p := newBackoffPool(true, backoffServer)
	p.BackOff(0, backoffServer.Incarnation(), 3*time.Second)
	p.BackOff(100*ms, backoffServer.Incarnation(), time.Second)
	assert.Equal(t, p.servers.byID["a"].BackoffLeft(100*ms), 2900*ms, "a shorter backoff")
	p.BackOff(200*ms, backoffServer.Incarnation(), 0)
	assert.Equal(t, p.servers.byID["a"].BackoffLeft(200*ms), 2800*ms, "no backoff")
	p.BackOff(time.Second, backoffServer.Incarnation(), 3*time.Second)
	assert.Equal(t, p.servers.byID["a"].BackoffLeft(time.Second), 3*time.Second, "a longer backoff")
	p.BackOff(2*time.Second, backoffServer.Incarnation(), 10*time.Minute)
	late := enqueueLimited(p, 3*time.Second, true)
	assert.Equal(t, late.Rejected.RetryAfter, maxLimitRetryAfter, "the keys may have another owner by then")
	next := backoffServer
	next.Start = 2
	p.ReplaceServers(4*time.Second, []fleet.Server{next})
	assert.Equal(t, p.servers.byID["a"].BackoffLeft(4*time.Second), time.Duration(0), "another incarnation did not ask for it")
}

// Tests that, in any order of events, a server gets no request during its backoff, gets one
// request at a time after it until it has answered one, and that no request stays in the queue
// past its deadline.
func TestFuzzBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keyed := rapid.Bool().Draw(t, "keyed")
		servers := []fleet.Server{backoffServer, otherServer}
		p := newBackoffPool(keyed, servers...)
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
				waiting = append(waiting, enqueueLimited(p, now, keyed))
				settle()
			},
			"time passes": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * ms
				p.Dispatch(now)
				settle()
			},
			"a server asks for backoff": func(t *rapid.T) {
				server := rapid.SampledFrom(servers).Draw(t, "server")
				length := time.Duration(rapid.IntRange(0, 4000).Draw(t, "length")) * ms
				if length > 0 {
					until[server.ID], trying[server.ID] = max(until[server.ID], now+length), true
				}
				p.BackOff(now, server.Incarnation(), length)
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
				p.Done(now, server, AttemptResult{Outcome: outcome, Took: 10 * ms})
				settle()
			},
		})
	})
}
