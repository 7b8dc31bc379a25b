package domain

import (
	"github.com/VictoriaMetrics/metrics"

	"cicadarouter/ownership"
	"cicadarouter/record"
)

// meters are the controller's metrics.
type meters struct {
	set       *metrics.Set
	dropped   *metrics.Counter
	writes    *metrics.Counter
	moves     *metrics.Counter
	suspected *metrics.Counter
}

func newMeters() *meters {
	set := metrics.NewSet()
	return &meters{
		set:       set,
		dropped:   set.NewCounter("cicada_events_dropped_total"),
		writes:    set.NewCounter("cicada_page_writes_total"),
		moves:     set.NewCounter("cicada_shard_moves_total"),
		suspected: set.NewCounter("cicada_servers_suspected_total"),
	}
}

// countWrite counts a write of a page and, if it succeeded, the shards that got a new
// owner.
func (m *meters) countWrite(page record.Page, result ownership.WriteResult) {
	m.writes.Inc()
	if result != ownership.WriteDone {
		return
	}
	for _, shard := range page.Shards {
		if shard.Grantable() && shard.Token == page.Generation {
			m.moves.Inc()
		}
	}
}

// addStoreGauge adds a gauge that is 1 while the store answers the controller's
// own calls.
func (m *meters) addStoreGauge(up func() bool) {
	m.set.NewGauge("cicada_store_up", func() float64 {
		if up() {
			return 1
		}
		return 0
	})
}
