// Package balance decides, for one service, which backend server a request goes
// to, how long it may wait for one, and when it is turned away. It is pure:
// time comes in as an argument, and nothing blocks.
//
// Load pattern: more requests than slots, from many hosts that do not know each
// other's, towards servers of unequal speed that never answer what they cannot
// queue. A host therefore estimates each server's load from its own requests
// and from the load that the server last reported, discounted by age, and keeps
// its requests back while a server is believed to be full.
package balance

import (
	"math"
	"time"

	"cicadarouter/fleet"
)

// Load is what a server says of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how many times as long as usual work takes on the server's machine
	// at this moment; 0 if the server does not tell.
	Slowness float64
}

// Pace is what samples tell of a server's speed.
type Pace struct {
	Samples int `json:"n"`
	// Ratio is the mean of the server's service time over that of its service.
	Ratio float64 `json:"ratio"`
}

// Plus returns both paces' samples taken together.
func (p Pace) Plus(q Pace) Pace {
	n := p.Samples + q.Samples
	return Pace{Samples: n, Ratio: (p.Ratio*float64(p.Samples) + q.Ratio*float64(q.Samples)) / float64(n)}
}

// Weights and limits of the estimates.
const (
	// loadHalfLife is the age at which a reported load counts half, in service
	// times of the server: about the time in which it turns over its queue.
	loadHalfLife = 2.0
	// busyFactor holds while the host waits for an answer of the server: no
	// news of a full server is no good news.
	busyFactor = 2.0
	// stuckAfter is after how many service times without any answer a server
	// that has requests of this host gets no more.
	stuckAfter = 3
	// queueShare is how many requests may wait at a server for each of its
	// slots. Servers queue a few more than they have slots; what hosts send
	// without knowing of each other must fit above this.
	queueShare = 1.0
	// meanWeight is the weight of a new sample in smoothed times.
	meanWeight = 0.08
	// firstMean is the service time assumed before any was measured.
	firstMean = 100 * time.Millisecond
	// coldFactor is how much slower a server is right after its start.
	coldFactor = 2.0
	// crossDomain is the cost of another failure domain's server, as a share
	// of the service time. Traffic between domains is dear; a queue of more
	// than half a service time is dearer.
	crossDomain = 0.6
	// usualWeight is the weight of a new report in what is usual: some fifty
	// servers.
	usualWeight = 0.02
	// believedStalls is how many requests in a row must have waited in vain: one or
	// two are the chance of a server with few slots, and believing them turned
	// away 4 in 100 that could have been served.
	believedStalls = 3
	// stallHalfLife is the age at which a wait in vain counts half. The wait was as
	// long as the objective allows, so a host tries again within as long.
	stallHalfLife = time.Second
	// gapWeight is the weight of a new gap between completions.
	gapWeight = 0.3
	// spread is the cost of a server whose slots are all busy over one with free
	// slots, in service times: other hosts may be about to take them.
	spread = 0.4
	// tieBreak is the range of a random cost. Hosts that know equally little
	// would otherwise all begin with the same servers.
	tieBreak = 0.05
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.12
	// failureCost is how many service times a certain failure is worth. A
	// server that fails part of its requests is used less, not cut off: all
	// servers may fail alike.
	failureCost = 6.0
	// suspectFirst and suspectMost bound how long a server that could not be
	// reached, or that fell silent, is passed over.
	suspectFirst = 300 * time.Millisecond
	suspectMost  = 3 * time.Second
)

// Outcome is how an attempt at a server ended, as far as the estimates go.
type Outcome int

// The outcomes.
const (
	// Answered: the server gave a whole answer of success.
	Answered Outcome = iota
	// Failed: the server answered with a failure of its own, or with bytes
	// that are no answer.
	Failed
	// Refused: the server turned the request away without running it.
	Refused
	// Unreachable: no connection, or no answer in time.
	Unreachable
	// Abandoned: the caller left; it says nothing about the server.
	Abandoned
)

