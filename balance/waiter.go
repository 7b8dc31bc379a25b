package balance

import (
	"fmt"
	"time"

	"cicadarouter/admission"
)

// Owner finds the server that owns a key.
type Owner interface {
	// OwnerOf returns the ID of the owner, or "" while the key moves between owners; ownedAt is
	// then when the key is expected to have an owner, or 0 if that is not known.
	OwnerOf(key uint16) (id string, ownedAt time.Duration)
}

// Waiter is a request that asks for a server.
type Waiter struct {
	// Keyed is set if only the owner of Key may get the request.
	Keyed bool
	Key   uint16
	// Priority is the priority level; 0 is the most urgent.
	Priority int
	Arrived  time.Duration
	// Timeout is the caller's timeout for this attempt; 0 if not known.
	Timeout time.Duration
	// firstAttemptAt is when the caller started its first attempt, as far as known. Enqueue sets
	// it.
	firstAttemptAt time.Duration
	// EnqueuedAt is when the request was queued. Enqueue sets it.
	EnqueuedAt time.Duration
	// Deadline is when the caller stops waiting for an answer.
	Deadline time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// Tried holds the IDs of the servers that already got the request.
	Tried []string
	// Admission is what the gates of a service that is divided by priority decided on the request.
	// Enqueue sets it, unless the caller passes what was decided before an earlier attempt: a
	// request is decided on only once, since its work has been counted then.
	Admission *GateDecision
	// gate is the gate that decided last, or nil.
	gate *admission.Gate
	// Ready is closed once Server or Rejected is set.
	Ready chan struct{}
	// Server is the server to send the request to.
	Server *Server
	// Rejected is set if the request was rejected.
	Rejected *RejectedError
}

// decided reports whether the request was assigned a server or rejected.
func (w *Waiter) decided() bool { return w.Server != nil || w.Rejected != nil }

// Reason tells why a request was rejected.
type Reason string

// Reasons.
const (
	// NoServer: the service has no server that accepts requests.
	NoServer Reason = "no-server"
	// NoOwner: the key has no owner and will not have one in time.
	NoOwner Reason = "no-owner"
	// ColdOwner: the key's owner is cold and accepts no more requests for now.
	ColdOwner Reason = "cold-owner"
	// ServerLimit: the servers that may take the request have limits, and no permit becomes valid
	// in time.
	ServerLimit Reason = "server-limit"
	// ServerBackoff: the servers that may take the request asked this host to back off for too
	// long.
	ServerBackoff Reason = "server-rest"
	// Overload: the wait for a server is too long.
	Overload Reason = "overload"
	// Expired: the time left until the deadline is too short to run the request.
	Expired Reason = "expired"
)

// RejectedError reports a request that was rejected and has not run.
type RejectedError struct {
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	// Expected is the expected wait that led to the rejection.
	Expected time.Duration
	// Server is the server that the request would have to wait for; set for ServerLimit
	// and ServerBackoff only. Limit is its limit in requests per second; set for ServerLimit only.
	Server string
	Limit  float64
	// Decision is set for Overload if the service is divided by priority.
	Decision *GateDecision
}

// Error implements the error interface.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("rejected: %s, expected wait %v, retry after %v", e.Reason, e.Expected, e.RetryAfter)
}
