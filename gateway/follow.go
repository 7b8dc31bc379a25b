package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/host/clock"
	"cicadarouter/keyspace"
	"cicadarouter/revision"
)

// Times of following the store.
const (
	// awayFirst and awayMost bound the pause after a failed call. A host that
	// has lost the store must learn of its return within the time in which a
	// configuration has to be in force.
	awayFirst = 100 * time.Millisecond
	awayMost  = 800 * time.Millisecond
	// awayWatch is how long a watch waits that asks whether the store is back:
	// its answer, not a change, is what the host waits for.
	awayWatch = 50 * time.Millisecond
	// gather is left between two watches of a kind that changes often, so that
	// one call brings several changes. A tenth of the time to obey them.
	gather = 200 * time.Millisecond
	// firstGather takes its place while the system starts for the first time and all
	// servers register: each change wakes every host.
	firstGather = 800 * time.Millisecond
	// gathered is how many changes a call must bring for the next one to be made at once:
	// the store tells some hundreds at a time, and there may be thousands.
	gathered = 256
	// Assignments is the kind of the records in which owners of keys lie.
	Assignments = "cicada-assignments"
)

// follower keeps this host's copy of one kind up to date.
type follower struct {
	kind   string
	gather time.Duration
	// prober marks the follower that goes on asking while the store is away.
	prober bool
	// replace takes a complete listing, change takes later changes.
	replace func(objects.Listing)
	change  func(objects.Listing)
	// away is told each time a call fails, and why.
	away func(error)
}

// follow runs until the context ends.
func (g *Gateway) follow(ctx context.Context, f follower) {
	pause := awayFirst
	var known uint64
	connected := false
	for ctx.Err() == nil {
		listing, ended, err := g.next(ctx, f, connected, known)
		if ended {
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			connected = g.lost(f, err, connected)
			clock.Sleep(ctx, pause)
			pause = min(2*pause, awayMost)
			if !f.prober {
				g.storeReach.wait(ctx)
			}
			continue
		}
		if f.prober {
			g.storeReach.back()
		}
		g.noteEra(f.kind, revision.Era(listing.Revision))
		if !connected {
			g.log.Info("store followed", "kind", f.kind, "revision", listing.Revision, "objects", len(listing.Objects))
			f.replace(listing)
		} else if len(listing.Objects) > 0 {
			f.change(listing)
		}
		g.relay.note(f.kind, listing, !connected)
		g.freshness.known(f.kind, listing.Revision, !connected || len(listing.Objects) > 0)
		connected, pause, known = true, awayFirst, max(known, listing.Revision)
		if f.gather > 0 && len(listing.Objects) < gathered {
			clock.Sleep(ctx, g.gatherFor(f.gather))
		}
	}
}

// gatherFor returns the pause after a call of a kind that changes often.
func (g *Gateway) gatherFor(usual time.Duration) time.Duration {
	if g.identity.FirstStart && g.now() < firstWatches {
		return max(usual, firstGather)
	}
	return usual
}

// next makes the next call. ended is set if the watch was ended because it may
// be behind.
func (g *Gateway) next(ctx context.Context, f follower, connected bool, revision uint64) (listing objects.Listing, ended bool, err error) {
	kind := f.kind
	if !connected {
		listing, err = g.list(ctx, kind, revision)
		return listing, false, err
	}
	watching, cancel, plan := g.freshness.begin(ctx, kind, g.now(), g.sources.known())
	defer cancel()
	if plan.news != nil {
		clock.Await(watching, plan.news, plan.wait)
		return listing, true, nil
	}
	if f.prober && g.storeReach.isAway() {
		// Whoever answers: the others wait for it.
		plan.wait = min(plan.wait, awayWatch)
	}
	if plan.source == "" {
		listing, err = g.watchStore(watching, kind, revision, plan.wait)
		return listing, err != nil && watching.Err() != nil && ctx.Err() == nil, err
	}
	listing, err = g.relayedWatch(watching, plan.source, kind, revision, plan.wait)
	if err == nil || errors.Is(err, objects.ErrCompacted) || ctx.Err() != nil {
		return listing, false, err
	}
	if watching.Err() == nil {
		g.freshness.failed(plan.source)
		g.sources.pass(plan.source)
		g.log.Info("source does not pass on what the store holds", "kind", kind, "source", plan.source, "error", err.Error())
	}
	return listing, true, err
}

// list lists a kind that this host knows up to a revision, 0 if it has just
// started. A later list comes from the host that this one follows; one that was
// too far behind for its source's changes would otherwise read a page of the store
// for each 500 entries.
func (g *Gateway) list(ctx context.Context, kind string, known uint64) (objects.Listing, error) {
	if known == 0 {
		return g.firstList(ctx, kind)
	}
	if source := g.freshness.follows(g.now()); source != "" {
		listing, _, err := g.relayedList(ctx, source, kind)
		if err == nil && revision.Era(listing.Revision) < g.era.Load() {
			err = &objects.RewoundError{Given: listing.Revision, Era: g.era.Load()}
		}
		if err == nil {
			return listing, nil
		}
		g.log.Info("source does not list what the store holds; asking the store", "kind", kind, "source", source, "error", err.Error())
	}
	began := g.now()
	listing, err := g.store.List(ctx, kind)
	if err == nil {
		g.freshness.touch(kind, began)
	}
	return g.asPassedOn(kind, listing), err
}

