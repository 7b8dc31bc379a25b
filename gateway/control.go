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
	// stepEvery is how often the control loop runs on a host that is the controller of a
	// service.
	stepEvery = 50 * time.Millisecond
	// stepLeast is the minimum time between two steps of the control loop. Moving a key range
	// takes three steps.
	stepLeast = 8 * time.Millisecond
	// stepRest is the minimum pause after a step, as a multiple of how long the step took: a
	// step over thousands of ranges must leave most of the time for processing events.
	stepRest = 4
	// idleEvery is how often the control loop runs on a host that controls no service.
	idleEvery = 250 * time.Millisecond
	// confirmEvery is how often a controller has the store confirm that it is still the
	// controller. Several confirmations may fail before its authority runs out, but not before
	// the other hosts start to read the store themselves.
	confirmEvery = 600 * time.Millisecond
	// reportEvery is how often a host reports key load to a controller. The answers also show
	// the host that the controller is alive.
	reportEvery = 500 * time.Millisecond
	// silentAfter is how long a controller may leave reports unanswered before another host
	// takes over. Leases last longer than this and the takeover together.
	silentAfter = 1300 * time.Millisecond
	// storelessAfter is how long a controller may go without a confirmation by the store before
	// a host that can reach the store takes over.
	storelessAfter = 2000 * time.Millisecond
	// claimSpread is the range over which hosts spread their claims, so that usually only one
	// host writes to the store.
	claimSpread = 700 * time.Millisecond
	// unreadyWait is the additional delay before a claim by a host that has not read the list
	// of servers yet: it could not renew leases.
	unreadyWait = 2 * claimSpread
	// firstWait is how long the number of servers must stay unchanged before the first
	// assignment is made. Servers that start together register over several seconds, and keys
	// that are reassigned later meet cold caches or have to wait.
	firstWait = 1500 * time.Millisecond
	// firstWaitAsked is the maximum wait for the first assignment once requests for keys
	// arrive, firstWaitMost the maximum without requests.
	firstWaitAsked = 4500 * time.Millisecond
	firstWaitMost  = 15 * time.Second
	// forgottenWait is the additional delay before a claim while the store, restored from a
	// backup, does not hold the controller's record. The controller writes the record again at
	// its next confirmation, whereas a successor would have to wait until all leases have
	// expired.
	forgottenWait = 1500 * time.Millisecond
	// yieldEvery is how often a controller asks its predecessors whether they have stopped.
	yieldEvery = 400 * time.Millisecond
	// recordCost is the minimum pause between two assignment records, per host that receives
	// them. A host spends about 2 ms on a record of 868 ranges (go test -bench
	// AssignmentTaken), 12 ms with 0.16 CPU cores. With 295 hosts, records then follow each
	// other at most 8 times a second, which costs such a host a tenth of its CPU time.
	recordCost = 400 * time.Microsecond
	// hostsUnknown is the number of hosts that is assumed until the real number is known,
	// hostsAtFirst the number while the whole system starts for the first time, when a longer
	// spread delays nothing.
	hostsUnknown = 100
	hostsAtFirst = 1000
	// mostEvents bounds the queue of events for the control loop.
	mostEvents = 4096
)

// control is a host's state as a controller of services or as a client of their controllers.
type control struct {
	listed   atomic.Bool // the assignments have been read at least once
	refused  atomic.Bool // the store has rejected a request for them
	services map[string]*controller
	events   *ring.Ring[event]
}

func newControl() control {
	return control{services: map[string]*controller{}, events: ring.New[event](mostEvents)}
}

// event is input to the control loop: the result of an asynchronous call, or a request by
// another host.
type event interface {
	apply(g *Gateway, now time.Duration)
}

// controller is the control loop's state of one service with keys, whether this process is its
// controller or not. Only the control loop accesses it.
type controller struct {
	service      *service
	machine      *keyspace.Machine // nil unless this process is the controller
	revision     uint64            // store revision of the machine's record
	known        map[string]fleet.Server
	writing      bool
	reading      bool
	claiming     bool
	absent       bool    // the store holds no record of the service
	yielded      uint64  // highest term of a successor that was told that this process has stopped as controller
	members      members // hosts that report to this process as the controller
	shares       map[uint16]float64
	firstAt      time.Duration // when the service was first seen
	firstCount   int           // number of servers at the last check, before the first assignment
	countedAt    time.Duration // when that number last changed
	reported     time.Duration // when the last load report was sent
	heard        time.Duration // when the controller last answered a report, on the boot clock
	heardOf      uint64        // incarnation of the controller that heard refers to
	wanted       time.Duration // since when a claim has been due; 0 if none is
	confirm      time.Duration // when the last successful write or the last confirmation was started
	written      time.Duration // when the last write was acknowledged
	asked        time.Duration // when predecessors were last asked whether they have stopped
	unauthorized bool          // the loss of authority has been logged
	crowded      bool          // it has been logged that the record has reached its maximum number of ranges
	led          time.Duration // since when this process is the controller
	news         peerNews
	schedules    map[fleet.Incarnation]*ratelimit.Schedule // of rate-limited servers, while this process is the controller
	kept         keptQuarantine
	leaving      bool // this process has been shutting down since leavingAt
	leavingAt    time.Duration
}