// Server is one backend server as a host sees it.
type Server struct {
	fleet.Server
	// near is set if the server is of the host's failure domain, nearAt its place in the
	// roster's list of those.
	near      bool
	nearAt    int
	inFlight  int
	others    float64 // load by other hosts at reportAt
	reportAt  time.Duration
	newsAt    time.Duration // the last answer, or the first request sent when none was under way
	ratio     float64       // its service time over the service's mean
	failures  float64
	coldPlace coldPlace
	// doubtUntil is until when the server is taken for cold since its process may have
	// started again, and toldColdUntil until when it said itself that it is cold.
	doubtUntil, toldColdUntil time.Duration
	limit                     limit
	rest                      rest
	leavingAt                 time.Duration // when the server was first seen draining
	// evacuatedAt is when its domain was first seen evacuated.
	evacuatedAt time.Duration
	suspect     time.Duration // passed over until
	strikes     int
	gap         time.Duration // smoothed time between this host's completions while others wait
	endedAt     time.Duration // the last completion
	crowded     bool          // requests waited for it at the last completion
	stalls      int           // requests that waited for it in vain since one was last placed
	stall       time.Duration // how long the last of them waited
	stalledAt   time.Duration // when that was given up
}

// newServer returns a server of which nothing is known but who it is.
func newServer(listed *fleet.Server) *Server {
	return &Server{Server: fleet.Server{ID: listed.ID, Start: listed.Start, Address: listed.Address}, ratio: 1}
}

// relist takes what the server's entry says now. Who it is stays as it is:
// requests under way read that without the pool's lock. So do its slots once it
// has told them itself.
func (s *Server) relist(now time.Duration, listed *fleet.Server) {
	if listed.Draining && !s.Draining {
		s.leavingAt = now
	}
	if listed.Evacuated && !s.Evacuated {
		s.evacuatedAt = now
	}
	s.Service, s.Domain, s.Draining, s.Evacuated, s.ColdUntil = listed.Service, listed.Domain, listed.Draining, listed.Evacuated, listed.ColdUntil
	if s.Slots == 0 {
		s.Slots = listed.Slots
	}
}

// cold reports whether the server is taken for cold.
func (s *Server) cold(now time.Duration) bool { return now < s.coldUntil() }

func (s *Server) coldUntil() time.Duration {
	return max(s.ColdUntil, s.doubtUntil, s.toldColdUntil)
}

// sameRun reports whether a listed server is this one, still running. One
// address is for one process.
func (s *Server) sameRun(listed *fleet.Server) bool {
	return s.Incarnation() == listed.Incarnation() && s.Address == listed.Address
}

// InFlight returns the host's own requests at the server.
func (s *Server) InFlight() int { return s.inFlight }

// estimate returns the requests believed to be at the server, from all hosts.
func (s *Server) estimate(now, mean time.Duration) float64 {
	return float64(s.inFlight) + s.others*s.fresh(now, mean)
}

// fresh is how much of the load last reported still counts, 1 at first.
func (s *Server) fresh(now, mean time.Duration) float64 {
	halfLife := loadHalfLife * float64(mean) * s.Ratio()
	if s.inFlight > 0 {
		halfLife *= busyFactor
	}
	return math.Exp2(-float64(now-s.reportAt) / halfLife)
}

// expected is estimate for the choice of a server: what is not known of others'
// requests is taken to be usual. Were a server without news taken for idle, it
// would be preferred to one that has just told that it has a free slot, and with
// more servers than a host meets each second that is nearly always one of them.
func (s *Server) expected(now, mean time.Duration, usual float64) float64 {
	if s.reportAt == 0 {
		return float64(s.inFlight) + usual*float64(s.Slots)
	}
	fresh := s.fresh(now, mean)
	return float64(s.inFlight) + s.others*fresh + usual*float64(s.Slots)*(1-fresh)
}

// room reports whether the server is believed to have space for one more. A
// server whose queue is full may never answer, and then tells no load either.
func (s *Server) room(now, mean time.Duration) bool {
	if !s.admits(now) {
		return false
	}
	if s.inFlight > 0 && now-s.newsAt > time.Duration(stuckAfter*s.ratio*float64(mean)) {
		return false
	}
	return s.estimate(now, mean)+1 <= float64(s.Slots)*(1+queueShare)
}

// leaveWithin is how long after a host has learned that a server leaves its
// keys' requests may still be sent to it, while they wait for another owner.
// Operators want none sent 2 s after the store knew; a host that the controller
// tells nothing learns of it by its own watch within 1.2 s, and the request has
// its way to go. A planned move takes 0.3 s.
const leaveWithin = 600 * time.Millisecond

