package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"

	"cicadarouter/contract/objects"
	"cicadarouter/delta"
)

// Hosts send each other a large document (an assignment, a configuration with many routes)
// as a delta to the version that the receiver has: a change affects a few of hundreds of
// ranges or routes, and traffic between failure domains is expensive. With 76 hosts and 170
// servers, moving keys takes 0.2 to 2 KB per host instead of 15 KB.

const (
	// minDeltaDocument is the size in bytes from which on a document is sent as a delta.
	minDeltaDocument = 1 << 10
	// maxDocumentSmallHost is the size in bytes from which on a small host doesn't send a
	// document or delta: the receiver reads the document from the store. A small controller
	// that sent a configuration of 1,400 routes to 75 other hosts kept its link and processor
	// busy for seconds, in which these missed changes. Large hosts send what fits in a body.
	maxDocumentSmallHost = 64 << 10
	maxDocumentLargeHost = maxPeerBody / 2
	// maxCachedDeltas bounds the cached deltas: nearly all hosts have the version before the
	// last and ask for the same delta.
	maxCachedDeltas = 8
)

// watchResponse holds changes of a kind.
type watchResponse struct {
	objects.Listing
	// Deltas replace documents that the receiver has an earlier version of.
	Deltas []documentDelta `json:"deltas,omitempty"`
	// InStore names documents that the receiver has to read from the store.
	InStore []string `json:"inStore,omitempty"`
}

// watchResponseWire is the JSON form of a watchResponse.
type watchResponseWire struct {
	columns
	Deltas  []documentDelta `json:"deltas,omitempty"`
	InStore []string        `json:"inStore,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (a watchResponse) MarshalJSON() ([]byte, error) {
	return json.Marshal(watchResponseWire{columns: columnsOf(a.Listing), Deltas: a.Deltas, InStore: a.InStore})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *watchResponse) UnmarshalJSON(data []byte) error {
	var wire watchResponseWire
	err := json.Unmarshal(data, &wire)
	if err == nil {
		a.Listing, err = wire.listing()
	}
	a.Deltas, a.InStore = wire.Deltas, wire.InStore
	return err
}

// documentDelta turns one version of a document into a later one.
type documentDelta struct {
	Name string `json:"name"`
	// Base and Revision are the versions' revisions in the store.
	Base     uint64       `json:"base"`
	Revision uint64       `json:"revision"`
	Delta    *delta.Delta `json:"delta"`
}

// documentError reports a delta to a version that this host does not have, or a document that
// it could not read from the store.
type documentError struct {
	Name        string
	Base, Known uint64
	Cause       error
}

// Error implements error.
func (e *documentError) Error() string {
	return fmt.Sprintf("document %s not available (delta base revision %d, known revision %d): %v", e.Name, e.Base, e.Known, e.Cause)
}

// Unwrap returns the cause.
func (e *documentError) Unwrap() error { return e.Cause }

var errBaseMismatch = errors.New("delta applies to another version than the known one")

// deltaKey identifies a delta.
type deltaKey struct {
	kind, name     string
	base, revision uint64
}

// cachedDelta is a delta with the length of its JSON form in bytes.
type cachedDelta struct {
	delta        *delta.Delta
	encodedBytes int
}

// deltaCache makes deltas for other hosts and caches them, so that each is made once.
type deltaCache struct {
	// maxDocument is the size in bytes from which on a document is not sent, but has to be
	// read from the store.
	maxDocument int
	mu          sync.Mutex
	cached      map[deltaKey]cachedDelta
}

func newDeltaCache(identity Identity) deltaCache {
	if identity.Small {
		return deltaCache{maxDocument: maxDocumentSmallHost}
	}
	return deltaCache{maxDocument: maxDocumentLargeHost}
}

// encode returns the answer for a host that knows the kind up to a revision. Deltas replace
// the large documents of which the host has an earlier version.
func (d *deltaCache) encode(cache *relayCache, kind string, listing objects.Listing, known uint64) *watchResponse {
	answer := &watchResponse{Listing: objects.Listing{Revision: listing.Revision}}
	for _, object := range listing.Objects {
		if object.Deleted || len(object.Spec) < minDeltaDocument {
			answer.Objects = append(answer.Objects, object)
			continue
		}
		base, ok := cache.versionAt(kind, object.Name, known)
		if !ok {
			answer.addWhole(object, d.maxDocument)
			continue
		}
		cached := d.get(kind, base, object)
		if cached.encodedBytes >= min(d.maxDocument, len(object.Spec)) {
			answer.addWhole(object, d.maxDocument)
			continue
		}
		answer.Deltas = append(answer.Deltas, documentDelta{Name: object.Name, Base: base.Revision, Revision: object.Revision, Delta: cached.delta})
	}
	return answer
}

// addWhole adds a whole document, or only its name if it is too large to send.
func (a *watchResponse) addWhole(object objects.Object, maxDocument int) {
	if len(object.Spec) >= maxDocument {
		a.InStore = append(a.InStore, object.Name)
		return
	}
	a.Objects = append(a.Objects, object)
}

// get returns the delta between two versions of an object.
func (d *deltaCache) get(kind string, base, object objects.Object) cachedDelta {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := deltaKey{kind: kind, name: object.Name, base: base.Revision, revision: object.Revision}
	if cached, known := d.cached[key]; known {
		return cached
	}
	if d.cached == nil || len(d.cached) >= maxCachedDeltas {
		d.cached = map[deltaKey]cachedDelta{}
	}
	cached := cachedDelta{delta: delta.Make(base.Spec, object.Spec), encodedBytes: math.MaxInt}
	if encoded, err := json.Marshal(cached.delta); err == nil {
		cached.encodedBytes = len(encoded)
	}
	d.cached[key] = cached
	return cached
}

// expandDeltas applies an answer's deltas, reads the documents it only names from the store,
// and returns the changes with whole documents. It fails with a *documentError if that is
// impossible for one of them.
func (g *Gateway) expandDeltas(ctx context.Context, kind string, answer *watchResponse) (objects.Listing, error) {
	listing := answer.Listing
	for _, changed := range answer.Deltas {
		base, _ := g.relayCache.versionAt(kind, changed.Name, math.MaxUint64)
		if base.Revision != changed.Base || changed.Delta == nil {
			return objects.Listing{}, &documentError{Name: changed.Name, Base: changed.Base, Known: base.Revision, Cause: errBaseMismatch}
		}
		spec, err := changed.Delta.Apply(base.Spec)
		if err != nil {
			return objects.Listing{}, &documentError{Name: changed.Name, Base: changed.Base, Known: base.Revision, Cause: err}
		}
		listing.Objects = append(listing.Objects, objects.Object{Kind: kind, Name: changed.Name, Revision: changed.Revision, Spec: spec})
	}
	for _, name := range answer.InStore {
		object, err := g.store.Get(ctx, kind, name)
		if err != nil {
			return objects.Listing{}, &documentError{Name: name, Cause: err}
		}
		listing.Objects = append(listing.Objects, canonicalObject(object))
	}
	return listing, nil
}
