package router

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadarouter/contract/caller"
	"cicadarouter/dispatch"
)

// routerMetrics holds the router's metrics in a separate set, so that tests can run several
// routers in one process.
type routerMetrics struct {
	set      *metrics.Set
	forwards *metrics.Counter
	// requests caches the metrics by their labels, because looking up a metric by
	// its full name costs more than updating it.
	requests sync.Map // requestLabels -> *requestMetrics
}

type requestLabels struct {
	service string
	outcome caller.Outcome
	reason  caller.Reason
}

type requestMetrics struct {
	count   *metrics.Counter
	seconds *metrics.Histogram
	slow    *metrics.Counter
}

func newRouterMetrics() *routerMetrics {
	set := metrics.NewSet()
	return &routerMetrics{set: set, forwards: set.NewCounter("cicada_forwards_total")}
}

// Names of the metrics for callers' requests.
const (
	MetricRequests = "cicada_requests_total"
	MetricSeconds  = "cicada_request_seconds"
	MetricSlow     = "cicada_requests_slow_total"
)

func (m *routerMetrics) recordRequest(service string, reply dispatch.Reply, elapsed, objective time.Duration) {
	found := m.metricsFor(requestLabels{service: service, outcome: reply.Outcome, reason: reply.Reason})
	found.count.Inc()
	found.seconds.Update(elapsed.Seconds())
	if elapsed > objective {
		found.slow.Inc()
	}
}

func (m *routerMetrics) metricsFor(labels requestLabels) *requestMetrics {
	if known, ok := m.requests.Load(labels); ok {
		return known.(*requestMetrics)
	}
	all := fmt.Sprintf(`{service=%q,outcome=%q,reason=%q}`, labels.service, labels.outcome, labels.reason)
	byService := fmt.Sprintf(`{service=%q}`, labels.service)
	found := &requestMetrics{
		count:   m.set.GetOrCreateCounter(MetricRequests + all),
		seconds: m.set.GetOrCreateHistogram(MetricSeconds + byService),
		slow:    m.set.GetOrCreateCounter(MetricSlow + byService),
	}
	m.requests.Store(labels, found)
	return found
}

func (m *routerMetrics) countRetry(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cicada_retries_total{cause=%q}`, cause)).Inc()
}

func (m *routerMetrics) countForward() { m.forwards.Inc() }

// WriteMetrics writes the metrics in the Prometheus text format.
func (r *Router) WriteMetrics(out io.Writer) { r.metrics.set.WritePrometheus(out) }
