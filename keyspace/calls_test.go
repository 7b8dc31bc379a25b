package keyspace

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against servers that are never granted keys because calls to others use up all
// calls in flight.
func TestSlowAnswersDoNotStarveServers(t *testing.T) {
	const n = 3000
	var servers []Server
	for i := range n {
		servers = append(servers, Server{ID: fmt.Sprintf("s%04d", i), Slots: 1, Speed: 1})
	}
	m := New(NewRecord(Controller{Host: "one", Incarnation: 1}, 0, servers), 0, 0)
	called := map[string]bool{}
	var under []Call
	for now := time.Duration(0); now < 10*time.Second; now += time.Second {
		m.Confirm(now)
		for _, call := range under {
			m.CallCompleted(call, CallUnanswered, "", now-time.Second, now)
		}
		under = m.Step(now, servers)
		for _, call := range under {
			called[call.Server] = true
		}
	}
	assert.Equal(t, len(called), n)
}

// Guards against a first assignment by a controller that may have been replaced.
func TestFirstAssignmentNeedsAuthority(t *testing.T) {
	servers := []Server{{ID: "a", Slots: 1, Speed: 1}}
	m := New(NewUnassignedRecord(Controller{Host: "one", Incarnation: 1}, 0), 0, 0)
	assert.Assert(t, !m.AssignInitially(AuthorityTimeout, servers))
	m.Confirm(AuthorityTimeout)
	assert.Assert(t, !m.AssignInitially(AuthorityTimeout, nil), "there is no server")
	assert.Assert(t, m.AssignInitially(AuthorityTimeout, servers))
	assert.Assert(t, !m.AssignInitially(AuthorityTimeout, servers), "the assignment is being written")
}

// Guards against bursts of calls to all servers at the first grants and at each renewal. Calls
// beyond what the host can send in time are not answered before they are aborted.
func TestCallsToThousandsOfServersAreSpread(t *testing.T) {
	for _, n := range []int{500, 2000, 4000} {
		var servers []Server
		for i := range n {
			servers = append(servers, Server{ID: fmt.Sprintf("s%04d", i), Slots: 4, Speed: 1})
		}
		m := New(NewRecord(Controller{Host: "one", Incarnation: 1}, 0, servers), 0, 0)
		granted := map[string]time.Duration{}
		const slot = 50 * time.Millisecond
		for now := time.Duration(0); now < 6*time.Second; now += slot {
			m.Confirm(now)
			calls := m.Step(now, servers)
			assert.Assert(t, len(calls) <= maxCallsInFlight)
			if now > 3*time.Second {
				mean := float64(n) * float64(slot) / float64(renewInterval)
				assert.Assert(t, float64(len(calls)) < 4*mean+20, "%d calls in one step, %v on average", len(calls), mean)
			}
			for _, call := range calls {
				granted[call.Server] = now
				m.CallCompleted(call, CallDone, "", now, now)
			}
		}
		for _, server := range servers {
			assert.Assert(t, granted[server.ID] > 6*time.Second-2*renewInterval, "%s was last renewed at %v", server.ID, granted[server.ID])
		}
	}
}
