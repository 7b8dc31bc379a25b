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
	// longDocument is the size in bytes from which on a document is sent as a delta.
	longDocument = 1 << 10
	// longAnswer is the size in bytes from which on a document or delta is not sent: the receiver
	// reads the document from the store. A small controller that sent a configuration of 1,400
	// routes to 75 other hosts kept its link and processor busy for seconds, in which these
	// missed changes. Large hosts send what fits in a body.
	longAnswer      = 64 << 10
	largeLongAnswer = mostPeerBody / 2
	// mostDeltas bounds the cached deltas: nearly all hosts have the version before the last
	// and ask for the same delta.
	mostDeltas = 8
)

// watchAnswer holds changes of a kind.
type watchAnswer struct {
	objects.Listing
	// Deltas replace documents that the receiver has an earlier version of.
	Deltas []documentDelta `json:"deltas,omitempty"`
	// InStore names documents that the receiver has to read from the store.
	InStore []string `json:"inStore,omitempty"`
}

// watchAnswerWire is the JSON form of a watchAnswer.
type watchAnswerWire struct {
	columns
	Deltas  []documentDelta `json:"deltas,omitempty"`
	InStore []string        `json:"inStore,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (a watchAnswer) MarshalJSON() ([]byte, error) {
	return json.Marshal(watchAnswerWire{columns: columnsOf(a.Listing), Deltas: a.Deltas, InStore: a.InStore})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *watchAnswer) UnmarshalJSON(data []byte) error {
	var wire watchAnswerWire
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

// unfitError reports a delta to a version that this host does not have, or a document that it
// could not read from the store.
type unfitError struct {
	Name        string
	Base, Known uint64
	Cause       error
}

// Error implements error.
func (e *unfitError) Error() string {
	return fmt.Sprintf("document %s not available (delta base revision %d, known revision %d): %v", e.Name, e.Base, e.Known, e.Cause)
}

// Unwrap returns the cause.
func (e *unfitError) Unwrap() error { return e.Cause }

var errOtherBase = errors.New("delta applies to another version than the known one")

// deltaKey identifies a delta.
type deltaKey struct {
	kind, name     string
	base, revision uint64
}

// madeDelta is a delta with the length of its JSON form in bytes.
type madeDelta struct {
	delta *delta.Delta
	bytes int
}

// deltas makes deltas for other hosts and caches them, so that each is made once.
type deltas struct {
	// long is the size in bytes from which on a host has to read a document from the store.
	long int
	mu   sync.Mutex
	made map[deltaKey]madeDelta
}

func newDeltas(identity Identity) deltas {
	if identity.Small {
		return deltas{long: longAnswer}
	}
	return deltas{long: largeLongAnswer}
}

// shorten returns the answer for a host that knows the kind up to a revision. Deltas replace
// the large documents of which the host has an earlier version.
func (d *deltas) shorten(relay *relay, kind string, listing objects.Listing, known uint64) *watchAnswer {
	answer := &watchAnswer{Listing: objects.Listing{Revision: listing.Revision}}
	for _, object := range listing.Objects {
		if object.Deleted || len(object.Spec) < longDocument {
			answer.Objects = append(answer.Objects, object)
			continue
		}
		base, ok := relay.versionAt(kind, object.Name, known)
		if !ok {
			answer.whole(object, d.long)
			continue
		}
		made := d.get(kind, base, object)
		if made.bytes >= min(d.long, len(object.Spec)) {
			answer.whole(object, d.long)
			continue
		}
		answer.Deltas = append(answer.Deltas, documentDelta{Name: object.Name, Base: base.Revision, Revision: object.Revision, Delta: made.delta})
	}
	return answer
}

// whole adds a whole document, or only its name if it is too large to send.
func (a *watchAnswer) whole(object objects.Object, long int) {
	if len(object.Spec) >= long {
		a.InStore = append(a.InStore, object.Name)
		return
	}
	a.Objects = append(a.Objects, object)
}

// get returns the delta between two versions of an object.
func (d *deltas) get(kind string, base, object objects.Object) madeDelta {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := deltaKey{kind: kind, name: object.Name, base: base.Revision, revision: object.Revision}
	if made, known := d.made[key]; known {
		return made
	}
	if d.made == nil || len(d.made) >= mostDeltas {
		d.made = map[deltaKey]madeDelta{}
	}
	made := madeDelta{delta: delta.Make(base.Spec, object.Spec), bytes: math.MaxInt}
	if encoded, err := json.Marshal(made.delta); err == nil {
		made.bytes = len(encoded)
	}
	d.made[key] = made
	return made
}

// unfold applies an answer's deltas, reads the documents it only names from the store, and
// returns the changes with whole documents. It fails with an *unfitError if that is impossible
// for one of them.
func (g *Gateway) unfold(ctx context.Context, kind string, answer *watchAnswer) (objects.Listing, error) {
	listing := answer.Listing
	for _, each := range answer.Deltas {
		base, _ := g.relay.versionAt(kind, each.Name, math.MaxUint64)
		if base.Revision != each.Base || each.Delta == nil {
			return objects.Listing{}, &unfitError{Name: each.Name, Base: each.Base, Known: base.Revision, Cause: errOtherBase}
		}
		spec, err := each.Delta.Apply(base.Spec)
		if err != nil {
			return objects.Listing{}, &unfitError{Name: each.Name, Base: each.Base, Known: base.Revision, Cause: err}
		}
		listing.Objects = append(listing.Objects, objects.Object{Kind: kind, Name: each.Name, Revision: each.Revision, Spec: spec})
	}
	for _, name := range answer.InStore {
		object, err := g.store.Get(ctx, kind, name)
		if err != nil {
			return objects.Listing{}, &unfitError{Name: name, Cause: err}
		}
		listing.Objects = append(listing.Objects, canonicalObject(object))
	}
	return listing, nil
}
