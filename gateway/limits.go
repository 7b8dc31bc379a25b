package gateway

import (
	"time"

	"cicadarouter/fleet"
	"cicadarouter/notice"
)

// noteLimit takes what an answer says of its server's limit.
func (g *Gateway) noteLimit(h hearing) {
	if h.Limit == 0 && !(g.serverLimits.any.Load() && h.ran) {
		return // only an answer to a request that ran says that the server needs no limit
	}
	news := notice.News[float64]{Value: h.Limit, Sent: h.sent, Heard: g.now()}
	before, changed := g.serverLimits.take(h.server, news)
	if !changed {
		return
	}
	g.applyLimits()
	g.nudge() // the others are to hear of it at once
	if g.failureLogLimit.take() {
		g.log.Info("server's limit changed", "request", h.request, "call", h.call, "server", h.server.String(),
			"per-second", news.Value, "before", before, "answered-ms", (news.Heard - news.Sent).Milliseconds())
	}
}

// applyLimits tells the services which servers name limits, and by how many hosts those
// are shared that can't ask for places.
func (g *Gateway) applyLimits() {
	g.applyingLimits.Lock()
	defer g.applyingLimits.Unlock()
	limits, hosts := g.serverLimits.inForce(), g.hosts.count()
	for _, s := range g.allServices() {
		s.setLimits(limits, hosts)
	}
}

// limitTold is news of a server's limit as hosts tell it to each other, with times as ages
// in milliseconds.
type limitTold struct {
	Server    fleet.Incarnation `json:"server"`
	PerSecond float64           `json:"perSecond,omitempty"`
	SentAgo   int64             `json:"sentAgo"`
	HeardAgo  int64             `json:"heardAgo"`
}

func limitToldOf(told notice.Told[float64]) limitTold {
	return limitTold{Server: told.Server, PerSecond: told.Value, SentAgo: told.SentAgo, HeardAgo: told.HeardAgo}
}

func limitsTold(told []notice.Told[float64]) []limitTold {
	var limits []limitTold
	for _, each := range told {
		limits = append(limits, limitToldOf(each))
	}
	return limits
}

func (t limitTold) news(now time.Duration) notice.News[float64] {
	return notice.Told[float64]{Server: t.Server, Value: t.PerSecond, SentAgo: t.SentAgo, HeardAgo: t.HeardAgo}.News(now)
}

// tellLimits adds to a report what the controller has not heard of, and returns up to which
// change that is all.
func (g *Gateway) tellLimits(c *serviceControl, report *loadReport) uint64 {
	told, upTo := g.serverLimits.tell(g.now(), c.news.limits.told)
	report.Limits, report.KnownLimits = limitsTold(told), c.news.limits.received
	c.news.limits.sent = upTo
	return upTo
}

// hearReportedLimits takes what the controller told with its answer to a report.
func (g *Gateway) hearReportedLimits(c *serviceControl, e *reportResult) {
	before := g.serverLimits.changes()
	g.hearLimits(e.answer.Limits, e.to.Host)
	c.news.limits.noteAnswer(before, g.serverLimits.changes(), e.limitsUpTo, e.answer.LimitsUpTo)
}

// hearLimits takes what another host told of limits.
func (g *Gateway) hearLimits(told []limitTold, teller string) {
	changed := false
	for _, each := range told {
		before, news := g.serverLimits.take(each.Server, each.news(g.now()))
		changed = changed || news
		if news && g.failureLogLimit.take() {
			g.log.Info("heard that a server's limit changed", "teller", teller, "server", each.Server.String(),
				"per-second", each.PerSecond, "before", before, "age-ms", each.HeardAgo)
		}
	}
	if changed {
		g.applyLimits()
	}
}
