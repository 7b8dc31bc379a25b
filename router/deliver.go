package router

import (
	"context"
	"errors"
	"slices"
	"time"

	"cicadarouter/contract/caller"
	"cicadarouter/dispatch"
	"cicadarouter/domain"
	"cicadarouter/host/clock"
	"cicadarouter/link"
	"cicadarouter/record"
)

// Pauses of the search for a dispatch router.
const (
	searchPauseFirst = 10 * time.Millisecond
	searchPauseMost  = 100 * time.Millisecond
	// forwardTry bounds one forward of an idempotent request, so that a frozen
	// router is noticed while there is time for another.
	forwardTry = 1500 * time.Millisecond
)

// deliver brings a request to its page's dispatch router and returns the reply.
func (r *Router) deliver(ctx context.Context, req *request) dispatch.Reply {
	r.firstAttempt()
	began := r.clock.Now()
	wait := searchPauseFirst
	var history dispatch.History
	for turn := 0; ; turn++ {
		reply := r.deliverOnce(ctx, req, turn)
		if reply.Outcome == caller.Done || reply.Reason == caller.ReasonDeadline || !r.worthAnother(req, reply) {
			return history.Conclude(reply)
		}
		history.Note(reply)
		if ctx.Err() != nil {
			return history.Conclude(timedOut(reply))
		}
		// A loss is mended within OwnerWait. Who has waited so long, or cannot
		// wait for the next try, is refused now and told when to come back.
		if r.clock.Now()-began+wait > r.limits.OwnerWait || remaining(ctx) <= wait {
			reply.RetryAfter = max(reply.RetryAfter, time.Second)
			return history.Conclude(reply)
		}
		clock.Sleep(ctx, wait)
		wait = min(2*wait, searchPauseMost)
	}
}

// worthAnother reports whether another router should be tried.
func (r *Router) worthAnother(req *request, reply dispatch.Reply) bool {
	switch {
	case reply.Outcome == caller.NotRun:
		return reply.Reason == caller.ReasonNoDispatcher
	case !req.meta.Idempotent || reply.Reason != caller.ReasonNoDispatcher:
		return false
	}
	if !r.mayRetry() {
		return false
	}
	r.meters.retry("router-lost")
	return true
}

func (r *Router) deliverOnce(ctx context.Context, req *request, turn int) dispatch.Reply {
	if held, ok := r.dispatched(req.page); ok {
		return held.run(ctx, req)
	}
	if req.hops >= maxHops {
		return notRun(caller.ReasonNoDispatcher, stalePause)
	}
	host := r.candidate(req, turn)
	if host == "" {
		return notRun(caller.ReasonNoDispatcher, searchPauseMost)
	}
	return r.forward(ctx, req, host)
}

// candidate returns the host to try in this turn. Every other turn it is the one
// that was last known to dispatch the page, which costs a look-up only and may
// have changed since the last turn; between those, the others of the page's
// failure domain are tried in the order of preference.
func (r *Router) candidate(req *request, turn int) string {
	hint := r.directory.Dispatcher(req.page)
	if hint == r.identity.Host {
		hint = ""
	}
	if hint != "" && turn%2 == 0 {
		return hint
	}
	order := domain.DispatchOrder(req.page, r.directory.Hosts(), r.homeOf(req))
	order = slices.DeleteFunc(order, func(host string) bool { return host == r.identity.Host || host == hint })
	if len(order) == 0 {
		return hint
	}
	return order[(turn/2)%len(order)]
}

// homeOf returns the failure domain whose hosts dispatch the page. A page that
// was taken over has another home than it was made for.
func (r *Router) homeOf(req *request) string {
	if page, _, known := r.directory.Page(req.page); known {
		return page.Home
	}
	index := req.service.PageOf(req.hash)
	return r.inherited(req.service, req.page, req.service.PageHome(index))
}

func (r *Router) inherited(service record.Service, page, home string) string {
	lost := r.directory.Lost(record.LostDomain)
	if !slices.Contains(lost, home) {
		return home
	}
	return domain.TakeoverDomain(page, service, lost)
}

// answerTime is kept for the way back, so that the other router's own word at
// its deadline, which may be that the request has not run, arrives before ours.
const answerTime = 5 * time.Millisecond

// budget returns the time that another router may spend on a request.
func budget(ctx context.Context) time.Duration {
	left := remaining(ctx)
	return left - min(answerTime, left/10)
}

// forward hands the request to another router.
func (r *Router) forward(ctx context.Context, req *request, host string) dispatch.Reply {
	peer, ok := r.directory.Host(host)
	if !ok {
		return notRun(caller.ReasonNoDispatcher, searchPauseMost)
	}
	r.meters.forwarded()
	var sent link.Sent
	ctx = link.WithSent(ctx, &sent)
	if req.meta.Idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, forwardTry)
		defer cancel()
	}
	reply, err := r.links.Dispatch(peer.RouterLink).Forward(ctx, req.toLink(budget(ctx)))
	switch {
	case err == nil:
	case !sent.Any():
		return notRun(caller.ReasonNoDispatcher, searchPauseMost)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && !req.meta.Idempotent:
		return unknown(caller.ReasonDeadline)
	default:
		return unknown(caller.ReasonNoDispatcher)
	}
	if reply.GetDispatcher() != "" {
		r.directory.SetDispatcher(req.page, reply.GetDispatcher())
	}
	return replyFromLink(reply)
}
