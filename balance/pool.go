package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// Limits on waiting and on the retry delays given to rejected callers.
const (
	// maxWaitSlack is added to a request's longest wait before the request is rejected.
	maxWaitSlack = 50 * time.Millisecond
	// maxQueue is the queue length from which on requests that would wait behind others are
	// rejected.
	maxQueue = 512
	// minServiceTimeFraction is the fraction of the mean service time within which hardly any
	// request completes: about one in four if service times vary a lot (spread of 0.8), and none
	// if they vary little (0.3).
	minServiceTimeFraction = 0.4
	// minRetryAfter and maxRetryAfter bound the retry delay given to a rejected caller.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// ownerMoveWait is how long a request waits for a key that is moving between owners when
	// the end of the move is not known. A planned move takes about as long as the requests
	// still running at the previous owner.
	ownerMoveWait = 400 * time.Millisecond
)

// Pool holds the servers of one service, and the requests that wait for them, on one
// host. It is not safe for concurrent use.
type Pool struct {
	domain  string
	owner   Owner
	servers serverSet
	queue   []*Waiter
	// spareQueue is the buffer into which Dispatch copies the requests that keep waiting. It
	// is empty between calls.
	spareQueue      []*Waiter
	meanServiceTime time.Duration
	classes         map[time.Duration]*requestClass // by latency objective
	keyShares       map[uint16]*keyShare            // by key
	random          *rand.Rand
	sampleRandom    *rand.Rand // for SampleByDomain, which must not affect the choice of servers
	// typicalLoad is the smoothed load from other hosts, as a fraction of a server's slots.
	typicalLoad float64
	// startInterval is the smoothed time between two requests that were assigned a server while
	// others waited. queuedStartAt is the time of the last such assignment, or 0.
	startInterval, queuedStartAt time.Duration
	// evacuationGrace is how long an evacuated server may still receive requests for the
	// keys it owns, until the keys have moved to other owners.
	evacuationGrace time.Duration
	coldLimit       coldStartLimit
	serverLimits    map[fleet.Incarnation]float64 // limits announced by servers, in requests per second
	hostCount       int                           // number of hosts that share the limits
	window          sendWindow                    // used by services without keys only
	backoffUntil    time.Duration                 // end of the last backoff that a server asked for
	gates           *gates                        // nil unless the service is divided by priority
	// cutOff holds the failure domains that this host can't reach, with the time at which their keys
	// are expected to have other owners.
	cutOff map[string]time.Duration
}

// NewPool returns an empty pool for a host in the given failure domain. owner is nil
// for a service without keys. Hosts must pass different seeds, so that they make
// different random choices.
func NewPool(domain string, owner Owner, seed uint64) *Pool {
	return &Pool{domain: domain, owner: owner, servers: serverSet{byID: map[string]*Server{}}, meanServiceTime: initialServiceTime, evacuationGrace: drainGrace, classes: map[time.Duration]*requestClass{}, keyShares: map[uint16]*keyShare{}, random: rand.New(rand.NewPCG(seed, 0)), sampleRandom: rand.New(rand.NewPCG(seed, 1))}
}

// MeanServiceTime returns the smoothed time from sending a request to its answer, over all
// requests.
func (p *Pool) MeanServiceTime() time.Duration { return p.meanServiceTime }

// Waiting returns the length of the queue.
func (p *Pool) Waiting() int { return len(p.queue) }

// Servers returns the servers sorted by ID. The caller must not modify the slice.
func (p *Pool) Servers() []*Server { return p.servers.sorted }

// UpdateServers adds or updates the changed servers, and removes the servers whose IDs are
// in gone. IDs that the pool doesn't know are ignored.
func (p *Pool) UpdateServers(now time.Duration, changed []fleet.Server, gone []string) {
	for _, id := range gone {
		p.servers.remove(id)
	}
	for i := range changed {
		p.updateServer(now, &changed[i])
	}
	p.Dispatch(now)
}

// updateServer adds a server or updates it from its registry entry.
func (p *Pool) updateServer(now time.Duration, entry *fleet.Server) {
	server := p.servers.byID[entry.ID]
	if server == nil || !server.sameProcess(entry) {
		// Requests sent to an earlier incarnation ended with it. If they were still
		// counted, a server that has just restarted would look full or stuck.
		p.servers.remove(entry.ID)
		server = newServer(entry)
		p.servers.add(server)
	}
	server.update(now, entry)
	p.servers.setLocal(server, server.Domain == p.domain)
	p.updateColdBucket(now, server)
	p.updateLimit(now, server)
}

// Contains reports whether the pool holds this very server, and not a later incarnation of it.
func (p *Pool) Contains(server *Server) bool { return p.servers.byID[server.ID] == server }

