package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"cicadarouter/balance"
	"cicadarouter/connectivity"
	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/host/clock"
	"cicadarouter/keyspace"
	"cicadarouter/link/backendlink"
)

// domainLinks is what this host knows of its links to the failure domains of one service's servers.
type domainLinks struct {
	mu        sync.Mutex
	domains   *connectivity.Domains
	checkedAt time.Duration
	// cutOff holds, by domain, a context that is done while the domain is cut off. Contexts are
	// created on first use.
	cutOff map[string]cutOffContext
	// applyMu ensures that changes are applied in the order in which they happen.
	applyMu sync.Mutex
}

type cutOffContext struct {
	context.Context
	cancel context.CancelFunc
}

func newDomainLinks() *domainLinks {
	return &domainLinks{domains: connectivity.NewDomains(), cutOff: map[string]cutOffContext{}}
}

// updateServers updates the servers that have changed and removes those whose IDs are in gone.
func (l *domainLinks) updateServers(changed []fleet.Server, gone []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range gone {
		l.domains.RemoveServer(id)
	}
	for i := range changed {
		l.domains.SetServer(changed[i].ID, changed[i].Address, changed[i].Domain)
	}
}

// cutOffContext returns a context that is done once the domain of the server at the address is found
// cut off. If it is cut off already the context never ends: the server is then tried as a last resort.
func (l *domainLinks) cutOffContext(address string) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	domain, known := l.domains.DomainOf(address)
	if !known || l.domains.IsCutOff(domain) {
		return context.Background()
	}
	found, exists := l.cutOff[domain]
	if !exists {
		found.Context, found.cancel = context.WithCancel(context.Background())
		l.cutOff[domain] = found
	}
	return found
}

// domainCheckInterval bounds how often requests cause a check of the evidence.
const domainCheckInterval = 20 * time.Millisecond

// startProbe returns a domain that must be probed now, if there is one. Unless forced, the evidence is
// checked at most once in domainCheckInterval.
func (l *domainLinks) startProbe(now time.Duration, forced bool) (domain string, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !forced && now-l.checkedAt < domainCheckInterval {
		return "", false
	}
	l.checkedAt = now
	domain, _, due = l.domains.ProbeDue(now)
	return domain, due
}

// probeSize returns the number of servers of a domain to probe.
func (l *domainLinks) probeSize(domain string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.domains.IsCutOff(domain) {
		return connectivity.CutOffProbedServers
	}
	return connectivity.ProbedServers
}

// isCutOff reports whether a domain is cut off.
func (l *domainLinks) isCutOff(domain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.domains.IsCutOff(domain)
}

// reset forgets which domains are cut off.
func (l *domainLinks) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.domains.Reset()
}

// update calls a function with the tracker, which reports whether a domain has been restored.
func (l *domainLinks) update(change func(*connectivity.Domains) (restored bool)) (restored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return change(l.domains)
}

// changes returns the domains that are cut off, with the time of their last response, and ends the
// contexts of those that have been found so.
func (l *domainLinks) changes() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.domains.CutOff()
	for domain, ending := range l.cutOff {
		if _, cutOff := found[domain]; cutOff {
			ending.cancel()
			delete(l.cutOff, domain)
		}
	}
	return found
}

// applyCutOff makes the service act on which domains are cut off.
func (s *service) applyCutOff() {
	s.domains.applyMu.Lock()
	defer s.domains.applyMu.Unlock()
	if s.links.areLost() {
		s.domains.reset() // the host's own links are at fault
	}
	ownedAt := s.domains.changes()
	for domain, lastResponse := range ownedAt {
		ownedAt[domain] = lastResponse + keyspace.LeaseTerm // leases may have been renewed until then
	}
	if s.view != nil {
		s.view.setCutOff(ownedAt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetCutOff(s.now(), ownedAt)
	s.reserveForWaiting()
}

// cutOffGauge returns the number of failure domains that are cut off.
func (l *domainLinks) cutOffGauge() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.domains.CutOff()))
}

