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

// Limits of a service's connections and retries.
const (
	// mostIdle bounds the idle connections to one server from this host. The
	// servers' caps are shared by all hosts.
	mostIdle = 8
	// mostAnswer bounds answers that are read whole by backendlink's callers;
	// the gateway streams longer ones.
	mostAnswer = 1 << 20
	// pumpEvery is how often waiting requests are looked at when nothing else
	// happens: estimates of load decay in hundreds of milliseconds.
	pumpEvery = 20 * time.Millisecond
)

// service is a service's servers, waiting requests and connections on this host.
type service struct {
	name string
	now  func() time.Duration
	view *keyView // nil for a service without keys

	mu     sync.Mutex
	pool   *balance.Pool
	links  map[string]*serverLink // by the server's ID, of those that have been used
	budget *dispatch.Budget
	// reserveShared is set once the host has its part of the reserve of a start.
	reserveShared bool
	asked         map[uint16]time.Duration           // slot time by key, since the last report
	paces         map[fleet.Incarnation]balance.Pace // since the last report
	pumping       bool

	// reserve asks for places at servers that name limits. It does not block.
	reserve func(s *service, wishes []balance.Wish)
}

func newService(name string, identity Identity, keyed bool, now func() time.Duration) *service {
	share := retryPart * cmp.Or(identity.RetryRatio, defaultRetryRatio)
	s := &service{name: name, now: now, links: map[string]*serverLink{},
		budget: dispatch.NewBudget(share, 0), asked: map[uint16]time.Duration{}, paces: map[fleet.Incarnation]balance.Pace{}}
	reserve := reserveOf(identity.RetryReserve, 0)
	s.budget.SetReserve(reserve.most, reserve.first)
	var owner balance.Owner
	if keyed {
		s.view = newKeyView(now)
		owner = s.view
	}
	s.pool = balance.NewPool(identity.Domain, owner, identity.Incarnation)
	if identity.EvacuateWithin > 0 {
		s.pool.SetEvacuateWithin(identity.EvacuateWithin - identity.ApplyWithin)
	}
	return s
}

// setCold sets what a cold server bears, and by how many hosts that is shared.
func (s *service) setCold(perSecond float64, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetCold(perSecond, hosts)
}

// doubt takes that a server's process may have started again, and reports whether it is to be
// asked if it is cold.
func (s *service) doubt(server *balance.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.Doubt(s.now(), server.Incarnation())
}

// toldCold takes that a server said for how long it is still cold.
func (s *service) toldCold(server *balance.Server, coldFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.ToldCold(s.now(), server.Incarnation(), coldFor)
}

// setLimits takes the limits that servers name, and how many hosts there are.
func (s *service) setLimits(limits map[fleet.Incarnation]float64, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetLimits(s.now(), limits, hosts)
	s.wish()
}

// wish has places reserved for waiting requests. s.mu is held.
func (s *service) wish() {
	if wishes := s.pool.Wishes(s.now()); len(wishes) > 0 {
		s.reserve(s, wishes)
	}
}

// reserved takes what became of a wish.
func (s *service) reserved(server fleet.Incarnation, got balance.Reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Reserved(s.now(), server, got)
	s.wish()
	s.armPump()
}

// changeServers takes servers of the service that have changed, and the IDs of those that are
// not its servers any more. Connections to the latter are closed.
func (s *service) changeServers(changed []fleet.Server, gone []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range gone {
		s.unlink(id)
	}
	for i := range changed {
		server := &changed[i]
		if linked := s.links[server.ID]; linked != nil && !linked.leadsTo(server) {
			s.unlink(server.ID)
		}
	}
	if s.view != nil {
		s.view.updateServers(changed, gone)
	}
	s.pool.ChangeServers(s.now(), changed, gone)
}

// serverLink holds the connections to one incarnation of a server.
type serverLink struct {
	incarnation fleet.Incarnation
	pool        *backendlink.Pool
}

func (l *serverLink) leadsTo(server *fleet.Server) bool {
	return l.incarnation == server.Incarnation() && l.pool.Address() == server.Address
}

// link returns the connections to a server, nil if the server is not the one listed. A host
// has connections to few of the servers, so they are made when they are first used. s.mu is
// held.
func (s *service) link(server *balance.Server) *backendlink.Pool {
	if !s.pool.Lists(server) {
		return nil
	}
	linked := s.links[server.ID]
	if linked == nil {
		linked = &serverLink{incarnation: server.Incarnation(), pool: backendlink.NewPool(server.Address, mostIdle, mostAnswer)}
		s.links[server.ID] = linked
	}
	return linked.pool
}

// unlink closes the connections to a server. s.mu is held.
func (s *service) unlink(id string) {
	if linked := s.links[id]; linked != nil {
		linked.pool.Close()
		delete(s.links, id)
	}
}

// first notes a request's first attempt. What is asked of a key counts whether
// or not its owner has room: an owner that turns most of it away is no less
// overloaded.
func (s *service) first(key *uint16) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.First()
	if key != nil {
		s.asked[*key] += s.pool.Mean()
	}
}

// shareReserve takes this host's part of the requests that may be sent once more beyond the
// ratio.
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

// mayRetry takes the right to send a request once more.
func (s *service) mayRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Retry()
}

// acquire waits for a server. Errors: *balance.RejectedError, or the context's.
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
		given := s.pool.Leave(waiter)
		if given != nil {
			s.pool.Done(s.now(), given, balance.End{Outcome: balance.Abandoned})
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

// expectedToEnd reports whether a server that did not answer may have ended as planned,
// which is no request's doing: it leaves, or it broke off and its entry was gone before
// that, as that of a server is which leaves without saying so.
func (s *service) expectedToEnd(server *balance.Server, brokeOff bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return server.Leaving() || brokeOff && !s.pool.Lists(server)
}

// done gives a server back.
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

// armPump sees to it that waiting requests are looked at again. s.mu is held.
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

// pump looks at waiting requests after the owners of keys have changed.
func (s *service) pump() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Pump(s.now())
	s.wish()
}

// inFlight returns the requests that hold a place at one of the servers.
func (s *service) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, server := range s.pool.Servers() {
		total += server.InFlight()
	}
	return total
}

// keyLoad is what a host tells the controller of a service's keys.
type keyLoad struct {
	// asked is the slot time that was asked for, by key.
	asked map[uint16]time.Duration
	// work is how long one request holds a slot.
	work  time.Duration
	paces map[fleet.Incarnation]balance.Pace
}

// takeLoad returns the load since the last call.
func (s *service) takeLoad() keyLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := keyLoad{asked: s.asked, work: s.pool.Mean(), paces: s.paces}
	s.asked, s.paces = map[uint16]time.Duration{}, map[fleet.Incarnation]balance.Pace{}
	return taken
}

// learn takes what another host has measured of the servers' speed.
func (s *service) learn(paces map[fleet.Incarnation]balance.Pace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for incarnation, pace := range paces {
		s.pool.Learn(incarnation, pace)
	}
}

// setShares takes the parts of what is asked of keys that their owners can take on.
func (s *service) setShares(parts map[uint16]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.SetShares(s.now(), parts)
}

// serverState is what the controller of a service's keys needs of its servers.
type serverState struct {
	fleet.Server
	Speed float64
	// LongRest is set if the server has asked this host for a long rest.
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
