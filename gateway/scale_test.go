package gateway

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/fleet"
	"cicadarouter/host/logs"
	"cicadarouter/keyspace"
	"cicadarouter/platform"
)

// Guards against a change of one server that makes each host go through all servers.
func TestCostOfAChangeDoesNotGrowWithTheServers(t *testing.T) {
	cost := func(servers int) float64 {
		g := New(Identity{Domain: "d"}, Platform{}, logs.Discard())
		g.services["s"] = g.newService("s", true)
		g.services["t"] = g.newService("t", false)
		put := func(i int, revision uint64) {
			name := []string{"s", "t"}[i%2]
			g.directory.Put(0, fleet.Version{Server: fleet.Server{ID: fmt.Sprintf("i%05d", i), Service: name, Domain: "d", Slots: 4}, Revision: revision})
		}
		for i := range servers {
			put(i, uint64(i+1))
		}
		g.distributeServers()
		revision := uint64(servers)
		return testing.AllocsPerRun(100, func() {
			revision++
			put(int(revision)%servers, revision)
			g.distributeServers()
		})
	}
	few, many := cost(100), cost(10000)
	assert.Assert(t, many <= few+2, "%v allocations with 100 servers, %v with 10,000", few, many)
}

// Guards against a service that keeps using a server which has moved to another service.
func TestServerOfAnotherServiceIsGone(t *testing.T) {
	g := New(Identity{Domain: "d"}, Platform{}, logs.Discard())
	g.services["s"], g.services["t"] = g.newService("s", true), g.newService("t", false)
	put := func(service string, revision uint64) {
		g.directory.Put(0, fleet.Version{Server: fleet.Server{ID: "i", Service: service, Domain: "d", Slots: 4}, Revision: revision})
		g.distributeServers()
	}
	put("s", 1)
	assert.Equal(t, len(g.services["s"].serverStates()), 1)
	assert.Equal(t, len(g.services["t"].serverStates()), 0)
	put("t", 2)
	assert.Equal(t, len(g.services["s"].serverStates()), 0)
	assert.Equal(t, len(g.services["s"].view.registered), 0)
	assert.Equal(t, len(g.services["t"].serverStates()), 1)
}

func serverEntry(i int) objects.Object {
	return objects.Object{Kind: "servers", Name: fmt.Sprintf("i-%06d", i), Revision: uint64(i + 1),
		Spec: fmt.Appendf(nil, `{"service":"s","address":"10.0.%d.%d:8080","zone":"a","version":"v1","slots":4,"state":"ready","cold-remaining":"0ms","seq":1}`, i/250, i%250)}
}

func serverEntries(from, to int) objects.Listing {
	listing := objects.Listing{Revision: uint64(to)}
	for i := from; i < to; i++ {
		listing.Objects = append(listing.Objects, serverEntry(i))
	}
	return listing
}

// Guards against hosts that list thousands of servers again because they are some hundreds of
// changes behind while all servers register.
func TestHostFarBehindGetsChanges(t *testing.T) {
	const servers, batch = 10000, 500
	var r relayCache
	r.update("servers", objects.Listing{Revision: 1}, true)
	for from := 1; from < servers; from += batch {
		r.update("servers", serverEntries(from, min(from+batch, servers)), false)
	}
	assert.Equal(t, len(r.kind("servers").documentChanges), 0, "versions of entries are kept although no deltas are made from them")
	known := map[string]bool{}
	for after := uint64(1); after < servers; {
		listing, _, ok := r.changesSince("servers", after)
		assert.Assert(t, ok)
		assert.Assert(t, len(listing.Objects) <= maxChangesPerAnswer+batch, "%d in one answer", len(listing.Objects))
		for _, object := range listing.Objects {
			known[object.Name] = true
		}
		after = listing.Revision
	}
	assert.Equal(t, len(known), servers-1)
}

// Guards against deletions that a host does not learn of, or that are kept without bound.
func TestRelayReportsDeletions(t *testing.T) {
	var r relayCache
	r.update("servers", serverEntries(0, 100), true)
	revision := uint64(100)
	for i := range 5 * maxTombstones {
		object := serverEntry(i % 50)
		revision++
		object.Revision, object.Deleted = revision, i%100 < 50
		r.update("servers", objects.Listing{Revision: revision, Objects: []objects.Object{object}}, false)
	}
	_, _, ok := r.changesSince("servers", 100)
	assert.Assert(t, !ok, "the host has to list again")
	assert.Assert(t, len(r.kind("servers").history) <= 2*100+2*maxTombstones)
	listing, _, ok := r.changesSince("servers", revision-200)
	assert.Assert(t, ok)
	last := map[string]bool{}
	for _, object := range listing.Objects {
		last[object.Name] = object.Deleted
	}
	for name, deleted := range last {
		_, present := r.kind("servers").current[name]
		assert.Equal(t, present, !deleted, name)
	}
	assert.Equal(t, len(last), 50)
}

// A list of thousands of servers is sent between hosts in compressed pages.
func TestListsPassInPages(t *testing.T) {
	const servers = 2*listPageSize + 10
	source := New(Identity{Host: "source"}, Platform{}, logs.Discard())
	source.relayCache.update("servers", serverEntries(0, servers), true)
	var pages, bodies int
	handler := source.PeerHandler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		pages++
		bodies = max(bodies, recorder.Body.Len())
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	host := New(Identity{Host: "host"}, Platform{}, logs.Discard())
	listing, _, err := host.listFromPeer(context.Background(), strings.TrimPrefix(server.URL, "http://"), "servers")
	assert.NilError(t, err)
	assert.DeepEqual(t, listing, serverEntries(0, servers))
	assert.Equal(t, pages, 3)
	assert.Assert(t, bodies < 100<<10, "%d bytes of a page", bodies)
}

