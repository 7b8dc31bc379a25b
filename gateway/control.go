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

// Times of control.
const (
	// stepEvery is how often a controller looks at its leases.
	stepEvery = 50 * time.Millisecond
	// stepLeast is the least time between two looks. A move takes three steps.
	stepLeast = 8 * time.Millisecond
	// stepRest is how many times as long as a look has taken the next one begins after it:
	// a look at thousands of ranges must leave most of the time to the answers.
	stepRest = 4
	// idleEvery is how often a host that controls nothing looks whether it should.
	idleEvery = 250 * time.Millisecond
	// confirmEvery is how often a controller has the store confirm it. Several
	// may fail before its authority runs out, but not before the other hosts go
	// to the store themselves.
	confirmEvery = 600 * time.Millisecond
	// reportEvery is how often a host tells a controller the load of keys. It
	// is also how the host learns that the controller lives.
	reportEvery = 500 * time.Millisecond
	// silentAfter is how long a controller may leave reports unanswered before
	// another host takes over. Leases outlast this and the takeover.
	silentAfter = 1300 * time.Millisecond
	// storelessAfter is for how long a controller may be without the store
	// before a host that reaches the store takes over.
	storelessAfter = 2000 * time.Millisecond
	// claimSpread spreads the hosts' claims, so that mostly one call is made.
	claimSpread = 700 * time.Millisecond
	// unreadyWait is how much later a host claims control that does not know the servers yet:
	// it can't renew leases.
	unreadyWait = 2 * claimSpread
	// firstWait is for how long no server may have come before a first assignment
	// is made. Servers that start together register over some seconds, and keys
	// that are dealt out once more are cold or held back.
	firstWait = 1500 * time.Millisecond
	// firstWaitAsked bounds the wait while requests come, firstWaitMost while only
	// servers do.
	firstWaitAsked = 4500 * time.Millisecond
	firstWaitMost  = 15 * time.Second
	// forgottenWait is how much longer the controller has to show that it lives while the
	// store, which has come back from a copy, does not hold its record: it writes it again
	// when next confirmed, and whoever else takes over must let all leases lapse.
	forgottenWait = 1500 * time.Millisecond
	// yieldEvery is how often a predecessor is asked whether it has stopped.
	yieldEvery = 400 * time.Millisecond
	// recordCost is the pause after a record for each host that it is sent to. A
	// host spends some 2 ms on a record of 868 ranges (go test -bench
	// AssignmentTaken), 12 ms where it has 0.16 cores; with 295 hosts records then
	// follow each other 8 times a second at most, a tenth of such a host's processor.
	recordCost = 400 * time.Microsecond
	// hostsUnknown is the number of hosts that is assumed before one is told, hostsAtFirst
	// while the whole system starts for the first time: nothing depends on the time then.
	hostsUnknown = 100
	hostsAtFirst = 1000
	// mostEvents bounds answers that wait for the controller.
	mostEvents = 4096
)

// control is what a host does as, or towards, the controllers of keys.
type control struct {
	listed   atomic.Bool // the assignments have been read once
	refused  atomic.Bool // the store has turned a call away that asked for them
	services map[string]*controller
	events   *ring.Ring[event]
}

func newControl() control {
	return control{services: map[string]*controller{}, events: ring.New[event](mostEvents)}
}

// event is an answer that the control loop takes in.
type event interface {
	apply(g *Gateway, now time.Duration)
}

// controller is one keyed service as the control loop sees it. Only that loop
// touches it.
type controller struct {
	service      *service
	machine      *keyspace.Machine // nil unless this process is the controller
	revision     uint64            // of the machine's record
	known        map[string]fleet.Server
	writing      bool
	reading      bool
	claiming     bool
	absent       bool    // the store holds no record of the service
	yielded      uint64  // highest term of a successor that was told that this process has stopped
	members      members // hosts that report, while this process is the controller
	shares       map[uint16]float64
	firstAt      time.Duration // when the service was first seen
	firstCount   int           // servers when they were last counted, before the first assignment
	countedAt    time.Duration // since when their number is the same
	reported     time.Duration // when the last report was sent
	heard        time.Duration // when the controller last answered one, on the boot clock
	heardOf      uint64        // incarnation of the controller that heard speaks of
	wanted       time.Duration // since when a claim seems due; 0 if it does not
	confirm      time.Duration // when the last confirmation began
	written      time.Duration // when the last write was acknowledged
	asked        time.Duration // when earlier controllers were last asked whether they have stopped
	unauthorized bool          // logged that authority ran out
	crowded      bool          // logged that the record has as many ranges as it may have
	led          time.Duration // since when this process is the controller
	news         peerNews
	schedules    map[fleet.Incarnation]*ratelimit.Schedule // of limited servers, while this process is the controller
	kept         keptQuarantine
	leaving      bool // this process stops, since leavingAt
	leavingAt    time.Duration
}

