// Package platform defines the interface to the platform that hosts the system:
// a versioned object store with conditional updates and watches, and a list of
// hosts. Every implementation must pass contract/platform/conformance.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cicadarouter/record"
)

// Object is a stored record. Versions increase across the whole store: an object's
// version is the store's revision at its last change.
type Object struct {
	record.Envelope
	Version uint64 `json:"version"`
	// Deleted is set in the last version of a deleted object.
	Deleted bool `json:"deleted,omitempty"`
}

// Snapshot is the content of the store at a revision.
type Snapshot struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Host is a host in the platform's list, which may be out of date.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Link is the IP address and port of the controller's link.
	Link string `json:"link"`
	// RouterLink is the IP address and port of the router's link.
	RouterLink string `json:"routerLink"`
	// Leaving is set when the platform is about to remove the host.
	Leaving bool `json:"leaving,omitempty"`
}

// ErrUnavailable reports that the store failed or sent no complete response. The
// call may or may not have taken effect.
var ErrUnavailable = errors.New("platform: store unavailable, outcome of the call unknown")

// ErrCompacted reports a watch from a revision whose history the store does not
// have. The watcher must list again.
var ErrCompacted = errors.New("platform: history of the revision is not available; list again")

// ConflictError reports a conditional update of an object that is at another version.
type ConflictError struct {
	Ref      record.Ref
	Expected uint64
	Current  Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: conflicting update: expected version %d, current version is %d", e.Ref, e.Expected, e.Current.Version)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct{ Ref record.Ref }

// Error implements error.
func (e *NotFoundError) Error() string { return e.Ref.String() + ": not found" }

// Store is the platform's object store. Implementations are safe for concurrent
// use. Reads are linearizable: a read that starts after an update was
// acknowledged returns that update or a later one.
type Store interface {
	// Get returns an object or a *NotFoundError.
	Get(ctx context.Context, ref record.Ref) (Object, error)
	// List returns all objects except deleted ones.
	List(ctx context.Context) (Snapshot, error)
	// Update writes the envelope if the object is at the given version, where 0
	// means that it must not exist, and returns the new version. It fails with
	// a *ConflictError if the version differs, or with ErrUnavailable.
	Update(ctx context.Context, envelope record.Envelope, version uint64) (uint64, error)
	// Delete removes an object if it is at the given version. It fails with a
	// *NotFoundError if the object does not exist, and otherwise like Update.
	Delete(ctx context.Context, ref record.Ref, version uint64) error
	// Watch waits for up to wait until the store has changed after the revision,
	// and returns the changes since then, including deleted objects.
	Watch(ctx context.Context, revision uint64, wait time.Duration) (Snapshot, error)
	// Hosts returns the platform's list of hosts.
	Hosts(ctx context.Context) ([]Host, error)
}
