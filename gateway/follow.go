package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/host/clock"
	"cicadarouter/keyspace"
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
	// firstGather takes its place while the system starts and all servers
	// register: each change wakes every host.
	firstGather = 800 * time.Millisecond
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
	// away is told each time a call fails.
	away func()
}

// follow runs until the context ends.
func (g *Gateway) follow(ctx context.Context, f follower) {
	pause := awayFirst
	var revision uint64
	connected := false
	for ctx.Err() == nil {
		listing, ended, err := g.next(ctx, f, connected, revision)
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
				g.reach.wait(ctx)
			}
			continue
		}
		if f.prober {
			g.reach.back()
		}
		if !connected {
			g.log.Info("store followed", "kind", f.kind, "revision", listing.Revision, "objects", len(listing.Objects))
			f.replace(listing)
		} else if len(listing.Objects) > 0 {
			f.change(listing)
		}
		g.relay.note(f.kind, listing, !connected)
		g.fresh.known(f.kind, listing.Revision, !connected || len(listing.Objects) > 0)
		connected, pause, revision = true, awayFirst, max(revision, listing.Revision)
		if f.gather > 0 {
			clock.Sleep(ctx, g.gatherFor(f.gather))
		}
	}
}

// gatherFor returns the pause after a call of a kind that changes often.
func (g *Gateway) gatherFor(usual time.Duration) time.Duration {
	if g.now() < firstWatches && !g.fresh.vouchedOnce() {
		return max(usual, firstGather)
	}
	return usual
}

// next makes the next call. ended is set if the watch was ended because it may
// be behind.
func (g *Gateway) next(ctx context.Context, f follower, connected bool, revision uint64) (listing objects.Listing, ended bool, err error) {
	kind := f.kind
	reader := g.reader()
	if !connected {
		listing, err = reader.List(ctx, kind)
		return listing, false, err
	}
	watching, cancel, plan := g.fresh.begin(ctx, kind, g.now())
	defer cancel()
	if f.prober && g.reach.isAway() {
		// Whoever answers: the others wait for it.
		plan.wait = min(plan.wait, awayWatch)
	}
	if plan.controller == "" {
		listing, err = reader.Watch(watching, kind, revision, plan.wait)
		return listing, err != nil && watching.Err() != nil && ctx.Err() == nil, err
	}
	listing, err = g.relayedWatch(watching, plan.controller, kind, revision, plan.wait)
	if err == nil || errors.Is(err, objects.ErrCompacted) || ctx.Err() != nil {
		return listing, false, err
	}
	if watching.Err() == nil {
		g.fresh.doubt()
		g.log.Info("controller does not pass on what the store holds; asking the store", "kind", kind, "controller", plan.controller, "error", err.Error())
	}
	return listing, true, err
}

// reader returns how the store is read now. While the whole system starts, every
// host lists every kind and hears of each server that registers: on 76 hosts
// that was two thirds of the calls of a calm day. Before the first callers come
// nothing depends on seconds, so these calls are made at the lower price.
func (g *Gateway) reader() objects.Reader {
	if g.identity.FirstStart && g.fresh.startingNow(g.now()) {
		return g.store.Stale()
	}
	return g.store
}

// lost notes a failed call, and reports whether the watch may go on from its
// revision. A watch that was cut or turned away loses nothing by going on.
func (g *Gateway) lost(f follower, err error, connected bool) bool {
	g.counts.storeErrors.Inc()
	compacted := errors.Is(err, objects.ErrCompacted)
	g.log.Warn("store not followed", "kind", f.kind, "error", err.Error(), "list-again", compacted || !connected)
	if !compacted {
		f.away()
	}
	if f.prober && !compacted {
		g.reach.lost()
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
			g.configure(offered)
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
		g.control.listed.Store(true)
		g.nudge()
	}
	g.follow(ctx, follower{kind: Assignments, replace: take, change: take, away: func() {}})
}

func (g *Gateway) takeAssignment(object objects.Object) {
	if object.Deleted {
		g.log.Error("assignment deleted in the store; the last one stays in force", "service", object.Name)
		return
	}
	record := &keyspace.Record{}
	err := json.Unmarshal(object.Spec, record)
	if err == nil {
		err = record.Check()
	}
	if err != nil {
		g.log.Error("assignment left aside", "service", object.Name, "revision", object.Revision, "error", err.Error())
		return
	}
	s := g.keyedService(object.Name)
	if s.view == nil {
		g.log.Error("assignment of a service without keys left aside", "service", object.Name)
		return
	}
	if s.view.offer(object.Revision, record) {
		g.log.Info("assignment known", "service", object.Name, "revision", object.Revision, "term", record.Term,
			"controller", record.Controller.Host, "ranges", len(record.Ranges))
		s.pump()
	}
}

// keyedService returns the service, which an assignment proves to have keys.
func (g *Gateway) keyedService(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil {
		s = newService(name, g.identity, true, g.now)
		g.services[name] = s
	}
	return s
}
