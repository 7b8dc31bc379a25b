package gateway

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	"cicadarouter/admission"
	"cicadarouter/balance"
	"cicadarouter/dispatch"
	"cicadarouter/fleet"
	"cicadarouter/link/backendlink"
)

// Limits of a service's connections and dispatching.
const (
	// maxIdleConnsPerServer bounds this host's idle connections to one server. A server's
	// connection limit is shared by all hosts.
	maxIdleConnsPerServer = 8
	// maxWholeResponseBytes bounds the responses that callers of backendlink read whole, in
	// bytes; the gateway streams longer ones.
	maxWholeResponseBytes = 1 << 20
	// dispatchInterval is how often waiting requests are reconsidered when no event causes
	// it. Load estimates decay within hundreds of milliseconds.
	dispatchInterval = 20 * time.Millisecond
	// plannedEndShare is the share of the time within which changes have to take effect before
	// which a server whose entry was removed does not end as planned: it goes on serving for at
	// least all of that time. The rest is for the removal to reach this host.
	plannedEndShare = 0.5
)

// service holds this host's state of one service: its servers, waiting requests and
// connections.
type service struct {
	name   string
	now    func() time.Duration
	view   *keyView // nil for a service that is not sharded by key
	dialer backendlink.Dialer
	heads  *backendlink.HeadQuota // of all services together; nil for no bound
	links  *serverLinks
	// domains tracks the links to the servers' failure domains.
	domains *domainLinks

	mu          sync.Mutex
	pool        *balance.Pool
	conns       map[string]*serverConns // by server ID; only servers that have been used
	retryBudget *dispatch.RetryBudget
	priorities  priorities
	urgent      admission.UrgentShare // among this host's requests
	// retryReserve is this host's share of the retry reserve, as last set.
	retryReserve retryReserve
	// retryReserveSet is set once the host has its share of the initial retry reserve.
	retryReserveSet   bool
	keyDemand         map[uint16]time.Duration                   // requested slot time by key, since the last report
	urgentKeyDemand   urgentDemand                               // the part of it that is more urgent than the least urgent
	paces             map[fleet.Incarnation]balance.ServiceTimes // since the last report
	dispatchScheduled bool
	// removedAt is when servers were removed or replaced, for earliestPlannedEnd after it.
	removedAt          map[*balance.Server]time.Duration
	earliestPlannedEnd time.Duration

	// noteUnexpectedBytes records a connection that held bytes that belong to no request. It does
	// not block.
	noteUnexpectedBytes func(server string, conn backendlink.ConnInfo)

	// requestReservations requests reservations at rate-limited servers. It does not block.
	requestReservations func(s *service, requests []balance.ReservationRequest)
}

func newService(name string, identity Identity, keyed bool, now func() time.Duration) *service {
	retryRatio := usedRetryFraction * cmp.Or(identity.RetryRatio, defaultRetryRatio)
	s := &service{name: name, now: now, dialer: &net.Dialer{}, links: newServerLinks(), domains: newDomainLinks(), conns: map[string]*serverConns{},
		retryBudget: dispatch.NewRetryBudget(retryRatio, 0), keyDemand: map[uint16]time.Duration{}, urgentKeyDemand: urgentDemand{}, paces: map[fleet.Incarnation]balance.ServiceTimes{}, removedAt: map[*balance.Server]time.Duration{},
		earliestPlannedEnd: time.Duration(plannedEndShare * float64(cmp.Or(identity.ApplyWithin, defaultMaxChangeDelay)))}
	reserve := retryReserveFor(identity.RetryReserve, 0)
	s.retryBudget.SetReserve(reserve.capacity, reserve.initial)
	var owner balance.Owner
	if keyed {
		s.view = newKeyView(now)
		owner = s.view
	}
	s.noteUnexpectedBytes = func(string, backendlink.ConnInfo) {}
	s.pool = balance.NewPool(identity.Domain, owner, identity.Incarnation)
	if identity.EvacuateWithin > 0 {
		s.pool.SetEvacuationGrace(identity.EvacuateWithin - identity.ApplyWithin)
	}
	return s
}

// setColdStartLimit sets the rate of requests that a cold server can take, and the number of
// hosts that share it.
func (s *service) setColdStartLimit(perSecond float64, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetColdStartLimit(perSecond, hosts)
}

