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

// Delays of the loops that follow the store.
const (
	// minRetryDelay and maxRetryDelay bound the delay between retries of a failed call. A host
	// must notice that the store is back within the time in which a configuration has to take
	// effect.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// probeWatchWait is how long the prober's watch waits while the store is unavailable: any
	// answer, not a change, shows that the store is back.
	probeWatchWait = 50 * time.Millisecond
	// batchDelay is the pause between two watches of a kind that changes often, so that one
	// call returns several changes. It is a tenth of the time in which they have to take
	// effect.
	batchDelay = 200 * time.Millisecond
	// startupBatchDelay replaces it while the system starts for the first time and all servers
	// register: each change wakes every host.
	startupBatchDelay = 800 * time.Millisecond
	// fullBatch is the number of changes in an answer from which on the next call is made at
	// once: the store returns some hundreds at a time, and there may be thousands.
	fullBatch = 256
	// Assignments is the kind of the objects that record which servers own which keys.
	Assignments = "cicada-assignments"
)

// follower keeps this host's copy of one kind up to date.
type follower struct {
	kind       string
	batchDelay time.Duration
	// prober marks the follower that keeps calling the store while it is unavailable.
	prober bool
	// onListing handles a complete listing, onChanges later changes.
	onListing func(objects.Listing)
	onChanges func(objects.Listing)
	// onError handles the error of a failed call.
	onError func(error)
}

// follow keeps a kind up to date until the context ends.
func (g *Gateway) follow(ctx context.Context, f follower) {
	g.addCopyAgeMetric(f.kind)
	pause := time.Duration(0)
	var known uint64
	connected := false
	var lost outage
	for ctx.Err() == nil {
		known = max(known, g.freshness.knownRevision(f.kind)) // a verification may have moved it on
		began := g.now()
		answer, ended, err := g.fetchNext(ctx, f, connected, known)
		listing := answer.listing
		if ended {
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			pause = nextPause(pause, err)
			lost.addCall(began, g.now())
			connected = g.handleFollowError(f, err, connected, pause, g.now()-began)
			paused := g.now()
			g.pauseAfterFailure(ctx, f.kind, began, pause, err)
			lost.pauses += g.now() - paused
			if !f.prober {
				lost.waits += g.waitStoreAvailable(ctx, f.kind)
			}
			continue
		}
		if f.prober {
			g.markStoreAvailable(answer.reader, answer.source)
		}
		g.noteFollowedAgain(f.kind, &lost, began, answer)
		g.noteEra(f.kind, revision.Era(listing.Revision))
		if !connected {
			g.log.Info("store followed", "kind", f.kind, "revision", listing.Revision, "objects", len(listing.Objects), "reader", answer.reader, "source", answer.source)
			f.onListing(listing)
		} else if len(listing.Objects) > 0 {
			f.onChanges(listing)
		}
		g.relayCache.update(f.kind, listing, !connected)
		g.freshness.noteRevision(f.kind, listing.Revision, !connected || len(listing.Objects) > 0)
		g.noteApplied(f.kind, answer)
		connected, pause, known = true, 0, max(known, listing.Revision)
		if f.batchDelay > 0 && len(listing.Objects) < fullBatch {
			clock.Sleep(ctx, g.batchDelayFor(f.batchDelay))
		}
	}
}

// nextPause returns the pause after a failed call; previous is the one before the call, 0 after a call
// that succeeded. Only a store that does not answer has to be spared: after ErrCompacted there is
// something to list.
func nextPause(previous time.Duration, err error) time.Duration {
	if errors.Is(err, objects.ErrCompacted) {
		return minRetryDelay
	}
	return min(max(2*previous, minRetryDelay), maxRetryDelay)
}

// batchDelayFor returns the pause after a call for a kind that changes often.
func (g *Gateway) batchDelayFor(usual time.Duration) time.Duration {
	if g.identity.FirstStart && g.now() < startupPeriod {
		return max(usual, startupBatchDelay)
	}
	return usual
}

// fetchNext makes the next call for a kind. ended is set if there is no answer to handle: the
// host only waited for a confirmation, the watch was canceled, or its source failed.
func (g *Gateway) fetchNext(ctx context.Context, f follower, connected bool, revision uint64) (got fetched, ended bool, err error) {
	kind := f.kind
	if !connected {
		got, err = g.list(ctx, kind, revision)
		return got, false, err
	}
	watchCtx, cancel, plan := g.freshness.beginWatch(ctx, kind, g.now(), g.sources.hasCandidate())
	defer cancel()
	if plan.confirmationArrived != nil {
		g.logWatch(kind, plan, readNothing)
		clock.Await(watchCtx, plan.confirmationArrived, plan.wait)
		return fetched{}, true, nil
	}
	if f.prober && g.storeAvailability.isUnavailable() {
		// The other followers wait until any host or the store answers.
		plan.wait = min(plan.wait, probeWatchWait)
	}
	if plan.source == "" {
		calling, cancelLost := g.withLossDetected(watchCtx, "watch", kind, plan.wait)
		defer cancelLost()
		got, err = g.watchStore(calling, kind, revision, plan)
		return got, err != nil && calling.Err() != nil && ctx.Err() == nil, err
	}
	g.logWatch(kind, plan, readHost)
	began := g.now()
	listing, err := g.watchFromPeer(watchCtx, plan.source, kind, revision, plan.wait)
	got = g.fetched(listing, readHost, plan.source, began)
	if err == nil || errors.Is(err, objects.ErrCompacted) || ctx.Err() != nil {
		return got, false, err
	}
	if watchCtx.Err() == nil {
		g.freshness.noteSourceFailure(plan.source)
		g.sources.skip(plan.source)
		g.log.Info("source does not pass on what the store holds", "kind", kind, "source", plan.source, "error", err.Error())
	}
	return got, true, err
}

