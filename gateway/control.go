package gateway

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"cicadarouter/fleet"
	"cicadarouter/host/clock"
	"cicadarouter/host/ring"
	"cicadarouter/keyspace"
	"cicadarouter/ratelimit"
)

// Intervals and timeouts of the control loop.
const (
	// controlInterval is how often the control loop runs on a host that is the controller of a
	// service.
	controlInterval = 50 * time.Millisecond
	// minStepInterval is the minimum time between two steps of the control loop. Moving a key
	// range takes three steps.
	minStepInterval = 8 * time.Millisecond
	// stepPauseFactor is the minimum pause after a step, as a multiple of how long the step
	// took: a step over thousands of ranges must leave most of the time for processing events.
	stepPauseFactor = 4
	// idleControlInterval is how often the control loop runs on a host that controls no service.
	idleControlInterval = 250 * time.Millisecond
	// confirmInterval is how often a controller has the store confirm that it is still the
	// controller. Several confirmations may fail before its authority runs out, but not before
	// the other hosts start to read the store themselves.
	confirmInterval = 600 * time.Millisecond
	// reportInterval is how often a host reports key load to a controller. The answers also show
	// the host that the controller is alive.
	reportInterval = 500 * time.Millisecond
	// controllerTimeout is how long a controller may leave reports unanswered before another host
	// takes over. Leases last longer than this and the takeover together.
	controllerTimeout = 1300 * time.Millisecond
	// storeContactTimeout is how long a controller may go without a confirmation by the store
	// before a host that can reach the store takes over.
	storeContactTimeout = 2000 * time.Millisecond
	// claimSpread is the range over which hosts spread their claims, so that usually only one
	// host writes to the store.
	claimSpread = 700 * time.Millisecond
	// unreadyClaimDelay is the additional delay before a claim by a host that has not read the
	// list of servers yet: it could not renew leases.
	unreadyClaimDelay = 2 * claimSpread
	// linksLostClaimDelay is the additional delay before a claim by a host that has lost its links
	// to the servers: it could not renew leases either.
	linksLostClaimDelay = 2 * time.Second
	// registrationQuietTime is how long the number of servers must stay unchanged before the
	// first assignment is made. Servers that start together register over several seconds, and
	// keys that are reassigned later meet cold caches or have to wait.
	registrationQuietTime = 1500 * time.Millisecond
	// maxFirstWaitUnderLoad is the maximum wait for the first assignment once requests for keys
	// arrive, maxFirstWait the maximum without requests.
	maxFirstWaitUnderLoad = 4500 * time.Millisecond
	maxFirstWait          = 15 * time.Second
	// restoredStoreClaimDelay is the additional delay before a claim while the store, restored
	// from a backup, does not hold the controller's record. The controller writes the record
	// again at its next confirmation, whereas a successor would have to wait until all leases
	// have expired.
	restoredStoreClaimDelay = 1500 * time.Millisecond
	// yieldInterval is how often a controller asks its predecessors whether they have stopped.
	yieldInterval = 400 * time.Millisecond
	// recordPausePerHost is the minimum pause between two assignment records, per host that
	// receives them. A host spends about 2 ms on a record of 868 ranges (go test -bench
	// AssignmentTaken), 12 ms with 0.16 CPU cores. With 295 hosts, records then follow each
	// other at most 8 times a second, which costs such a host a tenth of its CPU time.
	recordPausePerHost = 400 * time.Microsecond
	// defaultHostCount is the number of hosts that is assumed until the real number is known,
	// firstStartHostCount the number while the whole system starts for the first time, when a
	// longer spread delays nothing.
	defaultHostCount    = 100
	firstStartHostCount = 1000
	// maxQueuedEvents bounds the queue of events for the control loop.
	maxQueuedEvents = 4096
)

// control is a host's state as a controller of services or as a client of their controllers.
type control struct {
	assignmentsListed atomic.Bool // the assignments have been read at least once
	listRejected      atomic.Bool // the store has rejected a request for them
	services          map[string]*serviceControl
	events            *ring.Ring[event]
}

