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
	// defaultPatience bounds the time of every request; callers and routes can only
	// shorten it.
	defaultPatience = 30 * time.Second
	// heldBody is how much of a request body is buffered before a server is chosen,
	// in bytes. Longer bodies are streamed and can be sent only once.
	heldBody = 64 << 10
	// mostDrained bounds how much of a rejected body is read and discarded, in bytes.
	// It equals what net/http reads of a body that a handler left unread.
	mostDrained = 256 << 10
	// heldAnswer is how much of a response is buffered before the first byte goes to
	// the caller, in bytes. A response that breaks off within it can be replaced.
	heldAnswer = 64 << 10
	// retryAfterUnknown is the Retry-After value when no better estimate exists.
	retryAfterUnknown = 500 * time.Millisecond
)

// request is the state of one caller's request while this host handles it.
type request struct {
	adapter.Request
	http          *http.Request
	configuration *routing.Configuration
	route         *routing.Route
	service       *service
	serviceName   string
	arrived       time.Duration
	deadline      time.Duration // when the final response is due
	body          []byte        // the buffered start of the body, or all of it
	rest          io.Reader     // the part of the body that is not buffered, or nil
	tried         []string
	sends         int
	mayHaveRun    bool                // at least one attempt is not proven not to have run
	mark          *poison.Fingerprint // computed on first use
	// end cancels all work for the request; nil before there is any. It is called
	// after the response has been written, because the rest of a long response is
	// read from the server until then.
	end context.CancelFunc
}

// key returns the request's key, or nil if its service is not sharded by key.
func (r *request) key() *uint16 {
	if r.service == nil || r.service.view == nil {
		return nil
	}
	return &r.Key
}

// fingerprint returns a value that is equal for all copies of the same request.
func (r *request) fingerprint() poison.Fingerprint {
	if r.mark == nil {
		identity := poison.Identity{Method: r.http.Method, Host: hostOf(r.http.Host), Target: r.http.URL.RequestURI(),
			Caller: callerOf(r.http.Header), Body: r.body, Length: r.http.ContentLength}
		mark := identity.Fingerprint()
		r.mark = &mark
	}
	return *r.mark
}

// callerOf returns the credentials by which a caller identifies itself to the servers.
func callerOf(header http.Header) string {
	return strings.Join(slices.Concat(header.Values("Authorization"), header.Values("Cookie")), "\n")
}

// ServeHTTP implements http.Handler for callers' requests.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &request{http: r, arrived: g.now()}
	if g.stop.stopping() {
		// The caller must open another connection; this response is still sent whole.
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

// handle returns the final reply to a request. When it returns, no work for the
// request is in progress except the transfer of the rest of a streamed response.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request, req *request) *reply {
	req.configuration = g.inForce.Current()
	if req.configuration == nil {
		return turnedAway("no-configuration", retryAfterUnknown)
	}
	metadata, err := g.codec.ReadRequest(r.Header)
	req.Request = metadata
	if err != nil {
		return refusal(http.StatusBadRequest, "bad-header", err)
	}
	req.route = req.configuration.Match(hostOf(r.Host), r.URL.EscapedPath())
	if req.route == nil {
		return refusal(http.StatusNotFound, "no-route", nil)
	}
	req.deadline = req.arrived + patience(metadata.Patience, req.route.Timeout)
	if rejected := g.readBody(w, r, req); rejected != nil {
		return rejected
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
	detach := context.AfterFunc(g.stop.ended, cancel)
	req.end = func() {
		detach()
		cancel()
	}
	if rejected := g.quarantined(req); rejected != nil {
		return rejected
	}
	req.service.first(req.key())
	return g.forward(ctx, req).ownedUp(req)
}

// patience returns how long a request may take: the shortest of the caller's
// timeout, the route's timeout and the bound for all requests. A timeout of 0 is unset.
func patience(caller, route time.Duration) time.Duration {
	timeout := defaultPatience
	if caller > 0 {
		timeout = min(timeout, caller)
	}
	if route > 0 {
		timeout = min(timeout, route)
	}
	return timeout
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// readBody buffers the first part of the body before a server is chosen, so that a
// caller that sends slowly does not occupy a server's slot. It returns nil, or the
// reply to a body that is too large or broke off.
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
	buffered, whole, err := backendlink.ReadWhole(body, heldBody)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return refusal(http.StatusRequestEntityTooLarge, "body-too-large", err)
		}
		return refusal(http.StatusBadRequest, "body-broken-off", err)
	}
	req.body = buffered
	if !whole {
		req.rest = body
	}
	return nil
}

