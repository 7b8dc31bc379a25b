package domain

import (
	"slices"
	"time"

	"cicadarouter/ownership"
	"cicadarouter/placement"
	"cicadarouter/record"
)

// Delays of a takeover: a member of a group takes over when all earlier members have
// been silent for takeoverDelay plus takeoverDelayPerMember for each of them.
const (
	takeoverDelay          = 300 * time.Millisecond
	takeoverDelayPerMember = 150 * time.Millisecond
)

// view returns the input of a page's state machine for a page on which this
// controller is active.
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
	if service.Keyed && l.canChooseOwners(now, page, servers) {
		view.Eligible = l.eligible(now, state, servers)
	}
	return view
}

// active reports whether this controller should renew and assign the page. The
// first member of the group does; a later one takes over when all earlier ones
// have been silent. Two active members send more messages but are safe.
func (l *loop) active(now time.Duration, page record.Page) bool {
	rank := slices.Index(page.Group, l.c.identity.Host)
	if rank < 0 {
		return false
	}
	silenceLimit := takeoverDelay + time.Duration(rank)*takeoverDelayPerMember
	for _, earlier := range page.Group[:rank] {
		lastHeard, known := l.c.lastRenewals.last(page.Name, earlier)
		if !known {
			lastHeard = l.started
		}
		if now-lastHeard < silenceLimit {
			return false
		}
	}
	return true
}

// pageServers returns the backend servers that belong to the page.
func (l *loop) pageServers(page record.Page, service record.Service) []record.Server {
	return l.c.directory.PageServers(service, page.Home, page.Index)
}

// canChooseOwners reports whether owners may be chosen: always on a page that has an
// owner, and on a new page once every server has answered or is suspected. Otherwise
// the first servers to answer would get all shards, and most shards would move again.
func (l *loop) canChooseOwners(now time.Duration, page record.Page, servers []record.Server) bool {
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

// eligible returns the servers that may become owners, least loaded first.
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
	l.logSuspicion(now, server.Name, health, suspected)
	if server.State == record.ServerLeaving || health.draining || suspected {
		return false
	}
	return health.incarnation != 0
}

func (l *loop) logSuspicion(now time.Duration, name string, health *serverHealth, suspected bool) {
	if health.loggedSuspected == suspected {
		return
	}
	health.loggedSuspected = suspected
	if suspected {
		l.c.meters.suspected.Inc()
		l.c.log.Warn("backend server suspected", "server", name, "silence", health.silence(now))
		return
	}
	l.c.log.Info("backend server answers again", "server", name)
}

// chooseDispatcher returns the page's current dispatcher while it is usable, and
// otherwise the first usable router in the page's order, or "" if there is none.
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

// groupChangeDelay is how long a change of group must be needed before it is proposed.
// The host list lags and flaps, and after a change the old leases must expire first.
const groupChangeDelay = 3 * time.Second

// propose passes the changes that placement and group membership require to the
// page's state machine.
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
	next := replaceMissingMembers(page.Group, renewalGroup(page.Name, hosts, page.Home), live)
	if next == nil || len(page.OldGroup) > 0 {
		state.groupChangeDue = 0
		return nil
	}
	if state.groupChangeDue == 0 {
		state.groupChangeDue = now + groupChangeDelay
	}
	if now < state.groupChangeDue {
		return nil
	}
	state.groupChangeDue = 0
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
