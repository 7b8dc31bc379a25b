// Package objects defines the interface to a store of objects by kind, with a
// revision that increases across the whole store, conditional updates and watches.
// Revisions never decrease: see package revision.
// Every implementation must pass contract/objects/conformance.
//
// Unlike contract/platform, a watch covers one kind only, as in many hosted
// stores.
package objects

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cicadarouter/contract/platform"
	"cicadarouter/revision"
)

// ErrUnknown reports a call without a response. The call may have taken effect, or
// may still do so as long as the object is at the expected revision.
var ErrUnknown = platform.ErrUnavailable

// ErrCompacted reports a watch from a revision whose history the store does not
// have. The watcher must list again.
var ErrCompacted = platform.ErrCompacted

// ErrRefused reports a call that the store rejected. It had no effect.
var ErrRefused = errors.New("objects: call rejected by the store without effect")

// ErrNotFound reports an object that does not exist.
var ErrNotFound = errors.New("objects: not found")

type Object struct {
	Kind     string
	Name     string
	Revision uint64
	Spec     json.RawMessage
	// Deleted is set if a change that a watch returns is a deletion.
	Deleted bool
}

// Listing holds the objects of a kind, or the changes of a kind, up to a revision.
type Listing struct {
	Objects  []Object
	Revision uint64
}

// RewoundError reports a call with a revision of an earlier era than the store's. It
// wraps ErrCompacted: the watcher must list again, from a source that has reached
// the current era.
type RewoundError struct{ Given, Era uint64 }

// Error implements error.
func (e *RewoundError) Error() string {
	return fmt.Sprintf("objects: the store is in era %d, revision %d is of era %d", e.Era, revision.Number(e.Given), revision.Era(e.Given))
}

// Unwrap returns ErrCompacted.
func (e *RewoundError) Unwrap() error { return ErrCompacted }

// ConflictError reports a conditional call for an object that is at another revision.
type ConflictError struct {
	Kind, Name string
	Expected   uint64
	Current    Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s/%s: conflicting update: expected revision %d, current revision is %d", e.Kind, e.Name, e.Expected, e.Current.Revision)
}

// Reader lists and watches the objects of a store by kind.
type Reader interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (Listing, error)
	// Watch waits for up to wait until the kind has changed after the revision,
	// and returns the changes in order.
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (Listing, error)
}

// Store is a store of objects. Implementations are safe for concurrent use.
// Reads are linearizable, except those of the reader that Stale returns.
type Store interface {
	Reader
	// Stale returns a reader whose calls cost less and may return a state that
	// is seconds old. A watch from the revision of a stale listing misses no
	// change.
	Stale() Reader
	// Get returns an object or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes the spec if the stored object is at object.Revision, where 0
	// means that it must not exist, and returns the object as written. It fails
	// with a *ConflictError, ErrNotFound, ErrRefused or ErrUnknown.
	Put(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if it is at the given revision.
	Delete(ctx context.Context, kind, name string, revision uint64) error
}
