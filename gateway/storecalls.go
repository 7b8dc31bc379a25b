package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/host/clock"
)

// storeCallLogInterval is the interval at which a host logs how many calls it has made to the
// store.
const storeCallLogInterval = 10 * time.Second

// storeCalls counts a host's calls to the store. Each call is billed, and which host makes
// which calls shows whether it follows another host as it should.
type storeCalls struct {
	mu     sync.Mutex
	counts map[string]int // since they were last logged, by call and kind
}

// add counts a call.
func (c *storeCalls) add(call, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[call+" "+kind]++
}

// drain returns the counts since its last call.
func (c *storeCalls) drain() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = nil
	return counts
}

// countingReader is a reader that counts its calls. suffix marks the calls of a stale reader.
type countingReader struct {
	objects.Reader
	count  func(call, kind string)
	suffix string
}

// List implements objects.Reader.
func (r countingReader) List(ctx context.Context, kind string) (objects.Listing, error) {
	r.count("list"+r.suffix, kind)
	return r.Reader.List(ctx, kind)
}

// Watch implements objects.Reader.
func (r countingReader) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	r.count("watch"+r.suffix, kind)
	return r.Reader.Watch(ctx, kind, revision, wait)
}

// countingStore is a store that counts its calls.
type countingStore struct {
	countingReader
	store objects.Store
}

var _ objects.Store = (*countingStore)(nil)

func newCountingStore(store objects.Store, note func(call, kind string)) *countingStore {
	return &countingStore{countingReader: countingReader{Reader: store, count: note}, store: store}
}

// Stale implements objects.Store.
func (s *countingStore) Stale() objects.Reader {
	return countingReader{Reader: s.store.Stale(), count: s.count, suffix: "-stale"}
}

// Get implements objects.Store.
func (s *countingStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	s.count("get", kind)
	return s.store.Get(ctx, kind, name)
}

// Put implements objects.Store.
func (s *countingStore) Put(ctx context.Context, object objects.Object) (objects.Object, error) {
	s.count("put", object.Kind)
	return s.store.Put(ctx, object)
}

// Delete implements objects.Store.
func (s *countingStore) Delete(ctx context.Context, kind, name string, revision uint64) error {
	s.count("delete", kind)
	return s.store.Delete(ctx, kind, name, revision)
}

// countStoreCall counts a call to the store.
func (g *Gateway) countStoreCall(call, kind string) {
	g.storeCalls.add(call, kind)
	g.metrics.set.GetOrCreateCounter(`cicada_store_calls_total{call="` + call + `",kind="` + kind + `"}`).Inc()
}

// logStoreCalls regularly logs the number of calls made to the store since the last time.
func (g *Gateway) logStoreCalls(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, storeCallLogInterval)
		counts := g.storeCalls.drain()
		if len(counts) == 0 {
			continue
		}
		fields := []any{"within-ms", storeCallLogInterval.Milliseconds()}
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			fields = append(fields, name, counts[name])
		}
		g.log.Info("calls to the store", fields...)
	}
}
