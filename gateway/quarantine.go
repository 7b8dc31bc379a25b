package gateway

import (
	"net/http"
	"time"

	"cicadarouter/poison"
)

const (
	// newsEvery is the minimum time between two reports that are sent early because a server
	// terminated during a request. A host usually notices one termination several times.
	newsEvery = 50 * time.Millisecond
	// mostCasesTold is the maximum number of cases in one message between hosts, about 10 KB.
	mostCasesTold = 64
)

// judge returns how a request is to be handled.
func (g *Gateway) judge(req *request) poison.Judgement {
	if !g.ends.suspecting.Load() {
		return poison.Judgement{}
	}
	return g.judgeMark(req.fingerprint())
}

func (g *Gateway) judgeMark(fingerprint poison.Fingerprint) poison.Judgement {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	return g.ends.ledger.Judge(g.now(), fingerprint)
}

// quarantined returns the answer to a request that has terminated every server that ran it, or
// nil for any other request. Without a quarantine such a request terminates one server after
// the other for as long as its caller repeats it, and all other requests and keys at those
// servers fail with it.
func (g *Gateway) quarantined(req *request) *reply {
	judged := g.judge(req)
	if judged.Verdict != poison.Quarantined {
		return nil
	}
	g.counts.quarantined.Inc()
	return &reply{outcome: outcomeQuarantined, status: http.StatusServiceUnavailable,
		retryAfter: judged.Until - g.now(), judged: judged}
}

// noteRan records that a server ran a request to completion and gave a complete answer: the
// request does not terminate the servers that run it.
func (g *Gateway) noteRan(req *request) {
	fingerprint, now := req.fingerprint(), g.now()
	g.ends.mu.Lock()
	g.ends.answered.Note(now, fingerprint)
	before := g.ends.ledger.Judge(now, fingerprint)
	acquitted := g.ends.ledger.Acquit(now, fingerprint)
	if acquitted {
		g.ends.ledgerChanged()
	}
	g.ends.mu.Unlock()
	if acquitted {
		g.log.Info("request cleared: a server ran it and gave a complete answer", "request", req.ID, "fingerprint", fingerprint.String(),
			"servers-ended", before.Ends, "verdict", before.Verdict.String())
		g.nudge()
	}
}

// judgedAs returns a gauge of the requests that have the given verdict.
func (g *Gateway) judgedAs(verdict poison.Verdict) func() float64 {
	return func() float64 {
		g.ends.mu.Lock()
		defer g.ends.mu.Unlock()
		return float64(g.ends.ledger.Count(g.now(), verdict))
	}
}

// exchange holds how far a host and the controller of a service have exchanged the changes of a
// ledger.
type exchange struct {
	// told is the last change of this host's ledger that the controller has received, sent the
	// last one that a report included, heard the last change of the controller's ledger that
	// this host has received.
	told, sent, heard uint64
}

// took records that the controller's answer to a report was processed, which advanced this
// host's ledger from change before to change after. Changes that came from the controller need
// not be reported back to it at once.
func (e *exchange) took(before, after, acknowledged, received uint64) {
	if before == e.sent {
		e.sent = after
	}
	e.told, e.heard = acknowledged, received
}

// peerNews is the state of all exchanges between a host and the controller of a service: of
// requests during which servers terminated, and of the notices of servers.
type peerNews struct {
	cases, limits, leaving exchange
	reporting              bool // a report has been sent and not answered yet
}

// hasNews reports whether this host has changes that the controller needs at once. Until it
// gets them, other hosts go on sending a request that terminates servers, and each host runs
// into a server's rate limit by itself.
func (g *Gateway) hasNews(c *controller, now time.Duration) bool {
	if c.news.reporting || now-c.reported < newsEvery {
		return false
	}
	if g.limits.changes() > c.news.limits.sent || g.leaving.changes() > c.news.leaving.sent {
		return true
	}
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	return g.ends.ledger.Changes() > c.news.cases.sent
}

// tellCases adds to a report the cases that the controller has not received, and returns the
// ledger's last change that they cover.
func (g *Gateway) tellCases(c *controller, report *loadReport) uint64 {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	var upTo uint64
	report.Cases, upTo = g.ends.ledger.Tell(g.now(), c.news.cases.told, mostCasesTold, poison.Collector)
	report.KnownCases = c.news.cases.heard
	c.news.cases.sent, c.news.reporting = upTo, true
	return upTo
}

// hearCases merges the cases in the controller's answer to a report.
func (g *Gateway) hearCases(c *controller, e *reportEnded) {
	before, after := g.takeCases(e.answer.Cases, e.to.Host)
	c.news.cases.took(before, after, e.casesUpTo, e.answer.CasesUpTo)
}

// casesFor returns the cases for a host that has received this ledger up to a change, and the
// last change that they cover.
func (g *Gateway) casesFor(received uint64) ([]poison.Case, uint64) {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	return g.ends.ledger.Tell(g.now(), received, mostCasesTold, poison.Everyone)
}

// takeCases merges cases from another host or the store, and returns the ledger's last change
// before and after.
func (g *Gateway) takeCases(cases []poison.Case, sender string) (before, after uint64) {
	merged, before, after := g.learnCases(cases)
	for i := range merged {
		judged := &merged[i].judged
		if judged.Verdict == poison.Unsuspected && judged.Ends > 0 || !g.failureLines.take() {
			continue // a single termination only matters to the controller, which collects them
		}
		g.log.Info("received a request during which servers terminated", "teller", sender, "fingerprint", merged[i].fingerprint.String(),
			"servers-ended", judged.Ends, "verdict", judged.Verdict.String(), "last-end-age-ms", (g.now() - judged.LastEnd).Milliseconds())
	}
	return before, after
}

// heardCase is a request of which merged cases brought something new.
type heardCase struct {
	fingerprint poison.Fingerprint
	judged      poison.Judgement
}

func (g *Gateway) learnCases(cases []poison.Case) (merged []heardCase, before, after uint64) {
	now := g.now()
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	ledger := &g.ends.ledger
	before = ledger.Changes()
	for _, fingerprint := range ledger.Take(now, cases) {
		merged = append(merged, heardCase{fingerprint: fingerprint, judged: ledger.Judge(now, fingerprint)})
	}
	if len(merged) > 0 {
		g.ends.watching.Store(true)
		g.ends.ledgerChanged()
	}
	return merged, before, ledger.Changes()
}
