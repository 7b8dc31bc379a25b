package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cicadarouter/balance"
	"cicadarouter/fleet"
	"cicadarouter/internal/responsehead"
	"cicadarouter/keyspace"
	"cicadarouter/notice"
	"cicadarouter/poison"
)

// HTTP paths of calls between hosts.
const (
	pathLoad  = "/keys/load"
	pathYield = "/keys/yield"
	// pathReservations requests reservations at a rate-limited server.
	pathReservations = "/servers/places"
	pathWatch        = "/store/watch"
	pathList         = "/store/list"
	// pathSource asks a host whether its copy of the store's state is up to date.
	pathSource = "/store/source"
)

const (
	// peerTimeout bounds a call to another host.
	peerTimeout = 500 * time.Millisecond
	// maxPeerBody is the maximum size of a message between hosts, in bytes. A report has at
	// most one entry per key.
	maxPeerBody = 2 << 20
	// maxPeerHeadBytes is the maximum size of the head of a host's answer, in bytes.
	maxPeerHeadBytes = 16 << 10
)

// loadReport reports to a controller the load of keys since the host's last report, and what
// the host has learned about servers.
type loadReport struct {
	Service string `json:"service"`
	Host    string `json:"host"`
	// Address is the address for other hosts, Domain the host's failure domain.
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Small   bool   `json:"small,omitempty"`
	// Asked is the requested slot time by key, in microseconds.
	Asked map[uint16]int64 `json:"asked"`
	// AskedByPriority is the part of Asked for each priority that is more urgent than the service's
	// least urgent one, and Admission the demand for services without keys. Both are set only for
	// services that are divided by priority, Admission only to the coordinating controller. Hosts of
	// earlier versions send neither.
	AskedByPriority map[int]map[uint16]int64   `json:"askedByPriority,omitempty"`
	Admission       map[string]admissionReport `json:"admission,omitempty"`
	// WorkMicros is how long one request occupies a slot, in microseconds.
	WorkMicros int64                                      `json:"workMicros"`
	Paces      map[fleet.Incarnation]balance.ServiceTimes `json:"paces,omitempty"`
	// Cases are requests during which servers terminated, as far as the controller has not
	// received them; KnownCases is the last change of the controller's ledger that the host has
	// received.
	Cases      []poison.Case `json:"cases,omitempty"`
	KnownCases uint64        `json:"knownCases,omitempty"`
	// Limits are the rate limits that servers announced, as far as the controller has not
	// received them; KnownLimits is the last change of the controller's limits that the host
	// has received.
	Limits      []limitNotice `json:"limits,omitempty"`
	KnownLimits uint64        `json:"knownLimits,omitempty"`
	// Leaving lists which servers have announced their shutdown. KnownLeaving is to Leaving
	// what KnownLimits is to Limits.
	Leaving      []notice.PeerUpdate[bool] `json:"leaving,omitempty"`
	KnownLeaving uint64                    `json:"knownLeaving,omitempty"`
	// Resting are the service's servers that have asked the host for a long back-off.
	Resting []fleet.Incarnation `json:"resting,omitempty"`
	// Available is set if the host handles forwarded requests.
	Available bool `json:"available,omitempty"`
	// WithoutLinks are the services to whose servers the host has lost its links.
	WithoutLinks []string `json:"withoutLinks,omitempty"`
	// KnownPeers is the checksum of the peers that the host knows.
	KnownPeers uint64 `json:"knownPeers,omitempty"`
}

