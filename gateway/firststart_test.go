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

// entryReads counts the calls by which a host reads servers' entries in the store.
type entryReads struct {
	store *platformtest.Store
	calls atomic.Int64
}

// ServeHTTP implements http.Handler.
func (e *entryReads) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/servers") {
		e.calls.Add(1)
	}
	e.store.ServeHTTP(w, r)
}

// Guards against hosts that all read the entries of all servers in the store as the whole
// system starts: only the one that has claimed control does.
func TestOneHostReadsTheEntriesAtTheFirstStart(t *testing.T) {
	const hosts = 6
	s := newSite(t)
	s.configure(1, "")
	s.startServer("owned-1", "owned", true)
	s.startServer("free-1", "free", false)
	var reads []*entryReads
	for i := range hosts {
		front := &entryReads{store: s.store}
		reads = append(reads, front)
		s.start(hostOptions{name: fmt.Sprintf("h%d", i), store: s.listen(front), firstStart: true})
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

// withoutEntries is a store that turns away reads of servers' entries.
type withoutEntries struct{ store *platformtest.Store }

// ServeHTTP implements http.Handler.
func (e withoutEntries) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/servers") {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.store.ServeHTTP(w, r)
}

// Guards against hosts that all wait for a controller to tell them of the servers, and for the
// servers to claim control.
func TestHostThatKnowsNoServersYetClaimsControl(t *testing.T) {
	s, first := newSmallSite(t)
	s.eventually("all keys are served", func() bool { return s.allServed(first) })
	before := s.assignment()
	first.kill()
	late := s.start(hostOptions{name: "late", store: s.listen(withoutEntries{s.store})})
	s.eventually("control is claimed", func() bool { return s.assignment().Controller.Address == late.peers.address })
	assert.Assert(t, !late.gateway.Ready())
	assert.DeepEqual(t, s.assignment().Ranges, before.Ranges)
}

// Guards against a first assignment of the few servers that register first: those that come
// later would have to be given keys of theirs, each by a move.
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
