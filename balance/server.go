// Package balance decides for one service which backend server a request is sent to, how
// long the request may wait for a server, and when it is rejected. The package has no clock
// and does not block: the caller passes the current time to each call.
//
// Load pattern: many hosts, which don't know about each other's requests, send more requests
// than there are slots to servers of different speeds. The servers never answer requests that
// don't fit into their queues. Each host therefore estimates each server's load from its own
// requests and from the load that the server last reported, discounted by age, and keeps its
// requests back while it believes that the server is full.
package balance

import (
	"math"
	"time"

	"cicadarouter/fleet"
)

// Load is the load that a server reports with an answer.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how many times longer than usual work currently takes on the server's
	// machine; 0 if the server does not report it.
	Slowness float64
}

// ServiceTimes sums up samples of a server's service time.
type ServiceTimes struct {
	Count int `json:"n"`
	// Ratio is the mean of the server's service time divided by that of its service.
	Ratio float64 `json:"ratio"`
}

// Merge returns the samples of both sets. At least one of them must not be empty.
func (p ServiceTimes) Merge(q ServiceTimes) ServiceTimes {
	n := p.Count + q.Count
	return ServiceTimes{Count: n, Ratio: (p.Ratio*float64(p.Count) + q.Ratio*float64(q.Count)) / float64(n)}
}

// Parameters of the estimates.
const (
	// loadHalfLife is the age at which a reported load counts half, in service times of the
	// server: about the time in which the server works through its queue.
	loadHalfLife = 2.0
	// busyHalfLifeFactor multiplies the half-life while this host waits for an answer of the
	// server: a full server that stays silent is probably still full.
	busyHalfLifeFactor = 2.0
	// stuckAfterServiceTimes is the number of service times without any answer after which a server
	// that has requests of this host gets no more.
	stuckAfterServiceTimes = 3
	// maxQueuePerSlot is how many requests may queue at a server for each of its slots. Servers
	// can queue a few more requests than they have slots; the requests that hosts send
	// without knowing of each other must fit into the rest of the queue.
	maxQueuePerSlot = 1.0
	// serviceTimeWeight is the weight of a new sample in the smoothed times.
	serviceTimeWeight = 0.08
	// initialServiceTime is the service time assumed until one has been measured.
	initialServiceTime = 100 * time.Millisecond
	// coldFactor is how many times slower a server is right after its start.
	coldFactor = 2.0
	// crossDomainCost is the cost of using a server in another failure domain, in service times.
	// Traffic between domains is expensive, but waiting in a queue for longer than about half
	// a service time is worse.
	crossDomainCost = 0.6
	// typicalLoadWeight is the weight of a new load report in the smoothed load of all servers; the
	// average covers about fifty reports.
	typicalLoadWeight = 0.02
	// minFailedWaits is the number of consecutive requests that must have waited for a server
	// in vain before the waiting time is believed. One or two occur by chance at a server with
	// few slots; believing those rejected 4 % of requests that could have been served.
	minFailedWaits = 3
	// failedWaitHalfLife is the age at which an unsuccessful wait counts half. Such a wait lasts
	// as long as the objective allows, so a host tries again after about as long.
	failedWaitHalfLife = time.Second
	// intervalWeight is the weight of a new sample in smoothed intervals.
	intervalWeight = 0.3
	// busyCost is the extra cost of a server whose slots are all busy, in service times: other
	// hosts may be about to use slots that look free.
	busyCost = 0.4
	// tieBreakRange is the range of the random part of the cost. Without it, hosts that know
	// equally little would all start with the same servers.
	tieBreakRange = 0.05
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.12
	// failureCost is the cost of a failure rate of 1, in service times. A server that fails
	// some of its requests is used less but not excluded, since all servers may fail alike.
	failureCost = 6.0
	// minSuspectTime and maxSuspectTime bound how long a server that could not be reached, or did
	// not answer, is avoided.
	minSuspectTime = 300 * time.Millisecond
	maxSuspectTime = 3 * time.Second
)

// Outcome tells how an attempt at a server ended, as far as it matters for the estimates.
type Outcome int

// Outcomes.
const (
	// Answered: the server answered completely and with success.
	Answered Outcome = iota
	// Failed: the server answered with an error of its own or with something that is not a
	// valid response.
	Failed
	// Refused: the server rejected the request without running it.
	Refused
	// Unreachable: no connection, no answer in time, or the request was misdirected.
	Unreachable
	// Abandoned: the caller left; this says nothing about the server.
	Abandoned
)

