package gateway

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/host/logs"
)

// Guards against taking an unreadable notice for an omitted one, which would end a server's rate
// limit or its leaving.
func TestUnreadableNoticeEndsNothing(t *testing.T) {
	g := New(Identity{Host: "one", Incarnation: 1}, Platform{}, logs.Discard())
	server := fleet.Incarnation{ID: "a"}
	g.handleNotices(receivedNotices{from: server, call: callRequest, Notice: adapter.Notice{Limit: 3, Leaving: true}})
	later := g.now() + time.Second
	unreadable := []*adapter.FieldError{{Field: "some", Value: "x", Fix: "y"}}
	g.handleNotices(receivedNotices{from: server, call: callRequest, sentAt: later, ran: true, Notice: adapter.Notice{Unreadable: unreadable}})
	g.handleNotices(receivedNotices{from: server, call: callHealth, sentAt: later, healthy: true, Notice: adapter.Notice{Unreadable: unreadable}})
	assert.Equal(t, g.serverLimits.value(server), 3.0)
	assert.Assert(t, g.leavingServers.value(server))
	g.handleNotices(receivedNotices{from: server, call: callHealth, sentAt: later, healthy: true})
	assert.Equal(t, g.serverLimits.value(server), 3.0, "health responses may omit the limit")
	assert.Assert(t, !g.leavingServers.value(server))
	g.handleNotices(receivedNotices{from: server, call: callRequest, sentAt: later, ran: true})
	assert.Equal(t, g.serverLimits.value(server), 0.0)
}

// Guards against a limit that a host knows and does not apply: two limits arrived concurrently,
// and the older set of limits was handed to the services last.
func TestLimitsThatComeTogetherAreAllKept(t *testing.T) {
	const rounds, servers = 50, 16
	for range rounds {
		g := New(Identity{Host: "one", Incarnation: 1}, Platform{}, logs.Discard())
		s, other := g.keyedService("s"), g.keyedService("other")
		s.mu.Lock() // the service can't be updated before all limits have arrived
		var handling sync.WaitGroup
		for i := range servers {
			handling.Go(func() {
				g.handleNotices(noticesWithLimit(fleet.Incarnation{ID: fmt.Sprint(i)}))
			})
		}
		for g.serverLimits.count() < servers {
			runtime.Gosched()
		}
		s.mu.Unlock()
		handling.Wait()
		assert.Equal(t, s.limitCount(), servers)
		assert.Equal(t, other.limitCount(), servers)
	}
}

func noticesWithLimit(server fleet.Incarnation) receivedNotices {
	return receivedNotices{from: server, call: callRequest, Notice: adapter.Notice{Limit: 3}}
}

// limitCount returns how many servers had a rate limit when the service was last updated.
func (s *service) limitCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.LimitedServers()
}
