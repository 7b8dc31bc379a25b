package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cicadarouter/balance"
	"cicadarouter/connectivity"
	"cicadarouter/contract/adapter"
	"cicadarouter/internal/responsehead"
	"cicadarouter/link/backendlink"
)

// attemptResult describes how one attempt at one server ended.
type attemptResult struct {
	// reply is the reply to the caller if no other attempt follows; nil if the caller
	// disconnected or the deadline passed during the attempt.
	reply *reply
	// sent is set if any byte may have been sent; the attempt then counts against the
	// route's maximum.
	sent bool
	// notRun is set if the request is proven not to have run.
	notRun bool
	// failed is set if the server responded with a failure or not at all.
	failed bool
	// unanswered is set if the request was sent and the server did not respond to it:
	// the server may have crashed.
	unanswered bool
	// retryTaken is set if the request was aborted and a retry has been taken from the budget for it.
	retryTaken bool
	// replaced is set if another server responded at the server's address.
	replaced bool
	// cutOff is set if the server's failure domain was found cut off during the attempt.
	cutOff   bool
	outcome  balance.Outcome
	load     *balance.Load
	serverID string
	// hasID is set if the response names the request.
	hasID    bool
	exchange *exchangeInfo // set once the request has been sent
	err      error
}

// exchangeInfo describes in logs which response was taken for a request's.
type exchangeInfo struct {
	conn backendlink.ConnInfo
	// answeredAfter is the time from the send to the response, or to the failure.
	answeredAfter time.Duration
	// hasID is set if the response names the request.
	hasID bool
}

// logFields returns the fields for a log line; none if nothing was sent.
func (i *exchangeInfo) logFields() []any {
	if i == nil {
		return nil
	}
	return []any{"connection", i.conn.Number, "connection-sends", i.conn.Sends, "answered-us", i.answeredAfter.Microseconds(), "answer-id", i.hasID}
}

// completed reports whether a server's response shows that it finished running the request.
func (r *attemptResult) completed(status int) bool {
	return !r.notRun && status != http.StatusGatewayTimeout
}

// poolResult returns what the load balancer records about the server after the attempt.
func (r *attemptResult) poolResult(req *request, took time.Duration) balance.AttemptResult {
	return balance.AttemptResult{Outcome: r.outcome, Took: took, Objective: req.route.TargetLatency, Load: r.load}
}

// Errors of server responses.
var (
	errWrongRequest = errors.New("response belongs to another request")
	errUnidentified = errors.New("rejection on a reused connection lacks the request's ID")
	errTruncated    = errors.New("response was truncated")
	errUnsigned     = errors.New("successful response lacks the server's signature")
)

// maxStrayResponses bounds the responses to earlier requests that are skipped on one connection.
const maxStrayResponses = 2

