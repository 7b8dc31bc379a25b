package domain

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cicadarouter/contract/backend"
	"cicadarouter/contract/platform"
	"cicadarouter/host/clock"
	"cicadarouter/link/linkpb"
	"cicadarouter/ownership"
	"cicadarouter/record"
)

// Timeouts of calls, and the pause after rereading a page. A call that times out
// counts as a lost message.
const (
	peerTimeout   = 300 * time.Millisecond
	serverTimeout = 300 * time.Millisecond
	routerTimeout = 300 * time.Millisecond
	writeTimeout  = 2 * time.Second
	rereadPause   = 50 * time.Millisecond
)

// outbox holds the loop's outgoing messages and calls, so that each peer and
// router gets one message for all pages.
type outbox struct {
	renewals map[string][]ownership.RenewalMessage
	stops    map[string][]ownership.StopMessage
	leases   map[string][]ownership.GrantMessage
	grants   []ownership.GrantMessage
	writes   []record.Page
	rereads  []string
	probes   []peerProbe
}

// peerProbe is a request to a peer to check whether it reaches a server.
type peerProbe struct{ server, peer string }

func newOutbox() outbox {
	return outbox{
		renewals: map[string][]ownership.RenewalMessage{},
		stops:    map[string][]ownership.StopMessage{},
		leases:   map[string][]ownership.GrantMessage{},
	}
}

// flush starts the calls that the outbox holds.
func (l *loop) flush(ctx context.Context) {
	out := l.out
	l.out = newOutbox()
	for host, renewals := range out.renewals {
		l.c.sendRenewals(ctx, host, renewals)
	}
	for host, stops := range out.stops {
		l.c.sendStops(ctx, host, stops)
	}
	for host, grants := range out.leases {
		l.sendLeases(ctx, host, grants)
	}
	for _, grant := range out.grants {
		l.c.sendGrant(ctx, grant)
	}
	for _, page := range out.writes {
		l.c.sendWrite(ctx, page)
	}
	for _, page := range out.rereads {
		l.c.reread(ctx, page)
	}
	for _, probe := range out.probes {
		l.c.sendProbe(ctx, probe)
	}
}

func (c *Controller) sendRenewals(ctx context.Context, host string, renewals []ownership.RenewalMessage) {
	peer, ok := c.directory.Host(host)
	if !ok {
		return
	}
	c.startCall("agree/"+host, func() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		reply, err := c.links.Control(peer.Link).Agree(ctx, agreeRequest(c.identity.Host, renewals))
		if err != nil || len(reply.GetAnswers()) != len(renewals) {
			return
		}
		c.enqueue(renewalsAnswered{host: host, renewals: renewals, responses: reply.GetAnswers()})
	})
}

func agreeRequest(from string, renewals []ownership.RenewalMessage) *linkpb.AgreeRequest {
	request := &linkpb.AgreeRequest{From: from}
	for _, renewal := range renewals {
		request.Asks = append(request.Asks, &linkpb.Ask{
			Page:        renewal.Request.Page,
			Generation:  renewal.Request.Generation,
			Dispatcher:  renewal.Request.Dispatcher,
			Run:         renewal.Request.DispatcherIncarnation,
			Released:    renewal.Request.ReleasedDispatcher,
			ReleasedRun: renewal.Request.ReleasedIncarnation,
			Bounded:     renewal.Request.Bounded,
			Round:       renewal.Round,
		})
	}
	return request
}

func (c *Controller) sendStops(ctx context.Context, host string, stops []ownership.StopMessage) {
	peer, ok := c.directory.Host(host)
	if !ok {
		return
	}
	c.startCall("stop/"+host, func() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		request := &linkpb.StopRequest{From: c.identity.Host}
		for _, stop := range stops {
			request.Stops = append(request.Stops, &linkpb.Stop{Page: stop.Page, Generation: stop.Generation})
		}
		reply, err := c.links.Control(peer.Link).Stop(ctx, request)
		if err != nil || len(reply.GetRemainingNanos()) != len(stops) {
			return
		}
		c.enqueue(stopsPromised{host: host, stops: stops, remaining: reply.GetRemainingNanos()})
	})
}

