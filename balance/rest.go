package balance

import (
	"time"

	"cicadarouter/fleet"
)

// Load pattern: an overloaded server turns requests away and asks each host that it tells so
// to send it nothing for some seconds. The owner of keys is the only server for them, so what
// is asked of it meanwhile can only wait or be turned away; when the rest is over all of it
// is there at once, at all hosts. A host then sends one request at a time until the server
// has answered one.

// rest is what a server has asked of this host.
type rest struct {
	until time.Duration // the server wants nothing before
	// trying is set until the server has answered a request after the rest.
	trying bool
	// retryAt is when the next caller turned away is to come back.
	retryAt time.Duration
}

// Rest takes that a server wants nothing from this host for a time. A shorter rest does not
// end a longer one.
func (p *Pool) Rest(now time.Duration, incarnation fleet.Incarnation, length time.Duration) {
	server := p.running(incarnation)
	if server == nil || length <= 0 {
		return
	}
	r := &server.rest
	r.until, r.trying = max(r.until, now+length), true
	p.restUntil = max(p.restUntil, r.until)
	p.Pump(now)
}

// RestLeft returns for how much longer a server wants nothing from this host.
func (s *Server) RestLeft(now time.Duration) time.Duration { return max(s.rest.until-now, 0) }

// AnyRests reports whether a server may want nothing from this host.
func (p *Pool) AnyRests(now time.Duration) bool { return now < p.restUntil }

// Resting returns how many servers want nothing from this host.
func (p *Pool) Resting(now time.Duration) int {
	if !p.AnyRests(now) {
		return 0
	}
	count := 0
	for _, server := range p.servers.order {
		if server.RestLeft(now) > 0 {
			count++
		}
	}
	return count
}

// admits reports whether a server that may have asked for rest may get one more request.
func (s *Server) admits(now time.Duration) bool {
	return s.RestLeft(now) == 0 && !(s.rest.trying && s.inFlight > 0)
}

// answeredAfterRest notes that a server answered a request that it ran.
func (s *Server) answeredAfterRest(now time.Duration) {
	if s.RestLeft(now) == 0 {
		s.rest.trying = false
	}
}

// beyondRest returns why a request can't be served in time because servers want rest, or nil.
func (p *Pool) beyondRest(now time.Duration, waiter *Waiter) *RejectedError {
	server := p.restingFor(now, waiter)
	if server == nil {
		return nil
	}
	left := server.RestLeft(now)
	if left <= p.patience(now, waiter) {
		return nil
	}
	return &RejectedError{Reason: Resting, RetryAfter: p.restRetry(now, server), Expected: left, Server: server.ID}
}

// restingFor returns the server whose rest a request has to wait for: the owner of its key,
// or the first whose rest is over if all rest; nil if it need not wait for any.
func (p *Pool) restingFor(now time.Duration, waiter *Waiter) *Server {
	if !p.AnyRests(now) {
		return nil
	}
	if waiter.Keyed && p.owner != nil {
		id, _ := p.owner.OwnerOf(waiter.Key)
		if server := p.servers.byID[id]; server != nil && server.RestLeft(now) > 0 && !p.left(now, server) {
			return server
		}
		return nil
	}
	if p.preferred(now, waiter, p.servers.order) != resting {
		return nil
	}
	var first *Server
	for _, server := range p.servers.order {
		if p.preference(now, waiter, server) == resting && (first == nil || server.rest.until < first.rest.until) {
			first = server
		}
	}
	return first
}

// restRetry returns when a caller is to come back who is turned away because a server rests.
// Callers come back one by one, as fast as the server works.
func (p *Pool) restRetry(now time.Duration, server *Server) time.Duration {
	r := &server.rest
	told := min(max(r.retryAt, r.until), now+mostLimitRetry)
	r.retryAt = told + server.pace(p.mean)
	return max(told-now, leastRetryAfter)
}