// attempt sends the request to one server and reads the response. The server's slot is
// released when the response has been read to its end. links ends if the links to all servers
// are lost; a request on a silent connection is then aborted if it can be repeated. So is one to a
// server whose failure domain is found cut off.
func (g *Gateway) attempt(ctx, links context.Context, req *request, server *balance.Server, link *backendlink.Pool) attemptResult {
	startedAt := g.now()
	req.triedServers = append(req.triedServers, server.ID)
	cutOff := req.service.domains.cutOffContext(server.Address)
	exchange, err := beginExchange(ctx, cutOff, req, link)
	if err != nil {
		result := g.connectFailure(ctx, err)
		result.serverID, result.cutOff = server.ID, cutOff.Err() != nil
		g.noteConnectError(req.service, server, err)
		if links.Err() == nil && !req.openConnsOnly && !result.cutOff {
			g.checkForRestart(ctx, req, server)
		} else {
			result.outcome = balance.Abandoned // the link is at fault, not the server
		}
		req.service.releaseServer(server, result.poolResult(req, 0))
		return result
	}
	if exchange.AfterLoss {
		g.checkForRestart(ctx, req, server)
	}
	if left := req.service.backoffLeft(server); left > 0 {
		exchange.Abort()
		result := backoffResult(left)
		result.serverID = server.ID
		req.service.releaseServer(server, result.poolResult(req, 0))
		return result
	}
	req.sendCount++
	if g.serverLimits.value(server.Incarnation()) > 0 {
		g.metrics.limitedSends.Inc()
	}
	stop := context.AfterFunc(ctx, exchange.Abort)
	var retryTaken atomic.Bool
	var aborting sync.Mutex
	abortIf := func(takeRetry func(*request) bool) func() {
		return func() {
			aborting.Lock()
			defer aborting.Unlock()
			if !retryTaken.Load() && takeRetry(req) {
				retryTaken.Store(true)
				exchange.Abort()
			}
		}
	}
	stopOnLoss := context.AfterFunc(links, abortIf(g.takeRetryOnLoss))
	stopOnCutOff := context.AfterFunc(cutOff, abortIf(g.takeRetryOnCutOff))
	sentAt := g.now()
	g.noteSent(req.service, server)
	result, response := g.sendRequest(ctx, req, server, exchange)
	result.exchange = &exchangeInfo{conn: exchange.Conn(), answeredAfter: g.now() - sentAt, hasID: result.hasID}
	if result.reply != nil {
		result.reply.exchange = result.exchange
	}
	stopOnLoss()
	stopOnCutOff()
	g.noteExchangeEnded(req.service, server, response != nil)
	g.noteDomainExchange(ctx, req.service, sentAt, server.Address, response != nil, result.err)
	result.serverID, result.sent, result.cutOff = server.ID, true, response == nil && cutOff.Err() != nil
	if response == nil && (links.Err() != nil || result.cutOff) && ctx.Err() == nil {
		// The host's own links are at fault, not the server.
		result.outcome, result.unanswered, result.retryTaken = balance.Abandoned, false, retryTaken.Load()
	}
	if response == nil {
		stop()
		exchange.Abort()
		g.noteUnanswered(ctx, req, server, link, &result)
		g.checkForRestart(ctx, req, server)
		req.service.releaseServer(server, result.poolResult(req, g.now()-startedAt))
		return result
	}
	took := g.now() - startedAt
	g.noteAlive(server, aliveSpan(g.now()-exchange.Age(), startedAt, server), &result)
	finish := func(end responseEnd) {
		ended := !stop() // by the caller, or by the deadline
		if !ended && end == responseWhole && result.hasID {
			exchange.Keep()
		} else {
			exchange.Abort()
		}
		switch {
		case end == responseWhole && result.completed(response.StatusCode):
			g.noteCompleted(req)
		case end == responseBrokenOff && !ended:
			result.failed, result.unanswered, result.outcome, result.err = true, true, balance.Failed, errTruncated
			g.noteUnanswered(ctx, req, server, link, &result)
			g.checkForRestart(ctx, req, server)
		}
		req.service.releaseServer(server, result.poolResult(req, took))
	}
	if result.reply.remainingBody == nil {
		finish(responseWhole)
		return result
	}
	result.reply.releaseServer, result.reply.abort = finish, exchange.Abort
	return result
}

// takeRetryOnLoss takes a retry for a request that waits for an answer while the links to all servers
// are lost, and reports whether to abort it: it may be repeated, and its connection is silent too.
func (g *Gateway) takeRetryOnLoss(req *request) bool {
	links := req.service.links
	if !req.route.Idempotent || req.remainingBody != nil || req.sendCount >= req.route.MaxAttempts {
		return false
	}
	return links.areSilent() && !links.answeredWithin(g.now(), connectivity.SilenceThreshold) && req.service.takeRetry(req.route.Priority)
}

// beginExchange takes an open connection to a server, or opens one unless the request must not. It
// gives up once the server's failure domain is found cut off.
func beginExchange(ctx, cutOff context.Context, req *request, link *backendlink.Pool) (*backendlink.Exchange, error) {
	if req.openConnsOnly {
		return link.BeginIdleRequest(req.ID)
	}
	dialing, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(cutOff, cancel)()
	return link.BeginRequest(dialing, req.ID)
}

// connectFailure returns the result if no connection could be opened: nothing was sent.
func (g *Gateway) connectFailure(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		return attemptResult{outcome: balance.Abandoned, err: err, reply: g.unsentReply(ctx, err)}
	}
	return attemptResult{notRun: true, failed: true, outcome: balance.Unreachable, err: err,
		reply: &reply{outcome: "unreachable", status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, cause: err}}
}