// loadAnswer answers a loadReport. It shows the host that the controller is alive.
type loadAnswer struct {
	Incarnation uint64 `json:"incarnation"`
	// Controls is set if the process is the service's controller.
	Controls bool `json:"controls"`
	// Claiming is set if the process has claimed the controller role but has not received the
	// store's answer yet: the store may already name it as the controller.
	Claiming bool `json:"claiming,omitempty"`
	// StoreAgeMs is the time since the store last confirmed the controller, in milliseconds.
	StoreAgeMs int64 `json:"storeAgeMs"`
	// Revisions holds the revision at which each watched kind last changed.
	Revisions map[string]uint64 `json:"revisions"`
	// AgesMs holds the age of the process's copy of each kind, in milliseconds. Hosts of earlier
	// versions don't send it.
	AgesMs map[string]int64 `json:"agesMs,omitempty"`
	// Shares holds, for keys whose load exceeds the capacity of their owners, the share of
	// requests that the owner can accept.
	Shares map[uint16]float64 `json:"shares,omitempty"`
	// Admission holds the fractions of the requests for services without keys to admit, if the
	// process is the coordinating controller. A service that is missing is not limited.
	Admission map[string][]classFraction `json:"admission,omitempty"`
	// OwnerShares and KeyShares hold, for a service that is divided by priority, the fractions of
	// the requests for the keys of overloaded servers and for overloaded keys. Hosts of earlier
	// versions know Shares only.
	OwnerShares map[string][]priorityFraction `json:"ownerShares,omitempty"`
	KeyShares   map[uint16][]priorityFraction `json:"keyShares,omitempty"`
	// Hosts is the number of hosts; 0 if the controller does not know it yet.
	Hosts int `json:"hosts,omitempty"`
	// Relays are the hosts to ask if the controller can't be reached.
	Relays []string `json:"relays,omitempty"`
	// FollowRelays is set if there are so many hosts that all hosts but the relays must follow
	// a relay.
	FollowRelays bool `json:"followRelays,omitempty"`
	// Cases are the requests that every host needs to know about, up to the change CasesUpTo.
	Cases     []poison.Case `json:"cases,omitempty"`
	CasesUpTo uint64        `json:"casesUpTo,omitempty"`
	// Limits are the rate limits that servers announced, up to the change LimitsUpTo.
	Limits     []limitNotice `json:"limits,omitempty"`
	LimitsUpTo uint64        `json:"limitsUpTo,omitempty"`
	// Leaving lists which servers have announced their shutdown, up to the change LeavingUpTo.
	Leaving     []notice.PeerUpdate[bool] `json:"leaving,omitempty"`
	LeavingUpTo uint64                    `json:"leavingUpTo,omitempty"`
	// Peers are the hosts to which the host may forward requests, if it does not know them.
	Peers *peerList `json:"peers,omitempty"`
}

// yieldRequest asks a controller to step down in favor of a successor with the given term.
type yieldRequest struct {
	Service string `json:"service"`
	Term    uint64 `json:"term"`
}

type yieldAnswer struct {
	Incarnation uint64 `json:"incarnation"`
	// Stopped is set if the process is not, or no longer, the controller of the service. It is
	// not set if the process is the controller under the requested or a later term.
	Stopped bool `json:"stopped"`
}

func newPeerClient() *http.Client {
	dialer := net.Dialer{Timeout: peerTimeout}
	const idle = 4
	return &http.Client{Transport: responsehead.Transport{RoundTripper: &http.Transport{DialContext: dialer.DialContext,
		MaxIdleConnsPerHost: idle, IdleConnTimeout: 5 * time.Second, ReadBufferSize: 2048, WriteBufferSize: 2048, MaxResponseHeaderBytes: maxPeerHeadBytes}}}
}

// peerStatusError reports that another host answered with a status other than 200.
type peerStatusError struct {
	Host   string
	Status int
}

// Error implements error.
func (e *peerStatusError) Error() string {
	return fmt.Sprintf("host %s answered with status %d", e.Host, e.Status)
}

// callPeer calls another host.
func (g *Gateway) callPeer(ctx context.Context, timeout time.Duration, address, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encoding a request to a host")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return eris.Wrap(err, "creating a request to a host")
	}
	response, err := g.peerClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "sending a request to a host")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &peerStatusError{Host: address, Status: response.StatusCode}
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxPeerBody)).Decode(into)
}

// reportResult is the result of a load report to a controller.
type reportResult struct {
	control     *serviceControl
	to          keyspace.Controller
	casesUpTo   uint64 // last change of this host's ledger that the report includes
	limitsUpTo  uint64 // likewise for limits
	leavingUpTo uint64
	answer      loadAnswer
	askedAt     time.Duration // when the report was sent
	err         error
}

func (g *Gateway) sendReport(ctx context.Context, c *serviceControl, to keyspace.Controller) {
	load := c.service.takeLoad()
	report := loadReport{Service: c.service.name, Host: g.identity.Host, Address: g.identity.PeerAddress, Domain: g.identity.Domain,
		Small: g.identity.Small, Asked: map[uint16]int64{},
		WorkMicros: load.meanSlotTime.Microseconds(), Paces: load.paces, Resting: c.service.longBackoffs(),
		Available: g.available(), WithoutLinks: g.servicesWithoutLinks(), KnownPeers: g.peers.checksum()}
	c.exchanges.reported, c.exchanges.reportedAvailable, c.exchanges.reportedWithoutLinks = true, report.Available, report.WithoutLinks
	for key, asked := range load.demand {
		report.Asked[key] = asked.Microseconds()
	}
	report.AskedByPriority = load.urgent.micros()
	g.addAdmission(c, &report)
	casesUpTo := g.addCases(c, &report)
	limitsUpTo := g.addLimitsToReport(c, &report)
	leavingUpTo := g.addLeavingToReport(c, &report)
	go func() {
		result := &reportResult{control: c, to: to, casesUpTo: casesUpTo, limitsUpTo: limitsUpTo, leavingUpTo: leavingUpTo, askedAt: g.now()}
		result.err = g.callPeer(ctx, peerTimeout, to.Address, pathLoad, report, &result.answer)
		g.postEvent(ctx, result)
	}()
}