// runControl is the control loop. Events are applied as they arrive. Steps are at least
// stepLeast apart, since each step looks at all ranges and hundreds of events may arrive per
// second.
func (g *Gateway) runControl(ctx context.Context) {
	lastStep, minPause := g.boot.Now(), stepLeast
	for ctx.Err() == nil {
		pause := idleEvery
		if g.controls() {
			pause = stepEvery
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-g.wake:
		case next := <-g.control.events.Out():
			next.apply(g, g.boot.Now())
		}
		timer.Stop()
		g.drainEvents()
		if early := minPause - (g.boot.Now() - lastStep); early > 0 {
			clock.Sleep(ctx, early)
			g.drainEvents()
		}
		lastStep = g.boot.Now()
		g.stepControl(ctx)
		minPause = max(stepLeast, stepRest*(g.boot.Now()-lastStep))
	}
}

func (g *Gateway) drainEvents() {
	for {
		select {
		case next := <-g.control.events.Out():
			next.apply(g, g.boot.Now())
		default:
			return
		}
	}
}

// controls reports whether this process is the controller of any service.
func (g *Gateway) controls() bool {
	for _, c := range g.control.services {
		if c.machine != nil {
			return true
		}
	}
	return false
}

func (g *Gateway) stepControl(ctx context.Context) {
	g.expireServers()
	g.checkLeaving(ctx, g.boot.Now())
	g.fresh.tend(g.now(), g.controls())
	if g.stop.stopping() {
		g.resignAll(ctx)
		return
	}
	for _, s := range g.keyedServices() {
		c := g.control.services[s.name]
		if c == nil {
			c = &controller{service: s, known: map[string]fleet.Server{}, members: newMembers(), firstAt: g.boot.Now(), heard: g.boot.Now()}
			g.control.services[s.name] = c
		}
		if c.machine != nil {
			g.lead(ctx, c)
		} else {
			g.followController(ctx, c)
		}
	}
}

// own reports whether a record names this process as the controller.
func (g *Gateway) own(record *keyspace.Record) bool {
	return record.Controller.Incarnation == g.identity.Incarnation
}

func (g *Gateway) self() keyspace.Controller {
	return keyspace.Controller{Host: g.identity.Host, Address: g.identity.Peers, Incarnation: g.identity.Incarnation}
}

// followController sends load reports to the current controller of a service, and claims the
// role if there is no controller or it has failed.
func (g *Gateway) followController(ctx context.Context, c *controller) {
	now := g.boot.Now()
	if !g.control.listed.Load() || c.claiming {
		return
	}
	record, revision := c.service.view.latest()
	if record != nil && record.Controller.Incarnation != c.heardOf {
		// A new controller gets its own timeout. If it were judged by its predecessor's
		// silence, every host would take over in turn.
		c.heardOf, c.heard, c.wanted, c.reported = record.Controller.Incarnation, now, 0, now-reportEvery+g.firstReportDelay(c, record)
		c.news = peerNews{reporting: c.news.reporting}
	}
	switch {
	case record == nil:
		g.claimFirst(ctx, c, now)
	case g.own(record):
		// The store accepted this host's claim, but the answer was lost.
		g.wantClaim(ctx, c, now, record, revision, 0)
	case record.Controller.Resigned:
		g.wantClaim(ctx, c, now, record, revision, g.claimDelay(c, record.Term)/2)
	case now-c.heard > silentAfter:
		g.wantClaim(ctx, c, now, record, revision, g.claimDelay(c, record.Term))
	default:
		c.wanted = 0
	}
	if record != nil && !g.own(record) && (now-c.reported >= reportEvery || g.hasNews(c, now)) {
		c.reported = now
		g.sendReport(ctx, c, record.Controller)
	}
}

const (
	// reportSpread is the time per host over which the first reports to a new controller are
	// spread. All hosts learn of it within milliseconds, and a burst of connections beyond the
	// controller's accept queue would be dropped.
	reportSpread = 500 * time.Microsecond
	// mostReportSpread bounds the total spread: hosts treat a controller that does not answer
	// as failed.
	mostReportSpread = reportEvery
)

// firstReportDelay returns how long this host waits before its first report to a controller.
func (g *Gateway) firstReportDelay(c *controller, record *keyspace.Record) time.Duration {
	hosts := cmp.Or(g.hosts.count(), record.Controller.Hosts, hostsUnknown)
	if g.identity.FirstStart {
		hosts = max(hosts, hostsAtFirst)
	}
	spread := min(time.Duration(hosts)*reportSpread, mostReportSpread)
	return turnWithin(spread, g.identity.Host+c.service.name)
}

