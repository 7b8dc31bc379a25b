package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cicadarouter/host/clock"
)

// A controller states to other hosts how old its copies are, and a watch tells that only when it
// returns. So a controller verifies its copies by calls of their own, which return at once: they show
// that nothing is missing, or that a watch has missed a change.

// verifyTimeout is the age from which on a copy counts as one that could not be verified.
func (f *freshness) verifyTimeout() time.Duration { return f.verifyInterval() * 3 / 2 }

// copiesToVerify returns the kinds whose copies a controller has to verify, with the revisions up to
// which it knows them; none on other hosts. The record of a controller is confirmed by itself.
func (f *freshness) copiesToVerify() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	revisions := map[string]uint64{}
	for name, state := range f.kinds {
		if f.controlling && name != Assignments && state.revision > 0 {
			revisions[name] = state.revision
		}
	}
	return revisions
}

// knownRevision returns the revision up to which this host knows a kind.
func (f *freshness) knownRevision(name string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kind(name).revision
}

// cancelWatchBefore cancels a kind's watch unless the kind is known beyond a revision.
func (f *freshness) cancelWatchBefore(name string, revision uint64) (canceled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	if state.revision > revision || state.cancelWatch == nil {
		return false
	}
	state.cancelWatch()
	return true
}

// verifyCopies verifies the copies of a controller at regular intervals.
func (g *Gateway) verifyCopies(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, g.freshness.verifyInterval())
		if g.storeAvailability.isUnavailable() {
			continue // the prober finds out when it is back
		}
		var verifying sync.WaitGroup
		revisions := g.freshness.copiesToVerify()
		for _, kind := range slices.Sorted(maps.Keys(revisions)) {
			verifying.Go(func() { g.verifyCopy(ctx, kind, revisions[kind]) })
		}
		verifying.Wait()
	}
}

// verifyCopy verifies that the copy of a kind, known up to a revision, is complete. If it isn't, or if
// that can't be told, the watch of the kind is begun again: it returns what is missing, or the error.
func (g *Gateway) verifyCopy(ctx context.Context, kind string, revision uint64) {
	calling, cancel := context.WithTimeout(ctx, g.freshness.verifyInterval())
	defer cancel()
	began := g.now()
	listing, err := g.store.Watch(calling, kind, revision, 0)
	if err == nil && len(listing.Objects) == 0 {
		// The store keeps its history for a limited time, so the next watch must start from here.
		g.relayCache.update(kind, listing, false)
		g.freshness.noteRevision(kind, listing.Revision, false)
		g.freshness.noteStoreRead(kind, began)
		return
	}
	if ctx.Err() == nil && g.freshness.cancelWatchBefore(kind, revision) {
		g.log.Info("watch is begun again: its kind has changed, or could not be verified", "kind", kind, "revision", revision,
			"changes", len(listing.Objects), "error", errorText(err))
	}
}
