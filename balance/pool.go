package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// Limits on waiting and on the retry delays given to rejected callers.
const (
	// givenUpSlack is added to a request's longest wait before the request is rejected.
	givenUpSlack = 50 * time.Millisecond
	// mostWaiting is the queue length from which on requests that would wait behind others are
	// rejected.
	mostWaiting = 512
	// leastShare is the fraction of the mean service time within which hardly any request
	// completes: about one in four if service times vary a lot (spread of 0.8), and none
	// if they vary little (0.3).
	leastShare = 0.4
	// leastRetryAfter and mostRetryAfter bound the retry delay given to a rejected caller.
	leastRetryAfter = 50 * time.Millisecond
	mostRetryAfter  = 2 * time.Second
	// ownerWait is how long a request waits for a key that is moving between owners when
	// the end of the move is not known. A planned move takes about as long as the requests
	// still running at the previous owner.
	ownerWait = 400 * time.Millisecond
)

// Pool holds the servers of one service, and the requests that wait for them, on one
// host. It is not safe for concurrent use.
type Pool struct {
	domain  string
	owner   Owner
	servers roster
	waiting []*Waiter
	// undecided is the buffer into which Pump copies the requests that keep waiting. It
	// is empty between calls.
	undecided []*Waiter
	mean      time.Duration
	kinds     map[time.Duration]*kind // by latency objective
	shares    map[uint16]*share       // by key
	random    *rand.Rand
	// usual is the smoothed load from other hosts, as a fraction of a server's slots.
	usual float64
	// gap is the smoothed time between two requests that were assigned a server while
	// others waited. crowdedAt is the time of the last such assignment, or 0.
	gap, crowdedAt time.Duration
	// evacuateWithin is how long an evacuated server may still receive requests for the
	// keys it owns, until the keys have moved to other owners.
	evacuateWithin time.Duration
	cold           coldLimit
	limits         map[fleet.Incarnation]float64 // limits announced by servers, in requests per second
	hosts          int                           // number of hosts that share the limits
	window         window                        // used by services without keys only
	restUntil      time.Duration                 // end of the last backoff that a server asked for
}

