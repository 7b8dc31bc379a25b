package gateway

import (
	"net/http"
	"time"

	"cicadarouter/poison"
)

const (
	// newsEvery is the least time between two reports that are made before they are due,
	// since a server ended under a request. One end shows to a host several times.
	newsEvery = 50 * time.Millisecond
	// mostCasesTold bounds the cases in one message between hosts: some 10 KB.
	mostCasesTold = 64
)

// judge returns what is to be done with a request.
func (g *Gateway) judge(req *request) poison.Judgement {
	if !g.ends.suspecting.Load() {
		return poison.Judgement{}
	}
	return g.judgeMark(req.fingerprint())
}

func (g *Gateway) judgeMark(mark poison.Fingerprint) poison.Judgement {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	return g.ends.ledger.Judge(g.now(), mark)
}

// quarantined returns the answer to a request that has ended every server that ran it,
// else nil. Without it such a request ends one server after the other for as long as
// its caller sends it, and all keys and requests of those servers fail with it.
func (g *Gateway) quarantined(req *request) *reply {
	judged := g.judge(req)
	if judged.Verdict != poison.Quarantined {
		return nil
	}
	g.counts.quarantinedRequests.Inc()
	return &reply{outcome: outcomeQuarantined, status: http.StatusServiceUnavailable,
		retryAfter: judged.Until - g.now(), judgement: judged}
}

// noteRan takes that a server ran a request to its end and gave a whole answer: the
// request does not end the servers that run it.
func (g *Gateway) noteRan(req *request) {
	mark, now := req.fingerprint(), g.now()
	g.ends.mu.Lock()
	g.ends.answered.Note(now, mark)
	before := g.ends.ledger.Judge(now, mark)
	acquitted := g.ends.ledger.Acquit(now, mark)
	if acquitted {
		g.ends.ledgerChanged()
	}
	g.ends.mu.Unlock()
	if acquitted {
		g.log.Info("request acquitted: a server ran it and answered", "request", req.ID, "fingerprint", mark.String(),
			"servers-ended", before.Ends, "verdict", before.Verdict.String())
		g.nudge()
	}
}

// judgedAs returns a gauge of the requests that have a verdict.
func (g *Gateway) judgedAs(verdict poison.Verdict) func() float64 {
	return func() float64 {
		g.ends.mu.Lock()
		defer g.ends.mu.Unlock()
		return float64(g.ends.ledger.Count(g.now(), verdict))
	}
}

// exchange is how far a host and the controller of a service have told each other of the
// changes of a ledger.
type exchange struct {
	// told is up to which change the controller has heard of this host's ledger, sent up
	// to which the last report told of it, heard up to which this host has of the
	// controller's.
	told, sent, heard uint64
}

// took notes that the controller's answer to a report was taken, whose news made the
// ledger's changes grow: the controller need not hear at once of what it told.
func (e *exchange) took(before, after, told, heard uint64) {
	if before == e.sent {
		e.sent = after
	}
	e.told, e.heard = told, heard
}

// peerNews is what a host and the controller of a service have told each other: of requests
// under which servers ended, and of what servers tell of themselves.
type peerNews struct {
	cases, limits, leaving exchange
	reporting              bool // a report is under way
}

// hasNews reports whether the controller is to hear at once of what this host saw. Until
// it has, other hosts give a request one server after the other that ends them, and meet
// each limit of a server by themselves.
func (g *Gateway) hasNews(c *controller, now time.Duration) bool {
	if c.news.reporting || now-c.reported < newsEvery {
		return false
	}
	if g.limits.changeCount() > c.news.limits.sent || g.leaving.changeCount() > c.news.leaving.sent {
		return true
	}
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	return g.ends.ledger.Changes() > c.news.cases.sent
}

// tellCases adds to a report what the controller has not heard of, and returns up to
// which change of the ledger that is all.
func (g *Gateway) tellCases(c *controller, report *loadReport) uint64 {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	var upTo uint64
	report.Cases, upTo = g.ends.ledger.Tell(g.now(), c.news.cases.told, mostCasesTold, poison.Collector)
	report.KnownCases = c.news.cases.heard
	c.news.cases.sent, c.news.reporting = upTo, true
	return upTo
}

// hearCases takes what the controller told with its answer to a report.
func (g *Gateway) hearCases(c *controller, e *reportEnded) {
	before, after := g.takeCases(e.answer.Cases, e.to.Host)
	c.news.cases.took(before, after, e.casesUpTo, e.answer.CasesUpTo)
}

// casesFor returns what a host that has heard of this ledger up to a change is to know.
func (g *Gateway) casesFor(heard uint64) ([]poison.Case, uint64) {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	return g.ends.ledger.Tell(g.now(), heard, mostCasesTold, poison.Everyone)
}

// takeCases takes what another host told, and returns which change of the ledger was
// the last before it and after it.
func (g *Gateway) takeCases(told []poison.Case, teller string) (before, after uint64) {
	heard, before, after := g.learnCases(told)
	for i := range heard {
		judged := &heard[i].judged
		if judged.Verdict == poison.Unsuspected && judged.Ends > 0 || !g.failureLines.allow() {
			continue // one end is no news but to who collects them
		}
		g.log.Info("heard of a request under which servers ended", "teller", teller, "fingerprint", heard[i].mark.String(),
			"servers-ended", judged.Ends, "verdict", judged.Verdict.String(), "last-end-age-ms", (g.now() - judged.LastEnd).Milliseconds())
	}
	return before, after
}

// heardCase is a request of which another host had news.
type heardCase struct {
	mark   poison.Fingerprint
	judged poison.Judgement
}

func (g *Gateway) learnCases(told []poison.Case) (heard []heardCase, before, after uint64) {
	now := g.now()
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	ledger := &g.ends.ledger
	before = ledger.Changes()
	for _, mark := range ledger.Take(now, told) {
		heard = append(heard, heardCase{mark: mark, judged: ledger.Judge(now, mark)})
	}
	if len(heard) > 0 {
		g.ends.watching.Store(true)
		g.ends.ledgerChanged()
	}
	return heard, before, ledger.Changes()
}
