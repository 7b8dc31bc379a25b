package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errHostStopping ends the wait of a request for a server: sent now, it might still run at the end of the
// process.
var errHostStopping = errors.New("the host is stopping, too early for the request's deadline")

// errStopped is the cause of the final reply to requests that are in progress when the
// process ends.
var errStopped = errors.New("the host has stopped")

const (
	// outcomeStopping is the outcome of requests that arrive too late in the shutdown to
	// be sure of a response.
	outcomeStopping = "host-stopping"
	// outcomeStopped is the outcome of requests that are still running at a server when
	// the process ends.
	outcomeStopped = "host-stopped"
	// acceptAllFraction is the share of the shutdown period in which every request is accepted,
	// even if its deadline is after the end. Few requests take that long, and each
	// rejection costs the caller a new connection. After that the time left is shorter
	// than a slow response needs.
	acceptAllFraction = 0.5
	// retryAfterStopping is the Retry-After value of a rejection during shutdown. The
	// caller opens a new connection, which goes to another host.
	retryAfterStopping = 50 * time.Millisecond
)

// shutdownPlan is the period from the start of a shutdown to the end of the process.
type shutdownPlan struct{ from, end time.Duration }

// accepts reports whether a request that arrives now is accepted. The caller of a rejected
// request is told at once that it has not run; an accepted one that has no response at
// the end may run without its caller learning the result.
func (p shutdownPlan) accepts(now, deadline time.Duration) bool {
	return now < p.from+p.acceptAllFor() || deadline <= p.end
}

// acceptAllFor returns for how long every request is accepted.
func (p shutdownPlan) acceptAllFor() time.Duration {
	return time.Duration(acceptAllFraction * float64(p.end-p.from))
}

// shutdown is the state of a host's shutdown.
type shutdown struct {
	plan atomic.Pointer[shutdownPlan] // nil until the shutdown begins
	// selective is done when requests whose deadline is after the end are no longer accepted, nor sent if
	// they wait for a server.
	selective      context.Context
	beginSelective context.CancelFunc
	ended          context.Context // done when requests in progress must end
	end            context.CancelFunc
}

func newShutdown() shutdown {
	selective, beginSelective := context.WithCancel(context.Background())
	ended, end := context.WithCancel(context.Background())
	return shutdown{selective: selective, beginSelective: beginSelective, ended: ended, end: end}
}

// stopping reports whether the process is shutting down.
func (s *shutdown) stopping() bool { return s.plan.Load() != nil }

// requestsEnded reports whether requests in progress must end.
func (s *shutdown) requestsEnded() bool { return s.ended.Err() != nil }

// rejects reports whether a request arrives too late in the shutdown to be accepted.
func (s *shutdown) rejects(now, deadline time.Duration) bool {
	plan := s.plan.Load()
	return plan != nil && !plan.accepts(now, deadline)
}

// stoppingReply tells a caller that its request has not run because the host is shutting down.
func stoppingReply() *reply { return rejection(outcomeStopping, retryAfterStopping) }

// Stop begins the shutdown of the host, whose process ends after a given time. The host is
// no longer ready, responses close their connections, and requests that may not finish in
// time are rejected, also those that wait for a server.
func (g *Gateway) Stop(within time.Duration) {
	now := g.now()
	plan := &shutdownPlan{from: now, end: now + within}
	g.stop.plan.Store(plan)
	time.AfterFunc(plan.acceptAllFor(), g.stop.beginSelective)
}

// AbortRequests sends the final replies of the requests that are still in progress, because the
// process ends. Without it their connections would close without a response.
func (g *Gateway) AbortRequests() { g.stop.end() }
