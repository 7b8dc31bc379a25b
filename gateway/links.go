package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"cicadarouter/balance"
	"cicadarouter/connectivity"
	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/host/clock"
	"cicadarouter/link/backendlink"
)

// serverLinks is what this host knows of its links to the backend servers.
type serverLinks struct {
	mu      sync.Mutex
	tracker *connectivity.Tracker
	// servers is the number of known servers.
	servers int
	probing bool
	// lost is done while the links to all servers are lost.
	lost    context.Context
	setLost context.CancelFunc
}

func newServerLinks() *serverLinks {
	l := &serverLinks{tracker: connectivity.NewTracker()}
	l.lost, l.setLost = context.WithCancel(context.Background())
	return l
}

// lostContext returns a context that is done once the links to all servers are lost, or if they
// are lost already.
func (l *serverLinks) lostContext() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// areLost reports whether the links to all servers are lost.
func (l *serverLinks) areLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost, _ := l.tracker.Lost()
	return lost
}

// lostFor returns how long the links to all servers have been lost; 0 if they are not.
func (l *serverLinks) lostFor(now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lost, since := l.tracker.Lost(); lost {
		return now - since
	}
	return 0
}

// startProbe reports whether a probe is due that no other caller has started.
func (l *serverLinks) startProbe(now time.Duration) (connectivity.Evidence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing {
		return connectivity.Evidence{}, false
	}
	evidence, due := l.tracker.ProbeDue(now, l.servers)
	l.probing = due
	return evidence, due
}

// probed records the result of a probe, and reports whether the links are lost now and whether
// that has changed.
func (l *serverLinks) probed(now time.Duration, accepted, failed int) (lost, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = l.tracker.Probed(now, accepted, failed)
	lost, _ = l.tracker.Lost()
	if changed && lost {
		l.setLost()
	} else if changed {
		l.lost, l.setLost = context.WithCancel(context.Background())
	}
	return lost, changed
}

func (l *serverLinks) endProbe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
}

// setServers sets the number of known servers.
func (l *serverLinks) setServers(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = count
}

// trackingDialer reports to the gateway whether servers accept connections.
type trackingDialer struct {
	backendlink.Dialer
	gateway *Gateway
}

// minTimeoutEvidence is how long a connection must have been pending for its timeout to count as
// evidence: a request with less time left says nothing about the link.
const minTimeoutEvidence = 250 * time.Millisecond

// DialContext implements backendlink.Dialer.
func (d trackingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	began := d.gateway.now()
	conn, err := d.Dialer.DialContext(ctx, network, address)
	now := d.gateway.now()
	switch {
	case err == nil:
		d.gateway.links.noteConnected()
	case errors.Is(err, context.Canceled), ctx.Err() != nil && now-began < minTimeoutEvidence:
	default:
		d.gateway.noteConnectFailed(now, address)
	}
	return conn, err
}

func (l *serverLinks) noteConnected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Connected()
}

// noteConnectFailed records that a connection to a server's address could not be opened.
func (g *Gateway) noteConnectFailed(now time.Duration, address string) {
	g.links.mu.Lock()
	g.links.tracker.ConnectFailed(now, address)
	g.links.mu.Unlock()
	g.checkLinks(now)
}

// noteCallEnded records that a server left a call about keys unanswered. Such a server is not
// necessarily out of reach, but a probe of the links will tell.
func (g *Gateway) noteCallEnded(ctx context.Context, server fleet.Server, result *callResult) {
	var stale *adapter.StaleTokenError
	var other *adapter.WrongServerError
	if result.err != nil && ctx.Err() == nil && !errors.As(result.err, &stale) && !errors.As(result.err, &other) {
		g.noteConnectFailed(g.now(), server.Address)
	}
}

// noteSent records that a request was sent to a server.
func (g *Gateway) noteSent(server *balance.Server) {
	now := g.now()
	g.links.mu.Lock()
	g.links.tracker.Sent(now, server.Address)
	g.links.mu.Unlock()
	g.checkLinks(now)
}

// noteExchangeEnded records the end of a request that was sent to a server.
func (g *Gateway) noteExchangeEnded(server *balance.Server, answered bool) {
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	g.links.tracker.Ended(g.now(), server.Address, answered)
}

