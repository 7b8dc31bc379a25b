package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// coldRestart is a workload in which all servers of a failure domain restart together, cold,
// while requests arrive at all hosts.
type coldRestart struct {
	hosts, servers int
	perSecond      float64 // request rate that a cold server can handle
	knownHosts     int     // number of hosts given to the pools; 0 for unknown
	// restartRate is the fraction of the hosts whose processes restart each second.
	restartRate float64
	keyed       bool
	length      time.Duration
	seed        uint64
}

// fixedOwners assigns key k to server k mod n.
type fixedOwners []string

// OwnerOf implements Owner.
func (f fixedOwners) OwnerOf(key uint16) (string, time.Duration) { return f[int(key)%len(f)], 0 }

// busiestSecond runs the workload. It returns the most requests that one cold server got from
// all hosts within any second, and the mean rate per server.
func (c coldRestart) busiestSecond() (most int, mean float64) {
	random := rand.New(rand.NewPCG(c.seed, 3))
	var listed []fleet.Server
	var owner fixedOwners
	for i := range c.servers {
		id := fmt.Sprintf("s%02d", i)
		listed = append(listed, fleet.Server{ID: id, Domain: "d", Slots: 6, ColdUntil: c.length})
		owner = append(owner, id)
	}
	pools := make([]*Pool, c.hosts)
	start := func(host int, now time.Duration) {
		var keys Owner
		if c.keyed {
			keys = owner
		}
		pools[host] = NewPool("d", keys, random.Uint64())
		pools[host].SetColdStartLimit(c.perSecond, c.knownHosts)
		pools[host].ReplaceServers(now, listed)
	}
	for host := range pools {
		start(host, 0)
	}
	arrivals := map[string][]time.Duration{}
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < c.length; now += step {
		for host := range pools {
			if random.Float64() < c.restartRate*step.Seconds() {
				start(host, now)
			}
			w := &Waiter{Keyed: c.keyed, Key: uint16(random.IntN(1 << 16)), Arrived: now, Deadline: now + 5*time.Second, Timeout: 5 * time.Second,
				Objective: 1200 * time.Millisecond, Ready: make(chan struct{})}
			pools[host].Enqueue(now, w)
			if w.Server == nil {
				pools[host].Cancel(w)
				continue
			}
			arrivals[w.Server.ID] = append(arrivals[w.Server.ID], now)
			// The request completes at once, so that the load does not limit the hosts.
			pools[host].Done(now, w.Server, AttemptResult{Outcome: Answered, Took: 300 * time.Millisecond, Objective: w.Objective})
		}
	}
	total := 0
	for _, at := range arrivals {
		total += len(at)
		first := 0
		for last := range at {
			for at[last]-at[first] >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most, float64(total) / float64(c.servers) / c.length.Seconds()
}

// Guards against cold servers that fail again and again after their failure domain has come
// back. Each of 90 hosts saw the servers idle, judged them by their slots without knowing what
// the other hosts send, and sent each of them a request in the same second.
func TestColdServersAreNotOverloaded(t *testing.T) {
	// Requirement: at most 1.5 times 5.8 requests in any second, plus 8.
	const capacity, most = 5.8, 16
	for name, load := range map[string]coldRestart{
		"any server":              {hosts: 90, servers: 39, knownHosts: 90},
		"owners of keys":          {hosts: 90, servers: 39, knownHosts: 90, keyed: true},
		"hosts restart":           {hosts: 90, servers: 39, knownHosts: 90, restartRate: 0.3},
		"unknown number of hosts": {hosts: 90, servers: 39},
		"few hosts and servers":   {hosts: 8, servers: 4, knownHosts: 8},
	} {
		t.Run(name, func(t *testing.T) {
			load.perSecond, load.length = capacity, 4*time.Second
			for load.seed = 1; load.seed <= 3; load.seed++ {
				got, mean := load.busiestSecond()
				t.Logf("seed %d: %d in the busiest second, %.1f per second on average", load.seed, got, mean)
				assert.Assert(t, got <= most, "seed %d: %d requests in one second", load.seed, got)
				assert.Assert(t, mean > 0, "cold servers get no requests")
			}
			load.perSecond = 0
			if got, _ := load.busiestSecond(); got <= most {
				t.Errorf("this workload does not reproduce the failure: %d in the busiest second without a limit", got)
			}
		})
	}
}

// A request whose key is owned by a cold server is rejected at once if no token is available
// in time, with a retry delay of at most the time until the owner is warm.
func TestColdOwnerRejectsAtOnce(t *testing.T) {
	p := NewPool("d", fixedOwners{"s"}, 1)
	p.SetColdStartLimit(5.8, 90)
	p.ReplaceServers(0, []fleet.Server{{ID: "s", Domain: "d", Slots: 6, ColdUntil: 3 * time.Second}})
	enqueue := func(now time.Duration) *Waiter {
		w := &Waiter{Keyed: true, Arrived: now, Deadline: now + 2*time.Second, Objective: time.Second, Ready: make(chan struct{})}
		p.Enqueue(now, w)
		return w
	}
	w := enqueue(0)
	assert.Assert(t, w.Rejected != nil)
	assert.Equal(t, w.Rejected.Reason, ColdOwner)
	assert.Assert(t, w.Rejected.RetryAfter <= 3*time.Second && w.Rejected.RetryAfter > time.Second, "retry after %v", w.Rejected.RetryAfter)
	assert.Assert(t, enqueue(3*time.Second).Server != nil, "the server is warm")
}

// Guards against a server that restarted under the same ID and gets as many requests as a warm
// one until the registry can be read.
func TestSuspectedRestartCountsAsCold(t *testing.T) {
	p := NewPool("d", nil, 1)
	listed := []fleet.Server{{ID: "again", Start: 7, Domain: "d", Slots: 6}, {ID: "once", Domain: "d", Slots: 6}}
	p.ReplaceServers(0, listed)
	again, once := p.Servers()[0], p.Servers()[1]
	assert.Assert(t, !p.SuspectRestart(0, again.Incarnation()), "the service has no limit for cold servers")
	p.SetColdStartLimit(5.8, 90)
	assert.Assert(t, !p.SuspectRestart(0, once.Incarnation()), "IDs without a start number are not reused")
	assert.Assert(t, !p.SuspectRestart(0, fleet.Incarnation{ID: "again", Start: 6}), "an earlier incarnation")
	assert.Assert(t, p.SuspectRestart(0, again.Incarnation()))
	assert.Assert(t, !p.SuspectRestart(time.Millisecond, again.Incarnation()), "it is already being asked")
	assert.Assert(t, again.cold(time.Millisecond) && !once.cold(time.Millisecond))
	p.ReplaceServers(time.Millisecond, listed)
	assert.Assert(t, again.cold(time.Millisecond), "its entry is older than the suspicion")
	p.SetColdFor(2*time.Millisecond, again.Incarnation(), time.Second)
	assert.Assert(t, again.cold(time.Second) && !again.cold(1003*time.Millisecond))
	assert.Assert(t, p.SuspectRestart(2*time.Second, again.Incarnation()))
	p.SetColdFor(2*time.Second, again.Incarnation(), 0)
	assert.Assert(t, !again.cold(2*time.Second), "it says that it is warm")
	assert.Assert(t, p.SuspectRestart(3*time.Second, again.Incarnation()))
	assert.Assert(t, !again.cold(3*time.Second+assumedColdFor), "a server that does not answer is not assumed cold forever")
}

// When keys are assigned, a cold server counts for what it can handle.
func TestSpeedOfColdServer(t *testing.T) {
	p := NewPool("d", nil, 1)
	p.ReplaceServers(0, []fleet.Server{{ID: "s", Domain: "d", Slots: 6, ColdUntil: time.Second}})
	server := p.Servers()[0]
	assert.Equal(t, p.Speed(0, server), 1.0, "no limit is known")
	p.SetColdStartLimit(5.8, 90)
	assert.Assert(t, p.Speed(0, server) < 0.1, "5.8 requests of 100 ms for 6 slots")
	assert.Equal(t, p.Speed(time.Second, server), 1.0)
}
