package domain

import (
	"context"
	"slices"
	"time"

	"cicadarouter/ownership"
	"cicadarouter/placement"
	"cicadarouter/record"
)

// event is an input of the loop: an answer, or a change of the records.
type event interface {
	apply(l *loop, now time.Duration)
}

// pageState is the loop's state of one page.
type pageState struct {
	machine *ownership.StateMachine
	planner *placement.Planner
	// groupChangeDue is the earliest time to propose a pending change of the group,
	// or 0 if none is pending.
	groupChangeDue time.Duration
	// rereading is set while the page is being reread from the store.
	rereading bool
}

// loop owns the state machines of a controller. Only its own goroutine accesses it.
type loop struct {
	c       *Controller
	pages   map[string]*pageState
	servers map[string]*serverHealth
	routers map[string]*routerHealth
	out     outbox
	started time.Duration
	// lastAttempt holds the time of the last attempt at each task of the watchers.
	lastAttempt map[string]time.Duration
	// nextRescan is the time of the next scan of all known pages.
	nextRescan time.Duration
	// pendingSince holds the time at which this controller first saw each pending task
	// of the watchers.
	pendingSince map[string]time.Duration
}

func newLoop(c *Controller) *loop {
	return &loop{
		c:            c,
		pages:        map[string]*pageState{},
		servers:      map[string]*serverHealth{},
		routers:      map[string]*routerHealth{},
		lastAttempt:  map[string]time.Duration{},
		pendingSince: map[string]time.Duration{},
		started:      c.clock.Now(),
		out:          newOutbox(),
	}
}

func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(l.c.timing.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick(l.c.clock.Now())
		case ev := <-l.c.events.Out():
			l.handle(ev)
		}
		l.flush(ctx)
	}
}

// maxEventBatch bounds the events that are handled before the outgoing messages are sent.
const maxEventBatch = 64

// handle applies an event and those already queued, so that the resulting
// messages are sent in one batch per peer. The clock is read for each event: an
// event that arrived while this process was paused must not get a time before the
// pause. The time that remains on a promise would then seem to be over while
// leases that it covers are still valid, and two servers would own a key.
func (l *loop) handle(first event) {
	first.apply(l, l.c.clock.Now())
	for range maxEventBatch {
		select {
		case next := <-l.c.events.Out():
			next.apply(l, l.c.clock.Now())
		default:
			return
		}
	}
}

// rescanInterval is the interval between scans of all known pages, which find those
// whose event was dropped because the queue was full.
const rescanInterval = 2 * time.Second

func (l *loop) tick(now time.Duration) {
	if now >= l.nextRescan {
		l.nextRescan = now + rescanInterval
		for _, page := range l.c.directory.Pages() {
			// The clock is read after the page: the wait after a takeover starts
			// at this time, which must not be before the takeover.
			l.updatePage(l.c.clock.Now(), page)
		}
		l.createPages(now)
		l.takeOverLost(now)
		l.removeStale()
	}
	for _, state := range l.pages {
		l.tickPage(now, state)
	}
}

// removeStale removes the state of servers and hosts whose records are gone.
// Otherwise it would grow with every replaced server and host.
func (l *loop) removeStale() {
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
	l.c.lastRenewals.removeHosts(func(host string) bool {
		_, listed := l.c.directory.Host(host)
		return !listed
	})
}

// updatePage passes a page to its state machine, or drops the machine if this
// controller is not a member of the page's group.
func (l *loop) updatePage(now time.Duration, page record.Page) {
	if !slices.Contains(page.Voters(), l.c.identity.Host) {
		delete(l.pages, page.Name)
		return
	}
	state := l.page(page)
	state.machine.Learn(now, page)
	l.processOutput(now, state)
}

// page returns the state of a page, and creates it if there is none.
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
		l.stopTrackingHealth(page)
		state.machine.Tick(now, ownership.View{})
		return
	}
	view := l.view(now, state)
	// The clock is read after the view: waits for losses that operators declared
	// start at this time.
	now = l.c.clock.Now()
	state.machine.Tick(now, view)
	l.propose(now, state, view)
	l.c.directory.SetDispatcher(page.Name, state.machine.Dispatcher())
	l.processOutput(now, state)
}

// stopTrackingHealth stops measuring the silence of the page's servers. Another member of
// the group contacts them now, so that they send this controller no answers.
func (l *loop) stopTrackingHealth(page record.Page) {
	service, _ := l.c.directory.Service(page.Service)
	for _, server := range l.pageServers(page, service) {
		l.server(server.Name).contacted = false
	}
}

// processOutput processes the output of a state machine until there is no more.
func (l *loop) processOutput(now time.Duration, state *pageState) {
	for {
		ready := state.machine.Ready()
		if !l.queueOutput(now, state, ready) {
			return
		}
	}
}

// queueOutput adds the output of a state machine to the outbox, and reports whether it
// contained messages. Messages to this controller's own voter are answered here.
func (l *loop) queueOutput(now time.Duration, state *pageState, ready ownership.Ready) bool {
	for _, renewal := range ready.Renewals {
		l.queueRenewal(now, state, renewal)
	}
	for _, stop := range ready.Stops {
		l.queueStop(now, state, stop)
	}
	for _, grant := range ready.Grants {
		l.queueGrant(now, grant)
	}
	if ready.Write != nil {
		l.out.writes = append(l.out.writes, *ready.Write)
	}
	if ready.Reread && !state.rereading {
		state.rereading = true
		l.out.rereads = append(l.out.rereads, state.machine.Page().Name)
	}
	return len(ready.Renewals)+len(ready.Stops)+len(ready.Grants) > 0
}

func (l *loop) queueRenewal(now time.Duration, state *pageState, renewal ownership.RenewalMessage) {
	for _, host := range renewal.Hosts {
		if host == l.c.identity.Host {
			answer := l.c.voter.agree(now, renewal.Request)
			state.machine.HandleRenewalResponse(now, renewal.Round, host, answer)
			continue
		}
		l.out.renewals[host] = append(l.out.renewals[host], renewal)
	}
}

func (l *loop) queueStop(now time.Duration, state *pageState, stop ownership.StopMessage) {
	for _, host := range stop.Hosts {
		if host == l.c.identity.Host {
			promise := l.c.voter.stop(now, stop.Page, stop.Generation)
			state.machine.HandlePromise(now, stop.Generation, host, promise)
			continue
		}
		l.out.stops[host] = append(l.out.stops[host], stop)
	}
}

func (l *loop) queueGrant(now time.Duration, grant ownership.GrantMessage) {
	if grant.Holder.Kind == ownership.Router {
		l.router(grant.Holder.Name).recordContact(now)
		l.out.leases[grant.Holder.Name] = append(l.out.leases[grant.Holder.Name], grant)
		return
	}
	l.server(grant.Holder.Name).recordContact(now)
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