func newControl() control {
	return control{services: map[string]*serviceControl{}, events: ring.New[event](maxQueuedEvents)}
}

// event is input to the control loop: the result of an asynchronous call, or a request by
// another host.
type event interface {
	apply(g *Gateway, now time.Duration)
}

// serviceControl is the control loop's state of one service with keys, whether this process is
// its controller or not. Only the control loop accesses it.
type serviceControl struct {
	service             *service
	machine             *keyspace.StateMachine // nil unless this process is the controller
	revision            uint64                 // store revision of the machine's record
	knownServers        map[string]fleet.Server
	writeInFlight       bool
	confirmInFlight     bool
	claimInFlight       bool
	recordMissing       bool    // the store holds no record of the service
	yieldedTerm         uint64  // highest term of a successor that was told that this process has stopped as controller
	members             members // hosts that report to this process as the controller
	shares              map[uint16]float64
	division            division      // of capacity among priorities, while this process is the controller
	firstSeen           time.Duration // when the service was first seen
	serverCount         int           // number of servers at the last check, before the first assignment
	serverCountSince    time.Duration // when that number last changed
	reportedAt          time.Duration // when the last load report was sent
	answeredAt          time.Duration // when the controller last answered a report, on the boot clock
	answeredBy          uint64        // incarnation of the controller that answeredAt refers to
	claimDueSince       time.Duration // since when a claim has been due; 0 if none is
	confirmStarted      time.Duration // when the last successful write or the last confirmation was started
	writtenAt           time.Duration // when the last write was acknowledged
	predecessorsAskedAt time.Duration // when predecessors were last asked whether they have stopped
	authorityLost       bool          // the loss of authority has been logged
	atRangeLimit        bool          // it has been logged that the record has reached its maximum number of ranges
	controllerSince     time.Duration // since when this process is the controller
	exchanges           exchanges
	schedules           map[fleet.Incarnation]*ratelimit.Schedule // of rate-limited servers, while this process is the controller
	quarantine          storedQuarantine
	resigning           bool // this process has been about to resign since resigningSince
	resigningSince      time.Duration
}

// runControl is the control loop. Events are applied as they arrive. Steps are at least
// minStepInterval apart, since each step looks at all ranges and hundreds of events may arrive
// per second.
func (g *Gateway) runControl(ctx context.Context) {
	lastStep, minPause := g.bootClock.Now(), minStepInterval
	for ctx.Err() == nil {
		pause := idleControlInterval
		if g.isController() {
			pause = controlInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-g.wake:
		case next := <-g.control.events.Out():
			next.apply(g, g.bootClock.Now())
		}
		timer.Stop()
		g.drainEvents()
		if early := minPause - (g.bootClock.Now() - lastStep); early > 0 {
			clock.Sleep(ctx, early)
			g.drainEvents()
		}
		lastStep = g.bootClock.Now()
		g.stepControl(ctx)
		minPause = max(minStepInterval, stepPauseFactor*(g.bootClock.Now()-lastStep))
	}
}

func (g *Gateway) drainEvents() {
	for {
		select {
		case next := <-g.control.events.Out():
			next.apply(g, g.bootClock.Now())
		default:
			return
		}
	}
}

// isController reports whether this process is the controller of any service.
func (g *Gateway) isController() bool {
	for _, c := range g.control.services {
		if c.machine != nil {
			return true
		}
	}
	return false
}

func (g *Gateway) stepControl(ctx context.Context) {
	g.expireServers()
	g.recheckLeaving(ctx, g.bootClock.Now())
	g.freshness.setControlling(g.now(), g.isController())
	if g.stop.stopping() {
		g.resignAll(ctx)
		return
	}
	for _, s := range g.keyedServices() {
		c := g.control.services[s.name]
		if c == nil {
			c = &serviceControl{service: s, knownServers: map[string]fleet.Server{}, members: newMembers(), firstSeen: g.bootClock.Now(), answeredAt: g.bootClock.Now()}
			g.control.services[s.name] = c
		}
		if c.machine != nil {
			g.stepAsController(ctx, c)
		} else {
			g.followController(ctx, c)
		}
	}
}