// noteDialed records the result of opening a connection.
func (g *Gateway) noteDialed(ctx context.Context, s *service, began time.Duration, address string, err error) {
	now, result := g.now(), connectivity.DialFailed
	switch {
	case err == nil:
		result = connectivity.DialAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		result = connectivity.DialRefused
	case errors.Is(err, context.Canceled), ctx.Err() != nil && now-began < minTimeoutEvidence:
		result = connectivity.DialCanceled
	}
	if s.domains.update(func(d *connectivity.Domains) bool { return d.Dialed(now, began, address, result) }) {
		g.noteDomainBack(s, address, "connection")
	}
	if result == connectivity.DialFailed {
		g.checkDomains(now, s, true)
	}
}

// noteDomainExchange records the end of a request that was sent to a server.
func (g *Gateway) noteDomainExchange(ctx context.Context, s *service, sent time.Duration, address string, answered bool, err error) {
	now, result := g.now(), connectivity.ExchangeReset
	switch {
	case answered:
		result = connectivity.ExchangeAnswered
	case ctx.Err() != nil, errors.Is(err, net.ErrClosed), errors.Is(err, errWrongRequest), errors.Is(err, errUnsigned), errors.Is(err, backendlink.ErrHeadTooLarge):
		result = connectivity.ExchangeEnded
	}
	if s.domains.update(func(d *connectivity.Domains) bool { return d.Ended(now, sent, address, result) }) {
		g.noteDomainBack(s, address, "answer")
	}
	if result == connectivity.ExchangeReset {
		g.checkDomains(now, s, true)
	}
}

// noteDomainCall records the end of a call about keys.
func (g *Gateway) noteDomainCall(ctx context.Context, s *service, address string, result *callResult) {
	var stale *adapter.StaleTokenError
	var other *adapter.WrongServerError
	now, took := g.now(), result.ended-result.began
	switch {
	case result.err == nil, errors.As(result.err, &stale), errors.As(result.err, &other), errors.Is(result.err, syscall.ECONNREFUSED):
		if s.domains.update(func(d *connectivity.Domains) bool { return d.Responded(now, address) }) {
			g.noteDomainBack(s, address, "call")
		}
	case ctx.Err() == nil:
		s.domains.update(func(d *connectivity.Domains) bool {
			d.Failed(now, now-took, address)
			return false
		})
		g.checkDomains(now, s, true)
	}
}

// noteDomainBack acts on a response from a domain that was cut off.
func (g *Gateway) noteDomainBack(s *service, address, response string) {
	var domain string
	var since time.Duration
	s.domains.update(func(d *connectivity.Domains) bool {
		domain, _ = d.DomainOf(address)
		since = d.CutOffSince(domain)
		return false
	})
	s.applyCutOff()
	g.log.Info("failure domain responds again", "service", s.name, "domain", domain, "response", response, "address", address, "cut-off-ms", (g.now() - since).Milliseconds())
}

// checkDomains starts a probe of a domain of a service's servers if one is due.
func (g *Gateway) checkDomains(now time.Duration, s *service, forced bool) {
	if s.links.areLost() {
		return
	}
	if domain, due := s.domains.startProbe(now, forced); due {
		go g.probeDomain(s, domain)
	}
}

// probeDomain probes servers of a domain until the domain is found to respond.
func (g *Gateway) probeDomain(s *service, domain string) {
	defer s.domains.update(func(d *connectivity.Domains) bool {
		d.StopProbe(domain)
		return false
	})
	for g.background.Err() == nil {
		began := g.now()
		probe := g.connectToDomain(s, domain, s.domains.probeSize(domain))
		g.metrics.domainProbes.Inc()
		now := g.now()
		var result connectivity.Result
		var evidence connectivity.DomainEvidence
		var lastResponse time.Duration
		s.domains.update(func(d *connectivity.Domains) bool {
			result, evidence = d.Probed(now, began, domain, probe.failed, probe.responded)
			lastResponse = d.CutOff()[domain]
			return false
		})
		switch result {
		case connectivity.Inconclusive:
			continue
		case connectivity.BecameLost:
			s.applyCutOff()
			g.log.Warn("failure domain is cut off from this host", "service", s.name, "domain", domain, "failed-servers", evidence.FailedServers,
				"silent-servers", evidence.SilentServers, "probed", len(probe.failed), "evidence-ms", (now - evidence.Since).Milliseconds(), "silent-ms", (now - lastResponse).Milliseconds())
			g.probeDomainOfOtherServices(domain, s)
		case connectivity.StillLost:
		default:
			g.endDomainProbe(s, domain, now, probe)
			return
		}
		clock.Sleep(g.background, connectivity.DomainProbeInterval)
		if !s.domains.isCutOff(domain) {
			s.applyCutOff() // its servers may have been removed
			return
		}
	}
}

