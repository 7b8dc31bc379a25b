package bench

import (
	"encoding/json"
	"runtime"
	"syscall"
	"time"
)

// Sample is the cost of one site without requests. CPU, Heap, Bytes and Messages are per
// daemon; a host has two daemons.
type Sample struct {
	Config
	// CPU is a fraction of a core. Heap is in bytes. Bytes and Messages are per second.
	CPU      float64
	Heap     float64
	Bytes    float64
	Messages float64
	// LinkBytes, RelayBytes and ServerBytes are the parts of Bytes.
	LinkBytes, RelayBytes, ServerBytes float64
	// Reads, Writes and Watches are the whole site's calls to the store per second.
	Reads, Writes, Watches float64
	// Waiting is the number of watches that are waiting at the end of the measurement.
	Waiting int64
	// PageBytes is the size of the largest page record, encoded as JSON.
	PageBytes int
}

// counters is the values of the counters at a time.
type counters struct {
	at                     time.Time
	cpu                    time.Duration
	link, relay, servers   int64
	messages               int64
	reads, writes, watches int64
}

func (s *Site) readCounters() counters {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return counters{
		at:       time.Now(),
		cpu:      time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		link:     s.network.control.bytes.Load(),
		relay:    s.network.relays.bytes.Load(),
		servers:  s.network.servers.bytes.Load(),
		messages: s.network.control.messages.Load() + s.network.relays.messages.Load() + s.network.servers.messages.Load(),
		reads:    s.store.reads.Load(),
		writes:   s.store.writes.Load(),
		watches:  s.store.watches.Load(),
	}
}

// heap returns the size of the live heap in bytes.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// waitForQuiet waits until the store has had no writes for 3 s, or for about a minute at most.
func (s *Site) waitForQuiet() {
	const (
		quiet = 3 * time.Second
		limit = 60 * time.Second
	)
	for began := time.Now(); time.Since(began) < limit; {
		before := s.store.writes.Load()
		time.Sleep(quiet)
		if s.store.writes.Load() == before {
			return
		}
	}
}

// Measure starts a site, waits until it has settled and measures its idle cost.
func Measure(config Config, settle, measured time.Duration) (Sample, error) {
	before := heap()
	site, err := Start(config)
	if err != nil {
		return Sample{}, err
	}
	defer site.Close()
	if err := site.Settle(settle); err != nil {
		return Sample{}, err
	}
	site.waitForQuiet()
	from := site.readCounters()
	time.Sleep(measured)
	to := site.readCounters()
	return site.sample(from, to, heap()-before), nil
}

func (s *Site) sample(from, to counters, heapBytes uint64) Sample {
	seconds := to.at.Sub(from.at).Seconds()
	daemons := float64(2 * s.config.Hosts)
	rate := func(a, b int64) float64 { return float64(b-a) / seconds }
	sample := Sample{
		Config:      s.config,
		CPU:         (to.cpu - from.cpu).Seconds() / seconds / daemons,
		Heap:        float64(heapBytes) / daemons,
		Messages:    rate(from.messages, to.messages) / daemons,
		LinkBytes:   rate(from.link, to.link) / daemons,
		RelayBytes:  rate(from.relay, to.relay) / daemons,
		ServerBytes: rate(from.servers, to.servers) / daemons,
		Reads:       rate(from.reads, to.reads),
		Writes:      rate(from.writes, to.writes),
		Watches:     rate(from.watches, to.watches),
		Waiting:     s.store.waiting.Load(),
	}
	sample.Bytes = sample.LinkBytes + sample.RelayBytes + sample.ServerBytes
	for _, page := range s.pages() {
		encoded, _ := json.Marshal(page)
		sample.PageBytes = max(sample.PageBytes, len(encoded))
	}
	return sample
}
