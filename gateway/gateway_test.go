package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// newSmallSite returns a site with two services of two servers each, and one host.
func newSmallSite(t *testing.T) (*site, *hostUnderTest) {
	s := newSite(t)
	s.startServer("f1", "free", false)
	s.startServer("f2", "free", false)
	s.startServer("k1", "owned", true)
	s.startServer("k2", "owned", true)
	s.configure(3, "")
	return s, s.startHost("one")
}

// Method, path, query and body reach a server unchanged, and so does its response the caller.
func TestRequestAndResponsePassUnchanged(t *testing.T) {
	s, h := newSmallSite(t)
	got := s.call(h, http.MethodPost, "/once/a%2Fb?x=1&y=%20", "", "some body")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(got.body, " POST /once/a%2Fb?x=1&y=%20 some body"), got.body)
	assert.Assert(t, strings.HasPrefix(got.header.Get(platformtest.SignatureHeader), "signed by f"))
	assert.Assert(t, strings.HasPrefix(got.header.Get("X-Request-Id"), strings.TrimPrefix(h.callers.URL, "http://")+"/"))
}

func TestRoutes(t *testing.T) {
	s, h := newSmallSite(t)
	assert.Equal(t, s.call(h, http.MethodGet, "/nowhere/", "", "").status, http.StatusNotFound)
	assert.Equal(t, s.call(h, http.MethodGet, "/keyed/x", "", "").status, http.StatusBadRequest)
	big := s.call(h, http.MethodPost, "/once/x", "", strings.Repeat("x", 100001))
	assert.NilError(t, big.err)
	assert.Equal(t, big.status, http.StatusRequestEntityTooLarge)

	s.configure(4, `,{"name":"more","path-prefix":"/free/more/","kind":"safe","timeout":"5000ms","service":"none-such"}`)
	s.configure(5, `,{"name":"more","path-prefix":"/more/","kind":"safe","timeout":"5000ms","service":"free","max-attempts":1}`)
	s.eventually("a route that was added serves", func() bool { return s.call(h, http.MethodGet, "/more/", "", "").status == http.StatusOK })
	s.configure(2, "")
	assert.Equal(t, s.call(h, http.MethodGet, "/more/", "", "").status, http.StatusOK, "an older version came back in force")
}

// A host without a configuration responds 503, not that a route does not exist.
func TestWithoutConfiguration(t *testing.T) {
	s := newSite(t)
	s.store.SetFaults(platformtest.Faults{RejectCalls: true})
	h := s.startUnready("one")
	got := s.call(h, http.MethodGet, "/free/x", "", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// Guards against running a request twice that is not idempotent: a request that may have run
// was retried after the server's response was lost.
func TestRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	s, h := newSmallSite(t)
	for _, server := range s.servers {
		server.SetFaults(platformtest.ServerFaults{DropResponses: 1})
	}
	got := s.call(h, http.MethodPost, "/once/x", "", "")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, s.runs("f1")+s.runs("f2"), 1)
}

// An idempotent request is retried when its response is lost or truncated.
func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, faults := range map[string]platformtest.ServerFaults{
		"answer lost": {DropResponses: 1}, "answer broken off": {TruncateResponses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, h := newSmallSite(t)
			s.servers["f1"].SetFaults(faults)
			s.servers["f2"].SetFaults(faults)
			first := s.call(h, http.MethodGet, "/free/x", "", "")
			// Each server fails once, so the next request succeeds.
			second := s.call(h, http.MethodGet, "/free/x", "", "")
			assert.Equal(t, second.status, http.StatusOK)
			assert.Assert(t, first.status == http.StatusOK || first.status == http.StatusBadGateway)
			assert.Equal(t, s.runs("f1")+s.runs("f2"), 3)
		})
	}
}

// Guards against sending one caller another caller's data: a server's response with another
// request's ID was forwarded unchecked.
func TestResponseToAnotherRequestIsNotForwarded(t *testing.T) {
	s, h := newSmallSite(t)
	s.servers["f1"].SetFaults(platformtest.ServerFaults{WrongRequestID: true})
	s.servers["f2"].SetFaults(platformtest.ServerFaults{WrongRequestID: true})
	got := s.call(h, http.MethodPost, "/once/x", "", "")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get(platformtest.SignatureHeader), "")
}

// Guards against leaking a server's slots: when an idempotent request was retried after a long
// failure response, nobody read that response and its slot was never released.
func TestRetriedRequestReleasesTheFirstServer(t *testing.T) {
	s, h := newSmallSite(t)
	for range 4 {
		s.servers["f1"].SetFaults(platformtest.ServerFaults{LargeErrors: 1})
		s.servers["f2"].SetFaults(platformtest.ServerFaults{LargeErrors: 1})
		s.call(h, http.MethodGet, "/free/x", "", "")
	}
	assert.Assert(t, s.runs("f1")+s.runs("f2") > 4, "no request was repeated")
	s.eventually("no slot is occupied", func() bool {
		var page strings.Builder
		h.gateway.WriteMetrics(&page)
		return strings.Contains(page.String(), "cicada_in_flight 0\n")
	})
}