// Server is a backend server as seen by this host.
type Server struct {
	fleet.Server
	// local is set if the server is in the host's failure domain; localIndex is then its index
	// in the serverSet's list of those servers.
	local            bool
	localIndex       int
	inFlight         int
	otherLoad        float64 // load from other hosts at loadReportedAt
	loadReportedAt   time.Duration
	lastAnswerAt     time.Duration // time of the last answer, or of the first request sent while none was in flight
	serviceTimeRatio float64       // service time divided by the service's mean
	failureRate      float64
	coldBucket       coldBucket
	// assumedColdUntil is set while the server is assumed to be cold because it may have
	// restarted. reportedColdUntil is the time until which the server itself said it is cold.
	assumedColdUntil, reportedColdUntil time.Duration
	limit                               serverLimit
	backoff                             backoff
	drainingSince                       time.Duration // when the server was first seen draining
	// evacuatedSince is when the server was first seen evacuated.
	evacuatedSince     time.Duration
	suspectUntil       time.Duration // the server is avoided until then
	unreached          int           // attempts that could not reach the server since it last ran a request
	completionInterval time.Duration // smoothed interval between this host's completions while requests wait
	lastCompletionAt   time.Duration // time of the last completion
	queuedAtCompletion bool          // whether requests waited for the server at the last completion
	failedWaits        int           // requests that waited for the server in vain since one was last assigned to it
	failedWait         time.Duration // how long the last of them waited, or the estimate before it if that was longer
	failedWaitAt       time.Duration // when the last of them was rejected
}

// newServer returns a server with the identity of the entry and nothing else known.
func newServer(entry *fleet.Server) *Server {
	return &Server{Server: fleet.Server{ID: entry.ID, Start: entry.Start, Address: entry.Address}, serviceTimeRatio: 1}
}

// update refreshes the server from its registry entry. The identity never changes, since
// requests in flight read it without the pool's lock. The slots are taken from the entry only
// while they are not known; load reports change them later.
func (s *Server) update(now time.Duration, entry *fleet.Server) {
	if entry.Draining && !s.Draining {
		s.drainingSince = now
	}
	if entry.Evacuated && !s.Evacuated {
		s.evacuatedSince = now
	}
	s.Service, s.Domain, s.Draining, s.Evacuated, s.ColdUntil = entry.Service, entry.Domain, entry.Draining, entry.Evacuated, entry.ColdUntil
	if s.Slots == 0 {
		s.Slots = entry.Slots
	}
}

// cold reports whether the server is, or is assumed to be, cold.
func (s *Server) cold(now time.Duration) bool { return now < s.coldUntil() }

func (s *Server) coldUntil() time.Duration {
	return max(s.ColdUntil, s.assumedColdUntil, s.reportedColdUntil)
}

// sameProcess reports whether the registry entry is for the same process as s. An address is
// used by one process only.
func (s *Server) sameProcess(entry *fleet.Server) bool {
	return s.Incarnation() == entry.Incarnation() && s.Address == entry.Address
}

// InFlight returns the number of this host's requests in flight at the server.
func (s *Server) InFlight() int { return s.inFlight }

// estimatedLoad returns the estimated number of requests from all hosts at the server.
func (s *Server) estimatedLoad(now, mean time.Duration) float64 {
	return float64(s.inFlight) + s.otherLoad*s.loadWeight(now, mean)
}

// loadWeight returns the weight of the last reported load, which decays from 1.
func (s *Server) loadWeight(now, mean time.Duration) float64 {
	halfLife := loadHalfLife * float64(mean) * s.ServiceTimeRatio()
	if s.inFlight > 0 {
		halfLife *= busyHalfLifeFactor
	}
	return math.Exp2(-float64(now-s.loadReportedAt) / halfLife)
}

// expectedLoad is like estimatedLoad, for choosing a server: where the load from other hosts is not
// known, it assumes the usual load. If a server without recent reports were taken for idle, it
// would be preferred to one that just reported a free slot; with more servers than a host uses
// each second, there would nearly always be such a server.
func (s *Server) expectedLoad(now, mean time.Duration, usual float64) float64 {
	if s.loadReportedAt == 0 {
		return float64(s.inFlight) + usual*float64(s.Slots)
	}
	fresh := s.loadWeight(now, mean)
	return float64(s.inFlight) + s.otherLoad*fresh + usual*float64(s.Slots)*(1-fresh)
}

// hasRoom reports whether the server is believed to have room for one more request. A server
// whose queue is full may never answer, and then reports no load either.
func (s *Server) hasRoom(now, mean time.Duration) bool {
	if !s.admits(now) {
		return false
	}
	if s.inFlight > 0 && now-s.lastAnswerAt > time.Duration(stuckAfterServiceTimes*s.serviceTimeRatio*float64(mean)) {
		return false
	}
	return s.estimatedLoad(now, mean)+1 <= float64(s.Slots)*(1+maxQueuePerSlot)
}

// drainGrace is how long after this host learned that a server is draining it may still send
// it requests for its keys, while they move to another owner. Operators require that no request
// is sent later than 2 s after the store knew. A host that the controller doesn't notify learns
// of it through its own watch within 1.2 s, and the request takes time to arrive. A planned
// move takes 0.3 s.
const drainGrace = 600 * time.Millisecond