// drain reads and discards what a rejected caller is still sending, up to a limit.
// Closing a connection with unread bytes resets it, and a caller that reads slowly
// then sees the reset instead of its response.
func drain(body io.Reader) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, mostDrained))
	return err
}

// forward sends the request to servers until it has a final reply.
func (g *Gateway) forward(ctx context.Context, req *request) *reply {
	for {
		waiter := &balance.Waiter{Keyed: req.service.view != nil, Key: req.Key, Priority: req.route.Priority,
			Arrived: req.arrived, Deadline: req.deadline, Objective: req.route.TargetLatency, Patience: req.Patience, Tried: req.tried, Ready: make(chan struct{})}
		server, link, err := req.service.acquire(ctx, waiter)
		if err != nil {
			return g.unplaced(req, err)
		}
		// Other copies of the request may have crashed servers while this one waited.
		if rejected := g.quarantined(req); rejected != nil {
			req.service.done(server, balance.End{Outcome: balance.Abandoned})
			return rejected
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
			// Another attempt replaces this long response: release its server.
			result.reply.finish(false)
		}
	}
}

// unplaced returns the reply to a request that no server was found for.
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

// lastWord returns the reply to a request whose last attempt produced none: the
// caller disconnected, the deadline passed, or the host ended its requests.
func (g *Gateway) lastWord(ctx context.Context, req *request, result attemptResult) *reply {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal(http.StatusGatewayTimeout, "timeout", result.err)
	}
	if g.stop.over() {
		return refusal(http.StatusGatewayTimeout, outcomeStopped, errStopped)
	}
	return &reply{outcome: outcomeCallerLeft}
}

// again reports whether to make another attempt. If so it charges the retry budget
// and, for a service with keys, waits first.
func (g *Gateway) again(ctx context.Context, req *request, result attemptResult) bool {
	repeatable := result.notRun || req.route.Idempotent && result.failed
	sent := result.sent
	consumed := sent && req.rest != nil // a streamed body can't be sent again
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
	g.counts.retries.Inc()
	if req.service.view != nil {
		clock.Sleep(ctx, ownerPause)
		return ctx.Err() == nil
	}
	return true
}

const (
	// mostUnsent bounds the attempts of a request whose last attempt sent nothing, as
	// to a server that can't be reached.
	mostUnsent = 4
	// ownerPause is the delay before a request is sent to the owner of its key again.
	// The owner that rejected it needs time to get its lease renewed or be replaced.
	ownerPause = 40 * time.Millisecond
)

// mean returns the average time for which a request occupies a server's slot.
func (s *service) mean() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Mean()
}

// outgoing builds the request that is sent to a server.
func (g *Gateway) outgoing(req *request, server *balance.Server) *http.Request {
	in := req.http
	out := &http.Request{Method: in.Method, URL: in.URL, Host: in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: forwardable(in.Header), ContentLength: in.ContentLength}
	if _, given := out.Header["User-Agent"]; !given {
		out.Header["User-Agent"] = []string{""} // otherwise net/http adds its own
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

// perConnection lists the hop-by-hop headers, which must not be forwarded.
var perConnection = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// forwardable returns a copy of the headers without the hop-by-hop ones.
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
