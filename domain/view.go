package domain

import (
	"slices"
	"time"

	"cicadarouter/ownership"
	"cicadarouter/placement"
	"cicadarouter/record"
)

// Times after which a later member of a group takes over from a silent earlier one.
const (
	takeOverAfter = 300 * time.Millisecond
	takeOverStep  = 150 * time.Millisecond
)

// view gathers what the machine of a page that this controller works on needs
// to know of the world.
func (l *loop) view(now time.Duration, state *pageState) ownership.View {
	page := state.machine.Page()
	service, _ := l.c.directory.Service(page.Service)
	servers := l.pageServers(page, service)
	view := ownership.View{
		Active:             true,
		Dispatcher:         l.chooseDispatcher(now, state, page),
		LostHosts:          l.c.directory.Lost(record.LostHost),
		LostServers:        l.c.directory.Lost(record.LostServer),
		TokensUnchecked:    service.Fencing == record.FencingUnchecked,
		WaitForOperator:    service.WaitForOperator,
		MaxRequestDuration: service.Deadline(),
	}
	for _, server := range servers {
		view.Servers = append(view.Servers, server.Name)
	}
	if service.Keyed && l.judged(now, page, servers) {
		view.Eligible = l.eligible(now, state, servers)
	}
	return view
}

// active reports whether this controller should work on the page. The first
// member of the group does; each later one takes over when all earlier ones
// have been silent. Two at work at once cost messages, never safety.
func (l *loop) active(now time.Duration, page record.Page) bool {
	rank := slices.Index(page.Group, l.c.identity.Host)
	if rank < 0 {
		return false
	}
	patience := takeOverAfter + time.Duration(rank)*takeOverStep
	for _, earlier := range page.Group[:rank] {
		heard, ever := l.c.heard.last(page.Name, earlier)
		if !ever {
			heard = l.started
		}
		if now-heard < patience {
			return false
		}
	}
	return true
}

// pageServers returns the backend servers that belong to the page.
func (l *loop) pageServers(page record.Page, service record.Service) []record.Server {
	return l.c.directory.PageServers(service, page.Home, page.Index)
}

// judged reports whether owners may be chosen: at once on a page that has owners,
// and on a new one when every server has answered or is suspected. Otherwise the
// servers that answer first would get all shards, and most would move again.
func (l *loop) judged(now time.Duration, page record.Page, servers []record.Server) bool {
	for _, shard := range page.Shards {
		if shard.Owner != "" {
			return true
		}
	}
	return !slices.ContainsFunc(servers, func(server record.Server) bool {
		health := l.server(server.Name)
		return health.incarnation == 0 && !health.suspected(now)
	})
}

// eligible returns the servers that may become owners, the least loaded first.
func (l *loop) eligible(now time.Duration, state *pageState, servers []record.Server) []string {
	var names []string
	for _, server := range servers {
		if l.mayOwn(now, server) {
			names = append(names, server.Name)
		}
	}
	return state.planner.LeastLoadedFirst(names)
}

func (l *loop) mayOwn(now time.Duration, server record.Server) bool {
	health := l.server(server.Name)
	suspected := health.suspected(now)
	l.tellSuspicion(now, server.Name, health, suspected)
	if server.State == record.ServerLeaving || health.draining || suspected {
		return false
	}
	return health.incarnation != 0
}

func (l *loop) tellSuspicion(now time.Duration, name string, health *serverHealth, suspected bool) {
	if health.told == suspected {
		return
	}
	health.told = suspected
	if suspected {
		l.c.meters.suspect.Inc()
		l.c.log.Warn("backend server suspected", "server", name, "silence", health.silence(now))
		return
	}
	l.c.log.Info("backend server answers again", "server", name)
}

// chooseDispatcher keeps the router that has the lease while it answers, and
// else takes the first of the page's order that does.
func (l *loop) chooseDispatcher(now time.Duration, state *pageState, page record.Page) string {
	order := DispatchOrder(page.Name, l.c.directory.Hosts(), page.Home)
	current := state.machine.Dispatcher()
	if slices.Contains(order, current) && l.router(current).usable(now) {
		return current
	}
	for _, name := range order {
		if l.router(name).usable(now) {
			return name
		}
	}
	return ""
}

// groupPatience is how long a host must be gone from the list before its seat is
// given to another. The list lags and flaps; a change of group costs a lapse.
const groupPatience = 3 * time.Second

// propose hands the machine what placement and membership want changed.
func (l *loop) propose(now time.Duration, state *pageState, view ownership.View) {
	page := state.machine.Page()
	proposal := ownership.Proposal{Group: l.proposeGroup(now, state, page)}
	service, ok := l.c.directory.Service(page.Service)
	if ok && service.Keyed && len(view.Eligible) > 0 {
		l.proposeMoves(now, state, page, service, view, &proposal)
	}
	if !proposal.Empty() {
		state.machine.Propose(now, proposal)
	}
}

func (l *loop) proposeGroup(now time.Duration, state *pageState, page record.Page) []string {
	hosts := l.c.directory.Hosts()
	live := liveHosts(hosts, page.Home)
	next := replaceGone(page.Group, groupFor(page.Name, hosts, page.Home), live)
	if next == nil || len(page.OldGroup) > 0 {
		state.groupDue = 0
		return nil
	}
	if state.groupDue == 0 {
		state.groupDue = now + groupPatience
	}
	if now < state.groupDue {
		return nil
	}
	state.groupDue = 0
	return next
}

func (l *loop) proposeMoves(now time.Duration, state *pageState, page record.Page,
	service record.Service, view ownership.View, proposal *ownership.Proposal) {
	world := placement.Input{
		Now:     now,
		Page:    page,
		Weigh:   service.Weigh,
		Servers: l.placementServers(view.Eligible),
	}
	plan := state.planner.Plan(world)
	for _, at := range plan.Splits {
		proposal.Splits = append(proposal.Splits, ownership.Split{At: at})
	}
	for _, move := range plan.Moves {
		proposal.Releases = append(proposal.Releases, ownership.Release{Low: move.Low, Next: move.To})
	}
}

func (l *loop) placementServers(eligible []string) []placement.Server {
	servers := make([]placement.Server, 0, len(eligible))
	for _, name := range eligible {
		server, _ := l.c.directory.Server(name)
		servers = append(servers, placement.Server{
			Name:  name,
			Slots: server.Slots,
		})
	}
	return servers
}
