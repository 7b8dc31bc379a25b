// Package conformance tests that an implementation of objects.Store keeps the
// contract. Every implementation runs it from its own tests.
package conformance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
)

// patience bounds what a test waits for an event that must come.
const patience = 10 * time.Second

const kind = "things"

// Run runs the suite; open returns an empty store.
func Run(t *testing.T, open func(t *testing.T) objects.Store) {
	for _, row := range []struct {
		name string
		test func(*testing.T, objects.Store)
	}{
		{"an object is created once", createdOnce},
		{"a put needs the current revision", putNeedsRevision},
		{"a put of a missing object fails", putMissing},
		{"rival puts: exactly one wins", oneRivalWins},
		{"a read shows what was acknowledged before", readAfterPut},
		{"a missing object is not found", missing},
		{"a list holds one kind, without what is deleted", listOneKind},
		{"a list has all pages", longList},
		{"a watch returns changes of its kind, deletions included", watchChanges},
		{"a watch waits for a change", watchWaits},
		{"a quiet watch ends", watchEnds},
		{"a watch from an unknown revision says so", watchUnknown},
		{"a stale list and watches from it miss nothing", staleReads},
	} {
		t.Run(row.name, func(t *testing.T) { row.test(t, open(t)) })
	}
}

func put(t *testing.T, store objects.Store, kind, name, text string, revision uint64) objects.Object {
	t.Helper()
	written, err := store.Put(context.Background(), thing(kind, name, text, revision))
	assert.NilError(t, err)
	return written
}

func thing(kind, name, text string, revision uint64) objects.Object {
	return objects.Object{Kind: kind, Name: name, Revision: revision, Spec: []byte(fmt.Sprintf(`{"text":%q}`, text))}
}

func conflict(t *testing.T, err error) *objects.ConflictError {
	t.Helper()
	var found *objects.ConflictError
	assert.Assert(t, errors.As(err, &found), "want a conflict, got %v", err)
	return found
}

func createdOnce(t *testing.T, store objects.Store) {
	first := put(t, store, kind, "x", "one", 0)
	_, err := store.Put(context.Background(), thing(kind, "x", "two", 0))
	found := conflict(t, err)
	assert.Equal(t, found.Current.Revision, first.Revision)
	assert.Equal(t, string(found.Current.Spec), `{"text":"one"}`)
}

func putNeedsRevision(t *testing.T, store objects.Store) {
	first := put(t, store, kind, "x", "one", 0)
	second := put(t, store, kind, "x", "two", first.Revision)
	assert.Assert(t, second.Revision > first.Revision)
	_, err := store.Put(context.Background(), thing(kind, "x", "three", first.Revision))
	assert.Equal(t, conflict(t, err).Current.Revision, second.Revision)
}

func putMissing(t *testing.T, store objects.Store) {
	_, err := store.Put(context.Background(), thing(kind, "x", "one", 7))
	assert.Assert(t, errors.Is(err, objects.ErrNotFound), "got %v", err)
}

func oneRivalWins(t *testing.T, store objects.Store) {
	const rivals = 8
	first := put(t, store, kind, "x", "start", 0)
	won := make(chan struct{}, rivals)
	var rivalry sync.WaitGroup
	for i := range rivals {
		rivalry.Go(func() {
			if _, err := store.Put(context.Background(), thing(kind, "x", fmt.Sprint(i), first.Revision)); err == nil {
				won <- struct{}{}
			}
		})
	}
	rivalry.Wait()
	assert.Equal(t, len(won), 1)
}

func readAfterPut(t *testing.T, store objects.Store) {
	written := put(t, store, kind, "x", "one", 0)
	read, err := store.Get(context.Background(), kind, "x")
	assert.NilError(t, err)
	assert.Equal(t, read.Revision, written.Revision)
	assert.Equal(t, string(read.Spec), `{"text":"one"}`)
}

func missing(t *testing.T, store objects.Store) {
	_, err := store.Get(context.Background(), kind, "x")
	assert.Assert(t, errors.Is(err, objects.ErrNotFound), "got %v", err)
}

func listOneKind(t *testing.T, store objects.Store) {
	put(t, store, "others", "z", "", 0)
	x := put(t, store, kind, "x", "", 0)
	put(t, store, kind, "y", "", 0)
	assert.NilError(t, store.Delete(context.Background(), kind, "x", x.Revision))
	listing, err := store.List(context.Background(), kind)
	assert.NilError(t, err)
	assert.Equal(t, len(listing.Objects), 1)
	assert.Equal(t, listing.Objects[0].Name, "y")
}

func longList(t *testing.T, store objects.Store) {
	const many = 1200
	for i := range many {
		put(t, store, kind, fmt.Sprintf("x-%04d", i), "", 0)
	}
	listing, err := store.List(context.Background(), kind)
	assert.NilError(t, err)
	assert.Equal(t, len(listing.Objects), many)
}

func watchChanges(t *testing.T, store objects.Store) {
	x := put(t, store, kind, "x", "one", 0)
	put(t, store, "others", "z", "", 0)
	y := put(t, store, kind, "y", "two", 0)
	assert.NilError(t, store.Delete(context.Background(), kind, "x", x.Revision))
	listing, err := store.Watch(context.Background(), kind, x.Revision, patience)
	assert.NilError(t, err)
	assert.Equal(t, len(listing.Objects), 2)
	assert.Equal(t, listing.Objects[0].Revision, y.Revision)
	assert.Equal(t, listing.Objects[1].Name, "x")
	assert.Assert(t, listing.Objects[1].Deleted)
}

func watchWaits(t *testing.T, store objects.Store) {
	x := put(t, store, kind, "x", "one", 0)
	seen := make(chan objects.Listing, 1)
	go func() {
		listing, err := store.Watch(context.Background(), kind, x.Revision, patience)
		if err == nil {
			seen <- listing
		}
		close(seen)
	}()
	put(t, store, kind, "x", "two", x.Revision)
	assert.Equal(t, len((<-seen).Objects), 1)
}

func watchEnds(t *testing.T, store objects.Store) {
	x := put(t, store, kind, "x", "one", 0)
	listing, err := store.Watch(context.Background(), kind, x.Revision, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(listing.Objects), 0)
	assert.Equal(t, listing.Revision, x.Revision)
}

func watchUnknown(t *testing.T, store objects.Store) {
	_, err := store.Watch(context.Background(), kind, 1_000_000, time.Millisecond)
	assert.Assert(t, errors.Is(err, objects.ErrCompacted), "got %v", err)
}

// A stale reader may be behind, but following it from what it listed comes to
// everything that was written.
func staleReads(t *testing.T, store objects.Store) {
	put(t, store, kind, "a", "one", 0)
	reader := store.Stale()
	ctx := context.Background()
	seen := map[string]bool{}
	listing, err := reader.List(ctx, kind)
	assert.NilError(t, err)
	put(t, store, kind, "b", "two", 0)
	for calls := 0; !seen["a"] || !seen["b"]; calls++ {
		for _, object := range listing.Objects {
			seen[object.Name] = true
		}
		assert.Assert(t, calls < 100, "seen: %v", seen)
		listing, err = reader.Watch(ctx, kind, listing.Revision, 50*time.Millisecond)
		assert.NilError(t, err)
	}
}
