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

// lease is an immutable snapshot of what this router may dispatch of a page.
type lease struct {
	page   record.Page
	expiry time.Duration
}

// page is the state of a page that this router dispatches or has dispatched.
type page struct {
	name   string
	router *Router
	lease  atomic.Pointer[lease]

	mu      sync.Mutex
	dedup   *dispatch.Deduplicator
	meter   *dispatch.LoadMeter
	servers map[string]*server
	running map[*attempt]struct{}
	parked  int
	// changed is closed when a newer generation comes into force.
	changed chan struct{}
	// ownerless notes since when a shard has had no owner.
	ownerless map[uint64]time.Duration
}

// server is a backend server as this router sees it.
type server struct {
	record record.Server
	pool   *backendlink.Pool
	gate   *dispatch.ConcurrencyLimiter
	// avoidUntil keeps requests that have a choice away from a server that
	// refused, drains or does not answer.
	avoidUntil time.Duration
	failures   int
	chosen     int
	answered   bool
	failed     bool
}

// attempt is a request that a server works on.
type attempt struct {
	hash   uint64
	token  uint64
	cancel func()
	moved  bool
}

func newPage(router *Router, name string) *page {
	return &page{
		name:      name,
		router:    router,
		dedup:     dispatch.NewDeduplicator(dispatch.DefaultDedupPolicy(), router.wall()),
		meter:     dispatch.NewLoadMeter(router.clock.Now()),
		servers:   map[string]*server{},
		running:   map[*attempt]struct{}{},
		changed:   make(chan struct{}),
		ownerless: map[uint64]time.Duration{},
	}
}

func (p *page) expiry() time.Duration {
	if held := p.lease.Load(); held != nil {
		return held.expiry
	}
	return 0
}

// renew takes a lease that the holder has accepted. fresh is nil when the page
// is the one already known.
func (p *page) renew(now, expiry time.Duration, fresh *record.Page) {
	old := p.lease.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	if old != nil && now >= old.expiry {
		// Another router may have dispatched the page while this one had no lease.
		p.dedup.ResetCoverage(p.router.wall())
	}
	if fresh == nil {
		p.lease.Store(&lease{page: old.page, expiry: expiry})
		return
	}
	p.lease.Store(&lease{page: *fresh, expiry: expiry})
	p.noteOwnerless(now, *fresh)
	p.cancelMoved(*fresh)
	p.forgetServers()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *page) noteOwnerless(now time.Duration, fresh record.Page) {
	before := p.ownerless
	p.ownerless = map[uint64]time.Duration{}
	for _, shard := range fresh.Shards {
		if shard.Grantable() {
			continue
		}
		since, already := before[shard.Low]
		if !already {
			since = now
		}
		p.ownerless[shard.Low] = since
	}
}

// cancelMoved ends attempts at servers that have lost the key for good: their
// answers will not come, and their callers should know at once.
func (p *page) cancelMoved(fresh record.Page) {
	for running := range p.running {
		shard := fresh.Shards[fresh.ShardAt(running.hash)]
		if shard.Grantable() && shard.Token != running.token {
			running.moved = true
			running.cancel()
		}
	}
	for name, known := range p.servers {
		if !owns(fresh, name) {
			known.gate.ShedAll(p.router.clock.Now())
		}
	}
}

// forgetServers drops servers whose records are gone, with their connections.
// Servers join and leave all day. The caller holds p.mu.
func (p *page) forgetServers() {
	for name, known := range p.servers {
		if _, listed := p.router.directory.Server(name); listed || known.gate.LoadPerSlot() > 0 {
			continue
		}
		known.pool.Close()
		delete(p.servers, name)
	}
}

func owns(fresh record.Page, server string) bool {
	for _, shard := range fresh.Shards {
		if shard.Owner == server && shard.Grantable() {
			return true
		}
	}
	return false
}

// target is where a request is to go.
type target struct {
	server string
	token  uint64
	low    uint64
}

// owner returns the target of a hash in the lease, if it has one.
func (l *lease) owner(hash uint64) (target, bool) {
	shard := l.page.Shards[l.page.ShardAt(hash)]
	if !shard.Grantable() {
		return target{low: shard.Low}, false
	}
	return target{server: shard.Owner, token: shard.Token, low: shard.Low}, true
}

// holds reports whether the lease still runs and still says the same of the
// hash. It is asked last before the bytes of a request go out.
func (p *page) holds(hash uint64, wanted target) bool {
	held := p.lease.Load()
	if held == nil || p.router.clock.Now() >= held.expiry {
		return false
	}
	now, owned := held.owner(hash)
	return owned && now.server == wanted.server && now.token == wanted.token
}

// connectionsKept is left for the controllers' grants and probes.
const connectionsKept = 6

// server returns the named server with its gate, made on first use. The caller
// holds p.mu.
func (p *page) server(name string) (*server, bool) {
	known, ok := p.servers[name]
	current, listed := p.router.directory.Server(name)
	if !listed {
		return known, ok
	}
	if ok && known.record.Address == current.Address {
		known.record = current
		known.gate.SetSlots(current.Slots)
		return known, true
	}
	if ok {
		known.pool.Close()
	}
	idle := max(1, current.Connections-connectionsKept)
	known = &server{
		record: current,
		pool:   backendlink.NewPool(current.Address, idle, p.router.limits.AnswerBody),
		gate:   dispatch.NewConcurrencyLimiter(dispatch.DefaultLimiterPolicy(), current.Slots, dispatch.NewRoundRobin()),
		chosen: p.leastChosen(),
	}
	p.servers[name] = known
	return known, true
}

// leastChosen is where the count of a server that joins starts, so that it does
// not get every request until it has caught up. The caller holds p.mu.
func (p *page) leastChosen() int {
	least := -1
	for _, known := range p.servers {
		if least < 0 || known.chosen < least {
			least = known.chosen
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
