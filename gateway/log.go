package gateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"cicadarouter/host/clock"
)

// counts are the host's counters and histograms.
type counts struct {
	set          *metrics.Set
	retries      *metrics.Counter
	strays       *metrics.Counter
	storeErrors  *metrics.Counter
	unreadable   *metrics.Counter
	crowded      *metrics.Counter
	limitedSends *metrics.Counter // requests that were sent to servers that name a limit
	rests        *metrics.Counter // answers in which servers asked this host for rest
	crowdedOut   *metrics.Counter
	endedUnder   *metrics.Counter // requests that were under way at a server as it ended
	quarantined  *metrics.Counter
	latency      *metrics.Histogram
}

func newCounts() *counts {
	set := metrics.NewSet()
	return &counts{set: set,
		retries:      set.NewCounter("cicada_retries_total"),
		strays:       set.NewCounter("cicada_stray_answers_total"),
		storeErrors:  set.NewCounter("cicada_store_errors_total"),
		crowdedOut:   set.NewCounter("cicada_host_calls_turned_away_total"),
		crowded:      set.NewCounter("cicada_crowded_assignments_total"),
		unreadable:   set.NewCounter("cicada_unreadable_entries_total"),
		rests:        set.NewCounter("cicada_rests_asked_total"),
		limitedSends: set.NewCounter("cicada_limited_sends_total"),
		quarantined:  set.NewCounter("cicada_quarantined_requests_total"),
		endedUnder:   set.NewCounter("cicada_requests_at_servers_that_ended_total"),
		latency:      set.NewHistogram("cicada_request_seconds"),
	}
}

// unreadableNotice returns the counter of the values of a field that servers told and that
// could not be read.
func (c *counts) unreadableNotice(field string) *metrics.Counter {
	return c.set.GetOrCreateCounter(`cicada_unreadable_notices_total{field="` + field + `"}`)
}

// inFlight returns the requests that hold a place at a server.
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
	metrics.WriteProcessMetrics(out)
}

// finished counts a request's final answer.
func (g *Gateway) finished(req *request, answer *reply) {
	g.metrics.set.GetOrCreateCounter(`cicada_requests_total{outcome="` + answer.outcome + `"}`).Inc()
	g.metrics.latency.Update((g.now() - req.arrived).Seconds())
}

// linesPerSecond is the most lines of one kind that are written each second:
// some three times what a host answers at its planned load. The rest is counted.
const linesPerSecond = 250

// lineQuota bounds the lines of one kind.
type lineQuota struct {
	log   *log.Logger
	clock clock.Clock
	kind  string

	mu      sync.Mutex
	second  time.Duration
	lines   int
	skipped int
}

func newLineQuota(logger *log.Logger, clock clock.Clock, kind string) *lineQuota {
	return &lineQuota{log: logger, clock: clock, kind: kind}
}

// take reports whether a line may be written now.
func (l *lineQuota) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	second := l.clock.Now() / time.Second
	if second != l.second {
		if l.skipped > 0 {
			l.log.Warn("lines left out", "kind", l.kind, "count", l.skipped)
		}
		l.second, l.lines, l.skipped = second, 0, 0
	}
	if l.lines >= linesPerSecond {
		l.skipped++
		return false
	}
	l.lines++
	return true
}

// logRequest writes the line that tells how a request ended, and on what ground.
func (g *Gateway) logRequest(req *request, answer *reply) {
	quota := g.failureLogLimit
	if answer.outcome == outcomeAnswered && answer.status < http.StatusInternalServerError {
		quota = g.requestLogLimit
	}
	if !quota.take() {
		return
	}
	fields := []any{"request", req.ID, "outcome", answer.outcome, "status", answer.status,
		"ms", (g.now() - req.arrived).Milliseconds()}
	if req.configuration != nil {
		fields = append(fields, "configuration", req.configuration.Version)
	}
	if req.route != nil {
		fields = append(fields, "route", req.route.Name, "service", req.serviceName, "sends", req.sends, "servers", req.tried)
	}
	if key := req.key(); key != nil {
		_, revision := req.service.view.latest()
		fields = append(fields, "key", *key, "assignment", revision, "assignment-age-ms", req.service.view.age().Milliseconds())
	}
	if answer.retryAfter > 0 {
		fields = append(fields, "retry-after-ms", answer.retryAfter.Milliseconds(), "expected-wait-ms", answer.expected.Milliseconds())
	}
	if answer.limit > 0 {
		fields = append(fields, "limited-server", answer.awaited, "limit-per-second", answer.limit)
	} else if answer.awaited != "" {
		fields = append(fields, "resting-server", answer.awaited)
	}
	if answer.judged.Ends > 0 {
		fields = append(fields, "fingerprint", req.fingerprint().String(), "servers-ended", answer.judged.Ends,
			"last-end-age-ms", (g.now() - answer.judged.LastEnd).Milliseconds())
	}
	if answer.cause != nil {
		fields = append(fields, "error", answer.cause.Error())
	}
	g.log.Info("request", fields...)
}

// logRetry writes the line of an attempt that did not settle a request.
func (g *Gateway) logRetry(req *request, result attemptResult) {
	if !g.failureLogLimit.take() {
		return
	}
	fields := []any{"request", req.ID, "server", result.server, "sent", result.sent, "not-run", result.notRun,
		"left-ms", (req.deadline - g.now()).Milliseconds()}
	if result.reply != nil {
		fields = append(fields, "outcome", result.reply.outcome, "status", result.reply.status)
	}
	if result.err != nil {
		fields = append(fields, "error", result.err.Error())
	}
	g.log.Info("attempt repeated", fields...)
}
