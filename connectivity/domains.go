package connectivity

import "time"

// Load pattern: 80 hosts and 228 servers in three failure domains; a host sends each server about
// one request in 10 s. When a domain is cut off for some seconds, hardly any server gets a second
// request of the same host in that time. Evidence is therefore put together by domain.

const (
	// minCutOffServers is the number of servers of a domain that must have failed to respond
	// before the domain is found cut off; all of them, if it has fewer.
	minCutOffServers = 3
	// slowDialAge is how long a connection must have been pending to count as evidence for a
	// probe. Connections take about 1 ms.
	slowDialAge = 150 * time.Millisecond
	// ProbedServers is the number of servers of a domain that a probe connects to, all of them if
	// there are fewer. While the domain is cut off CutOffProbedServers are enough: a single dead
	// server does not keep the domain cut off.
	ProbedServers       = 4
	CutOffProbedServers = 2
	// maxProbeTime is the longest that a probe may take to count. Callers end probes after less time;
	// one that took longer shows that this host was stalled.
	maxProbeTime = 350 * time.Millisecond
	// DomainProbeInterval is the interval of probes while a domain is cut off.
	DomainProbeInterval = 200 * time.Millisecond
)

// Domains tracks which failure domains this host can't reach although it reaches others. A domain
// that is found cut off stays so until one of its servers responds. If no domain responds, the
// host's own links may be lost, which is for Tracker to decide. Domains performs no I/O and is not
// safe for concurrent use.
type Domains struct {
	domains map[string]*domainState
	// domainOf holds the domain of each known server by address, and addressOf the address by ID.
	domainOf, addressOf map[string]string
}

// domainState is what is known of one failure domain.
type domainState struct {
	servers      int // number of known servers
	cutOff       bool
	cutOffSince  time.Duration
	probing      bool // a probe is in progress, or another one will follow
	lastResponse time.Duration
	// failed holds, by address, the attempts that failed since the last response.
	failed map[string]failedAttempt
	// dialing holds the servers to which connections are being opened, waiting those that owe
	// answers.
	dialing, waiting map[string]*pendingAnswers
	unconfirmed      bool // the last probe failed and is to be confirmed by another one
	// failures and silence are the pauses between probes for each kind of evidence.
	failures, silence probePause
	probed            *probePause // of the evidence for the current probe, or nil
}

// failedAttempt is a connection that was not accepted or was reset.
type failedAttempt struct{ began, ended time.Duration }

// NewDomains returns a tracker that knows no servers.
func NewDomains() *Domains {
	return &Domains{domains: map[string]*domainState{}, domainOf: map[string]string{}, addressOf: map[string]string{}}
}

// SetServer adds a server or updates its address and domain.
func (d *Domains) SetServer(id, address, domain string) {
	if old, known := d.addressOf[id]; known && old == address && d.domainOf[address] == domain {
		return
	}
	d.RemoveServer(id)
	if _, taken := d.domainOf[address]; taken {
		d.forgetAddress(address) // an earlier server at this address
	}
	state := d.domains[domain]
	if state == nil {
		state = &domainState{failed: map[string]failedAttempt{}, dialing: map[string]*pendingAnswers{}, waiting: map[string]*pendingAnswers{},
			failures: probePause{length: minRefutedPause}, silence: probePause{length: minRefutedPause}}
		d.domains[domain] = state
	}
	state.servers++
	d.addressOf[id], d.domainOf[address] = address, domain
}

// RemoveServer removes a server if it is known.
func (d *Domains) RemoveServer(id string) {
	address, known := d.addressOf[id]
	if !known {
		return
	}
	delete(d.addressOf, id)
	d.forgetAddress(address)
}

func (d *Domains) forgetAddress(address string) {
	state := d.state(address)
	if state == nil {
		return
	}
	delete(state.failed, address)
	delete(state.dialing, address)
	delete(state.waiting, address)
	if state.servers--; state.servers == 0 {
		delete(d.domains, d.domainOf[address])
	}
	delete(d.domainOf, address)
}

// state returns the state of the domain of the server with this address, or nil.
func (d *Domains) state(address string) *domainState { return d.domains[d.domainOf[address]] }

// DomainOf returns the domain of the server at an address.
func (d *Domains) DomainOf(address string) (domain string, known bool) {
	domain, known = d.domainOf[address]
	return domain, known
}

// IsCutOff reports whether a domain is cut off.
func (d *Domains) IsCutOff(domain string) bool {
	state := d.domains[domain]
	return state != nil && state.cutOff
}

// CutOff returns, by domain, when a server of each domain that is cut off last responded.
func (d *Domains) CutOff() map[string]time.Duration {
	found := map[string]time.Duration{}
	for name, state := range d.domains {
		if state.cutOff {
			found[name] = state.lastResponse
		}
	}
	return found
}

