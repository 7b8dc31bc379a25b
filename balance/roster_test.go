package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// makeServers returns n servers with four slots each, in five failure domains.
func makeServers(n int) []fleet.Server {
	servers := make([]fleet.Server, n)
	for i := range servers {
		servers[i] = fleet.Server{ID: fmt.Sprintf("s%05d", i), Domain: fmt.Sprintf("d%d", i%5), Slots: 4}
	}
	return servers
}

// Guards against a choice whose cost grows with the number of servers.
func TestChoiceSamplesFewOfManyServers(t *testing.T) {
	const most = maxRecent + localSampleSize + globalSampleSize
	for _, n := range []int{500, 2000, 8000} {
		p := NewPool("d1", nil, 1)
		p.ReplaceServers(0, makeServers(n))
		for i := range 200 {
			sample, all := p.servers.sample(p.random.IntN)
			assert.Assert(t, !all && len(sample) <= most, "%d of %d servers", len(sample), n)
			w := enqueue(p, time.Duration(i)*ms, Waiter{})
			assert.Equal(t, w.Server.Domain, "d1", "a server in the host's domain has room")
		}
	}
}

// Guards against requests that wait although a server outside the sample has room.
func TestLastServerWithRoomIsFound(t *testing.T) {
	const n = 1000
	servers := makeServers(n)
	for i := range servers {
		servers[i].Draining = i != 777
	}
	p := NewPool("d1", nil, 1)
	p.ReplaceServers(0, servers)
	assert.Equal(t, enqueue(p, 0, Waiter{}).Server.ID, "s00777")
}

// Guards against a set that loses servers or keeps removed ones.
func TestServerSetFollowsUpdates(t *testing.T) {
	p := NewPool("d1", nil, 1)
	p.ReplaceServers(0, makeServers(600))
	for i := range 40 {
		enqueue(p, time.Duration(i)*ms, Waiter{})
	}
	assert.Equal(t, len(p.servers.recent), maxRecent)
	moved := fleet.Server{ID: "s00001", Domain: "d2", Slots: 4}
	p.UpdateServers(time.Second, []fleet.Server{moved, {ID: "a", Domain: "d1", Slots: 4}}, []string{"s00006", "s00000", "unknown", p.servers.recent[0].ID})
	assert.Equal(t, p.Servers()[0].ID, "a")
	for _, server := range p.servers.local {
		assert.Equal(t, server.Domain, "d1")
		assert.Assert(t, p.Contains(server))
		assert.Assert(t, p.servers.local[server.localIndex] == server)
	}
	for _, server := range p.servers.recent {
		assert.Assert(t, p.Contains(server))
	}
	p.ReplaceServers(2*time.Second, nil)
	assert.Equal(t, len(p.servers.local)+len(p.servers.sorted)+len(p.servers.recent)+len(p.servers.byID), 0)
}

// Load pattern: 300 hosts that don't know of each other send requests to a thousand servers at
// 30 % utilization. Of servers chosen at random, 4 % have no free slot.
func TestSimulateManyHostsAndServers(t *testing.T) {
	const hosts, n, slots, work = 300, 1000, 4, 400 * ms
	const gap = work * 10 / (n * slots * 3) // interval between two requests
	random := rand.New(rand.NewPCG(5, 5))
	pools := make([]*Pool, hosts)
	for i := range pools {
		pools[i] = NewPool(fmt.Sprintf("d%d", i%5), nil, uint64(i))
		pools[i].ReplaceServers(0, makeServers(n))
	}
	busy := map[string][]time.Duration{} // end times of the requests at each server
	type running struct {
		pool   *Pool
		server *Server
		ends   time.Duration
	}
	var inFlight []running
	sent, full := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += gap {
		kept := inFlight[:0]
		for _, r := range inFlight {
			if r.ends > now {
				kept = append(kept, r)
				continue
			}
			load := Load{Running: len(busy[r.server.ID]) - 1, Slots: slots}
			busy[r.server.ID] = busy[r.server.ID][1:]
			r.pool.Done(now, r.server, AttemptResult{Outcome: Answered, Took: work, Load: &load})
		}
		inFlight = kept
		pool := pools[random.IntN(hosts)]
		w := enqueue(pool, now, Waiter{Objective: 1200 * ms, Deadline: now + 5*time.Second})
		if w.Server == nil {
			continue
		}
		sent++
		if len(busy[w.Server.ID]) >= slots {
			full++
		}
		ends := now + work
		busy[w.Server.ID] = append(busy[w.Server.ID], ends)
		inFlight = append(inFlight, running{pool, w.Server, ends})
	}
	assert.Assert(t, full*100 < 4*sent, "%d of %d requests were sent to a server without a free slot", full, sent)
}
