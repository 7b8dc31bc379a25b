package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// entryReadProxy is a proxy to the store that counts a host's reads of servers' entries.
type entryReadProxy struct {
	store *platformtest.Store
	calls atomic.Int64
}

// ServeHTTP implements http.Handler.
func (e *entryReadProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/servers") {
		e.calls.Add(1)
	}
	e.store.ServeHTTP(w, r)
}

// Guards against a first start of the whole system in which every host reads the entries of
// all servers from the store: only the host that has claimed control does.
func TestOneHostReadsTheEntriesAtTheFirstStart(t *testing.T) {
	const hosts = 6
	s := newSite(t)
	s.configure(1, "")
	s.startServer("owned-1", "owned", true)
	s.startServer("free-1", "free", false)
	var reads []*entryReadProxy
	for i := range hosts {
		proxy := &entryReadProxy{store: s.store}
		reads = append(reads, proxy)
		s.start(hostOptions{name: fmt.Sprintf("h%d", i), store: s.listen(proxy), firstStart: true})
	}
	for _, h := range s.hosts {
		s.eventually("the host is ready", h.gateway.Ready)
		s.eventually("keys are served", func() bool { return s.call(h, http.MethodGet, "/keyed/", "7", "").status == http.StatusOK })
	}
	readers := 0
	for _, each := range reads {
		if each.calls.Load() > 0 {
			readers++
		}
	}
	assert.Equal(t, readers, 1)
}

// entryRefusingProxy is a proxy to the store that refuses reads of servers' entries.
type entryRefusingProxy struct{ store *platformtest.Store }

// ServeHTTP implements http.Handler.
func (e entryRefusingProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/servers") {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.store.ServeHTTP(w, r)
}

// Guards against a deadlock: all hosts wait for a controller to list the servers from, and
// none claims control because it has no servers yet.
func TestHostThatKnowsNoServersYetClaimsControl(t *testing.T) {
	s, first := newSmallSite(t)
	s.eventually("all keys are served", func() bool { return s.allServed(first) })
	before := s.assignment()
	first.kill()
	late := s.start(hostOptions{name: "late", store: s.listen(entryRefusingProxy{s.store})})
	s.eventually("control is claimed", func() bool { return s.assignment().Controller.Address == late.peers.address })
	assert.Assert(t, !late.gateway.Ready())
	assert.DeepEqual(t, s.assignment().Ranges, before.Ranges)
}

// Guards against a first assignment to only the few servers that register first: each later
// server would have to get its keys by moves.
func TestFirstAssignmentWaitsForTheServers(t *testing.T) {
	const servers = 12
	s := newSite(t)
	s.configure(1, "")
	s.startServer("owned-00", "owned", true)
	h := s.start(hostOptions{name: "h", store: s.address, firstStart: true})
	s.eventually("control is claimed", func() bool { _, claimed := s.record(); return claimed })
	s.eventually("the controller knows the first server", h.gateway.Ready)
	for i := 1; i < servers; i++ {
		s.startServer(fmt.Sprintf("owned-%02d", i), "owned", true)
	}
	s.eventually("keys are assigned", func() bool { record, _ := s.record(); return len(record.Ranges) > 0 })
	record, _ := s.record()
	owners := map[string]bool{}
	for _, r := range record.Ranges {
		owners[r.Server] = true
		assert.Assert(t, !r.Moving())
	}
	assert.Equal(t, len(owners), servers)
	s.eventually("keys are served", func() bool { return s.call(h, http.MethodGet, "/keyed/", "7", "").status == http.StatusOK })
}
