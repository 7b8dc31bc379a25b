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
	"cicadarouter/keyspace"
	"cicadarouter/notice"
	"cicadarouter/poison"
)

// Paths between hosts.
const (
	pathLoad  = "/keys/load"
	pathYield = "/keys/yield"
	// pathPlaces asks for places at a server that names a limit.
	pathPlaces = "/servers/places"
	pathWatch  = "/store/watch"
	pathList   = "/store/list"
	// pathSource asks whether a host has the store's word.
	pathSource = "/store/source"
)

const (
	// peerTimeout bounds a call to another host.
	peerTimeout = 500 * time.Millisecond
	// mostPeerBody bounds a body between hosts, in bytes: a report has at most
	// one entry a key.
	mostPeerBody = 2 << 20
)

// loadReport tells a controller what was asked of keys since the host's last
// report, and how fast servers are.
type loadReport struct {
	Service string `json:"service"`
	Host    string `json:"host"`
	// Address is where other hosts reach the host, Domain its failure domain.
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Small   bool   `json:"small,omitempty"`
	// Asked is the slot time asked for, in microseconds, by key.
	Asked map[uint16]int64 `json:"asked"`
	// WorkMicros is how long one request holds a slot, in microseconds.
	WorkMicros int64                              `json:"workMicros"`
	Paces      map[fleet.Incarnation]balance.Pace `json:"paces,omitempty"`
	// Cases are the requests under which servers ended, as far as the controller has not
	// heard of them; KnownCases is up to which change the host has heard of the controller's.
	Cases      []poison.Case `json:"cases,omitempty"`
	KnownCases uint64        `json:"knownCases,omitempty"`
	// Limits are those that servers name, as far as the controller has not heard of them;
	// KnownLimits is up to which change the host has heard of the controller's.
	Limits      []limitTold `json:"limits,omitempty"`
	KnownLimits uint64      `json:"knownLimits,omitempty"`
	// Leaving tells which servers say that they leave; KnownLeaving is to it what
	// KnownLimits is to Limits.
	Leaving      []notice.Told[bool] `json:"leaving,omitempty"`
	KnownLeaving uint64              `json:"knownLeaving,omitempty"`
	// Resting are the service's servers that have asked the host for a long rest.
	Resting []fleet.Incarnation `json:"resting,omitempty"`
}

// loadAnswer tells a host that the controller lives.
type loadAnswer struct {
	Incarnation uint64 `json:"incarnation"`
	// Controls is set if the process is the service's controller.
	Controls bool `json:"controls"`
	// Claiming is set if the process has asked the store for control and has not read
	// the answer: the store may already name it.
	Claiming bool `json:"claiming,omitempty"`
	// StoreAgeMs is how long ago the store last confirmed it, in milliseconds.
	StoreAgeMs int64 `json:"storeAgeMs"`
	// Revisions tells at which revision each watched kind last changed.
	Revisions map[string]uint64 `json:"revisions"`
	// Shares tells of keys that ask for more than their owners can do which part of
	// it these can take on.
	Shares map[uint16]float64 `json:"shares,omitempty"`
	// Hosts is how many hosts there are; 0 if the controller does not know yet.
	Hosts int `json:"hosts,omitempty"`
	// Relays are the hosts to ask in the controller's place.
	Relays []string `json:"relays,omitempty"`
	// FollowRelays is set if there are so many hosts that all but the relays are to
	// follow those.
	FollowRelays bool `json:"followRelays,omitempty"`
	// Cases are the requests that every host is to know of, up to the change CasesUpTo.
	Cases     []poison.Case `json:"cases,omitempty"`
	CasesUpTo uint64        `json:"casesUpTo,omitempty"`
	// Limits are those that servers name, up to the change LimitsUpTo.
	Limits     []limitTold `json:"limits,omitempty"`
	LimitsUpTo uint64      `json:"limitsUpTo,omitempty"`
	// Leaving tells which servers say that they leave, up to the change LeavingUpTo.
	Leaving     []notice.Told[bool] `json:"leaving,omitempty"`
	LeavingUpTo uint64              `json:"leavingUpTo,omitempty"`
}

// yieldRequest asks a controller to stop for a successor's term.
type yieldRequest struct {
	Service string `json:"service"`
	Term    uint64 `json:"term"`
}

type yieldAnswer struct {
	Incarnation uint64 `json:"incarnation"`
	// Stopped is set if the process controls the service under no earlier term.
	Stopped bool `json:"stopped"`
}

func newPeerClient() *http.Client {
	dialer := net.Dialer{Timeout: peerTimeout}
	const idle = 4
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext,
		MaxIdleConnsPerHost: idle, IdleConnTimeout: 5 * time.Second, ReadBufferSize: 2048, WriteBufferSize: 2048}}
}

// peerStatusError reports an answer of another host that is not a success.
type peerStatusError struct {
	Host   string
	Status int
}