// firstList lists a kind after the start of the process. It may be seconds old, at
// a tenth of the price: the watch that follows brings what it lacks. A host that
// starts while the store is away takes what another host knows, however old. Else
// it would turn away every request until the store is back, though its servers
// serve; a watch of the store brings what has changed as soon as there is one.
func (g *Gateway) firstList(ctx context.Context, kind string) (objects.Listing, error) {
	if kind == g.registry.Servers() {
		if listing, ok := g.firstServers(ctx); ok {
			return listing, nil
		}
	}
	listing, err := g.store.Stale().List(ctx, kind)
	source := g.sources.current()
	if err == nil || source == "" || ctx.Err() != nil {
		return g.asPassedOn(kind, listing), err
	}
	listing, _, peerErr := g.relayedList(ctx, source, kind)
	if peerErr != nil {
		g.sources.miss()
		return listing, errors.Join(err, peerErr)
	}
	return listing, nil
}

// watchStore watches the store itself. While the whole system starts for the first
// time, every host hears of each server that registers: on 76 hosts that was two
// thirds of the calls of a calm day. Before the first callers come nothing depends
// on seconds, so these calls are made at the lower price.
func (g *Gateway) watchStore(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	if g.identity.FirstStart && g.freshness.startingNow(g.now()) {
		listing, err := g.store.Stale().Watch(ctx, kind, revision, wait)
		return g.asPassedOn(kind, listing), err
	}
	began := g.now()
	listing, err := g.store.Watch(ctx, kind, revision, wait)
	if err == nil {
		g.freshness.touch(kind, began)
	}
	return g.asPassedOn(kind, listing), err
}

// lost notes a failed call, and reports whether the watch may go on from its
// revision. A watch that was cut or turned away loses nothing by going on.
func (g *Gateway) lost(f follower, err error, connected bool) bool {
	g.metrics.storeErrors.Inc()
	var rewound *objects.RewoundError
	if errors.As(err, &rewound) {
		g.noteEra(f.kind, rewound.Era)
	}
	compacted := errors.Is(err, objects.ErrCompacted)
	g.log.Warn("store not followed", "kind", f.kind, "error", err.Error(), "list-again", compacted || !connected)
	if !compacted {
		f.away(err)
	}
	if f.prober && !compacted {
		g.storeReach.lost()
	}
	return connected && !compacted
}

// followConfiguration follows the operator's configuration.
func (g *Gateway) followConfiguration(ctx context.Context) {
	take := func(listing objects.Listing) {
		for _, object := range listing.Objects {
			if object.Name != g.registry.Current() || object.Deleted {
				continue
			}
			offered, err := g.registry.Configuration(object)
			if err != nil {
				g.log.Error("configuration left aside", "revision", object.Revision, "error", err.Error())
				continue
			}
			g.applyConfiguration(offered)
		}
	}
	// A configuration has the shortest time in which it must be in force.
	g.follow(ctx, follower{prober: true, kind: g.registry.Configurations(), replace: take, change: take, away: g.registryAway})
}

// followAssignments follows who owns which keys.
func (g *Gateway) followAssignments(ctx context.Context) {
	take := func(listing objects.Listing) {
		for _, object := range listing.Objects {
			g.takeAssignment(object)
		}
		g.control.assignmentsListed.Store(true)
		g.nudge()
	}
	g.follow(ctx, follower{kind: Assignments, replace: take, change: take, away: g.noteAssignmentsAway})
}

// noteAssignmentsAway notes that the store turns this host away. One that is only slow to answer
// may be busy with the lists of hundreds of hosts.
func (g *Gateway) noteAssignmentsAway(err error) {
	if errors.Is(err, objects.ErrRefused) {
		g.control.listRejected.Store(true)
	}
}

func (g *Gateway) takeAssignment(object objects.Object) {
	if object.Deleted {
		g.log.Error("assignment deleted in the store; the last one stays in force", "service", object.Name)
		return
	}
	record := &keyspace.Record{}
	err := json.Unmarshal(object.Spec, record)
	if err == nil {
		err = record.Validate()
	}
	if err != nil {
		g.log.Error("assignment left aside", "service", object.Name, "revision", object.Revision, "error", err.Error())
		return
	}
	if record.Keyless != (object.Name == coordinationService) {
		g.log.Error("record left aside: only "+coordinationService+" has one without keys", "service", object.Name, "keyless", record.Keyless)
		return
	}
	s := g.keyedService(object.Name)
	if s.view == nil {
		g.log.Error("assignment of a service without keys left aside", "service", object.Name)
		return
	}
	g.sources.read(record.Controller)
	if s.view.update(object.Revision, record) {
		g.log.Info("assignment known", "service", object.Name, "revision", object.Revision, "term", record.Term,
			"controller", record.Controller.Host, "ranges", len(record.Ranges))
		s.dispatchWaiting()
	}
}

// keyedService returns the service, which an assignment proves to have keys.
func (g *Gateway) keyedService(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		s = g.newService(name, true)
		g.services[name] = s
	}
	return s
}