// closedToOwnedKeys reports whether the server must no longer get requests even for the keys it
// owns.
func (p *Pool) closedToOwnedKeys(now time.Duration, s *Server) bool {
	return s.Draining && now-s.drainingSince >= drainGrace || s.Evacuated && now-s.evacuatedSince >= p.evacuationGrace
}

// unreachable reports whether at least two attempts could not reach the server since it last ran
// a request, the last of them recently.
func (s *Server) unreachable(now time.Duration) bool { return s.unreached > 1 && now < s.suspectUntil }

// reachable reports whether the server may be used: it is not currently avoided and, after
// being unreachable or after a backoff, has no other request of this host in flight.
func (s *Server) reachable(now time.Duration) bool {
	if (s.unreached > 0 || s.backoff.probing) && s.inFlight > 0 {
		return false
	}
	return now >= s.suspectUntil
}

// cost returns the expected time of one more request, in mean service times of the service.
func (s *Server) cost(now, mean, work time.Duration, usual float64, domain string) float64 {
	ratio := s.serviceTimeRatio
	if s.cold(now) {
		ratio = max(ratio, coldFactor)
	}
	slots := float64(max(s.Slots, 1))
	estimate := s.expectedLoad(now, mean, usual)
	waiting := max(0, estimate+1-slots)
	own := float64(work) / float64(max(mean, 1))
	cost := ratio * (own + waiting/slots + busyCost*min(estimate/slots, 1))
	if s.Domain != domain {
		cost += crossDomainCost
	}
	return cost + failureCost*s.failureRate
}

// recordLoad records the load that came with an answer.
func (s *Server) recordLoad(now time.Duration, load Load) {
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
	s.otherLoad = max(0, float64(load.Running+load.Waiting-s.inFlight))
	s.loadReportedAt = now
}

// recordOutcome records the outcome of an attempt.
func (s *Server) recordOutcome(now time.Duration, outcome Outcome) {
	failed := 0.0
	switch outcome {
	case Abandoned, Refused:
		return
	case Failed, Unreachable:
		failed = 1
	}
	s.failureRate += failureWeight * (failed - s.failureRate)
	if outcome == Answered {
		s.endProbing(now)
	}
	if outcome != Unreachable {
		s.unreached = 0
		return
	}
	s.suspectUntil = now + min(minSuspectTime<<min(s.unreached, 8), maxSuspectTime)
	s.unreached++
}

// forgetUnreachable withdraws what failed connections have said about the server.
func (s *Server) forgetUnreachable() {
	if s.unreached == 0 {
		return
	}
	s.unreached, s.suspectUntil, s.failureRate = 0, 0, 0
}

// addServiceTimes merges samples of the server's service time.
func (s *Server) addServiceTimes(samples ServiceTimes) {
	weight := 1 - math.Pow(1-serviceTimeWeight, float64(samples.Count))
	s.serviceTimeRatio += weight * (samples.Ratio - s.serviceTimeRatio)
}

// recordCompletion records a completion. While requests wait, the interval between completions
// measures this host's share of a server that other hosts use as well.
func (s *Server) recordCompletion(now time.Duration, waiting bool) {
	if s.queuedAtCompletion && s.lastCompletionAt > 0 {
		s.completionInterval += time.Duration(intervalWeight * float64(now-s.lastCompletionAt-s.completionInterval))
	} else if s.completionInterval == 0 || !waiting {
		s.completionInterval = 0
	}
	s.lastCompletionAt, s.queuedAtCompletion = now, waiting
}

// recordFailedWait records that a request waited for the server in vain.
func (s *Server) recordFailedWait(now, waited time.Duration) {
	s.failedWait, s.failedWaitAt = max(waited, s.expectedFailedWait(now)), now
	s.failedWaits++
}

// expectedFailedWait estimates how long one more request would wait for the server, from those that
// waited in vain. If all callers use the same key, many hosts share its owner and each gets a
// slot every few seconds; without the estimate, each request would have to find that out by
// waiting. The estimate decays, so that a host tries again now and then.
func (s *Server) expectedFailedWait(now time.Duration) time.Duration {
	if s.failedWaits < minFailedWaits {
		return 0
	}
	return time.Duration(float64(s.failedWait) * math.Exp2(-float64(now-s.failedWaitAt)/float64(failedWaitHalfLife)))
}

// expectedInterval returns the expected interval between this host's completions at the server.
func (s *Server) expectedInterval(mean time.Duration) time.Duration {
	alone := time.Duration(float64(mean) * s.serviceTimeRatio / float64(max(s.Slots, 1)))
	return max(s.completionInterval, alone)
}

// recordRefusal records that the server rejected a request: its queue counts as full.
func (s *Server) recordRefusal(now time.Duration) {
	s.otherLoad = max(s.otherLoad, float64(s.Slots)*(1+maxQueuePerSlot))
	s.loadReportedAt = now
}

// ServiceTimeRatio returns the server's service time divided by the mean of its service, at least
// 0.3.
func (s *Server) ServiceTimeRatio() float64 { return max(s.serviceTimeRatio, 0.3) }
