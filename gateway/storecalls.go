package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadarouter/host/clock"
)

// callsToldEvery is how often a host writes how many calls it has made to the store.
const callsToldEvery = 10 * time.Second

// storeCalls counts a host's calls to the store. Each has a price, and which host
// makes them, and of what kind, tells whether it follows another host as it should.
type storeCalls struct {
	mu   sync.Mutex
	made map[string]int // since they were last told, by call and kind
}

// note counts a call.
func (c *storeCalls) note(call, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.made == nil {
		c.made = map[string]int{}
	}
	c.made[call+" "+kind]++
}

// take returns the calls since it was last called.
func (c *storeCalls) take() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := c.made
	c.made = nil
	return made
}

// The calls that are told apart.
const (
	callListStale  = "list-stale"
	callList       = "list"
	callWatchStale = "watch-stale"
	callWatch      = "watch"
	callGet        = "get"
	callPut        = "put"
)

// noteStoreCall counts a call to the store.
func (g *Gateway) noteStoreCall(call, kind string) {
	g.calls.note(call, kind)
	g.counts.set.GetOrCreateCounter(`cicada_store_calls_total{call="` + call + `",kind="` + kind + `"}`).Inc()
}

// tellStoreCalls writes a line each while with the calls made in it.
func (g *Gateway) tellStoreCalls(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, callsToldEvery)
		made := g.calls.take()
		if len(made) == 0 {
			continue
		}
		fields := []any{"within-ms", callsToldEvery.Milliseconds()}
		for _, name := range slices.Sorted(maps.Keys(made)) {
			fields = append(fields, name, made[name])
		}
		g.log.Info("calls to the store", fields...)
	}
}
