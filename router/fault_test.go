package router_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"cicadarouter/contract/backend"
	"cicadarouter/contract/caller"
	"cicadarouter/contract/platform"
	"cicadarouter/directory"
	"cicadarouter/host/clock"
	"cicadarouter/host/logs"
	"cicadarouter/link"
	"cicadarouter/link/linkpb"
	"cicadarouter/record"
	"cicadarouter/router"
)

// script is what a fake backend server does with a connection after reading a request.
type script struct {
	act func(conn net.Conn, in *http.Request)
}

// fakeServer is a backend server that runs one script for each request; the last
// script is repeated.
type fakeServer struct {
	address  string
	requests atomic.Int64
}

func startFakeServer(t testing.TB, scripts ...script) *fakeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	fake := &fakeServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go fake.serve(conn, scripts)
		}
	}()
	return fake
}

func (f *fakeServer) serve(conn net.Conn, scripts []script) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		in, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, in.Body)
		number := int(f.requests.Add(1)) - 1
		scripts[min(number, len(scripts)-1)].act(conn, in)
	}
}

func answer(status int, header, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, in *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, backend.HeaderRequestID, in.Header.Get(backend.HeaderRequestID), header, len(body), body)
	}
}

var (
	works      = script{act: answer(200, "", "whole")}
	resets     = script{act: func(conn net.Conn, _ *http.Request) { _ = conn.(*net.TCPConn).SetLinger(0); _ = conn.Close() }}
	hangsUp    = script{act: func(conn net.Conn, _ *http.Request) { _ = conn.Close() }}
	halfHeader = script{act: func(conn net.Conn, _ *http.Request) { fmt.Fprint(conn, "HTTP/1.1 200 O"); _ = conn.Close() }}
	halfBody   = script{act: func(conn net.Conn, _ *http.Request) {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		_ = conn.Close()
	}}
	foreign = script{act: func(conn net.Conn, _ *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", backend.HeaderRequestID, uuid.Max)
	}}
	// foreignRefusal is the refusal of another request, like a late second copy of it.
	foreignRefusal = script{act: func(conn net.Conn, _ *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 503 X\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", backend.HeaderRequestID, uuid.Max, backend.HeaderRefused, backend.RefusedShed)
	}}
	stale    = script{act: answer(503, backend.HeaderRefused+": "+string(backend.RefusedToken)+"\r\n", "")}
	sheds    = script{act: answer(503, backend.HeaderRefused+": "+string(backend.RefusedShed)+"\r\n", "")}
	tooLarge = script{act: answer(200, "", strings.Repeat("x", 2<<20))}
	silent   = script{act: func(conn net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, conn) }}
)

// site is a router that holds the lease of a page whose only shard is owned by one
// backend server.
type site struct {
	router    *router.Router
	directory *directory.Directory
	callers   *httptest.Server
}

func startSite(t testing.TB, address string) *site {
	dir := directory.New()
	apply := func(envelope record.Envelope, err error) {
		assert.NilError(t, err)
		dir.Apply([]platform.Object{{Envelope: envelope, Version: dir.Revision() + 1}}, dir.Revision()+1)
	}
	service := record.Service{Name: "split", Keyed: true, Domains: []string{"a"}}
	apply(service.Encode(record.SchemaV2))
	server := record.Server{Name: "s1", Service: "split", Domain: "a", Address: address, Slots: 2, Connections: 20}
	apply(server.Encode(record.SchemaV2))
	dir.SetHosts([]platform.Host{{Name: "h1", Domain: "a"}})
	limits := router.DefaultLimits()
	limits.AnswerBody = 1 << 20
	limits.OwnerWait = 300 * time.Millisecond
	r := router.New(link.Identity{Host: "h1", Domain: "a"}, limits, dir, nil, clock.System(), time.Now, 7, logs.Discard())
	s := &site{router: r, directory: dir, callers: httptest.NewServer(router.NewFront(r))}
	t.Cleanup(s.callers.Close)
	s.grantLease(t, 1, "s1")
	return s
}

// overload replaces the HTTP server for callers by one whose router is at its limit of
// concurrent requests, which is 0.
func (s *site) overload(t testing.TB) {
	limits := router.DefaultLimits()
	limits.InFlight = 0
	full := router.New(link.Identity{Host: "h1", Domain: "a"}, limits, s.directory, nil, clock.System(), time.Now, 8, logs.Discard())
	s.callers = httptest.NewServer(router.NewFront(full))
	t.Cleanup(s.callers.Close)
}

