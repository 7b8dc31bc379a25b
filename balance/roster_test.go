package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// manyServers returns servers of four slots in five domains.
func manyServers(n int) []fleet.Server {
	servers := make([]fleet.Server, n)
	for i := range servers {
		servers[i] = fleet.Server{ID: fmt.Sprintf("s%05d", i), Domain: fmt.Sprintf("d%d", i%5), Slots: 4}
	}
	return servers
}

// Guards against a choice whose cost grows with the servers of a service.
func TestChoiceLooksAtFewOfManyServers(t *testing.T) {
	const most = mostRecent + drawnNear + drawnAnywhere
	for _, n := range []int{500, 2000, 8000} {
		p := NewPool("d1", nil, 1)
		p.SetServers(0, manyServers(n))
		for i := range 200 {
			drawn, all := p.servers.draw(p.random.IntN)
			assert.Assert(t, !all && len(drawn) <= most, "%d of %d servers", len(drawn), n)
			w := enter(p, time.Duration(i)*ms, Waiter{})
			assert.Equal(t, w.Server.Domain, "d1", "one of its own domain has room")
		}
	}
}

// Guards against requests that wait though a server that was not drawn has room.
func TestTheLastServerWithRoomIsFound(t *testing.T) {
	const n = 1000
	servers := manyServers(n)
	for i := range servers {
		servers[i].Draining = i != 777
	}
	p := NewPool("d1", nil, 1)
	p.SetServers(0, servers)
	assert.Equal(t, enter(p, 0, Waiter{}).Server.ID, "s00777")
}

// Guards against a roster that forgets servers, or offers those that are gone.
func TestRosterFollowsTheServers(t *testing.T) {
	p := NewPool("d1", nil, 1)
	p.SetServers(0, manyServers(600))
	for i := range 40 {
		enter(p, time.Duration(i)*ms, Waiter{})
	}
	assert.Equal(t, len(p.servers.recent), mostRecent)
	moved := fleet.Server{ID: "s00001", Domain: "d2", Slots: 4}
	p.ChangeServers(time.Second, []fleet.Server{moved, {ID: "a", Domain: "d1", Slots: 4}}, []string{"s00006", "s00000", "unknown", p.servers.recent[0].ID})
	assert.Equal(t, p.Servers()[0].ID, "a")
	for _, server := range p.servers.near {
		assert.Equal(t, server.Domain, "d1")
		assert.Assert(t, p.Lists(server))
		assert.Assert(t, p.servers.near[server.nearAt] == server)
	}
	for _, server := range p.servers.recent {
		assert.Assert(t, p.Lists(server))
	}
	p.SetServers(2*time.Second, nil)
	assert.Equal(t, len(p.servers.near)+len(p.servers.order)+len(p.servers.recent)+len(p.servers.byID), 0)
}

// Load pattern: hundreds of hosts that do not know of each other send requests to a thousand
// servers that are three tenths busy. Of servers taken at random, 4 in 100 have no free slot.
func TestReplayManyHostsAndServers(t *testing.T) {
	const hosts, n, slots, work = 300, 1000, 4, 400 * ms
	const gap = work * 10 / (n * slots * 3) // between two requests
	random := rand.New(rand.NewPCG(5, 5))
	pools := make([]*Pool, hosts)
	for i := range pools {
		pools[i] = NewPool(fmt.Sprintf("d%d", i%5), nil, uint64(i))
		pools[i].SetServers(0, manyServers(n))
	}
	busy := map[string][]time.Duration{} // when the requests of each server end
	type running struct {
		pool   *Pool
		server *Server
		ends   time.Duration
	}
	var under []running
	sent, met := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += gap {
		kept := under[:0]
		for _, r := range under {
			if r.ends > now {
				kept = append(kept, r)
				continue
			}
			load := Load{Running: len(busy[r.server.ID]) - 1, Slots: slots}
			busy[r.server.ID] = busy[r.server.ID][1:]
			r.pool.Done(now, r.server, End{Outcome: Answered, Took: work, Load: &load})
		}
		under = kept
		pool := pools[random.IntN(hosts)]
		w := enter(pool, now, Waiter{Objective: 1200 * ms, Deadline: now + 5*time.Second})
		if w.Server == nil {
			continue
		}
		sent++
		if len(busy[w.Server.ID]) >= slots {
			met++
		}
		ends := now + work
		busy[w.Server.ID] = append(busy[w.Server.ID], ends)
		under = append(under, running{pool, w.Server, ends})
	}
	assert.Assert(t, met*100 < 4*sent, "%d of %d requests met a server without a free slot", met, sent)
}