// Enqueue queues a request. It closes the waiter's Ready at once if the request can be
// assigned a server now, or if it is rejected.
func (p *Pool) Enqueue(now time.Duration, waiter *Waiter) {
	waiter.EnqueuedAt, waiter.firstAttemptAt = now, waiter.Arrived
	if known := p.class(waiter.Objective); known != nil {
		waiter.firstAttemptAt -= known.alreadyWaited(waiter.Timeout)
		known.voteTimeout(waiter.Timeout)
	}
	rejected := p.checkBackoff(now, waiter)
	if rejected == nil {
		rejected = p.checkGates(now, waiter)
	}
	if rejected == nil {
		rejected = p.checkAdmission(now, waiter)
	}
	if rejected == nil && len(p.serverLimits) > 0 {
		rejected = p.checkLimit(now, waiter)
	}
	if rejected != nil {
		p.reject(waiter, rejected)
		return
	}
	p.queue = append(p.queue, waiter)
	p.Dispatch(now)
}

// Dispatch assigns servers to the queued requests, in order of their virtual deadlines, and
// rejects those that can no longer be answered in time.
func (p *Pool) Dispatch(now time.Duration) {
	if len(p.queue) == 0 {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *Waiter) int { return p.compare(now, a, b) })
	kept := p.spareQueue[:0]
	for _, waiter := range p.queue {
		if !p.decide(now, waiter) {
			kept = append(kept, waiter)
		}
	}
	clear(p.queue)
	p.spareQueue, p.queue = p.queue[:0], kept
}

// decide reports whether it assigned the request a server or rejected it.
func (p *Pool) decide(now time.Duration, waiter *Waiter) bool {
	if now+p.minServiceTime(waiter) >= waiter.Deadline {
		p.reject(waiter, &RejectedError{Reason: Expired, RetryAfter: minRetryAfter, Expected: p.serviceTime(waiter.Objective)})
		return true
	}
	server := p.chooseServer(now, waiter)
	if server == nil {
		return p.rejectWithoutOwner(now, waiter) || p.rejectOnServerNotices(now, waiter) || p.rejectAfterMaxWait(now, waiter)
	}
	if server.inFlight == 0 {
		server.lastAnswerAt = now
	}
	server.inFlight++
	p.window.inFlight++
	server.failedWaits = 0
	p.takeColdToken(now, server)
	p.takePermit(now, server)
	p.servers.markUsed(server)
	p.recordStart(now)
	waiter.Server = server
	close(waiter.Ready)
	return true
}

// recordStart records that a request was assigned a server. While other requests wait, the
// time since the previous assignment measures this host's share of the service.
func (p *Pool) recordStart(now time.Duration) {
	if p.queuedStartAt > 0 && len(p.queue) > 1 {
		p.startInterval += time.Duration(intervalWeight * float64(now-p.queuedStartAt-p.startInterval))
	} else {
		p.startInterval = 0
	}
	p.queuedStartAt = 0
	if len(p.queue) > 1 {
		p.queuedStartAt = now
	}
}

// minServiceTime returns the shortest time in which the request may complete. With less time
// left, the server would end it unanswered, so its caller is told while it still listens.
func (p *Pool) minServiceTime(waiter *Waiter) time.Duration {
	return time.Duration(minServiceTimeFraction * float64(p.serviceTime(waiter.Objective)))
}

// rejectWithoutOwner rejects a request that has waited twice as long as a planned move takes
// while its key has no owner: the previous owner does not answer. If the owner is in a domain that
// is cut off, the request is rejected at once.
func (p *Pool) rejectWithoutOwner(now time.Duration, waiter *Waiter) bool {
	if !waiter.Keyed || p.owner == nil {
		return false
	}
	id, ownedAt := p.owner.OwnerOf(waiter.Key)
	server := p.servers.byID[id]
	if server != nil && p.isCutOff(server) {
		p.reject(waiter, p.rejectionForCutOff(now, server))
		return true
	}
	inVain := len(p.cutOff) > 0 && ownedAt-now > ownerMoveWait
	if server != nil && !p.closedToOwnedKeys(now, server) || now-waiter.Arrived < 2*ownerMoveWait && !inVain {
		return false
	}
	expected := max(ownedAt-now, 0)
	p.reject(waiter, &RejectedError{Reason: NoOwner, RetryAfter: clampRetryAfter(expected), Expected: expected})
	return true
}

