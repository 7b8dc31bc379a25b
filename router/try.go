package router

import (
	"context"
	"errors"
	"time"

	"cicadarouter/contract/backend"
	"cicadarouter/contract/caller"
	"cicadarouter/dispatch"
	"cicadarouter/host/clock"
	"cicadarouter/link/backendlink"
)

// sendToServer sends the request to a server once. If the verdict is again, the reply is
// the one to return in case no further attempt follows.
func (p *page) sendToServer(ctx context.Context, req *request, chosen target) (dispatch.Reply, verdict) {
	srv, waiter, refusal, ok := p.enterGate(ctx, req, chosen)
	if !ok {
		return refusal, final
	}
	select {
	case <-waiter.Admitted:
	case <-ctx.Done():
	}
	if !p.checkAdmitted(srv, waiter) {
		if ctx.Err() != nil {
			return notRun(caller.ReasonDeadline, time.Second), final
		}
		return p.afterShed(req, chosen)
	}
	start := p.router.clock.Now()
	answer, running, err := p.send(ctx, req, chosen, srv)
	elapsed := p.router.clock.Now() - start
	p.leaveGate(srv, req, chosen, elapsed, err)
	if err != nil {
		return p.afterFailure(ctx, req, running, err)
	}
	return p.afterAnswer(ctx, req, chosen, srv, answer)
}

// enterGate requests a slot from the server's concurrency limiter. If the request is rejected, the
// last result is false and the reply says why.
func (p *page) enterGate(ctx context.Context, req *request, chosen target) (*server, *dispatch.Waiter, dispatch.Reply, bool) {
	now := p.router.clock.Now()
	waiter := &dispatch.Waiter{
		Caller:   req.meta.Caller,
		Deadline: now + remaining(ctx),
		Admitted: make(chan struct{}),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	srv, ok := p.server(chosen.server)
	if !ok {
		return nil, nil, notRun(caller.ReasonUnreachable, time.Second), false
	}
	queued, retryAfter := srv.limiter.Enqueue(now, waiter)
	if !queued {
		return nil, nil, notRun(caller.ReasonOverload, retryAfter), false
	}
	return srv, waiter, dispatch.Reply{}, true
}

// checkAdmitted reports whether the waiter has a slot, and removes it from the queue if not.
func (p *page) checkAdmitted(srv *server, waiter *dispatch.Waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return srv.limiter.Cancel(waiter)
}

// afterShed handles a request that was removed from a server's queue. If its key
// has moved to another owner, it is attempted again; otherwise it is rejected.
func (p *page) afterShed(req *request, chosen target) (dispatch.Reply, verdict) {
	if req.service.Keyed && !p.stillOwned(req.hash, chosen) {
		return notRun(caller.ReasonNoOwner, staleRetryDelay), again
	}
	return notRun(caller.ReasonOverload, time.Second), final
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Minute
	}
	return time.Until(deadline)
}

// send sends the request if the lease still allows it when the first byte is due.
func (p *page) send(ctx context.Context, req *request, chosen target, srv *server) (backendlink.Answer, *attempt, error) {
	var cancel context.CancelFunc
	if req.meta.Idempotent {
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout)
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	defer cancel()
	running := &attempt{hash: req.hash, token: chosen.token, cancel: cancel}
	p.addRunning(req, running)
	defer p.removeRunning(running)
	outgoing, err := serverRequest(ctx, req, chosen, srv.record.Address)
	if err != nil {
		return backendlink.Answer{}, running, &backendlink.SendError{Cause: err}
	}
	lastCheck := func() bool { return p.maySend(ctx, req, chosen) }
	answer, err := srv.pool.Do(ctx, req.meta.ID.String(), outgoing, lastCheck)
	return answer, running, err
}

func (p *page) maySend(ctx context.Context, req *request, chosen target) bool {
	if ctx.Err() != nil {
		return false
	}
	if req.service.Keyed {
		return p.stillOwned(req.hash, chosen)
	}
	return p.router.clock.Now() < p.expiry()
}

func (p *page) addRunning(req *request, running *attempt) {
	if !req.service.Keyed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[running] = struct{}{}
}

func (p *page) removeRunning(running *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, running)
}

// Durations for which requests that can go to several servers avoid one that failed
// or rejected a request.
const (
	baseAvoidTime = 100 * time.Millisecond
	maxAvoidTime  = 2 * time.Second
)