// isOwnRecord reports whether a record names this process as the controller.
func (g *Gateway) isOwnRecord(record *keyspace.Record) bool {
	return record.Controller.Incarnation == g.identity.Incarnation
}

func (g *Gateway) asController() keyspace.Controller {
	return keyspace.Controller{Host: g.identity.Host, Address: g.identity.PeerAddress, Incarnation: g.identity.Incarnation}
}

// followController sends load reports to the current controller of a service, and claims the
// role if there is no controller or it has failed.
func (g *Gateway) followController(ctx context.Context, c *serviceControl) {
	now := g.bootClock.Now()
	if !g.control.assignmentsListed.Load() || c.claimInFlight {
		return
	}
	record, revision := c.service.view.latest()
	if record != nil && record.Controller.Incarnation != c.answeredBy {
		// A new controller gets its own timeout. If it were judged by its predecessor's
		// silence, every host would take over in turn.
		c.answeredBy, c.answeredAt, c.claimDueSince, c.reportedAt = record.Controller.Incarnation, now, 0, now-reportInterval+g.firstReportDelay(c, record)
		c.exchanges = exchanges{reportInFlight: c.exchanges.reportInFlight}
	}
	switch {
	case record == nil:
		g.claimInitial(ctx, c, now)
	case g.isOwnRecord(record):
		// The store accepted this host's claim, but the answer was lost.
		g.claimWhenDue(ctx, c, now, record, revision, 0)
	case record.Controller.Resigned:
		g.claimWhenDue(ctx, c, now, record, revision, g.claimDelay(c, record.Term)/2)
	case now-c.answeredAt > controllerTimeout:
		g.claimWhenDue(ctx, c, now, record, revision, g.claimDelay(c, record.Term))
	default:
		c.claimDueSince = 0
	}
	if record != nil && !g.isOwnRecord(record) && (now-c.reportedAt >= reportInterval || g.hasUrgentChanges(c, now)) {
		c.reportedAt = now
		g.sendReport(ctx, c, record.Controller)
	}
}

const (
	// reportSpreadPerHost is the time per host over which the first reports to a new controller
	// are spread. All hosts learn of it within milliseconds, and a burst of connections beyond
	// the controller's accept queue would be dropped.
	reportSpreadPerHost = 500 * time.Microsecond
	// maxReportSpread bounds the total spread: hosts treat a controller that does not answer
	// as failed.
	maxReportSpread = reportInterval
)

// firstReportDelay returns how long this host waits before its first report to a controller.
func (g *Gateway) firstReportDelay(c *serviceControl, record *keyspace.Record) time.Duration {
	hosts := cmp.Or(g.hosts.value(), record.Controller.Hosts, defaultHostCount)
	if g.identity.FirstStart {
		hosts = max(hosts, firstStartHostCount)
	}
	spread := min(time.Duration(hosts)*reportSpreadPerHost, maxReportSpread)
	return hashedDelay(spread, g.identity.Host+c.service.name)
}

// hashedDelay returns a delay between 0 and spread that is derived from a hash of the name:
// always the same for one name, evenly distributed over different names.
func hashedDelay(spread time.Duration, name string) time.Duration {
	const steps = 1000
	return spread * time.Duration(hashName(name)%steps) / steps
}

// claimDelay returns this host's delay before a claim: within claimSpread, or within as long
// again after it on a small host.
func (g *Gateway) claimDelay(c *serviceControl, term uint64) time.Duration {
	delay := hashedDelay(claimSpread, g.identity.Host+c.service.name+strconv.FormatUint(term, 10))
	if g.identity.Small {
		delay += claimSpread
	}
	return delay
}

