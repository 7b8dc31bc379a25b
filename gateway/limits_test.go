package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// limitedLoad is the load on a service some of whose servers are limited.
type limitedLoad struct {
	path string
	// callers is how many callers send requests with pauses. An uneven load sends most of
	// them to one host.
	callers int
	skewed  bool
	length  time.Duration
	// during runs concurrently with the load.
	during func(ctx context.Context)
}

// sendLoad sends the load and returns how many requests were sent and served.
func (s *site) sendLoad(load limitedLoad) (sent, served int64) {
	const pause = 40 * time.Millisecond
	ctx, end := context.WithTimeout(context.Background(), load.length)
	defer end()
	var callers sync.WaitGroup
	var sentCount, servedCount atomic.Int64
	for range load.callers {
		callers.Go(func() {
			for ctx.Err() == nil {
				n := rand.IntN(len(s.hosts))
				if load.skewed && rand.IntN(5) > 0 {
					n = 0
				}
				got := s.call(s.hosts[n], http.MethodGet, fmt.Sprintf("%s%d", load.path, rand.IntN(1000)), strconv.Itoa(rand.IntN(65536)), "")
				sentCount.Add(1)
				if got.status == http.StatusOK {
					servedCount.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	if load.during != nil {
		callers.Go(func() { load.during(ctx) })
	}
	callers.Wait()
	return sentCount.Load(), servedCount.Load()
}

// newLimitSite returns a site with four servers in each service and some hosts, after all keys
// have owners and the hosts know their number.
func newLimitSite(t *testing.T, hosts int) *site {
	t.Helper()
	s := newSite(t)
	for i := range 4 {
		s.startServer(fmt.Sprintf("f%d", i), "free", false)
		s.startServer(fmt.Sprintf("k%d", i), "owned", true)
	}
	s.configure(3, "")
	for i := range hosts {
		s.startHost(fmt.Sprintf("host-%d", i))
	}
	s.eventually("keys are served", func() bool {
		for key := 0; key < 65536; key += 4096 {
			if s.call(s.hosts[0], http.MethodGet, "/keyed/x", strconv.Itoa(key), "").status != http.StatusOK {
				return false
			}
		}
		return true
	})
	s.eventually("the hosts are counted", func() bool { return s.countsHosts(hosts) })
	return s
}

// metric returns the value of a host's counter or gauge.
func metric(h *hostUnderTest, name string) string {
	var page strings.Builder
	h.gateway.WriteMetrics(&page)
	_, after, _ := strings.Cut(page.String(), name+" ")
	value, _, _ := strings.Cut(after, "\n")
	return value
}

// assertWithinLimits checks that a server got no more requests than its limits allow.
func assertWithinLimits(t *testing.T, server *platformtest.Server) {
	t.Helper()
	for _, use := range server.LimitUses(platformtest.Always) {
		t.Logf("%s got at most %v", server.ID, use)
		assert.Assert(t, !use.Exceeded(), "%s got %v", server.ID, use)
	}
}

// Guards against hosts that keep sending a server all requests for its keys after it has
// announced a rate limit for all hosts together.
func TestLimitOfAServerHoldsOverAllHosts(t *testing.T) {
	for name, play := range map[string]struct {
		path    string
		limited []string
		uneven  bool
	}{
		"one owner of keys":        {path: "/keyed/", limited: []string{"k1"}},
		"one owner, uneven load":   {path: "/keyed/", limited: []string{"k1"}, uneven: true},
		"all owners of keys":       {path: "/keyed/", limited: []string{"k0", "k1", "k2", "k3"}},
		"one of many servers":      {path: "/free/", limited: []string{"f1"}},
		"all servers":              {path: "/free/", limited: []string{"f0", "f1", "f2", "f3"}},
		"all servers, uneven load": {path: "/free/", limited: []string{"f0", "f1", "f2", "f3"}, uneven: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLimitSite(t, 3)
			for _, id := range play.limited {
				s.servers[id].SetLimit(3)
			}
			sent, served := s.sendLoad(limitedLoad{path: play.path, callers: 8, skewed: play.uneven, length: 9 * time.Second})
			t.Logf("%d of %d served", served, sent)
			for _, h := range s.hosts {
				t.Logf("a host knows %s limited servers and sent them %s requests", metric(h, "cicada_limited_servers"), metric(h, "cicada_limited_sends_total"))
			}
			for _, id := range play.limited {
				assertWithinLimits(t, s.servers[id])
			}
			assert.Assert(t, served > 0)
		})
	}
}

// Guards against deployments without keys in which no host forwards notices or schedules
// reservations: each host would keep to its share for the largest possible number of hosts.
func TestHostsWithoutKeyedServicesHaveAController(t *testing.T) {
	s := newSite(t)
	deadly := &platformtest.DeadlyRequest{PathPrefix: "/free/deadly"}
	s.startCrashing(&crashingServers{deadly: deadly, service: "free", count: 6, maxRestarts: 3})
	for i := range 3 {
		s.startServer(fmt.Sprintf("f%d", i), "free", false)
	}
	s.configureKeyless(3)
	for i := range 3 {
		s.startHost(fmt.Sprintf("host-%d", i))
	}
	s.eventually("three servers have ended", func() bool {
		s.call(s.hosts[0], http.MethodGet, "/free/deadly", "", "")
		return deadly.Terminations() >= 3
	})
	for _, h := range s.hosts {
		s.waitQuarantined(h)
	}
	for i := range 3 {
		s.servers[fmt.Sprintf("f%d", i)].SetLimit(3)
	}
	deadly.Disable()
	sent, served := s.sendLoad(limitedLoad{path: "/free/", callers: 6, length: 8 * time.Second})
	t.Logf("%d of %d served", served, sent)
	for i := range 3 {
		assertWithinLimits(t, s.servers[fmt.Sprintf("f%d", i)])
	}
}
