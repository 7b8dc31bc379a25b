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

// Delays and timeouts of the search for a page's dispatch router.
const (
	initialSearchDelay = 10 * time.Millisecond
	maxSearchDelay     = 100 * time.Millisecond
	// forwardTimeout limits one forward of an idempotent request, so that time for
	// another router remains if the first one hangs.
	forwardTimeout = 1500 * time.Millisecond
)

// deliver dispatches a request or forwards it to its page's dispatch router, retries
// while that router is unknown or unreachable, and returns the reply.
func (r *Router) deliver(ctx context.Context, req *request) dispatch.Reply {
	r.recordFirstAttempt()
	start := r.clock.Now()
	wait := initialSearchDelay
	var history dispatch.History
	for turn := 0; ; turn++ {
		reply := r.deliverOnce(ctx, req, turn)
		if reply.Outcome == caller.Done || reply.Reason == caller.ReasonDeadline || !r.shouldRetry(req, reply) {
			return history.FinalReply(reply)
		}
		history.Record(reply)
		if ctx.Err() != nil {
			return history.FinalReply(timedOut(reply))
		}
		// A lost router is replaced within OwnerWait. A request that has waited
		// that long, or whose deadline is before the next try, is rejected now
		// with the time after which to retry.
		if r.clock.Now()-start+wait > r.limits.OwnerWait || remaining(ctx) <= wait {
			reply.RetryAfter = max(reply.RetryAfter, time.Second)
			return history.FinalReply(reply)
		}
		clock.Sleep(ctx, wait)
		wait = min(2*wait, maxSearchDelay)
	}
}

// shouldRetry reports whether to try again, at the same or another router.
func (r *Router) shouldRetry(req *request, reply dispatch.Reply) bool {
	switch {
	case reply.Outcome == caller.NotRun:
		return reply.Reason == caller.ReasonNoDispatcher
	case !req.meta.Idempotent || reply.Reason != caller.ReasonNoDispatcher:
		return false
	}
	if !r.takeRetry() {
		return false
	}
	r.metrics.countRetry("router-lost")
	return true
}

func (r *Router) deliverOnce(ctx context.Context, req *request, turn int) dispatch.Reply {
	if held, ok := r.leasedPage(req.page); ok {
		return held.runDeduplicated(ctx, req)
	}
	if req.hops >= maxHops {
		return notRun(caller.ReasonNoDispatcher, staleRetryDelay)
	}
	host := r.candidateHost(req, turn)
	if host == "" {
		return notRun(caller.ReasonNoDispatcher, maxSearchDelay)
	}
	return r.forward(ctx, req, host)
}

// candidateHost returns the host to try in this turn. Every other turn it is the last
// known dispatch router of the page, which takes one map lookup and may have changed
// since the previous turn. In the other turns it is each remaining host of the page's
// failure domain in order of preference.
func (r *Router) candidateHost(req *request, turn int) string {
	hint := r.directory.Dispatcher(req.page)
	if hint == r.identity.Host {
		hint = ""
	}
	if hint != "" && turn%2 == 0 {
		return hint
	}
	order := domain.DispatchOrder(req.page, r.directory.Hosts(), r.pageHome(req))
	order = slices.DeleteFunc(order, func(host string) bool { return host == r.identity.Host || host == hint })
	if len(order) == 0 {
		return hint
	}
	return order[(turn/2)%len(order)]
}

// pageHome returns the failure domain whose hosts dispatch the page. It differs from
// the initial one after another domain has taken the page over.
func (r *Router) pageHome(req *request) string {
	if page, _, known := r.directory.Page(req.page); known {
		return page.Home
	}
	index := req.service.PageOf(req.hash)
	return r.homeAfterTakeover(req.service, req.page, req.service.PageHome(index))
}

func (r *Router) homeAfterTakeover(service record.Service, page, home string) string {
	lost := r.directory.Lost(record.LostDomain)
	if !slices.Contains(lost, home) {
		return home
	}
	return domain.TakeoverDomain(page, service, lost)
}

// maxReplyMargin is the maximum subtracted from the deadline given to the other router,
// so that its reply at its deadline arrives before this router's own. The reply may
// say that the request has not run, which this router could not know.
const maxReplyMargin = 5 * time.Millisecond

// peerTimeout returns the timeout to pass to another router with a request.
func peerTimeout(ctx context.Context) time.Duration {
	left := remaining(ctx)
	return left - min(maxReplyMargin, left/10)
}

// forward sends the request to another router and records the dispatch router that
// its reply names.
func (r *Router) forward(ctx context.Context, req *request, host string) dispatch.Reply {
	peer, ok := r.directory.Host(host)
	if !ok {
		return notRun(caller.ReasonNoDispatcher, maxSearchDelay)
	}
	r.metrics.countForward()
	var sent link.Sent
	ctx = link.WithSent(ctx, &sent)
	if req.meta.Idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
	}
	reply, err := r.links.Dispatch(peer.RouterLink).Forward(ctx, req.toLink(peerTimeout(ctx)))
	switch {
	case err == nil:
	case !sent.Any():
		return notRun(caller.ReasonNoDispatcher, maxSearchDelay)
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