// grantLease grants the router a lease of the page with the given generation and owner.
func (s *site) grantLease(t testing.TB, generation uint64, owner string) {
	page := record.Page{Service: "split", Home: "a", High: 1<<64 - 1, Generation: generation,
		Shards: []record.Shard{{Owner: owner, Token: generation, State: record.ShardOwned}}}
	encoded, err := json.Marshal(page)
	assert.NilError(t, err)
	_, err = router.NewLinkServer(s.router).Lease(t.Context(), &linkpb.LeaseRequest{Leases: []*linkpb.PageLease{{
		Page: "split.0", Generation: generation, Incarnation: 7, ExpiryNanos: int64(time.Hour), Record: encoded,
	}}})
	assert.NilError(t, err)
}

// callerResponse is the response to a caller.
type callerResponse struct {
	outcome caller.Outcome
	reason  caller.Reason
	status  int
	body    string
	header  http.Header
}

func (s *site) send(t *testing.T, method string, header map[string]string) callerResponse {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, s.callers.URL+"/s/split/item", strings.NewReader(""))
	assert.NilError(t, err)
	request.Header.Set(caller.HeaderKey, "k")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return callerResponse{
		outcome: caller.Outcome(response.Header.Get(caller.HeaderOutcome)),
		reason:  caller.Reason(response.Header.Get(caller.HeaderReason)),
		status:  response.StatusCode,
		body:    string(body),
		header:  response.Header,
	}
}

// TestServerFaults has one row for each way in which an exchange with a backend
// server can fail. A request that may have run is never reported as not run, a
// non-idempotent one that may have run is never sent again, and a truncated answer is
// never returned as complete.
func TestServerFaults(t *testing.T) {
	const read, write = http.MethodGet, http.MethodPost
	rows := []struct {
		name    string
		method  string
		scripts []script
		want    caller.Outcome
		// sent is how many requests reached the server.
		sent int64
	}{
		{"works", write, []script{works}, caller.Done, 1},
		{"write, reset after the request was read", write, []script{resets, works}, caller.Unknown, 1},
		{"read, reset after the request was read", read, []script{resets, works}, caller.Done, 2},
		{"write, closed after the request was read", write, []script{hangsUp, works}, caller.Unknown, 1},
		{"read, closed after the request was read", read, []script{hangsUp, works}, caller.Done, 2},
		{"write, half a header", write, []script{halfHeader, works}, caller.Unknown, 1},
		{"read, half a header", read, []script{halfHeader, works}, caller.Done, 2},
		{"write, half a body", write, []script{halfBody, works}, caller.Unknown, 1},
		{"read, half a body", read, []script{halfBody, works}, caller.Done, 2},
		{"write, another request's answer", write, []script{foreign, works}, caller.Unknown, 1},
		{"read, another request's answer", read, []script{foreign, works}, caller.Unknown, 1},
		{"write, another request's refusal", write, []script{foreignRefusal, works}, caller.Unknown, 1},
		{"write, refused once and the refusal repeated late", write, repeatedRefusal(), caller.Done, 2},
		{"write, stale token once", write, []script{stale, works}, caller.Done, 2},
		{"write, shed once", write, []script{sheds, works}, caller.Done, 2},
		{"write, answer beyond the limit", write, []script{tooLarge}, caller.Unknown, 1},
		{"write, no answer", write, []script{silent}, caller.Unknown, 1},
		{"read, no answer", read, []script{silent}, caller.Unknown, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			fake := startFakeServer(t, row.scripts...)
			s := startSite(t, fake.address)
			got := s.send(t, row.method, map[string]string{caller.HeaderDeadlineMs: deadlineOf(row.scripts[0])})
			assert.Equal(t, got.outcome, row.want, "reason %s", got.reason)
			assert.Equal(t, fake.requests.Load(), row.sent)
			if got.outcome == caller.Done {
				assert.Equal(t, got.body, "whole")
			}
		})
	}
}

