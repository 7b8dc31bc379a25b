package gateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"cicadarouter/balance"
	"cicadarouter/contract/adapter"
	"cicadarouter/host/clock"
	"cicadarouter/link/backendlink"
)

// hostMetrics holds the host's counters and histograms.
type hostMetrics struct {
	set                      *metrics.Set
	retries                  *metrics.Counter
	strayResponses           *metrics.Counter
	brokenOffResponses       *metrics.Counter // responses broken off after their first part had been sent to the caller
	unexpectedBytes          *metrics.Counter // connections closed because of bytes that belong to no request
	storeErrors              *metrics.Counter
	unreadableEntries        *metrics.Counter
	crowdedAssignments       *metrics.Counter
	limitedSends             *metrics.Counter // requests sent to servers with a rate limit
	backoffsRequested        *metrics.Counter // responses in which servers asked this host to back off
	hostCallsRejected        *metrics.Counter // calls of hosts rejected because the control loop's queue was full
	requestsAtCrashedServers *metrics.Counter // requests in progress at a server when it crashed
	quarantinedRequests      *metrics.Counter
	linkProbes               *metrics.Counter // probes of the links to the servers
	domainProbes             *metrics.Counter // probes of the links to a failure domain
	requestSeconds           *metrics.Histogram
}

func newHostMetrics() *hostMetrics {
	set := metrics.NewSet()
	return &hostMetrics{set: set,
		retries:                  set.NewCounter("cicada_retries_total"),
		strayResponses:           set.NewCounter("cicada_stray_answers_total"),
		brokenOffResponses:       set.NewCounter("cicada_broken_off_answers_total"),
		unexpectedBytes:          set.NewCounter("cicada_unexpected_bytes_total"),
		storeErrors:              set.NewCounter("cicada_store_errors_total"),
		hostCallsRejected:        set.NewCounter("cicada_host_calls_turned_away_total"),
		crowdedAssignments:       set.NewCounter("cicada_crowded_assignments_total"),
		unreadableEntries:        set.NewCounter("cicada_unreadable_entries_total"),
		backoffsRequested:        set.NewCounter("cicada_rests_asked_total"),
		limitedSends:             set.NewCounter("cicada_limited_sends_total"),
		quarantinedRequests:      set.NewCounter("cicada_quarantined_requests_total"),
		requestsAtCrashedServers: set.NewCounter("cicada_requests_at_servers_that_ended_total"),
		linkProbes:               set.NewCounter("cicada_link_probes_total"),
		domainProbes:             set.NewCounter("cicada_domain_probes_total"),
		requestSeconds:           set.NewHistogram("cicada_request_seconds"),
	}
}

// unreadableNotice returns the counter of a field's values that servers sent and that could
// not be parsed.
func (c *hostMetrics) unreadableNotice(field string) *metrics.Counter {
	return c.set.GetOrCreateCounter(`cicada_unreadable_notices_total{field="` + field + `"}`)
}

// forwarded returns the counter of requests that were offered to a peer, by the result.
func (c *hostMetrics) forwarded(result string) *metrics.Counter {
	return c.set.GetOrCreateCounter(`cicada_forwarded_requests_total{result="` + result + `"}`)
}

// inFlight returns the number of requests that occupy a slot at a server.
func (g *Gateway) inFlight() float64 {
	total := 0
	for _, s := range g.allServices() {
		total += s.inFlight()
	}
	return float64(total)
}

// WriteMetrics writes the metrics in the text exposition format.
func (g *Gateway) WriteMetrics(out io.Writer) {
	g.metrics.set.WritePrometheus(out)
	g.admissionMetrics().WritePrometheus(out)
	metrics.WriteProcessMetrics(out)
}

// countRequest counts a request by its outcome and records its latency. Requests that another host
// has forwarded are counted apart, because that host counts them too.
func (g *Gateway) countRequest(req *request, answer *reply) {
	if req.forwarded != nil {
		g.metrics.set.GetOrCreateCounter(`cicada_requests_of_peers_total{outcome="` + answer.outcome + `"}`).Inc()
		return
	}
	g.metrics.set.GetOrCreateCounter(`cicada_requests_total{outcome="` + answer.outcome + `"}`).Inc()
	g.metrics.requestSeconds.Update((g.now() - req.arrivedAt).Seconds())
}

// maxLogLinesPerSecond bounds the log lines of one kind, some three times the requests that a
// host handles in a second at its planned load. Lines beyond that are counted, not written.
const maxLogLinesPerSecond = 250

// logLimiter limits the rate of log lines of one kind.
type logLimiter struct {
	log   *log.Logger
	clock clock.Clock
	kind  string

	mu      sync.Mutex
	second  time.Duration
	lines   int
	skipped int
}

func newLogLimiter(logger *log.Logger, clock clock.Clock, kind string) *logLimiter {
	return &logLimiter{log: logger, clock: clock, kind: kind}
}

