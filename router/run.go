package router

import (
	"context"
	"time"

	"cicadarouter/contract/caller"
	"cicadarouter/dispatch"
	"cicadarouter/record"
)

// Delays and timeouts of the dispatch loop.
const (
	shedRetryDelay  = 5 * time.Millisecond
	staleRetryDelay = 10 * time.Millisecond
	// attemptTimeout limits one attempt of an idempotent request, so that the slots of
	// a server that hangs are released.
	attemptTimeout = 400 * time.Millisecond
)

// runDeduplicated dispatches a request of a page that this router holds the lease of.
// Non-idempotent requests are deduplicated against earlier attempts first.
func (p *page) runDeduplicated(ctx context.Context, req *request) dispatch.Reply {
	if req.meta.Idempotent {
		return p.dispatch(ctx, req)
	}
	for {
		p.mu.Lock()
		admission, earlier, done := p.dedup.Begin(p.router.wall(), req.meta.ID, req.meta.Attempt)
		p.mu.Unlock()
		switch admission {
		case dispatch.AdmitReplay:
			return earlier
		case dispatch.AdmitUnknown:
			return unknown(caller.ReasonEarlierAttemptMayHaveRun)
		case dispatch.AdmitRun:
			return p.runAndRecord(ctx, req)
		}
		select {
		case <-done:
		case <-ctx.Done():
			return unknown(caller.ReasonEarlierAttemptRunning)
		}
	}
}

// runAndRecord dispatches a request that deduplication admitted and records its
// outcome. After a panic the outcome is unknown, so that no later copy runs.
func (p *page) runAndRecord(ctx context.Context, req *request) dispatch.Reply {
	reply := unknown(caller.ReasonConnectionLost)
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dedup.Finish(req.meta.ID, reply)
	}()
	reply = p.dispatch(ctx, req)
	return reply
}

// verdict says whether an attempt's reply is final.
type verdict uint8

const (
	final verdict = iota
	again
)

// dispatch makes attempts until one is final or the deadline passes.
func (p *page) dispatch(ctx context.Context, req *request) dispatch.Reply {
	var history dispatch.History
	avoid := map[string]bool{}
	for {
		chosen, changed, reply, ok := p.choose(req, avoid)
		if !ok {
			if reply.Reason != caller.ReasonNoOwner || !p.waitForOwner(ctx, changed) {
				return history.FinalReply(reply)
			}
			continue
		}
		reply, next := p.sendToServer(ctx, req, chosen)
		if next == final {
			return history.FinalReply(reply)
		}
		history.Record(reply)
		avoid[chosen.server] = true
		if ctx.Err() != nil {
			return history.FinalReply(timedOut(reply))
		}
	}
}

// timedOut returns the reply to a request whose deadline passed between two attempts.
func timedOut(last dispatch.Reply) dispatch.Reply {
	if last.Outcome == caller.Unknown {
		return last
	}
	return notRun(caller.ReasonDeadline, time.Second)
}

// choose returns the target of the next attempt and a channel that is closed when the
// page gets a newer generation. If there is no target, the last result is false and the
// reply says why.
func (p *page) choose(req *request, avoid map[string]bool) (target, <-chan struct{}, dispatch.Reply, bool) {
	p.mu.Lock()
	changed := p.changed
	held := p.lease.Load()
	now := p.router.clock.Now()
	defer p.mu.Unlock()
	if now >= held.expiry || p.router.leaving.Load() {
		return target{}, nil, notRun(caller.ReasonNoDispatcher, staleRetryDelay), false
	}
	if !req.service.Keyed {
		chosen, ok := p.leastLoaded(now, req, avoid)
		return chosen, changed, notRun(caller.ReasonUnreachable, time.Second), ok
	}
	chosen, owned := held.owner(req.hash)
	if owned {
		return chosen, changed, dispatch.Reply{}, true
	}
	return target{}, changed, p.replyWithoutOwner(now, chosen.shardLow), false
}

// replyWithoutOwner returns the reply for a key without an owner. ReasonNoOwner makes
// the request wait for the next owner; ReasonOverload rejects it at once, because
// the shard has had no owner for longer than OwnerWait or too many requests wait.
func (p *page) replyWithoutOwner(now time.Duration, low uint64) dispatch.Reply {
	since := p.ownerlessSince[low]
	if now-since > p.router.limits.OwnerWait || p.waitingForOwner >= p.router.limits.WaitingForOwner {
		return notRun(caller.ReasonOverload, time.Second)
	}
	return notRun(caller.ReasonNoOwner, time.Second)
}

// waitForOwner waits for a newer generation of the page. It returns false if OwnerWait or
// the request's deadline passes first.
func (p *page) waitForOwner(ctx context.Context, changed <-chan struct{}) bool {
	p.mu.Lock()
	p.waitingForOwner++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.waitingForOwner--
		p.mu.Unlock()
	}()
	timer := time.NewTimer(p.router.limits.OwnerWait)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// leastLoaded selects the server of an unkeyed page with the fewest running and
// waiting requests per slot. This router sees all requests to the page's servers,
// so it compares all of them instead of a sample. p.mu must be held.
func (p *page) leastLoaded(now time.Duration, req *request, avoid map[string]bool) (target, bool) {
	var best *server
	held := p.lease.Load()
	for _, candidate := range p.router.directory.PageServers(req.service, held.page.Home, held.page.Index) {
		srv, ok := p.server(candidate.Name)
		if !ok || avoid[candidate.Name] || !usable(now, srv) {
			continue
		}
		if best == nil || lessLoaded(srv, best) {
			best = srv
		}
	}
	if best == nil {
		return target{}, false
	}
	best.timesChosen++
	return target{server: best.record.Name}, true
}

// lessLoaded compares the requests per slot. If they are equal, as in an idle
// service, the server that was chosen less often per slot wins.
func lessLoaded(a, b *server) bool {
	first, second := a.limiter.LoadPerSlot(), b.limiter.LoadPerSlot()
	if first != second {
		return first < second
	}
	return a.timesChosen*b.record.Slots < b.timesChosen*a.record.Slots
}

func usable(now time.Duration, srv *server) bool {
	return now >= srv.avoidUntil && srv.record.State != record.ServerLeaving
}
