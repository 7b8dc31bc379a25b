package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errStopped is why requests end that are under way when the process has to.
var errStopped = errors.New("the host has stopped")

const (
	// outcomeStopping is that of requests which come too late before the end of the
	// process to be sure of an answer.
	outcomeStopping = "host-stopping"
	// outcomeStopped is that of requests which a server was still at work on then.
	outcomeStopped = "host-stopped"
	// sureShare is the part of the time until the end in which every request is still
	// taken, also one that may take longer than what is left then: few do, and each
	// that is turned away costs its caller a new connection. Later ones have less time
	// than a slow answer needs.
	sureShare = 0.5
	// retryAfterStopping is told with a rejection: the caller opens a new connection,
	// which goes to another host.
	retryAfterStopping = 50 * time.Millisecond
)

// stopPlan is from when on a process stops, and when it ends.
type stopPlan struct{ from, end time.Duration }

// takes reports whether a request that comes now is still taken: if it is not, its
// caller is told at once that it has not run. One that is taken and not answered at
// the end may run without anybody to hear of it.
func (p stopPlan) takes(now, deadline time.Duration) bool {
	sure := p.from + time.Duration(sureShare*float64(p.end-p.from))
	return now < sure || deadline <= p.end
}

// stop is what a host knows of its own end.
type stop struct {
	plan  atomic.Pointer[stopPlan] // nil until it stops
	ended context.Context          // done when requests under way have to end
	end   context.CancelFunc
}

func newStop() stop {
	ended, end := context.WithCancel(context.Background())
	return stop{ended: ended, end: end}
}

// stopping reports whether the process stops.
func (s *stop) stopping() bool { return s.plan.Load() != nil }

// over reports whether requests under way have to end.
func (s *stop) over() bool { return s.ended.Err() != nil }

// turnsAway reports whether a request comes too late to be taken.
func (s *stop) turnsAway(now, deadline time.Duration) bool {
	plan := s.plan.Load()
	return plan != nil && !plan.takes(now, deadline)
}

// stoppingReply tells a caller that its request has not run, since the host stops.
func stoppingReply() *reply { return turnedAway(outcomeStopping, retryAfterStopping) }

// Stop makes the host leave: it is not ready any more, answers end their connections,
// and requests that may not be answered within some time from now are turned away.
func (g *Gateway) Stop(within time.Duration) {
	now := g.now()
	g.stop.plan.Store(&stopPlan{from: now, end: now + within})
}

// End gives the requests that are still under way their final answers, since the
// process ends: else their connections would just close.
func (g *Gateway) End() { g.stop.end() }
