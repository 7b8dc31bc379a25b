package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cicadarouter/host/clock"
	"cicadarouter/link/backendlink"
)

// A host that has lost its links to all servers of a service forwards its callers' requests for it to
// other hosts, its peers. A peer handles a forwarded request like one of its own callers, with the deadline and the
// remaining attempts of the host that forwarded it, and never forwards it further. A request that
// a peer has declined has not run and may be forwarded to another one. A request that was sent
// to a peer and got no answer may have run, and is not forwarded again.

// Headers between hosts.
const (
	headerForward       = "Cicada-Forward"
	headerForwardResult = "Cicada-Forward-Result"
)

// forwardInfo is the JSON value of the header of a forwarded request.
type forwardInfo struct {
	// Host is the host that forwards the request.
	Host string `json:"host"`
	// ElapsedMicros is the time since the caller's request arrived there, in microseconds.
	ElapsedMicros int64 `json:"elapsedMicros"`
	// Sends is the number of servers to which the request may have been sent.
	Sends int `json:"sends,omitempty"`
	// Counted is set if the host has counted the request in its own load and retry budget.
	Counted bool `json:"counted,omitempty"`
	// Configuration is the version by which the host has accepted the request.
	Configuration uint64 `json:"configuration"`
}

// forwardResult is the JSON value of the header of a peer's response.
type forwardResult struct {
	// Outcome is the outcome of the request.
	Outcome string `json:"outcome"`
	// Declined is set if the peer could not handle the request although another one might. The
	// request has not run.
	Declined bool `json:"declined,omitempty"`
	// Sends is the number of servers to which the request may have been sent by now.
	Sends int `json:"sends,omitempty"`
}

const (
	// outcomeLinksLost is the outcome of requests at a host without links to servers.
	outcomeLinksLost = "links-lost"
	// outcomeConfigurationDiffers is the outcome of a forwarded request at a peer whose
	// configuration is another one than that of the host that forwarded it.
	outcomeConfigurationDiffers = "configuration-differs"
	// outcomePeerLost is the outcome of a request whose peer did not answer.
	outcomePeerLost = "peer-lost"
)

const (
	// maxForwardTries bounds the peers that a request is offered to.
	maxForwardTries = 4
	// configurationWait is the pause before a request is offered again to peers that had another
	// configuration, and maxConfigurationWaits the number of pauses: a new version reaches all
	// hosts within some 0.2 s.
	configurationWait     = 40 * time.Millisecond
	maxConfigurationWaits = 8
	// maxDeclinedBodyBytes is the most that is read of the response to a declined request.
	maxDeclinedBodyBytes = 4 << 10
)

// errNotForwarded reports a response to a forwarded request that is not from a host.
var errNotForwarded = errors.New("response is not from a host that handles forwarded requests")

// forwardAttempt is the result of forwarding a request to one peer.
type forwardAttempt struct {
	// reply is the final reply, or nil if the request has not run and may be offered to another peer.
	reply *reply
	// declined is the peer's reason, or empty if the peer could not be reached.
	declined string
	// failed is set if the peer could not be reached or did not answer.
	failed bool
	err    error
}

// forwardToPeers forwards a request to one of the peers. It returns nil if no peer takes it; retryAfter
// is then the time until one may.
func (g *Gateway) forwardToPeers(ctx context.Context, req *request) (answer *reply, retryAfter time.Duration) {
	var tried []string
	differs, waits := false, 0
	for ctx.Err() == nil {
		address, conns, wait := g.peers.acquire(g.now(), req.serviceName, tried)
		if conns == nil && differs && waits < maxConfigurationWaits {
			clock.Sleep(ctx, configurationWait)
			tried, differs, waits = nil, false, waits+1
			continue
		}
		if conns == nil {
			g.metrics.forwarded("no-peer").Inc()
			return nil, wait
		}
		tried = append(tried, address)
		result := g.forwardTo(ctx, req, address, conns)
		g.logForward(req, address, result)
		switch {
		case result.reply != nil && result.reply.releaseServer != nil:
		case result.declined == outcomeLinksLost:
			g.peers.releaseForService(g.now(), address, req.serviceName, declinedPeerPause)
		default:
			g.peers.release(g.now(), address, result.pause())
		}
		if result.reply != nil {
			req.forwardedTo = address
			return result.reply, 0
		}
		differs = differs || result.declined == outcomeConfigurationDiffers
		if result.declined != "" && req.remainingBody != nil {
			return rejection(outcomeLinksLost, defaultRetryAfter), 0 // the peer may have read part of the body
		}
	}
	return g.replyIfEnded(ctx, ctx.Err()), 0
}

// pause returns for how long the peer gets no more requests.
func (a *forwardAttempt) pause() time.Duration {
	switch {
	case a.failed, a.declined == outcomeStopping:
		return failedPeerPause
	case a.declined != "" && a.declined != outcomeConfigurationDiffers:
		return declinedPeerPause
	}
	return 0
}

