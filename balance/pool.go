package balance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// Owner tells which server owns a key.
type Owner interface {
	// OwnerOf returns the owner's ID; empty while the key is between owners.
	// back is when the key is expected to have an owner; 0 if it is not known.
	OwnerOf(key uint16) (id string, back time.Duration)
}

// Waiter is a request that wants a server.
type Waiter struct {
	// Keyed requests go to the owner of Key only.
	Keyed bool
	Key   uint16
	// Priority is the rank; 0 is the most urgent.
	Priority int
	Arrived  time.Duration
	// Entered is when this wait began; Enter sets it.
	Entered time.Duration
	// Deadline is when the request is worthless.
	Deadline time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// Tried lists servers that have had the request.
	Tried []string
	// Ready is closed when Server or Rejected is set.
	Ready chan struct{}
	// Server is the server that the request is to be sent to.
	Server *Server
	// Rejected is set when the request was turned away.
	Rejected *RejectedError
}

// Reason says why a request was turned away.
type Reason string

// The reasons.
const (
	// NoServer: the service has no server that may take requests.
	NoServer Reason = "no-server"
	// NoOwner: the key has no owner, and will not have one in time.
	NoOwner Reason = "no-owner"
	// Overload: the wait for a server does not fit the deadline.
	Overload Reason = "overload"
	// Expired: the deadline came while the request waited.
	Expired Reason = "expired"
)

// RejectedError reports a request that was turned away and has not run.
type RejectedError struct {
	Reason Reason
	// RetryAfter is when a server is expected to have room.
	RetryAfter time.Duration
	// Expected is the wait on which the decision rests.
	Expected time.Duration
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("rejected: %s, expected wait %v, retry after %v", e.Reason, e.Expected, e.RetryAfter)
}

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
}

// NewPool returns a pool for a host in a failure domain. owner is nil for a
// service without keys.
func NewPool(domain string, owner Owner) *Pool {
	return &Pool{domain: domain, owner: owner, servers: map[string]*Server{}, mean: firstMean}
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

// hopeless reports a request that can't be served in time: to let it wait
// until its deadline would keep its caller from trying elsewhere.
func (p *Pool) hopeless(now time.Duration, waiter *Waiter) *RejectedError {
	if waiter.Keyed && p.owner != nil {
		return p.ownerless(now, waiter)
	}
	capacity := 0
	for _, server := range p.order {
		if !server.Draining {
			capacity += server.Slots
		}
	}
	if capacity == 0 {
		return &RejectedError{Reason: NoServer, RetryAfter: time.Second}
	}
	return p.crowded(now, waiter, p.mean*time.Duration(p.ahead(waiter, ""))/time.Duration(capacity))
}

// ownerless checks a request whose key must have an owner.
func (p *Pool) ownerless(now time.Duration, waiter *Waiter) *RejectedError {
	id, back := p.owner.OwnerOf(waiter.Key)
	server := p.servers[id]
	if server != nil && server.left(now) {
		server, back = nil, now+leaveWithin
	}
	if server != nil && server.silent(now) {
		return &RejectedError{Reason: NoOwner, RetryAfter: clampRetry(server.suspect - now), Expected: server.suspect - now}
	}
	if server != nil {
		return p.crowded(now, waiter, server.pace(p.mean)*time.Duration(p.ahead(waiter, id)))
	}
	expected := ownerWait
	if back > 0 {
		expected = back - now
	}
	if now+expected+p.mean/2 > waiter.Deadline || back > 0 && expected > ownerWait {
		return &RejectedError{Reason: NoOwner, RetryAfter: clampRetry(expected), Expected: expected}
	}
	return nil
}

// ahead counts the waiting requests that go first, of one owner's if id is given.
func (p *Pool) ahead(waiter *Waiter, id string) int {
	n := 0
	for _, other := range p.waiting {
		if rank(other) > rank(waiter) {
			continue
		}
		if id != "" {
			if owner, _ := p.owner.OwnerOf(other.Key); owner != id {
				continue
			}
		}
		n++
	}
	return n
}

// crowded rejects a request whose wait behind others doesn't fit its deadline,
// or is so long that its turn is worth more to one that comes later: under
// lasting overload as many are served either way, but those that are get their
// answer within the objective.
func (p *Pool) crowded(now time.Duration, waiter *Waiter, expected time.Duration) *RejectedError {
	most := min(p.longest(waiter), waiter.Deadline-now-p.mean)
	if expected <= max(most, 0) && len(p.waiting) < mostWaiting {
		return nil
	}
	return &RejectedError{Reason: Overload, RetryAfter: clampRetry(expected), Expected: expected}
}

// longest is how long a request may wait for a server: as long as it can be
// answered within its objective, or, since a late answer is better than none,
// within a share of the time that its caller waits.
func (p *Pool) longest(waiter *Waiter) time.Duration {
	patience := time.Duration(float64(waiter.Deadline-waiter.Arrived) * waitShare)
	return max(waiter.Objective-p.mean, patience-p.mean, p.mean/2)
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, leastRetryAfter), mostRetryAfter) }

// rank orders waiting requests: by arrival, with a head start by priority.
func rank(w *Waiter) time.Duration { return w.Arrived + time.Duration(w.Priority)*priorityStep }

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
		cost := server.cost(now, p.domain)
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
// that it reported, if any.
func (p *Pool) Done(now time.Duration, server *Server, outcome Outcome, took time.Duration, load *Load) {
	queued := server.estimate(now) > float64(server.Slots)
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
	if outcome == Answered {
		p.mean += time.Duration(meanWeight * float64(took-p.mean))
		if !queued && p.mean > 0 {
			sample := min(max(float64(took)/float64(p.mean), 0.2), 8)
			server.ratio += meanWeight * (sample - server.ratio)
		}
	}
	server.paced(now, p.waits(server))
	p.Pump(now)
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