// apply implements event.
func (e *reportResult) apply(g *Gateway, now time.Duration) {
	c := e.control
	c.exchanges.reportInFlight = false
	switch {
	case e.err != nil:
		g.freshness.noteControllerFailure()
		g.log.Info("controller did not answer a report", "service", c.service.name, "controller", e.to.Host,
			"unheard-ms", (now - c.answeredAt).Milliseconds(), "error", e.err.Error())
	case e.answer.Incarnation == e.to.Incarnation && e.answer.Claiming:
		g.log.Info("controller does not know yet that its claim was accepted", "service", c.service.name, "controller", e.to.Host)
	case e.answer.Incarnation != e.to.Incarnation || !e.answer.Controls:
		g.log.Info("controller is gone: another process answers, or it has stepped down", "service", c.service.name, "controller", e.to.Host)
		c.answeredAt = min(c.answeredAt, now-controllerTimeout)
	case time.Duration(e.answer.StoreAgeMs)*time.Millisecond > storeContactTimeout:
		// The controller still renews leases but can't move keys. A host that can reach the
		// store can.
		c.answeredAt = min(c.answeredAt, now-controllerTimeout)
	default:
		c.answeredAt = now
		g.markStoreAvailable(readHost, e.to.Address) // what this host can't read from the store, it gets from the controller
		g.sources.updateFromController(e.answer.Relays, e.answer.FollowRelays)
		c.service.setKeyShares(e.answer.Shares)
		g.applyAdmission(c, e)
		if e.answer.Peers != nil {
			g.peers.update(*e.answer.Peers)
		}
		if e.to.Incarnation == c.answeredBy { // a newer controller gets everything again
			g.mergeReportedCases(c, e)
			g.applyReportedLimits(c, e)
			g.applyReportedLeaving(c, e)
		}
		g.updateHostCount(e.answer.Hosts)
		confirmed := e.askedAt - time.Duration(e.answer.StoreAgeMs)*time.Millisecond
		received := confirmation{confirmedAt: confirmed, sender: e.to.Address, source: g.sources.upstream(e.to.Address), revisions: e.answer.Revisions,
			askedAt: e.askedAt, agesMs: e.answer.AgesMs}
		if behind := g.acceptConfirmation(g.now(), received); len(behind) > 0 {
			g.sources.skip(received.source)
			g.log.Warn("watches were behind", "kinds", behind, "controller", e.to.Host, "source", received.source)
		}
	}
}

// yieldResult is a predecessor's answer to a yieldRequest.
type yieldResult struct {
	control     *serviceControl
	machine     *keyspace.StateMachine
	predecessor keyspace.Controller
	answer      yieldAnswer
	err         error
}

func (g *Gateway) startYield(ctx context.Context, c *serviceControl, predecessor keyspace.Controller) {
	machine := c.machine
	request := yieldRequest{Service: c.service.name, Term: machine.Record().Term}
	go func() {
		result := &yieldResult{control: c, machine: machine, predecessor: predecessor}
		result.err = g.callPeer(ctx, peerTimeout, predecessor.Address, pathYield, request, &result.answer)
		g.postEvent(ctx, result)
	}()
}

// apply implements event.
func (e *yieldResult) apply(g *Gateway, now time.Duration) {
	c := e.control
	if c.machine != e.machine || e.err != nil {
		return
	}
	if e.answer.Incarnation == e.predecessor.Incarnation && !e.answer.Stopped {
		return
	}
	g.log.Info("predecessor has stopped", "service", c.service.name, "predecessor", e.predecessor.Host, "restarted", e.answer.Incarnation != e.predecessor.Incarnation)
	c.machine.PredecessorStopped(now, e.predecessor)
}

// peerRequest is a request by another host that the control loop answers.
type peerRequest struct {
	load        *loadReport
	yield       *yieldRequest
	reservation *reservationRequest
	answer      chan any
}

// apply implements event.
func (p *peerRequest) apply(g *Gateway, now time.Duration) {
	switch {
	case p.load != nil:
		p.answer <- g.handleReport(p.load, now)
	case p.reservation != nil:
		p.answer <- g.grantReservations(p.reservation, now)
	default:
		p.answer <- g.handleYield(p.yield)
	}
}

