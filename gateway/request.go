package gateway

import (
	"bytes"
	"cmp"
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
	// maxRequestTimeout bounds the time of every request; callers and routes can only
	// shorten it.
	maxRequestTimeout = 30 * time.Second
	// maxBufferedBodyBytes is how much of a request body is buffered before a server is chosen,
	// in bytes. Longer bodies are streamed and can be sent only once.
	maxBufferedBodyBytes = 64 << 10
	// maxDrainedBodyBytes bounds how much of a rejected body is read and discarded, in bytes.
	// It equals what net/http reads of a body that a handler left unread.
	maxDrainedBodyBytes = 256 << 10
	// maxBufferedResponseBytes is how much of a response is buffered before the first byte goes to
	// the caller, in bytes. A response that breaks off within it can be replaced.
	maxBufferedResponseBytes = 64 << 10
	// defaultRetryAfter is the Retry-After value when no better estimate exists.
	defaultRetryAfter = 500 * time.Millisecond
)

// request is the state of one caller's request while this host handles it.
type request struct {
	adapter.Request
	httpRequest       *http.Request
	configuration     *routing.Configuration
	route             *routing.Route
	service           *service
	serviceName       string
	arrivedAt         time.Duration
	deadline          time.Duration // when the final response is due
	bufferedBody      []byte        // the buffered start of the body, or all of it
	remainingBody     io.Reader     // the part of the body that is not buffered, or nil
	triedServers      []string
	sendCount         int
	mayHaveRun        bool                  // at least one attempt is not proven not to have run
	cachedFingerprint *poison.Fingerprint   // computed on first use
	openConnsOnly     bool                  // only connections that are open already are used
	admission         *balance.GateDecision // set once the request has been admitted by the gates of a service that is divided by priority
	counted           bool                  // the request is counted in this service's load and retry budget
	forwarded         *forwardInfo          // set if another host has forwarded the request
	forwardedTo       string                // address of the peer that handled the request, or empty
	// cancel cancels all work for the request; nil before there is any. It is called
	// after the response has been written, because the rest of a long response is
	// read from the server until then.
	cancel context.CancelFunc
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
	if r.cachedFingerprint == nil {
		identity := poison.Identity{Method: r.httpRequest.Method, Host: normalizeHost(r.httpRequest.Host), Target: backendlink.RequestTarget(r.httpRequest),
			Caller: callerCredentials(r.httpRequest.Header), Body: r.bufferedBody, Length: r.httpRequest.ContentLength}
		mark := identity.Fingerprint()
		r.cachedFingerprint = &mark
	}
	return *r.cachedFingerprint
}

// callerCredentials returns the credentials by which a caller identifies itself to the servers.
func callerCredentials(header http.Header) string {
	return strings.Join(slices.Concat(header.Values("Authorization"), header.Values("Cookie")), "\n")
}

// ServeHTTP implements http.Handler for callers' requests.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &request{httpRequest: r, arrivedAt: g.now()}
	if g.stop.stopping() {
		// The caller must open another connection; this response is still sent whole.
		w.Header().Set("Connection", "close")
	}
	defer func() {
		if req.cancel != nil {
			req.cancel()
		}
	}()
	reply := g.handle(w, r, req)
	g.writeReply(w, r, req, reply)
}

// handle returns the final reply to a request. When it returns, no work for the
// request is in progress except the transfer of the rest of a streamed response.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request, req *request) *reply {
	req.configuration = g.configuration.Current()
	if req.configuration == nil {
		return rejection("no-configuration", defaultRetryAfter)
	}
	metadata, err := g.codec.ReadRequest(r.Header)
	req.Request = metadata
	if err != nil {
		return errorReply(http.StatusBadRequest, "bad-header", err)
	}
	req.route = req.configuration.Match(normalizeHost(r.Host), backendlink.TargetPath(backendlink.RequestTarget(r)))
	if req.route == nil {
		return errorReply(http.StatusNotFound, "no-route", nil)
	}
	req.deadline = req.arrivedAt + requestTimeout(metadata.Timeout, req.route.Timeout)
	if rejected := g.bufferBody(w, r, req); rejected != nil {
		return rejected
	}
	if g.stop.rejects(g.now(), req.deadline) {
		return stoppingReply()
	}
	req.serviceName = req.route.PickService()
	req.service = g.service(req.serviceName)
	if req.service == nil {
		return rejection("unknown-service", defaultRetryAfter)
	}
	if req.service.view != nil && !req.HasKey {
		return errorReply(http.StatusBadRequest, "no-key", nil)
	}
	ctx, cancel := context.WithTimeout(r.Context(), req.deadline-g.now())
	detach := context.AfterFunc(g.stop.ended, cancel)
	req.cancel = func() {
		detach()
		cancel()
	}
	if rejected := g.quarantined(req); rejected != nil {
		return rejected
	}
	return g.forward(ctx, req).withPossibleRun(req)
}