// checkLinks starts a probe of the links if one is due.
func (g *Gateway) checkLinks(now time.Duration) {
	if evidence, due := g.links.startProbe(now); due {
		go g.probeLinks(evidence)
	}
}

// probeLinks probes servers until the links are found to work.
func (g *Gateway) probeLinks(evidence connectivity.Evidence) {
	defer g.links.endProbe()
	lostAt := g.now()
	for g.background.Err() == nil {
		accepted, failed := g.connectToSample()
		g.metrics.linkProbes.Inc()
		now := g.now()
		lost, changed := g.links.probed(now, accepted, failed)
		if changed {
			g.wakeControl() // the controller has to know at once
		}
		switch {
		case changed && lost:
			g.log.Warn("links to all servers are lost", "refused-connections", evidence.FailedServers, "silent-servers", evidence.SilentServers,
				"probed", failed, "last-answer-age-ms", (now - g.links.lastAnswer()).Milliseconds())
		case changed:
			for _, s := range g.allServices() {
				s.forgetUnreachable()
			}
			g.log.Info("links to servers are restored", "accepted", accepted, "failed", failed, "lost-ms", (now - lostAt).Milliseconds())
		case !lost:
			if g.failureLogLimit.allow() {
				g.log.Info("links to servers work", "refused-connections", evidence.FailedServers, "silent-servers", evidence.SilentServers,
					"accepted", accepted, "failed", failed)
			}
		}
		if !lost {
			return
		}
		clock.Sleep(g.background, connectivity.LostProbeInterval)
	}
}

func (l *serverLinks) lastAnswer() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.LastAnswer()
}

// probedServers is the number of servers that a probe connects to.
const probedServers = 4

// connectToSample opens connections to a few servers, and returns how many were accepted. The
// connections are kept for later requests.
func (g *Gateway) connectToSample() (accepted, failed int) {
	ctx, cancel := context.WithTimeout(g.background, probeTimeout)
	defer cancel()
	sample := g.sampleServers()
	results := make(chan error, len(sample))
	for _, pool := range sample {
		go func() { results <- pool.Connect(ctx) }()
	}
	for range sample {
		if <-results == nil {
			accepted++
		} else {
			failed++
		}
	}
	return accepted, failed
}

// reachesAnotherServer reports whether any of a few servers other than the one at the address accepts
// a connection. It returns true if no other server is known.
func (g *Gateway) reachesAnotherServer(address string) bool {
	if g.links.areLost() {
		return false
	}
	ctx, cancel := context.WithTimeout(g.background, connectCheckTimeout)
	defer cancel()
	sample := slices.DeleteFunc(g.sampleServers(), func(pool *backendlink.Pool) bool { return pool.Address() == address })
	results := make(chan error, len(sample))
	for _, pool := range sample {
		go func() { results <- pool.Connect(ctx) }()
	}
	for range sample {
		if <-results == nil {
			return true
		}
	}
	return len(sample) == 0
}

// probeTimeout bounds a probe; connections take about 1 ms.
const probeTimeout = 400 * time.Millisecond

// sampleServers returns the connection pools of a few random servers: half of them in the host's
// own failure domain, because the domain may be cut off from the others.
func (g *Gateway) sampleServers() []*backendlink.Pool {
	var local, remote []*backendlink.Pool
	for _, s := range g.allServices() {
		s.mu.Lock()
		sampledLocal, sampledRemote := s.pool.SampleByDomain(probedServers)
		for _, server := range sampledLocal {
			local = append(local, s.connPool(server))
		}
		for _, server := range sampledRemote {
			remote = append(remote, s.connPool(server))
		}
		s.mu.Unlock()
	}
	shuffle := func(pools []*backendlink.Pool) {
		rand.Shuffle(len(pools), func(i, j int) { pools[i], pools[j] = pools[j], pools[i] })
	}
	shuffle(local)
	shuffle(remote)
	fromLocal := min(len(local), max(probedServers/2, probedServers-len(remote)))
	return append(local[:fromLocal], remote[:min(len(remote), probedServers-fromLocal)]...)
}

// linksLostGauge returns 1 while the links to all servers are lost.
func (g *Gateway) linksLostGauge() float64 {
	if g.links.areLost() {
		return 1
	}
	return 0
}
