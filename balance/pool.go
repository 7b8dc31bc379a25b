package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// Limits of waiting.
const (
	// givenUpSlack is by how much a wait may exceed what was allowed for it.
	givenUpSlack = 50 * time.Millisecond
	// mostWaiting bounds the waiting requests of a service on one host.
	mostWaiting = 512
	// leastShare is the share of the mean work below which hardly a request
	// stays: one in four of a kind that varies much (spread 0.8), and none of
	// one that varies little (0.3).
	leastShare = 0.4
	// leastRetryAfter and mostRetryAfter bound what a rejected caller is told.
	leastRetryAfter = 50 * time.Millisecond
	mostRetryAfter  = 2 * time.Second
	// ownerWait is how long a request waits for a key between owners when the
	// time of its return is not known: a planned move takes about as long as
	// the requests that still run at the old owner.
	ownerWait = 400 * time.Millisecond
)

// Pool is a service's servers and waiting requests on one host. It is not safe
// for concurrent use.
type Pool struct {
	domain  string
	owner   Owner
	servers roster
	waiting []*Waiter
	// undecided is the other buffer of Pump, empty between its calls.
	undecided []*Waiter
	mean      time.Duration
	kinds     map[time.Duration]*kind // by objective
	shares    map[uint16]*share       // by key
	random    *rand.Rand
	// usual is the smoothed load by other hosts over a server's slots.
	usual float64
	// gap is the smoothed time between two requests that were given a server
	// while others waited; crowdedAt is when that last was.
	gap, crowdedAt time.Duration
	// evacuateWithin is how long the keys of an evacuated server may still be
	// served there, while they pass on.
	evacuateWithin time.Duration
	cold           coldLimit
	limits         map[fleet.Incarnation]float64 // that servers name, in requests a second
	hosts          int                           // among which limits are divided
	window         window                        // of a service without keys
	restUntil      time.Duration                 // when the last rest that a server asked for is over
}