// forwardTo forwards a request to one peer and reads the response, or the first part of a long one.
func (g *Gateway) forwardTo(ctx context.Context, req *request, address string, conns *backendlink.Pool) forwardAttempt {
	exchange, err := conns.Begin(ctx)
	if err != nil {
		return forwardAttempt{err: err, failed: ctx.Err() == nil, reply: g.replyIfEnded(ctx, err)}
	}
	stop := context.AfterFunc(ctx, exchange.Abort)
	release := func(whole bool) {
		if stop() && whole {
			exchange.Keep()
		} else {
			exchange.Abort()
		}
	}
	if err := exchange.Send(g.newForwardedRequest(req)); err != nil {
		release(false)
		var sendErr *backendlink.SendError
		if errors.As(err, &sendErr) && !sendErr.Written {
			return forwardAttempt{err: err, failed: ctx.Err() == nil, reply: g.replyIfEnded(ctx, err)}
		}
		return g.peerLost(ctx, req, err)
	}
	var result forwardResult
	if err := json.Unmarshal([]byte(exchange.Response.Header.Get(headerForwardResult)), &result); err != nil {
		release(false)
		return g.peerLost(ctx, req, errNotForwarded)
	}
	if result.Declined {
		_, whole, err := backendlink.ReadWhole(exchange.Response.Body, maxDeclinedBodyBytes)
		release(whole && err == nil)
		return forwardAttempt{declined: result.Outcome}
	}
	data, whole, err := backendlink.ReadWhole(exchange.Response.Body, maxBufferedResponseBytes)
	if err != nil {
		release(false)
		return g.peerLost(ctx, req, errors.Join(errTruncated, err))
	}
	req.sendCount = max(req.sendCount, result.Sends)
	answer := forwardedReply(req, exchange.Response, result.Outcome, data)
	if whole {
		release(true)
		return forwardAttempt{reply: answer}
	}
	answer.remainingBody, answer.abort = exchange.Response.Body, exchange.Abort
	answer.releaseServer = func(end responseEnd) {
		release(end == responseWhole)
		g.peers.release(g.now(), address, 0)
	}
	return forwardAttempt{reply: answer}
}

// forwardedReply returns the reply to the caller for a peer's response.
func forwardedReply(req *request, response *http.Response, outcome string, data []byte) *reply {
	answer := &reply{outcome: outcome, status: response.StatusCode, header: endToEndHeaders(response.Header), body: data}
	answer.header.Del(headerForwardResult)
	if seconds, err := strconv.ParseFloat(answer.header.Get("Retry-After"), 64); err == nil && outcome != outcomeAnswered {
		answer.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if !bodyAllowed(req.httpRequest, response.StatusCode) {
		answer.body = nil
	} else if response.ContentLength < 0 && len(data) <= maxBufferedResponseBytes {
		answer.header.Del("Content-Length")
	}
	return answer
}

// peerLost returns the result of a request that was sent to a peer and got no complete answer: the
// request may have run.
func (g *Gateway) peerLost(ctx context.Context, req *request, err error) forwardAttempt {
	req.mayHaveRun = true
	if ctx.Err() != nil {
		return forwardAttempt{err: err, reply: g.replyWithoutResponse(ctx, req, attemptResult{err: err})}
	}
	return forwardAttempt{err: err, failed: true, reply: errorReply(http.StatusBadGateway, outcomePeerLost, err)}
}

// replyIfEnded returns the reply to a request that ended before anything was sent, or nil if it goes
// on.
func (g *Gateway) replyIfEnded(ctx context.Context, err error) *reply {
	if ctx.Err() == nil {
		return nil
	}
	if answer := g.unsentReply(ctx, err); answer != nil {
		return answer
	}
	return &reply{outcome: outcomeCallerDisconnected}
}

// newForwardedRequest builds the request that is sent to a peer.
func (g *Gateway) newForwardedRequest(req *request) *http.Request {
	out := newOutgoingRequest(req)
	info := forwardInfo{Host: g.identity.Host, ElapsedMicros: (g.now() - req.arrivedAt).Microseconds(), Sends: req.sendCount,
		Counted: req.counted, Configuration: req.configuration.Version}
	encoded, err := json.Marshal(info)
	if err != nil {
		panic(err) // can't happen: the struct holds numbers and a string
	}
	out.Header.Set(headerForward, string(encoded))
	return out
}

// logForward logs the result of forwarding a request to a peer.
func (g *Gateway) logForward(req *request, address string, result forwardAttempt) {
	outcome := "answered"
	switch {
	case result.declined != "":
		outcome = "declined"
	case result.reply == nil:
		outcome = "not-sent"
	case result.err != nil:
		outcome = "lost"
	}
	g.metrics.forwarded(outcome).Inc()
	if outcome != "answered" && g.failureLogLimit.allow() {
		g.log.Info("peer did not handle a request", "request", req.ID, "peer", address, "result", outcome, "declined", result.declined,
			"left-ms", (req.deadline - g.now()).Milliseconds(), "error", errorText(result.err))
	}
}
