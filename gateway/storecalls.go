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

// observeCall observes a call that begins. The function that it returns observes how the call ended.
type observeCall func(call, kind string) (ended func(error))

// observedReader is a reader whose calls are observed.
type observedReader struct {
	objects.Reader
	observe observeCall
}

// List implements objects.Reader.
func (r observedReader) List(ctx context.Context, kind string) (objects.Listing, error) {
	ended := r.observe("list", kind)
	listing, err := r.Reader.List(ctx, kind)
	ended(err)
	return listing, err
}

// Watch implements objects.Reader.
func (r observedReader) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	ended := r.observe("watch", kind)
	listing, err := r.Reader.Watch(ctx, kind, revision, wait)
	ended(err)
	return listing, err
}

// observedStore is a store whose calls are observed.
type observedStore struct {
	observedReader
	store        objects.Store
	observeStale observeCall
}

var _ objects.Store = (*observedStore)(nil)

func newObservedStore(store objects.Store, observe, observeStale observeCall) *observedStore {
	return &observedStore{observedReader: observedReader{Reader: store, observe: observe}, store: store, observeStale: observeStale}
}

// Stale implements objects.Store.
func (s *observedStore) Stale() objects.Reader {
	return observedReader{Reader: s.store.Stale(), observe: s.observeStale}
}

// Get implements objects.Store.
func (s *observedStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	ended := s.observe("get", kind)
	object, err := s.store.Get(ctx, kind, name)
	ended(err)
	return object, err
}

// Put implements objects.Store.
func (s *observedStore) Put(ctx context.Context, object objects.Object) (objects.Object, error) {
	ended := s.observe("put", object.Kind)
	written, err := s.store.Put(ctx, object)
	ended(err)
	return written, err
}

// Delete implements objects.Store.
func (s *observedStore) Delete(ctx context.Context, kind, name string, revision uint64) error {
	ended := s.observe("delete", kind)
	err := s.store.Delete(ctx, kind, name, revision)
	ended(err)
	return err
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