// Error implements error.
func (e *peerStatusError) Error() string {
	return fmt.Sprintf("host %s answered with status %d", e.Host, e.Status)
}

// askPeer makes a call to another host.
func (g *Gateway) askPeer(ctx context.Context, timeout time.Duration, address, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encoding a call to a host")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return eris.Wrap(err, "building a call to a host")
	}
	response, err := g.peers.Do(request)
	if err != nil {
		return eris.Wrap(err, "call to a host")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &peerStatusError{Host: address, Status: response.StatusCode}
	}
	return json.NewDecoder(io.LimitReader(response.Body, mostPeerBody)).Decode(into)
}

// reportEnded is the end of a report to a controller.
type reportEnded struct {
	controller  *controller
	to          keyspace.Controller
	casesUpTo   uint64 // up to which change of this host's ledger the report tells of it
	limitsUpTo  uint64 // likewise of limits
	leavingUpTo uint64
	answer      loadAnswer
	err         error
}

func (g *Gateway) sendReport(ctx context.Context, c *controller, to keyspace.Controller) {
	load := c.service.takeLoad()
	report := loadReport{Service: c.service.name, Host: g.identity.Host, Address: g.identity.Peers, Domain: g.identity.Domain,
		Small: g.identity.Small, Asked: map[uint16]int64{},
		WorkMicros: load.work.Microseconds(), Paces: load.paces, Resting: c.service.longRests()}
	for key, asked := range load.asked {
		report.Asked[key] = asked.Microseconds()
	}
	casesUpTo := g.tellCases(c, &report)
	limitsUpTo := g.tellLimits(c, &report)
	leavingUpTo := g.tellLeaving(c, &report)
	go func() {
		ended := &reportEnded{controller: c, to: to, casesUpTo: casesUpTo, limitsUpTo: limitsUpTo, leavingUpTo: leavingUpTo}
		ended.err = g.askPeer(ctx, peerTimeout, to.Address, pathLoad, report, &ended.answer)
		g.post(ctx, ended)
	}()
}

// apply implements event.
func (e *reportEnded) apply(g *Gateway, now time.Duration) {
	c := e.controller
	c.news.reporting = false
	switch {
	case e.err != nil:
		g.fresh.noteControllerFailure()
		g.log.Info("controller did not answer a report", "service", c.service.name, "controller", e.to.Host,
			"unheard-ms", (now - c.heard).Milliseconds(), "error", e.err.Error())
	case e.answer.Incarnation == e.to.Incarnation && e.answer.Claiming:
		g.log.Info("controller has not read yet that it is", "service", c.service.name, "controller", e.to.Host)
	case e.answer.Incarnation != e.to.Incarnation || !e.answer.Controls:
		g.log.Info("controller is gone: another process answers, or it gave up", "service", c.service.name, "controller", e.to.Host)
		c.heard = min(c.heard, now-silentAfter)
	case time.Duration(e.answer.StoreAgeMs)*time.Millisecond > storelessAfter:
		// It goes on renewing, but can't move keys. Whoever reaches the store can.
		c.heard = min(c.heard, now-silentAfter)
	default:
		c.heard = now
		g.reach.markAvailable() // what this host can't read in the store it hears from the controller
		g.sources.updateFromController(e.answer.Relays, e.answer.FollowRelays)
		c.service.setShares(e.answer.Shares)
		if e.to.Incarnation == c.heardOf { // else the next controller hears of everything
			g.hearCases(c, e)
			g.hearReportedLimits(c, e)
			g.hearReportedLeaving(c, e)
		}
		g.noteHosts(e.answer.Hosts)
		told := g.now()
		confirmed := told - time.Duration(e.answer.StoreAgeMs)*time.Millisecond
		vouch := confirmation{confirmedAt: confirmed, sender: e.to.Address, source: g.sources.upstream(e.to.Address), revisions: e.answer.Revisions}
		if behind := g.fresh.acceptConfirmation(told, vouch); len(behind) > 0 {
			g.sources.skip(vouch.source)
			g.log.Warn("watches were behind", "kinds", behind, "controller", e.to.Host, "source", vouch.source)
		}
	}
}

// yieldEnded is a predecessor's answer.
type yieldEnded struct {
	controller *controller
	machine    *keyspace.Machine
	asked      keyspace.Controller
	answer     yieldAnswer
	err        error
}

func (g *Gateway) startYield(ctx context.Context, c *controller, predecessor keyspace.Controller) {
	machine := c.machine
	request := yieldRequest{Service: c.service.name, Term: machine.Record().Term}
	go func() {
		ended := &yieldEnded{controller: c, machine: machine, asked: predecessor}
		ended.err = g.askPeer(ctx, peerTimeout, predecessor.Address, pathYield, request, &ended.answer)
		g.post(ctx, ended)
	}()
}

