package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// serveIn starts a server and registers it in a failure domain.
func (s *site) serveIn(domain, id, service string, keyed bool) *platformtest.Server {
	server := &platformtest.Server{ID: id, Keyed: keyed, Slots: 8}
	s.servers[id] = server
	s.put("servers", id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold-remaining":"0ms","seq":1,"born":%d}`,
		service, s.listen(server), domain, int64(firstStart)))
	return server
}

// newTwoDomainSite returns a site with a server of each service in each of two domains, and one host.
func newTwoDomainSite(t *testing.T) (*site, *hostUnderTest) {
	s := newSite(t)
	for _, domain := range []string{"a", "b"} {
		s.serveIn(domain, "f-"+domain, "free", false)
		s.serveIn(domain, "k-"+domain, "owned", true)
	}
	s.configure(3, "")
	h := s.startHost("one")
	s.eventually("keys have owners", func() bool { return s.keysServed(h) == sampledKeys })
	return s, h
}

// sampledKeys is the number of keys in the sample, spread over the key space.
const sampledKeys = 16

// keysServed sends a request for each key of the sample and returns how many succeed.
func (s *site) keysServed(h *hostUnderTest) int {
	served := 0
	for i := range sampledKeys {
		if s.call(h, http.MethodGet, "/keyed/x", strconv.Itoa(i*4096), "").status == http.StatusOK {
			served++
		}
	}
	return served
}

// Guards against an evacuated failure domain whose servers, which own half of the keys, still get
// requests: hosts only handled servers that leave on their own.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	s, h := newTwoDomainSite(t)
	s.put("evacuations", "a", "{}")
	runs := func() int { return s.runs("f-a") + s.runs("k-a") }
	s.eventually("the domain gets nothing", func() bool {
		before := runs()
		served := s.keysServed(h)
		for range 4 {
			s.call(h, http.MethodGet, "/free/x", "", "")
		}
		return served == sampledKeys && runs() == before
	})
	s.remove("evacuations", "a")
	s.eventually("the domain is used again", func() bool {
		before := runs()
		s.call(h, http.MethodGet, "/free/x", "", "")
		return s.keysServed(h) == sampledKeys && runs() > before+1
	})
	s.put("evacuations", "a", "{}")
	s.eventually("the domain gets nothing again", func() bool {
		before := runs()
		return s.keysServed(h) == sampledKeys && runs() == before
	})
}

// With all domains evacuated, callers are told at once that their requests have not run and when
// to retry.
func TestAllDomainsEvacuated(t *testing.T) {
	s, h := newTwoDomainSite(t)
	s.put("evacuations", "a", "{}")
	s.put("evacuations", "b", "{}")
	s.eventually("requests are rejected", func() bool {
		free := s.call(h, http.MethodGet, "/free/x", "", "")
		keyed := s.call(h, http.MethodGet, "/keyed/x", "1", "")
		return free.status == http.StatusServiceUnavailable && free.header.Get("Retry-After") != "" &&
			keyed.status == http.StatusServiceUnavailable && keyed.header.Get("Retry-After") != ""
	})
}

// A newly started host does not accept callers before it knows the evacuations.
func TestHostThatStartsKnowsTheEvacuations(t *testing.T) {
	s, _ := newTwoDomainSite(t)
	s.put("evacuations", "a", "{}")
	before := s.runs("f-a")
	h := s.startHost("two")
	for range 8 {
		assert.Equal(t, s.call(h, http.MethodGet, "/free/x", "", "").status, http.StatusOK)
	}
	assert.Equal(t, s.runs("f-a"), before)
}
