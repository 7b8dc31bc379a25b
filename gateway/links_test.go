package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// linkFaults are the ways in which a host loses its links to the servers.
var linkFaults = map[string]platformtest.LinkFault{
	"silent": platformtest.LinksSilent, "one way": platformtest.LinksOneWay,
	"reset": platformtest.LinksReset, "new connections refused": platformtest.LinksRefuse,
	"reset and refused": platformtest.LinksResetRefuse,
}

// contactTime is how long after the loss of its links a host must serve its callers like other
// hosts.
const contactTime = 3 * time.Second

// newSiteOfHosts returns a site with six servers of each service, and hosts that are ready.
func newSiteOfHosts(t *testing.T, hosts int) *site {
	s := newSite(t)
	for i := range 6 {
		s.startServer(fmt.Sprintf("f%d", i), "free", false)
		s.startServer(fmt.Sprintf("k%d", i), "owned", true)
	}
	s.configure(3, "")
	for i := range hosts {
		s.startUnready(fmt.Sprintf("h%d", i))
	}
	for _, h := range s.hosts {
		s.eventually("the host is ready", h.gateway.Ready)
		s.eventually("all keys are served", func() bool {
			return s.call(h, http.MethodGet, "/keyed/x", "1", "").status == http.StatusOK &&
				s.call(h, http.MethodGet, "/keyed/x", "60000", "").status == http.StatusOK
		})
		s.eventually("the host knows its peers", func() bool { return metric(h, "cicada_peers") == fmt.Sprint(hosts-1) })
	}
	return s
}

// servedCount counts requests by whether they were served.
type servedCount struct{ sent, served int }

