package domain

import (
	"context"
	"slices"
	"time"

	"cicadarouter/ownership"
	"cicadarouter/placement"
	"cicadarouter/record"
)

// event is something that happened outside the loop.
type event interface {
	apply(l *loop, now time.Duration)
}

// pageState is the loop's state of one page.
type pageState struct {
	machine *ownership.StateMachine
	planner *placement.Planner
	// groupDue is when a change of group that seems needed may be proposed.
	groupDue time.Duration
	reading  bool
}

// loop owns the state machines of a controller. Only its goroutine touches it.
type loop struct {
	c       *Controller
	pages   map[string]*pageState
	servers map[string]*serverHealth
	routers map[string]*routerHealth
	out     outbox
	started time.Duration
	// tried is when this controller last acted on what waits for the watchers.
	tried map[string]time.Duration
	// rescanDue is when all known pages are looked through again.
	rescanDue time.Duration
	// noticed is when this controller first saw that something waits for the
	// watchers of its domain.
	noticed map[string]time.Duration
}

func newLoop(c *Controller) *loop {
	return &loop{
		c:       c,
		pages:   map[string]*pageState{},
		servers: map[string]*serverHealth{},
		routers: map[string]*routerHealth{},
		tried:   map[string]time.Duration{},
		noticed: map[string]time.Duration{},
		started: c.clock.Now(),
		out:     newOutbox(),
	}
}

func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(l.c.timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick(l.c.clock.Now())
		case happened := <-l.c.events.Out():
			l.handle(happened)
		}
		l.flush(ctx)
	}
}

// eventBatch bounds the events that are taken before the answers go out.
const eventBatch = 64

// handle takes an event and those already waiting, so that their answers leave
// together in one message for each peer. Each event has its own reading of the
// clock: one that came while this process was paused must not be dated before
// the pause. A promise dated too early would be taken for lapsed while leases
// that it accounts for still run, and two servers would own a key.
func (l *loop) handle(first event) {
	first.apply(l, l.c.clock.Now())
	for range eventBatch {
		select {
		case next := <-l.c.events.Out():
			next.apply(l, l.c.clock.Now())
		default:
			return
		}
	}
}

// rescanEvery is how often all known pages are looked through, in case that the
// ring was full when one was learned.
const rescanEvery = 2 * time.Second

func (l *loop) tick(now time.Duration) {
	if now >= l.rescanDue {
		l.rescanDue = now + rescanEvery
		for _, page := range l.c.directory.Pages() {
			// Read after the page: a takeover's wait counts from here, and must
			// not begin before the takeover.
			l.takePage(l.c.clock.Now(), page)
		}
		l.createPages(now)
		l.takeOverLost(now)
		l.forgetGone()
	}
	for _, state := range l.pages {
		l.tickPage(now, state)
	}
}

// forgetGone drops what is known of servers and hosts whose records are gone, so
// that a domain's daily replacements do not add up.
func (l *loop) forgetGone() {
	for name := range l.servers {
		if _, listed := l.c.directory.Server(name); !listed {
			delete(l.servers, name)
		}
	}
	for name := range l.routers {
		if _, listed := l.c.directory.Host(name); !listed {
			delete(l.routers, name)
		}
	}
	l.c.heard.forget(func(host string) bool {
		_, listed := l.c.directory.Host(host)
		return !listed
	})
}

// takePage begins or ends this controller's part in a page, as its group says.
func (l *loop) takePage(now time.Duration, page record.Page) {
	if !slices.Contains(page.Voters(), l.c.identity.Host) {
		delete(l.pages, page.Name)
		return
	}
	state := l.page(page)
	state.machine.Learn(now, page)
	l.pump(now, state)
}

// page returns the state of a page of whose group this controller is a member.
func (l *loop) page(page record.Page) *pageState {
	state, known := l.pages[page.Name]
	if !known {
		state = &pageState{
			machine: ownership.NewStateMachine(l.c.terms, newAttempt),
			planner: placement.NewPlanner(placement.DefaultPolicy()),
		}
		l.pages[page.Name] = state
	}
	return state
}

func (l *loop) tickPage(now time.Duration, state *pageState) {
	page := state.machine.Page()
	if !l.active(now, page) {
		l.stopAsking(page)
		state.machine.Tick(now, ownership.View{})
		return
	}
	view := l.view(now, state)
	// Read after the view: what operators declared lost is counted from here.
	now = l.c.clock.Now()
	state.machine.Tick(now, view)
	l.propose(now, state, view)
	l.c.directory.SetDispatcher(page.Name, state.machine.Dispatcher())
	l.pump(now, state)
}

// stopAsking ends the count of the silence of servers that this controller asks
// no more: another member does, and what is not asked does not answer.
func (l *loop) stopAsking(page record.Page) {
	service, _ := l.c.directory.Service(page.Service)
	for _, server := range l.pageServers(page, service) {
		l.server(server.Name).asked = false
	}
}

// pump carries out what a machine wants, until it wants nothing more.
func (l *loop) pump(now time.Duration, state *pageState) {
	for {
		ready := state.machine.Ready()
		if !l.route(now, state, ready) {
			return
		}
	}
}

// route passes a machine's wishes on and reports whether there were any.
func (l *loop) route(now time.Duration, state *pageState, ready ownership.Ready) bool {
	for _, ask := range ready.Renewals {
		l.routeAsk(now, state, ask)
	}
	for _, stop := range ready.Stops {
		l.routeStop(now, state, stop)
	}
	for _, grant := range ready.Grants {
		l.routeGrant(now, grant)
	}
	if ready.Write != nil {
		l.out.writes = append(l.out.writes, *ready.Write)
	}
	if ready.Reread && !state.reading {
		state.reading = true
		l.out.rereads = append(l.out.rereads, state.machine.Page().Name)
	}
	return len(ready.Renewals)+len(ready.Stops)+len(ready.Grants) > 0
}

func (l *loop) routeAsk(now time.Duration, state *pageState, ask ownership.RenewalMessage) {
	for _, host := range ask.Hosts {
		if host == l.c.identity.Host {
			answer := l.c.voter.agree(now, ask.Request)
			state.machine.HandleRenewalResponse(now, ask.Round, host, answer)
			continue
		}
		l.out.asks[host] = append(l.out.asks[host], ask)
	}
}

func (l *loop) routeStop(now time.Duration, state *pageState, stop ownership.StopMessage) {
	for _, host := range stop.Hosts {
		if host == l.c.identity.Host {
			promise := l.c.voter.stop(now, stop.Page, stop.Generation)
			state.machine.HandlePromise(now, stop.Generation, host, promise)
			continue
		}
		l.out.stops[host] = append(l.out.stops[host], stop)
	}
}

func (l *loop) routeGrant(now time.Duration, grant ownership.GrantMessage) {
	if grant.Holder.Kind == ownership.Router {
		l.router(grant.Holder.Name).noteAsked(now)
		l.out.leases[grant.Holder.Name] = append(l.out.leases[grant.Holder.Name], grant)
		return
	}
	l.server(grant.Holder.Name).noteAsked(now)
	l.out.grants = append(l.out.grants, grant)
}

func (l *loop) server(name string) *serverHealth {
	if known, ok := l.servers[name]; ok {
		return known
	}
	fresh := &serverHealth{}
	l.servers[name] = fresh
	return fresh
}

func (l *loop) router(name string) *routerHealth {
	if known, ok := l.routers[name]; ok {
		return known
	}
	fresh := &routerHealth{}
	l.routers[name] = fresh
	return fresh
}
