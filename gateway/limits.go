package gateway

import (
	"time"

	"cicadarouter/fleet"
	"cicadarouter/notice"
)

// noteLimit handles the rate limit that a server announced in a response, or its absence.
func (g *Gateway) noteLimit(h hearing) {
	if h.Limit == 0 && !(g.limits.any.Load() && h.ran) {
		return // only a response to a request that ran may omit the limit because there is none
	}
	update := notice.News[float64]{Value: h.Limit, Sent: h.sent, Heard: g.now()}
	previous, changed := g.limits.take(h.server, update)
	if !changed {
		return
	}
	g.applyLimits()
	g.nudge() // sends the notice to the other hosts at once
	if g.failureLines.take() {
		g.log.Info("server's rate limit changed", "request", h.request, "call", h.call, "server", h.server.String(),
			"per-second", update.Value, "before", previous, "answered-ms", (update.Heard - update.Sent).Milliseconds())
	}
}

// applyLimits gives all services the rate limits of servers, and the number of hosts among
// which a limit is divided while no reservations can be had.
func (g *Gateway) applyLimits() {
	g.applyingLimits.Lock()
	defer g.applyingLimits.Unlock()
	limits, hosts := g.limits.inForce(), g.hosts.count()
	for _, s := range g.allServices() {
		s.setLimits(limits, hosts)
	}
}

// limitTold is a server's rate limit as hosts send it to each other. Times are ages in
// milliseconds, because the hosts' clocks differ.
type limitTold struct {
	Server    fleet.Incarnation `json:"server"`
	PerSecond float64           `json:"perSecond,omitempty"`
	SentAgo   int64             `json:"sentAgo"`
	HeardAgo  int64             `json:"heardAgo"`
}

func limitToldOf(update notice.Told[float64]) limitTold {
	return limitTold{Server: update.Server, PerSecond: update.Value, SentAgo: update.SentAgo, HeardAgo: update.HeardAgo}
}

func limitsTold(updates []notice.Told[float64]) []limitTold {
	var limits []limitTold
	for _, update := range updates {
		limits = append(limits, limitToldOf(update))
	}
	return limits
}

func (t limitTold) news(now time.Duration) notice.News[float64] {
	return notice.Told[float64]{Server: t.Server, Value: t.PerSecond, SentAgo: t.SentAgo, HeardAgo: t.HeardAgo}.News(now)
}

// tellLimits adds the limits that the controller does not know to a report, and returns the
// number of the last change that the report covers.
func (g *Gateway) tellLimits(c *controller, report *loadReport) uint64 {
	updates, upTo := g.limits.tell(g.now(), c.news.limits.told)
	report.Limits, report.KnownLimits = limitsTold(updates), c.news.limits.heard
	c.news.limits.sent = upTo
	return upTo
}

// hearReportedLimits applies the limits in the controller's response to a report.
func (g *Gateway) hearReportedLimits(c *controller, e *reportEnded) {
	before := g.limits.changes()
	g.hearLimits(e.answer.Limits, e.to.Host)
	c.news.limits.took(before, g.limits.changes(), e.limitsUpTo, e.answer.LimitsUpTo)
}

// hearLimits applies the limits that another host sent.
func (g *Gateway) hearLimits(updates []limitTold, sender string) {
	anyChanged := false
	for _, update := range updates {
		previous, changed := g.limits.take(update.Server, update.news(g.now()))
		anyChanged = anyChanged || changed
		if changed && g.failureLines.take() {
			g.log.Info("another host reported a change of a server's rate limit", "teller", sender, "server", update.Server.String(),
				"per-second", update.PerSecond, "before", previous, "age-ms", update.HeardAgo)
		}
	}
	if anyChanged {
		g.applyLimits()
	}
}
