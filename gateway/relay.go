package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"cicadarouter/contract/objects"
)

// relayKept is how many changes of a kind are kept for hosts that are behind.
// One that is further behind lists the kind anew. Each change of an assignment
// holds the whole record, some 15 KB at 170 servers.
const relayKept = 32

// relay passes what a controller learns of the store on to the other hosts:
// each call to the store has a price, a call between hosts has none. A host
// uses it only while the controller vouches for its own contact with the store,
// and goes to the store itself otherwise.
type relay struct {
	mu    sync.Mutex
	kinds map[string]*relayed
}

// relayed is what is known of one kind.
type relayed struct {
	revision uint64
	// first holds the assignments as they were before the kept changes.
	first   []objects.Object
	kept    []relayedChange
	changed chan struct{}
}

// relayedChange is what changed after one revision, up to that of the listing.
type relayedChange struct {
	after   uint64
	listing objects.Listing
}

func (r *relay) kind(name string) *relayed {
	if r.kinds == nil {
		r.kinds = map[string]*relayed{}
	}
	known := r.kinds[name]
	if known == nil {
		known = &relayed{changed: make(chan struct{})}
		r.kinds[name] = known
	}
	return known
}

// note takes a listing as this host's follower got it. A complete listing makes
// an end of what was kept: deletions before it are not known.
func (r *relay) note(name string, listing objects.Listing, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.kind(name)
	if complete {
		known.kept, known.first = nil, nil
		if name == Assignments {
			known.first = listing.Objects
		}
	} else if len(listing.Objects) > 0 {
		known.kept = append(known.kept, relayedChange{after: known.revision, listing: listing})
		if len(known.kept) > relayKept {
			known.kept = known.kept[1:]
		}
	}
	moved := complete || len(listing.Objects) > 0
	known.revision = listing.Revision
	if moved {
		close(known.changed)
		known.changed = make(chan struct{})
	}
}

// since returns what changed after a revision, and what is closed when more
// does. ok is false if that is not known any more.
func (r *relay) since(name string, revision uint64) (listing objects.Listing, more <-chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.kind(name)
	listing.Revision = max(known.revision, revision)
	if revision >= known.revision {
		return listing, known.changed, true
	}
	oldest := known.revision
	for _, change := range known.kept {
		oldest = min(oldest, change.after)
		if change.listing.Revision > revision {
			listing.Objects = append(listing.Objects, change.listing.Objects...)
		}
	}
	listing.Objects = latest(listing.Objects)
	return listing, known.changed, revision >= oldest
}

// latest leaves the last of the changes of each object.
func latest(changes []objects.Object) []objects.Object {
	last := make(map[string]int, len(changes))
	for i, object := range changes {
		last[object.Name] = i
	}
	var kept []objects.Object
	for i, object := range changes {
		if last[object.Name] == i {
			kept = append(kept, object)
		}
	}
	return kept
}

// versionAt returns an assignment as a host knows it that is up to date with
// the kind at a revision; ok is false if that version is not kept.
func (r *relay) versionAt(name string, revision uint64) (found objects.Object, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.kind(Assignments)
	take := func(versions []objects.Object) {
		for _, object := range versions {
			if object.Name == name && object.Revision <= revision && object.Revision >= found.Revision {
				found, ok = object, !object.Deleted
			}
		}
	}
	take(known.first)
	for _, change := range known.kept {
		take(change.listing.Objects)
	}
	return found, ok
}

// watch waits until a kind has changed after a revision.
func (r *relay) watch(ctx context.Context, name string, revision uint64, wait time.Duration) (objects.Listing, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		listing, more, ok := r.since(name, revision)
		if !ok {
			return objects.Listing{}, objects.ErrCompacted
		}
		if len(listing.Objects) > 0 {
			return listing, nil
		}
		select {
		case <-more:
		case <-timer.C:
			return listing, nil
		case <-ctx.Done():
			return objects.Listing{}, ctx.Err()
		}
	}
}

// watchRequest asks a controller for the changes of a kind.
type watchRequest struct {
	Kind     string `json:"kind"`
	Revision uint64 `json:"revision"`
	WaitMs   int64  `json:"waitMs"`
	// Whole asks for whole assignments in place of patches.
	Whole bool `json:"whole,omitempty"`
}

// watchAnswer is what a controller passes on.
type watchAnswer struct {
	objects.Listing
	// Patches stand in place of the assignments that the host knows an earlier
	// version of.
	Patches []assignmentPatch `json:"patches,omitempty"`
}

// relayedWatch asks a controller in place of the store.
func (g *Gateway) relayedWatch(ctx context.Context, controller, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	request := watchRequest{Kind: kind, Revision: revision, WaitMs: wait.Milliseconds()}
	listing, err := g.askRelay(ctx, controller, request)
	var unfit *patchUnfitError
	if errors.As(err, &unfit) {
		g.log.Info("patch of an assignment does not fit; asking for it whole", "service", unfit.Service,
			"base", unfit.Base, "known", unfit.Known, "controller", controller)
		request.Whole = true
		return g.askRelay(ctx, controller, request)
	}
	return listing, err
}

func (g *Gateway) askRelay(ctx context.Context, controller string, request watchRequest) (objects.Listing, error) {
	var answer watchAnswer
	wait := time.Duration(request.WaitMs) * time.Millisecond
	err := g.askPeer(ctx, wait+peerTimeout, controller, pathWatch, request, &answer)
	var status *peerStatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return objects.Listing{}, objects.ErrCompacted
	}
	if err != nil {
		return objects.Listing{}, err
	}
	return g.patchedTogether(&answer)
}

// answerWatch answers another host's watch, as long as this host is a
// controller.
func (g *Gateway) answerWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if !g.readPeer(w, r, &request) {
		return
	}
	if !g.fresh.leading() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	listing, err := g.relay.watch(r.Context(), request.Kind, request.Revision, time.Duration(request.WaitMs)*time.Millisecond)
	if errors.Is(err, objects.ErrCompacted) {
		w.WriteHeader(http.StatusGone)
		return
	}
	if err != nil {
		return // the other host has gone
	}
	answer := &watchAnswer{Listing: listing}
	if request.Kind == Assignments && !request.Whole {
		answer = g.patches.shorten(&g.relay, listing, request.Revision)
	}
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		g.log.Info("answer to a host not written", "error", err.Error())
	}
}