// apply implements event.
func (e *yieldEnded) apply(g *Gateway, now time.Duration) {
	c := e.controller
	if c.machine != e.machine || e.err != nil {
		return
	}
	if e.answer.Incarnation == e.asked.Incarnation && !e.answer.Stopped {
		return
	}
	g.log.Info("predecessor has stopped", "service", c.service.name, "predecessor", e.asked.Host, "restarted", e.answer.Incarnation != e.asked.Incarnation)
	c.machine.Stopped(now, e.asked)
}

// peerCall is a call of another host that the control loop answers.
type peerCall struct {
	load   *loadReport
	yield  *yieldRequest
	places *placesRequest
	answer chan any
}

// apply implements event.
func (p *peerCall) apply(g *Gateway, now time.Duration) {
	switch {
	case p.load != nil:
		p.answer <- g.takeReport(p.load, now)
	case p.places != nil:
		p.answer <- g.givePlaces(p.places, now)
	default:
		p.answer <- g.yieldTo(p.yield)
	}
}

func (g *Gateway) takeReport(report *loadReport, now time.Duration) loadAnswer {
	answer := loadAnswer{Incarnation: g.identity.Incarnation}
	c := g.control.services[report.Service]
	if c == nil || c.machine == nil {
		answer.Claiming = c != nil && c.claiming
		return answer
	}
	asked := make(map[uint16]time.Duration, len(report.Asked))
	for key, micros := range report.Asked {
		asked[key] = time.Duration(micros) * time.Microsecond
	}
	c.machine.Loads().Add(now, asked, time.Duration(report.WorkMicros)*time.Microsecond)
	c.service.learn(report.Paces)
	c.members.note(report.Host, member{address: report.Address, domain: report.Domain, small: report.Small, seen: now, resting: report.Resting})
	g.takeCases(report.Cases, report.Host)
	answer.Cases, answer.CasesUpTo = g.casesFor(report.KnownCases)
	g.hearLimits(report.Limits, report.Host)
	limits, upTo := g.limits.tell(g.now(), report.KnownLimits)
	answer.Limits, answer.LimitsUpTo = limitsTold(limits), upTo
	g.hearLeaving(report.Leaving, report.Host)
	answer.Leaving, answer.LeavingUpTo = g.leaving.tell(g.now(), report.KnownLeaving)
	answer.Relays = c.members.relaysFor(report.Host, report.Domain, now)
	answer.Hosts = g.hosts.count()
	answer.FollowRelays = len(c.members.hosts) > mostFollowers
	answer.Controls, answer.Shares = true, c.shares
	answer.Revisions = g.fresh.changeRevisions()
	answer.StoreAgeMs = c.machine.ConfirmedAge(now).Milliseconds()
	return answer
}

func (g *Gateway) yieldTo(request *yieldRequest) yieldAnswer {
	answer := yieldAnswer{Incarnation: g.identity.Incarnation}
	c := g.control.services[request.Service]
	if c != nil && c.machine != nil {
		if c.machine.Record().Term >= request.Term {
			return answer
		}
		g.stepDown(c, "a successor asked", "")
	}
	if c != nil {
		c.yielded = max(c.yielded, request.Term)
	}
	answer.Stopped = true
	return answer
}

// PeerHandler answers other hosts.
func (g *Gateway) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathLoad, func(w http.ResponseWriter, r *http.Request) {
		var report loadReport
		if g.readPeer(w, r, &report) {
			g.answerPeer(w, r, &peerCall{load: &report})
		}
	})
	mux.HandleFunc("POST "+pathYield, func(w http.ResponseWriter, r *http.Request) {
		var request yieldRequest
		if g.readPeer(w, r, &request) {
			g.answerPeer(w, r, &peerCall{yield: &request})
		}
	})
	mux.HandleFunc("POST "+pathPlaces, func(w http.ResponseWriter, r *http.Request) {
		var request placesRequest
		if g.readPeer(w, r, &request) {
			g.answerPeer(w, r, &peerCall{places: &request})
		}
	})
	mux.HandleFunc("POST "+pathWatch, g.handleWatch)
	mux.HandleFunc("POST "+pathList, g.handleList)
	mux.HandleFunc("POST "+pathSource, g.handleSource)
	return mux
}

func (g *Gateway) readPeer(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostPeerBody)).Decode(into)
	if err != nil {
		g.log.Warn("call of a host can't be read", "path", r.URL.Path, "error", err.Error())
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func (g *Gateway) answerPeer(w http.ResponseWriter, r *http.Request, call *peerCall) {
	call.answer = make(chan any, 1)
	if !g.control.events.Offer(call) {
		g.counts.crowdedOut.Inc()
		if g.callLines.take() {
			g.log.Warn("call of a host turned away: too many answers wait for the control loop", "path", r.URL.Path, "most", mostEvents)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case answer := <-call.answer:
		g.writePeer(w, r, answer)
	case <-r.Context().Done():
	}
}
