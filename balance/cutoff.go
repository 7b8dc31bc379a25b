package balance

import "time"

const (
	// minCutOffWait is the least time for which the keys of a domain that is cut off are
	// expected to stay without a reachable owner.
	minCutOffWait = 300 * time.Millisecond
	// cutOffReturnSpread is the span over which callers return that were rejected because of the
	// same domain, so that they don't return all at once.
	cutOffReturnSpread = 250 * time.Millisecond
)

// SetCutOff sets the failure domains that this host can't reach, and for each of them when the keys
// of its servers are expected to have other owners.
func (p *Pool) SetCutOff(now time.Duration, domains map[string]time.Duration) {
	before := p.cutOff
	p.cutOff = domains
	for _, server := range p.servers.sorted {
		if _, was := before[server.Domain]; was && !p.isCutOff(server) {
			server.forgetUnreachable() // the path was at fault
		}
	}
	p.Dispatch(now)
}

// isCutOff reports whether the server is in a failure domain that this host can't reach.
func (p *Pool) isCutOff(server *Server) bool {
	if len(p.cutOff) == 0 {
		return false
	}
	_, found := p.cutOff[server.Domain]
	return found
}

// rejectionForCutOff returns the rejection of a request for a key whose owner is in a failure domain
// that this host can't reach. The time is not bounded by maxRetryAfter: returning earlier is in vain.
func (p *Pool) rejectionForCutOff(now time.Duration, owner *Server) *RejectedError {
	expected := max(p.cutOff[owner.Domain]-now, minCutOffWait)
	spread := time.Duration(p.random.Float64() * float64(cutOffReturnSpread))
	return &RejectedError{Reason: NoOwner, RetryAfter: expected + spread, Expected: expected}
}

// SampleForDomainProbe returns up to n random servers of a failure domain, and a random one of each
// other domain.
func (p *Pool) SampleForDomainProbe(domain string, n int) (inside, outside []*Server) {
	seen, others := map[string]int{}, map[string]*Server{}
	for _, server := range p.servers.sorted {
		seen[server.Domain]++
		at := p.sampleRandom.IntN(seen[server.Domain])
		switch {
		case server.Domain != domain && at == 0:
			others[server.Domain] = server
		case server.Domain != domain:
		case len(inside) < n:
			inside = append(inside, server)
		case at < n:
			inside[at] = server
		}
	}
	for _, server := range others {
		outside = append(outside, server)
	}
	return inside, outside
}