// CutOffSince returns when a domain was found cut off.
func (d *Domains) CutOffSince(domain string) time.Duration {
	if state := d.domains[domain]; state != nil {
		return state.cutOffSince
	}
	return 0
}

// DialResult is the result of opening a connection.
type DialResult int

// Results of opening connections.
const (
	DialAccepted DialResult = iota
	// DialRefused: no process listens at the address, but the path to the machine works.
	DialRefused
	// DialFailed: the connection timed out, or the address can't be reached.
	DialFailed
	// DialCanceled: the host gave up; this is no evidence.
	DialCanceled
)

// Dialing records that a connection to a server is being opened.
func (d *Domains) Dialing(now time.Duration, address string) {
	if state := d.state(address); state != nil {
		begin(state.dialing, now, address)
	}
}

// Dialed records the result of opening a connection, and reports whether it shows that a domain is
// no longer cut off.
func (d *Domains) Dialed(now, began time.Duration, address string, result DialResult) (restored bool) {
	state := d.state(address)
	if state == nil {
		return false
	}
	end(state.dialing, address)
	switch result {
	case DialAccepted, DialRefused:
		return state.responded(now)
	case DialFailed:
		state.failed[address] = failedAttempt{began: began, ended: now}
	}
	return false
}

// Sent records that a request was sent to a server.
func (d *Domains) Sent(now time.Duration, address string) {
	if state := d.state(address); state != nil {
		begin(state.waiting, now, address)
	}
}

// ExchangeResult is the end of a request that was sent to a server.
type ExchangeResult int

// Ends of requests.
const (
	ExchangeAnswered ExchangeResult = iota
	// ExchangeReset: the connection broke.
	ExchangeReset
	// ExchangeEnded: the host stopped waiting.
	ExchangeEnded
)

// Ended records the end of a request that was sent at the given time, and reports whether it shows
// that a domain is no longer cut off.
func (d *Domains) Ended(now, sent time.Duration, address string, result ExchangeResult) (restored bool) {
	state := d.state(address)
	if state == nil {
		return false
	}
	end(state.waiting, address)
	switch result {
	case ExchangeAnswered:
		return state.responded(now)
	case ExchangeReset:
		state.failed[address] = failedAttempt{began: sent, ended: now}
	}
	return false
}

func begin(pending map[string]*pendingAnswers, now time.Duration, address string) {
	if pending[address] == nil {
		pending[address] = &pendingAnswers{since: now}
	}
	pending[address].count++
}

func end(pending map[string]*pendingAnswers, address string) {
	if known := pending[address]; known != nil {
		if known.count--; known.count <= 0 {
			delete(pending, address)
		}
	}
}

// Failed records that a call that Dialed and Ended don't report got no response.
func (d *Domains) Failed(now, began time.Duration, address string) {
	if state := d.state(address); state != nil {
		state.failed[address] = failedAttempt{began: began, ended: now}
	}
}

// Responded records that a server has responded to a call that Dialed and Ended don't report, and
// reports whether this shows that a domain is no longer cut off.
func (d *Domains) Responded(now time.Duration, address string) (restored bool) {
	state := d.state(address)
	return state != nil && state.responded(now)
}

// responded records a response of any server of the domain. Earlier failures are then the fault of
// single servers.
func (s *domainState) responded(now time.Duration) (restored bool) {
	s.lastResponse, s.unconfirmed = max(s.lastResponse, now), false
	clear(s.failed)
	restored = s.cutOff
	s.cutOff = false
	return restored
}

// DomainEvidence describes why a domain is probed or was found cut off.
type DomainEvidence struct {
	// FailedServers is the number of servers that recently did not accept a connection or reset
	// one, SilentServers the number of other servers that owe answers.
	FailedServers, SilentServers int
	// Since is when the first of these attempts began.
	Since time.Duration
}

// servers returns the number of servers that the evidence is about.
func (e DomainEvidence) servers() int { return e.FailedServers + e.SilentServers }

// evidence returns the evidence since the last response of the domain.
func (s *domainState) evidence(now time.Duration) DomainEvidence {
	found := DomainEvidence{Since: now}
	counted := make(map[string]bool, len(s.failed))
	for address, attempt := range s.failed {
		if now-attempt.ended > failureWindow {
			delete(s.failed, address)
			continue
		}
		counted[address] = true
		found.Since = min(found.Since, attempt.began)
	}
	for address, since := range s.pendingFor(s.dialing, now, slowDialAge) {
		counted[address] = true
		found.Since = min(found.Since, since)
	}
	found.FailedServers = len(counted)
	for address, since := range s.pendingFor(s.waiting, now, silentServerAge) {
		if !counted[address] {
			found.SilentServers++
			found.Since = min(found.Since, since)
		}
	}
	return found
}

