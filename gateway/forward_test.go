package gateway_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// newSiteWithoutLinksAt returns a site of three hosts whose first one has lost its links.
func newSiteWithoutLinksAt(t *testing.T) (*site, *hostUnderTest) {
	s := newSiteOfHosts(t, 3)
	cut := s.hosts[0]
	s.loseLinks(cut)
	return s, cut
}

// loseLinks cuts a host's links and waits until the host knows.
func (s *site) loseLinks(h *hostUnderTest) {
	s.t.Helper()
	h.links.SetFault(platformtest.LinksReset)
	services := "1"
	if _, keyed := s.record(); keyed {
		services = "2"
	}
	s.eventually("the host knows that its links are lost", func() bool {
		s.callWithin(h, http.MethodGet, "/free/x", "", "", 500*time.Millisecond)
		return h.linksLost() == services
	})
}

// totalRuns returns how many requests have run.
func (s *site) totalRuns() int {
	total := 0
	for _, server := range s.servers {
		total += len(server.Runs())
	}
	return total
}

// What happens to a request whose peer fails. A request that a peer has received may have run, so it
// is neither answered with 503 nor forwarded again.
func TestPeerFailsForwardedRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults [2]peerFault // of the two hosts with links
		status int
		runs   int
	}{
		{"none", [2]peerFault{peerWorks, peerWorks}, http.StatusOK, 1},
		{"ends before it handles the request", [2]peerFault{peerDropsRequest, peerDropsRequest}, http.StatusBadGateway, 0},
		{"ends before it answers", [2]peerFault{peerDropsResponse, peerDropsResponse}, http.StatusBadGateway, 1},
		{"breaks off its answer", [2]peerFault{peerTruncatesResponse, peerTruncatesResponse}, http.StatusBadGateway, 1},
		{"is another program", [2]peerFault{peerIsForeign, peerIsForeign}, http.StatusBadGateway, 0},
		{"one declines", [2]peerFault{peerDeclines, peerWorks}, http.StatusOK, 1},
		{"the other declines", [2]peerFault{peerWorks, peerDeclines}, http.StatusOK, 1},
		{"all decline", [2]peerFault{peerDeclines, peerDeclines}, http.StatusServiceUnavailable, 0},
	} {
		for _, path := range []string{"/free/x", "/once/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				s, cut := newSiteWithoutLinksAt(t)
				for i, fault := range c.faults {
					s.hosts[1+i].peers.fault.Store(int32(fault))
				}
				before := s.totalRuns()
				got := s.call(cut, http.MethodPost, path, "", "body")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, c.status, got.body)
				assert.Equal(t, s.totalRuns()-before, c.runs)
				assert.Equal(t, got.header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
				assert.Equal(t, got.header.Get("Cicada-Forward-Result"), "", "a header between hosts reached the caller")
			})
		}
	}
}

// Guards against requests that go in circles or wait where no host reaches a server.
func TestAllHostsWithoutLinksRejectAtOnce(t *testing.T) {
	s := newSiteOfHosts(t, 3)
	for _, h := range s.hosts {
		s.loseLinks(h)
	}
	before := s.totalRuns()
	forwards := map[*hostUnderTest]int64{}
	for _, h := range s.hosts {
		forwards[h] = h.peers.forwards.Load()
	}
	got := s.call(s.hosts[0], http.MethodGet, "/free/x", "", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, s.totalRuns(), before)
	assert.Equal(t, s.hosts[0].peers.forwards.Load(), forwards[s.hosts[0]], "a forwarded request came back")
	for _, h := range s.hosts[1:] {
		assert.Assert(t, h.peers.forwards.Load()-forwards[h] <= 1)
	}
}

