package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// calm is a site with two servers a service and one host.
func calm(t *testing.T) (*site, *hostUnderTest) {
	s := newSite(t)
	s.startServer("f1", "free", false)
	s.startServer("f2", "free", false)
	s.startServer("k1", "owned", true)
	s.startServer("k2", "owned", true)
	s.configure(3, "")
	return s, s.startHost("one")
}

// Method, path, query and body reach a server, and its answer the caller, as
// they were sent.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	s, h := calm(t)
	got := s.call(h, http.MethodPost, "/once/a%2Fb?x=1&y=%20", "", "some body")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(got.body, " POST /once/a%2Fb?x=1&y=%20 some body"), got.body)
	assert.Assert(t, strings.HasPrefix(got.header.Get(platformtest.Signature), "signed by f"))
	assert.Assert(t, strings.HasPrefix(got.header.Get("X-Request-Id"), strings.TrimPrefix(h.callers.URL, "http://")+"/"))
}

func TestRoutes(t *testing.T) {
	s, h := calm(t)
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

// A host that knows no configuration yet doesn't deny routes.
func TestWithoutConfiguration(t *testing.T) {
	s := newSite(t)
	s.store.SetFaults(platformtest.Faults{Refuse: true})
	h := s.startUnready("one")
	got := s.call(h, http.MethodGet, "/free/x", "", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// Symptom: a registration is entered twice.
// Sequence: the server runs the request and its answer is lost.
// Cause: the request was sent once more although it might have run.
func TestRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	s, h := calm(t)
	for _, server := range s.servers {
		server.SetFaults(platformtest.ServerFaults{LoseAnswers: 1})
	}
	got := s.call(h, http.MethodPost, "/once/x", "", "")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, s.runs("f1")+s.runs("f2"), 1)
}

// An idempotent request is sent once more when its answer is lost or breaks off.
func TestIdempotentRequestIsRepeated(t *testing.T) {
	for name, faults := range map[string]platformtest.ServerFaults{
		"answer lost": {LoseAnswers: 1}, "answer broken off": {BreakOff: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, h := calm(t)
			s.servers["f1"].SetFaults(faults)
			s.servers["f2"].SetFaults(faults)
			first := s.call(h, http.MethodGet, "/free/x", "", "")
			// Both servers may fail once each; the next request is whole.
			second := s.call(h, http.MethodGet, "/free/x", "", "")
			assert.Equal(t, second.status, http.StatusOK)
			assert.Assert(t, first.status == http.StatusOK || first.status == http.StatusBadGateway)
			assert.Equal(t, s.runs("f1")+s.runs("f2"), 3)
		})
	}
}

// Symptom: a caller gets another caller's data.
// Sequence: a server answers with another request's id.
// Cause: the answer was passed on unchecked.
func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	s, h := calm(t)
	s.servers["f1"].SetFaults(platformtest.ServerFaults{OtherID: true})
	s.servers["f2"].SetFaults(platformtest.ServerFaults{OtherID: true})
	got := s.call(h, http.MethodPost, "/once/x", "", "")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get(platformtest.Signature), "")
}

// Symptom: a server gets fewer and fewer requests, and none in the end.
// Sequence: an idempotent request ends with a long answer of failure, and is
// sent once more.
// Cause: the first server's place was not given back, as nobody read its answer.
func TestRepeatedRequestGivesTheFirstServerBack(t *testing.T) {
	s, h := calm(t)
	for range 4 {
		s.servers["f1"].SetFaults(platformtest.ServerFaults{FailLong: 1})
		s.servers["f2"].SetFaults(platformtest.ServerFaults{FailLong: 1})
		s.call(h, http.MethodGet, "/free/x", "", "")
	}
	assert.Assert(t, s.runs("f1")+s.runs("f2") > 4, "no request was repeated")
	s.eventually("no server's place is held", func() bool {
		var page strings.Builder
		h.gateway.WriteMetrics(&page)
		return strings.Contains(page.String(), "cicada_in_flight 0\n")
	})
}

// Symptom: a caller takes spoilt bytes for its answer.
// Sequence: a server's answer is damaged, and what is left parses as a success.
// Cause: a success was passed on without the server's proof.
func TestSuccessNeedsTheServersProof(t *testing.T) {
	s, h := calm(t)
	s.servers["f1"].SetFaults(platformtest.ServerFaults{Unsigned: true})
	s.servers["f2"].SetFaults(platformtest.ServerFaults{Unsigned: true})
	assert.Equal(t, s.call(h, http.MethodPost, "/once/x", "", "").status, http.StatusBadGateway)
}

// A request that every server turned away has not run, and its caller is told so.
func TestRequestTurnedAwayByServers(t *testing.T) {
	s, h := calm(t)
	s.servers["f1"].SetFaults(platformtest.ServerFaults{Shed: true})
	s.servers["f2"].SetFaults(platformtest.ServerFaults{Shed: true})
	got := s.call(h, http.MethodPost, "/once/x", "", "")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, s.runs("f1")+s.runs("f2"), 0)
}

// Symptom: a request runs at a server of another service.
// Sequence: a server ends; its address goes to another; its entry is still there.
// Cause: servers were told apart by their addresses.
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

// Draining servers get nothing new.
func TestDrainingServerGetsNothing(t *testing.T) {
	s := newSite(t)
	leaving := &platformtest.Server{ID: "f1", Slots: 8}
	address := s.listen(leaving)
	s.register("f1", "free", address, "ready")
	s.startServer("f2", "free", false)
	s.configure(3, "")
	h := s.startHost("one")
	s.register("f1", "free", address, "draining")
	s.eventually("the host knows that the server leaves", func() bool {
		before := len(leaving.Runs())
		for range 8 {
			assert.Equal(t, s.call(h, http.MethodGet, "/free/x", "", "").status, http.StatusOK)
		}
		return len(leaving.Runs()) == before
	})
}

func (s *site) runs(id string) int { return len(s.servers[id].Runs()) }

// Symptom: a caller whose request is too large sees a reset connection, not 413.
// Sequence: the host refuses the request by its length and closes with the body
// unread, half a second later; the caller, being slow, has not read the answer.
// Cause: closing a connection with unread bytes resets it.
func TestRefusedBodyIsRead(t *testing.T) {
	_, h := calm(t)
	const size = 100001
	body := strings.NewReader(strings.Repeat("x", size))
	request := httptest.NewRequest(http.MethodPost, "http://site.example/once/x", body)
	answer := httptest.NewRecorder()
	h.gateway.ServeHTTP(answer, request)
	assert.Equal(t, answer.Code, http.StatusRequestEntityTooLarge)
	assert.Equal(t, body.Len(), 0, "bytes were left unread")
}

// Symptom: long uploads are turned away while servers have room.
// Sequence: a server that is registered can't be reached; a request with a body
// that is too long to be held meets it first.
// Cause: such a request was taken to be sent once only, also if nothing was sent.
func TestLongBodyIsSentElsewhereIfNothingWasSent(t *testing.T) {
	s, h := calm(t)
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

// Symptom: an answer of more than 64 KB ends half-way, with its connection.
// Sequence: the first part of a long answer has been read; the rest is passed on
// as it comes.
// Cause: the request's context ended as soon as its answer had begun, and with it
// the server's connection.
func TestLongAnswerArrivesWhole(t *testing.T) {
	s, h := calm(t)
	body := strings.Repeat("y", 95_000) // is part of the answer
	for range 10 {
		got := s.call(h, http.MethodPost, "/free/x", "", body)
		assert.NilError(t, got.err)
		assert.Assert(t, strings.HasSuffix(got.body, body))
	}
}
