package router

import (
	"sync"
	"sync/atomic"
	"time"

	"cicadarouter/contract/caller"
	"cicadarouter/dispatch"
	"cicadarouter/link/backendlink"
	"cicadarouter/record"
)

// lease is an immutable snapshot of a page and of the time until which this router
// may dispatch its requests.
type lease struct {
	page   record.Page
	expiry time.Duration
}

// page is the state of a page that this router holds or has held the lease of.
type page struct {
	name   string
	router *Router
	lease  atomic.Pointer[lease]

	mu              sync.Mutex
	dedup           *dispatch.Deduplicator
	meter           *dispatch.LoadMeter
	servers         map[string]*server
	running         map[*attempt]struct{}
	waitingForOwner int
	// changed is closed and replaced when a newer generation takes effect.
	changed chan struct{}
	// ownerlessSince maps the lowest hash of each shard without an owner to the time
	// since when it has had none.
	ownerlessSince map[uint64]time.Duration
}

// server is a backend server as this router sees it.
type server struct {
	record  record.Server
	pool    *backendlink.Pool
	limiter *dispatch.ConcurrencyLimiter
	// avoidUntil is when requests that can go to several servers may use this one
	// again after it rejected a request, was draining or did not answer.
	avoidUntil          time.Duration
	consecutiveFailures int
	timesChosen         int
	answered            bool
	failed              bool
}

// attempt is a request in progress on a server.
type attempt struct {
	hash   uint64
	token  uint64
	cancel func()
	moved  bool
}

func newPage(router *Router, name string) *page {
	return &page{
		name:           name,
		router:         router,
		dedup:          dispatch.NewDeduplicator(dispatch.DefaultDedupPolicy(), router.wall()),
		meter:          dispatch.NewLoadMeter(router.clock.Now()),
		servers:        map[string]*server{},
		running:        map[*attempt]struct{}{},
		changed:        make(chan struct{}),
		ownerlessSince: map[uint64]time.Duration{},
	}
}

func (p *page) expiry() time.Duration {
	if held := p.lease.Load(); held != nil {
		return held.expiry
	}
	return 0
}

// renew applies a lease that ownership.Holder has accepted. fresh is nil if the
// page's generation has not changed.
func (p *page) renew(now, expiry time.Duration, fresh *record.Page) {
	old := p.lease.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	if old != nil && now >= old.expiry {
		// Another router may have dispatched requests of the page in the meantime.
		p.dedup.ResetCoverage(p.router.wall())
	}
	if fresh == nil {
		p.lease.Store(&lease{page: old.page, expiry: expiry})
		return
	}
	p.lease.Store(&lease{page: *fresh, expiry: expiry})
	p.updateOwnerless(now, *fresh)
	p.cancelMoved(*fresh)
	p.removeUnlistedServers()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *page) updateOwnerless(now time.Duration, fresh record.Page) {
	before := p.ownerlessSince
	p.ownerlessSince = map[uint64]time.Duration{}
	for _, shard := range fresh.Shards {
		if shard.Grantable() {
			continue
		}
		since, already := before[shard.Low]
		if !already {
			since = now
		}
		p.ownerlessSince[shard.Low] = since
	}
}

// cancelMoved cancels attempts whose key has been granted to another owner or under
// another token: they will not be answered, and their callers should not wait for
// the deadline. It also empties the queues of servers that own no shard any more.
func (p *page) cancelMoved(fresh record.Page) {
	for running := range p.running {
		shard := fresh.Shards[fresh.ShardAt(running.hash)]
		if shard.Grantable() && shard.Token != running.token {
			running.moved = true
			running.cancel()
		}
	}
	for name, srv := range p.servers {
		if !ownsShard(fresh, name) {
			srv.limiter.ShedAll(p.router.clock.Now())
		}
	}
}

// removeUnlistedServers removes servers that are no longer registered and have no requests,
// and closes their connections. Without it the map would grow, because servers join
// and leave all the time. p.mu must be held.
func (p *page) removeUnlistedServers() {
	for name, srv := range p.servers {
		if _, listed := p.router.directory.Server(name); listed || srv.limiter.LoadPerSlot() > 0 {
			continue
		}
		srv.pool.Close()
		delete(p.servers, name)
	}
}

func ownsShard(fresh record.Page, server string) bool {
	for _, shard := range fresh.Shards {
		if shard.Owner == server && shard.Grantable() {
			return true
		}
	}
	return false
}

// target is the shard that a request belongs to and its owner.
type target struct {
	server   string
	token    uint64
	shardLow uint64
}

// owner returns the target of a hash, and whether its shard has an owner.
func (l *lease) owner(hash uint64) (target, bool) {
	shard := l.page.Shards[l.page.ShardAt(hash)]
	if !shard.Grantable() {
		return target{shardLow: shard.Low}, false
	}
	return target{server: shard.Owner, token: shard.Token, shardLow: shard.Low}, true
}

// stillOwned reports whether the lease is still valid and the hash still has the given
// owner and token. It is checked immediately before a request is sent.
func (p *page) stillOwned(hash uint64, wanted target) bool {
	held := p.lease.Load()
	if held == nil || p.router.clock.Now() >= held.expiry {
		return false
	}
	now, owned := held.owner(hash)
	return owned && now.server == wanted.server && now.token == wanted.token
}

// reservedConnections is the number of a server's connections that are reserved for
// grants and probes by the controllers.
const reservedConnections = 6

// server returns the named server and creates its limiter and connection pool on first
// use or when its address has changed. p.mu must be held.
func (p *page) server(name string) (*server, bool) {
	srv, ok := p.servers[name]
	current, listed := p.router.directory.Server(name)
	if !listed {
		return srv, ok
	}
	if ok && srv.record.Address == current.Address {
		srv.record = current
		srv.limiter.SetSlots(current.Slots)
		return srv, true
	}
	if ok {
		srv.pool.Close()
	}
	idle := max(1, current.Connections-reservedConnections)
	srv = &server{
		record:      current,
		pool:        backendlink.NewPool(current.Address, idle, p.router.limits.AnswerBody),
		limiter:     dispatch.NewConcurrencyLimiter(dispatch.DefaultLimiterPolicy(), current.Slots, dispatch.NewRoundRobin()),
		timesChosen: p.minTimesChosen(),
	}
	p.servers[name] = srv
	return srv, true
}

// minTimesChosen returns the initial selection count of a new server. With 0 it would
// get every request until it has caught up with the others. p.mu must be held.
func (p *page) minTimesChosen() int {
	least := -1
	for _, srv := range p.servers {
		if least < 0 || srv.timesChosen < least {
			least = srv.timesChosen
		}
	}
	return max(least, 0)
}

func notRun(reason caller.Reason, retryAfter time.Duration) dispatch.Reply {
	return dispatch.Reply{Outcome: caller.NotRun, Reason: reason, RetryAfter: retryAfter}
}

func unknown(reason caller.Reason) dispatch.Reply {
	return dispatch.Reply{Outcome: caller.Unknown, Reason: reason}
}