// leaveGate releases the slot and records what the attempt shows about the server.
func (p *page) leaveGate(srv *server, req *request, chosen target, elapsed time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.router.clock.Now()
	if err == nil {
		srv.limiter.Release(now, elapsed)
		srv.answered = true
		srv.consecutiveFailures = 0
		p.meter.Add(chosen.shardLow, req.hash, elapsed)
		return
	}
	srv.limiter.Release(now, srv.limiter.MeanServiceTime())
	if errors.Is(err, backendlink.ErrNotSent) || errors.Is(err, context.Canceled) {
		return
	}
	srv.failed = true
	srv.consecutiveFailures++
	srv.avoidUntil = now + min(baseAvoidTime<<min(srv.consecutiveFailures, 8), maxAvoidTime)
}

// afterFailure returns the reply to a request that got no complete answer.
func (p *page) afterFailure(ctx context.Context, req *request, running *attempt, err error) (dispatch.Reply, verdict) {
	var sendErr *backendlink.SendError
	if !errors.As(err, &sendErr) || sendErr.Written {
		return p.afterWritten(ctx, req, running, err)
	}
	// No byte was sent, so the request can't have run.
	reply := notRun(caller.ReasonUnreachable, time.Second)
	if ctx.Err() != nil {
		return notRun(caller.ReasonDeadline, time.Second), final
	}
	clock.Sleep(ctx, staleRetryDelay)
	return reply, again
}

func (p *page) afterWritten(ctx context.Context, req *request, running *attempt, err error) (dispatch.Reply, verdict) {
	reply := unknown(caller.ReasonConnectionLost)
	switch {
	case errors.Is(err, backendlink.ErrAnswerTooLarge):
		return unknown(caller.ReasonAnswerTooLarge), final
	case ctx.Err() != nil:
		return unknown(caller.ReasonDeadline), final
	case !req.meta.Idempotent:
		return reply, final
	case !p.hasMoved(running) && !p.router.takeRetry():
		return reply, final
	}
	p.router.metrics.countRetry("connection-lost")
	return reply, again
}

func (p *page) hasMoved(running *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return running.moved
}

// afterAnswer handles a complete answer, which may be a rejection by the server.
func (p *page) afterAnswer(ctx context.Context, req *request, chosen target, srv *server, answer backendlink.Answer) (dispatch.Reply, verdict) {
	// The answer, a refusal too, may be a late second copy of one to an earlier request.
	echoed := answer.Header.Get(backend.HeaderRequestID)
	if echoed != "" && echoed != req.meta.ID.String() {
		p.router.log.Error("server returned the answer to another request", "server", chosen.server, "wanted", req.meta.ID, "found", echoed)
		return unknown(caller.ReasonMismatchedResponse), final
	}
	refusal := backend.Refusal(answer.Header.Get(backend.HeaderRefused))
	if refusal == "" {
		return doneReply(chosen, answer), final
	}
	if remaining(ctx) <= shedRetryDelay {
		return notRun(caller.ReasonDeadline, time.Second), final
	}
	switch refusal {
	case backend.RefusedToken:
		// The server knows a newer generation than this router, or has lost its lease.
		p.waitChange(ctx, staleRetryDelay)
		return notRun(caller.ReasonNoOwner, time.Second), again
	case backend.RefusedDraining:
		p.avoid(srv, maxAvoidTime)
		if req.service.Keyed {
			p.waitChange(ctx, staleRetryDelay)
		}
		return notRun(caller.ReasonShed, time.Second), again
	case backend.RefusedExpired:
		return notRun(caller.ReasonDeadline, time.Second), final
	}
	p.avoid(srv, baseAvoidTime)
	if !p.router.takeRetry() {
		return notRun(caller.ReasonShed, time.Second), final
	}
	p.router.metrics.countRetry("shed")
	clock.Sleep(ctx, shedRetryDelay)
	return notRun(caller.ReasonShed, time.Second), again
}

func (p *page) avoid(srv *server, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	srv.avoidUntil = p.router.clock.Now() + wait
}

// doneReply returns the reply for a server's answer to the request.
func doneReply(chosen target, answer backendlink.Answer) dispatch.Reply {
	return dispatch.Reply{
		Outcome: caller.Done,
		Status:  answer.Status,
		Headers: answerHeaders(answer.Header),
		Body:    answer.Body,
		Server:  chosen.server,
	}
}

// waitChange waits up to a maximum for a newer generation of the page.
func (p *page) waitChange(ctx context.Context, most time.Duration) {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	clock.Await(ctx, changed, most)
}
