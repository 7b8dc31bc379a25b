package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
	"cicadarouter/host/logs"
	"cicadarouter/platform"
	"cicadarouter/routing"
)

// A host declines forwarded requests that another one can handle better.
func TestForwardedRequestIsDeclined(t *testing.T) {
	for _, c := range []struct {
		name     string
		prepare  func(*Gateway)
		declined string
	}{
		{"not configured", func(*Gateway) {}, "no-configuration"},
		{"older configuration", func(g *Gateway) { g.configuration.Update(&routing.Configuration{Version: 6}) }, outcomeConfigurationDiffers},
		{"newer configuration", func(g *Gateway) { g.configuration.Update(&routing.Configuration{Version: 8}) }, outcomeConfigurationDiffers},
		{"shutting down", func(g *Gateway) {
			g.configuration.Update(&routing.Configuration{Version: 7})
			g.Stop(time.Second)
		}, outcomeStopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := New(Identity{Host: "h"}, Platform{Registry: kindNames{}}, logs.Discard())
			c.prepare(g)
			request := httptest.NewRequest(http.MethodGet, "/x", nil)
			request.Header.Set(headerForward, `{"host":"other","configuration":7}`)
			recorded := httptest.NewRecorder()
			g.PeerHandler().ServeHTTP(recorded, request)
			assert.Equal(t, recorded.Code, http.StatusServiceUnavailable)
			assert.Equal(t, recorded.Header().Get(headerForwardResult), fmt.Sprintf(`{"outcome":%q,"declined":true}`, c.declined))
		})
	}
}

func TestForwardedRequestWithInvalidHeader(t *testing.T) {
	g := New(Identity{Host: "h"}, Platform{Registry: kindNames{}}, logs.Discard())
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Header.Set(headerForward, "none")
	recorded := httptest.NewRecorder()
	g.PeerHandler().ServeHTTP(recorded, request)
	assert.Equal(t, recorded.Code, http.StatusBadRequest)
}

func ringOf(domains, hostsPerDomain int) *forwardRing {
	ring := newForwardRing()
	for domain := range domains {
		for host := range hostsPerDomain {
			ring.add(fmt.Sprint("d", domain), fmt.Sprintf("d%d-h%d", domain, host))
		}
	}
	ring.build()
	return &ring
}

// Each host gets a bounded number of peers, of its own domain first, and all hosts get about
// equally many others to serve.
func TestForwardRingSpreadsHosts(t *testing.T) {
	const domains, perDomain = 3, 100
	ring := ringOf(domains, perDomain)
	served := map[string]int{}
	for domain := range domains {
		for host := range perDomain {
			self := fmt.Sprintf("d%d-h%d", domain, host)
			list := ring.peersFor(self, fmt.Sprint("d", domain))
			assert.Equal(t, len(list.Addresses), maxForwardPeers)
			assert.Equal(t, list.Local, maxLocalForwardPeers)
			assert.Assert(t, !slices.Contains(list.Addresses, self))
			for i, address := range list.Addresses {
				assert.Equal(t, strings.HasPrefix(address, fmt.Sprint("d", domain, "-")), i < list.Local)
				served[address]++
			}
		}
	}
	for address, count := range served {
		assert.Assert(t, count <= 4*maxForwardPeers, "%s serves %d hosts", address, count)
	}
}

// Guards against sending new lists to all hosts of a large fleet whenever one host comes or goes.
func TestForwardRingChangesFewLists(t *testing.T) {
	const perDomain = 100
	before, after := ringOf(3, perDomain), ringOf(3, perDomain+1)
	changed := 0
	for host := range perDomain {
		self := fmt.Sprintf("d0-h%d", host)
		if before.peersFor(self, "d0").checksum() != after.peersFor(self, "d0").checksum() {
			changed++
		}
	}
	assert.Assert(t, changed <= 3*maxForwardPeers, "%d of %d lists changed", changed, perDomain)
}

func TestForwardRingOfFewHosts(t *testing.T) {
	ring := ringOf(2, 1)
	assert.DeepEqual(t, ring.peersFor("d0-h0", "d0"), peerList{Addresses: []string{"d1-h0"}})
	assert.Equal(t, len(ring.peersFor("d9-h0", "d9").Addresses), 2)
	empty := newForwardRing()
	assert.Equal(t, empty.peersFor("x", "d").checksum(), uint64(0))
}

// The peer with the fewest requests is used, of the own domain unless it has several more, and not
// soon after it has failed.
func TestForwardPeerIsChosen(t *testing.T) {
	peers := newForwardPeers()
	peers.update(peerList{Addresses: []string{"near", "far"}, Local: 1})
	var order []string
	for range 2 * crossDomainForwards {
		address, _, _ := peers.acquire(0, "s", nil)
		order = append(order, address)
	}
	assert.DeepEqual(t, order, []string{"near", "near", "near", "near", "far", "near"})
	address, _, _ := peers.acquire(0, "s", []string{"near"})
	assert.Equal(t, address, "far")
	peers.release(0, "near", failedPeerPause)
	_, conns, wait := peers.acquire(failedPeerPause/4, "s", []string{"far"})
	assert.Assert(t, conns == nil)
	assert.Equal(t, wait, 3*failedPeerPause/4)
	address, _, _ = peers.acquire(failedPeerPause, "s", []string{"far"})
	assert.Equal(t, address, "near")
	peers.releaseForService(failedPeerPause, "near", "s", declinedPeerPause)
	address, _, _ = peers.acquire(failedPeerPause, "s", nil)
	assert.Equal(t, address, "far", "the near peer has lost its links to the servers of this service")
	address, _, _ = peers.acquire(failedPeerPause, "another", nil)
	assert.Equal(t, address, "near")
	_, conns, wait = newForwardPeers().acquire(0, "s", nil)
	assert.Assert(t, conns == nil && wait == 0)
}

