package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"cicadarouter/balance"
	"cicadarouter/connectivity"
	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/link/backendlink"
)

// serverLinks is what this host knows of its links to the servers of one service.
type serverLinks struct {
	mu      sync.Mutex
	tracker *connectivity.Tracker
	// servers is the number of known servers.
	servers int
	probing bool
	// silent is set while the links are lost if connections time out. If they are refused, open
	// ones have been reset or may still work.
	silent bool
	// settled is closed once the current probe has a result, or if there is none.
	settled chan struct{}
	// lost is done while the links to all servers are lost.
	lost    context.Context
	setLost context.CancelFunc
}

func newServerLinks() *serverLinks {
	l := &serverLinks{tracker: connectivity.NewTracker(), settled: make(chan struct{})}
	close(l.settled)
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

// areSilent reports whether the links to all servers are lost and connections time out.
func (l *serverLinks) areSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost, _ := l.tracker.Lost()
	return lost && l.silent
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

// answeredWithin reports whether a server has answered within the given time.
func (l *serverLinks) answeredWithin(now, within time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now-l.tracker.LastAnswer() < within
}

// startProbe reports whether a probe is due that no other caller has started. If forced, it is due
// without evidence.
func (l *serverLinks) startProbe(now time.Duration, forced bool) (connectivity.Evidence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing || l.servers == 0 {
		return connectivity.Evidence{}, false
	}
	evidence, due := l.tracker.ProbeDue(now, l.servers)
	if l.probing = due || forced; l.probing {
		l.settled = make(chan struct{})
	}
	return evidence, l.probing
}

// probeCounts counts the connections of a probe by their results.
type probeCounts struct{ accepted, refused, timedOut int }

func (c *probeCounts) failed() int { return c.refused + c.timedOut }

// probed records the result of a probe. The probe is over unless the result is Inconclusive or the
// links are lost.
func (l *serverLinks) probed(now time.Duration, counts probeCounts) connectivity.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := l.tracker.Probed(now, counts.accepted, counts.failed())
	switch result {
	case connectivity.BecameLost:
		l.silent = counts.refused == 0
		l.setLost()
	case connectivity.BecameRestored:
		l.lost, l.setLost = context.WithCancel(context.Background())
	}
	l.probing = result == connectivity.Inconclusive || result == connectivity.BecameLost || result == connectivity.StillLost
	if result != connectivity.Inconclusive {
		l.settle()
	}
	return result
}

// settle marks the current probe as having a result. l.mu must be held.
func (l *serverLinks) settle() {
	select {
	case <-l.settled:
	default:
		close(l.settled)
	}
}

// awaitProbe waits for the result of a probe that is in progress.
func (l *serverLinks) awaitProbe(ctx context.Context) {
	l.mu.Lock()
	settled := l.settled
	l.mu.Unlock()
	select {
	case <-settled:
	case <-ctx.Done():
	}
}

// stopProbe ends a probe without a result.
func (l *serverLinks) stopProbe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
	l.settle()
}

// setServers sets the number of known servers.
func (l *serverLinks) setServers(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = count
}

// trackingDialer records whether the servers of a service accept connections.
type trackingDialer struct {
	backendlink.Dialer
	gateway *Gateway
	service *service
}

// minTimeoutEvidence is how long a connection must have been pending for its timeout to count as
// evidence: a request with less time left says nothing about the link.
const minTimeoutEvidence = 250 * time.Millisecond

// DialContext implements backendlink.Dialer.
func (d trackingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	began := d.gateway.now()
	d.service.domains.update(func(domains *connectivity.Domains) bool {
		domains.Dialing(began, address)
		return false
	})
	conn, err := d.Dialer.DialContext(ctx, network, address)
	now := d.gateway.now()
	d.gateway.noteDialed(ctx, d.service, began, address, err)
	switch {
	case err == nil:
		d.service.links.noteConnected(began)
		d.gateway.confirmRefusals(began)
	case errors.Is(err, context.Canceled), ctx.Err() != nil && now-began < minTimeoutEvidence:
	default:
		d.gateway.noteConnectFailed(now, d.service, address)
	}
	return conn, err
}

func (l *serverLinks) noteConnected(began time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Connected(began)
}

// noteConnectFailed records that a connection to a server's address could not be opened.
func (g *Gateway) noteConnectFailed(now time.Duration, s *service, address string) {
	s.links.mu.Lock()
	s.links.tracker.ConnectFailed(now, address)
	s.links.mu.Unlock()
	g.checkLinks(now, s)
}

// noteCallEnded records that a server left a call about keys unanswered. Such a server is not
// necessarily out of reach, but a probe of the links will tell.
func (g *Gateway) noteCallEnded(ctx context.Context, s *service, server fleet.Server, result *callResult) {
	var stale *adapter.StaleTokenError
	var other *adapter.WrongServerError
	g.noteDomainCall(ctx, s, server.Address, result)
	if result.err != nil && ctx.Err() == nil && !errors.As(result.err, &stale) && !errors.As(result.err, &other) {
		g.noteConnectFailed(g.now(), s, server.Address)
	}
}

// noteSent records that a request was sent to a server.
func (g *Gateway) noteSent(s *service, server *balance.Server) {
	now := g.now()
	s.links.mu.Lock()
	s.links.tracker.Sent(now, server.Address)
	s.links.mu.Unlock()
	s.domains.update(func(d *connectivity.Domains) bool {
		d.Sent(now, server.Address)
		return false
	})
	g.checkLinks(now, s)
}

// noteExchangeEnded records the end of a request that was sent to a server.
func (g *Gateway) noteExchangeEnded(s *service, server *balance.Server, answered bool) {
	s.links.mu.Lock()
	defer s.links.mu.Unlock()
	s.links.tracker.Ended(g.now(), server.Address, answered)
}

// checkLinks starts a probe of a service's links if one is due, and reports whether it did.
func (g *Gateway) checkLinks(now time.Duration, s *service) bool {
	g.checkDomains(now, s, false)
	evidence, due := s.links.startProbe(now, false)
	if due {
		go g.probeLinks(s, evidence)
	}
	return due
}

// linksLostAfterProbe reports whether the links to a service's servers are lost, after waiting for a
// probe that is in progress. One that began before the last failures may miss what they show, and is
// followed by another.
func (g *Gateway) linksLostAfterProbe(ctx context.Context, s *service) bool {
	s.links.awaitProbe(ctx)
	if !s.links.areLost() && g.checkLinks(g.now(), s) {
		s.links.awaitProbe(ctx)
	}
	return s.links.areLost()
}

// allLinksLost reports whether the links to the servers of all services that have any are lost.
func (g *Gateway) allLinksLost() bool {
	lost := false
	for _, s := range g.allServices() {
		if s.links.areLost() {
			lost = true
		} else if s.serverCount() > 0 {
			return false
		}
	}
	return lost
}

// servicesWithoutLinks returns the names of the services whose links are lost.
func (g *Gateway) servicesWithoutLinks() []string {
	var names []string
	for _, s := range g.allServices() {
		if s.links.areLost() {
			names = append(names, s.name)
		}
	}
	slices.Sort(names)
	return names
}

// linksLostGauge returns the number of services whose links are lost.
func (g *Gateway) linksLostGauge() float64 { return float64(len(g.servicesWithoutLinks())) }