// allow reports whether a line may be written now. The first call in a second logs how
// many lines were left out before.
func (l *logLimiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	second := l.clock.Now() / time.Second
	if second != l.second {
		if l.skipped > 0 {
			l.log.Warn("lines left out", "kind", l.kind, "count", l.skipped)
		}
		l.second, l.lines, l.skipped = second, 0, 0
	}
	if l.lines >= maxLogLinesPerSecond {
		l.skipped++
		return false
	}
	l.lines++
	return true
}

// logRequest logs how a request ended, with the state that the decision was based on.
func (g *Gateway) logRequest(req *request, answer *reply) {
	quota := g.failureLogLimit
	if answer.outcome == outcomeAnswered && answer.status < http.StatusInternalServerError {
		quota = g.requestLogLimit
	}
	if !quota.allow() {
		return
	}
	fields := []any{"request", req.ID, "outcome", answer.outcome, "status", answer.status,
		"ms", (g.now() - req.arrivedAt).Milliseconds()}
	if req.configuration != nil {
		fields = append(fields, "configuration", req.configuration.Version, "configuration-age-ms", ageMillis(g.configurationAge()))
	}
	if req.route != nil {
		fields = append(fields, "route", req.route.Name, "service", req.serviceName, "sends", req.sendCount, "servers", req.triedServers)
	}
	if key := req.key(); key != nil {
		_, revision := req.service.view.latest()
		fields = append(fields, "key", *key, "assignment", revision, "assignment-age-ms", req.service.view.age().Milliseconds())
	}
	if answer.retryAfter > 0 {
		fields = append(fields, "retry-after-ms", answer.retryAfter.Milliseconds(), "expected-wait-ms", answer.expectedWait.Milliseconds())
	}
	if d := answer.decision; d != nil {
		fields = append(fields, "decided-by", string(d.By), "priority", d.Class.Priority, "returning", d.Class.Returning,
			"share", d.Fraction, "share-age-ms", d.Age.Milliseconds())
	}
	if answer.awaitedLimit > 0 {
		fields = append(fields, "limited-server", answer.awaitedServer, "limit-per-second", answer.awaitedLimit)
	} else if answer.awaitedServer != "" {
		fields = append(fields, "resting-server", answer.awaitedServer)
	}
	if answer.judgement.Terminations > 0 {
		fields = append(fields, "fingerprint", req.fingerprint().String(), "servers-ended", answer.judgement.Terminations,
			"last-end-age-ms", (g.now() - answer.judgement.LastTermination).Milliseconds())
	}
	if req.forwarded != nil {
		fields = append(fields, "forwarded-by", req.forwarded.Host)
	}
	if req.forwardedTo != "" {
		fields = append(fields, "forwarded-to", req.forwardedTo)
	}
	if answer.outcome != outcomeAnswered {
		fields = append(fields, answer.exchange.logFields()...)
	}
	if answer.ahead != nil {
		fields = append(fields, answer.ahead.logFields()...)
	}
	if answer.cause != nil {
		fields = append(fields, "error", answer.cause.Error())
	}
	g.log.Info("request", fields...)
}

// logRetry logs an attempt that is followed by another.
func (g *Gateway) logRetry(req *request, result attemptResult) {
	if !g.failureLogLimit.allow() {
		return
	}
	fields := []any{"request", req.ID, "server", result.serverID, "sent", result.sent, "not-run", result.notRun,
		"left-ms", (req.deadline - g.now()).Milliseconds()}
	if result.reply != nil {
		fields = append(fields, "outcome", result.reply.outcome, "status", result.reply.status)
	}
	fields = append(fields, result.exchange.logFields()...)
	if result.err != nil {
		fields = append(fields, "error", result.err.Error())
	}
	g.log.Info("attempt repeated", fields...)
}

// logStrayResponse logs a response that belongs to another request than the one sent last.
func (g *Gateway) logStrayResponse(req *request, server *balance.Server, exchange *backendlink.Exchange, metadata adapter.Answer) {
	if !g.failureLogLimit.allow() {
		return
	}
	conn := exchange.Conn()
	g.log.Info("response belongs to another request", "request", req.ID, "answer-request", metadata.RequestID, "server", server.ID,
		"status", exchange.Response.StatusCode, "connection", conn.Number, "connection-sends", conn.Sends)
}

// noteUnexpectedBytes records that a connection was closed because the server sent bytes on it that
// belong to no request.
func (g *Gateway) noteUnexpectedBytes(server string, conn backendlink.ConnInfo) {
	g.metrics.unexpectedBytes.Inc()
	if g.failureLogLimit.allow() {
		g.log.Info("connection closed: it held bytes that belong to no request", "server", server, "connection", conn.Number, "connection-sends", conn.Sends)
	}
}
