// Package backend defines the interface to backend servers: how they are granted
// keys, report their state and receive requests.
//
// A server that checks tokens holds a shard until its lease expires by its own
// clock. It refuses grants of a generation older than one it has accepted, and
// requests whose token differs from the token under which it holds the key. It
// checks the token when a request starts and again when the request takes effect.
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

// HeaderRefused contains the Refusal if a server has not run a request.
const HeaderRefused = "Cicada-Refused"

// Refusal is the reason why a server did not run a request. A refused request has
// certainly not run.
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

// Report is a server's response to a grant or probe.
type Report struct {
	// Server is the name of the responding server. It reveals a server that was
	// started at the address of another one.
	Server string `json:"server"`
	// Clock is the server's monotonic clock at the time of the report.
	Clock       time.Duration `json:"clock"`
	Incarnation uint64        `json:"incarnation"`
	// Generation is the newest generation of the page that the server has accepted.
	Generation uint64 `json:"generation"`
	// Busy lists the hashes of keys that the server no longer holds but still
	// runs requests for.
	Busy []uint64 `json:"busy,omitempty"`
	// InFlight is the number of running requests; it may be slightly out of date.
	InFlight int `json:"inFlight"`
	// Draining is set if the server is about to leave.
	Draining bool `json:"draining,omitempty"`
	// Refusal is the reason why the grant was refused, or empty.
	Refusal ownership.RefusalReason `json:"refusal,omitempty"`
}

// ErrUnreachable reports that no valid response came from a server. A grant may or
// may not have been accepted.
var ErrUnreachable = errors.New("no valid response from the backend server")

// WrongServerError reports that another server responds at a server's address.
type WrongServerError struct{ Expected, Actual string }

// Error implements error.
func (e *WrongServerError) Error() string {
	return fmt.Sprintf("server %q responds at the address of %q", e.Actual, e.Expected)
}

// Control is a controller's interface to one backend server. Implementations are
// safe for concurrent use.
type Control interface {
	// Grant offers a lease. If the server refuses it, the Report contains the reason.
	Grant(ctx context.Context, grant ownership.Grant) (Report, error)
	// Report returns the server's state with regard to a page.
	Report(ctx context.Context, page string) (Report, error)
}