// endDomainProbe handles a probe that did not find its domain cut off. If no domain responds, the
// links to all servers may be lost.
func (g *Gateway) endDomainProbe(s *service, domain string, now time.Duration, probe domainProbe) {
	if !probe.responded && !probe.othersResponded {
		if evidence, started := s.links.startProbe(now, true); started {
			go g.probeLinks(s, evidence)
		}
		return
	}
	if g.failureLogLimit.allow() {
		g.log.Info("failure domain responds", "service", s.name, "domain", domain, "failed", len(probe.failed), "responded", probe.responded)
	}
}

// probeDomainOfOtherServices probes a domain for all other services, because a domain is often cut off
// as a whole.
func (g *Gateway) probeDomainOfOtherServices(domain string, found *service) {
	for _, s := range g.allServices() {
		if s == found || s.links.areLost() {
			continue
		}
		if s.domains.update(func(d *connectivity.Domains) bool { return d.StartProbe(domain) }) {
			go g.probeDomain(s, domain)
		}
	}
}

// domainProbeTimeout bounds the probe of a domain; connections take about 1 ms.
const domainProbeTimeout = 200 * time.Millisecond

// domainProbe is the result of a probe of a domain.
type domainProbe struct {
	// failed holds the addresses of the servers of the domain that did not respond.
	failed []string
	// responded and othersResponded are set if any server of the domain, or of another one, did.
	responded, othersResponded bool
}

// connectToDomain opens connections to n servers of a domain and to one of each other domain. The
// connections are kept for later requests.
func (g *Gateway) connectToDomain(s *service, domain string, n int) domainProbe {
	ctx, cancel := context.WithTimeout(g.background, domainProbeTimeout)
	defer cancel()
	inside, outside := s.domainSample(domain, n)
	if s.domains.isCutOff(domain) {
		outside = nil // the comparison has been made; each connection costs a server time
	}
	var mu sync.Mutex
	var result domainProbe
	var connecting sync.WaitGroup
	connect := func(conns *backendlink.Pool, note func(responded bool)) {
		connecting.Go(func() {
			err := conns.Connect(ctx)
			mu.Lock()
			defer mu.Unlock()
			note(err == nil || errors.Is(err, syscall.ECONNREFUSED))
		})
	}
	for _, conns := range inside {
		connect(conns, func(responded bool) {
			result.responded = result.responded || responded
			if !responded {
				result.failed = append(result.failed, conns.Address())
			}
		})
	}
	for _, conns := range outside {
		connect(conns, func(responded bool) { result.othersResponded = result.othersResponded || responded })
	}
	connecting.Wait()
	return result
}

// domainSample returns the connection pools of up to n servers of a domain and of one server of each
// other domain.
func (s *service) domainSample(domain string, n int) (inside, outside []*backendlink.Pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in, out := s.pool.SampleForDomainProbe(domain, n)
	pools := func(servers []*balance.Server) (found []*backendlink.Pool) {
		for _, server := range servers {
			found = append(found, s.connPool(server))
		}
		return found
	}
	return pools(in), pools(out)
}

// takeRetryOnCutOff takes a retry for a request that waits for an answer from a domain that has been
// found cut off, and reports whether to abort it. Only the owner of its key may run a request with a
// key, so such a request waits on.
func (g *Gateway) takeRetryOnCutOff(req *request) bool {
	if req.key() != nil || !req.route.Idempotent || req.remainingBody != nil || req.sendCount >= req.route.MaxAttempts {
		return false
	}
	return req.service.takeRetry(req.route.Priority)
}