// repeatedRefusal returns the scripts of a server that refuses a request, and sends the refusal a second
// time where the next answer on the connection is expected.
func repeatedRefusal() []script {
	var mu sync.Mutex
	refused := map[net.Conn]bool{}
	refuses := func(conn net.Conn, in *http.Request) {
		mu.Lock()
		refused[conn] = true
		mu.Unlock()
		sheds.act(conn, in)
	}
	runs := func(conn net.Conn, in *http.Request) {
		mu.Lock()
		repeats := refused[conn]
		mu.Unlock()
		if repeats {
			sheds.act(conn, in)
		}
		works.act(conn, in)
	}
	return []script{{refuses}, {runs}}
}

// deadlineOf returns a short deadline for the rows in which only the deadline ends the
// request.
func deadlineOf(first script) string {
	if fmt.Sprintf("%p", first.act) == fmt.Sprintf("%p", silent.act) {
		return "300"
	}
	return "10000"
}

// TestServerNotThere: nothing was sent, so the outcome is not run, and the response
// has a Retry-After header.
func TestServerNotThere(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	s := startSite(t, address)
	got := s.send(t, http.MethodPost, map[string]string{caller.HeaderDeadlineMs: "200"})
	assert.Equal(t, got.outcome, caller.NotRun)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestResendIsNotRunAgain: the same request sent twice runs once, and both attempts
// get the same answer.
func TestResendIsNotRunAgain(t *testing.T) {
	fake := startFakeServer(t, works)
	s := startSite(t, fake.address)
	id := uuid.Must(uuid.NewV7()).String()
	first := s.send(t, http.MethodPost, map[string]string{caller.HeaderRequestID: id})
	second := s.send(t, http.MethodPost, map[string]string{caller.HeaderRequestID: id, caller.HeaderAttempt: "2"})
	assert.Equal(t, first.outcome, caller.Done)
	assert.Equal(t, second.outcome, caller.Done)
	assert.Equal(t, second.body, first.body)
	assert.Equal(t, fake.requests.Load(), int64(1))
}

// TestResendAfterTakeOver: a router that has just taken over the page does not know
// which requests its predecessor ran, and does not run a re-sent one.
func TestResendAfterTakeOver(t *testing.T) {
	fake := startFakeServer(t, works)
	s := startSite(t, fake.address)
	id := uuid.Must(uuid.NewV7()).String()
	got := s.send(t, http.MethodPost, map[string]string{caller.HeaderRequestID: id, caller.HeaderAttempt: "2"})
	assert.Equal(t, got.outcome, caller.Unknown)
	assert.Equal(t, got.reason, caller.ReasonEarlierAttemptMayHaveRun)
	assert.Equal(t, fake.requests.Load(), int64(0))
}

// Guards against reporting a request as not run although it has run: the answer to
// the first attempt is lost, the second is rejected by an overloaded router, and that
// rejection is reported for the request as a whole.
func TestOverloadedRouterDoesNotDenyEarlierAttempts(t *testing.T) {
	fake := startFakeServer(t, works)
	s := startSite(t, fake.address)
	s.overload(t)
	id := uuid.Must(uuid.NewV7()).String()
	first := s.send(t, http.MethodPost, map[string]string{caller.HeaderRequestID: id})
	assert.Equal(t, first.outcome, caller.NotRun)
	second := s.send(t, http.MethodPost, map[string]string{caller.HeaderRequestID: id, caller.HeaderAttempt: "2"})
	assert.Equal(t, second.outcome, caller.Unknown)
	assert.Equal(t, second.reason, caller.ReasonOverload)
}

// TestKeyMovesWhileServerIsSilent: if the key's token changes while its server does not
// answer, a non-idempotent request gets the outcome unknown at once, and an idempotent
// one is sent again with the new token.
func TestKeyMovesWhileServerIsSilent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			arrived := make(chan struct{}, 1)
			old := startFakeServer(t, script{act: func(conn net.Conn, _ *http.Request) {
				arrived <- struct{}{}
				_, _ = io.Copy(io.Discard, conn)
			}}, works)
			s := startSite(t, old.address)
			answers := make(chan callerResponse, 1)
			go func() { answers <- s.send(t, method, map[string]string{caller.HeaderDeadlineMs: "60000"}) }()
			<-arrived
			s.grantLease(t, 2, "s1")
			got := <-answers
			if method == http.MethodPost {
				assert.Equal(t, got.outcome, caller.Unknown)
				assert.Equal(t, got.reason, caller.ReasonConnectionLost, "the deadline must not be waited for")
				return
			}
			assert.Equal(t, got.outcome, caller.Done)
		})
	}
}