// pendingFor returns the servers that have been waited for, since the domain last responded, for at
// least the given time.
func (s *domainState) pendingFor(pending map[string]*pendingAnswers, now, least time.Duration) map[string]time.Duration {
	found := map[string]time.Duration{}
	for address, known := range pending {
		if since := max(known.since, s.lastResponse); now-since >= least {
			found[address] = since
		}
	}
	return found
}

// ProbeDue returns a domain that must be probed now, if there is one, and the evidence. The caller
// connects to a few random servers of the domain and to one of each other domain, reports each
// connection with Dialed, and then calls Probed.
func (d *Domains) ProbeDue(now time.Duration) (domain string, evidence DomainEvidence, due bool) {
	if len(d.domains) < 2 {
		return "", DomainEvidence{}, false // there is nothing to compare with
	}
	for name, state := range d.domains {
		if evidence, due := state.probeDue(now); due {
			state.probing = true
			return name, evidence, true
		}
	}
	return "", DomainEvidence{}, false
}

func (s *domainState) probeDue(now time.Duration) (DomainEvidence, bool) {
	if s.cutOff || s.probing || len(s.failed)+len(s.dialing)+len(s.waiting) == 0 {
		return DomainEvidence{}, false
	}
	s.probed = nil
	evidence := s.evidence(now)
	switch {
	case evidence.FailedServers >= min(minFailedServers, s.servers) && now >= s.failures.until:
		s.probed = &s.failures
	case s.silentFor(now) && evidence.SilentServers >= min(minSilentServers, s.servers) && now >= s.silence.until:
		s.probed = &s.silence
	}
	return evidence, s.probed != nil
}

func (s *domainState) silentFor(now time.Duration) bool {
	return now-s.lastResponse >= SilenceThreshold
}

// StartProbe reports whether a domain must be probed without evidence, because it is cut off for
// another service.
func (d *Domains) StartProbe(domain string) bool {
	state := d.domains[domain]
	if state == nil || len(d.domains) < 2 || state.cutOff || state.probing {
		return false
	}
	state.probing, state.probed = true, nil
	return true
}

// StopProbe ends a probe without a result, and the probes that follow while a domain is cut off.
func (d *Domains) StopProbe(domain string) {
	if state := d.domains[domain]; state != nil {
		state.probing = false
	}
}

// Probed records the end of a probe of a domain that began at the given time. failed holds the
// addresses of the servers of the domain that neither accepted nor refused a connection; responded
// is set if any of them did. A probe of new connections tells slow servers from a domain that is cut
// off: slow ones still accept connections. Another probe follows at once after Inconclusive, and
// after DomainProbeInterval while the domain is cut off.
func (d *Domains) Probed(now, began time.Duration, domain string, failed []string, responded bool) (Result, DomainEvidence) {
	state := d.domains[domain]
	if state == nil {
		return StillUp, DomainEvidence{}
	}
	responded = responded || state.lastResponse > began
	for _, address := range failed {
		if d.domainOf[address] == domain && !responded {
			state.failed[address] = failedAttempt{began: began, ended: now}
		}
	}
	evidence := state.evidence(now)
	othersResponded := d.otherResponded(domain, began) && now-began <= maxProbeTime
	result := state.judge(now, evidence, responded, othersResponded)
	state.unconfirmed, state.probing = result == Inconclusive, result != StillUp
	return result, evidence
}

// judge decides after a probe whether the domain is cut off. responded and othersResponded tell
// whether a server of this domain, or of another one, has responded since the probe began.
func (s *domainState) judge(now time.Duration, evidence DomainEvidence, responded, othersResponded bool) Result {
	switch {
	case s.cutOff:
		return StillLost
	case responded || evidence.servers() < min(minCutOffServers, s.servers):
		if s.probed != nil {
			s.probed.extend(now)
		}
		return StillUp
	case !othersResponded:
		return StillUp
	case !s.silentFor(now) && !s.unconfirmed:
		return Inconclusive
	case !s.silentFor(now):
		return StillUp
	}
	s.cutOff, s.cutOffSince = true, now
	return BecameLost
}

// otherResponded reports whether a server of another domain has responded since the given time.
func (d *Domains) otherResponded(domain string, since time.Duration) bool {
	for name, state := range d.domains {
		if name != domain && state.lastResponse >= since {
			return true
		}
	}
	return false
}

// Reset forgets all evidence and which domains are cut off, because the links to all servers have
// been lost or restored.
func (d *Domains) Reset() {
	for _, state := range d.domains {
		clear(state.failed)
		state.cutOff, state.unconfirmed = false, false // a probe in progress goes on
	}
}