// Method, path, query and body reach a server unchanged through a peer, also a body and an answer
// that are longer than what hosts buffer.
func TestForwardedRequestPassesUnchanged(t *testing.T) {
	s, cut := newSiteWithoutLinksAt(t)
	body := strings.Repeat("long ", 18000)
	got := s.call(cut, http.MethodPost, "/once/a%2Fb?x=1&y=%20", "", body)
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(got.body, " POST /once/a%2Fb?x=1&y=%20 "+body))
	assert.Assert(t, strings.HasPrefix(got.header.Get(platformtest.SignatureHeader), "signed by f"))
	for _, server := range s.servers {
		server.SetFaults(platformtest.ServerFaults{LargeErrors: 1})
	}
	got = s.call(cut, http.MethodPost, "/once/x", "", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, len(got.body), 300<<10)
}

// A peer passes on how much of the caller's time is left, and the caller's key reaches the owner.
func TestForwardedRequestKeepsDeadline(t *testing.T) {
	s, cut := newSiteWithoutLinksAt(t)
	var mu sync.Mutex
	var timeouts []string
	for i := range 6 {
		s.remove("servers", fmt.Sprintf("f%d", i))
	}
	s.register("slow", "free", s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		timeouts = append(timeouts, r.Header.Get("X-Deadline-Ms"))
		mu.Unlock()
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set(platformtest.SignatureHeader, "signed")
	})), "ready")
	s.eventually("the server is used", func() bool {
		got := s.callWithin(cut, http.MethodGet, "/free/x", "", "", 700*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		return got.status == http.StatusOK && len(timeouts) > 0
	})
	timeoutsOf := func() (left []float64) {
		mu.Lock()
		defer mu.Unlock()
		for _, text := range timeouts {
			millis, err := strconv.ParseFloat(text, 64)
			assert.NilError(t, err)
			left = append(left, millis)
		}
		return left
	}
	for _, left := range timeoutsOf() {
		assert.Assert(t, left > 0 && left <= 700, "a server was given %v ms", left)
	}
	// Time that has passed at the first host is not given again.
	known := len(timeoutsOf())
	s.eventually("the peer uses the server", func() bool {
		direct, err := http.NewRequest(http.MethodGet, "http://"+s.hosts[1].peers.address+"/free/x", nil)
		assert.NilError(t, err)
		direct.Host = "site.example"
		direct.Header.Set("X-Request-Id", "direct")
		direct.Header.Set("X-Deadline-Ms", "700")
		direct.Header.Set("Cicada-Forward", `{"host":"h0","elapsedMicros":500000,"configuration":3}`)
		response, err := http.DefaultClient.Do(direct)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return len(timeoutsOf()) > known
	})
	assert.Assert(t, timeoutsOf()[known] <= 200, "a server was given %v ms of 200", timeoutsOf()[known])
	for _, key := range []string{"0", "30000", "65535"} {
		assert.Equal(t, s.call(cut, http.MethodGet, "/keyed/x", key, "").status, http.StatusOK)
	}
}

// Guards against servers working for callers that have left: the peer has to learn of it.
func TestServerOfForwardedRequestStopsWhenCallerLeaves(t *testing.T) {
	s := newSite(t)
	const work = 15 * time.Second
	running := make(chan struct{}, 1)
	stopped := make(chan struct{}, 1)
	s.startServer("f0", "free", false)
	s.startServer("f1", "free", false)
	s.configureKeyless(3)
	cut := s.startHost("h0")
	s.startHost("h1")
	for _, h := range s.hosts {
		s.eventually("requests are served", func() bool { return s.call(h, http.MethodGet, "/free/x", "", "").status == http.StatusOK })
		s.eventually("the host knows its peer", func() bool { return metric(h, "cicada_peers") == "1" })
	}
	s.loseLinks(cut)
	for _, id := range []string{"f0", "f1"} {
		s.remove("servers", id)
	}
	s.register("slow", "free", s.listen(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		select {
		case <-r.Context().Done():
			stopped <- struct{}{}
		case <-time.After(work):
		}
	})), "ready")
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	go func() {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, cut.callers.URL+"/free/x", nil)
		if err != nil {
			return
		}
		request.Host = "site.example"
		request.Header.Set("X-Request-Id", "leaving")
		for ctx.Err() == nil {
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	select {
	case <-running:
	case <-time.After(waitTimeout):
		t.Fatal("the request does not reach the server")
	}
	leave()
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the server goes on working")
	}
}

