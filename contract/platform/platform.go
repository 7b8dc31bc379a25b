// Package platform is the contract with the platform that hosts the system: an
// object store with versions, conditional updates and watches, and a list of
// hosts. Every implementation must pass contract/platform/conformance.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cicadarouter/record"
)

// Object is a record as stored. Versions grow over the whole store: an object's
// version is the store's revision at its last change.
type Object struct {
	record.Envelope
	Version uint64 `json:"version"`
	// Deleted marks the last version of a deleted object.
	Deleted bool `json:"deleted,omitempty"`
}

// Snapshot is the content of the store at a revision.
type Snapshot struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Host is an entry host in the platform's list. The list lags.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Link is the IP number and port of the controller's link.
	Link string `json:"link"`
	// RouterLink is the IP number and port of the router's link.
	RouterLink string `json:"routerLink"`
	// Leaving is set when the platform is about to take the host away.
	Leaving bool `json:"leaving,omitempty"`
}

// ErrUnavailable reports that the store did not answer. The call may or may not
// have taken effect.
var ErrUnavailable = errors.New("platform: store unavailable, outcome of the call not known")

// ErrCompacted reports a watch from a revision that the store no longer keeps.
// The watcher must list again.
var ErrCompacted = errors.New("platform: revision no longer kept, list again")

// ConflictError reports a conditional update that met another version.
type ConflictError struct {
	Ref     record.Ref
	Given   uint64
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: update of version %d met version %d", e.Ref, e.Given, e.Current.Version)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Ref record.Ref }

// Error implements error.
func (e *NotFoundError) Error() string { return e.Ref.String() + ": not found" }

// Store is the platform's object store. Implementations are safe for concurrent
// use. Reads are linearizable: a read that starts after an update was
// acknowledged shows it.
type Store interface {
	// Get returns an object or a *NotFoundError.
	Get(ctx context.Context, ref record.Ref) (Object, error)
	// List returns all objects, without deleted ones.
	List(ctx context.Context) (Snapshot, error)
	// Update writes the envelope if the object is at the given version (0:
	// it must not exist) and returns its new version. It fails with a
	// *ConflictError if it is not, or with ErrUnavailable.
	Update(ctx context.Context, envelope record.Envelope, version uint64) (uint64, error)
	// Delete removes an object on the same terms.
	Delete(ctx context.Context, ref record.Ref, version uint64) error
	// Watch waits until the store is past the revision, at most for wait, and
	// returns what changed since, deleted objects included.
	Watch(ctx context.Context, revision uint64, wait time.Duration) (Snapshot, error)
	// Hosts returns the platform's list of entry hosts.
	Hosts(ctx context.Context) ([]Host, error)
}