// claimWhenDue claims the controller role once the claim has been due for the given delay.
func (g *Gateway) claimWhenDue(ctx context.Context, c *serviceControl, now time.Duration, record *keyspace.Record, revision uint64, delay time.Duration) {
	if !g.storeAvailability.hasBeenAvailable(g.freshness.controllerReturn()) {
		// The claim would fail as the last call did. Once the store is reachable again, the
		// controller has this time and the delay to show that it is alive.
		c.claimDueSince = 0
		return
	}
	if c.claimDueSince == 0 {
		c.claimDueSince = now
	}
	era := g.era.Load()
	if !record.WrittenIn(era) && !g.isOwnRecord(record) {
		delay += restoredStoreClaimDelay
	}
	if !g.Ready() {
		delay += unreadyClaimDelay
	}
	if c.service.links.areLost() {
		delay += linksLostClaimDelay
	}
	if now-c.claimDueSince < delay || !g.mayClaim() {
		return
	}
	c.claimDueSince = 0
	if c.recordMissing {
		revision, c.recordMissing = 0, false
	}
	predecessor := record.Controller
	next := record.TakeOverInEra(era, g.asController())
	g.log.Info("claiming controller role", "service", c.service.name, "term", next.Term, "revision", revision,
		"predecessor", predecessor.Host, "resigned", predecessor.Resigned, "forgotten", !record.WrittenIn(era), "unheard-ms", (now - c.answeredAt).Milliseconds())
	c.claimInFlight = true
	g.startClaim(ctx, c, next, revision)
}

// claimInitial writes the first record of a service. It names the controller and assigns no keys
// yet: servers take seconds to register, and if thousands of hosts each read all entries
// meanwhile, they would saturate the store's network link for longer than that.
func (g *Gateway) claimInitial(ctx context.Context, c *serviceControl, now time.Duration) {
	delay := g.claimDelay(c, 0)
	if c.service.links.areLost() {
		delay += linksLostClaimDelay
	}
	if now-c.firstSeen < delay || g.storeAvailability.isUnavailable() || !g.mayClaim() {
		return
	}
	record := keyspace.NewUnassignedRecord(g.asController(), g.era.Load())
	if c.service.name == coordinationService {
		record = keyspace.NewKeylessRecord(g.asController(), g.era.Load())
	}
	g.log.Info("claiming controller role of a service without a record", "service", c.service.name)
	c.claimInFlight = true
	g.startClaim(ctx, c, record, 0)
}

// mayClaim reports whether this host may become a controller. It need not be ready: when all
// hosts have just started, hosts that wait to get the list of servers from others depend on a
// controller.
func (g *Gateway) mayClaim() bool { return !g.stop.stopping() && g.configuration.Current() != nil }

// assignFirst makes the first assignment once the servers have registered. A server that
// registers later can only get keys by taking them from others.
func (g *Gateway) assignFirst(c *serviceControl, servers []keyspace.Server, now time.Duration) {
	if !c.machine.Record().Unassigned || c.machine.Pending() != nil || !g.Ready() {
		return
	}
	if len(servers) != c.serverCount {
		c.serverCount, c.serverCountSince = len(servers), now
	}
	maxWait := maxFirstWait
	if c.machine.Loads().Any() {
		maxWait = maxFirstWaitUnderLoad
	}
	if now-c.serverCountSince < registrationQuietTime && now-c.controllerSince < maxWait {
		return
	}
	eligible := slices.DeleteFunc(slices.Clone(servers), func(server keyspace.Server) bool { return server.Leaving })
	if c.machine.AssignInitially(now, eligible) {
		g.log.Info("first assignment made", "service", c.service.name, "servers", len(eligible), "after-ms", (now - c.controllerSince).Milliseconds())
	}
}

// minAdmittingShare is the minimum share of its speed that is counted for a server that has asked
// all hosts to back off. Its keys are moved away all the same, and the assignment plan can't
// handle servers without capacity.
const minAdmittingShare = 0.001

