package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"cicadarouter/balance"
	"cicadarouter/contract/adapter"
	"cicadarouter/host/clock"
	"cicadarouter/link/backendlink"
	"cicadarouter/poison"
	"cicadarouter/routing"
)

// Limits of one request.
const (
	// defaultPatience bounds a request whose caller names no deadline and whose
	// route no timeout.
	defaultPatience = 30 * time.Second
	// heldBody is how much of a request's body is read before a server is
	// chosen, in bytes; longer bodies are streamed and sent once only.
	heldBody = 64 << 10
	// mostDrained bounds what is read of a refused body, in bytes: what the
	// standard library reads of a body that its handler left.
	mostDrained = 256 << 10
	// heldAnswer is how much of an answer is read before the caller gets its
	// first byte, in bytes: an answer that breaks off within it can be replaced.
	heldAnswer = 64 << 10
	// retryAfterUnknown is told when nothing is known of when to come back.
	retryAfterUnknown = 500 * time.Millisecond
)

// request is one request of a caller on its way through the host.
type request struct {
	adapter.Request
	http          *http.Request
	configuration *routing.Configuration
	route         *routing.Route
	service       *service
	serviceName   string
	arrived       time.Duration
	deadline      time.Duration // when the final answer is due
	body          []byte        // the first part, or all of it
	rest          io.Reader     // what follows, or nil
	tried         []string
	sends         int
	mayHaveRun    bool                // some attempt is not proven not to have run
	mark          *poison.Fingerprint // see fingerprint
	// end ends what is under way for the request: nil, or called once its answer
	// has been written, since the rest of a long one is read from the server until
	// then.
	end context.CancelFunc
}

// key returns the key for a service that is divided by key, or nil.
func (r *request) key() *uint16 {
	if r.service == nil || r.service.view == nil {
		return nil
	}
	return &r.Key
}

// fingerprint returns what the request has in common with other copies of it.
func (r *request) fingerprint() poison.Fingerprint {
	if r.mark == nil {
		identity := poison.Identity{Method: r.http.Method, Host: hostOf(r.http.Host), Target: r.http.URL.RequestURI(),
			Caller: callerOf(r.http.Header), Body: r.body, Length: r.http.ContentLength}
		mark := identity.Fingerprint()
		r.mark = &mark
	}
	return *r.mark
}

// callerOf returns by what a caller identifies itself to the servers.
func callerOf(header http.Header) string {
	return strings.Join(slices.Concat(header.Values("Authorization"), header.Values("Cookie")), "\n")
}

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &request{http: r, arrived: g.now()}
	if g.stop.stopping() {
		// The caller is to come back on another connection; this answer is whole.
		w.Header().Set("Connection", "close")
	}
	defer func() {
		if req.end != nil {
			req.end()
		}
	}()
	reply := g.handle(w, r, req)
	g.write(w, r, req, reply)
}

// handle returns the answer to a request. It is final: nothing of the request
// is under way any more, except the rest of a streamed answer.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request, req *request) *reply {
	req.configuration = g.configuration.Current()
	if req.configuration == nil {
		return turnedAway("no-configuration", retryAfterUnknown)
	}
	meta, err := g.codec.ReadRequest(r.Header)
	req.Request = meta
	if err != nil {
		return refusal(http.StatusBadRequest, "bad-header", err)
	}
	req.route = req.configuration.Match(hostOf(r.Host), r.URL.EscapedPath())
	if req.route == nil {
		return refusal(http.StatusNotFound, "no-route", nil)
	}
	req.deadline = req.arrived + patience(meta.Patience, req.route.Timeout)
	if refused := g.readBody(w, r, req); refused != nil {
		return refused
	}
	if g.stop.turnsAway(g.now(), req.deadline) {
		return stoppingReply()
	}
	req.serviceName = req.route.Pick()
	req.service = g.service(req.serviceName)
	if req.service == nil {
		return turnedAway("unknown-service", retryAfterUnknown)
	}
	if req.service.view != nil && !req.HasKey {
		return refusal(http.StatusBadRequest, "no-key", nil)
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.deadline-g.now())
	unplan := context.AfterFunc(g.stop.ended, cancel)
	req.end = func() {
		unplan()
		cancel()
	}
	if refused := g.quarantined(req); refused != nil {
		return refused
	}
	req.service.first(req.key())
	return g.forward(ctx, req).ownedUp(req)
}

// patience is how long a request may take: what the caller waits, or the
// route's timeout, whichever is shorter.
func patience(caller, route time.Duration) time.Duration {
	bound := defaultPatience
	if caller > 0 {
		bound = min(bound, caller)
	}
	if route > 0 {
		bound = min(bound, route)
	}
	return bound
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// readBody reads the first part of the body, so that a caller that sends
// slowly does not hold a server's slot.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, req *request) *reply {
	limit := req.configuration.Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return refusal(http.StatusRequestEntityTooLarge, "body-too-large", drain(r.Body))
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	held, whole, err := backendlink.ReadWhole(body, heldBody)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return refusal(http.StatusRequestEntityTooLarge, "body-too-large", err)
		}
		return refusal(http.StatusBadRequest, "body-broken-off", err)
	}
	req.body = held
	if !whole {
		req.rest = body
	}
	return nil
}