// unsentReply tells a caller that its request has not run, if the deadline passed or
// the host ended its requests before anything was sent. It returns nil if the caller
// disconnected.
func (g *Gateway) unsentReply(ctx context.Context, err error) *reply {
	if g.stop.requestsEnded() {
		return stoppingReply()
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	return &reply{outcome: string(balance.Expired), status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, cause: err}
}

// sendRequest sends the request and reads the response, or the first part of a long one.
// The returned response is nil if the connection must not be reused.
func (g *Gateway) sendRequest(ctx context.Context, req *request, server *balance.Server, exchange *backendlink.Exchange) (attemptResult, *http.Response) {
	sent := g.now()
	out := g.newBackendRequest(req, server)
	if err := exchange.Send(out); err != nil {
		return g.noResponseResult(ctx, err), nil
	}
	for stray := 0; ; stray++ {
		metadata := g.codec.ReadAnswer(exchange.Response.StatusCode, exchange.Response.Header)
		isUnidentified := metadata.RequestID == "" && metadata.NotRun && req.ID != ""
		if isUnidentified && exchange.Reused {
			// It may be a late copy of a rejection of an earlier request.
			return g.noResponseResult(ctx, errUnidentified), nil
		}
		if metadata.RequestID == req.ID || isUnidentified {
			if otherServer := metadata.Misdirected && metadata.Server != server.ID; !otherServer {
				g.handleNotices(receivedNotices{from: server.Incarnation(), call: callRequest, requestID: req.ID, sentAt: sent, ran: metadata.HasSignature, Notice: metadata.Notice})
			}
			result, response := g.responseResult(ctx, req, server, exchange.Response, metadata)
			result.hasID = metadata.RequestID != ""
			return result, response
		}
		// The response belongs to another request, such as a second response to an
		// earlier one on this connection. Forwarding it would leak another caller's data.
		g.metrics.strayResponses.Inc()
		g.logStrayResponse(req, server, exchange, metadata)
		if !exchange.Reused || stray >= maxStrayResponses {
			return g.noResponseResult(ctx, errWrongRequest), nil
		}
		if err := exchange.Next(out); err != nil {
			return g.noResponseResult(ctx, err), nil
		}
	}
}

// noResponseResult returns the result of a request that was sent and got no complete
// response. Whether it ran is unknown, unless nothing was written.
func (g *Gateway) noResponseResult(ctx context.Context, err error) attemptResult {
	var sendErr *backendlink.SendError
	if errors.As(err, &sendErr) && !sendErr.Written {
		result := g.connectFailure(ctx, err)
		result.notRun = true // also if the deadline has passed
		return result
	}
	result := attemptResult{failed: true, outcome: balance.Failed, err: err, unanswered: !isUnusable(err)}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.outcome = balance.Unreachable
		return result
	case ctx.Err() != nil:
		result.outcome = balance.Abandoned
		return result
	}
	result.reply = &reply{outcome: "no-answer", status: http.StatusBadGateway, cause: err}
	return result
}

// isUnusable reports whether an error tells that the server did respond, in a way that can't be used.
func isUnusable(err error) bool {
	var malformed *responsehead.Error
	return errors.Is(err, errWrongRequest) || errors.Is(err, errUnidentified) || errors.Is(err, errUnsigned) ||
		errors.Is(err, backendlink.ErrHeadTooLarge) || errors.As(err, &malformed)
}

// responseResult returns the result of a server's response to this request.
func (g *Gateway) responseResult(ctx context.Context, req *request, server *balance.Server, response *http.Response, metadata adapter.Answer) (attemptResult, *http.Response) {
	result := attemptResult{load: metadata.Load}
	data, whole, err := backendlink.ReadWhole(response.Body, maxBufferedResponseBytes)
	if err != nil && metadata.NotRun {
		// The header is complete, and says that the request has not run.
		return attemptResult{load: metadata.Load, notRun: true, failed: true, outcome: balance.Refused, err: err,
			reply: rejection("server-refused", max(req.service.meanSlotTime(), metadata.Rest))}, nil
	}
	if err != nil {
		truncated := g.noResponseResult(ctx, errors.Join(errTruncated, err))
		truncated.load = metadata.Load
		return truncated, nil
	}
	if metadata.NotRun {
		result.notRun, result.failed, result.outcome = true, true, balance.Refused
		if metadata.Misdirected && metadata.Server != "" {
			// Another server has this address now, or the server does not hold the key.
			result.outcome, result.replaced = balance.Unreachable, metadata.Server != server.ID
		}
		result.reply = &reply{outcome: "server-refused", status: http.StatusServiceUnavailable, retryAfter: max(req.service.meanSlotTime(), metadata.Rest)}
		return result, response
	}
	if response.StatusCode < http.StatusMultipleChoices && !metadata.HasSignature {
		// Corrupted bytes may still parse as a response.
		return g.noResponseResult(ctx, errUnsigned), nil
	}
	result.reply = &reply{outcome: outcomeAnswered, status: response.StatusCode, header: endToEndHeaders(response.Header), body: data}
	if !whole {
		result.reply.remainingBody = response.Body
	}
	if !bodyAllowed(req.httpRequest, response.StatusCode) {
		result.reply.body = nil
	} else if response.ContentLength < 0 && whole {
		result.reply.header.Del("Content-Length")
	}
	result.failed = response.StatusCode >= http.StatusInternalServerError
	if result.failed {
		result.outcome = balance.Failed
		if response.StatusCode == http.StatusGatewayTimeout {
			result.outcome = balance.Abandoned // the deadline is the cause, not the server
		}
	}
	if statusMeansNotRun(response.StatusCode) {
		// The server ran the request, so the caller must not see a status that says it
		// did not run.
		result.failed, result.outcome = true, balance.Failed
		result.reply = &reply{outcome: "server-failed", status: http.StatusBadGateway}
		if !whole {
			return result, nil
		}
	}
	return result, response
}

// statusMeansNotRun reports whether a status tells a caller that its request has not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
