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

// try makes one attempt at a server. The reply is final, or says what is known
// if there is no other attempt.
func (p *page) try(ctx context.Context, req *request, chosen target) (dispatch.Reply, verdict) {
	known, waiter, refusal, ok := p.enter(ctx, req, chosen)
	if !ok {
		return refusal, final
	}
	select {
	case <-waiter.Admitted:
	case <-ctx.Done():
	}
	if !p.admitted(known, waiter) {
		if ctx.Err() != nil {
			return notRun(caller.ReasonDeadline, time.Second), final
		}
		return p.afterShed(req, chosen)
	}
	began := p.router.clock.Now()
	answer, running, err := p.send(ctx, req, chosen, known)
	held := p.router.clock.Now() - began
	p.exit(known, req, chosen, held, err)
	if err != nil {
		return p.afterFailure(ctx, req, running, err)
	}
	return p.afterAnswer(ctx, req, chosen, known, answer)
}

// enter asks the server's gate for a slot.
func (p *page) enter(ctx context.Context, req *request, chosen target) (*server, *dispatch.Waiter, dispatch.Reply, bool) {
	now := p.router.clock.Now()
	waiter := &dispatch.Waiter{
		Caller:   req.meta.Caller,
		Deadline: now + remaining(ctx),
		Admitted: make(chan struct{}),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.server(chosen.server)
	if !ok {
		return nil, nil, notRun(caller.ReasonUnreachable, time.Second), false
	}
	queued, comeBack := known.gate.Enter(now, waiter)
	if !queued {
		return nil, nil, notRun(caller.ReasonOverload, comeBack), false
	}
	return known, waiter, dispatch.Reply{}, true
}

// admitted reports whether the waiter has a slot, and gives the place up if not.
func (p *page) admitted(known *server, waiter *dispatch.Waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return known.gate.Leave(waiter)
}

// afterShed decides for a request that lost its place in a queue: because the
// key moved, which calls for another attempt, or because its time is too short.
func (p *page) afterShed(req *request, chosen target) (dispatch.Reply, verdict) {
	if req.service.Keyed && !p.holds(req.hash, chosen) {
		return notRun(caller.ReasonNoOwner, stalePause), again
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

// send sends the request if the lease still allows it.
func (p *page) send(ctx context.Context, req *request, chosen target, known *server) (backendlink.Answer, *attempt, error) {
	var cancel context.CancelFunc
	if req.meta.Idempotent {
		ctx, cancel = context.WithTimeout(ctx, tryTimeout)
	} else {
		ctx, cancel = context.WithCancel(ctx)
	}
	defer cancel()
	running := &attempt{hash: req.hash, token: chosen.token, cancel: cancel}
	p.started(req, running)
	defer p.ended(running)
	outgoing, err := serverRequest(ctx, req, chosen, known.record.Address)
	if err != nil {
		return backendlink.Answer{}, running, &backendlink.SendError{Cause: err}
	}
	lastCheck := func() bool { return p.mayLeave(ctx, req, chosen) }
	answer, err := known.pool.Do(ctx, outgoing, lastCheck)
	return answer, running, err
}

func (p *page) mayLeave(ctx context.Context, req *request, chosen target) bool {
	if ctx.Err() != nil {
		return false
	}
	if req.service.Keyed {
		return p.holds(req.hash, chosen)
	}
	return p.router.clock.Now() < p.expiry()
}

func (p *page) started(req *request, running *attempt) {
	if !req.service.Keyed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[running] = struct{}{}
}

func (p *page) ended(running *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, running)
}

// Times for which a server is avoided by requests that have a choice.
const (
	avoidFirst = 100 * time.Millisecond
	avoidMost  = 2 * time.Second
)

// exit gives the slot back and notes what the attempt says about the server.
func (p *page) exit(known *server, req *request, chosen target, held time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.router.clock.Now()
	if err == nil {
		known.gate.Exit(now, held)
		known.answered = true
		known.failures = 0
		p.meter.Add(chosen.low, req.hash, held)
		return
	}
	known.gate.Exit(now, known.gate.Service())
	if errors.Is(err, backendlink.ErrNotSent) || errors.Is(err, context.Canceled) {
		return
	}
	known.failed = true
	known.failures++
	known.avoidUntil = now + min(avoidFirst<<min(known.failures, 8), avoidMost)
}

// afterFailure decides what a request may be told that got no whole answer.
func (p *page) afterFailure(ctx context.Context, req *request, running *attempt, err error) (dispatch.Reply, verdict) {
	var sendErr *backendlink.SendError
	if !errors.As(err, &sendErr) || sendErr.Written {
		return p.afterWritten(ctx, req, running, err)
	}
	// Nothing left this process: the request is proven not to have run.
	reply := notRun(caller.ReasonUnreachable, time.Second)
	if ctx.Err() != nil {
		return notRun(caller.ReasonDeadline, time.Second), final
	}
	clock.Sleep(ctx, stalePause)
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
	case !p.wasMoved(running) && !p.router.mayRetry():
		return reply, final
	}
	p.router.meters.retry("connection-lost")
	return reply, again
}

func (p *page) wasMoved(running *attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return running.moved
}

// afterAnswer decides about a whole answer, which may be a refusal.
func (p *page) afterAnswer(ctx context.Context, req *request, chosen target, known *server, answer backendlink.Answer) (dispatch.Reply, verdict) {
	refusal := backend.Refusal(answer.Header.Get(backend.HeaderRefused))
	if refusal == "" {
		return p.afterDone(req, chosen, answer)
	}
	if remaining(ctx) <= shedPause {
		return notRun(caller.ReasonDeadline, time.Second), final
	}
	switch refusal {
	case backend.RefusedToken:
		// The owner knows a newer generation than this router, or lost its lease.
		p.waitChange(ctx, stalePause)
		return notRun(caller.ReasonNoOwner, time.Second), again
	case backend.RefusedDraining:
		p.avoid(known, avoidMost)
		if req.service.Keyed {
			p.waitChange(ctx, stalePause)
		}
		return notRun(caller.ReasonShed, time.Second), again
	case backend.RefusedExpired:
		return notRun(caller.ReasonDeadline, time.Second), final
	}
	p.avoid(known, avoidFirst)
	if !p.router.mayRetry() {
		return notRun(caller.ReasonShed, time.Second), final
	}
	p.router.meters.retry("shed")
	clock.Sleep(ctx, shedPause)
	return notRun(caller.ReasonShed, time.Second), again
}

func (p *page) avoid(known *server, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known.avoidUntil = p.router.clock.Now() + wait
}

// afterDone checks that the answer belongs to the request before it is passed on.
func (p *page) afterDone(req *request, chosen target, answer backendlink.Answer) (dispatch.Reply, verdict) {
	echoed := answer.Header.Get(backend.HeaderRequestID)
	if echoed != "" && echoed != req.meta.ID.String() {
		p.router.log.Error("server answered another request", "server", chosen.server, "wanted", req.meta.ID, "found", echoed)
		return unknown(caller.ReasonMismatchedResponse), final
	}
	return dispatch.Reply{
		Outcome: caller.Done,
		Status:  answer.Status,
		Headers: answerHeaders(answer.Header),
		Body:    answer.Body,
		Server:  chosen.server,
	}, final
}

// waitChange waits for a newer generation of the page, at most for a while.
func (p *page) waitChange(ctx context.Context, most time.Duration) {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	clock.Await(ctx, changed, most)
}