// drain reads what a refused caller is still sending, up to mostDrained. Closing
// a connection with unread bytes resets it, and a caller that is slow to read
// then finds the reset in place of its answer.
func drain(body io.Reader) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, mostDrained))
	return err
}

// forward sends the request to servers until it has a final answer.
func (g *Gateway) forward(ctx context.Context, req *request) *reply {
	for {
		waiter := &balance.Waiter{Keyed: req.service.view != nil, Key: req.Key, Priority: req.route.Priority,
			Arrived: req.arrived, Deadline: req.deadline, Objective: req.route.TargetLatency, Patience: req.Patience, Tried: req.tried, Ready: make(chan struct{})}
		server, link, err := req.service.acquire(ctx, waiter)
		if err != nil {
			return g.unplaced(req, err)
		}
		// Servers may have ended under copies of it while it waited.
		if refused := g.quarantined(req); refused != nil {
			req.service.done(server, balance.End{Outcome: balance.Abandoned})
			return refused
		}
		result := g.attempt(ctx, req, server, link)
		req.mayHaveRun = req.mayHaveRun || result.sent && !result.notRun
		if result.reply != nil && !g.again(ctx, req, result) {
			return result.reply
		}
		if result.reply == nil {
			return g.lastWord(ctx, req, result)
		}
		if result.reply.finish != nil {
			// Another attempt replaces a long answer: its server is given back.
			result.reply.finish(false)
		}
	}
}

// unplaced answers a request that got no server.
func (g *Gateway) unplaced(req *request, err error) *reply {
	var rejected *balance.RejectedError
	if errors.As(err, &rejected) {
		return turnedAwayFor(rejected)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return turnedAway(string(balance.Expired), retryAfterUnknown)
	}
	if g.stop.over() {
		return stoppingReply()
	}
	return &reply{outcome: outcomeCallerLeft}
}

// lastWord answers a request whose last attempt gave no reply: the caller has
// left, or the time is over.
func (g *Gateway) lastWord(ctx context.Context, req *request, result attemptResult) *reply {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal(http.StatusGatewayTimeout, "timeout", result.err)
	}
	if g.stop.over() {
		return refusal(http.StatusGatewayTimeout, outcomeStopped, errStopped)
	}
	return &reply{outcome: outcomeCallerLeft}
}

// again decides whether a request is sent once more after an attempt.
func (g *Gateway) again(ctx context.Context, req *request, result attemptResult) bool {
	repeatable := result.notRun || req.route.Idempotent && result.failed
	sent := result.sent
	consumed := sent && req.rest != nil // what was streamed can't be sent again
	if !repeatable || consumed || ctx.Err() != nil {
		return false
	}
	if sent && req.sends >= req.route.MaxAttempts {
		return false
	}
	if !sent && len(req.tried) >= mostUnsent {
		return false
	}
	if g.now()+req.service.mean()/2 > req.deadline {
		return false
	}
	if result.unanswered && g.judge(req).Verdict >= poison.Suspected {
		return false
	}
	if sent && !req.service.mayRetry() {
		return false
	}
	g.logRetry(req, result)
	g.metrics.retries.Inc()
	if req.service.view != nil {
		clock.Sleep(ctx, ownerPause)
		return ctx.Err() == nil
	}
	return true
}

const (
	// mostUnsent bounds how many servers that can't be reached are tried.
	mostUnsent = 4
	// ownerPause is left before a request goes to the owner of its key once
	// more: the owner that turned it away needs time to be renewed or replaced.
	ownerPause = 40 * time.Millisecond
)

func (s *service) mean() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Mean()
}

// outgoing builds the request for a server.
func (g *Gateway) outgoing(req *request, server *balance.Server) *http.Request {
	in := req.http
	out := &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: forwardable(in.Header), ContentLength: in.ContentLength}
	if _, given := out.Header["User-Agent"]; !given {
		out.Header["User-Agent"] = []string{""} // or the standard library adds its own
	}
	switch {
	case req.rest != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(req.body), req.rest))
	case len(req.body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(req.body))
		out.ContentLength = int64(len(req.body))
	default:
		out.ContentLength = 0
	}
	g.codec.WriteDispatch(out.Header, adapter.Dispatch{Server: server.ID, Patience: req.deadline - g.now()})
	return out
}

// perConnection lists headers that concern one connection only.
var perConnection = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// forwardable returns the headers that are passed on.
func forwardable(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range perConnection {
		out.Del(name)
	}
	return out
}
