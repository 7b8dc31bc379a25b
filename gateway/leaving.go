package gateway

import (
	"context"
	"time"

	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/notice"
)

// noteLeaving takes whether an answer says that its server leaves.
func (g *Gateway) noteLeaving(h hearing) {
	if !h.Leaving && !(g.leaving.any.Load() && (h.ran || h.healthy)) {
		return
	}
	news := notice.News[bool]{Value: h.Leaving, Sent: h.sent, Heard: g.now()}
	if _, changed := g.leaving.take(h.server, news); !changed {
		return
	}
	g.touchServer(h.server)
	if g.failureLines.take() {
		g.log.Info("server says whether it leaves", "server", h.server.String(), "leaving", h.Leaving, "call", h.call, "request", h.request,
			"answered-ms", (news.Heard - news.Sent).Milliseconds())
	}
	g.directoryChanged() // which also lets the others hear of it at once
}

// tellLeaving adds to a report what the controller has not heard of, and returns up to which
// change that is all.
func (g *Gateway) tellLeaving(c *controller, report *loadReport) uint64 {
	var upTo uint64
	report.Leaving, upTo = g.leaving.tell(g.now(), c.news.leaving.told)
	report.KnownLeaving = c.news.leaving.heard
	c.news.leaving.sent = upTo
	return upTo
}

// hearReportedLeaving takes what the controller told with its answer to a report.
func (g *Gateway) hearReportedLeaving(c *controller, e *reportEnded) {
	before := g.leaving.changes()
	g.hearLeaving(e.answer.Leaving, e.to.Host)
	c.news.leaving.took(before, g.leaving.changes(), e.leavingUpTo, e.answer.LeavingUpTo)
}

// hearLeaving takes what another host told of servers that leave.
func (g *Gateway) hearLeaving(told []notice.Told[bool], teller string) {
	any := false
	for _, each := range told {
		_, changed := g.leaving.take(each.Server, each.News(g.now()))
		any = any || changed
		if changed {
			g.touchServer(each.Server)
		}
		if changed && g.failureLines.take() {
			g.log.Info("heard whether a server leaves", "teller", teller, "server", each.Server.String(), "leaving", each.Value, "age-ms", each.HeardAgo)
		}
	}
	if any {
		g.directoryChanged()
	}
}

const (
	// doubtLeavingAfter is for how long the registry must have been followed, and have said
	// that a server is ready, before the server's word that it leaves is doubted. One that
	// leaves writes its entry within that time, or loses it.
	doubtLeavingAfter = 10 * time.Second
	// askLeavingEvery is the least time between two health checks of doubted servers.
	askLeavingEvery = 5 * time.Second
)

// checkLeaving has the servers asked that said that they leave and whose entries say that
// they are ready. Nothing is sent to them any more whose answer would show that they stay.
// One host asks, and tells the others.
func (g *Gateway) checkLeaving(ctx context.Context, now time.Duration) {
	if !g.leaving.any.Load() || now-g.leavingAsked < askLeavingEvery || g.scheduling(now) == nil {
		return
	}
	g.leavingAsked = now
	for _, server := range g.doubtfullyLeaving() {
		g.askLeaving(ctx, server)
	}
}

// doubtfullyLeaving returns the servers whose word that they leave is doubted.
func (g *Gateway) doubtfullyLeaving() []fleet.Server {
	now := g.now()
	if g.fresh.currentAge(now) >= g.fresh.validFor() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var doubted []fleet.Server
	for leaving := range g.leaving.inForce() {
		news, _ := g.leaving.of(leaving)
		server, listed := g.directory.Get(leaving.ID)
		if !listed || server.Incarnation() != leaving || server.Draining {
			continue
		}
		if now-news.Heard >= doubtLeavingAfter && g.directory.FollowedFor(now) >= doubtLeavingAfter {
			doubted = append(doubted, server)
		}
	}
	return doubted
}

// askLeaving makes a health check.
func (g *Gateway) askLeaving(ctx context.Context, server fleet.Server) {
	backend := adapter.Backend{Server: server}
	if current := g.inForce.Current(); current != nil {
		backend.HealthPath = current.Services[server.Service].HealthPath
	}
	go func() {
		asking, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		health, err := g.checkHealth(asking, backend)
		if g.failureLines.take() {
			g.log.Info("asked a server that said that it leaves and whose entry says ready", "server", server.Incarnation().String(),
				"healthy", health.Healthy, "leaving", health.Leaving, "error", errorText(err))
		}
	}()
}