func (g *Gateway) handleReport(report *loadReport, now time.Duration) loadAnswer {
	answer := loadAnswer{Incarnation: g.identity.Incarnation}
	c := g.control.services[report.Service]
	if c == nil || c.machine == nil {
		answer.Claiming = c != nil && c.claimInFlight
		return answer
	}
	asked := make(map[uint16]time.Duration, len(report.Asked))
	for key, micros := range report.Asked {
		asked[key] = time.Duration(micros) * time.Microsecond
	}
	c.machine.Loads().Add(now, asked, time.Duration(report.WorkMicros)*time.Microsecond)
	c.addUrgent(now, asked, report.AskedByPriority)
	g.addReportedAdmission(c, report, now)
	c.service.mergePaces(report.Paces)
	c.members.add(report.Host, member{address: report.Address, domain: report.Domain, small: report.Small, lastSeen: now, resting: report.Resting, available: report.Available, withoutLinks: report.WithoutLinks})
	if g.updateForwardPeers(c, now) {
		answer.Peers = c.members.peersForReport(report)
	}
	g.mergeCases(report.Cases, report.Host)
	answer.Cases, answer.CasesUpTo = g.casesFor(report.KnownCases)
	g.applyLimitNotices(report.Limits, report.Host)
	limits, upTo := g.serverLimits.changesSince(g.now(), report.KnownLimits)
	answer.Limits, answer.LimitsUpTo = newLimitNotices(limits), upTo
	g.applyLeaving(report.Leaving, report.Host)
	answer.Leaving, answer.LeavingUpTo = g.leavingServers.changesSince(g.now(), report.KnownLeaving)
	answer.Relays = c.members.relaysFor(report.Host, report.Domain, now)
	answer.Hosts = g.hosts.value()
	answer.FollowRelays = len(c.members.hosts) > maxDirectFollowers
	answer.Controls, answer.Shares = true, c.shares
	c.division.addTo(&answer)
	answer.Revisions, answer.AgesMs = g.freshness.changeRevisions(), g.freshness.copyAges(g.now())
	answer.StoreAgeMs = c.machine.ConfirmedAge(now).Milliseconds()
	return answer
}

func (g *Gateway) handleYield(request *yieldRequest) yieldAnswer {
	answer := yieldAnswer{Incarnation: g.identity.Incarnation}
	c := g.control.services[request.Service]
	if c != nil && c.machine != nil {
		if c.machine.Record().Term >= request.Term {
			return answer
		}
		g.stepDown(c, "requested by a successor", "")
	}
	if c != nil {
		c.yieldedTerm = max(c.yieldedTerm, request.Term)
	}
	answer.Stopped = true
	return answer
}

// PeerHandler returns the handler for requests by other hosts.
func (g *Gateway) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathLoad, func(w http.ResponseWriter, r *http.Request) {
		var report loadReport
		if g.decodePeerRequest(w, r, &report) {
			g.serveInControlLoop(w, r, &peerRequest{load: &report})
		}
	})
	mux.HandleFunc("POST "+pathYield, func(w http.ResponseWriter, r *http.Request) {
		var request yieldRequest
		if g.decodePeerRequest(w, r, &request) {
			g.serveInControlLoop(w, r, &peerRequest{yield: &request})
		}
	})
	mux.HandleFunc("POST "+pathReservations, func(w http.ResponseWriter, r *http.Request) {
		var request reservationRequest
		if g.decodePeerRequest(w, r, &request) {
			g.serveInControlLoop(w, r, &peerRequest{reservation: &request})
		}
	})
	mux.HandleFunc("POST "+pathWatch, g.handleWatch)
	mux.HandleFunc("POST "+pathList, g.handleList)
	mux.HandleFunc("POST "+pathSource, g.handleSource)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerForward) != "" {
			g.serveForwarded(w, r) // on any path, since the path is the caller's
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (g *Gateway) decodePeerRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPeerBody)).Decode(into)
	if err != nil {
		g.log.Warn("can't decode a request by another host", "path", r.URL.Path, "error", err.Error())
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (g *Gateway) serveInControlLoop(w http.ResponseWriter, r *http.Request, call *peerRequest) {
	call.answer = make(chan any, 1)
	if !g.control.events.Offer(call) {
		g.metrics.hostCallsRejected.Inc()
		if g.callLogLimit.allow() {
			g.log.Warn("request by another host rejected: the control loop's event queue is full", "path", r.URL.Path, "most", maxQueuedEvents)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case answer := <-call.answer:
		g.writePeerResponse(w, r, answer)
	case <-r.Context().Done():
	}
}