// eligibleServers returns the servers that may hold keys, and records their addresses.
func (g *Gateway) eligibleServers(c *serviceControl) []keyspace.Server {
	var holders []keyspace.Server
	for _, state := range c.service.serverStates() {
		c.knownServers[state.ID] = state.Server
		speed := state.Speed * max(c.members.admittingShare(state.Incarnation(), state.LongBackoff), minAdmittingShare)
		holders = append(holders, keyspace.Server{ID: state.ID, Start: state.Start, Slots: state.Slots, Speed: speed, Leaving: state.Leaving()})
	}
	return holders
}

// stepAsController runs one step as the controller of a service, or resigns if another host can
// reach the servers and this one can't.
func (g *Gateway) stepAsController(ctx context.Context, c *serviceControl) {
	if g.shouldResign(c) {
		g.resign(ctx, c, "links to all servers are lost")
		return
	}
	c.resigning = false
	g.runAssignment(ctx, c)
}

// resignAfterLinksLost is how long the links must have been lost before a controller resigns. By
// then every host has reported whether its own links are lost.
const resignAfterLinksLost = reportInterval + 200*time.Millisecond

// shouldResign reports whether this controller can't renew leases but another host could. The store
// and the hosts still reach it, so nobody would take over.
func (g *Gateway) shouldResign(c *serviceControl) bool {
	return !c.machine.Record().Keyless && c.service.links.lostFor(g.now()) >= resignAfterLinksLost && c.members.anyWithLinks(c.service.name, g.bootClock.Now())
}

// runAssignment runs one step of the assignment of a service's keys.
func (g *Gateway) runAssignment(ctx context.Context, c *serviceControl) {
	now := g.bootClock.Now()
	record, revision := c.service.view.latest()
	if record != nil && revision > c.revision && !g.isOwnRecord(record) {
		g.stepDown(c, "another controller took over", record.Controller.Host)
		return
	}
	servers := g.eligibleServers(c)
	g.assignFirst(c, servers, now)
	if now-c.reportedAt >= reportInterval {
		c.reportedAt = now
		load := c.service.takeLoad()
		c.machine.Loads().Add(now, load.demand, load.meanSlotTime)
		c.addUrgent(now, load.demand, load.urgent.micros())
		c.shares = c.machine.AdmissionShares(servers)
		c.service.setKeyShares(c.shares)
		g.divideCapacity(c, servers, now)
	}
	g.logAuthority(c, now)
	c.members.selectRelays(now)
	g.updateForwardPeers(c, now)
	if now-c.controllerSince >= memberTimeout { // all live hosts have reported
		g.updateHostCount(len(c.members.hosts) + 1)
	}
	c.machine.Advertise(c.members.allRelays, g.hosts.value())
	c.machine.SetMinWriteInterval(time.Duration(len(c.members.hosts)) * recordPausePerHost)
	g.logRangeLimit(c, len(servers))
	if g.registryListed.Load() { // before the registry has been read, every owner would look lost
		for _, call := range c.machine.Step(now, servers) {
			g.startCall(ctx, c, call)
		}
	}
	if pending := c.machine.Pending(); pending != nil && !c.writeInFlight {
		c.writeInFlight = true
		g.startRecordWrite(ctx, c, pending)
	}
	if now-c.confirmStarted >= confirmInterval && !c.confirmInFlight && !c.writeInFlight {
		c.confirmStarted, c.confirmInFlight = now, true
		g.startConfirm(ctx, c)
	}
	g.askPredecessors(ctx, c, now)
	g.checkOwnWrites(c, now)
	g.syncQuarantine(ctx, c, now)
}

// ownWriteTimeout is how long a controller's own write may take to arrive through its watch of
// the store.
const ownWriteTimeout = 150 * time.Millisecond

