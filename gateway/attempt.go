package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cicadarouter/balance"
	"cicadarouter/contract/adapter"
	"cicadarouter/link/backendlink"
)

// attemptResult is how one attempt at one server ended.
type attemptResult struct {
	// reply is what the caller gets if there is no other attempt; nil if the
	// caller left or the time ran out during the attempt.
	reply *reply
	// sent is set once any byte may have left: it counts as an attempt.
	sent bool
	// notRun is set if the request is proven not to have run.
	notRun bool
	// failed is set if the answer was a failure, or there was none.
	failed bool
	// unanswered is set if the request was sent and the server gave no answer to it:
	// the server may have ended.
	unanswered bool
	// replaced is set if another server answered at the server's address.
	replaced bool
	outcome  balance.Outcome
	load     *balance.Load
	server   string
	err      error
}

// ran reports whether a server's answer shows that it ran the request to its end.
func (r *attemptResult) ran(status int) bool {
	return !r.notRun && status != http.StatusGatewayTimeout
}

// end is what the result tells of the server.
func (r *attemptResult) end(req *request, took time.Duration) balance.End {
	return balance.End{Outcome: r.outcome, Took: took, Objective: req.route.TargetLatency, Load: r.load}
}

// Errors of answers.
var (
	errOtherAnswer = errors.New("the answer belongs to another request")
	errBrokenOff   = errors.New("the answer broke off")
	errUnproven    = errors.New("the answer says success without the server's signature")
)

// mostStray bounds answers to earlier requests that are read past.
const mostStray = 2

// attempt sends the request to one server and reads the answer. The server's
// place is given back when the answer has been read.
func (g *Gateway) attempt(ctx context.Context, req *request, server *balance.Server, link *backendlink.Pool) attemptResult {
	began := g.now()
	req.tried = append(req.tried, server.ID)
	exchange, err := link.Begin(ctx)
	if err != nil {
		result := g.unreached(ctx, err)
		result.server = server.ID
		g.noteConnectError(server, err)
		g.doubt(ctx, req, server)
		req.service.done(server, result.end(req, 0))
		return result
	}
	if exchange.AfterLoss {
		g.doubt(ctx, req, server)
	}
	if left := req.service.restLeft(server); left > 0 {
		exchange.Abort()
		result := restingResult(left)
		result.server = server.ID
		req.service.done(server, result.end(req, 0))
		return result
	}
	req.sends++
	if g.serverLimits.value(server.Incarnation()) > 0 {
		g.metrics.limitedSends.Inc()
	}
	stop := context.AfterFunc(ctx, exchange.Abort)
	result, response := g.exchange(ctx, req, server, exchange)
	result.server, result.sent = server.ID, true
	if response == nil {
		stop()
		exchange.Abort()
		g.noteUnanswered(ctx, req, server, link, &result)
		g.doubt(ctx, req, server)
		req.service.done(server, result.end(req, g.now()-began))
		return result
	}
	took := g.now() - began
	g.noteAlive(server, aliveSpan(g.now()-exchange.Opened(), began, server), &result)
	finish := func(whole bool) {
		if stop() && whole {
			exchange.Keep()
		} else {
			exchange.Abort()
		}
		if whole && result.ran(response.StatusCode) {
			g.noteCompleted(req)
		}
		req.service.done(server, result.end(req, took))
	}
	if result.reply.rest == nil {
		finish(true)
		return result
	}
	result.reply.finish, result.reply.giveUp = finish, exchange.Abort
	return result
}

// unreached is the result when no connection could be had: nothing was sent.
func (g *Gateway) unreached(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		return attemptResult{outcome: balance.Abandoned, err: err, reply: g.unsentReply(ctx, err)}
	}
	return attemptResult{notRun: true, failed: true, outcome: balance.Unreachable, err: err,
		reply: &reply{outcome: "unreachable", status: http.StatusServiceUnavailable, retryAfter: retryAfterUnknown, cause: err}}
}

