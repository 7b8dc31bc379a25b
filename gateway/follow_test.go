package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/contract/objects/memobjects"
	"cicadarouter/fleet"
	"cicadarouter/host/logs"
	"cicadarouter/keyspace"
	"cicadarouter/routing"
)

// refusingStore is a store that refuses calls until serves is set, and counts them by kind.
type refusingStore struct {
	*memobjects.Store
	mu     sync.Mutex
	calls  map[string]int
	serves bool
	called chan string
}

func (s *refusingStore) note(kind string) error {
	s.mu.Lock()
	s.calls[kind]++
	serves := s.serves
	s.mu.Unlock()
	s.called <- kind
	if !serves {
		return objects.ErrRefused
	}
	return nil
}

func (s *refusingStore) List(ctx context.Context, kind string) (objects.Listing, error) {
	if err := s.note(kind); err != nil {
		return objects.Listing{}, err
	}
	return s.Store.List(ctx, kind)
}

// Stale implements objects.Store: stale reads are refused as well.
func (s *refusingStore) Stale() objects.Reader { return s }

func (s *refusingStore) count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// kinds is a registry that has only the names of its kinds.
type kinds struct{}

func (kinds) Servers() string        { return "servers" }
func (kinds) Configurations() string { return "configurations" }
func (kinds) Current() string        { return "main" }
func (kinds) Evacuations() string    { return "evacuations" }
func (kinds) Evacuation(object objects.Object) (string, error) {
	return object.Name, nil
}
func (kinds) Server(objects.Object) (fleet.Server, error) {
	return fleet.Server{}, nil
}
func (kinds) Configuration(objects.Object) (*routing.Configuration, error) {
	return &routing.Configuration{}, nil
}

// Guards against 2,800 calls of 65 hosts to a store that refuses calls for 8 s: while the
// store is unavailable, only one follower of a host calls it.
func TestOnlyTheProberAsksWhileTheStoreIsAway(t *testing.T) {
	store := &refusingStore{Store: memobjects.New(), calls: map[string]int{}, called: make(chan string, 64)}
	g := New(Identity{}, Platform{Store: store, Registry: kinds{}}, logs.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var following sync.WaitGroup
	for _, follow := range []func(context.Context){g.followConfiguration, g.followServers, g.followAssignments} {
		following.Go(func() { follow(ctx) })
	}
	for store.count("configurations") < 5 {
		<-store.called
	}
	assert.Assert(t, store.count("servers") <= 2, "%d calls", store.count("servers"))
	assert.Assert(t, store.count(Assignments) <= 2, "%d calls", store.count(Assignments))

	store.mu.Lock()
	store.serves = true
	store.mu.Unlock()
	for !g.listed.Load() || !g.control.listed.Load() {
		select {
		case <-store.called:
		case <-time.After(time.Millisecond):
		}
	}
	cancel()
	following.Wait()
}

// Guards against 60 hosts that claim control of the same keys as the store comes back. While
// the store is unavailable to all, it can't confirm the controller, and each host would make
// claims that can't succeed. Only hosts that can reach the store may claim.
func TestNoClaimWhileTheStoreIsAway(t *testing.T) {
	g := New(Identity{Host: "one"}, Platform{}, logs.Discard())
	c := &controller{service: newService("s", Identity{Incarnation: 1}, true, g.now), wanted: time.Second}
	g.reach.lost()
	g.wantClaim(context.Background(), c, time.Hour, nil, 0, 0)
	assert.Assert(t, !c.claiming)
	assert.Equal(t, c.wanted, time.Duration(0), "the delay starts again when the store is back")
}

// Guards against a host that learns of no change of servers or assignments for up to 25 s
// after an outage. All followers fail and wait for the prober; the store comes back, and the
// controller confirms freshness again. If the prober's next watch then waited 25 s at the
// controller for a change, no answer would show until then that the store is back.
func TestProberDoesNotWaitForAChange(t *testing.T) {
	waited := make(chan watchRequest, 16)
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request watchRequest
		_ = json.NewDecoder(r.Body).Decode(&request) // if it fails, the zero wait fails the test
		waited <- request
		_ = json.NewEncoder(w).Encode(watchAnswer{Listing: objects.Listing{Revision: request.Revision}})
	}))
	defer controller.Close()
	g := New(Identity{}, Platform{Store: memobjects.New(), Registry: kinds{}}, logs.Discard())
	g.fresh.told(g.now(), wordOf(g.now(), strings.TrimPrefix(controller.URL, "http://"), nil))
	g.reach.lost()
	listing, _, err := g.next(context.Background(), follower{prober: true, kind: "configurations"}, true, 5)
	assert.NilError(t, err)
	assert.Equal(t, listing.Revision, uint64(5))
	asked := <-waited
	assert.Equal(t, time.Duration(asked.WaitMs)*time.Millisecond, awayWatch)
}

// The followers resume as soon as a controller that has the store answers a report.
func TestControllersWordEndsTheWait(t *testing.T) {
	g := New(Identity{}, Platform{}, logs.Discard())
	g.reach.lost()
	c := &controller{service: newService("s", Identity{Incarnation: 1}, true, g.now)}
	ended := &reportEnded{controller: c, to: keyspace.Controller{Incarnation: 7}, answer: loadAnswer{Incarnation: 7, Controls: true}}
	ended.apply(g, g.boot.Now())
	assert.Assert(t, !g.reach.isAway())
}