// linkSeeds is the number of seeds of TestPromisesWhileLinksAndPeersFail, by hand 50 or more.
var linkSeeds = flag.Uint64("links.seeds", 3, "number of seeds of the test of failing links and peers")

// Promises hold whatever happens to links, peers and processes: a request that may run once does, one
// that was answered with 503 has not run and does not later, a successful answer is the right one, no
// request runs more often than its route allows, and no key has two holders.
func TestPromisesWhileLinksAndPeersFail(t *testing.T) {
	for seed := range *linkSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSiteOfHosts(t, 3)
			ctx, end := context.WithTimeout(t.Context(), 6*time.Second)
			defer end()
			callers := &mixedCallers{site: s}
			for i := range 9 {
				callers.running.Go(func() { callers.run(ctx, i) })
			}
			s.failLinksAndPeers(ctx, rand.New(rand.NewPCG(seed, 47)))
			callers.running.Wait()
			for _, h := range s.hosts {
				h.peers.fault.Store(int32(peerWorks))
				h.links.SetFault(platformtest.LinksUp) // delivers what silent links have held
			}
			for _, h := range s.hosts {
				s.eventually("all keys are served again", func() bool {
					return s.call(h, http.MethodGet, "/keyed/x", "1", "").status == http.StatusOK && s.call(h, http.MethodGet, "/keyed/x", "60000", "").status == http.StatusOK
				})
			}
			callers.check()
		})
	}
}

// failLinksAndPeers starts and ends faults of links and peers, restarts hosts and changes the
// configuration until the context ends.
func (s *site) failLinksAndPeers(ctx context.Context, random *rand.Rand) {
	for version := 4; ctx.Err() == nil; version++ {
		n := random.IntN(len(s.hosts))
		h := s.hosts[n]
		switch random.IntN(8) {
		case 0, 1:
			h.peers.fault.Store(int32(random.IntN(int(peerFaults))))
		case 2:
			s.configure(version, "")
		case 3:
			s.restart(n)
		default:
			h.links.SetFault(platformtest.LinkFault(random.IntN(int(platformtest.LinksResetRefuse) + 1)))
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
	}
}

// mixedCallers send requests of all kinds to all hosts in turn, and check the answers.
type mixedCallers struct {
	site    *site
	running sync.WaitGroup

	mu      sync.Mutex
	refused []string // IDs of requests that were answered with 503
}

func (c *mixedCallers) run(ctx context.Context, caller int) {
	for n := caller; ctx.Err() == nil; n++ {
		path, key, method := "/once/x", "", http.MethodPost
		if n%3 == 1 {
			path, method = "/free/x", http.MethodGet
		} else if n%3 == 2 {
			path, key = "/keyed/x", fmt.Sprint(n*977%65536)
		}
		body := fmt.Sprint(caller, "-", n)
		got, id := c.site.callTraced(c.site.hostAt(n/3), method, path, key, body, time.Second)
		if got.err == nil && got.status == http.StatusServiceUnavailable {
			c.mu.Lock()
			c.refused = append(c.refused, id)
			c.mu.Unlock()
		}
		if got.err == nil && got.status == http.StatusOK && !strings.HasSuffix(got.body, " "+body) {
			c.site.t.Errorf("the answer to %q is %q", body, got.body)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (c *mixedCallers) check() {
	t := c.site.t
	c.site.noRequestRanTwice()
	assert.Equal(t, len(c.site.owners.Violations()), 0, "%v", c.site.owners.Violations())
	runs := c.site.runsByID()
	for _, id := range c.refused {
		assert.Equal(t, runs[id], 0, "request %s was refused and ran", id)
	}
	for id, n := range runs {
		assert.Assert(t, n <= 2, "request %s ran %d times", id, n)
	}
}
