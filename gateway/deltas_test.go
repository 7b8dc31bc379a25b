package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/contract/objects/memobjects"
	"cicadarouter/host/logs"
)

// document returns a configuration with many routes of which one is changed, spaced in a way
// that a store may use.
func document(routes, changed int) []byte {
	text := "{ \"routes\" : ["
	for i := range routes {
		mark := ""
		if i == changed {
			mark = "-changed"
		}
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("{ \"path\" : \"/<%d>%s/\" }", i, mark)
	}
	return []byte(text + "] }")
}

func stored(revision uint64, spec []byte) objects.Object {
	return objects.Object{Kind: "documents", Name: "d", Revision: revision, Spec: spec}
}

// relayWithVersions returns a cache that has read three versions of a document.
func relayWithVersions(routes int) *relayCache {
	r := &relayCache{}
	r.update("documents", canonicalListing(objects.Listing{Revision: 5, Objects: []objects.Object{stored(4, document(routes, 0))}}), true)
	r.update("documents", canonicalListing(objects.Listing{Revision: 7, Objects: []objects.Object{stored(7, document(routes, 1))}}), false)
	r.update("documents", canonicalListing(objects.Listing{Revision: 9, Objects: []objects.Object{stored(9, document(routes, 2))}}), false)
	return r
}

// roundTrip encodes and decodes an answer, as if it had been sent to another host.
func roundTrip(t *testing.T, answer *watchResponse) *watchResponse {
	t.Helper()
	encoded, err := json.Marshal(answer)
	assert.NilError(t, err)
	var got watchResponse
	assert.NilError(t, json.Unmarshal(encoded, &got))
	return &got
}

// hostKnowing returns a host that has listed one version of a document from the store.
func hostKnowing(object objects.Object, store objects.Store) *Gateway {
	g := New(Identity{}, Platform{Store: store}, logs.Discard())
	g.relayCache.update("documents", canonicalListing(objects.Listing{Revision: object.Revision, Objects: []objects.Object{object}}), true)
	return g
}

func sameJSON(t *testing.T, got, want []byte) {
	t.Helper()
	var a, b any
	assert.NilError(t, json.Unmarshal(got, &a))
	assert.NilError(t, json.Unmarshal(want, &b))
	assert.DeepEqual(t, a, b)
}

// A host that has an earlier version of a large document is sent a delta, and gets the same
// document as a host that is sent the whole.
func TestLongDocumentsTravelAsDeltas(t *testing.T) {
	const routes = 200
	r := relayWithVersions(routes)
	for _, known := range []uint64{5, 6, 7, 8} {
		base, ok := r.versionAt("documents", "d", known)
		assert.Assert(t, ok)
		listing, _, ok := r.changesSince("documents", known)
		assert.Assert(t, ok)
		answer := roundTrip(t, (&deltaCache{maxDocument: maxDocumentSmallHost}).encode(r, "documents", listing, known))
		assert.Equal(t, len(answer.Objects), 0)
		host := hostKnowing(stored(base.Revision, document(routes, int(base.Revision)/7)), nil)
		got, err := host.expandDeltas(context.Background(), "documents", answer)
		assert.NilError(t, err)
		assert.Equal(t, got.Objects[0].Revision, uint64(9))
		sameJSON(t, got.Objects[0].Spec, document(routes, 2))
	}
	_, ok := r.versionAt("documents", "d", 3)
	assert.Assert(t, !ok)
	listing := objects.Listing{Objects: []objects.Object{stored(9, document(routes, 2))}}
	assert.Equal(t, len((&deltaCache{maxDocument: maxDocumentSmallHost}).encode(r, "documents", listing, 3).Objects), 1, "a host without any version is sent the whole document")
}

// Guards against a host that permanently sends keys to servers that do not own them. It reads
// one version from the store while the controller sends a delta to another; the delta must not
// be applied to the wrong version.
func TestDeltaOfAVersionThatTheHostDoesNotHave(t *testing.T) {
	r := relayWithVersions(200)
	listing, _, _ := r.changesSince("documents", 5)
	answer := roundTrip(t, (&deltaCache{maxDocument: maxDocumentSmallHost}).encode(r, "documents", listing, 5))
	_, err := hostKnowing(stored(7, document(200, 1)), nil).expandDeltas(context.Background(), "documents", answer)
	var unfit *documentError
	assert.Assert(t, errors.As(err, &unfit))
	assert.Equal(t, unfit.Known, uint64(7))
}

// Guards against hosts that handle requests by a configuration replaced 5 s ago. The
// configuration has grown to 1,400 routes, and if the controller sent it to 75 hosts one by
// one, its link and processor would be busy for seconds, in which the other hosts would learn
// of no change.
func TestVeryLongDocumentsAreReadInTheStore(t *testing.T) {
	const routes = 5000
	r := &relayCache{}
	r.update("documents", canonicalListing(objects.Listing{Revision: 5, Objects: []objects.Object{stored(4, document(200, 0))}}), true)
	r.update("documents", canonicalListing(objects.Listing{Revision: 9, Objects: []objects.Object{stored(9, document(routes, 0))}}), false)
	listing, _, _ := r.changesSince("documents", 5)
	answer := roundTrip(t, (&deltaCache{maxDocument: maxDocumentSmallHost}).encode(r, "documents", listing, 5))
	assert.DeepEqual(t, answer.InStore, []string{"d"})
	assert.Equal(t, len(answer.Objects)+len(answer.Deltas), 0)

	store := memobjects.New()
	_, err := store.Put(context.Background(), objects.Object{Kind: "documents", Name: "d", Spec: document(routes, 0)})
	assert.NilError(t, err)
	got, err := hostKnowing(stored(4, document(200, 0)), store).expandDeltas(context.Background(), "documents", answer)
	assert.NilError(t, err)
	sameJSON(t, got.Objects[0].Spec, document(routes, 0))

	// A host that can't read it from the store gets an error, and then requests it whole.
	empty := hostKnowing(stored(4, document(200, 0)), memobjects.New())
	_, err = empty.expandDeltas(context.Background(), "documents", answer)
	var unfit *documentError
	assert.Assert(t, errors.As(err, &unfit))
}

// The versions kept for hosts that are behind are bounded in bytes, and the last version of
// each large document is always kept.
func TestKeptChangesAreBounded(t *testing.T) {
	r := &relayCache{}
	r.update("documents", objects.Listing{Revision: 1}, true)
	for revision := uint64(2); revision < 40; revision++ {
		r.update("documents", canonicalListing(objects.Listing{Revision: revision, Objects: []objects.Object{stored(revision, document(1400, int(revision)))}}), false)
	}
	size := 0
	for _, change := range r.kind("documents").documentChanges {
		size += change.bytes()
	}
	assert.Assert(t, size <= maxDocumentChangeBytes)
	last, ok := r.versionAt("documents", "d", 39)
	assert.Assert(t, ok)
	assert.Equal(t, last.Revision, uint64(39))
	_, ok = r.versionAt("documents", "d", 2)
	assert.Assert(t, !ok)
	listing, err := r.watch(context.Background(), "documents", 2, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(listing.Objects), 1, "a host that is far behind is sent the whole last version")
	assert.Equal(t, listing.Objects[0].Revision, uint64(39))
}
