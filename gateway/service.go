package gateway

import (
	"cmp"
	"context"
	"sync"
	"time"

	"cicadarouter/balance"
	"cicadarouter/dispatch"
	"cicadarouter/fleet"
	"cicadarouter/link/backendlink"
)

// Limits of a service's connections and dispatching.
const (
	// mostIdle bounds this host's idle connections to one server. A server's
	// connection limit is shared by all hosts.
	mostIdle = 8
	// mostAnswer bounds the responses that callers of backendlink read whole, in
	// bytes; the gateway streams longer ones.
	mostAnswer = 1 << 20
	// pumpEvery is how often waiting requests are reconsidered when no event causes
	// it. Load estimates decay within hundreds of milliseconds.
	pumpEvery = 20 * time.Millisecond
)

// service holds this host's state of one service: its servers, waiting requests and
// connections.
type service struct {
	name string
	now  func() time.Duration
	view *keyView // nil for a service that is not sharded by key

	mu     sync.Mutex
	pool   *balance.Pool
	links  map[string]*serverLink // by server ID; only servers that have been used
	budget *dispatch.Budget
	// reserveShared is set once the host has its share of the initial retry reserve.
	reserveShared bool
	asked         map[uint16]time.Duration           // requested slot time by key, since the last report
	paces         map[fleet.Incarnation]balance.Pace // since the last report
	pumping       bool

	// reserve requests reservations at rate-limited servers. It does not block.
	reserve func(s *service, wishes []balance.Wish)
}

func newService(name string, identity Identity, keyed bool, now func() time.Duration) *service {
	retryRatio := retryPart * cmp.Or(identity.RetryRatio, defaultRetryRatio)
	s := &service{name: name, now: now, links: map[string]*serverLink{},
		budget: dispatch.NewBudget(retryRatio, 0), asked: map[uint16]time.Duration{}, paces: map[fleet.Incarnation]balance.Pace{}}
	reserve := reserveOf(identity.RetryReserve, 0)
	s.budget.SetReserve(reserve.most, reserve.first)
	var owner balance.Owner
	if keyed {
		s.view = newKeyView(now)
		owner = s.view
	}
	s.pool = balance.NewPool(identity.Domain, owner, identity.Incarnation)
	if identity.EvacuateWithin > 0 {
		s.pool.SetEvacuateWithin(identity.EvacuateWithin - identity.ObeyWithin)
	}
	return s
}

// setCold sets the rate of requests that a cold server can take, and the number of
// hosts that share it.
func (s *service) setCold(perSecond float64, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetCold(perSecond, hosts)
}

// doubt records that a server's process may have restarted, and reports whether to ask the
// server if it is cold.
func (s *service) doubt(server *balance.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Doubt(s.now(), server.Incarnation())
}

// toldCold records how much longer a server says it is cold.
func (s *service) toldCold(server *balance.Server, coldFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.ToldCold(s.now(), server.Incarnation(), coldFor)
}

// setLimits sets the rate limits that servers have announced, in requests a second, and the
// number of hosts that share them.
func (s *service) setLimits(limits map[fleet.Incarnation]float64, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetLimits(s.now(), limits, hosts)
	s.wish()
}

// wish requests the reservations that waiting requests need. s.mu must be held.
func (s *service) wish() {
	if wishes := s.pool.Wishes(s.now()); len(wishes) > 0 {
		s.reserve(s, wishes)
	}
}

// reserved applies the result of a reservation request.
func (s *service) reserved(server fleet.Incarnation, result balance.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Reserved(s.now(), server, result)
	s.wish()
	s.armPump()
}

// changeServers updates the service's servers that have changed and removes those whose IDs are
// in gone. It closes the connections to removed servers and to servers that were replaced.
func (s *service) changeServers(changed []fleet.Server, gone []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range gone {
		s.unlink(id)
	}
	for i := range changed {
		server := &changed[i]
		if link := s.links[server.ID]; link != nil && !link.leadsTo(server) {
			s.unlink(server.ID)
		}
	}
	if s.view != nil {
		s.view.changePresent(changed, gone)
	}
	s.pool.ChangeServers(s.now(), changed, gone)
}

// serverLink holds the connections to one incarnation of a server.
type serverLink struct {
	incarnation fleet.Incarnation
	pool        *backendlink.Pool
}

// leadsTo reports whether the connections are to this incarnation and address.
func (l *serverLink) leadsTo(server *fleet.Server) bool {
	return l.incarnation == server.Incarnation() && l.pool.Address() == server.Address
}

// link returns the connection pool of a server, or nil if the server has been removed or
// replaced. A host uses few of the servers, so pools are created on first use. s.mu must be held.
func (s *service) link(server *balance.Server) *backendlink.Pool {
	if !s.pool.Lists(server) {
		return nil
	}
	link := s.links[server.ID]
	if link == nil {
		link = &serverLink{incarnation: server.Incarnation(), pool: backendlink.NewPool(server.Address, mostIdle, mostAnswer)}
		s.links[server.ID] = link
	}
	return link.pool
}

