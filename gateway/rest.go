package gateway

import (
	"time"

	"cicadarouter/balance"
	"cicadarouter/fleet"
)

// handleBackoff handles a server's request that this host send it nothing for a time.
func (g *Gateway) handleBackoff(h receivedNotices) {
	if h.Rest <= 0 {
		return
	}
	g.metrics.backoffsRequested.Inc()
	for _, s := range g.allServices() {
		s.backOff(h.from, h.Rest)
	}
	if g.failureLogLimit.allow() {
		g.log.Info("server asked this host to back off", "server", h.from.String(), "rest-ms", h.Rest.Milliseconds(), "call", h.call, "request", h.requestID)
	}
}

// serversInBackoff returns the number of servers that this host is backing off from.
func (g *Gateway) serversInBackoff() float64 {
	total := 0
	for _, s := range g.allServices() {
		total += s.serversInBackoff()
	}
	return float64(total)
}

// backOff makes this host send a server nothing for a time.
func (s *service) backOff(server fleet.Incarnation, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.BackOff(s.now(), server, duration)
	s.scheduleDispatch()
}

// serversInBackoff returns the number of the service's servers that this host is backing off from.
func (s *service) serversInBackoff() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.ServersInBackoff(s.now())
}

// minBackoffToMoveKeys is the least remaining backoff that makes the controller move a server's keys.
// A move takes a third of that.
const minBackoffToMoveKeys = time.Second

// longBackoffs returns the servers whose remaining backoff is long enough to move their keys.
func (s *service) longBackoffs() []fleet.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pool.AnyBackoff(s.now()) {
		return nil
	}
	var servers []fleet.Incarnation
	for _, server := range s.pool.Servers() {
		if server.BackoffLeft(s.now()) >= minBackoffToMoveKeys {
			servers = append(servers, server.Incarnation())
		}
	}
	return servers
}

// backoffLeft returns the remaining backoff of a server.
func (s *service) backoffLeft(server *balance.Server) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return server.BackoffLeft(s.now())
}

// backoffResult is the result of an attempt at a server that asked this host to back off while a
// connection to it was being opened.
func backoffResult(left time.Duration) attemptResult {
	return attemptResult{notRun: true, failed: true, outcome: balance.Abandoned, reply: rejection(string(balance.ServerBackoff), left)}
}
