package domain

import "github.com/VictoriaMetrics/metrics"

// meters are the controller's metrics.
type meters struct {
	set     *metrics.Set
	dropped *metrics.Counter
	writes  *metrics.Counter
	moves   *metrics.Counter
	suspect *metrics.Counter
}

func newMeters() *meters {
	set := metrics.NewSet()
	return &meters{
		set:     set,
		dropped: set.NewCounter("cicada_events_dropped_total"),
		writes:  set.NewCounter("cicada_page_writes_total"),
		moves:   set.NewCounter("cicada_shard_moves_total"),
		suspect: set.NewCounter("cicada_servers_suspected_total"),
	}
}
