// Package memobjects is an in-memory objects.Store for tests and simulated
// platforms. It stores its objects in a memstore.Store.
package memobjects

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/contract/platform"
	"cicadarouter/contract/platform/memstore"
	"cicadarouter/record"
)

// Store is an in-memory store. It is safe for concurrent use.
type Store struct{ store *memstore.Store }

var _ objects.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store { return &Store{store: memstore.New()} }

func ref(kind, name string) record.Ref { return record.Ref{Kind: record.Kind(kind), Name: name} }

func fromPlatform(from platform.Object) objects.Object {
	return objects.Object{Kind: string(from.Kind), Name: from.Name, Revision: from.Version,
		Spec: json.RawMessage(from.Spec), Deleted: from.Deleted}
}

// Stale implements objects.Store. Reads from memory are always current.
func (s *Store) Stale() objects.Reader { return s }

// Copy returns an independent copy of the store.
func (s *Store) Copy() *Store { return &Store{store: s.store.Copy()} }

// Get implements objects.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	found, err := s.store.Get(ctx, ref(kind, name))
	if err != nil {
		return objects.Object{}, translateError(err)
	}
	return fromPlatform(found), nil
}

// List implements objects.Store.
func (s *Store) List(ctx context.Context, kind string) (objects.Listing, error) {
	snapshot, err := s.store.List(ctx)
	return filterByKind(snapshot, kind), err
}

func filterByKind(snapshot platform.Snapshot, kind string) objects.Listing {
	listing := objects.Listing{Revision: snapshot.Revision}
	for _, stored := range snapshot.Objects {
		if string(stored.Kind) == kind {
			listing.Objects = append(listing.Objects, fromPlatform(stored))
		}
	}
	return listing
}

// Put implements objects.Store.
func (s *Store) Put(ctx context.Context, updated objects.Object) (objects.Object, error) {
	envelope := record.Envelope{Kind: record.Kind(updated.Kind), Name: updated.Name, Schema: record.SchemaV2, Spec: updated.Spec}
	if updated.Revision > 0 {
		if _, err := s.Get(ctx, updated.Kind, updated.Name); err != nil {
			return objects.Object{}, err
		}
	}
	version, err := s.store.Update(ctx, envelope, updated.Revision)
	if err != nil {
		return objects.Object{}, translateError(err)
	}
	updated.Revision = version
	return updated, nil
}

// Delete implements objects.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, revision uint64) error {
	return translateError(s.store.Delete(ctx, ref(kind, name), revision))
}

// Watch implements objects.Store.
func (s *Store) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	deadline := time.Now().Add(wait)
	for {
		snapshot, err := s.store.Watch(ctx, revision, time.Until(deadline))
		if err != nil {
			return objects.Listing{}, translateError(err)
		}
		listing := filterByKind(snapshot, kind)
		if len(listing.Objects) > 0 || len(snapshot.Objects) == 0 {
			return listing, nil
		}
		revision = snapshot.Revision
	}
}

func translateError(err error) error {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return &objects.ConflictError{Kind: string(conflict.Ref.Kind), Name: conflict.Ref.Name, Expected: conflict.Expected, Current: fromPlatform(conflict.Current)}
	}
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return objects.ErrNotFound
	}
	return err
}
