package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// Limits of waiting.
const (
	// priorityStep is the head start of a rank over the next, in time of
	// arrival. It bounds how long a less urgent request stands behind later
	// ones: no kind of request is starved.
	priorityStep = 80 * time.Millisecond
	// waitShare is the share of a caller's patience that may be spent waiting
	// for a server: a caller that is turned away then still has time to return.
	waitShare = 0.35
	// givenUpSlack is by how much a wait may exceed what its objective allows.
	givenUpSlack = 50 * time.Millisecond
	// mostWaiting bounds the waiting requests of a service on one host.
	mostWaiting = 512
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
	servers map[string]*Server
	order   []*Server
	waiting []*Waiter
	mean    time.Duration
	random  *rand.Rand
}

// NewPool returns a pool for a host in a failure domain. owner is nil for a
// service without keys. Pools of different hosts are given different seeds.
func NewPool(domain string, owner Owner, seed uint64) *Pool {
	return &Pool{domain: domain, owner: owner, servers: map[string]*Server{}, mean: firstMean, random: rand.New(rand.NewPCG(seed, 0))}
}

// Mean returns the smoothed service time.
func (p *Pool) Mean() time.Duration { return p.mean }

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// Servers returns the servers in order of their IDs.
func (p *Pool) Servers() []*Server { return p.order }

// SetServers takes the service's servers, in order of their IDs.
func (p *Pool) SetServers(now time.Duration, servers []fleet.Server) {
	present := make(map[string]bool, len(servers))
	p.order = p.order[:0]
	for _, listed := range servers {
		present[listed.ID] = true
		server, known := p.servers[listed.ID]
		if !known {
			server = &Server{ratio: 1}
			p.servers[listed.ID] = server
		}
		slots := server.Slots
		if listed.Draining && !server.Draining {
			server.leavingAt = now
		}
		server.Server = listed
		if slots > 0 {
			server.Slots = slots
		}
		if listed.ColdFor > 0 {
			server.coldUntil = now + listed.ColdFor
		} else {
			server.coldUntil = 0
		}
		p.order = append(p.order, server)
	}
	for id := range p.servers {
		if !present[id] {
			delete(p.servers, id)
		}
	}
	p.Pump(now)
}

// Enter asks for a server. The waiter's Ready is closed at once if there is one
// or if the request is turned away.
func (p *Pool) Enter(now time.Duration, waiter *Waiter) {
	waiter.Entered = now
	if rejected := p.hopeless(now, waiter); rejected != nil {
		p.reject(waiter, rejected)
		return
	}
	p.waiting = append(p.waiting, waiter)
	p.Pump(now)
}

// missed is 1 for a request that can't be answered within its objective any
// more, else 0. Under lasting overload requests would otherwise reach a server
// in the order in which they came, each just too late.
func (p *Pool) missed(now time.Duration, w *Waiter) int {
	if now-w.Arrived > w.Objective-p.mean {
		return 1
	}
	return 0
}

// Pump gives servers to the waiting requests in their order, and turns away
// those that can't be answered in time any more.
func (p *Pool) Pump(now time.Duration) {
	if len(p.waiting) == 0 {
		return
	}
	slices.SortStableFunc(p.waiting, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(p.missed(now, a), p.missed(now, b)), cmp.Compare(rank(a), rank(b)))
	})
	kept := p.waiting[:0]
	for _, waiter := range p.waiting {
		if !p.decide(now, waiter) {
			kept = append(kept, waiter)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// decide reports whether the waiter was given a server or turned away.
func (p *Pool) decide(now time.Duration, waiter *Waiter) bool {
	if now >= waiter.Deadline {
		p.reject(waiter, &RejectedError{Reason: Expired, RetryAfter: leastRetryAfter})
		return true
	}
	server := p.choose(now, waiter)
	if server == nil {
		return p.giveUpOnOwner(now, waiter) || p.giveUp(now, waiter)
	}
	if server.inFlight == 0 {
		server.newsAt = now
	}
	server.inFlight++
	waiter.Server = server
	close(waiter.Ready)
	return true
}

// giveUpOnOwner turns a request away whose key is taking longer to find an
// owner than a planned move takes: its old owner does not answer.
func (p *Pool) giveUpOnOwner(now time.Duration, waiter *Waiter) bool {
	if !waiter.Keyed || p.owner == nil {
		return false
	}
	id, back := p.owner.OwnerOf(waiter.Key)
	server := p.servers[id]
	if server != nil && !server.left(now) || now-waiter.Arrived < 2*ownerWait {
		return false
	}
	expected := max(back-now, 0)
	p.reject(waiter, &RejectedError{Reason: NoOwner, RetryAfter: clampRetry(expected), Expected: expected})
	return true
}

// giveUp turns a request away that has waited longer than was expected when it
// came, so that its caller can come back while it still has time.
func (p *Pool) giveUp(now time.Duration, waiter *Waiter) bool {
	if now-waiter.Entered < p.longest(waiter)+givenUpSlack {
		return false
	}
	p.reject(waiter, &RejectedError{Reason: Overload, RetryAfter: clampRetry(p.mean), Expected: now - waiter.Entered})
	return true
}

// choose returns the server for a request, or nil while it has to wait.
func (p *Pool) choose(now time.Duration, waiter *Waiter) *Server {
	if waiter.Keyed && p.owner != nil {
		id, _ := p.owner.OwnerOf(waiter.Key)
		server := p.servers[id]
		if server == nil || server.left(now) || !server.room(now, p.mean) {
			return nil
		}
		return server
	}
	if best := p.cheapest(now, waiter, true); best != nil {
		return best
	}
	return p.cheapest(now, waiter, false)
}

// cheapest returns the server with room that costs least. With strict, servers
// that are passed over or that had the request are left out.
func (p *Pool) cheapest(now time.Duration, waiter *Waiter, strict bool) *Server {
	var best *Server
	least := 0.0
	for _, server := range p.order {
		if server.Draining || !server.room(now, p.mean) {
			continue
		}
		if strict && (!server.usable(now) || slices.Contains(waiter.Tried, server.ID)) {
			continue
		}
		cost := server.cost(now, p.domain) + tieBreak*p.random.Float64()
		if best == nil || cost < least {
			best, least = server, cost
		}
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

// Done gives a server back after an attempt of the given length, with the load
// that it reported, if any. It returns what the attempt tells of its speed.
func (p *Pool) Done(now time.Duration, server *Server, outcome Outcome, took time.Duration, load *Load) Pace {
	// A server that has requests waiting is full, not slow.
	queued := server.estimate(now) > float64(server.Slots) || load != nil && load.Waiting > 0
	server.inFlight--
	if outcome != Abandoned && outcome != Unreachable {
		server.newsAt = now
	}
	if load != nil {
		server.report(now, *load)
	}
	if outcome == Refused {
		server.refused(now)
	}
	server.settle(now, outcome)
	var pace Pace
	if outcome == Answered {
		p.mean += time.Duration(meanWeight * float64(took-p.mean))
		if !queued && p.mean > 0 {
			pace = Pace{Samples: 1, Ratio: min(max(float64(took)/float64(p.mean), 0.2), 8)}
			server.learn(pace)
		}
	}
	server.paced(now, p.waits(server))
	p.Pump(now)
	return pace
}

// Learn takes what another host has measured of a server's speed.
func (p *Pool) Learn(id string, pace Pace) {
	if server := p.servers[id]; server != nil && pace.Samples > 0 {
		server.learn(pace)
	}
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