// suspectRestart records that a server's process may have restarted, and reports whether to ask the
// server if it is cold.
func (s *service) suspectRestart(server *balance.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.SuspectRestart(s.now(), server.Incarnation())
}

// setColdFor records how much longer a server says it is cold.
func (s *service) setColdFor(server *balance.Server, coldFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetColdFor(s.now(), server.Incarnation(), coldFor)
}

// setRateLimits sets the rate limits that servers have announced, in requests a second, and the
// number of hosts that share them.
func (s *service) setRateLimits(limits map[fleet.Incarnation]float64, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetLimits(s.now(), limits, hosts)
	s.reserveForWaiting()
}

// reserveForWaiting requests the reservations that waiting requests need. s.mu must be held.
func (s *service) reserveForWaiting() {
	if requests := s.pool.ReservationRequests(s.now()); len(requests) > 0 {
		s.requestReservations(s, requests)
	}
}

// applyReservation applies the result of a reservation request.
func (s *service) applyReservation(server fleet.Incarnation, result balance.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.ApplyReservation(s.now(), server, result)
	s.reserveForWaiting()
	s.scheduleDispatch()
}

// updateServers updates the service's servers that have changed and removes those whose IDs are
// in gone. It closes the connections to removed servers and to servers that were replaced.
func (s *service) updateServers(changed []fleet.Server, gone []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range gone {
		s.closeConns(id)
	}
	for i := range changed {
		server := &changed[i]
		if link := s.conns[server.ID]; link != nil && !link.matches(server) {
			s.closeConns(server.ID)
		}
	}
	if s.view != nil {
		s.view.updateServers(changed, gone)
	}
	updated := s.knownServers(changed, gone)
	s.pool.UpdateServers(s.now(), changed, gone)
	s.recordRemoved(updated)
	s.links.setServers(len(s.pool.Servers()))
	s.domains.updateServers(changed, gone)
}

// knownServers returns the servers in the pool that an update changes or removes. s.mu must be held.
func (s *service) knownServers(changed []fleet.Server, gone []string) []*balance.Server {
	ids := make(map[string]bool, len(changed)+len(gone))
	for _, id := range gone {
		ids[id] = true
	}
	for i := range changed {
		ids[changed[i].ID] = true
	}
	var known []*balance.Server
	for _, server := range s.pool.Servers() {
		if ids[server.ID] {
			known = append(known, server)
		}
	}
	return known
}

// recordRemoved records which of the servers that were updated are not in the pool any more. s.mu
// must be held.
func (s *service) recordRemoved(updated []*balance.Server) {
	now := s.now()
	maps.DeleteFunc(s.removedAt, func(_ *balance.Server, at time.Duration) bool { return now-at >= s.earliestPlannedEnd })
	for _, server := range updated {
		if !s.pool.Contains(server) {
			s.removedAt[server] = now
		}
	}
}

// serverConns holds the connections to one incarnation of a server.
type serverConns struct {
	incarnation fleet.Incarnation
	pool        *backendlink.Pool
}

// matches reports whether the connections are to this incarnation and address.
func (l *serverConns) matches(server *fleet.Server) bool {
	return l.incarnation == server.Incarnation() && l.pool.Address() == server.Address
}

// connPool returns the connection pool of a server, or nil if the server has been removed or
// replaced. A host uses few of the servers, so pools are created on first use. s.mu must be held.
func (s *service) connPool(server *balance.Server) *backendlink.Pool {
	if !s.pool.Contains(server) {
		return nil
	}
	link := s.conns[server.ID]
	if link == nil {
		pool := backendlink.NewPoolWithDialer(server.Address, maxIdleConnsPerServer, maxWholeResponseBytes, s.dialer)
		pool.OnUnexpectedBytes = func(conn backendlink.ConnInfo) { s.noteUnexpectedBytes(server.ID, conn) }
		pool.Heads = s.heads
		link = &serverConns{incarnation: server.Incarnation(), pool: pool}
		s.conns[server.ID] = link
	}
	return link.pool
}

// closeConns closes the connections to a server. s.mu must be held.
func (s *service) closeConns(id string) {
	if link := s.conns[id]; link != nil {
		link.pool.Close()
		delete(s.conns, id)
	}
}