// callConcurrently sends batches of concurrent requests to a host for a time, as callers do that
// wait for their answers: idempotent ones, ones that may run once, and ones with keys.
func (s *site) callConcurrently(h *hostUnderTest, duration time.Duration) servedCount {
	const (
		callers = 12
		pause   = 10 * time.Millisecond
	)
	kinds := []struct{ method, path, key string }{{http.MethodGet, "/free/x", ""}, {http.MethodPost, "/once/x", ""}, {http.MethodGet, "/keyed/x", "1"}, {http.MethodGet, "/keyed/x", "60000"}}
	var mu sync.Mutex
	var total servedCount
	var done sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range callers {
		done.Go(func() {
			for n := i; time.Now().Before(end); n++ {
				kind := kinds[n%len(kinds)]
				got := s.callWithin(h, kind.method, kind.path, kind.key, "body", time.Second)
				mu.Lock()
				total.sent++
				if got.err == nil && got.status == http.StatusOK {
					total.served++
				}
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	done.Wait()
	return total
}

// Guards against callers being refused or left waiting at a host that has lost its links to all
// servers while other hosts reach them.
func TestCallersOfHostWithoutLinksToServersAreServed(t *testing.T) {
	for name, fault := range linkFaults {
		t.Run(name, func(t *testing.T) {
			s := newSiteOfHosts(t, 3)
			cut := s.hosts[0]
			s.callConcurrently(cut, 200*time.Millisecond)
			cut.links.SetFault(fault)
			s.callConcurrently(cut, contactTime)
			got := s.callConcurrently(cut, time.Second)
			assert.Assert(t, got.sent-got.served <= 10+got.sent/50, "%d of %d requests were served", got.served, got.sent)
			s.noRequestRanTwice()
			cut.links.SetFault(platformtest.LinksUp)
			s.eventually("the host uses its links again", func() bool { return cut.linksLost() == "0" })
			got = s.callConcurrently(cut, 500*time.Millisecond)
			assert.Assert(t, got.sent-got.served <= 10+got.sent/50, "%d of %d requests were served after the links were restored", got.served, got.sent)
		})
	}
}

// Guards against callers being refused at a host that has lost its links to the servers of one service
// and still reaches those of others.
func TestCallersOfHostWithoutLinksToOneServiceAreServed(t *testing.T) {
	for name, service := range map[string]string{"service without keys": "f", "service with keys": "k"} {
		t.Run(name, func(t *testing.T) {
			s := newSiteOfHosts(t, 3)
			cut := s.hosts[0]
			var addresses []string
			for id, address := range s.addresses {
				if strings.HasPrefix(id, service) {
					addresses = append(addresses, address)
				}
			}
			cut.links.SetFault(platformtest.LinksSilent, addresses...)
			s.callConcurrently(cut, contactTime)
			assert.Equal(t, cut.linksLost(), "1")
			got := s.callConcurrently(cut, time.Second)
			assert.Assert(t, got.sent-got.served <= 10+got.sent/50, "%d of %d requests were served", got.served, got.sent)
		})
	}
}

// Guards against the leases of all keys running out because their controller has lost its links to
// the servers: the store and the hosts still reach it, so that no other host takes over.
func TestKeysOutlastControllerWithoutLinksToServers(t *testing.T) {
	for name, fault := range linkFaults {
		t.Run(name, func(t *testing.T) {
			s := newSiteOfHosts(t, 3)
			controller, other := s.controller()
			controller.links.SetFault(fault)
			const leases = 6 * time.Second
			served := s.callConcurrently(other, leases)
			assert.Assert(t, served.sent-served.served <= 10+served.sent/50, "%d of %d requests were served at a host with links", served.served, served.sent)
			for _, server := range s.servers {
				if server.Keyed {
					assert.Assert(t, server.HoldsAny(0, 65535), "server %s holds no keys", server.ID)
				}
			}
			assert.Equal(t, len(s.owners.Violations()), 0, "%v", s.owners.Violations())
		})
	}
}

// Guards against control changing hands again and again while no host reaches the servers.
func TestControllerKeepsRoleWhileNoHostHasLinks(t *testing.T) {
	s := newSiteOfHosts(t, 3)
	for _, h := range s.hosts {
		s.loseLinks(h)
	}
	before, _ := s.record()
	s.callConcurrently(s.hosts[0], 4*time.Second)
	after, _ := s.record()
	assert.Assert(t, after.Term <= before.Term+1, "the term went from %d to %d", before.Term, after.Term)
	for _, h := range s.hosts {
		h.links.SetFault(platformtest.LinksUp)
	}
	for _, h := range s.hosts {
		s.eventually("all keys are served again", func() bool {
			return s.call(h, http.MethodGet, "/keyed/x", "1", "").status == http.StatusOK
		})
	}
}

// Guards against requests that wait for their deadlines on connections that have fallen silent, although
// they may be repeated.
func TestRequestsOnSilentConnectionsAreForwarded(t *testing.T) {
	s := newSite(t)
	for i := range 6 {
		s.startServer(fmt.Sprintf("f%d", i), "free", false)
	}
	s.configureKeyless(3)
	const retries = 200 // more than there are requests
	for _, name := range []string{"h0", "h1"} {
		s.start(hostOptions{name: name, store: s.address, retryReserve: retries})
	}
	cut := s.hosts[0]
	s.eventually("the host knows its peer", func() bool { return metric(cut, "cicada_peers") == "1" })
	for range 50 {
		s.call(cut, http.MethodGet, "/free/x", "", "") // opens connections
	}
	cut.links.SetFault(platformtest.LinksSilent)
	var done sync.WaitGroup
	for i := range 20 {
		done.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			got := s.callWithin(cut, http.MethodGet, "/free/x", "", "", 3*time.Second)
			if got.err != nil || got.status != http.StatusOK && got.status != http.StatusServiceUnavailable {
				t.Errorf("a request got status %d, error %v", got.status, got.err)
			}
		})
	}
	done.Wait()
	assert.Equal(t, cut.linksLost(), "1")
}

// Guards against running requests twice that are under way on open connections, while servers answer on
// these and only new connections fail, as they do when servers are overloaded.
func TestRequestsOnWorkingConnectionsAreNotAborted(t *testing.T) {
	s := newSite(t)
	const (
		work  = 400 * time.Millisecond
		calls = 16 // a third of the slots
	)
	for i := range 6 {
		s.startServer(fmt.Sprintf("f%d", i), "free", false).Work = work
	}
	s.configureKeyless(3)
	cut := s.startHost("h0")
	s.startHost("h1")
	s.eventually("the host knows its peer", func() bool { return metric(cut, "cicada_peers") == "1" })
	// call keeps 16 requests under way, the first ones on connections that are open by then.
	call := func(during func()) {
		var done sync.WaitGroup
		for i := range calls {
			done.Go(func() {
				time.Sleep(time.Duration(i) * work / calls)
				got := s.callWithin(cut, http.MethodGet, "/free/x", "", "", 3*time.Second)
				if got.err != nil || got.status != http.StatusOK {
					t.Errorf("a request got status %d, error %v", got.status, got.err)
				}
			})
		}
		during()
		done.Wait()
	}
	call(func() {})
	before := s.totalRuns()
	call(func() { time.AfterFunc(work/2, func() { cut.links.SetFault(platformtest.LinksRefuse) }) })
	call(func() {
		s.eventually("the host knows that its links are lost", func() bool { return cut.linksLost() == "1" })
	})
	assert.Equal(t, s.totalRuns()-before, 2*calls, "requests ran again")
}

// Guards against taking servers for terminated, and requests for their cause at all hosts, because
// the host's own broken links reset connections and refuse new ones.
func TestLostLinksBlameNoRequest(t *testing.T) {
	s := newSite(t)
	const work = 300 * time.Millisecond
	for i := range 4 {
		s.startServer(fmt.Sprintf("f%d", i), "free", false).Work = work
	}
	s.configureKeyless(3)
	cut := s.startHost("h0")
	for range 3 {
		cut.links.SetFault(platformtest.LinksUp)
		s.eventually("the host uses its links", func() bool { return cut.linksLost() == "0" })
		var done sync.WaitGroup
		for i := range 4 {
			done.Go(func() { s.callWithin(cut, http.MethodGet, fmt.Sprintf("/free/%d", i), "", "", time.Second) })
		}
		time.AfterFunc(work/2, func() { cut.links.SetFault(platformtest.LinksResetRefuse) })
		done.Wait()
	}
	assert.Equal(t, metric(cut, "cicada_requests_at_servers_that_ended_total"), "0")
	assert.Equal(t, metric(cut, `cicada_judged_requests{verdict="suspected"}`), "0")
}
