package router

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cicadarouter/dispatch"
)

// meters are the router's metrics, in a set of their own so that tests can have
// several routers in one process.
type meters struct{ set *metrics.Set }

func newMeters() *meters { return &meters{set: metrics.NewSet()} }

// Names of the metrics that the burn report reads.
const (
	MetricRequests = "cicada_requests_total"
	MetricSeconds  = "cicada_request_seconds"
	MetricSlow     = "cicada_requests_slow_total"
)

func (m *meters) request(service string, reply dispatch.Reply, took, objective time.Duration) {
	labels := fmt.Sprintf(`{service=%q,outcome=%q,reason=%q}`, service, reply.Outcome, reply.Reason)
	m.set.GetOrCreateCounter(MetricRequests + labels).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{service=%q}`, MetricSeconds, service)).Update(took.Seconds())
	if took > objective {
		m.set.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q}`, MetricSlow, service)).Inc()
	}
}

func (m *meters) retry(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cicada_retries_total{cause=%q}`, cause)).Inc()
}

func (m *meters) forwarded() { m.set.GetOrCreateCounter(`cicada_forwards_total`).Inc() }

// WriteMetrics writes the metrics in the exposition format.
func (r *Router) WriteMetrics(out io.Writer) { r.meters.set.WritePrometheus(out) }