// listAtStartup lists a kind after the start of the process. A stale read, which costs a
// tenth, is enough: the watch that follows returns what changed since. If the store is
// unavailable, the host lists from another host, however old that list may be; else it would
// reject every request until the store is back, although its servers work. A watch of the
// store brings later changes as soon as one succeeds.
func (g *Gateway) listAtStartup(ctx context.Context, kind string) (fetched, error) {
	if kind == g.registry.ServerKind() {
		if got, ok := g.listServersAtStartup(ctx); ok {
			return got, nil
		}
	}
	began := g.now()
	listing, err := g.store.Stale().List(ctx, kind)
	source := g.sources.current()
	if err == nil || source == "" || ctx.Err() != nil {
		return g.fetched(g.peerListing(kind, listing), readStale, "", began), err
	}
	began = g.now()
	listing, age, peerErr := g.listFromPeer(ctx, source, kind)
	if peerErr != nil {
		g.sources.noteMiss()
		return fetched{}, errors.Join(err, peerErr)
	}
	return g.listedFrom(listing, source, began, age), nil
}

// watchStore watches the store itself. While the whole system starts for the first time, every
// host is notified of each server that registers: with 76 hosts that was two thirds of the
// calls of a calm day. For the first second the cheaper stale reads are used.
func (g *Gateway) watchStore(ctx context.Context, kind string, revision uint64, plan watchPlan) (fetched, error) {
	began := g.now()
	if plan.stale {
		g.logWatch(kind, plan, readStale)
		listing, err := g.store.Stale().Watch(ctx, kind, revision, plan.wait)
		return g.fetched(g.peerListing(kind, listing), readStale, "", began), err
	}
	g.logWatch(kind, plan, readStore)
	listing, err := g.store.Watch(ctx, kind, revision, plan.wait)
	got := g.fetched(g.peerListing(kind, listing), readStore, "", began)
	got.partial = len(listing.Objects) >= fullBatch
	return got, err
}

// handleFollowError handles a failed call, and reports whether the watch may continue from its
// revision. A watch that was cut off or refused has missed nothing; one whose history was
// compacted has.
func (g *Gateway) handleFollowError(f follower, err error, connected bool, pause, waited time.Duration) bool {
	g.metrics.storeErrors.Inc()
	var rewound *objects.RewoundError
	if errors.As(err, &rewound) {
		g.noteEra(f.kind, rewound.Era)
	}
	compacted := errors.Is(err, objects.ErrCompacted)
	g.log.Warn("store not followed", "kind", f.kind, "error", err.Error(), "list-again", compacted || !connected, "call-ms", waited.Milliseconds(), "retry-ms", pause.Milliseconds())
	if !compacted {
		f.onError(err)
	}
	if f.prober && !compacted {
		g.storeAvailability.markUnavailable()
	}
	return connected && !compacted
}

// followConfiguration follows the operator's configuration.
func (g *Gateway) followConfiguration(ctx context.Context) {
	apply := func(listing objects.Listing) {
		for _, object := range listing.Objects {
			if object.Name != g.registry.ConfigurationName() || object.Deleted {
				continue
			}
			offered, err := g.registry.DecodeConfiguration(object)
			if err != nil {
				g.log.Error("invalid configuration ignored", "revision", object.Revision, "error", err.Error())
				continue
			}
			g.applyConfiguration(offered)
		}
	}
	// The configuration's follower is the prober: of all kinds, it has the shortest time to
	// take effect.
	g.follow(ctx, follower{prober: true, kind: g.registry.ConfigurationKind(), onListing: apply, onChanges: apply, onError: g.noteRegistryUnavailable})
}

// followAssignments follows which servers own which keys.
func (g *Gateway) followAssignments(ctx context.Context) {
	apply := func(listing objects.Listing) {
		for _, object := range listing.Objects {
			g.applyAssignment(object)
		}
		g.control.assignmentsListed.Store(true)
		g.wakeControl()
	}
	g.follow(ctx, follower{kind: Assignments, onListing: apply, onChanges: apply, onError: g.noteAssignmentsRefused})
}

// noteAssignmentsRefused records that the store refuses this host's calls. A store that is only
// slow to answer may be busy with the lists of hundreds of hosts, so other errors don't count.
func (g *Gateway) noteAssignmentsRefused(err error) {
	if errors.Is(err, objects.ErrRefused) {
		g.control.listRejected.Store(true)
	}
}

// applyAssignment applies an assignment if it is valid and newer than the one known.
func (g *Gateway) applyAssignment(object objects.Object) {
	if object.Deleted {
		g.log.Error("assignment was deleted from the store; the last one stays in force", "service", object.Name)
		return
	}
	record := &keyspace.Record{}
	err := json.Unmarshal(object.Spec, record)
	if err == nil {
		err = record.Validate()
	}
	if err != nil {
		g.log.Error("invalid assignment ignored", "service", object.Name, "revision", object.Revision, "error", err.Error())
		return
	}
	if record.Keyless != (object.Name == coordinationService) {
		g.log.Error("assignment ignored: only "+coordinationService+" may have one without keys", "service", object.Name, "keyless", record.Keyless)
		return
	}
	s := g.keyedService(object.Name)
	if s.view == nil {
		g.log.Error("assignment ignored: the service has no keys", "service", object.Name)
		return
	}
	g.sources.updateFromAssignment(record.Controller)
	if s.view.update(object.Revision, record) {
		g.log.Info("assignment known", "service", object.Name, "revision", object.Revision, "term", record.Term,
			"controller", record.Controller.Host, "ranges", len(record.Ranges))
		s.dispatchWaiting()
	}
}

// keyedService returns a service that has an assignment, and therefore keys; it is created if
// it isn't known yet.
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
