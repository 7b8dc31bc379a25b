package bench

import (
	"context"
	"sync/atomic"
	"time"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
)

// countingStore is a store that counts calls and can be made unavailable.
type countingStore struct {
	platform.Store
	reads, writes, watches atomic.Int64
	waiting                atomic.Int64
	down                   atomic.Bool
}

func (s *countingStore) Get(ctx context.Context, ref record.Ref) (platform.Object, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, ref)
}

func (s *countingStore) List(ctx context.Context) (platform.Snapshot, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	return s.Store.List(ctx)
}

func (s *countingStore) Update(ctx context.Context, envelope record.Envelope, version uint64) (uint64, error) {
	s.writes.Add(1)
	if s.down.Load() {
		return 0, platform.ErrUnavailable
	}
	return s.Store.Update(ctx, envelope, version)
}

func (s *countingStore) Watch(ctx context.Context, revision uint64, wait time.Duration) (platform.Snapshot, error) {
	s.watches.Add(1)
	if s.down.Load() {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	snapshot, err := s.Store.Watch(ctx, revision, wait)
	if s.down.Load() {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	return snapshot, err
}

func (s *countingStore) Hosts(ctx context.Context) ([]platform.Host, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return nil, platform.ErrUnavailable
	}
	return s.Store.Hosts(ctx)
}
