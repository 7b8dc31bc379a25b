// Package conformance tests that an implementation of platform.Store meets its
// documented behavior. Every implementation runs it from its own tests.
package conformance

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
)

// Open returns an empty store for one test, and a function that sets its host list.
type Open func(t *testing.T) (store platform.Store, setHosts func([]platform.Host))

// Run runs the suite.
func Run(t *testing.T, open Open) {
	rows := []struct {
		name string
		test func(t *testing.T, store platform.Store)
	}{
		{"an object is created once", createdOnce},
		{"an update needs the current version", updateNeedsVersion},
		{"a conflict returns the current object", conflictShowsCurrent},
		{"versions increase across the whole store", versionsGrow},
		{"exactly one of several concurrent updates succeeds", oneConcurrentUpdateSucceeds},
		{"a read returns an acknowledged update", readAfterWrite},
		{"a list omits deleted objects", listWithoutDeleted},
		{"a deleted name can be created again, with a newer version", createdAgain},
		{"a watch returns changes, including deletions", watchReturnsChanges},
		{"a watch waits for a change", watchWaits},
		{"a watch from an unknown revision fails", watchUnknownRevision},
		{"a missing object returns a not-found error", missing},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			store, _ := open(t)
			row.test(t, store)
		})
	}
	t.Run("the host list is returned as set", func(t *testing.T) {
		store, setHosts := open(t)
		want := []platform.Host{{Name: "a-1", Domain: "a", Link: "127.0.0.1:1", RouterLink: "127.0.0.1:2", Leaving: true}}
		setHosts(want)
		got, err := store.Hosts(context.Background())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

// eventTimeout is the longest time that a test waits for an expected event.
const eventTimeout = 10 * time.Second

func object(name, text string) record.Envelope {
	spec, _ := json.Marshal(map[string]string{"text": text})
	return record.Envelope{Kind: record.KindService, Name: name, Schema: record.SchemaV2, Spec: spec}
}

func mustUpdate(t *testing.T, store platform.Store, envelope record.Envelope, version uint64) uint64 {
	t.Helper()
	written, err := store.Update(context.Background(), envelope, version)
	assert.NilError(t, err)
	return written
}

func requireConflict(t *testing.T, err error) *platform.ConflictError {
	t.Helper()
	var found *platform.ConflictError
	assert.Assert(t, errors.As(err, &found), "want a conflict, got %v", err)
	return found
}

func createdOnce(t *testing.T, store platform.Store) {
	mustUpdate(t, store, object("x", "one"), 0)
	_, err := store.Update(context.Background(), object("x", "two"), 0)
	requireConflict(t, err)
}

func updateNeedsVersion(t *testing.T, store platform.Store) {
	first := mustUpdate(t, store, object("x", "one"), 0)
	second := mustUpdate(t, store, object("x", "two"), first)
	_, err := store.Update(context.Background(), object("x", "three"), first)
	requireConflict(t, err)
	mustUpdate(t, store, object("x", "three"), second)
}

func conflictShowsCurrent(t *testing.T, store platform.Store) {
	version := mustUpdate(t, store, object("x", "one"), 0)
	_, err := store.Update(context.Background(), object("x", "two"), version+1)
	found := requireConflict(t, err)
	assert.Equal(t, found.Current.Version, version)
	assert.Equal(t, string(found.Current.Spec), `{"text":"one"}`)
}

func versionsGrow(t *testing.T, store platform.Store) {
	var last uint64
	for _, name := range []string{"x", "y", "z"} {
		version := mustUpdate(t, store, object(name, ""), 0)
		assert.Assert(t, version > last)
		last = version
	}
}

func oneConcurrentUpdateSucceeds(t *testing.T, store platform.Store) {
	const writers = 8
	version := mustUpdate(t, store, object("x", "start"), 0)
	var running sync.WaitGroup
	succeeded := make(chan uint64, writers)
	for range writers {
		running.Go(func() {
			if written, err := store.Update(context.Background(), object("x", "concurrent"), version); err == nil {
				succeeded <- written
			}
		})
	}
	running.Wait()
	assert.Equal(t, len(succeeded), 1)
}

func readAfterWrite(t *testing.T, store platform.Store) {
	version := mustUpdate(t, store, object("x", "one"), 0)
	read, err := store.Get(context.Background(), object("x", "").Ref())
	assert.NilError(t, err)
	assert.Equal(t, read.Version, version)
	snapshot, err := store.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Revision, version)
	assert.Equal(t, len(snapshot.Objects), 1)
}

func listWithoutDeleted(t *testing.T, store platform.Store) {
	version := mustUpdate(t, store, object("x", "one"), 0)
	assert.NilError(t, store.Delete(context.Background(), object("x", "").Ref(), version))
	snapshot, err := store.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Objects), 0)
}

func createdAgain(t *testing.T, store platform.Store) {
	first := mustUpdate(t, store, object("x", "one"), 0)
	assert.NilError(t, store.Delete(context.Background(), object("x", "").Ref(), first))
	second := mustUpdate(t, store, object("x", "two"), 0)
	assert.Assert(t, second > first+1)
}

func watchReturnsChanges(t *testing.T, store platform.Store) {
	first := mustUpdate(t, store, object("x", "one"), 0)
	second := mustUpdate(t, store, object("y", "two"), 0)
	assert.NilError(t, store.Delete(context.Background(), object("x", "").Ref(), first))
	snapshot, err := store.Watch(context.Background(), first, eventTimeout)
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Objects), 2)
	assert.Equal(t, snapshot.Objects[0].Version, second)
	assert.Assert(t, snapshot.Objects[1].Deleted)
	assert.Equal(t, snapshot.Objects[1].Name, "x")
}

func watchWaits(t *testing.T, store platform.Store) {
	version := mustUpdate(t, store, object("x", "one"), 0)
	seen := make(chan platform.Snapshot, 1)
	go func() {
		snapshot, err := store.Watch(context.Background(), version, eventTimeout)
		if err == nil {
			seen <- snapshot
		}
		close(seen)
	}()
	mustUpdate(t, store, object("x", "two"), version)
	snapshot := <-seen
	assert.Equal(t, len(snapshot.Objects), 1)
	unchanged, err := store.Watch(context.Background(), snapshot.Revision, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(unchanged.Objects), 0)
	assert.Equal(t, unchanged.Revision, snapshot.Revision)
}

func watchUnknownRevision(t *testing.T, store platform.Store) {
	_, err := store.Watch(context.Background(), 1_000_000, time.Millisecond)
	assert.Assert(t, errors.Is(err, platform.ErrCompacted), "got %v", err)
}

func missing(t *testing.T, store platform.Store) {
	_, err := store.Get(context.Background(), object("x", "").Ref())
	var notFound *platform.NotFoundError
	assert.Assert(t, errors.As(err, &notFound), "got %v", err)
}
