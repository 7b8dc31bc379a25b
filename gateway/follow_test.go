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

// refusingStore is a store that turns calls away until it is told to serve, and
// counts them by kind.
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

// Stale implements objects.Store: the first lists are refused like all others.
func (s *refusingStore) Stale() objects.Reader { return s }

func (s *refusingStore) count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// kinds is a registry of which the test needs the names only.
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

// Symptom: 65 hosts make 2,800 calls to a store that turns calls away for 8 s.
// Sequence: the store turns all calls away; the followers of all kinds try again
// and again.
// Cause: each follower asked for itself whether the store was back.
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
	for !g.registryListed.Load() || !g.control.assignmentsListed.Load() {
		select {
		case <-store.called:
		case <-time.After(time.Millisecond):
		}
	}
	cancel()
	following.Wait()
}

// Symptom: as the store comes back, 60 hosts claim control of the same keys.
// Sequence: the store is away for all; the controller can't be confirmed; every
// host wants to take over and makes calls that can't succeed.
// Cause: hosts claimed without having the store themselves.
func TestNoClaimWhileTheStoreIsAway(t *testing.T) {
	g := New(Identity{Host: "one"}, Platform{}, logs.Discard())
	c := &serviceControl{service: newService("s", Identity{Incarnation: 1}, true, g.now), claimDueSince: time.Second}
	g.storeReach.lost()
	g.claimWhenDue(context.Background(), c, time.Hour, nil, 0, 0)
	assert.Assert(t, !c.claimInFlight)
	assert.Equal(t, c.claimDueSince, time.Duration(0), "the delay begins anew when the store is back")
}

// Symptom: a host sends to servers that left seconds ago; it hears of no change
// of servers or assignments for up to 25 s.
// Sequence: the store is away; all followers fail, and wait for the prober; the
// store is back; the controller vouches for itself again, and the prober's next
// watch waits 25 s at the controller for a change that does not come.
// Cause: only an answer to the prober's watch told that the store is back, and
// that watch was a long one.
func TestProberDoesNotWaitForAChange(t *testing.T) {
	waited := make(chan watchRequest, 16)
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request watchRequest
		_ = json.NewDecoder(r.Body).Decode(&request) // a zero wait then fails the test
		waited <- request
		_ = json.NewEncoder(w).Encode(watchAnswer{Listing: objects.Listing{Revision: request.Revision}})
	}))
	defer controller.Close()
	g := New(Identity{}, Platform{Store: memobjects.New(), Registry: kinds{}}, logs.Discard())
	g.freshness.told(g.now(), wordOf(g.now(), strings.TrimPrefix(controller.URL, "http://"), nil))
	g.storeReach.lost()
	listing, _, err := g.next(context.Background(), follower{prober: true, kind: "configurations"}, true, 5)
	assert.NilError(t, err)
	assert.Equal(t, listing.Revision, uint64(5))
	asked := <-waited
	assert.Equal(t, time.Duration(asked.WaitMs)*time.Millisecond, awayWatch)
}

// A controller that answers and has the store brings the followers back at once.
func TestControllersWordEndsTheWait(t *testing.T) {
	g := New(Identity{}, Platform{}, logs.Discard())
	g.storeReach.lost()
	c := &serviceControl{service: newService("s", Identity{Incarnation: 1}, true, g.now)}
	ended := &reportResult{control: c, to: keyspace.Controller{Incarnation: 7}, answer: loadAnswer{Incarnation: 7, Controls: true}}
	ended.apply(g, g.bootClock.Now())
	assert.Assert(t, !g.storeReach.isAway())
}
