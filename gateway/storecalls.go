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

// callsToldEvery is the interval at which a host logs how many calls it has made to the store.
const callsToldEvery = 10 * time.Second

// storeCalls counts a host's calls to the store. Each call is billed, and which host makes
// which calls shows whether it follows another host as it should.
type storeCalls struct {
	mu   sync.Mutex
	made map[string]int // since they were last logged, by call and kind
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

// take returns the counts since its last call.
func (c *storeCalls) take() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := c.made
	c.made = nil
	return made
}

// countedReader is a reader that counts its calls. suffix marks the calls of a stale reader.
type countedReader struct {
	objects.Reader
	note   func(call, kind string)
	suffix string
}

// List implements objects.Reader.
func (r countedReader) List(ctx context.Context, kind string) (objects.Listing, error) {
	r.note("list"+r.suffix, kind)
	return r.Reader.List(ctx, kind)
}

// Watch implements objects.Reader.
func (r countedReader) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	r.note("watch"+r.suffix, kind)
	return r.Reader.Watch(ctx, kind, revision, wait)
}

// countedStore is a store that counts its calls.
type countedStore struct {
	countedReader
	store objects.Store
}

var _ objects.Store = (*countedStore)(nil)

func newCountedStore(store objects.Store, note func(call, kind string)) *countedStore {
	return &countedStore{countedReader: countedReader{Reader: store, note: note}, store: store}
}

// Stale implements objects.Store.
func (s *countedStore) Stale() objects.Reader {
	return countedReader{Reader: s.store.Stale(), note: s.note, suffix: "-stale"}
}

// Get implements objects.Store.
func (s *countedStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	s.note("get", kind)
	return s.store.Get(ctx, kind, name)
}

// Put implements objects.Store.
func (s *countedStore) Put(ctx context.Context, object objects.Object) (objects.Object, error) {
	s.note("put", object.Kind)
	return s.store.Put(ctx, object)
}

// Delete implements objects.Store.
func (s *countedStore) Delete(ctx context.Context, kind, name string, revision uint64) error {
	s.note("delete", kind)
	return s.store.Delete(ctx, kind, name, revision)
}

// noteStoreCall counts a call to the store.
func (g *Gateway) noteStoreCall(call, kind string) {
	g.calls.note(call, kind)
	g.counts.set.GetOrCreateCounter(`cicada_store_calls_total{call="` + call + `",kind="` + kind + `"}`).Inc()
}

// tellStoreCalls regularly logs the number of calls made to the store since the last time.
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
