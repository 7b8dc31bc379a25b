package balance

import (
	"time"

	"cicadarouter/fleet"
)

// Load pattern: an overloaded server rejects requests and asks each host it rejects to back
// off for some seconds. Only the owner of a key can serve the key, so requests for it must
// wait or be rejected until the backoff ends; then all hosts would send everything at once.
// After a backoff a host therefore probes the server with one request at a time until the
// server has answered one.

// rest is the backoff that a server asked this host for.
type rest struct {
	until time.Duration // send nothing before this time
	// trying is set until the server has answered a request after the backoff.
	trying bool
	// retryAt is the retry time for the next rejected caller.
	retryAt time.Duration
}

// Rest records that a server asked this host to send it nothing for length. A shorter
// backoff does not end a longer one.
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

// RestLeft returns the remaining time of the backoff that the server asked this host for.
func (s *Server) RestLeft(now time.Duration) time.Duration { return max(s.rest.until-now, 0) }

// AnyRests reports whether a backoff may be in force at any server.
func (p *Pool) AnyRests(now time.Duration) bool { return now < p.restUntil }

// Resting returns the number of servers with a backoff in force.
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

// admits reports whether backoffs allow one more request to the server.
func (s *Server) admits(now time.Duration) bool {
	return s.RestLeft(now) == 0 && !(s.rest.trying && s.inFlight > 0)
}

// answeredAfterRest records that the server answered a request; after a backoff this ends
// the probing.
func (s *Server) answeredAfterRest(now time.Duration) {
	if s.RestLeft(now) == 0 {
		s.rest.trying = false
	}
}

// beyondRest returns why the request can't be served in time because of backoffs, or nil.
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

// restingFor returns the server whose backoff the request has to wait for: the owner of its
// key or, without keys and if all usable servers have asked for one, the server whose
// backoff ends first. It returns nil if the request doesn't wait for a backoff.
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

// restRetry returns the retry delay for a caller rejected because of a backoff. Retries are
// spaced at the rate at which the server completes requests.
func (p *Pool) restRetry(now time.Duration, server *Server) time.Duration {
	r := &server.rest
	retryAt := min(max(r.retryAt, r.until), now+mostLimitRetry)
	r.retryAt = retryAt + server.pace(p.mean)
	return max(retryAt-now, leastRetryAfter)
}