// NewPool returns a pool for a host in a failure domain. owner is nil for a
// service without keys. Pools of different hosts are given different seeds.
func NewPool(domain string, owner Owner, seed uint64) *Pool {
	return &Pool{domain: domain, owner: owner, servers: roster{byID: map[string]*Server{}}, mean: firstMean, evacuateWithin: leaveWithin, kinds: map[time.Duration]*kind{}, shares: map[uint16]*share{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// Mean returns the smoothed service time.
func (p *Pool) Mean() time.Duration { return p.mean }

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Servers returns the servers in order of their IDs.
func (p *Pool) Servers() []*Server { return p.servers.order }

// ChangeServers takes servers that have come or changed, and the IDs of those that are gone,
// which may never have been the service's.
func (p *Pool) ChangeServers(now time.Duration, changed []fleet.Server, gone []string) {
	for _, id := range gone {
		p.servers.remove(id)
	}
	for i := range changed {
		p.list(now, &changed[i])
	}
	p.Pump(now)
}

// list takes what a server's entry says.
func (p *Pool) list(now time.Duration, listed *fleet.Server) {
	server := p.servers.byID[listed.ID]
	if server == nil || !server.sameRun(listed) {
		// Requests at an earlier incarnation ended with it. Were they counted
		// on, a server that has just started again would look full, or silent.
		p.servers.remove(listed.ID)
		server = newServer(listed)
		p.servers.add(server)
	}
	server.relist(now, listed)
	p.servers.setNear(server, server.Domain == p.domain)
	p.noteCold(now, server)
	p.noteLimit(now, server)
}

// Lists reports whether a server is one of the service's, and not an earlier run of it.
func (p *Pool) Lists(server *Server) bool { return p.servers.byID[server.ID] == server }

// Enter asks for a server. The waiter's Ready is closed at once if there is one
// or if the request is turned away.
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

// Pump gives servers to the waiting requests in their order, and turns away
// those that can't be answered in time any more.
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

// decide reports whether the waiter was given a server or turned away.
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

// placed notes that a request was given a server. While others wait, the time
// since the one before tells this host's share of the service.
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

// leastWork is the time that a request needs at the very least: a server that is
// given less ends it unanswered. Its caller is told while it still listens.
func (p *Pool) leastWork(waiter *Waiter) time.Duration {
	return time.Duration(leastShare * float64(p.work(waiter.Objective)))
}

// giveUpOnOwner turns a request away whose key is taking longer to find an
// owner than a planned move takes: its old owner does not answer.
func (p *Pool) giveUpOnOwner(now time.Duration, waiter *Waiter) bool {
	if !waiter.Keyed || p.owner == nil {
		return false
	}
	id, back := p.owner.OwnerOf(waiter.Key)
	server := p.servers.byID[id]
	if server != nil && !p.left(now, server) || now-waiter.Arrived < 2*ownerWait {
		return false
	}
	expected := max(back-now, 0)
	p.reject(waiter, &RejectedError{Reason: NoOwner, RetryAfter: clampRetry(expected), Expected: expected})
	return true
}

// beyondNotices returns why a request can't be served in time because of what servers ask of
// this host or of all hosts, or nil.
func (p *Pool) beyondNotices(now time.Duration, waiter *Waiter) *RejectedError {
	if rejected := p.beyondRest(now, waiter); rejected != nil {
		return rejected
	}
	if len(p.limits) == 0 {
		return nil
	}
	return p.beyondLimit(now, waiter)
}

// giveUpOnNotices turns a request away that what servers ask leaves no time for.
func (p *Pool) giveUpOnNotices(now time.Duration, waiter *Waiter) bool {
	rejected := p.beyondNotices(now, waiter)
	if rejected == nil {
		return false
	}
	p.reject(waiter, rejected)
	return true
}

// giveUp turns a request away that has waited longer than was expected when it
// came, so that its caller can come back while it still has time.
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

// choose returns the server for a request, or nil while it has to wait.
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
	drawn, all := p.servers.draw(p.random.IntN)
	if !all && p.preferred(now, waiter, drawn) == untried {
		if server := p.cheapest(now, waiter, drawn, untried); server != nil {
			return server
		}
	}
	every := p.servers.order
	return p.cheapest(now, waiter, every, p.preferred(now, waiter, every))
}

// room reports whether a server may get one more request of this host.
func (p *Pool) room(now time.Duration, server *Server) bool {
	return p.roomBeforeLimit(now, server) && p.hasPlace(now, server)
}

// roomBeforeLimit is room without regard to a limit that the server names.
func (p *Pool) roomBeforeLimit(now time.Duration, server *Server) bool {
	return server.room(now, p.mean) && p.coldWait(now, server) == 0
}

// SetEvacuateWithin sets how long the keys of an evacuated server may still be served
// there from when this host learned of it.
func (p *Pool) SetEvacuateWithin(within time.Duration) { p.evacuateWithin = within }

// preference is how good a choice a server is, whatever its load.
type preference int

// The preferences, best first.
const (
	untried preference = iota // has not had the request
	tried
	passedOver // could not be reached lately
	resting    // has asked this host for rest
	unusable   // takes nothing new
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

// preferred returns the best preference that any of some servers has. A request waits for
// a server of that preference, also if others have room now. In a failure domain
// that is cut off, the servers that can't be reached are always idle: with those
// preferred for their room, four tries of a few milliseconds ended 346 requests of
// one cut of 6 s, counted in the hosts' logs, while the domain's own servers went
// on serving others.
func (p *Pool) preferred(now time.Duration, waiter *Waiter, among []*Server) preference {
	best := unusable
	for _, server := range among {
		best = min(best, p.preference(now, waiter, server))
	}
	return best
}

// cheapest returns the one of some servers of a preference, with room, that costs least.
func (p *Pool) cheapest(now time.Duration, waiter *Waiter, among []*Server, wanted preference) *Server {
	if wanted == unusable {
		return nil
	}
	var best, unplaced *Server
	least, leastUnplaced, work := 0.0, 0.0, p.work(waiter.Objective)
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
			if unplaced == nil || cost < leastUnplaced {
				unplaced, leastUnplaced = server, cost
			}
		}
	}
	if unplaced != nil && (best == nil || leastUnplaced < least) {
		unplaced.limit.spare = true
	}
	return best
}

func (p *Pool) reject(waiter *Waiter, rejected *RejectedError) {
	waiter.Rejected = rejected
	close(waiter.Ready)
}

// Leave takes a waiter out whose caller has left or whose time is over. It
// returns the server that the waiter had been given meanwhile, which then must
// be given back with Done.
func (p *Pool) Leave(waiter *Waiter) *Server {
	if i := slices.Index(p.waiting, waiter); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	return waiter.Server
}

// End is how an attempt ended.
type End struct {
	Outcome Outcome
	// Took is the time from sending to the answer.
	Took time.Duration
	// Objective is that of the request.
	Objective time.Duration
	// Load is what the server reported, or nil.
	Load *Load
}

// Done gives a server back after an attempt. It returns what the attempt tells
// of its speed.
func (p *Pool) Done(now time.Duration, server *Server, end End) Pace {
	// A server that has requests waiting is full, not slow.
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

// learn takes the time of an answer.
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

// Learn takes what another host has measured of a server's speed. What was
// measured of an earlier incarnation says nothing of the later one.
func (p *Pool) Learn(incarnation fleet.Incarnation, pace Pace) {
	server := p.running(incarnation)
	if server != nil && pace.Samples > 0 {
		server.learn(pace)
	}
}

// running returns the server of an incarnation; nil if that is not the one listed.
func (p *Pool) running(incarnation fleet.Incarnation) *Server {
	server := p.servers.byID[incarnation.ID]
	if server == nil || server.Incarnation() != incarnation {
		return nil
	}
	return server
}

// waits reports whether requests wait that the server could take.
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
