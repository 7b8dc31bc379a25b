package gateway

import (
	"time"

	"cicadarouter/fleet"
	"cicadarouter/notice"
)

// handleLimit handles the rate limit that a server announced in a response, or its absence.
func (g *Gateway) handleLimit(h receivedNotices) {
	if h.Limit == 0 && !(g.serverLimits.nonEmpty.Load() && h.ran) {
		return // only a response to a request that ran may omit the limit because there is none
	}
	update := notice.Update[float64]{Value: h.Limit, SentAt: h.sentAt, ReceivedAt: g.now()}
	previous, changed := g.serverLimits.update(h.from, update)
	if !changed {
		return
	}
	g.applyLimits()
	g.wakeControl() // sends the notice to the other hosts at once
	if g.failureLogLimit.allow() {
		g.log.Info("server's rate limit changed", "request", h.requestID, "call", h.call, "server", h.from.String(),
			"per-second", update.Value, "before", previous, "answered-ms", (update.ReceivedAt - update.SentAt).Milliseconds())
	}
}

// applyLimits gives all services the rate limits of servers, and the number of hosts among
// which a limit is divided while no reservations can be had.
func (g *Gateway) applyLimits() {
	g.applyLimitsMu.Lock()
	defer g.applyLimitsMu.Unlock()
	limits, hosts := g.serverLimits.values(), g.hosts.value()
	for _, s := range g.allServices() {
		s.setRateLimits(limits, hosts)
	}
}

// limitNotice is a server's rate limit as hosts send it to each other. Times are ages in
// milliseconds, because the hosts' clocks differ.
type limitNotice struct {
	Server        fleet.Incarnation `json:"server"`
	PerSecond     float64           `json:"perSecond,omitempty"`
	SentAgoMs     int64             `json:"sentAgo"`
	ReceivedAgoMs int64             `json:"heardAgo"`
}

func newLimitNotice(update notice.PeerUpdate[float64]) limitNotice {
	return limitNotice{Server: update.Server, PerSecond: update.Value, SentAgoMs: update.SentAgoMs, ReceivedAgoMs: update.ReceivedAgoMs}
}

func newLimitNotices(updates []notice.PeerUpdate[float64]) []limitNotice {
	var limits []limitNotice
	for _, update := range updates {
		limits = append(limits, newLimitNotice(update))
	}
	return limits
}

func (t limitNotice) toNotice(now time.Duration) notice.Update[float64] {
	return notice.PeerUpdate[float64]{Server: t.Server, Value: t.PerSecond, SentAgoMs: t.SentAgoMs, ReceivedAgoMs: t.ReceivedAgoMs}.ToUpdate(now)
}

// addLimitsToReport adds the limits that the controller does not know to a report, and returns the
// number of the last change that the report covers.
func (g *Gateway) addLimitsToReport(c *serviceControl, report *loadReport) uint64 {
	updates, upTo := g.serverLimits.changesSince(g.now(), c.exchanges.limits.acknowledged)
	report.Limits, report.KnownLimits = newLimitNotices(updates), c.exchanges.limits.received
	c.exchanges.limits.sent = upTo
	return upTo
}

// applyReportedLimits applies the limits in the controller's response to a report.
func (g *Gateway) applyReportedLimits(c *serviceControl, e *reportResult) {
	before := g.serverLimits.changeCount()
	g.applyLimitNotices(e.answer.Limits, e.to.Host)
	c.exchanges.limits.noteAnswer(before, g.serverLimits.changeCount(), e.limitsUpTo, e.answer.LimitsUpTo)
}

// applyLimitNotices applies the limits that another host sent.
func (g *Gateway) applyLimitNotices(updates []limitNotice, sender string) {
	anyChanged := false
	for _, update := range updates {
		previous, changed := g.serverLimits.update(update.Server, update.toNotice(g.now()))
		anyChanged = anyChanged || changed
		if changed && g.failureLogLimit.allow() {
			g.log.Info("another host reported a change of a server's rate limit", "teller", sender, "server", update.Server.String(),
				"per-second", update.PerSecond, "before", previous, "age-ms", update.ReceivedAgoMs)
		}
	}
	if anyChanged {
		g.applyLimits()
	}
}
