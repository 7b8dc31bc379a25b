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

// backoff is the backoff that a server asked this host for.
type backoff struct {
	until time.Duration // send nothing before this time
	// probing is set until the server has answered a request after the backoff.
	probing bool
	// nextRetryAt is the retry time for the next rejected caller.
	nextRetryAt time.Duration
}

// BackOff records that a server asked this host to send it nothing for length. A shorter
// backoff does not end a longer one.
func (p *Pool) BackOff(now time.Duration, incarnation fleet.Incarnation, length time.Duration) {
	server := p.findServer(incarnation)
	if server == nil || length <= 0 {
		return
	}
	r := &server.backoff
	r.until, r.probing = max(r.until, now+length), true
	p.backoffUntil = max(p.backoffUntil, r.until)
	p.Dispatch(now)
}

// BackoffLeft returns the remaining time of the backoff that the server asked this host for.
func (s *Server) BackoffLeft(now time.Duration) time.Duration { return max(s.backoff.until-now, 0) }

// AnyBackoff reports whether a backoff may be in force at any server.
func (p *Pool) AnyBackoff(now time.Duration) bool { return now < p.backoffUntil }

// ServersInBackoff returns the number of servers with a backoff in force.
func (p *Pool) ServersInBackoff(now time.Duration) int {
	if !p.AnyBackoff(now) {
		return 0
	}
	count := 0
	for _, server := range p.servers.sorted {
		if server.BackoffLeft(now) > 0 {
			count++
		}
	}
	return count
}

// admits reports whether backoffs allow one more request to the server.
func (s *Server) admits(now time.Duration) bool {
	return s.BackoffLeft(now) == 0 && !(s.backoff.probing && s.inFlight > 0)
}

// endProbing records that the server answered a request; after a backoff this ends
// the probing.
func (s *Server) endProbing(now time.Duration) {
	if s.BackoffLeft(now) == 0 {
		s.backoff.probing = false
	}
}

// checkBackoff returns why the request can't be served in time because of backoffs, or nil.
func (p *Pool) checkBackoff(now time.Duration, waiter *Waiter) *RejectedError {
	server := p.backoffServerFor(now, waiter)
	if server == nil {
		return nil
	}
	left := server.BackoffLeft(now)
	if left <= p.remainingWait(now, waiter) {
		return nil
	}
	return &RejectedError{Reason: ServerBackoff, RetryAfter: p.backoffRetryAfter(now, server), Expected: left, Server: server.ID}
}

// backoffServerFor returns the server whose backoff the request has to wait for: the owner of its
// key or, without keys and if all usable servers have asked for one, the server whose
// backoff ends first. It returns nil if the request doesn't wait for a backoff.
func (p *Pool) backoffServerFor(now time.Duration, waiter *Waiter) *Server {
	if !p.AnyBackoff(now) {
		return nil
	}
	if waiter.Keyed && p.owner != nil {
		id, _ := p.owner.OwnerOf(waiter.Key)
		if server := p.servers.byID[id]; server != nil && server.BackoffLeft(now) > 0 && !p.closedToOwnedKeys(now, server) {
			return server
		}
		return nil
	}
	if p.bestPreference(now, waiter, p.servers.sorted) != backingOff {
		return nil
	}
	var first *Server
	for _, server := range p.servers.sorted {
		if p.preference(now, waiter, server) == backingOff && (first == nil || server.backoff.until < first.backoff.until) {
			first = server
		}
	}
	return first
}

// backoffRetryAfter returns the retry delay for a caller rejected because of a backoff. Retries are
// spaced at the rate at which the server completes requests.
func (p *Pool) backoffRetryAfter(now time.Duration, server *Server) time.Duration {
	r := &server.backoff
	retryAt := min(max(r.nextRetryAt, r.until), now+maxLimitRetryAfter)
	r.nextRetryAt = retryAt + server.expectedInterval(p.meanServiceTime)
	return max(retryAt-now, minRetryAfter)
}
