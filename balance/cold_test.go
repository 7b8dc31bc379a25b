package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// coldReturn is a load: the servers of a failure domain come back together, cold,
// while requests wait at all hosts.
type coldReturn struct {
	hosts, servers int
	perSecond      float64 // what a cold server bears
	told           int     // the number of hosts that is told; 0 for none
	// restarts is the share of the hosts whose processes start again each second.
	restarts float64
	keyed    bool
	length   time.Duration
	seed     uint64
}

// fixedOwner owns all keys by number: server key mod n.
type fixedOwner []string

// OwnerOf implements Owner.
func (f fixedOwner) OwnerOf(key uint16) (string, time.Duration) { return f[int(key)%len(f)], 0 }

// busiestSecond plays the load and returns the most requests that one cold server got
// in any second, from all hosts, and the mean.
func (c coldReturn) busiestSecond() (most int, mean float64) {
	random := rand.New(rand.NewPCG(c.seed, 3))
	var listed []fleet.Server
	var owner fixedOwner
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
		pools[host].SetCold(c.perSecond, c.told)
		pools[host].SetServers(now, listed)
	}
	for host := range pools {
		start(host, 0)
	}
	arrivals := map[string][]time.Duration{}
	const turn = 10 * time.Millisecond
	for now := time.Duration(0); now < c.length; now += turn {
		for host := range pools {
			if random.Float64() < c.restarts*turn.Seconds() {
				start(host, now)
			}
			w := &Waiter{Keyed: c.keyed, Key: uint16(random.IntN(1 << 16)), Arrived: now, Deadline: now + 5*time.Second, Patience: 5 * time.Second,
				Objective: 1200 * time.Millisecond, Ready: make(chan struct{})}
			pools[host].Enter(now, w)
			if w.Server == nil {
				pools[host].Leave(w)
				continue
			}
			arrivals[w.Server.ID] = append(arrivals[w.Server.ID], now)
			// Its answer comes at once: the load is not what holds hosts back here.
			pools[host].Done(now, w.Server, End{Outcome: Answered, Took: 300 * time.Millisecond, Objective: w.Objective})
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

// Symptom: the servers of a failure domain that comes back fall over again and again.
// Sequence: they come back together, cold, while requests wait at 90 hosts; each host
// knows them idle and sends each of them a request in the same second.
// Cause: no host knew what the others send, and each judged the servers by their slots.
func TestColdServersGetNoMoreThanTheyBear(t *testing.T) {
	// The users' bound: 5.8 a second, times 1.5, and 8 more.
	const bears, most = 5.8, 16
	for name, load := range map[string]coldReturn{
		"any server":           {hosts: 90, servers: 39, told: 90},
		"owners of keys":       {hosts: 90, servers: 39, told: 90, keyed: true},
		"hosts start again":    {hosts: 90, servers: 39, told: 90, restarts: 0.3},
		"number of hosts open": {hosts: 90, servers: 39},
		"a small fleet":        {hosts: 8, servers: 4, told: 8},
	} {
		t.Run(name, func(t *testing.T) {
			load.perSecond, load.length = bears, 4*time.Second
			for load.seed = 1; load.seed <= 3; load.seed++ {
				got, mean := load.busiestSecond()
				t.Logf("seed %d: %d in the busiest second, %.1f a second on average", load.seed, got, mean)
				assert.Assert(t, got <= most, "seed %d: %d requests in one second", load.seed, got)
				assert.Assert(t, mean > 0, "cold servers are used")
			}
			load.perSecond = 0
			if got, _ := load.busiestSecond(); got <= most {
				t.Errorf("this load does not show the failure: %d in the busiest second without a limit", got)
			}
		})
	}
}

// A key whose owner is cold is rejected at once if its turn does not come in time, and
// its caller is told to come back when the owner is warm.
func TestColdOwnerTurnsAwayAtOnce(t *testing.T) {
	p := NewPool("d", fixedOwner{"s"}, 1)
	p.SetCold(5.8, 90)
	p.SetServers(0, []fleet.Server{{ID: "s", Domain: "d", Slots: 6, ColdUntil: 3 * time.Second}})
	enter := func(now time.Duration) *Waiter {
		w := &Waiter{Keyed: true, Arrived: now, Deadline: now + 2*time.Second, Objective: time.Second, Ready: make(chan struct{})}
		p.Enter(now, w)
		return w
	}
	w := enter(0)
	assert.Assert(t, w.Rejected != nil)
	assert.Equal(t, w.Rejected.Reason, ColdOwner)
	assert.Assert(t, w.Rejected.RetryAfter <= 3*time.Second && w.Rejected.RetryAfter > time.Second, "retry after %v", w.Rejected.RetryAfter)
	assert.Assert(t, enter(3*time.Second).Server != nil, "the server is warm")
}

// Guards against a server that started again under its ID and gets what a warm one does
// until the registry can be read.
func TestDoubtedServerIsCold(t *testing.T) {
	p := NewPool("d", nil, 1)
	listed := []fleet.Server{{ID: "again", Start: 7, Domain: "d", Slots: 6}, {ID: "once", Domain: "d", Slots: 6}}
	p.SetServers(0, listed)
	again, once := p.Servers()[0], p.Servers()[1]
	assert.Assert(t, !p.Doubt(0, again.Incarnation()), "no service whose cold servers bear less")
	p.SetCold(5.8, 90)
	assert.Assert(t, !p.Doubt(0, once.Incarnation()), "an ID that is used once")
	assert.Assert(t, !p.Doubt(0, fleet.Incarnation{ID: "again", Start: 6}), "an earlier incarnation")
	assert.Assert(t, p.Doubt(0, again.Incarnation()))
	assert.Assert(t, !p.Doubt(time.Millisecond, again.Incarnation()), "it is being asked")
	assert.Assert(t, again.cold(time.Millisecond) && !once.cold(time.Millisecond))
	p.SetServers(time.Millisecond, listed)
	assert.Assert(t, again.cold(time.Millisecond), "its entry is older than the doubt")
	p.ToldCold(2*time.Millisecond, again.Incarnation(), time.Second)
	assert.Assert(t, again.cold(time.Second) && !again.cold(1003*time.Millisecond))
	assert.Assert(t, p.Doubt(2*time.Second, again.Incarnation()))
	p.ToldCold(2*time.Second, again.Incarnation(), 0)
	assert.Assert(t, !again.cold(2*time.Second), "it says that it is warm")
	assert.Assert(t, p.Doubt(3*time.Second, again.Incarnation()))
	assert.Assert(t, !again.cold(3*time.Second+coldDoubt), "a server that does not say is not cold for good")
}

// A cold server counts for what it bears when keys are placed.
func TestSpeedOfAColdServer(t *testing.T) {
	p := NewPool("d", nil, 1)
	p.SetServers(0, []fleet.Server{{ID: "s", Domain: "d", Slots: 6, ColdUntil: time.Second}})
	server := p.Servers()[0]
	assert.Equal(t, p.Speed(0, server), 1.0, "no limit is known")
	p.SetCold(5.8, 90)
	assert.Assert(t, p.Speed(0, server) < 0.1, "5.8 requests of 100 ms for 6 slots")
	assert.Equal(t, p.Speed(time.Second, server), 1.0)
}