// sendLeases grants or renews a router's leases. The page itself is included until
// the router has acknowledged its generation.
func (l *loop) sendLeases(ctx context.Context, host string, grants []ownership.GrantMessage) {
	router, ok := l.c.directory.Host(host)
	if !ok {
		return
	}
	request := &linkpb.LeaseRequest{From: l.c.identity.Host}
	for _, out := range grants {
		request.Leases = append(request.Leases, l.pageLease(out))
	}
	sentAt := grants[0].SentAt
	for _, out := range grants {
		sentAt = min(sentAt, out.SentAt)
	}
	l.c.startCall("lease/"+host, func() {
		ctx, cancel := context.WithTimeout(ctx, routerTimeout)
		defer cancel()
		reply, err := l.c.links.Dispatch(router.RouterLink).Lease(ctx, request)
		if err != nil {
			return
		}
		l.c.enqueue(leaseAnswered{host: host, sentAt: sentAt, reply: reply})
	})
}

func (l *loop) pageLease(out ownership.GrantMessage) *linkpb.PageLease {
	if out.Grant == nil {
		return &linkpb.PageLease{Page: out.Page, Probe: true}
	}
	lease := &linkpb.PageLease{
		Page:        out.Page,
		Generation:  out.Grant.Generation,
		Incarnation: out.Grant.Incarnation,
		ExpiryNanos: int64(out.Grant.Expiry),
	}
	state, known := l.pages[out.Page]
	if known && out.Grant.Complete && state.machine.Page().Generation == out.Grant.Generation {
		lease.Record, _ = json.Marshal(state.machine.Page())
	}
	return lease
}

func (c *Controller) sendGrant(ctx context.Context, out ownership.GrantMessage) {
	name := out.Holder.Name
	server, ok := c.directory.Server(name)
	if !ok {
		return
	}
	c.startCall("server/"+name, func() {
		ctx, cancel := context.WithTimeout(ctx, serverTimeout)
		defer cancel()
		control := c.dial(server)
		var report backend.Report
		var err error
		if out.Grant == nil {
			report, err = control.Report(ctx, out.Page)
		} else {
			report, err = control.Grant(ctx, *out.Grant)
		}
		if err != nil {
			c.enqueue(serverCallFailed{server: name})
			return
		}
		c.enqueue(serverAnswered{message: out, report: report})
	})
}

func (c *Controller) sendWrite(ctx context.Context, page record.Page) {
	c.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		result := c.write(ctx, page)
		c.meters.countWrite(page, result)
		c.log.Debug("page written", "page", page.Name, "generation", page.Generation, "result", int(result))
		_ = c.events.Put(ctx, writeFinished{page: page.Name, attempt: page.Attempt, result: result})
	})
}

// write stores a generation of a page, provided that the stored version is the one
// known to hold the previous generation.
func (c *Controller) write(ctx context.Context, page record.Page) ownership.WriteResult {
	known, version, ok := c.directory.Page(page.Name)
	if !ok || known.Generation != page.Generation-1 {
		return ownership.WriteConflict
	}
	envelope, err := page.Encode()
	if err != nil {
		return ownership.WriteConflict
	}
	written, err := c.store.Update(ctx, envelope, version)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		c.applyRecords([]platform.Object{conflict.Current}, 0)
		return ownership.WriteConflict
	case err != nil:
		return ownership.WriteUnknown
	}
	c.applyRecords([]platform.Object{{Envelope: envelope, Version: written}}, 0)
	return ownership.WriteDone
}

// reread reads a page from the store, either to find out whether a write succeeded
// or because a peer knows a newer generation.
func (c *Controller) reread(ctx context.Context, page string) {
	c.spawn(func() {
		defer func() { _ = c.events.Put(ctx, rereadFinished{page: page}) }()
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		object, err := c.store.Get(ctx, record.Ref{Kind: record.KindPage, Name: page})
		if err == nil {
			c.applyRecords([]platform.Object{object}, 0)
		}
		clock.Sleep(ctx, rereadPause)
	})
}

func (c *Controller) sendProbe(ctx context.Context, probe peerProbe) {
	peer, ok := c.directory.Host(probe.peer)
	if !ok {
		return
	}
	c.startCall("probe/"+probe.peer, func() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		reply, err := c.links.Control(peer.Link).Probe(ctx, &linkpb.ProbeRequest{Server: probe.server})
		if err == nil && reply.GetReached() {
			c.enqueue(probeSucceeded{server: probe.server})
		}
	})
}
