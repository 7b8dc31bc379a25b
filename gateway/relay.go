package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cicadarouter/contract/objects"
)

const (
	// relayKept and relayBytes bound the changes of a kind that are kept for
	// hosts that are behind. One that is further behind lists the kind anew.
	relayKept  = 32
	relayBytes = 512 << 10
)

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
	// first holds the long documents as they were before the kept changes.
	first   map[string]objects.Object
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
	listing = canonical(listing)
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.kind(name)
	if complete {
		known.kept, known.first = nil, map[string]objects.Object{}
		known.fold(listing.Objects)
	} else if len(listing.Objects) > 0 {
		known.kept = append(known.kept, relayedChange{after: known.revision, listing: listing})
		known.trim()
	}
	moved := complete || len(listing.Objects) > 0
	known.revision = listing.Revision
	if moved {
		close(known.changed)
		known.changed = make(chan struct{})
	}
}

// canonical returns the listing with its long documents in the one form in which
// they pass between hosts. A delta is made of bytes, and the store may space the
// same document differently.
func canonical(listing objects.Listing) objects.Listing {
	listing.Objects = slices.Clone(listing.Objects)
	for i := range listing.Objects {
		object := &listing.Objects[i]
		if len(object.Spec) < longDocument {
			continue
		}
		if encoded, err := json.Marshal(object.Spec); err == nil {
			object.Spec = encoded // else it is left for whoever decodes it to report
		}
	}
	return listing
}

// fold takes the long documents of changes that are not kept any more.
func (k *relayed) fold(changes []objects.Object) {
	for _, object := range changes {
		if object.Deleted {
			delete(k.first, object.Name)
		} else if len(object.Spec) >= longDocument {
			k.first[object.Name] = object
		}
	}
}

// trim holds the kept changes within their bounds.
func (k *relayed) trim() {
	size := 0
	for _, change := range k.kept {
		size += change.bytes()
	}
	for len(k.kept) > relayKept || len(k.kept) > 1 && size > relayBytes {
		size -= k.kept[0].bytes()
		k.fold(k.kept[0].listing.Objects)
		k.kept = k.kept[1:]
	}
}

func (c *relayedChange) bytes() int {
	n := 0
	for _, object := range c.listing.Objects {
		n += len(object.Spec)
	}
	return n
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

// versionAt returns a long document as a host knows it that is up to date with
// its kind at a revision; ok is false if that version is not kept.
func (r *relay) versionAt(kind, name string, revision uint64) (found objects.Object, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.kind(kind)
	take := func(object objects.Object) {
		if object.Name == name && object.Revision <= revision && object.Revision >= found.Revision {
			found, ok = object, !object.Deleted && len(object.Spec) >= longDocument
		}
	}
	take(known.first[name])
	for _, change := range known.kept {
		for _, object := range change.listing.Objects {
			take(object)
		}
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
	// Whole asks for whole documents in place of deltas.
	Whole bool `json:"whole,omitempty"`
}

// relayedWatch asks a controller in place of the store.
func (g *Gateway) relayedWatch(ctx context.Context, controller, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	request := watchRequest{Kind: kind, Revision: revision, WaitMs: wait.Milliseconds()}
	listing, err := g.askRelay(ctx, controller, request)
	var unfit *unfitError
	if errors.As(err, &unfit) {
		g.log.Info("document asked for whole", "kind", kind, "name", unfit.Name, "base", unfit.Base, "known", unfit.Known,
			"controller", controller, "why", eris.ToString(unfit.Cause, false))
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
	return g.unfold(ctx, request.Kind, &answer)
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
	if !request.Whole {
		answer = g.deltas.shorten(&g.relay, request.Kind, listing, request.Revision)
	}
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		g.log.Info("answer to a host not written", "error", err.Error())
	}
}