// Guards against requests that wait for their deadlines at a host whose configuration stays behind:
// all peers decline them.
func TestForwardingEndsWhilePeersHaveAnotherConfiguration(t *testing.T) {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerForwardResult, `{"outcome":"configuration-differs","declined":true}`)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer peer.Close()
	g := New(Identity{Host: "h"}, Platform{Registry: kindNames{}}, logs.Discard())
	g.peers.update(peerList{Addresses: []string{peer.Listener.Addr().String()}})
	req := &request{httpRequest: httptest.NewRequest(http.MethodGet, "/x", nil), configuration: &routing.Configuration{Version: 7}, deadline: time.Hour}
	answer, _ := g.forwardToPeers(t.Context(), req)
	assert.Assert(t, answer == nil)
	assert.Assert(t, !req.mayHaveRun)
}

// Guards against forwarding requests to hosts of versions that know no forwarding: their reports do
// not say that they are available.
func TestHostsThatDoNotReportAsAvailableAreNoPeers(t *testing.T) {
	members := newMembers()
	members.add("new", member{address: "new", domain: "d", available: true, lastSeen: time.Second})
	members.add("old", member{address: "old", domain: "d", lastSeen: time.Second})
	members.add("gone", member{address: "gone", domain: "d", available: true})
	now := time.Second + memberTimeout/2
	members.updateForwardRing(now+memberTimeout/2, nil)
	assert.DeepEqual(t, members.ring.peersFor("x", "d").Addresses, []string{"new"})
	assert.Assert(t, members.anyWithLinks("s", now))
	members.add("new", member{address: "new", domain: "d", available: true, lastSeen: time.Second, withoutLinks: []string{"s"}})
	assert.Assert(t, !members.anyWithLinks("s", now+memberTimeout/2))
}

// Guards against requests that go from host to host: a peer whose links are lost too declines, whatever
// peers it has itself.
func TestForwardedRequestIsNotForwardedOn(t *testing.T) {
	var forwards atomic.Int32
	next := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { forwards.Add(1) }))
	defer next.Close()
	g := New(Identity{Host: "h"}, Platform{Registry: kindNames{}, Codec: platform.Codec{}}, logs.Discard())
	g.services["s"] = g.newService("s", false)
	g.services["s"].links.probed(time.Second, probeCounts{timedOut: 4})
	g.peers.update(peerList{Addresses: []string{next.Listener.Addr().String()}})
	route := routing.Route{Name: "r", Prefix: "/", Targets: []routing.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2}
	g.configuration.Update(&routing.Configuration{Version: 7, Hosts: map[string][]routing.Route{"site.example": {route}}, Services: map[string]routing.Service{"s": {Name: "s"}}})
	request := httptest.NewRequest(http.MethodGet, "/x", nil)
	request.Host = "site.example"
	request.Header.Set("X-Request-Id", "1")
	request.Header.Set(headerForward, `{"host":"other","configuration":7}`)
	recorded := httptest.NewRecorder()
	g.PeerHandler().ServeHTTP(recorded, request)
	assert.Equal(t, recorded.Header().Get(headerForwardResult), `{"outcome":"links-lost","declined":true}`)
	assert.Equal(t, recorded.Code, http.StatusServiceUnavailable)
	assert.Equal(t, forwards.Load(), int32(0))
}

// A forwarded request says how long it has been at this host.
func TestForwardedRequestTellsElapsedTime(t *testing.T) {
	g := New(Identity{Host: "h"}, Platform{Registry: kindNames{}}, logs.Discard())
	req := &request{httpRequest: httptest.NewRequest(http.MethodGet, "/x", nil), configuration: &routing.Configuration{Version: 7}, arrivedAt: g.now() - time.Second, sendCount: 1, counted: true}
	var info forwardInfo
	assert.NilError(t, json.Unmarshal([]byte(g.newForwardedRequest(req).Header.Get(headerForward)), &info))
	assert.Assert(t, info.ElapsedMicros >= time.Second.Microseconds())
	assert.Equal(t, info.Sends, 1)
	assert.Assert(t, info.Counted)
	assert.Equal(t, info.Configuration, uint64(7))
}

// Guards against sending a server the rest of a body whose beginning a peer has read before it declined.
func TestStreamedRequestIsNotSentAfterPeerDeclined(t *testing.T) {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerForwardResult, `{"outcome":"links-lost","declined":true}`)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer peer.Close()
	g := New(Identity{Host: "h"}, Platform{Registry: kindNames{}}, logs.Discard())
	g.peers.update(peerList{Addresses: []string{peer.Listener.Addr().String()}})
	s := g.newService("s", false)
	server := fleet.Server{ID: "a", Address: "a"}
	s.links.tracker.Sent(g.now(), server.Address)
	s.links.tracker.Ended(g.now(), server.Address, true) // open connections work
	body := strings.NewReader(strings.Repeat("x", 1<<20))
	req := &request{httpRequest: httptest.NewRequest(http.MethodPost, "/x", body), configuration: &routing.Configuration{Version: 7},
		route: &routing.Route{MaxAttempts: 2}, service: s, serviceName: "s", remainingBody: body, deadline: time.Hour}
	answer := g.replyWithoutLinks(t.Context(), req)
	assert.Assert(t, answer != nil, "the host may send the rest of the body to a server")
	assert.Equal(t, answer.status, http.StatusServiceUnavailable)
	assert.Assert(t, answer.retryAfter > 0)
}
