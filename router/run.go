package router

import (
	"context"
	"time"

	"cicadarouter/contract/caller"
	"cicadarouter/dispatch"
	"cicadarouter/record"
)

// Pauses of the dispatch loop.
const (
	shedPause  = 5 * time.Millisecond
	stalePause = 10 * time.Millisecond
	// tryTimeout bounds one attempt of an idempotent request, so that a frozen
	// server's slots come free again.
	tryTimeout = 400 * time.Millisecond
)

// run dispatches a request on a page that this router holds. A non-idempotent
// one meets the memory of earlier attempts first.
func (p *page) run(ctx context.Context, req *request) dispatch.Reply {
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
			return p.runOnce(ctx, req)
		}
		select {
		case <-done:
		case <-ctx.Done():
			return unknown(caller.ReasonEarlierAttemptRunning)
		}
	}
}

// runOnce dispatches a request that the memory admitted and notes its end. A
// panic on the way counts as unknown, so that no later copy may run.
func (p *page) runOnce(ctx context.Context, req *request) dispatch.Reply {
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

// dispatch makes attempts until one is final or the time is over.
func (p *page) dispatch(ctx context.Context, req *request) dispatch.Reply {
	var history dispatch.History
	avoid := map[string]bool{}
	for {
		chosen, changed, reply, ok := p.choose(req, avoid)
		if !ok {
			if reply.Reason != caller.ReasonNoOwner || !p.park(ctx, changed) {
				return history.Conclude(reply)
			}
			continue
		}
		reply, next := p.try(ctx, req, chosen)
		if next == final {
			return history.Conclude(reply)
		}
		history.Note(reply)
		avoid[chosen.server] = true
		if ctx.Err() != nil {
			return history.Conclude(timedOut(reply))
		}
	}
}

// timedOut is the reply of a request whose time ended between two attempts.
func timedOut(last dispatch.Reply) dispatch.Reply {
	if last.Outcome == caller.Unknown {
		return last
	}
	return notRun(caller.ReasonDeadline, time.Second)
}

// choose returns the target of the next attempt, or the reply to give without one.
func (p *page) choose(req *request, avoid map[string]bool) (target, <-chan struct{}, dispatch.Reply, bool) {
	p.mu.Lock()
	changed := p.changed
	held := p.lease.Load()
	now := p.router.clock.Now()
	defer p.mu.Unlock()
	if now >= held.expiry || p.router.leaving.Load() {
		return target{}, nil, notRun(caller.ReasonNoDispatcher, stalePause), false
	}
	if !req.service.Keyed {
		chosen, ok := p.leastLoaded(now, req, avoid)
		return chosen, changed, notRun(caller.ReasonUnreachable, time.Second), ok
	}
	chosen, owned := held.owner(req.hash)
	if owned {
		return chosen, changed, dispatch.Reply{}, true
	}
	return target{}, changed, p.withoutOwner(now, chosen.low), false
}

// withoutOwner is the reply for a key without an owner: wait, if an owner is
// due, or a refusal at once if that has taken too long.
func (p *page) withoutOwner(now time.Duration, low uint64) dispatch.Reply {
	since := p.ownerless[low]
	if now-since > p.router.limits.OwnerWait || p.parked >= p.router.limits.Parked {
		return notRun(caller.ReasonOverload, time.Second)
	}
	return notRun(caller.ReasonNoOwner, time.Second)
}

// park waits until the page changes. It reports whether the wait should go on
// with another try rather than end with a refusal.
func (p *page) park(ctx context.Context, changed <-chan struct{}) bool {
	p.mu.Lock()
	p.parked++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.parked--
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

// leastLoaded chooses the server of an unkeyed page with the fewest requests
// for its slots. This router sees all requests to the page's servers, so no
// sampling is needed. The caller holds p.mu.
func (p *page) leastLoaded(now time.Duration, req *request, avoid map[string]bool) (target, bool) {
	var best *server
	held := p.lease.Load()
	for _, candidate := range p.router.directory.PageServers(req.service, held.page.Home, held.page.Index) {
		known, ok := p.server(candidate.Name)
		if !ok || avoid[candidate.Name] || !usable(now, known) {
			continue
		}
		if best == nil || lessLoaded(known, best) {
			best = known
		}
	}
	if best == nil {
		return target{}, false
	}
	best.chosen++
	return target{server: best.record.Name}, true
}

// lessLoaded compares by requests for each slot. Among equals, as on a quiet
// service, the server that was chosen less often comes first.
func lessLoaded(a, b *server) bool {
	first, second := a.gate.Pressure(), b.gate.Pressure()
	if first != second {
		return first < second
	}
	return a.chosen*b.record.Slots < b.chosen*a.record.Slots
}

func usable(now time.Duration, known *server) bool {
	return now >= known.avoidUntil && known.record.State != record.ServerLeaving
}