// checkServerNotices returns why the request can't be served in time because servers announced
// limits or asked this host to back off, or nil.
func (p *Pool) checkServerNotices(now time.Duration, waiter *Waiter) *RejectedError {
	if rejected := p.checkBackoff(now, waiter); rejected != nil {
		return rejected
	}
	if len(p.serverLimits) == 0 {
		return nil
	}
	return p.checkLimit(now, waiter)
}

// rejectOnServerNotices rejects the request if limits or backoffs leave no time to serve it.
func (p *Pool) rejectOnServerNotices(now time.Duration, waiter *Waiter) bool {
	rejected := p.checkServerNotices(now, waiter)
	if rejected == nil {
		return false
	}
	p.reject(waiter, rejected)
	return true
}

// rejectAfterMaxWait rejects a request that has waited too long to be answered within its
// objective, so that its caller can retry while there is still time.
func (p *Pool) rejectAfterMaxWait(now time.Duration, waiter *Waiter) bool {
	if now-waiter.EnqueuedAt < p.maxWait(waiter)+maxWaitSlack {
		return false
	}
	if waiter.Keyed && p.owner != nil {
		id, _ := p.owner.OwnerOf(waiter.Key)
		if server := p.servers.byID[id]; server != nil {
			server.recordFailedWait(now, now-waiter.EnqueuedAt)
		}
	}
	waiter.noteHeldThenRejected(now)
	p.reject(waiter, &RejectedError{Reason: Overload, RetryAfter: clampRetryAfter(p.serviceTime(waiter.Objective)), Expected: now - waiter.EnqueuedAt})
	return true
}

// chooseServer returns the server for a request, or nil if the request has to wait.
func (p *Pool) chooseServer(now time.Duration, waiter *Waiter) *Server {
	if waiter.Keyed && p.owner != nil {
		id, _ := p.owner.OwnerOf(waiter.Key)
		server := p.servers.byID[id]
		if server == nil || p.closedToOwnedKeys(now, server) || !p.hasRoom(now, server) || p.isCutOff(server) {
			return nil
		}
		return server
	}
	if p.owner == nil && !p.window.allowsSend() {
		return nil
	}
	sample, all := p.servers.sample(p.random.IntN)
	if !all && p.bestPreference(now, waiter, sample) == untried {
		if server := p.cheapest(now, waiter, sample, untried); server != nil {
			return server
		}
	}
	candidates := p.servers.sorted
	return p.cheapest(now, waiter, candidates, p.bestPreference(now, waiter, candidates))
}

// hasRoom reports whether this host may send the server one more request.
func (p *Pool) hasRoom(now time.Duration, server *Server) bool {
	return p.hasRoomIgnoringLimit(now, server) && p.hasPermit(now, server)
}

// hasRoomIgnoringLimit is like hasRoom but ignores the limit that the server announced.
func (p *Pool) hasRoomIgnoringLimit(now time.Duration, server *Server) bool {
	return server.hasRoom(now, p.meanServiceTime) && p.coldWait(now, server) == 0
}

// SetEvacuationGrace sets how long an evacuated server may still receive requests for the
// keys it owns, counted from when this host learned of the evacuation.
func (p *Pool) SetEvacuationGrace(within time.Duration) { p.evacuationGrace = within }

// preference ranks servers for a request, regardless of their load.
type preference int

// Preferences, best first.
const (
	untried preference = iota // the request has not been sent there
	tried
	suspected  // unreachable recently, or in a domain that is cut off
	backingOff // asked this host to back off
	unusable   // accepts no new requests
)

func (p *Pool) preference(now time.Duration, waiter *Waiter, server *Server) preference {
	switch {
	case server.Leaving():
		return unusable
	case server.BackoffLeft(now) > 0:
		return backingOff
	case p.isCutOff(server), !server.reachable(now):
		return suspected
	case slices.Contains(waiter.Tried, server.ID):
		return tried
	}
	return untried
}

// bestPreference returns the best preference among the given servers. A request waits for a
// server of that preference even if servers of a worse one have room. In a failure domain
// that is cut off from the others, the unreachable servers are always idle. If they were
// chosen for their free slots, a request would use up its four attempts within
// milliseconds (346 requests failed that way in a partition of 6 s), although the domain's
// own servers are still working.
func (p *Pool) bestPreference(now time.Duration, waiter *Waiter, among []*Server) preference {
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
	minCost, minCostWithoutPermit, work := 0.0, 0.0, p.serviceTime(waiter.Objective)
	for _, server := range among {
		if p.preference(now, waiter, server) != wanted || !p.hasRoomIgnoringLimit(now, server) {
			continue
		}
		cost := server.cost(now, p.meanServiceTime, work, p.typicalLoad, p.domain) + tieBreakRange*p.random.Float64()
		switch {
		case p.hasPermit(now, server):
			if best == nil || cost < minCost {
				best, minCost = server, cost
			}
		case p.mayGetPermit(now, waiter, server):
			if withoutPermit == nil || cost < minCostWithoutPermit {
				withoutPermit, minCostWithoutPermit = server, cost
			}
		}
	}
	if withoutPermit != nil && (best == nil || minCostWithoutPermit < minCost) {
		withoutPermit.limit.prefetch = true
	}
	return best
}