// requestTimeout returns how long a request may take: the shortest of the caller's
// timeout, the route's timeout and the bound for all requests. A timeout of 0 is unset.
func requestTimeout(caller, route time.Duration) time.Duration {
	timeout := maxRequestTimeout
	if caller > 0 {
		timeout = min(timeout, caller)
	}
	if route > 0 {
		timeout = min(timeout, route)
	}
	return timeout
}

func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// bufferBody buffers the first part of the body before a server is chosen, so that a
// caller that sends slowly does not occupy a server's slot. It returns nil, or the
// reply to a body that is too large or broke off.
func (g *Gateway) bufferBody(w http.ResponseWriter, r *http.Request, req *request) *reply {
	limit := req.configuration.Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return errorReply(http.StatusRequestEntityTooLarge, "body-too-large", drainBody(r.Body))
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	buffered, whole, err := backendlink.ReadWhole(body, maxBufferedBodyBytes)
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return errorReply(http.StatusRequestEntityTooLarge, "body-too-large", err)
		}
		return errorReply(http.StatusBadRequest, "body-broken-off", err)
	}
	req.bufferedBody = buffered
	if !whole {
		req.remainingBody = body
	}
	return nil
}

// drainBody reads and discards what a rejected caller is still sending, up to a limit.
// Closing a connection with unread bytes resets it, and a caller that reads slowly
// then sees the reset instead of its response.
func drainBody(body io.Reader) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, maxDrainedBodyBytes))
	return err
}

// forward sends the request to servers until it has a final reply, or to a peer while this host
// has lost its links to the servers of the service.
func (g *Gateway) forward(ctx context.Context, req *request) *reply {
	req.admission = req.admittedElsewhere()
	for {
		g.checkLinks(g.now(), req.service)
		links := req.service.links.lostContext()
		if links.Err() != nil {
			if answer := g.replyWithoutLinks(ctx, req); answer != nil {
				return answer
			}
			links, req.openConnsOnly = context.Background(), true
		} else {
			req.openConnsOnly = false
		}
		if !req.counted {
			req.counted = true
			req.service.recordRequest(req.key(), req.route.Priority)
		}
		waiter := &balance.Waiter{Keyed: req.service.view != nil, Key: req.Key, Priority: req.route.Priority,
			Arrived: req.arrivedAt, Deadline: req.deadline, Objective: req.route.TargetLatency, Timeout: req.Timeout, Tried: req.triedServers, Admission: req.admission, Ready: make(chan struct{})}
		server, link, err := req.service.acquireServer(ctx, links.Done(), &g.stop, waiter)
		req.admission = waiter.Admission
		if errors.Is(err, errLinksLost) {
			continue
		}
		if err != nil {
			return g.replyWithoutServer(req, err)
		}
		// Other copies of the request may have crashed servers while this one waited.
		if rejected := g.quarantined(req); rejected != nil {
			req.service.releaseServer(server, balance.AttemptResult{Outcome: balance.Abandoned})
			return rejected
		}
		result := g.attempt(ctx, links, req, server, link)
		req.mayHaveRun = req.mayHaveRun || result.sent && !result.notRun
		if !result.sent && result.notRun && links.Err() != nil {
			continue // the links were lost while the connection was being opened
		}
		if !result.sent && result.notRun && req.openConnsOnly {
			return rejection(outcomeLinksLost, defaultRetryAfter)
		}
		if result.reply != nil && !g.shouldRetry(ctx, req, result) {
			if !result.sent && result.notRun && g.linksLostAfterProbe(ctx, req.service) {
				continue // a peer may take the request
			}
			return result.reply
		}
		if result.reply == nil {
			return g.replyWithoutResponse(ctx, req, result)
		}
		if result.reply.releaseServer != nil {
			// Another attempt replaces this long response: release its server.
			result.reply.releaseServer(responseAbandoned)
		}
	}
}

// replyWithoutLinks returns the reply to a request while this host has lost its links to the
// servers. It returns nil if the host has to try its own connections: no peer takes the request,
// but open connections still work.
func (g *Gateway) replyWithoutLinks(ctx context.Context, req *request) *reply {
	if req.forwarded != nil {
		if req.sendCount > req.forwarded.Sends {
			return rejection(outcomeLinksLost, defaultRetryAfter)
		}
		return declined(outcomeLinksLost)
	}
	if req.mayHaveRun && (req.sendCount >= req.route.MaxAttempts || req.remainingBody != nil) {
		return rejection(outcomeLinksLost, defaultRetryAfter)
	}
	answer, retryAfter := g.forwardToPeers(ctx, req)
	if answer != nil {
		return answer
	}
	if req.service.links.answeredWithin(g.now(), openConnsTrustedFor) {
		return nil
	}
	return rejection(outcomeLinksLost, cmp.Or(retryAfter, defaultRetryAfter))
}

