// Package memstore is an in-memory platform.Store. The simulated platform serves
// it over HTTP; tests use it directly.
package memstore

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
)

// historyLimit is the number of changes that are kept for watches.
const historyLimit = 4096

// Store is an in-memory object store. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  uint64
	compacted uint64
	objects   map[record.Ref]platform.Object
	history   []platform.Object
	changed   chan struct{}
	hosts     []platform.Host
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[record.Ref]platform.Object{}, changed: make(chan struct{})}
}

// Copy returns an independent copy of the store with its history.
func (s *Store) Copy() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Store{revision: s.revision, compacted: s.compacted, objects: maps.Clone(s.objects), history: slices.Clone(s.history),
		changed: make(chan struct{}), hosts: slices.Clone(s.hosts)}
}

// Get implements platform.Store.
func (s *Store) Get(_ context.Context, ref record.Ref) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[ref]
	if !ok {
		return platform.Object{}, &platform.NotFoundError{Ref: ref}
	}
	return object, nil
}

// List implements platform.Store.
func (s *Store) List(context.Context) (platform.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := platform.Snapshot{Revision: s.revision}
	for _, object := range s.objects {
		snapshot.Objects = append(snapshot.Objects, object)
	}
	slices.SortFunc(snapshot.Objects, func(a, b platform.Object) int {
		return int(int64(a.Version) - int64(b.Version))
	})
	return snapshot, nil
}

// Update implements platform.Store.
func (s *Store) Update(_ context.Context, envelope record.Envelope, version uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[envelope.Ref()]
	if current.Version != version {
		return 0, &platform.ConflictError{Ref: envelope.Ref(), Expected: version, Current: current}
	}
	object := platform.Object{Envelope: envelope, Version: s.revision + 1}
	s.objects[envelope.Ref()] = object
	s.recordChange(object)
	return object.Version, nil
}

// Delete implements platform.Store.
func (s *Store) Delete(_ context.Context, ref record.Ref, version uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[ref]
	if !ok {
		return &platform.NotFoundError{Ref: ref}
	}
	if current.Version != version {
		return &platform.ConflictError{Ref: ref, Expected: version, Current: current}
	}
	delete(s.objects, ref)
	current.Version = s.revision + 1
	current.Deleted = true
	s.recordChange(current)
	return nil
}

// recordChange appends a change to the history and wakes the watchers.
func (s *Store) recordChange(object platform.Object) {
	s.revision = object.Version
	s.history = append(s.history, object)
	if len(s.history) > historyLimit {
		excess := len(s.history) - historyLimit
		s.compacted = s.history[excess-1].Version
		s.history = slices.Clone(s.history[excess:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, revision uint64, wait time.Duration) (platform.Snapshot, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		snapshot, changed, err := s.changesSince(revision)
		if err != nil || len(snapshot.Objects) > 0 {
			return snapshot, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return snapshot, nil
		case <-ctx.Done():
			return platform.Snapshot{}, ctx.Err()
		}
	}
}

func (s *Store) changesSince(revision uint64) (platform.Snapshot, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.compacted || revision > s.revision {
		return platform.Snapshot{}, nil, platform.ErrCompacted
	}
	snapshot := platform.Snapshot{Revision: s.revision}
	for _, object := range s.history {
		if object.Version > revision {
			snapshot.Objects = append(snapshot.Objects, object)
		}
	}
	return snapshot, s.changed, nil
}

// Hosts implements platform.Store.
func (s *Store) Hosts(context.Context) ([]platform.Host, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.hosts), nil
}

// SetHosts replaces the list of hosts.
func (s *Store) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
}
