package domain

import (
	"context"
	"net/http"
	"sync"
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
	"cicadarouter/link"
	"cicadarouter/ownership"
	"cicadarouter/record"
)

// silentStore is a store that loses its history, and the responses to all calls that are under way in a
// silence. Callers give up as httpstore.Client does.
type silentStore struct {
	*memstore.Store
	mu        sync.Mutex
	silent    bool
	silences  int
	compacted uint64
}

func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		s.silences++
	}
}

// loseHistory makes watches from revisions before the given one fail.
func (s *silentStore) loseHistory(before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = before
}

func (s *silentStore) begin() (silences int, compacted uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return s.silences - 1, s.compacted
	}
	return s.silences, s.compacted
}

func (s *silentStore) respond(ctx context.Context, silences int) error {
	s.mu.Lock()
	lost := s.silent || s.silences != silences
	s.mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return platform.ErrUnavailable
}

// List implements platform.Store.
func (s *silentStore) List(ctx context.Context) (platform.Snapshot, error) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	silences, _ := s.begin()
	snapshot, err := s.Store.List(ctx)
	if lost := s.respond(ctx, silences); lost != nil {
		return platform.Snapshot{}, lost
	}
	return snapshot, err
}

// Watch implements platform.Store.
func (s *silentStore) Watch(ctx context.Context, revision uint64, wait time.Duration) (platform.Snapshot, error) {
	const margin = time.Second
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	silences, compacted := s.begin()
	snapshot, err := platform.Snapshot{}, platform.ErrCompacted
	if revision >= compacted {
		snapshot, err = s.Store.Watch(ctx, revision, wait)
	}
	if lost := s.respond(ctx, silences); lost != nil {
		return platform.Snapshot{}, lost
	}
	return snapshot, err
}

// silenceDelay returns the time from the end of a silence of the store, which begins some time after a
// watch, until a controller has what the store holds then.
func silenceDelay(t *testing.T, begins, length time.Duration) (delay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{Store: memstore.New()}
		dial := func(server record.Server) backend.Control {
			return backend.NewClient(server.Name, server.Address, http.DefaultTransport)
		}
		put := func(version uint64) uint64 {
			envelope, err := record.Service{Name: "s"}.Encode(record.SchemaV2)
			assert.NilError(t, err)
			next, err := store.Update(context.Background(), envelope, version)
			assert.NilError(t, err)
			return next
		}
		version := put(0)
		dir := directory.New()
		c := NewController(link.Identity{Host: "h", Domain: "a"}, ownership.DefaultTerms(), DefaultTiming(), store, dir, nil, dial, nil, clock.System(), logs.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		var watching sync.WaitGroup
		watching.Go(func() { c.watchStore(ctx) })
		time.Sleep(time.Second + begins)
		store.setSilent(true)
		time.Sleep(length)
		version = put(version)
		store.loseHistory(version)
		store.setSilent(false)
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
	)
	timing := DefaultTiming()
	const longestPause = maxStoreRetryDelay * 3 / 2 // with the randomization of storeBackoff
	known := max(unreachableWatchWait+storeOverdue, longestPause) + storeProbeInterval
	assert.Assert(t, known <= inForceWithin/4)
	noticed := timing.WatchTimeout + storeOverdue
	for _, length := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second, noticed, 4 * time.Second, 8 * time.Second, 40 * time.Second} {
		most := noticed
		if length >= noticed {
			most = known
		}
		assert.Assert(t, most < inForceWithin)
		for begins := time.Duration(0); begins < timing.WatchTimeout; begins += step {
			delay := silenceDelay(t, begins, length)
			assert.Check(t, delay <= most+tolerance, "%v after a silence of %v that began %v after a watch", delay, length, begins)
		}
	}
}