// checkOwnWrites checks that the controller's watch delivers what the controller wrote. A watch
// that the store has dropped delivers nothing, and the other hosts, which learn of assignments
// through the controller, would go on sending requests to previous owners.
func (g *Gateway) checkOwnWrites(c *serviceControl, now time.Duration) {
	if now-c.writtenAt < ownWriteTimeout || !g.freshness.cancelIfBehind(Assignments, c.revision) {
		return
	}
	g.log.Warn("watch did not deliver this controller's own write; restarting the watch", "service", c.service.name, "revision", c.revision)
}

// logAuthority logs when the controller loses its authority and when it regains it.
func (g *Gateway) logAuthority(c *serviceControl, now time.Duration) {
	unauthorized := !c.machine.Authorized(now)
	if unauthorized == c.authorityLost {
		return
	}
	c.authorityLost = unauthorized
	if unauthorized {
		g.log.Warn("authority expired: the store has not confirmed this controller in time", "service", c.service.name)
		return
	}
	g.log.Info("authority regained", "service", c.service.name)
}

// logRangeLimit logs when the record reaches the number of ranges from which on plans merge ranges in
// order to move keys for balance, and when it is well below it again: at the maximum the number goes
// up and down with each plan.
func (g *Gateway) logRangeLimit(c *serviceControl, servers int) {
	near, below := c.machine.NearRangeLimit(servers), c.machine.BelowRangeLimit(servers)
	if c.atRangeLimit && !below || !c.atRangeLimit && !near {
		return
	}
	c.atRangeLimit = near
	ranges := len(c.machine.Record().Ranges)
	if near {
		g.metrics.crowdedAssignments.Inc()
		g.log.Warn("assignment has reached its maximum number of ranges; plans merge ranges in order to balance", "service", c.service.name, "ranges", ranges, "servers", servers)
		return
	}
	g.log.Info("assignment is below its maximum number of ranges again", "service", c.service.name, "ranges", ranges)
}

func (g *Gateway) stepDown(c *serviceControl, why, successor string) {
	g.log.Info("control given up", "service", c.service.name, "why", why, "successor", successor)
	c.machine, c.writeInFlight, c.confirmInFlight, c.authorityLost, c.resigning = nil, false, false, false, false
	c.members, c.schedules, c.division = newMembers(), nil, division{}
	c.answeredAt = g.bootClock.Now()
}

// askPredecessors asks earlier controllers whether they have stopped, until all of them have or
// their authority has expired in any case.
func (g *Gateway) askPredecessors(ctx context.Context, c *serviceControl, now time.Duration) {
	if now-c.predecessorsAskedAt < yieldInterval {
		return
	}
	c.predecessorsAskedAt = now
	for _, earlier := range c.machine.UnfencedPredecessors(now) {
		g.startYield(ctx, c, earlier)
	}
}

// resignAll stops all controllers of this process and records that in the store, so that
// successors take over without waiting for leases to expire. A controller that can't reach the
// store continues until it can or the process ends: nobody else could take over meanwhile, and
// keys whose leases are not renewed lose their owner after 5 s. A controller must have stopped
// before it writes its resignation, and must not resume if that write fails, since it may still
// take effect. Therefore the store has to confirm the controller once more first.
func (g *Gateway) resignAll(ctx context.Context) {
	for _, c := range g.control.services {
		if c.machine != nil {
			g.resign(ctx, c, "this process stops")
		}
	}
}

// resign stops this process as the controller of a service once the store has confirmed it again.
func (g *Gateway) resign(ctx context.Context, c *serviceControl, why string) {
	now := g.bootClock.Now()
	if !c.resigning {
		c.resigning, c.resigningSince, c.confirmStarted = true, now, 0
	}
	if c.machine.ConfirmedAge(now) > now-c.resigningSince {
		g.runAssignment(ctx, c)
		return
	}
	record := c.machine.Record().Clone()
	record.Controller.Resigned = true
	revision := c.revision
	g.stepDown(c, why, "")
	g.startResign(ctx, c, record, revision)
}