// runControl is the control loop. Answers are taken in as they come; what to do
// next is decided at most every stepLeast, since each decision looks at all
// ranges and hundreds of answers may come in a second.
func (g *Gateway) runControl(ctx context.Context) {
	stepped, least := g.boot.Now(), stepLeast
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
		if early := least - (g.boot.Now() - stepped); early > 0 {
			clock.Sleep(ctx, early)
			g.drainEvents()
		}
		stepped = g.boot.Now()
		g.stepControl(ctx)
		least = max(stepLeast, stepRest*(g.boot.Now()-stepped))
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
	g.fresh.setControlling(g.now(), g.controls())
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

// followController does what a host owes another controller: reports, and taking over.
func (g *Gateway) followController(ctx context.Context, c *controller) {
	now := g.boot.Now()
	if !g.control.listed.Load() || c.claiming {
		return
	}
	record, revision := c.service.view.latest()
	if record != nil && record.Controller.Incarnation != c.heardOf {
		// A new controller has its own time to be heard. Judging it by its
		// predecessor's silence would let every host take over in turn.
		c.heardOf, c.heard, c.wanted, c.reported = record.Controller.Incarnation, now, 0, now-reportEvery+g.firstReportDelay(c, record)
		c.news = peerNews{reporting: c.news.reporting}
	}
	switch {
	case record == nil:
		g.claimFirst(ctx, c, now)
	case g.own(record):
		// The claim was acknowledged but its answer got lost.
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
	// reportSpread is over how long the first reports to a controller are spread, for each
	// host: all of them learn of it within milliseconds, and a burst of connections beyond
	// its queue for new ones is dropped.
	reportSpread = 500 * time.Microsecond
	// mostReportSpread bounds it: a controller that is not heard of is taken for lost.
	mostReportSpread = reportEvery
)

// firstReportDelay is how long this host waits before its first report to a controller.
func (g *Gateway) firstReportDelay(c *controller, record *keyspace.Record) time.Duration {
	hosts := cmp.Or(g.hosts.count(), record.Controller.Hosts, hostsUnknown)
	if g.identity.FirstStart {
		hosts = max(hosts, hostsAtFirst)
	}
	spread := min(time.Duration(hosts)*reportSpread, mostReportSpread)
	return turnWithin(spread, g.identity.Host+c.service.name)
}

// turnWithin returns when within a time it is a name's turn: the same for each call, and as good
// as drawn by chance for different names.
func turnWithin(spread time.Duration, name string) time.Duration {
	const steps = 1000
	return spread * time.Duration(hashOf(name)%steps) / steps
}

// claimDelay spreads the claims of hosts over claimSpread, those of small hosts
// over as long again after it.
func (g *Gateway) claimDelay(c *controller, term uint64) time.Duration {
	delay := turnWithin(claimSpread, g.identity.Host+c.service.name+strconv.FormatUint(term, 10))
	if g.identity.Small {
		delay += claimSpread
	}
	return delay
}

// wantClaim claims once the claim has seemed due for the delay.
func (g *Gateway) wantClaim(ctx context.Context, c *controller, now time.Duration, record *keyspace.Record, revision uint64, delay time.Duration) {
	if g.reach.isUnavailable() {
		// The claim would fail like the last call did. When the store is back,
		// its controller has the time of the delay to show that it lives.
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
	g.log.Info("claiming control", "service", c.service.name, "term", next.Term, "revision", revision,
		"predecessor", predecessor.Host, "resigned", predecessor.Resigned, "forgotten", !record.WrittenIn(era), "unheard-ms", (now - c.heard).Milliseconds())
	c.claiming = true
	g.claim(ctx, c, next, revision)
}

// claimFirst makes the first record of a service, which names its controller and assigns no
// keys yet. Servers take seconds to register, and thousands of hosts that each read all
// entries meanwhile would keep the store's link busy for longer than that.
func (g *Gateway) claimFirst(ctx context.Context, c *controller, now time.Duration) {
	if now-c.firstAt < g.claimDelay(c, 0) || g.reach.isUnavailable() || !g.mayClaim() {
		return
	}
	record := keyspace.FirstUnassigned(g.self(), g.era.Load())
	if c.service.name == coordination {
		record = keyspace.FirstKeyless(g.self(), g.era.Load())
	}
	g.log.Info("first claim of control", "service", c.service.name)
	c.claiming = true
	g.claim(ctx, c, record, 0)
}

// mayClaim reports whether this host may be a controller. It need not be ready: where all hosts
// have just started, those that wait for others to tell them of the servers wait for a
// controller.
func (g *Gateway) mayClaim() bool { return !g.stop.stopping() && g.inForce.Current() != nil }

// assignFirst makes the first assignment once the servers have registered. Servers that come
// later have to be given keys of others.
func (g *Gateway) assignFirst(c *controller, servers []keyspace.Server, now time.Duration) {
	if !c.machine.Record().Unassigned || c.machine.Pending() != nil || !g.Ready() {
		return
	}
	if len(servers) != c.firstCount {
		c.firstCount, c.countedAt = len(servers), now
	}
	longest := firstWaitMost
	if c.machine.Loads().Any() {
		longest = firstWaitAsked
	}
	if now-c.countedAt < firstWait && now-c.led < longest {
		return
	}
	eligible := slices.DeleteFunc(slices.Clone(servers), func(server keyspace.Server) bool { return server.Leaving })
	if c.machine.AssignFirst(now, eligible) {
		g.log.Info("first assignment", "service", c.service.name, "servers", len(eligible), "after-ms", (now - c.led).Milliseconds())
	}
}

// leastAdmitting is the least part of its speed that a server counts for which rests for all
// hosts: its keys pass on, and a plan has no use for servers of no capacity.
const leastAdmitting = 0.001

// holders returns the servers that may hold keys, and remembers their addresses.
func (g *Gateway) holders(c *controller) []keyspace.Server {
	var holders []keyspace.Server
	for _, state := range c.service.serverStates() {
		c.known[state.ID] = state.Server
		speed := state.Speed * max(c.members.admitting(state.Incarnation(), state.LongRest), leastAdmitting)
		holders = append(holders, keyspace.Server{ID: state.ID, Start: state.Start, Slots: state.Slots, Speed: speed, Leaving: state.Leaving()})
	}
	return holders
}

// lead does what a controller does.
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
	if now-c.led >= memberKept { // all that live have reported
		g.noteHosts(len(c.members.hosts) + 1)
	}
	c.machine.Advertise(c.members.all, g.hosts.count())
	c.machine.SetPace(time.Duration(len(c.members.hosts)) * recordCost)
	g.noteCrowded(c, len(servers))
	if g.listed.Load() { // else every owner would be taken for lost
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

// ownWriteWait is how long a controller's own write may take to come back by
// its watch.
const ownWriteWait = 150 * time.Millisecond

// hearOwnWrites sees to it that the controller's watch brings what it wrote: a
// watch that the store has forgotten brings nothing, and the other hosts, who
// learn of assignments through this one, would go on sending to old owners.
func (g *Gateway) hearOwnWrites(c *controller, now time.Duration) {
	if now-c.written < ownWriteWait || !g.fresh.cancelIfBehind(Assignments, c.revision) {
		return
	}
	g.log.Warn("own write not heard of; watching anew", "service", c.service.name, "revision", c.revision)
}

// noteAuthority logs when the authority ran out and when it is back.
func (g *Gateway) noteAuthority(c *controller, now time.Duration) {
	unauthorized := !c.machine.Authority(now)
	if unauthorized == c.unauthorized {
		return
	}
	c.unauthorized = unauthorized
	if unauthorized {
		g.log.Warn("authority ran out: the store has not confirmed this controller", "service", c.service.name)
		return
	}
	g.log.Info("authority confirmed again", "service", c.service.name)
}

// noteCrowded logs when keys can't be moved any more for balance, and when they can
// again.
func (g *Gateway) noteCrowded(c *controller, servers int) {
	crowded := c.machine.Crowded(servers)
	if crowded == c.crowded {
		return
	}
	c.crowded = crowded
	ranges := len(c.machine.Record().Ranges)
	if crowded {
		g.counts.crowded.Inc()
		g.log.Warn("assignment has as many ranges as it may have; hardly any key is moved for balance", "service", c.service.name, "ranges", ranges, "servers", servers)
		return
	}
	g.log.Info("assignment has room for ranges again", "service", c.service.name, "ranges", ranges)
}

func (g *Gateway) stepDown(c *controller, why, successor string) {
	g.log.Info("control given up", "service", c.service.name, "why", why, "successor", successor)
	c.machine, c.writing, c.reading, c.unauthorized = nil, false, false, false
	c.members, c.schedules = newMembers(), nil
	c.heard = g.boot.Now()
}

// askPredecessors asks earlier controllers whether they have stopped, until
// they have or their authority has run out in any case.
func (g *Gateway) askPredecessors(ctx context.Context, c *controller, now time.Duration) {
	if now-c.asked < yieldEvery {
		return
	}
	c.asked = now
	for _, earlier := range c.machine.Unproven(now) {
		g.startYield(ctx, c, earlier)
	}
}

// resignAll stops all controllers and tells the others through the store, so
// that the next takes over without waiting for leases. One that does not reach
// the store goes on until it does or its process ends: nobody can take over
// meanwhile, and keys whose leases nobody renews have no owner 5 s later. It must
// have stopped before it writes that it has, and can't go on if that write fails,
// which may yet take effect; so the store has to confirm it once more before.
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
