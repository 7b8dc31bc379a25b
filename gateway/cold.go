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

// largerHostCountTTL is for how long a smaller reported number of hosts is ignored. During a
// network partition a controller hears from only a few hosts, and when the partition
// ends all hosts send to servers that have become cold meanwhile. Partitions last seconds.
const largerHostCountTTL = 15 * time.Second

// hostCount is the number of hosts, 0 before the first report.
type hostCount struct {
	mu         sync.Mutex
	hosts      int
	acceptedAt time.Duration // when the number was last accepted
}

// update takes a reported number of hosts, 0 if the reporter does not know it, and
// reports whether the number in use changes.
func (c *hostCount) update(now time.Duration, hosts int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hosts <= 0 || hosts < c.hosts && now-c.acceptedAt < largerHostCountTTL {
		return false
	}
	changed := hosts != c.hosts
	c.hosts, c.acceptedAt = hosts, now
	return changed
}

// value returns the number in use.
func (c *hostCount) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

// updateHostCount handles a reported number of hosts, which divides the limits shared by all hosts.
func (g *Gateway) updateHostCount(hosts int) {
	if !g.hosts.update(g.now(), hosts) {
		return
	}
	g.log.Info("number of hosts changed", "hosts", hosts)
	g.applyLimits()
	for _, s := range g.allServices() {
		s.setRetryReserve(retryReserveFor(g.identity.RetryReserve, hosts))
	}
	if current := g.configuration.Current(); current != nil {
		g.applyColdStartLimits(current)
	}
}

// applyColdStartLimits gives each service the request rate that its cold servers can take and
// the number of hosts that share it.
func (g *Gateway) applyColdStartLimits(configuration *routing.Configuration) {
	for name, settings := range configuration.Services {
		if s := g.service(name); s != nil {
			s.setColdStartLimit(settings.ColdStartLimit, g.hosts.value())
		}
	}
}

// coldCheckTimeout bounds the health check that asks a server whether it is cold.
const coldCheckTimeout = 500 * time.Millisecond

// checkForRestart handles a lost or failed connection to a server: its process may have
// restarted and be cold before the registry shows it, so the server is asked whether it is cold.
// ctx is the request's; if it is done, the connection may have ended because of the caller.
func (g *Gateway) checkForRestart(ctx context.Context, req *request, server *balance.Server) {
	if ctx.Err() != nil || !req.service.suspectRestart(server) {
		return
	}
	target := fleet.Server{ID: server.ID, Start: server.Start, Address: server.Address}
	backend := adapter.Backend{Server: target, HealthPath: req.configuration.Services[req.serviceName].HealthPath}
	s, id := req.service, req.ID
	go func() {
		checkCtx, cancel := context.WithTimeout(context.Background(), coldCheckTimeout)
		defer cancel()
		health, err := g.checkHealth(checkCtx, backend)
		if err == nil && health.ReportsCold {
			s.setColdFor(server, health.ColdFor)
		}
		if g.failureLogLimit.allow() {
			g.log.Info("server may have restarted", "request", id, "server", server.Incarnation().String(),
				"tells-cold", health.ReportsCold, "cold-ms", health.ColdFor.Milliseconds(), "error", errorText(err))
		}
	}()
}