// left reports a server that must not get requests for the keys it owns either.
func (p *Pool) left(now time.Duration, s *Server) bool {
	return s.Draining && now-s.leavingAt >= leaveWithin || s.Evacuated && now-s.evacuatedAt >= p.evacuateWithin
}

// silent reports a server that several attempts in a row could not reach.
func (s *Server) silent(now time.Duration) bool { return s.strikes > 1 && now < s.suspect }

// reachable reports whether the server is believed to be. One that could not be
// reached, or has rested, is tried with one request first.
func (s *Server) reachable(now time.Duration) bool {
	if (s.strikes > 0 || s.rest.trying) && s.inFlight > 0 {
		return false
	}
	return now >= s.suspect
}

// cost is the expected time of one more request, in service times of the
// service's mean server.
func (s *Server) cost(now, mean, work time.Duration, usual float64, domain string) float64 {
	ratio := s.ratio
	if s.cold(now) {
		ratio = max(ratio, coldFactor)
	}
	slots := float64(max(s.Slots, 1))
	estimate := s.expected(now, mean, usual)
	waiting := max(0, estimate+1-slots)
	own := float64(work) / float64(max(mean, 1))
	cost := ratio * (own + waiting/slots + spread*min(estimate/slots, 1))
	if s.Domain != domain {
		cost += crossDomain
	}
	return cost + failureCost*s.failures
}

// report takes the load that came with an answer.
func (s *Server) report(now time.Duration, load Load) {
	if load.Slots > 0 {
		s.Slots = load.Slots
	}
	s.others = max(0, float64(load.Running+load.Waiting-s.inFlight))
	s.reportAt = now
}

// settle takes the outcome of an attempt.
func (s *Server) settle(now time.Duration, outcome Outcome) {
	failed := 0.0
	switch outcome {
	case Abandoned, Refused:
		return
	case Failed, Unreachable:
		failed = 1
	}
	s.failures += failureWeight * (failed - s.failures)
	if outcome == Answered {
		s.answeredAfterRest(now)
	}
	if outcome != Unreachable {
		s.strikes = 0
		return
	}
	s.suspect = now + min(suspectFirst<<min(s.strikes, 8), suspectMost)
	s.strikes++
}

// learn takes samples of the server's speed.
func (s *Server) learn(pace Pace) {
	weight := 1 - math.Pow(1-meanWeight, float64(pace.Samples))
	s.ratio += weight * (pace.Ratio - s.ratio)
}

// paced takes a completion. While requests wait, the time since the one before
// tells this host's share of a server that other hosts use as well.
func (s *Server) paced(now time.Duration, waiting bool) {
	if s.crowded && s.endedAt > 0 {
		s.gap += time.Duration(gapWeight * float64(now-s.endedAt-s.gap))
	} else if s.gap == 0 || !waiting {
		s.gap = 0
	}
	s.endedAt, s.crowded = now, waiting
}

// gaveUp notes that a request waited for the server in vain.
func (s *Server) gaveUp(now, waited time.Duration) {
	s.stall, s.stalledAt = max(waited, s.stalled(now)), now
	s.stalls++
}

// stalled returns how long one more request would wait for the server, as far as
// those tell that waited in vain. Many hosts share the owner of a key that all
// callers ask for; each gets a place in seconds, and would otherwise learn that
// from one request at a time. It fades, so that a host tries again now and then.
func (s *Server) stalled(now time.Duration) time.Duration {
	if s.stalls < believedStalls {
		return 0
	}
	return time.Duration(float64(s.stall) * math.Exp2(-float64(now-s.stalledAt)/float64(stallHalfLife)))
}

// pace returns the expected time between two of this host's completions.
func (s *Server) pace(mean time.Duration) time.Duration {
	alone := time.Duration(float64(mean) * s.ratio / float64(max(s.Slots, 1)))
	return max(s.gap, alone)
}

// refused notes that a server had no room after all, whatever it was believed.
func (s *Server) refused(now time.Duration) {
	s.others = max(s.others, float64(s.Slots)*(1+queueShare))
	s.reportAt = now
}

// Ratio returns the server's service time over the mean of its service.
func (s *Server) Ratio() float64 { return max(s.ratio, 0.3) }
