package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"cicadarouter/platform/platformtest"
)

// storeFront is one host's way to the store. It counts the host's calls at the full
// price, and can be made to turn them away.
type storeFront struct {
	store *platformtest.Store

	mu      sync.Mutex
	calls   int
	refuses bool
}

// ServeHTTP implements http.Handler.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	if !strings.Contains(r.URL.RawQuery, "allow-stale") {
		f.calls++
	}
	refuses := f.refuses
	f.mu.Unlock()
	if refuses {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	f.store.ServeHTTP(w, r)
}

func (f *storeFront) refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuses = true
}

func (f *storeFront) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// fronted starts a host with a way to the store of its own.
func (s *site) fronted(name string, seeds ...string) (*hostUnderTest, *storeFront) {
	front := &storeFront{store: s.store}
	return s.start(hostOptions{name: name, store: s.listen(front), seeds: seeds}), front
}

// newRoute adds a route to the configuration, and has tells whether a host knows it.
func (s *site) newRoute(version int, name string) (has func(h *hostUnderTest) bool) {
	s.configure(version, fmt.Sprintf(`,{"name":%q,"path-prefix":"/%s/","kind":"safe","timeout":"5000ms","service":"free","max-attempts":1}`, name, name))
	return func(h *hostUnderTest) bool {
		return s.call(h, http.MethodGet, "/"+name+"/", "", "").status == http.StatusOK
	}
}

// Symptom: hosts that the store turns away keep an old configuration for as long
// as it does, though other hosts know the new one.
// Sequence: the store turns some hosts away; the controller is lost; another host
// takes over, of which those that are turned away never hear.
// Cause: the controller was the only host that passed on what the store holds.
func TestRefusedHostFollowsARelay(t *testing.T) {
	s, controller := newSmallSite(t)
	s.eventually("all keys are served", func() bool { return s.allServed(controller) })
	others := []*hostUnderTest{s.startHost("two"), s.startHost("three")}
	refused, front := s.fronted("refused")
	s.eventually("the refused host serves keys", func() bool { return refused.gateway.Ready() && s.allServed(refused) })
	// Relays are named with the answers to reports, of which each host gets one each
	// half second.
	const rounds, hosts = 3, 3
	enough := controller.peers.reports.Load() + rounds*hosts
	s.eventually("each host has been told relays", func() bool { return controller.peers.reports.Load() >= enough })
	front.refuse()
	more := s.newRoute(11, "more")
	s.eventually("the refused host follows the controller", func() bool { return more(refused) })
	controller.kill()
	later := s.newRoute(12, "later")
	s.eventually("all hosts know the route", func() bool { return later(others[0]) && later(others[1]) && later(refused) })
	s.eventually("another host is the controller", func() bool { return s.assignment().Controller.Host != "one" })
	last := s.newRoute(13, "last")
	s.eventually("the refused host knows the route", func() bool { return last(refused) })
}

// Symptom: a host that starts while the store is away answers every request with
// 503, though its peers serve.
// Sequence: the store is away; a host starts.
// Cause: it knew of no other host.
func TestHostThatStartsWhileTheStoreIsAwayAsksASeed(t *testing.T) {
	s, h := newSmallSite(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	s.store.SetFaults(platformtest.Faults{RejectCalls: true})
	late := s.start(hostOptions{name: "late", store: s.address, seeds: []string{h.peers.address}})
	s.eventually("the host that started serves", func() bool { return late.gateway.Ready() && s.allServed(late) })
	s.store.SetFaults(platformtest.Faults{})
	more := s.newRoute(9, "more")
	s.eventually("it follows what changes later", func() bool { return more(late) })
}

// Symptom: a start of all hosts costs a call for each kind, page of entries and
// host, and again each second until there is a controller: some 11 calls a host.
// Sequence: all hosts are killed and start again.
// Cause: every host listed the store at the full price, and watched it.
func TestSecondStartOfAllHosts(t *testing.T) {
	s, first := newSmallSite(t)
	s.eventually("all keys are served", func() bool { return s.allServed(first) })
	const hosts = 12
	started := []*hostUnderTest{first}
	for i := range hosts {
		started = append(started, s.startHost(fmt.Sprintf("host-%d", i)))
	}
	s.eventually("the assignment names relays", func() bool { return len(s.assignment().Controller.Relays) > 0 })
	before := s.assignment().Controller
	relays := append(before.Relays, before.Address)
	for _, h := range started {
		h.kill()
	}
	var again []*hostUnderTest
	var fronts []*storeFront
	for i, h := range started {
		front := &storeFront{store: s.store}
		again = append(again, s.start(hostOptions{name: fmt.Sprintf("host-%d", i), store: s.listen(front), peers: h.peers}))
		fronts = append(fronts, front)
	}
	s.eventually("all hosts serve", func() bool {
		for _, h := range again {
			if !h.gateway.Ready() || !s.allServed(h) {
				return false
			}
		}
		return true
	})
	// The relays, the hosts that the record names and a new controller ask the store;
	// the others list it at the lower price, and then follow one of them.
	relays = append(relays, s.assignment().Controller.Address)
	const mostCalls = 3 // one watch a kind
	for i, front := range fronts {
		if calls := front.count(); !slices.Contains(relays, again[i].peers.address) && calls > mostCalls {
			t.Errorf("host %d made %d calls at the full price", i, calls)
		}
	}
}