// Guards against hosts of an earlier version that can't decode columns and would take an
// answer for an empty one: they are refused, so that they call the store.
func TestEarlierHostsAreRefused(t *testing.T) {
	g := New(Identity{Host: "h"}, Platform{}, logs.Discard())
	g.relayCache.update("servers", serverEntries(0, 3), true)
	g.freshness.acceptConfirmation(g.now(), confirmationFrom(g.now(), "controller", nil))
	for path, body := range map[string]string{pathList: `{"kind":"servers"}`, pathWatch: `{"kind":"servers","revision":1,"waitMs":1}`} {
		recorder := httptest.NewRecorder()
		g.PeerHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		assert.Equal(t, recorder.Code, http.StatusServiceUnavailable, path)
	}
}

// A host that does not accept compressed answers gets uncompressed ones.
func TestAnswersAreCompressedForThoseWhoTakeIt(t *testing.T) {
	g := New(Identity{}, Platform{}, logs.Discard())
	for _, accepted := range []string{"", "gzip"} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, pathList, nil)
		request.Header.Set("Accept-Encoding", accepted)
		g.writePeerResponse(recorder, request, serverEntries(0, 100))
		body := recorder.Body.Bytes()
		assert.Equal(t, recorder.Header().Get("Content-Encoding"), accepted)
		if accepted != "" {
			reader, err := gzip.NewReader(bytes.NewReader(body))
			assert.NilError(t, err)
			var decoded bytes.Buffer
			_, err = decoded.ReadFrom(reader)
			assert.NilError(t, err)
			body = decoded.Bytes()
		}
		var got objects.Listing
		assert.NilError(t, json.Unmarshal(body, &got))
		assert.DeepEqual(t, got, serverEntries(0, 100))
	}
}

// Guards against a forged entry that is taken for one that another host has decoded.
func TestTextInTheRegistryIsNoEntry(t *testing.T) {
	g := New(Identity{}, Platform{Registry: platform.Registry{}}, logs.Discard())
	forged := objects.Object{Kind: "servers", Name: "i-1", Revision: 1, Spec: []byte(`"s\t10.0.0.1:80\ta\t4\tready\t0\t0"`)}
	reader := &entryReader{gateway: g, reported: map[string]uint64{}}
	assert.Assert(t, !reader.read(forged).Unreadable, "as another host sends it")
	listing := g.peerListing("servers", objects.Listing{Objects: []objects.Object{forged, serverEntry(1)}})
	assert.Assert(t, reader.read(listing.Objects[0]).Unreadable, "as the registry holds it")
	assert.Equal(t, reader.read(listing.Objects[1]).Service, "s")
}

// Guards against a number of followers of a relay or controller that grows in proportion to
// the number of hosts.
func TestFollowersGrowWithTheRootOfTheHosts(t *testing.T) {
	for _, hosts := range []int{100, 400, 1000, 4000} {
		m := newMembers()
		name := func(i int) string { return fmt.Sprintf("h%04d", i) }
		domain := func(i int) string { return fmt.Sprintf("d%d", i%5) }
		for i := range hosts {
			m.add(name(i), member{address: name(i), domain: domain(i), small: i >= hosts/20})
		}
		followers := map[string]int{}
		for i := range hosts {
			followers[m.relaysFor(name(i), domain(i), 0)[0]]++
		}
		bound := 1.6 * max(maxDirectFollowers, math.Sqrt(float64(hosts)))
		for relay, n := range followers {
			assert.Assert(t, float64(n) <= bound, "%d of %d hosts follow %s", n, hosts, relay)
		}
		assert.Assert(t, float64(len(followers)) <= bound+10, "%d relays of %d hosts follow the controller", len(followers), hosts)
	}
}

// Guards against relays that are chosen while only the first few hosts report, and that all
// hosts then follow.
func TestRelaysAreNamedAnewAsHostsCome(t *testing.T) {
	const hosts = 1000
	m := newMembers()
	named := map[string]int{}
	for i := range hosts {
		name := fmt.Sprintf("h%04d", i)
		m.add(name, member{address: name, domain: "d", small: i%20 > 0})
		if relays := m.relaysFor(name, "d", 0); len(m.hosts) > maxDirectFollowers {
			named[relays[0]]++
		}
	}
	// Each time that the number of hosts doubles, new relays are chosen, each for as many
	// hosts as may follow it.
	most := int(maxDirectFollowers * math.Ceil(math.Log2(hosts/maxDirectFollowers)))
	for relay, n := range named {
		assert.Assert(t, n <= most, "%s is named to %d of %d hosts", relay, n, hosts)
	}
}

// Guards against first reports that all reach a new controller within a few milliseconds.
func TestFirstReportsAreSpread(t *testing.T) {
	within := map[time.Duration]int{}
	for i := range 1000 {
		g := New(Identity{Host: fmt.Sprintf("h%d", i)}, Platform{}, logs.Discard())
		g.hosts.update(0, 1000)
		delay := g.firstReportDelay(&serviceControl{service: newService("s", Identity{}, true, g.now)}, &keyspace.Record{})
		assert.Assert(t, delay <= maxReportSpread)
		within[delay/(10*time.Millisecond)]++
	}
	for _, n := range within {
		assert.Assert(t, n < 50, "%d of 1000 in 10 ms", n)
	}
}
