package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/gateway"
	"cicadarouter/platform/platformtest"
)

// nestedSpec stands for a spec that is nested so deeply that encoding/json refuses it.
const nestedSpec = `"NESTED"`

// writeNested writes a deeply nested object of each kind that hosts read. Its name is none that they use.
func (s *site) writeNested(name string) {
	for _, kind := range []string{"servers", "config", "evacuations", gateway.Assignments, gateway.Quarantines} {
		s.put(kind, name, nestedSpec)
	}
}

// nestingStore returns the address of the site's store as it answers while deeply nested objects are in it.
func (s *site) nestingStore() string {
	return s.listen(platformtest.Verbatim{Store: s.store, Placeholder: strings.Trim(nestedSpec, `"`), Text: platformtest.Nested(300_000)})
}

// servedBy returns the servers that serve requests for the service without keys.
func (s *site) servedBy(h *hostUnderTest) []string {
	var servers []string
	for range 40 {
		if got := s.call(h, http.MethodGet, "/free/x", "", ""); got.status == http.StatusOK {
			server, _, _ := strings.Cut(got.body, " ")
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return slices.Compact(servers)
}

// Guards against a deeply nested object among those of the store that makes hosts stop following it: at a
// first start of all hosts, in a watch, for hosts that follow another host, and after a restart.
func TestNestedObjectDoesNotStopFollowing(t *testing.T) {
	const hosts = 3
	s := newSite(t)
	store := s.nestingStore()
	s.configure(3, "")
	s.startServer("f1", "free", false)
	s.startServer("k1", "owned", true)
	s.writeNested("a-first")
	for i := range hosts {
		s.start(hostOptions{name: fmt.Sprintf("h%d", i), store: store, firstStart: true})
	}
	serve := func(server string) {
		t.Helper()
		for _, h := range s.hosts {
			s.eventually("the host is ready", h.gateway.Ready)
			s.eventually("the host knows "+server, func() bool { return slices.Contains(s.servedBy(h), server) })
			s.eventually("keys are served", func() bool { return s.call(h, http.MethodGet, "/keyed/", "7", "").status == http.StatusOK })
		}
	}
	serve("f1")
	s.writeNested("z-second")
	s.startServer("f2", "free", false)
	serve("f2")
	s.put("servers", "f1", nestedSpec)
	s.configure(4, `,{"name":"later","path-prefix":"/later/","kind":"safe","timeout":"1000ms","target-latency":"500ms","priority":1,"service":"free","max-attempts":1}`)
	for _, h := range s.hosts {
		s.eventually("the new route is served", func() bool { return s.call(h, http.MethodGet, "/later/x", "", "").status == http.StatusOK })
		assert.Assert(t, metric(h, "cicada_unreadable_entries_total") != "0")
	}
	for n, h := range s.hosts {
		h.kill()
		s.hosts[n] = nil
	}
	s.hosts = nil
	for i := range hosts {
		s.start(hostOptions{name: fmt.Sprintf("h%d", i), store: store})
	}
	serve("f2")
}
