package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"cicadarouter/connectivity"
	"cicadarouter/host/clock"
	"cicadarouter/link/backendlink"
)

// probeLinks probes servers of a service until its links are found to work.
func (g *Gateway) probeLinks(s *service, evidence connectivity.Evidence) {
	lostAt := g.now()
	for g.background.Err() == nil {
		counts := g.connectToSample(s)
		g.metrics.linkProbes.Inc()
		now := g.now()
		switch s.links.probed(now, counts) {
		case connectivity.Inconclusive:
			continue
		case connectivity.BecameLost:
			g.log.Warn("links to all servers of a service are lost", "service", s.name, "refused-connections", evidence.FailedServers,
				"silent-servers", evidence.SilentServers, "probed", counts.failed(), "timed-out", counts.timedOut)
			g.forgetRefusals()
			s.applyCutOff()
			g.wakeControl() // the controller has to know at once
			g.probeOtherServices(now, s)
		case connectivity.BecameRestored:
			s.forgetUnreachable()
			g.log.Info("links to servers of a service are restored", "service", s.name, "accepted", counts.accepted, "failed", counts.failed(), "lost-ms", (now - lostAt).Milliseconds())
			g.wakeControl()
			return
		case connectivity.StillUp:
			if g.failureLogLimit.allow() {
				g.log.Info("links to servers of a service work", "service", s.name, "refused-connections", evidence.FailedServers,
					"silent-servers", evidence.SilentServers, "accepted", counts.accepted, "failed", counts.failed())
			}
			return
		}
		clock.Sleep(g.background, connectivity.LostProbeInterval)
	}
	s.links.stopProbe()
}

// probeOtherServices probes the links to the servers of all other services, because a host often loses
// all of its links at once.
func (g *Gateway) probeOtherServices(now time.Duration, lost *service) {
	for _, s := range g.allServices() {
		if s == lost || s.links.areLost() {
			continue
		}
		if evidence, started := s.links.startProbe(now, true); started {
			go g.probeLinks(s, evidence)
		}
	}
}

// probedServers is the number of servers that a probe connects to.
const probedServers = 4

// probeTimeout bounds a probe; connections take about 1 ms.
const probeTimeout = 400 * time.Millisecond

// connectToSample opens connections to a few servers of a service. The connections are kept for later
// requests.
func (g *Gateway) connectToSample(s *service) probeCounts {
	ctx, cancel := context.WithTimeout(g.background, probeTimeout)
	defer cancel()
	var counts probeCounts
	for err := range connectAll(ctx, s.sampleConns(probedServers)) {
		var netErr net.Error
		switch {
		case err == nil:
			counts.accepted++
		case errors.As(err, &netErr) && netErr.Timeout():
			counts.timedOut++
		default:
			counts.refused++
		}
	}
	return counts
}

// connectAll opens a connection in each pool and returns a channel of the results, which is closed
// after the last one.
func connectAll(ctx context.Context, pools []*backendlink.Pool) <-chan error {
	results := make(chan error, len(pools))
	var connecting sync.WaitGroup
	for _, pool := range pools {
		connecting.Go(func() { results <- pool.Connect(ctx) })
	}
	go func() {
		connecting.Wait()
		close(results)
	}()
	return results
}

// sampleConns returns the connection pools of up to n random servers: half of them in the host's own
// failure domain, because the domain may be cut off from the others.
func (s *service) sampleConns(n int) []*backendlink.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	local, remote := s.pool.SampleByDomain(n)
	fromLocal := min(len(local), max(n/2, n-len(remote)))
	sample := append(local[:fromLocal], remote[:min(len(remote), n-fromLocal)]...)
	var pools []*backendlink.Pool
	for _, server := range sample {
		pools = append(pools, s.connPool(server))
	}
	return pools
}

// reachesAnotherServer connects to a few servers other than the one at the address, which confirms
// earlier refusals, and reports whether any accepts. If no other server is known there is nothing to
// compare with, and refusals are confirmed.
func (g *Gateway) reachesAnotherServer(address string) bool {
	ctx, cancel := context.WithTimeout(g.background, connectCheckTimeout)
	defer cancel()
	var others []*backendlink.Pool
	for _, s := range g.allServices() {
		others = append(others, s.sampleConns(probedServers)...)
	}
	others = slices.DeleteFunc(others, func(pool *backendlink.Pool) bool { return pool.Address() == address })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), probedServers)]
	for err := range connectAll(ctx, others) {
		if err == nil {
			return true
		}
	}
	if len(others) == 0 {
		g.confirmRefusals(g.now())
	}
	return len(others) == 0
}
