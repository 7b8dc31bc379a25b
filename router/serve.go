package router

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cicadarouter/contract/caller"
	"cicadarouter/link/linkpb"
	"cicadarouter/ownership"
	"cicadarouter/record"
)

// LinkServer implements the gRPC service of a router: forwarded requests, leases
// from the controllers, and request counts.
type LinkServer struct {
	linkpb.UnimplementedDispatchServer
	r *Router
}

// NewLinkServer returns the gRPC service of a router.
func NewLinkServer(r *Router) *LinkServer { return &LinkServer{r: r} }

var _ linkpb.DispatchServer = (*LinkServer)(nil)

// Forward implements linkpb.DispatchServer.
func (s *LinkServer) Forward(ctx context.Context, in *linkpb.ForwardRequest) (*linkpb.ForwardReply, error) {
	s.r.activeCalls.Add(1)
	defer s.r.activeCalls.Done()
	service, ok := s.r.directory.Service(in.GetService())
	if !ok {
		return replyToLink(notRun(caller.ReasonNoDispatcher, maxSearchDelay), ""), nil
	}
	req, err := requestFromLink(service, in)
	if err != nil {
		return replyToLink(notRun(caller.ReasonBadRequest, 0), ""), nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(in.GetBudgetNanos()))
	defer cancel()
	reply := s.r.deliverOnce(ctx, req, 0)
	return replyToLink(reply, s.knownDispatcher(req.page)), nil
}

// knownDispatcher returns the page's dispatch router, or "" if this router doesn't know it.
func (s *LinkServer) knownDispatcher(page string) string {
	if _, ok := s.r.leasedPage(page); ok {
		return s.r.identity.Host
	}
	hint := s.r.directory.Dispatcher(page)
	if hint == s.r.identity.Host {
		return "" // the directory is out of date: this router no longer dispatches the page
	}
	return hint
}

// Lease implements linkpb.DispatchServer.
func (s *LinkServer) Lease(_ context.Context, in *linkpb.LeaseRequest) (*linkpb.LeaseReply, error) {
	reply := &linkpb.LeaseReply{Incarnation: s.r.holder.Incarnation(), Leaving: s.r.leaving.Load()}
	for _, offered := range in.GetLeases() {
		reply.Pages = append(reply.Pages, s.r.applyOffer(offered, reply.Leaving))
	}
	// The stamp is taken last: a lease that is counted from it ends no later
	// than one counted from any earlier moment of this exchange would allow.
	reply.ClockNanos = int64(s.r.clock.Now())
	return reply, nil
}

// applyOffer applies one offered lease, unless it is a probe or this router is
// leaving, and returns the status of the page.
func (r *Router) applyOffer(offered *linkpb.PageLease, leaving bool) *linkpb.PageStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := &linkpb.PageStatus{Page: offered.GetPage()}
	if !offered.GetProbe() && !leaving {
		if err := r.acceptLease(offered); err != nil {
			status.Refused = true
			var refusal *ownership.GrantRefusal
			if !errors.As(err, &refusal) {
				r.log.Error("failed to decode the page record of a lease", "page", offered.GetPage(), "error", err)
			}
		}
	}
	status.Generation = r.holder.Generation(offered.GetPage())
	if held, known := r.pages[offered.GetPage()]; known {
		held.addStatus(status)
	}
	return status
}

// acceptLease validates and applies a lease. r.mu must be held.
func (r *Router) acceptLease(offered *linkpb.PageLease) error {
	var fresh *record.Page
	if len(offered.GetRecord()) > 0 && offered.GetGeneration() > r.holder.Generation(offered.GetPage()) {
		fresh = &record.Page{Name: offered.GetPage()}
		if err := json.Unmarshal(offered.GetRecord(), fresh); err != nil {
			return err
		}
	}
	grant := ownership.Grant{
		Page:        offered.GetPage(),
		Generation:  offered.GetGeneration(),
		Incarnation: offered.GetIncarnation(),
		Expiry:      time.Duration(offered.GetExpiryNanos()),
		Complete:    fresh != nil,
	}
	if err := r.holder.Accept(grant); err != nil {
		return err
	}
	held, known := r.pages[offered.GetPage()]
	if !known {
		held = newPage(r, offered.GetPage())
		r.pages[offered.GetPage()] = held
	}
	held.renew(r.clock.Now(), r.holder.Expiry(offered.GetPage()), fresh)
	return nil
}

// addStatus adds to the status what the page's requests have shown about its servers
// since the last report, and the load.
func (p *page) addStatus(status *linkpb.PageStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, srv := range p.servers {
		status.Signs = append(status.Signs, &linkpb.ServerSign{
			Server:   name,
			Answered: srv.answered,
			Failed:   srv.failed && !srv.answered,
			InFlight: uint32(srv.limiter.InFlight()),
		})
		srv.answered = false
		srv.failed = false
	}
	p.addLoads(status)
}

// minLoadReportInterval is the minimum interval between load reports. The controller averages
// loads over a second, and reporting them at every lease renewal costs more than the
// renewals themselves.
const minLoadReportInterval = 900 * time.Millisecond

// addLoads adds the loads of the shards that were not idle. p.mu must be held.
func (p *page) addLoads(status *linkpb.PageStatus) {
	now := p.router.clock.Now()
	if now-p.meter.Since() < minLoadReportInterval {
		return
	}
	held := p.lease.Load()
	shardOf := func(hash uint64) uint64 { return held.page.Shards[held.page.ShardAt(hash)].Low }
	status.Measured = true
	for _, rate := range p.meter.Read(now, shardOf) {
		load := &linkpb.ShardLoad{Low: rate.Low, Rate: rate.Rate}
		for _, hot := range rate.Hot {
			load.Hot = append(load.Hot, &linkpb.HotHash{Hash: hot.Hash, Rate: hot.Rate})
		}
		status.Loads = append(status.Loads, load)
	}
}
