package gateway

import (
	"time"

	"cicadarouter/balance"
	"cicadarouter/fleet"
)

// noteRest takes for how long a server wants nothing from this host.
func (g *Gateway) noteRest(h hearing) {
	if h.Rest <= 0 {
		return
	}
	g.metrics.rests.Inc()
	for _, s := range g.allServices() {
		s.rest(h.server, h.Rest)
	}
	if g.failureLogLimit.take() {
		g.log.Info("server asks this host for rest", "server", h.server.String(), "rest-ms", h.Rest.Milliseconds(), "call", h.call, "request", h.request)
	}
}

// resting returns how many servers want nothing from this host.
func (g *Gateway) resting() float64 {
	total := 0
	for _, s := range g.allServices() {
		total += s.resting()
	}
	return float64(total)
}

// rest takes that a server wants nothing from this host for a time.
func (s *service) rest(server fleet.Incarnation, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Rest(s.now(), server, length)
	s.armPump()
}

func (s *service) resting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Resting(s.now())
}

// longRest is how much of a rest must be left for keys to pass on because of it: a move takes
// a third of that.
const longRest = time.Second

// longRests returns the servers that have asked this host for a long rest.
func (s *service) longRests() []fleet.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pool.AnyRests(s.now()) {
		return nil
	}
	var resting []fleet.Incarnation
	for _, server := range s.pool.Servers() {
		if server.RestLeft(s.now()) >= longRest {
			resting = append(resting, server.Incarnation())
		}
	}
	return resting
}

// restLeft returns for how much longer a server wants nothing from this host.
func (s *service) restLeft(server *balance.Server) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return server.RestLeft(s.now())
}

// restingResult is the result of an attempt at a server that asked for rest while a connection to
// it was being opened.
func restingResult(left time.Duration) attemptResult {
	return attemptResult{notRun: true, failed: true, outcome: balance.Abandoned, reply: turnedAway(string(balance.Resting), left)}
}
