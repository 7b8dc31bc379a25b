package gateway

import (
	"net/http"
	"slices"
	"time"

	"cicadarouter/poison"
)

const (
	// earlyReportInterval is the minimum time between two reports that are sent early because a
	// server terminated during a request. A host usually notices one termination several times.
	earlyReportInterval = 50 * time.Millisecond
	// maxCasesPerMessage is the maximum number of cases in one message between hosts, about 10
	// KB.
	maxCasesPerMessage = 64
)

// judge returns how a request is to be handled.
func (g *Gateway) judge(req *request) poison.Judgement {
	if !g.terminations.suspecting.Load() {
		return poison.Judgement{}
	}
	return g.judgeFingerprint(req.fingerprint())
}

func (g *Gateway) judgeFingerprint(fingerprint poison.Fingerprint) poison.Judgement {
	g.terminations.mu.Lock()
	defer g.terminations.mu.Unlock()
	return g.terminations.ledger.Judge(g.now(), fingerprint)
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
	g.metrics.quarantinedRequests.Inc()
	return &reply{outcome: outcomeQuarantined, status: http.StatusServiceUnavailable,
		retryAfter: judged.RetryAt - g.now(), judgement: judged}
}

// noteCompleted records that a server ran a request to completion and gave a complete answer: the
// request does not terminate the servers that run it.
func (g *Gateway) noteCompleted(req *request) {
	fingerprint, now := req.fingerprint(), g.now()
	g.terminations.mu.Lock()
	g.terminations.answered.Add(now, fingerprint)
	before := g.terminations.ledger.Judge(now, fingerprint)
	cleared := g.terminations.ledger.Clear(now, fingerprint)
	if cleared {
		g.terminations.updateSuspecting()
	}
	g.terminations.mu.Unlock()
	if cleared {
		g.log.Info("request cleared: a server ran it and gave a complete answer", "request", req.ID, "fingerprint", fingerprint.String(),
			"servers-ended", before.Terminations, "verdict", before.Verdict.String())
		g.wakeControl()
	}
}

// verdictGauge returns a gauge of the requests that have the given verdict.
func (g *Gateway) verdictGauge(verdict poison.Verdict) func() float64 {
	return func() float64 {
		g.terminations.mu.Lock()
		defer g.terminations.mu.Unlock()
		return float64(g.terminations.ledger.Count(g.now(), verdict))
	}
}

// exchange holds how far a host and the controller of a service have exchanged the changes of a
// ledger.
type exchange struct {
	// acknowledged is the last change of this host's ledger that the controller has received, sent the
	// last one that a report included, received the last change of the controller's ledger that
	// this host has received.
	acknowledged, sent, received uint64
}

// noteAnswer records that the controller's answer to a report was processed, which advanced this
// host's ledger from change before to change after. Changes that came from the controller need
// not be reported back to it at once.
func (e *exchange) noteAnswer(before, after, acknowledged, received uint64) {
	if before == e.sent {
		e.sent = after
	}
	e.acknowledged, e.received = acknowledged, received
}

// exchanges is the state of all exchanges between a host and the controller of a service: of
// requests during which servers terminated, and of the notices of servers.
type exchanges struct {
	cases, limits, leaving exchange
	reportInFlight         bool // a report has been sent and not answered yet
	// reported is set once a report has been sent to this controller, reportedAvailable and
	// reportedWithoutLinks are what the last one said of this host's links.
	reported, reportedAvailable bool
	reportedWithoutLinks        []string
}

// hasUrgentChanges reports whether this host has changes that the controller needs at once.
// Until it gets them, other hosts go on sending a request that terminates servers, and each
// host runs into a server's rate limit by itself.
func (g *Gateway) hasUrgentChanges(c *serviceControl, now time.Duration) bool {
	if c.exchanges.reportInFlight || now-c.reportedAt < earlyReportInterval {
		return false
	}
	if c.exchanges.reported && (g.available() != c.exchanges.reportedAvailable || !slices.Equal(g.servicesWithoutLinks(), c.exchanges.reportedWithoutLinks)) {
		return true
	}
	if g.serverLimits.changeCount() > c.exchanges.limits.sent || g.leavingServers.changeCount() > c.exchanges.leaving.sent {
		return true
	}
	g.terminations.mu.Lock()
	defer g.terminations.mu.Unlock()
	return g.terminations.ledger.ChangeCount() > c.exchanges.cases.sent
}

// addCases adds to a report the cases that the controller has not received, and returns the
// ledger's last change that they cover.
func (g *Gateway) addCases(c *serviceControl, report *loadReport) uint64 {
	g.terminations.mu.Lock()
	defer g.terminations.mu.Unlock()
	var upTo uint64
	report.Cases, upTo = g.terminations.ledger.ChangesSince(g.now(), c.exchanges.cases.acknowledged, maxCasesPerMessage, poison.ToCollector)
	report.KnownCases = c.exchanges.cases.received
	c.exchanges.cases.sent, c.exchanges.reportInFlight = upTo, true
	return upTo
}

// mergeReportedCases merges the cases in the controller's answer to a report.
func (g *Gateway) mergeReportedCases(c *serviceControl, e *reportResult) {
	before, after := g.mergeCases(e.answer.Cases, e.to.Host)
	c.exchanges.cases.noteAnswer(before, after, e.casesUpTo, e.answer.CasesUpTo)
}

// casesFor returns the cases for a host that has received this ledger up to a change, and the
// last change that they cover.
func (g *Gateway) casesFor(received uint64) ([]poison.Case, uint64) {
	g.terminations.mu.Lock()
	defer g.terminations.mu.Unlock()
	return g.terminations.ledger.ChangesSince(g.now(), received, maxCasesPerMessage, poison.ToAllHosts)
}

// mergeCases merges cases from another host or the store, and returns the ledger's last change
// before and after.
func (g *Gateway) mergeCases(cases []poison.Case, sender string) (before, after uint64) {
	merged, before, after := g.mergeIntoLedger(cases)
	for i := range merged {
		judged := &merged[i].judged
		if judged.Verdict == poison.Unsuspected && judged.Terminations > 0 || !g.failureLogLimit.allow() {
			continue // a single termination only matters to the controller, which collects them
		}
		g.log.Info("received a request during which servers terminated", "teller", sender, "fingerprint", merged[i].fingerprint.String(),
			"servers-ended", judged.Terminations, "verdict", judged.Verdict.String(), "last-end-age-ms", (g.now() - judged.LastTermination).Milliseconds())
	}
	return before, after
}

// mergedCase is a request of which merged cases brought something new.
type mergedCase struct {
	fingerprint poison.Fingerprint
	judged      poison.Judgement
}

func (g *Gateway) mergeIntoLedger(cases []poison.Case) (merged []mergedCase, before, after uint64) {
	now := g.now()
	g.terminations.mu.Lock()
	defer g.terminations.mu.Unlock()
	ledger := &g.terminations.ledger
	before = ledger.ChangeCount()
	for _, fingerprint := range ledger.Merge(now, cases) {
		merged = append(merged, mergedCase{fingerprint: fingerprint, judged: ledger.Judge(now, fingerprint)})
	}
	if len(merged) > 0 {
		g.terminations.tracking.Store(true)
		g.terminations.updateSuspecting()
	}
	return merged, before, ledger.ChangeCount()
}