// openConnsTrustedFor is how long after the last answer of a server open connections are used
// although new ones can't be opened.
const openConnsTrustedFor = time.Second

// replyWithoutServer returns the reply to a request that no server was found for.
func (g *Gateway) replyWithoutServer(req *request, err error) *reply {
	var rejected *balance.RejectedError
	if errors.As(err, &rejected) {
		return rejectionFor(rejected)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return rejection(string(balance.Expired), defaultRetryAfter)
	}
	if errors.Is(err, errHostStopping) && req.forwarded != nil && req.sendCount == req.forwarded.Sends {
		return declined(outcomeStopping)
	}
	if errors.Is(err, errHostStopping) || g.stop.requestsEnded() {
		return stoppingReply()
	}
	return &reply{outcome: outcomeCallerDisconnected}
}

// replyWithoutResponse returns the reply to a request whose last attempt produced none: the
// caller disconnected, the deadline passed, or the host ended its requests.
func (g *Gateway) replyWithoutResponse(ctx context.Context, req *request, result attemptResult) *reply {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errorReply(http.StatusGatewayTimeout, "timeout", result.err)
	}
	if g.stop.requestsEnded() {
		return errorReply(http.StatusGatewayTimeout, outcomeStopped, errStopped)
	}
	return &reply{outcome: outcomeCallerDisconnected}
}

// shouldRetry reports whether to make another attempt. If so it charges the retry budget
// and, for a service with keys, waits first.
func (g *Gateway) shouldRetry(ctx context.Context, req *request, result attemptResult) bool {
	repeatable := result.notRun || req.route.Idempotent && result.failed
	sent := result.sent
	consumed := sent && req.remainingBody != nil // a streamed body can't be sent again
	if !repeatable || consumed || ctx.Err() != nil {
		return false
	}
	if sent && req.sendCount >= req.route.MaxAttempts {
		return false
	}
	if !sent && len(req.triedServers) >= maxUnsentAttempts {
		return false
	}
	if g.now()+req.service.meanSlotTime()/2 > req.deadline {
		return false
	}
	if result.unanswered && g.judge(req).Verdict >= poison.Suspected {
		return false
	}
	if sent && !result.retryTaken && !req.service.takeRetry(req.route.Priority) {
		return false
	}
	g.logRetry(req, result)
	g.metrics.retries.Inc()
	if req.service.view != nil && !result.cutOff {
		clock.Sleep(ctx, ownerRetryDelay)
		return ctx.Err() == nil
	}
	return true
}

const (
	// maxUnsentAttempts bounds the attempts of a request whose last attempt sent nothing, as
	// to a server that can't be reached.
	maxUnsentAttempts = 4
	// ownerRetryDelay is the delay before a request is sent to the owner of its key again.
	// The owner that rejected it needs time to get its lease renewed or be replaced.
	ownerRetryDelay = 40 * time.Millisecond
)

// meanSlotTime returns the average time for which a request occupies a server's slot.
func (s *service) meanSlotTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.MeanServiceTime()
}

// newBackendRequest builds the request that is sent to a server.
func (g *Gateway) newBackendRequest(req *request, server *balance.Server) *http.Request {
	out := newOutgoingRequest(req)
	g.codec.WriteDispatch(out.Header, adapter.Dispatch{Server: server.ID, Timeout: req.deadline - g.now()})
	return out
}

// newOutgoingRequest builds a request with the method, target, end-to-end headers and body of the
// caller's.
func newOutgoingRequest(req *request) *http.Request {
	in := req.httpRequest
	out := &http.Request{Method: in.Method, URL: in.URL, RequestURI: backendlink.RequestTarget(in), Host: in.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: endToEndHeaders(in.Header), ContentLength: in.ContentLength}
	if _, given := out.Header["User-Agent"]; !given {
		out.Header["User-Agent"] = []string{""} // otherwise net/http adds its own
	}
	switch {
	case req.remainingBody != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(req.bufferedBody), req.remainingBody))
	case len(req.bufferedBody) > 0:
		out.Body = io.NopCloser(bytes.NewReader(req.bufferedBody))
		out.ContentLength = int64(len(req.bufferedBody))
	default:
		out.ContentLength = 0
	}
	return out
}

// hopByHopHeaders lists the hop-by-hop headers, which must not be forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// endToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func endToEndHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
