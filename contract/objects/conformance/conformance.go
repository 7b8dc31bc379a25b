// Package conformance tests that an implementation of objects.Store meets its
// documented behavior. Every implementation runs it from its own tests.
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

// eventTimeout is the longest time that a test waits for an expected event.
const eventTimeout = 10 * time.Second

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
		{"exactly one of several concurrent puts succeeds", oneConcurrentPutSucceeds},
		{"a read returns an acknowledged put", readAfterPut},
		{"a missing object returns a not-found error", missing},
		{"a list returns one kind without deleted objects", listOneKind},
		{"a long list is complete", longList},
		{"a watch returns changes of its kind, including deletions", watchChanges},
		{"a watch waits for a change", watchWaits},
		{"a watch without changes ends", watchEnds},
		{"a watch from an unknown revision fails", watchUnknown},
		{"watches from a stale list miss no change", staleReads},
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

func requireConflict(t *testing.T, err error) *objects.ConflictError {
	t.Helper()
	var found *objects.ConflictError
	assert.Assert(t, errors.As(err, &found), "want a conflict, got %v", err)
	return found
}

func createdOnce(t *testing.T, store objects.Store) {
	first := put(t, store, kind, "x", "one", 0)
	_, err := store.Put(context.Background(), thing(kind, "x", "two", 0))
	found := requireConflict(t, err)
	assert.Equal(t, found.Current.Revision, first.Revision)
	assert.Equal(t, string(found.Current.Spec), `{"text":"one"}`)
}

func putNeedsRevision(t *testing.T, store objects.Store) {
	first := put(t, store, kind, "x", "one", 0)
	second := put(t, store, kind, "x", "two", first.Revision)
	assert.Assert(t, second.Revision > first.Revision)
	_, err := store.Put(context.Background(), thing(kind, "x", "three", first.Revision))
	assert.Equal(t, requireConflict(t, err).Current.Revision, second.Revision)
}

func putMissing(t *testing.T, store objects.Store) {
	_, err := store.Put(context.Background(), thing(kind, "x", "one", 7))
	assert.Assert(t, errors.Is(err, objects.ErrNotFound), "got %v", err)
}

func oneConcurrentPutSucceeds(t *testing.T, store objects.Store) {
	const writers = 8
	first := put(t, store, kind, "x", "start", 0)
	succeeded := make(chan struct{}, writers)
	var running sync.WaitGroup
	for i := range writers {
		running.Go(func() {
			if _, err := store.Put(context.Background(), thing(kind, "x", fmt.Sprint(i), first.Revision)); err == nil {
				succeeded <- struct{}{}
			}
		})
	}
	running.Wait()
	assert.Equal(t, len(succeeded), 1)
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
	const count = 1200
	for i := range count {
		put(t, store, kind, fmt.Sprintf("x-%04d", i), "", 0)
	}
	listing, err := store.List(context.Background(), kind)
	assert.NilError(t, err)
	assert.Equal(t, len(listing.Objects), count)
}

func watchChanges(t *testing.T, store objects.Store) {
	x := put(t, store, kind, "x", "one", 0)
	put(t, store, "others", "z", "", 0)
	y := put(t, store, kind, "y", "two", 0)
	assert.NilError(t, store.Delete(context.Background(), kind, "x", x.Revision))
	listing, err := store.Watch(context.Background(), kind, x.Revision, eventTimeout)
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
		listing, err := store.Watch(context.Background(), kind, x.Revision, eventTimeout)
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

// staleReads checks that watching from the revision of a possibly outdated list
// eventually returns every write.
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