// TestBadRequests has one row for each kind of invalid request.
func TestBadRequests(t *testing.T) {
	s := startSite(t, startFakeServer(t, works).address)
	id := uuid.Must(uuid.NewV7()).String()
	rows := []struct {
		name   string
		header map[string]string
		want   string
	}{
		{"no key", map[string]string{caller.HeaderKey: ""}, caller.HeaderKey},
		{"key too long", map[string]string{caller.HeaderKey: strings.Repeat("k", 513)}, "at most 512 bytes"},
		{"id is no UUID", map[string]string{caller.HeaderRequestID: "7"}, "UUID of version 7"},
		{"id without time", map[string]string{caller.HeaderRequestID: uuid.NewString()}, "UUID of version 7"},
		{"attempt 0", map[string]string{caller.HeaderRequestID: id, caller.HeaderAttempt: "0"}, "1 to 1000"},
		{"attempt without id", map[string]string{caller.HeaderAttempt: "2"}, caller.HeaderRequestID},
		{"idempotent maybe", map[string]string{caller.HeaderIdempotent: "maybe"}, "true or false"},
		{"deadline negative", map[string]string{caller.HeaderDeadlineMs: "-1"}, "1 to 60000"},
		{"deadline absurd", map[string]string{caller.HeaderDeadlineMs: "99999999999999999999"}, "1 to 60000"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			got := s.send(t, http.MethodPost, row.header)
			assert.Equal(t, got.status, http.StatusBadRequest)
			want := caller.NotRun
			if row.header[caller.HeaderAttempt] != "" {
				want = caller.Unknown // it claims that an earlier attempt was made
			}
			assert.Equal(t, got.outcome, want)
			assert.Assert(t, strings.Contains(got.body, row.want), got.body)
		})
	}
}

// FuzzParseMeta checks that the parser returns a HeaderError for every header that it
// rejects.
func FuzzParseMeta(f *testing.F) {
	f.Add("POST", "k", uuid.Must(uuid.NewV7()).String(), "1", "true", "100")
	f.Add("GET", "", "", "", "", "")
	f.Fuzz(func(t *testing.T, method, key, id, attempt, idempotent, deadline string) {
		header := http.Header{}
		header.Set(caller.HeaderKey, key)
		header.Set(caller.HeaderRequestID, id)
		header.Set(caller.HeaderAttempt, attempt)
		header.Set(caller.HeaderIdempotent, idempotent)
		header.Set(caller.HeaderDeadlineMs, deadline)
		meta, err := caller.ParseMetadata(method, header)
		if err != nil {
			var typed *caller.HeaderError
			if !asHeaderError(err, &typed) {
				t.Fatalf("error without a type: %v", err)
			}
			return
		}
		if meta.Attempt < 1 || meta.Deadline < 0 || meta.ID == uuid.Nil {
			t.Fatalf("accepted %+v", meta)
		}
	})
}

func asHeaderError(err error, target **caller.HeaderError) bool {
	typed, ok := err.(*caller.HeaderError)
	*target = typed
	return ok
}

// Guards against paths that are decoded and encoded anew on their way to the server: an encoded slash
// becomes a real one.
func TestPathIsPassedOnAsSent(t *testing.T) {
	for sent, want := range map[string]string{
		"/s/split/a%2Fb|1?c|d":               "/a%2Fb|1?c|d",
		"/s/split/{x}//y/../%7c":             "/{x}//y/../%7c",
		"/s/split?q|":                        "/?q|",
		"/s/split":                           "/",
		"http://router.example/s/split/\xff": "/\xff",
	} {
		received := make(chan string, 1)
		server := startFakeServer(t, script{act: func(conn net.Conn, in *http.Request) {
			received <- in.RequestURI
			answer(http.StatusOK, "", "whole")(conn, in)
		}})
		s := startSite(t, server.address)
		conn, err := net.Dial("tcp", s.callers.Listener.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: router.example\r\n%s: k\r\nConnection: close\r\n\r\n", sent, caller.HeaderKey)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, sent)
		assert.Equal(t, <-received, want)
	}
}