// recordRequest counts a request before any attempt. A key's demand counts whether or not its
// owner has capacity: an owner that rejects most requests is still overloaded.
func (s *service) recordRequest(key *uint16, priority int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget.RecordFirstAttempt()
	s.recordUrgency(priority)
	if key != nil {
		s.keyDemand[*key] += s.pool.MeanServiceTime()
		if s.priorities.divided && priority < s.priorities.leastUrgent {
			s.urgentKeyDemand.add(priority, *key, s.pool.MeanServiceTime())
		}
	}
}

// recordUrgency counts a request's priority. s.mu must be held.
func (s *service) recordUrgency(priority int) {
	before, urgent := s.keepsRetries(), 0.0
	if priority == 0 {
		urgent = 1
	}
	s.urgent.Add(urgent, 1)
	s.retryReserveChanged(before)
}

// retryReserveChanged applies the reserve anew if retries are now kept for urgent requests, or no
// longer. s.mu must be held.
func (s *service) retryReserveChanged(kept bool) {
	if s.retryReserveSet && kept != s.keepsRetries() {
		s.applyRetryReserve()
	}
}

// setRetryReserve sets this host's share of the retries that are allowed beyond the retry ratio.
// The initial retries are added only once.
func (s *service) setRetryReserve(reserve retryReserve) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryReserve = reserve
	s.applyRetryReserve()
}

// applyRetryReserve sets the budget's reserve as the service's priorities ask for. s.mu must be held.
func (s *service) applyRetryReserve() {
	reserve := s.retryReserve
	if s.keepsRetries() {
		reserve = reserve.divided()
	}
	added := reserve.initial
	if s.retryReserveSet {
		added = 0
	}
	s.retryReserveSet = true
	s.retryBudget.SetReserve(reserve.capacity, added)
}

// takeRetry takes one retry from the budget for a request of the given priority, and reports
// whether there was one.
func (s *service) takeRetry(priority int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keepsRetries() && priority > s.priorities.mostUrgent {
		return s.retryBudget.TakeLessUrgentRetry()
	}
	return s.retryBudget.TakeRetry()
}

// errLinksLost reports that the links to the servers were lost while a request waited for one.
var errLinksLost = errors.New("the links to all servers were lost")

// acquireServer waits for a server and occupies one of its slots. The error is a
// *balance.RejectedError, the context's error, errLinksLost if the channel is closed first, or
// errHostStopping if a shutdown leaves too little time for the request.
func (s *service) acquireServer(ctx context.Context, linksLost <-chan struct{}, stop *shutdown, waiter *balance.Waiter) (*balance.Server, *backendlink.Pool, error) {
	s.mu.Lock()
	s.pool.Enqueue(s.now(), waiter)
	s.reserveForWaiting()
	s.scheduleDispatch()
	s.mu.Unlock()
	if err := s.awaitServer(ctx, linksLost, stop, waiter); err != nil {
		s.cancelWaiter(waiter)
		return nil, nil, err
	}
	if waiter.Rejected != nil {
		return nil, nil, waiter.Rejected
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	link := s.connPool(waiter.Server)
	if link == nil {
		s.pool.Done(s.now(), waiter.Server, balance.AttemptResult{Outcome: balance.Abandoned})
		return nil, nil, &balance.RejectedError{Reason: balance.NoServer, RetryAfter: defaultRetryAfter}
	}
	return waiter.Server, link, nil
}

// awaitServer waits until a request has a server or is rejected. The error says why it need not wait any
// longer.
func (s *service) awaitServer(ctx context.Context, linksLost <-chan struct{}, stop *shutdown, waiter *balance.Waiter) error {
	selective := stop.selective.Done()
	for {
		select {
		case <-waiter.Ready:
			if waiter.Rejected == nil && stop.rejects(s.now(), waiter.Deadline) {
				return errHostStopping
			}
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-linksLost:
			return errLinksLost
		case <-selective:
			if stop.rejects(s.now(), waiter.Deadline) {
				return errHostStopping
			}
			selective = nil // the request may end in time
		}
	}
}

// cancelWaiter removes a request from the queue, and releases the server that it may have been assigned
// meanwhile.
func (s *service) cancelWaiter(waiter *balance.Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if assigned := s.pool.Cancel(waiter); assigned != nil {
		s.pool.Done(s.now(), assigned, balance.AttemptResult{Outcome: balance.Abandoned})
	}
}

// mayHaveEndedAsPlanned reports whether a server that did not respond may have ended as planned, for
// which no request is to blame. That is so if the server is leaving, or if the connection broke some
// time after its registry entry was removed, as happens when a server leaves without announcing it:
// it goes on serving for the drain time. The entry of a server that has crashed may be removed
// before this host reads the end of the connection.
func (s *service) mayHaveEndedAsPlanned(server *balance.Server, brokeOff bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server.Leaving() {
		return true
	}
	removedAt, recently := s.removedAt[server]
	endedEarly := recently && s.now()-removedAt < s.earliestPlannedEnd
	return brokeOff && !s.pool.Contains(server) && !endedEarly
}

// releaseServer releases the slot that a request occupied at a server.
func (s *service) releaseServer(server *balance.Server, end balance.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pace := s.pool.Done(s.now(), server, end)
	if s.view != nil && pace.Count > 0 {
		s.paces[server.Incarnation()] = s.paces[server.Incarnation()].Merge(pace)
	}
	s.reserveForWaiting()
	s.scheduleDispatch()
}

// scheduleDispatch schedules the next check of waiting requests if there are any. s.mu must be held.
func (s *service) scheduleDispatch() {
	if s.dispatchScheduled || s.pool.Waiting() == 0 {
		return
	}
	s.dispatchScheduled = true
	time.AfterFunc(dispatchInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dispatchScheduled = false
		s.pool.Dispatch(s.now())
		s.reserveForWaiting()
		s.scheduleDispatch()
	})
}