func (p *Pool) reject(waiter *Waiter, rejected *RejectedError) {
	if rejected.Reason == Overload && rejected.Decision == nil && p.gates != nil {
		rejected.Decision = waiter.decidedByHost()
	}
	waiter.Rejected = rejected
	close(waiter.Ready)
}

// Cancel removes a request from the queue whose caller has gone or whose deadline has
// passed. It returns the server that the request has been assigned meanwhile, if any,
// which the caller must hand back with Done.
func (p *Pool) Cancel(waiter *Waiter) *Server {
	if i := slices.Index(p.queue, waiter); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	return waiter.Server
}

// AttemptResult describes the outcome of one attempt to send a request to a server.
type AttemptResult struct {
	Outcome Outcome
	// Took is the time from sending the request to its answer.
	Took time.Duration
	// Objective is the latency objective of the request.
	Objective time.Duration
	// Load is the load that the server reported with its answer, or nil.
	Load *Load
}

// Done hands a server back after an attempt. It returns the service time sample that the
// attempt yielded; its Count is 0 if there is none.
func (p *Pool) Done(now time.Duration, server *Server, result AttemptResult) ServiceTimes {
	// The answer of a server with a queue took long because of the queue, so it tells
	// nothing about the server's speed.
	queued := server.estimatedLoad(now, p.meanServiceTime) > float64(server.Slots) || result.Load != nil && result.Load.Waiting > 0
	server.inFlight--
	p.window.inFlight--
	if result.Outcome != Abandoned && result.Outcome != Unreachable {
		server.lastAnswerAt = now
	}
	if result.Load != nil {
		server.recordLoad(now, *result.Load)
		p.recordQueue(server, *result.Load, result.Outcome == Refused)
		p.window.recordLoad(*result.Load)
		p.typicalLoad += typicalLoadWeight * (server.otherLoad/float64(max(server.Slots, 1)) - p.typicalLoad)
	}
	if result.Outcome == Refused {
		server.recordRefusal(now)
	}
	server.recordOutcome(now, result.Outcome)
	var sample ServiceTimes
	if result.Outcome == Answered {
		sample = p.recordServiceTime(server, result, queued)
	}
	server.recordCompletion(now, p.hasQueueFor(server))
	p.Dispatch(now)
	return sample
}

// recordServiceTime updates the service time estimates from an answer.
func (p *Pool) recordServiceTime(server *Server, result AttemptResult, queued bool) ServiceTimes {
	expected := p.serviceTime(result.Objective)
	p.meanServiceTime += time.Duration(serviceTimeWeight * float64(result.Took-p.meanServiceTime))
	if queued || expected <= 0 {
		return ServiceTimes{}
	}
	p.recordClassServiceTime(result.Objective, result.Took)
	sample := ServiceTimes{Count: 1, Ratio: min(max(float64(result.Took)/float64(expected), 0.2), 8)}
	server.addServiceTimes(sample)
	return sample
}

// AddServiceTimes merges service time samples that another host measured. Samples of an earlier
// incarnation are ignored.
func (p *Pool) AddServiceTimes(incarnation fleet.Incarnation, samples ServiceTimes) {
	server := p.findServer(incarnation)
	if server != nil && samples.Count > 0 {
		server.addServiceTimes(samples)
	}
}

// ForgetUnreachable withdraws what failed connections have said about the servers, because the host's
// own links were at fault.
func (p *Pool) ForgetUnreachable(now time.Duration) {
	for _, server := range p.servers.sorted {
		server.forgetUnreachable()
	}
	p.Dispatch(now)
}

// findServer returns the server with this incarnation, or nil if it is not the current one.
func (p *Pool) findServer(incarnation fleet.Incarnation) *Server {
	server := p.servers.byID[incarnation.ID]
	if server == nil || server.Incarnation() != incarnation {
		return nil
	}
	return server
}

// hasQueueFor reports whether the queue holds requests that the server could take.
func (p *Pool) hasQueueFor(server *Server) bool {
	if p.owner == nil {
		return len(p.queue) > 0
	}
	for _, waiter := range p.queue {
		if id, _ := p.owner.OwnerOf(waiter.Key); id == server.ID {
			return true
		}
	}
	return false
}