// turnWithin returns a delay between 0 and spread that is derived from a hash of the name:
// always the same for one name, evenly distributed over different names.
func turnWithin(spread time.Duration, name string) time.Duration {
	const steps = 1000
	return spread * time.Duration(hashOf(name)%steps) / steps
}

// claimDelay returns this host's delay before a claim: within claimSpread, or within as long
// again after it on a small host.
func (g *Gateway) claimDelay(c *controller, term uint64) time.Duration {
	delay := turnWithin(claimSpread, g.identity.Host+c.service.name+strconv.FormatUint(term, 10))
	if g.identity.Small {
		delay += claimSpread
	}
	return delay
}

// wantClaim claims the controller role once the claim has been due for the given delay.
func (g *Gateway) wantClaim(ctx context.Context, c *controller, now time.Duration, record *keyspace.Record, revision uint64, delay time.Duration) {
	if g.reach.isAway() {
		// The claim would fail as the last call did. Once the store is reachable again, the
		// controller has until the end of the delay to show that it is alive.
		c.wanted = 0
		return
	}
	if c.wanted == 0 {
		c.wanted = now
	}
	era := g.era.Load()
	if !record.WrittenIn(era) && !g.own(record) {
		delay += forgottenWait
	}
	if !g.Ready() {
		delay += unreadyWait
	}
	if now-c.wanted < delay || !g.mayClaim() {
		return
	}
	c.wanted = 0
	if c.absent {
		revision, c.absent = 0, false
	}
	predecessor := record.Controller
	next := record.SucceedIn(era, g.self())
	g.log.Info("claiming controller role", "service", c.service.name, "term", next.Term, "revision", revision,
		"predecessor", predecessor.Host, "resigned", predecessor.Resigned, "forgotten", !record.WrittenIn(era), "unheard-ms", (now - c.heard).Milliseconds())
	c.claiming = true
	g.claim(ctx, c, next, revision)
}

// claimFirst writes the first record of a service. It names the controller and assigns no keys
// yet: servers take seconds to register, and if thousands of hosts each read all entries
// meanwhile, they would saturate the store's network link for longer than that.
func (g *Gateway) claimFirst(ctx context.Context, c *controller, now time.Duration) {
	if now-c.firstAt < g.claimDelay(c, 0) || g.reach.isAway() || !g.mayClaim() {
		return
	}
	record := keyspace.FirstUnassigned(g.self(), g.era.Load())
	if c.service.name == coordination {
		record = keyspace.FirstKeyless(g.self(), g.era.Load())
	}
	g.log.Info("claiming controller role of a service without a record", "service", c.service.name)
	c.claiming = true
	g.claim(ctx, c, record, 0)
}

// mayClaim reports whether this host may become a controller. It need not be ready: when all
// hosts have just started, hosts that wait to get the list of servers from others depend on a
// controller.
func (g *Gateway) mayClaim() bool { return !g.stop.stopping() && g.inForce.Current() != nil }

// assignFirst makes the first assignment once the servers have registered. A server that
// registers later can only get keys by taking them from others.
func (g *Gateway) assignFirst(c *controller, servers []keyspace.Server, now time.Duration) {
	if !c.machine.Record().Unassigned || c.machine.Pending() != nil || !g.Ready() {
		return
	}
	if len(servers) != c.firstCount {
		c.firstCount, c.countedAt = len(servers), now
	}
	maxWait := firstWaitMost
	if c.machine.Loads().Any() {
		maxWait = firstWaitAsked
	}
	if now-c.countedAt < firstWait && now-c.led < maxWait {
		return
	}
	eligible := slices.DeleteFunc(slices.Clone(servers), func(server keyspace.Server) bool { return server.Leaving })
	if c.machine.AssignFirst(now, eligible) {
		g.log.Info("first assignment made", "service", c.service.name, "servers", len(eligible), "after-ms", (now - c.led).Milliseconds())
	}
}

// leastAdmitting is the minimum share of its speed that is counted for a server that has asked
// all hosts to back off. Its keys are moved away all the same, and the assignment plan can't
// handle servers without capacity.
const leastAdmitting = 0.001

// holders returns the servers that may hold keys, and records their addresses.
func (g *Gateway) holders(c *controller) []keyspace.Server {
	var holders []keyspace.Server
	for _, state := range c.service.serverStates() {
		c.known[state.ID] = state.Server
		speed := state.Speed * max(c.members.admitting(state.Incarnation(), state.LongRest), leastAdmitting)
		holders = append(holders, keyspace.Server{ID: state.ID, Start: state.Start, Slots: state.Slots, Speed: speed, Leaving: state.Leaving()})
	}
	return holders
}

