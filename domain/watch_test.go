package domain

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/backend"
	"cicadarouter/contract/platform"
	"cicadarouter/contract/platform/memstore"
	"cicadarouter/directory"
	"cicadarouter/host/clock"
	"cicadarouter/host/logs"
	"cicadarouter/internal/silence"
	"cicadarouter/link"
	"cicadarouter/ownership"
	"cicadarouter/record"
)

// silentStore is a store that loses its history and, in silences, responses. Callers give up as
// httpstore.Client does.
type silentStore struct {
	*memstore.Store
	silence   silence.Silence
	compacted atomic.Uint64
}

// How long callers wait for a list, and for a watch besides the time that they asked it to wait.
const (
	listTimeout = 2 * time.Second
	watchMargin = time.Second
)

// List implements platform.Store.
func (s *silentStore) List(ctx context.Context) (platform.Snapshot, error) {
	return s.answer(ctx, listTimeout, s.Store.List)
}

// Watch implements platform.Store.
func (s *silentStore) Watch(ctx context.Context, revision uint64, wait time.Duration) (platform.Snapshot, error) {
	return s.answer(ctx, wait+watchMargin, func(ctx context.Context) (platform.Snapshot, error) {
		if revision < s.compacted.Load() {
			return platform.Snapshot{}, platform.ErrCompacted
		}
		return s.Store.Watch(ctx, revision, wait)
	})
}

func (s *silentStore) answer(ctx context.Context, timeout time.Duration, call func(context.Context) (platform.Snapshot, error)) (platform.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	accepted := s.silence.Accept()
	snapshot, err := call(ctx)
	if s.silence.IsLost(ctx, accepted) {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	return snapshot, err
}

// newTestController returns a controller that watches a store.
func newTestController(store platform.Store, dir *directory.Directory) *Controller {
	dial := func(server record.Server) backend.Control {
		return backend.NewClient(server.Name, server.Address, http.DefaultTransport)
	}
	return NewController(link.Identity{Host: "h", Domain: "a"}, ownership.DefaultTerms(), DefaultTiming(), store, dir, nil, dial, nil, clock.System(), logs.Discard())
}

// putService writes a service that is at a version, and returns the next one.
func putService(t *testing.T, store *memstore.Store, version uint64) uint64 {
	t.Helper()
	envelope, err := record.Service{Name: "s"}.Encode(record.SchemaV2)
	assert.NilError(t, err)
	next, err := store.Update(context.Background(), envelope, version)
	assert.NilError(t, err)
	return next
}

// silenceDelay returns the time from the end of a silence of the store, which begins some time after a
// watch and some time after the loss of the history, until a controller has what the store holds then.
func silenceDelay(t *testing.T, begins, afterLoss, length time.Duration) (delay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		store, dir := &silentStore{Store: memstore.New()}, directory.New()
		version := putService(t, store.Store, 0)
		c := newTestController(store, dir)
		ctx, cancel := context.WithCancel(context.Background())
		var watching sync.WaitGroup
		watching.Go(func() { c.watchStore(ctx) })
		time.Sleep(time.Second + begins)
		version = putService(t, store.Store, version)
		store.compacted.Store(version)
		time.Sleep(afterLoss)
		store.silence.Set(true)
		time.Sleep(length)
		version = putService(t, store.Store, version)
		store.compacted.Store(version)
		store.silence.Set(false)
		end := time.Now()
		for dir.Revision() < version && time.Since(end) < time.Minute {
			time.Sleep(time.Millisecond)
		}
		delay = time.Since(end)
		cancel()
		watching.Wait()
	})
	return delay
}

// Guards against controllers that keep outdated records after a silence of the store because they wait
// for calls that it has lost.
func TestLostCallsDoNotDelayRecords(t *testing.T) {
	const (
		inForceWithin = 4 * time.Second
		step          = 70 * time.Millisecond
		tolerance     = 5 * time.Millisecond // of the play's own polling
		// Pauses are lengthened by half at most.
		firstPause, longestPause = minStoreRetryDelay * 3 / 2, maxStoreRetryDelay * 3 / 2
	)
	timing := DefaultTiming()
	noticed := timing.WatchTimeout + watchMargin
	for _, length := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second, noticed, 4 * time.Second, 8 * time.Second, 40 * time.Second} {
		most := noticed + firstPause
		if length > noticed {
			most = max(listTimeout, unreachableWatchWait+watchMargin) + longestPause
		}
		assert.Assert(t, most < inForceWithin)
		for _, afterLoss := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond} {
			for begins := time.Duration(0); begins < timing.WatchTimeout; begins += step {
				delay := silenceDelay(t, begins, afterLoss, length)
				assert.Check(t, delay <= most+tolerance, "%v after a silence of %v that began %v after a watch and %v after the loss of the history", delay, length, begins, afterLoss)
			}
		}
	}
}

// slowListStore takes long for lists and answers other calls at once.
type slowListStore struct{ *memstore.Store }

// List implements platform.Store.
func (s slowListStore) List(ctx context.Context) (platform.Snapshot, error) {
	select {
	case <-time.After(listTimeout - time.Millisecond):
		return s.Store.List(ctx)
	case <-ctx.Done():
		return platform.Snapshot{}, platform.ErrUnavailable
	}
}

// Guards against controllers that never begin because they give up a list of all records that takes long.
func TestLongListIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, dir := memstore.New(), directory.New()
		version := putService(t, store, 0)
		c := newTestController(slowListStore{store}, dir)
		ctx, cancel := context.WithCancel(context.Background())
		var watching sync.WaitGroup
		watching.Go(func() { c.watchStore(ctx) })
		time.Sleep(10 * listTimeout)
		assert.Check(t, dir.Revision() >= version, "nothing was listed")
		cancel()
		watching.Wait()
	})
}
