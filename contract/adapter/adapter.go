// Package adapter defines the interfaces between the router and an adapter for a
// hosting platform's protocol. An adapter translates names, formats and calls; it
// makes no decisions.
package adapter

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"cicadarouter/balance"
	"cicadarouter/contract/objects"
	"cicadarouter/fleet"
	"cicadarouter/routing"
)

// Request is the metadata that a caller sends with its request.
type Request struct {
	// ID identifies this attempt of the caller.
	ID string
	// Timeout is how long the caller waits from now, or 0 if it sets no limit.
	Timeout time.Duration
	// Key is the request's key. It is valid if HasKey is set.
	Key    uint16
	HasKey bool
}

// Dispatch is the metadata that is sent to a backend server with a request.
type Dispatch struct {
	// Server is the ID of the server that the request is addressed to.
	Server string
	// Timeout is the time after which the response is no longer useful.
	Timeout time.Duration
}

// Answer is the metadata of a backend server's response.
type Answer struct {
	// RequestID is the ID of the request that this is the response to.
	RequestID string
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Misdirected is set if the server reports that it is not the addressed one or
	// does not hold the request's key. Server is then the ID of the responding
	// server, or empty if unknown.
	Misdirected bool
	Server      string
	// HasSignature is set if the response has a signature. The signature is not verified.
	HasSignature bool
	Notice
}

// Notice is the state that a backend server reports about itself in any of its
// responses: to requests, to calls about keys and to health checks.
type Notice struct {
	// Load is the server's load, or nil if it reports none.
	Load *balance.Load
	// Limit is the number of requests per second that the server accepts from all
	// hosts together, or 0 if it sets no limit.
	Limit float64
	// Leaving is set if the server reports that it is leaving.
	Leaving bool
	// Rest is for how long this host must send the server no requests (backoff), or
	// 0 if the server does not ask for it.
	Rest time.Duration
	// Unreadable lists the values that cannot be parsed. The fields above that they
	// were meant for are left unset.
	Unreadable []*FieldError
}

// Codec reads and writes the headers of requests and responses.
type Codec interface {
	// ReadRequest returns a *FieldError if a header cannot be parsed.
	ReadRequest(header http.Header) (Request, error)
	WriteDispatch(header http.Header, dispatch Dispatch)
	ReadAnswer(status int, header http.Header) Answer
}

// FieldError reports an invalid value.
type FieldError struct{ Field, Value, Fix string }

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s = %q: %s", e.Field, e.Value, e.Fix) }

// Registry defines which objects of the store hold the servers' entries and the
// operator's configuration, and decodes them. Errors are of type *FieldError or
// *routing.InvalidError; the caller then ignores the object.
type Registry interface {
	// ServerKind returns the kind of the servers' entries.
	ServerKind() string
	// DecodeServer decodes a server's entry.
	DecodeServer(object objects.Object) (fleet.Server, error)
	// ConfigurationKind returns the kind of the operator's configuration, and
	// ConfigurationName the name of the object that holds the latest one.
	ConfigurationKind() string
	ConfigurationName() string
	// EvacuationKind returns the kind of the operators' requests to evacuate a failure
	// domain, whose servers then get no requests. DecodeEvacuation returns the
	// domain that such an object names.
	EvacuationKind() string
	DecodeEvacuation(object objects.Object) (domain string, err error)
	// DecodeConfiguration decodes the operator's configuration.
	DecodeConfiguration(object objects.Object) (*routing.Configuration, error)
}

// Grant assigns a range of keys to a server or renews its lease.
type Grant struct {
	From, To uint16
	Token    uint64
	Term     time.Duration
	// Handoff is the value that the previous holder returned on release, or empty
	// if unknown.
	Handoff string
}

// StaleTokenError reports a grant that was refused because the server has seen a
// higher token.
type StaleTokenError struct {
	Server string
	Token  uint64
}

// Error implements error.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("server %s has seen a higher token than %d", e.Server, e.Token)
}

// WrongServerError reports that another server responds at a server's address, so
// that the wanted server no longer runs there.
type WrongServerError struct{ Expected, Actual string }

// Error implements error.
func (e *WrongServerError) Error() string {
	return fmt.Sprintf("server %s responds at the address of %s", e.Actual, e.Expected)
}

// Backend is a backend server with the settings that calls to it need.
type Backend struct {
	fleet.Server
	// HealthPath is the URL path of its health check.
	HealthPath string
}

// Keys assigns keys to backend servers and takes them back. After an error other
// than StaleTokenError and WrongServerError, the call may or may not have taken
// effect, but it cannot reach the server after it has returned. A notice that is
// returned with an error is valid.
type Keys interface {
	Grant(ctx context.Context, server Backend, grant Grant) (Notice, error)
	// Release returns the handoff value once the server has ended its work on the
	// keys.
	Release(ctx context.Context, server Backend, from, to uint16, token uint64) (handoff string, notice Notice, err error)
	// Probe runs a health check. It succeeds if the server responds, whether healthy
	// or not.
	Probe(ctx context.Context, server Backend) (Health, error)
}

// Health is a backend server's response to a probe.
type Health struct {
	// ReportsCold is set if the server reports how long its cold start will still take,
	// which is ColdFor.
	ReportsCold bool
	ColdFor     time.Duration
	// Healthy is set if the server considers itself healthy and is not leaving.
	Healthy bool
	Notice
}
