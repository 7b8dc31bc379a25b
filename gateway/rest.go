package gateway

import (
	"time"

	"cicadarouter/balance"
	"cicadarouter/fleet"
)

// noteRest handles a server's request that this host send it nothing for a time.
func (g *Gateway) noteRest(h hearing) {
	if h.Rest <= 0 {
		return
	}
	g.counts.rests.Inc()
	for _, s := range g.allServices() {
		s.rest(h.server, h.Rest)
	}
	if g.failureLines.take() {
		g.log.Info("server asked this host to back off", "server", h.server.String(), "rest-ms", h.Rest.Milliseconds(), "call", h.call, "request", h.request)
	}
}

// resting returns the number of servers that this host is backing off from.
func (g *Gateway) resting() float64 {
	total := 0
	for _, s := range g.allServices() {
		total += s.resting()
	}
	return float64(total)
}

// rest makes this host send a server nothing for a time.
func (s *service) rest(server fleet.Incarnation, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Rest(s.now(), server, duration)
	s.armPump()
}

// resting returns the number of the service's servers that this host is backing off from.
func (s *service) resting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Resting(s.now())
}

// longRest is the least remaining backoff that makes the controller move a server's keys.
// A move takes a third of that.
const longRest = time.Second

// longRests returns the servers whose remaining backoff is long enough to move their keys.
func (s *service) longRests() []fleet.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pool.AnyRests(s.now()) {
		return nil
	}
	var servers []fleet.Incarnation
	for _, server := range s.pool.Servers() {
		if server.RestLeft(s.now()) >= longRest {
			servers = append(servers, server.Incarnation())
		}
	}
	return servers
}

// restLeft returns the remaining backoff of a server.
func (s *service) restLeft(server *balance.Server) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return server.RestLeft(s.now())
}

// restingResult is the result of an attempt at a server that asked this host to back off while a
// connection to it was being opened.
func restingResult(left time.Duration) attemptResult {
	return attemptResult{notRun: true, failed: true, outcome: balance.Abandoned, reply: turnedAway(string(balance.Resting), left)}
}
