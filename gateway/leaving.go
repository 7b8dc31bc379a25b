package gateway

import (
	"context"
	"time"

	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/notice"
)

// A server announces with the Server-Leaving header that it is leaving: it is about to shut down
// and must get no new requests, possibly before its registry entry says that it is draining.

// handleLeaving handles whether a response says that its server is leaving.
func (g *Gateway) handleLeaving(h receivedNotices) {
	if !h.Leaving && !(g.leavingServers.nonEmpty.Load() && (h.ran || h.healthy)) {
		return
	}
	update := notice.Update[bool]{Value: h.Leaving, SentAt: h.sentAt, ReceivedAt: g.now()}
	if _, changed := g.leavingServers.update(h.from, update); !changed {
		return
	}
	g.markServerChanged(h.from)
	if g.failureLogLimit.allow() {
		g.log.Info("server announced whether it is leaving", "server", h.from.String(), "leaving", h.Leaving, "call", h.call, "request", h.requestID,
			"answered-ms", (update.ReceivedAt - update.SentAt).Milliseconds())
	}
	g.directoryChanged() // also sends the notice to the other hosts at once
}

// addLeavingToReport adds the notices that the controller does not know to a report, and returns the
// number of the last change that the report covers.
func (g *Gateway) addLeavingToReport(c *serviceControl, report *loadReport) uint64 {
	var upTo uint64
	report.Leaving, upTo = g.leavingServers.changesSince(g.now(), c.exchanges.leaving.acknowledged)
	report.KnownLeaving = c.exchanges.leaving.received
	c.exchanges.leaving.sent = upTo
	return upTo
}

// applyReportedLeaving applies the notices in the controller's response to a report.
func (g *Gateway) applyReportedLeaving(c *serviceControl, e *reportResult) {
	before := g.leavingServers.changeCount()
	g.applyLeaving(e.answer.Leaving, e.to.Host)
	c.exchanges.leaving.noteAnswer(before, g.leavingServers.changeCount(), e.leavingUpTo, e.answer.LeavingUpTo)
}

// applyLeaving applies the notices that another host sent.
func (g *Gateway) applyLeaving(updates []notice.PeerUpdate[bool], sender string) {
	anyChanged := false
	for _, update := range updates {
		_, changed := g.leavingServers.update(update.Server, update.ToUpdate(g.now()))
		anyChanged = anyChanged || changed
		if changed {
			g.markServerChanged(update.Server)
		}
		if changed && g.failureLogLimit.allow() {
			g.log.Info("another host reported whether a server is leaving", "teller", sender, "server", update.Server.String(), "leaving", update.Value, "age-ms", update.ReceivedAgoMs)
		}
	}
	if anyChanged {
		g.directoryChanged()
	}
}

const (
	// recheckLeavingAfter is how long ago a server must have announced that it is leaving, and
	// for how long the registry must have been followed, before a server whose entry still
	// says ready is checked. A leaving server updates or loses its entry within that time.
	recheckLeavingAfter = 10 * time.Second
	// recheckLeavingInterval is the least time between two rounds of such checks.
	recheckLeavingInterval = 5 * time.Second
)

// recheckLeaving health-checks the servers that announced that they are leaving although their
// entries say that they are ready. Such servers get no requests whose responses could show that
// they stay. Only the host that schedules reservations checks; it tells the others.
func (g *Gateway) recheckLeaving(ctx context.Context, now time.Duration) {
	if !g.leavingServers.nonEmpty.Load() || now-g.leavingProbedAt < recheckLeavingInterval || g.schedulingController(now) == nil {
		return
	}
	g.leavingProbedAt = now
	for _, server := range g.leavingButReady() {
		g.probeLeaving(ctx, server)
	}
}

// leavingButReady returns the servers that announced that they are leaving long ago and that
// the registry, followed since, still lists as ready. It returns none if this host's view of the
// registry is outdated.
func (g *Gateway) leavingButReady() []fleet.Server {
	now := g.now()
	if g.freshness.currentAge(now) >= g.freshness.validFor() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var servers []fleet.Server
	for incarnation := range g.leavingServers.values() {
		announced, _ := g.leavingServers.latest(incarnation)
		server, listed := g.directory.Get(incarnation.ID)
		if !listed || server.Incarnation() != incarnation || server.Draining {
			continue
		}
		if now-announced.ReceivedAt >= recheckLeavingAfter && g.directory.AvailableFor(now) >= recheckLeavingAfter {
			servers = append(servers, server)
		}
	}
	return servers
}

// probeLeaving health-checks a server in the background; the response updates whether it is leaving.
func (g *Gateway) probeLeaving(ctx context.Context, server fleet.Server) {
	backend := adapter.Backend{Server: server}
	if current := g.configuration.Current(); current != nil {
		backend.HealthPath = current.Services[server.Service].HealthPath
	}
	go func() {
		checkCtx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		health, err := g.checkHealth(checkCtx, backend)
		if g.failureLogLimit.allow() {
			g.log.Info("checked a server that announced that it is leaving but whose entry says ready", "server", server.Incarnation().String(),
				"healthy", health.Healthy, "leaving", health.Leaving, "error", errorText(err))
		}
	}()
}