// unsentReply tells a caller whose time ran out before anything was sent that
// its request has not run.
func (g *Gateway) unsentReply(ctx context.Context, err error) *reply {
	if g.stop.over() {
		return stoppingReply()
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	return &reply{outcome: string(balance.Expired), status: http.StatusServiceUnavailable, retryAfter: retryAfterUnknown, cause: err}
}

// exchange sends the request and reads the answer, of a long one the first
// part. response is nil if the connection must not be used again.
func (g *Gateway) exchange(ctx context.Context, req *request, server *balance.Server, exchange *backendlink.Exchange) (attemptResult, *http.Response) {
	sent := g.now()
	out := g.outgoing(req, server)
	if err := exchange.Send(out); err != nil {
		return g.unanswered(ctx, err), nil
	}
	for stray := 0; ; stray++ {
		meta := g.codec.ReadAnswer(exchange.Response.StatusCode, exchange.Response.Header)
		if meta.RequestID == req.ID || meta.RequestID == "" && meta.NotRun {
			if another := meta.Misdirected && meta.Server != server.ID; !another {
				g.hear(hearing{server: server.Incarnation(), call: callRequest, request: req.ID, sent: sent, ran: meta.Proven, Notice: meta.Notice})
			}
			return g.answered(ctx, req, server, exchange.Response, meta)
		}
		// A late second answer to an earlier request lies in the way. Passing
		// it on would give one caller another's answer.
		g.metrics.strays.Inc()
		if !exchange.Reused || stray >= mostStray {
			return g.unanswered(ctx, errOtherAnswer), nil
		}
		if err := exchange.Next(out); err != nil {
			return g.unanswered(ctx, err), nil
		}
	}
}

// unanswered is the result of a request that was sent and got no whole answer.
// Nobody knows whether it ran, unless nothing was written.
func (g *Gateway) unanswered(ctx context.Context, err error) attemptResult {
	var sendErr *backendlink.SendError
	if errors.As(err, &sendErr) && !sendErr.Written && ctx.Err() == nil {
		return g.unreached(ctx, err)
	}
	result := attemptResult{failed: true, outcome: balance.Failed, err: err,
		unanswered: !errors.Is(err, errOtherAnswer) && !errors.Is(err, errUnproven)}
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

// answered takes a server's answer to this request.
func (g *Gateway) answered(ctx context.Context, req *request, server *balance.Server, response *http.Response, meta adapter.Answer) (attemptResult, *http.Response) {
	result := attemptResult{load: meta.Load}
	data, whole, err := backendlink.ReadWhole(response.Body, heldAnswer)
	if err != nil {
		broken := g.unanswered(ctx, errors.Join(errBrokenOff, err))
		broken.load = meta.Load
		return broken, nil
	}
	if meta.NotRun {
		result.notRun, result.failed, result.outcome = true, true, balance.Refused
		if meta.Misdirected && meta.Server != "" {
			// The server has ended, or does not hold the key.
			result.outcome, result.replaced = balance.Unreachable, meta.Server != server.ID
		}
		result.reply = &reply{outcome: "server-refused", status: http.StatusServiceUnavailable, retryAfter: max(req.service.mean(), meta.Rest)}
		return result, response
	}
	if response.StatusCode < http.StatusMultipleChoices && !meta.Proven {
		// Spoilt bytes may still parse as an answer.
		return g.unanswered(ctx, errUnproven), nil
	}
	result.reply = &reply{outcome: outcomeAnswered, status: response.StatusCode, header: forwardable(response.Header), body: data}
	if !whole {
		result.reply.rest = response.Body
	}
	if !bodyAllowed(req.http, response.StatusCode) {
		result.reply.body = nil
	} else if response.ContentLength < 0 && whole {
		result.reply.header.Del("Content-Length")
	}
	result.failed = response.StatusCode >= http.StatusInternalServerError
	if result.failed {
		result.outcome = balance.Failed
		if response.StatusCode == http.StatusGatewayTimeout {
			result.outcome = balance.Abandoned // the deadline ended it, not the server
		}
	}
	if promisesNotRun(response.StatusCode) {
		// The server ran the request; its caller must not read this as a promise.
		result.failed, result.outcome = true, balance.Failed
		result.reply = &reply{outcome: "server-failed", status: http.StatusBadGateway}
		if !whole {
			return result, nil
		}
	}
	return result, response
}

// promisesNotRun reports the statuses that tell a caller that its request has
// not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
