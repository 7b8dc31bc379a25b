package gateway

import (
	"context"
	"sync"
	"time"

	"cicadarouter/balance"
	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/routing"
)

// hostsKept is for how long a larger number of hosts is believed than the one last
// told. A controller that is cut off hears of a few hosts only, and when the cut ends
// all of them meet servers that have become cold meanwhile; cuts last for seconds.
const hostsKept = 15 * time.Second

// hostCount is how many hosts there are, 0 before one is told.
type hostCount struct {
	mu    sync.Mutex
	hosts int
	at    time.Duration // when that many were last told of
}

// note takes a number of hosts, 0 if whoever says so does not know, and reports
// whether it changes what is believed.
func (c *hostCount) note(now time.Duration, hosts int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hosts <= 0 || hosts < c.hosts && now-c.at < hostsKept {
		return false
	}
	changed := hosts != c.hosts
	c.hosts, c.at = hosts, now
	return changed
}

// count returns the number believed.
func (c *hostCount) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

// noteHosts takes how many hosts there are.
func (g *Gateway) noteHosts(hosts int) {
	if !g.hosts.note(g.now(), hosts) {
		return
	}
	g.log.Info("number of hosts", "hosts", hosts)
	g.applyLimits()
	for _, s := range g.allServices() {
		s.shareReserve(reserveOf(g.identity.RetryReserve, hosts))
	}
	if current := g.configuration.Current(); current != nil {
		g.limitCold(current)
	}
}

// limitCold tells the services what their cold servers bear, and by how many hosts
// that is shared.
func (g *Gateway) limitCold(configuration *routing.Configuration) {
	for name, described := range configuration.Services {
		if s := g.service(name); s != nil {
			s.setCold(described.ColdPerSecond, g.hosts.count())
		}
	}
}

// coldTimeout bounds the question whether a server is cold.
const coldTimeout = 500 * time.Millisecond

// doubt takes that the server ended a connection: its process may have started again, and be
// cold, before the registry says so. ctx is that of the request, whose caller may have ended
// it.
func (g *Gateway) doubt(ctx context.Context, req *request, server *balance.Server) {
	if ctx.Err() != nil || !req.service.doubt(server) {
		return
	}
	who := fleet.Server{ID: server.ID, Start: server.Start, Address: server.Address}
	backend := adapter.Backend{Server: who, HealthPath: req.configuration.Services[req.serviceName].HealthPath}
	s, id := req.service, req.ID
	go func() {
		asking, cancel := context.WithTimeout(context.Background(), coldTimeout)
		defer cancel()
		health, err := g.checkHealth(asking, backend)
		if err == nil && health.TellsCold {
			s.toldCold(server, health.ColdFor)
		}
		if g.failureLogLimit.take() {
			g.log.Info("server may have started again", "request", id, "server", server.Incarnation().String(),
				"tells-cold", health.TellsCold, "cold-ms", health.ColdFor.Milliseconds(), "error", errorText(err))
		}
	}()
}
