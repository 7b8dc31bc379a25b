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

// Guards against a value that can't be read being taken for none: a limit, or the leaving of a
// server, would end with it.
func TestUnreadableNoticeEndsNothing(t *testing.T) {
	g := New(Identity{Host: "one", Incarnation: 1}, Platform{}, logs.Discard())
	server := fleet.Incarnation{ID: "a"}
	g.hear(hearing{server: server, call: callRequest, Notice: adapter.Notice{Limit: 3, Leaving: true}})
	later := g.now() + time.Second
	unreadable := []*adapter.FieldError{{Field: "some", Value: "x", Fix: "y"}}
	g.hear(hearing{server: server, call: callRequest, sent: later, ran: true, Notice: adapter.Notice{Unreadable: unreadable}})
	g.hear(hearing{server: server, call: callHealth, sent: later, healthy: true, Notice: adapter.Notice{Unreadable: unreadable}})
	assert.Equal(t, g.serverLimits.value(server), 3.0)
	assert.Assert(t, g.leaving.value(server))
	g.hear(hearing{server: server, call: callHealth, sent: later, healthy: true})
	assert.Equal(t, g.serverLimits.value(server), 3.0, "health answers need not name it")
	assert.Assert(t, !g.leaving.value(server))
	g.hear(hearing{server: server, call: callRequest, sent: later, ran: true})
	assert.Equal(t, g.serverLimits.value(server), 0.0)
}

// Guards against a limit that a host knows and does not keep: two limits came at the same time,
// and the services were told of the first one last.
func TestLimitsThatComeTogetherAreAllKept(t *testing.T) {
	const rounds, servers = 50, 16
	for range rounds {
		g := New(Identity{Host: "one", Incarnation: 1}, Platform{}, logs.Discard())
		s, other := g.keyedService("s"), g.keyedService("other")
		s.mu.Lock() // nobody tells the service before all have come
		var hearing sync.WaitGroup
		for i := range servers {
			hearing.Go(func() {
				g.hear(limitNamed(fleet.Incarnation{ID: fmt.Sprint(i)}))
			})
		}
		for g.serverLimits.count() < servers {
			runtime.Gosched()
		}
		s.mu.Unlock()
		hearing.Wait()
		assert.Equal(t, s.limits(), servers)
		assert.Equal(t, other.limits(), servers)
	}
}

func limitNamed(server fleet.Incarnation) hearing {
	return hearing{server: server, call: callRequest, Notice: adapter.Notice{Limit: 3}}
}

// limits returns how many limits the service was last told of.
func (s *service) limits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Limits()
}