// forgetUnreachable withdraws what failed connections have said about the servers.
func (s *service) forgetUnreachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.ForgetUnreachable(s.now())
}

// dispatchWaiting dispatches waiting requests after the owners of keys have changed.
func (s *service) dispatchWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Dispatch(s.now())
	s.reserveForWaiting()
}

func (s *service) serverCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pool.Servers())
}

// inFlight returns the number of requests that occupy a slot at one of the servers.
func (s *service) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, server := range s.pool.Servers() {
		total += server.InFlight()
	}
	return total
}

// keyLoad is the load that a host reports to the controller of a service's keys.
type keyLoad struct {
	// demand is the slot time that requests need, by key.
	demand map[uint16]time.Duration
	// urgent is the part of the demand that is more urgent than the service's least urgent requests.
	urgent urgentDemand
	// meanSlotTime is the mean time for which one request occupies a slot.
	meanSlotTime time.Duration
	paces        map[fleet.Incarnation]balance.ServiceTimes
}

// takeLoad returns the load since the last call.
func (s *service) takeLoad() keyLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := keyLoad{demand: s.keyDemand, urgent: s.urgentKeyDemand, meanSlotTime: s.pool.MeanServiceTime(), paces: s.paces}
	s.keyDemand, s.urgentKeyDemand, s.paces = map[uint16]time.Duration{}, urgentDemand{}, map[fleet.Incarnation]balance.ServiceTimes{}
	return load
}

// mergePaces merges another host's measurements of the servers' speed.
func (s *service) mergePaces(paces map[fleet.Incarnation]balance.ServiceTimes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation, pace := range paces {
		s.pool.AddServiceTimes(incarnation, pace)
	}
}

// setKeyShares sets, for overloaded keys, the share of requests that their owners can take.
func (s *service) setKeyShares(shares map[uint16]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetKeyShares(s.now(), shares)
}

// serverState is what the controller of a service's keys needs to know of a server.
type serverState struct {
	fleet.Server
	Speed float64
	// LongBackoff is set if the server has asked this host for a backoff that is long enough
	// to move its keys.
	LongBackoff bool
}

func (s *service) serverStates() []serverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var states []serverState
	for _, server := range s.pool.Servers() {
		states = append(states, serverState{Server: server.Server, Speed: s.pool.Speed(s.now(), server), LongBackoff: server.BackoffLeft(s.now()) >= minBackoffToMoveKeys})
	}
	return states
}