// lead runs one step as the controller of a service.
func (g *Gateway) lead(ctx context.Context, c *controller) {
	now := g.boot.Now()
	record, revision := c.service.view.latest()
	if record != nil && revision > c.revision && !g.own(record) {
		g.stepDown(c, "another controller took over", record.Controller.Host)
		return
	}
	servers := g.holders(c)
	g.assignFirst(c, servers, now)
	if now-c.reported >= reportEvery {
		c.reported = now
		load := c.service.takeLoad()
		c.machine.Loads().Add(now, load.asked, load.work)
		c.shares = c.machine.Shares(servers)
		c.service.setShares(c.shares)
	}
	g.noteAuthority(c, now)
	c.members.choose(now)
	if now-c.led >= memberKept { // all live hosts have reported
		g.noteHosts(len(c.members.hosts) + 1)
	}
	c.machine.Advertise(c.members.all, g.hosts.count())
	c.machine.SetPace(time.Duration(len(c.members.hosts)) * recordCost)
	g.noteCrowded(c, len(servers))
	if g.listed.Load() { // before the registry has been read, every owner would look lost
		for _, call := range c.machine.Step(now, servers) {
			g.startCall(ctx, c, call)
		}
	}
	if pending := c.machine.Pending(); pending != nil && !c.writing {
		c.writing = true
		g.startWrite(ctx, c, pending)
	}
	if now-c.confirm >= confirmEvery && !c.reading && !c.writing {
		c.confirm, c.reading = now, true
		g.startConfirm(ctx, c)
	}
	g.askPredecessors(ctx, c, now)
	g.hearOwnWrites(c, now)
	g.keepQuarantine(ctx, c, now)
}

// ownWriteWait is how long a controller's own write may take to arrive through its watch of the
// store.
const ownWriteWait = 150 * time.Millisecond

// hearOwnWrites checks that the controller's watch delivers what the controller wrote. A watch
// that the store has dropped delivers nothing, and the other hosts, which learn of assignments
// through the controller, would go on sending requests to previous owners.
func (g *Gateway) hearOwnWrites(c *controller, now time.Duration) {
	if now-c.written < ownWriteWait || !g.fresh.recheck(Assignments, c.revision) {
		return
	}
	g.log.Warn("watch did not deliver this controller's own write; restarting the watch", "service", c.service.name, "revision", c.revision)
}

// noteAuthority logs when the controller loses its authority and when it regains it.
func (g *Gateway) noteAuthority(c *controller, now time.Duration) {
	unauthorized := !c.machine.Authority(now)
	if unauthorized == c.unauthorized {
		return
	}
	c.unauthorized = unauthorized
	if unauthorized {
		g.log.Warn("authority expired: the store has not confirmed this controller in time", "service", c.service.name)
		return
	}
	g.log.Info("authority regained", "service", c.service.name)
}

// noteCrowded logs when the record reaches the number of ranges beyond which keys can hardly be
// moved for balance, and when it is below it again.
func (g *Gateway) noteCrowded(c *controller, servers int) {
	crowded := c.machine.Crowded(servers)
	if crowded == c.crowded {
		return
	}
	c.crowded = crowded
	ranges := len(c.machine.Record().Ranges)
	if crowded {
		g.counts.crowded.Inc()
		g.log.Warn("assignment has reached its maximum number of ranges; hardly any keys can be moved for balance", "service", c.service.name, "ranges", ranges, "servers", servers)
		return
	}
	g.log.Info("assignment is below its maximum number of ranges again", "service", c.service.name, "ranges", ranges)
}

func (g *Gateway) stepDown(c *controller, why, successor string) {
	g.log.Info("control given up", "service", c.service.name, "why", why, "successor", successor)
	c.machine, c.writing, c.reading, c.unauthorized = nil, false, false, false
	c.members, c.schedules = newMembers(), nil
	c.heard = g.boot.Now()
}

// askPredecessors asks earlier controllers whether they have stopped, until all of them have or
// their authority has expired in any case.
func (g *Gateway) askPredecessors(ctx context.Context, c *controller, now time.Duration) {
	if now-c.asked < yieldEvery {
		return
	}
	c.asked = now
	for _, earlier := range c.machine.Unproven(now) {
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
	now := g.boot.Now()
	for _, c := range g.control.services {
		if c.machine == nil {
			continue
		}
		if !c.leaving {
			c.leaving, c.leavingAt, c.confirm = true, now, 0
		}
		if c.machine.ConfirmedAge(now) > now-c.leavingAt {
			g.lead(ctx, c)
			continue
		}
		record := c.machine.Record().Clone()
		record.Controller.Resigned = true
		revision := c.revision
		g.stepDown(c, "this process stops", "")
		g.startResign(ctx, c, record, revision)
	}
}