// unlink closes the connections to a server. s.mu must be held.
func (s *service) unlink(id string) {
	if link := s.links[id]; link != nil {
		link.pool.Close()
		delete(s.links, id)
	}
}

// first counts a request before any attempt. A key's demand counts whether or not its
// owner has capacity: an owner that rejects most requests is still overloaded.
func (s *service) first(key *uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.First()
	if key != nil {
		s.asked[*key] += s.pool.Mean()
	}
}

// shareReserve sets this host's share of the retries that are allowed beyond the retry ratio.
// The initial retries are added only once.
func (s *service) shareReserve(reserve retryReserve) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := reserve.first
	if s.reserveShared {
		added = 0
	}
	s.reserveShared = true
	s.budget.SetReserve(reserve.most, added)
}

// mayRetry takes one retry from the budget and reports whether there was one.
func (s *service) mayRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Retry()
}

// acquire waits for a server and occupies one of its slots. The error is a
// *balance.RejectedError or the context's error.
func (s *service) acquire(ctx context.Context, waiter *balance.Waiter) (*balance.Server, *backendlink.Pool, error) {
	s.mu.Lock()
	s.pool.Enter(s.now(), waiter)
	s.wish()
	s.armPump()
	s.mu.Unlock()
	select {
	case <-waiter.Ready:
	case <-ctx.Done():
		s.mu.Lock()
		assigned := s.pool.Leave(waiter)
		if assigned != nil {
			s.pool.Done(s.now(), assigned, balance.End{Outcome: balance.Abandoned})
		}
		s.mu.Unlock()
		return nil, nil, ctx.Err()
	}
	if waiter.Rejected != nil {
		return nil, nil, waiter.Rejected
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	link := s.link(waiter.Server)
	if link == nil {
		s.pool.Done(s.now(), waiter.Server, balance.End{Outcome: balance.Abandoned})
		return nil, nil, &balance.RejectedError{Reason: balance.NoServer, RetryAfter: retryAfterUnknown}
	}
	return waiter.Server, link, nil
}

// expectedToEnd reports whether a server that did not respond may have ended as planned, for
// which no request is to blame. That is so if the server is leaving, or if the connection broke
// after its registry entry was removed, as happens when a server leaves without announcing it.
func (s *service) expectedToEnd(server *balance.Server, brokeOff bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return server.Leaving() || brokeOff && !s.pool.Lists(server)
}

// done releases the slot that a request occupied at a server.
func (s *service) done(server *balance.Server, end balance.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pace := s.pool.Done(s.now(), server, end)
	if s.view != nil && pace.Samples > 0 {
		s.paces[server.Incarnation()] = s.paces[server.Incarnation()].Plus(pace)
	}
	s.wish()
	s.armPump()
}

// armPump schedules the next check of waiting requests if there are any. s.mu must be held.
func (s *service) armPump() {
	if s.pumping || s.pool.Waiting() == 0 {
		return
	}
	s.pumping = true
	time.AfterFunc(pumpEvery, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.pumping = false
		s.pool.Pump(s.now())
		s.wish()
		s.armPump()
	})
}

// pump dispatches waiting requests after the owners of keys have changed.
func (s *service) pump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Pump(s.now())
	s.wish()
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
	// asked is the slot time that requests need, by key.
	asked map[uint16]time.Duration
	// work is the mean time for which one request occupies a slot.
	work  time.Duration
	paces map[fleet.Incarnation]balance.Pace
}

// takeLoad returns the load since the last call.
func (s *service) takeLoad() keyLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := keyLoad{asked: s.asked, work: s.pool.Mean(), paces: s.paces}
	s.asked, s.paces = map[uint16]time.Duration{}, map[fleet.Incarnation]balance.Pace{}
	return load
}

// learn merges another host's measurements of the servers' speed.
func (s *service) learn(paces map[fleet.Incarnation]balance.Pace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation, pace := range paces {
		s.pool.Learn(incarnation, pace)
	}
}

// setShares sets, for overloaded keys, the share of requests that their owners can take.
func (s *service) setShares(shares map[uint16]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetShares(s.now(), shares)
}

// serverState is what the controller of a service's keys needs to know of a server.
type serverState struct {
	fleet.Server
	Speed float64
	// LongRest is set if the server has asked this host for a backoff that is long enough
	// to move its keys.
	LongRest bool
}

func (s *service) serverStates() []serverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var states []serverState
	for _, server := range s.pool.Servers() {
		states = append(states, serverState{Server: server.Server, Speed: s.pool.Speed(s.now(), server), LongRest: server.RestLeft(s.now()) >= longRest})
	}
	return states
}