// Guards against forwarding corrupted bytes that still parse as a successful response but lack
// the server's signature.
func TestSuccessNeedsTheServersSignature(t *testing.T) {
	s, h := newSmallSite(t)
	s.servers["f1"].SetFaults(platformtest.ServerFaults{OmitSignature: true})
	s.servers["f2"].SetFaults(platformtest.ServerFaults{OmitSignature: true})
	assert.Equal(t, s.call(h, http.MethodPost, "/once/x", "", "").status, http.StatusBadGateway)
}

// A request that every server rejected has not run, and its caller is told so.
func TestRequestRejectedByAllServers(t *testing.T) {
	s, h := newSmallSite(t)
	s.servers["f1"].SetFaults(platformtest.ServerFaults{RejectRequests: true})
	s.servers["f2"].SetFaults(platformtest.ServerFaults{RejectRequests: true})
	got := s.call(h, http.MethodPost, "/once/x", "", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, s.runs("f1")+s.runs("f2"), 0)
}

// Guards against running a request at a server of another service: a server ended, its address
// was reused while its registry entry still existed, and servers were identified by address.
func TestAddressOfAnotherServer(t *testing.T) {
	s := newSite(t)
	other := &platformtest.Server{ID: "new", Slots: 8}
	s.register("old", "free", s.listen(other), "ready")
	s.configure(3, "")
	h := s.startHost("one")
	got := s.call(h, http.MethodPost, "/once/x", "", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(other.Runs()), 0)
}

// Draining servers get no new requests.
func TestDrainingServerGetsNothing(t *testing.T) {
	s := newSite(t)
	leaving := &platformtest.Server{ID: "f1", Slots: 8}
	address := s.listen(leaving)
	s.register("f1", "free", address, "ready")
	s.startServer("f2", "free", false)
	s.configure(3, "")
	h := s.startHost("one")
	s.register("f1", "free", address, "draining")
	s.eventually("the host knows that the server is draining", func() bool {
		before := len(leaving.Runs())
		for range 8 {
			assert.Equal(t, s.call(h, http.MethodGet, "/free/x", "", "").status, http.StatusOK)
		}
		return len(leaving.Runs()) == before
	})
}

func (s *site) runs(id string) int { return len(s.servers[id].Runs()) }

// Guards against a connection reset instead of status 413: the host rejected a request by its
// length and closed the connection half a second later with the body unread, which resets the
// connection. A slow caller had not read the response by then.
func TestRefusedBodyIsRead(t *testing.T) {
	_, h := newSmallSite(t)
	const size = 100001
	body := strings.NewReader(strings.Repeat("x", size))
	request := httptest.NewRequest(http.MethodPost, "http://site.example/once/x", body)
	answer := httptest.NewRecorder()
	h.gateway.ServeHTTP(answer, request)
	assert.Equal(t, answer.Code, http.StatusRequestEntityTooLarge)
	assert.Equal(t, body.Len(), 0, "bytes were left unread")
}

// Guards against rejecting a long upload while servers have capacity: a body too long to be
// buffered can be sent only once, but an attempt at an unreachable server sends nothing of it
// and must not count.
func TestLongBodyIsSentElsewhereIfNothingWasSent(t *testing.T) {
	s, h := newSmallSite(t)
	unused := httptest.NewServer(nil)
	address := strings.TrimPrefix(unused.URL, "http://")
	unused.Close()
	s.register("f0", "free", address, "ready")
	s.startServer("f3", "free", false)
	s.eventually("the host knows the last server", func() bool {
		s.call(h, http.MethodGet, "/free/x", "", "")
		return s.runs("f3") > 0
	})
	body := strings.Repeat("x", 90_000)
	for range 40 {
		got := s.call(h, http.MethodPost, "/once/x", "", body)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, strings.HasSuffix(got.body, body))
	}
}

// Guards against truncating responses of more than 64 KB: the request's context was canceled
// once the buffered first part had been read, which closed the server's connection while the
// rest was being streamed.
func TestLongResponseArrivesWhole(t *testing.T) {
	s, h := newSmallSite(t)
	body := strings.Repeat("y", 95_000) // is part of the answer
	for range 10 {
		got := s.call(h, http.MethodPost, "/free/x", "", body)
		assert.NilError(t, got.err)
		assert.Assert(t, strings.HasSuffix(got.body, body))
	}
}