// NewPool returns an empty pool for a host in the given failure domain. owner is nil
// for a service without keys. Hosts must pass different seeds, so that they make
// different random choices.
func NewPool(domain string, owner Owner, seed uint64) *Pool {
	return &Pool{domain: domain, owner: owner, servers: roster{byID: map[string]*Server{}}, mean: firstMean, evacuateWithin: leaveWithin, kinds: map[time.Duration]*kind{}, shares: map[uint16]*share{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// Mean returns the smoothed time from sending a request to its answer, over all requests.
func (p *Pool) Mean() time.Duration { return p.mean }

// Waiting returns the length of the queue.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Servers returns the servers sorted by ID. The caller must not modify the slice.
func (p *Pool) Servers() []*Server { return p.servers.order }

// ChangeServers adds or updates the changed servers, and removes the servers whose IDs are
// in gone. IDs that the pool doesn't know are ignored.
func (p *Pool) ChangeServers(now time.Duration, changed []fleet.Server, gone []string) {
	for _, id := range gone {
		p.servers.remove(id)
	}
	for i := range changed {
		p.list(now, &changed[i])
	}
	p.Pump(now)
}

// list adds a server or updates it from its registry entry.
func (p *Pool) list(now time.Duration, entry *fleet.Server) {
	server := p.servers.byID[entry.ID]
	if server == nil || !server.sameRun(entry) {
		// Requests sent to an earlier incarnation ended with it. If they were still
		// counted, a server that has just restarted would look full or stuck.
		p.servers.remove(entry.ID)
		server = newServer(entry)
		p.servers.add(server)
	}
	server.relist(now, entry)
	p.servers.setNear(server, server.Domain == p.domain)
	p.noteCold(now, server)
	p.noteLimit(now, server)
}

// Lists reports whether the pool holds this very server, and not a later incarnation of it.
func (p *Pool) Lists(server *Server) bool { return p.servers.byID[server.ID] == server }

// Enter queues a request. It closes the waiter's Ready at once if the request can be
// assigned a server now, or if it is rejected.
func (p *Pool) Enter(now time.Duration, waiter *Waiter) {
	waiter.Entered, waiter.since = now, waiter.Arrived
	if known := p.of(waiter.Objective); known != nil {
		waiter.since -= known.waited(waiter.Patience)
		known.vote(waiter.Patience)
	}
	rejected := p.beyondRest(now, waiter)
	if rejected == nil {
		rejected = p.hopeless(now, waiter)
	}
	if rejected == nil && len(p.limits) > 0 {
		rejected = p.beyondLimit(now, waiter)
	}
	if rejected != nil {
		p.reject(waiter, rejected)
		return
	}
	p.waiting = append(p.waiting, waiter)
	p.Pump(now)
}

// Pump assigns servers to the queued requests, in order of their virtual deadlines, and
// rejects those that can no longer be answered in time.
func (p *Pool) Pump(now time.Duration) {
	if len(p.waiting) == 0 {
		return
	}
	slices.SortStableFunc(p.waiting, func(a, b *Waiter) int { return p.compare(now, a, b) })
	kept := p.undecided[:0]
	for _, waiter := range p.waiting {
		if !p.decide(now, waiter) {
			kept = append(kept, waiter)
		}
	}
	clear(p.waiting)
	p.undecided, p.waiting = p.waiting[:0], kept
}

// decide reports whether it assigned the request a server or rejected it.
func (p *Pool) decide(now time.Duration, waiter *Waiter) bool {
	if now+p.leastWork(waiter) >= waiter.Deadline {
		p.reject(waiter, &RejectedError{Reason: Expired, RetryAfter: leastRetryAfter, Expected: p.work(waiter.Objective)})
		return true
	}
	server := p.choose(now, waiter)
	if server == nil {
		return p.giveUpOnOwner(now, waiter) || p.giveUpOnNotices(now, waiter) || p.giveUp(now, waiter)
	}
	if server.inFlight == 0 {
		server.newsAt = now
	}
	server.inFlight++
	p.window.inFlight++
	server.stalls = 0
	p.takeColdPlace(now, server)
	p.takePlace(now, server)
	p.servers.used(server)
	p.placed(now)
	waiter.Server = server
	close(waiter.Ready)
	return true
}

// placed records that a request was assigned a server. While other requests wait, the
// time since the previous assignment measures this host's share of the service.
func (p *Pool) placed(now time.Duration) {
	if p.crowdedAt > 0 && len(p.waiting) > 1 {
		p.gap += time.Duration(gapWeight * float64(now-p.crowdedAt-p.gap))
	} else {
		p.gap = 0
	}
	p.crowdedAt = 0
	if len(p.waiting) > 1 {
		p.crowdedAt = now
	}
}

// leastWork returns the shortest time in which the request may complete. With less time
// left, the server would end it unanswered, so its caller is told while it still listens.
func (p *Pool) leastWork(waiter *Waiter) time.Duration {
	return time.Duration(leastShare * float64(p.work(waiter.Objective)))
}

// giveUpOnOwner rejects a request that has waited twice as long as a planned move takes
// while its key has no owner: the previous owner does not answer.
func (p *Pool) giveUpOnOwner(now time.Duration, waiter *Waiter) bool {
	if !waiter.Keyed || p.owner == nil {
		return false
	}
	id, ownedAt := p.owner.OwnerOf(waiter.Key)
	server := p.servers.byID[id]
	if server != nil && !p.left(now, server) || now-waiter.Arrived < 2*ownerWait {
		return false
	}
	expected := max(ownedAt-now, 0)
	p.reject(waiter, &RejectedError{Reason: NoOwner, RetryAfter: clampRetry(expected), Expected: expected})
	return true
}

// beyondNotices returns why the request can't be served in time because servers announced
// limits or asked this host to back off, or nil.
func (p *Pool) beyondNotices(now time.Duration, waiter *Waiter) *RejectedError {
	if rejected := p.beyondRest(now, waiter); rejected != nil {
		return rejected
	}
	if len(p.limits) == 0 {
		return nil
	}
	return p.beyondLimit(now, waiter)
}

// giveUpOnNotices rejects the request if limits or backoffs leave no time to serve it.
func (p *Pool) giveUpOnNotices(now time.Duration, waiter *Waiter) bool {
	rejected := p.beyondNotices(now, waiter)
	if rejected == nil {
		return false
	}
	p.reject(waiter, rejected)
	return true
}

// giveUp rejects a request that has waited too long to be answered within its objective, so
// that its caller can retry while there is still time.
func (p *Pool) giveUp(now time.Duration, waiter *Waiter) bool {
	if now-waiter.Entered < p.longest(waiter)+givenUpSlack {
		return false
	}
	if waiter.Keyed && p.owner != nil {
		id, _ := p.owner.OwnerOf(waiter.Key)
		if server := p.servers.byID[id]; server != nil {
			server.gaveUp(now, now-waiter.Entered)
		}
	}
	p.reject(waiter, &RejectedError{Reason: Overload, RetryAfter: clampRetry(p.work(waiter.Objective)), Expected: now - waiter.Entered})
	return true
}

// choose returns the server for a request, or nil if the request has to wait.
func (p *Pool) choose(now time.Duration, waiter *Waiter) *Server {
	if waiter.Keyed && p.owner != nil {
		id, _ := p.owner.OwnerOf(waiter.Key)
		server := p.servers.byID[id]
		if server == nil || p.left(now, server) || !p.room(now, server) {
			return nil
		}
		return server
	}
	if p.owner == nil && !p.window.open() {
		return nil
	}
	sample, all := p.servers.draw(p.random.IntN)
	if !all && p.preferred(now, waiter, sample) == untried {
		if server := p.cheapest(now, waiter, sample, untried); server != nil {
			return server
		}
	}
	candidates := p.servers.order
	return p.cheapest(now, waiter, candidates, p.preferred(now, waiter, candidates))
}

// room reports whether this host may send the server one more request.
func (p *Pool) room(now time.Duration, server *Server) bool {
	return p.roomBeforeLimit(now, server) && p.hasPlace(now, server)
}

// roomBeforeLimit is like room but ignores the limit that the server announced.
func (p *Pool) roomBeforeLimit(now time.Duration, server *Server) bool {
	return server.room(now, p.mean) && p.coldWait(now, server) == 0
}

// SetEvacuateWithin sets how long an evacuated server may still receive requests for the
// keys it owns, counted from when this host learned of the evacuation.
func (p *Pool) SetEvacuateWithin(within time.Duration) { p.evacuateWithin = within }

// preference ranks servers for a request, regardless of their load.
type preference int

// Preferences, best first.
const (
	untried preference = iota // the request has not been sent there
	tried
	passedOver // unreachable recently
	resting    // asked this host to back off
	unusable   // accepts no new requests
)

func (p *Pool) preference(now time.Duration, waiter *Waiter, server *Server) preference {
	switch {
	case server.Leaving():
		return unusable
	case server.RestLeft(now) > 0:
		return resting
	case !server.reachable(now):
		return passedOver
	case slices.Contains(waiter.Tried, server.ID):
		return tried
	}
	return untried
}

// preferred returns the best preference among the given servers. A request waits for a
// server of that preference even if servers of a worse one have room. In a failure domain
// that is cut off from the others, the unreachable servers are always idle. If they were
// chosen for their free slots, a request would use up its four attempts within
// milliseconds (346 requests failed that way in a partition of 6 s), although the domain's
// own servers are still working.
func (p *Pool) preferred(now time.Duration, waiter *Waiter, among []*Server) preference {
	best := unusable
	for _, server := range among {
		best = min(best, p.preference(now, waiter, server))
	}
	return best
}

// cheapest returns the server with room and the wanted preference that has the lowest
// cost, or nil. If a server that lacks only a permit under its limit would have been chosen,
// that is recorded in its limit, so that a permit is reserved for later requests.
func (p *Pool) cheapest(now time.Duration, waiter *Waiter, among []*Server, wanted preference) *Server {
	if wanted == unusable {
		return nil
	}
	var best, withoutPermit *Server
	least, leastWithoutPermit, work := 0.0, 0.0, p.work(waiter.Objective)
	for _, server := range among {
		if p.preference(now, waiter, server) != wanted || !p.roomBeforeLimit(now, server) {
			continue
		}
		cost := server.cost(now, p.mean, work, p.usual, p.domain) + tieBreak*p.random.Float64()
		switch {
		case p.hasPlace(now, server):
			if best == nil || cost < least {
				best, least = server, cost
			}
		case p.mayGetPlace(now, waiter, server):
			if withoutPermit == nil || cost < leastWithoutPermit {
				withoutPermit, leastWithoutPermit = server, cost
			}
		}
	}
	if withoutPermit != nil && (best == nil || leastWithoutPermit < least) {
		withoutPermit.limit.spare = true
	}
	return best
}

func (p *Pool) reject(waiter *Waiter, rejected *RejectedError) {
	waiter.Rejected = rejected
	close(waiter.Ready)
}

// Leave removes a request from the queue whose caller has gone or whose deadline has
// passed. It returns the server that the request has been assigned meanwhile, if any,
// which the caller must hand back with Done.
func (p *Pool) Leave(waiter *Waiter) *Server {
	if i := slices.Index(p.waiting, waiter); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	return waiter.Server
}

// End describes the outcome of one attempt to send a request to a server.
type End struct {
	Outcome Outcome
	// Took is the time from sending the request to its answer.
	Took time.Duration
	// Objective is the latency objective of the request.
	Objective time.Duration
	// Load is the load that the server reported with its answer, or nil.
	Load *Load
}

// Done hands a server back after an attempt. It returns the service time sample that the
// attempt yielded; its Samples is 0 if there is none.
func (p *Pool) Done(now time.Duration, server *Server, end End) Pace {
	// The answer of a server with a queue took long because of the queue, so it tells
	// nothing about the server's speed.
	queued := server.estimate(now, p.mean) > float64(server.Slots) || end.Load != nil && end.Load.Waiting > 0
	server.inFlight--
	p.window.inFlight--
	if end.Outcome != Abandoned && end.Outcome != Unreachable {
		server.newsAt = now
	}
	if end.Load != nil {
		server.report(now, *end.Load)
		p.window.report(*end.Load)
		p.usual += usualWeight * (server.others/float64(max(server.Slots, 1)) - p.usual)
	}
	if end.Outcome == Refused {
		server.refused(now)
	}
	server.settle(now, end.Outcome)
	var pace Pace
	if end.Outcome == Answered {
		pace = p.learn(server, end, queued)
	}
	server.paced(now, p.waits(server))
	p.Pump(now)
	return pace
}

// learn updates the service time estimates from an answer.
func (p *Pool) learn(server *Server, end End, queued bool) Pace {
	expected := p.work(end.Objective)
	p.mean += time.Duration(meanWeight * float64(end.Took-p.mean))
	if queued || expected <= 0 {
		return Pace{}
	}
	p.learnWork(end.Objective, end.Took)
	pace := Pace{Samples: 1, Ratio: min(max(float64(end.Took)/float64(expected), 0.2), 8)}
	server.learn(pace)
	return pace
}

// Learn merges service time samples that another host measured. Samples of an earlier
// incarnation are ignored.
func (p *Pool) Learn(incarnation fleet.Incarnation, pace Pace) {
	server := p.running(incarnation)
	if server != nil && pace.Samples > 0 {
		server.learn(pace)
	}
}

// running returns the server with this incarnation, or nil if it is not the current one.
func (p *Pool) running(incarnation fleet.Incarnation) *Server {
	server := p.servers.byID[incarnation.ID]
	if server == nil || server.Incarnation() != incarnation {
		return nil
	}
	return server
}

// waits reports whether the queue holds requests that the server could take.
func (p *Pool) waits(server *Server) bool {
	if p.owner == nil {
		return len(p.waiting) > 0
	}
	for _, waiter := range p.waiting {
		if id, _ := p.owner.OwnerOf(waiter.Key); id == server.ID {
			return true
		}
	}
	return false
}
