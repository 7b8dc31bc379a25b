// Package backend is the contract with backend servers: how they are granted
// keys, how they report, and how requests reach them.
//
// A server that checks tokens holds a shard while its lease runs on its own
// clock, refuses grants of generations older than one it has accepted, and
// refuses a request whose token is not the one it holds the key under. It
// checks at the start of a request and again at the moment of effect.
package backend

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cicadarouter/ownership"
)

// Headers of requests that the system sends to backend servers.
const (
	HeaderKey        = "Cicada-Key"
	HeaderRequestID  = "Cicada-Request-Id"
	HeaderPage       = "Cicada-Page"
	HeaderToken      = "Cicada-Token"
	HeaderDeadlineMs = "Cicada-Deadline-Ms"
)

// HeaderRefused is set by a server that has not run a request, with a Refusal.
const HeaderRefused = "Cicada-Refused"

// Refusal says why a server did not run a request. A refused request is proven
// not to have run.
type Refusal string

// The refusals.
const (
	RefusedToken    Refusal = "stale-token"
	RefusedShed     Refusal = "shed"
	RefusedDraining Refusal = "draining"
	RefusedExpired  Refusal = "expired"
)

// Paths of a server's control interface.
const (
	PathGrant  = "/cicada/grant"
	PathReport = "/cicada/report"
)

// Report is a server's answer to a grant or probe.
type Report struct {
	// Server is the name of the server that answers, so that a server started
	// at another's address is noticed.
	Server string `json:"server"`
	// Clock is the server's monotonic clock when it answered.
	Clock       time.Duration `json:"clock"`
	Incarnation uint64        `json:"incarnation"`
	// Generation is the newest accepted generation of the page asked about.
	Generation uint64 `json:"generation"`
	// Busy lists hashes that requests still run for although the server no
	// longer holds them.
	Busy []uint64 `json:"busy,omitempty"`
	// InFlight is the number of requests running; it may lag.
	InFlight int `json:"inFlight"`
	// Draining is set when the server is about to leave.
	Draining bool `json:"draining,omitempty"`
	// Refusal is why the grant was not accepted, if it was not.
	Refusal ownership.RefusalReason `json:"refusal,omitempty"`
}

// ErrUnreachable reports that a server gave no answer. A grant may or may not
// have been accepted.
var ErrUnreachable = errors.New("backend server gave no answer")

// OtherServerError reports that another server answers at an address.
type OtherServerError struct{ Wanted, Found string }

// Error implements error.
func (e *OtherServerError) Error() string {
	return fmt.Sprintf("server %q answers at the address of %q", e.Found, e.Wanted)
}

// Control is how controllers speak to one backend server. Implementations are
// safe for concurrent use.
type Control interface {
	// Grant offers a lease. A refusal by the server is part of the Report.
	Grant(ctx context.Context, grant ownership.Grant) (Report, error)
	// Report asks for the server's state with regard to a page.
	Report(ctx context.Context, page string) (Report, error)
}
