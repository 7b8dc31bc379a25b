package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cicadarouter/contract/objects"
	"cicadarouter/fleet"
	"cicadarouter/revision"
)

const (
	// relayKept and relayBytes bound the earlier versions of long documents that are kept
	// to make deltas from. A host that has none of them gets the document whole.
	relayKept  = 32
	relayBytes = 512 << 10
	// mostGone bounds the deletions that are kept. A host that is further behind lists the
	// kind anew.
	mostGone = 4096
	// mostTold is after how many changes an answer to a watch ends.
	mostTold = 2000
	// listTimeout bounds a page of a list between hosts.
	listTimeout = 2 * time.Second
	// listPage is the number of objects in a page: some 500 KB of servers' entries.
	listPage = 2000
)

// relay passes what a host learns of the store on to others: each call to the
// store has a price, a call between hosts has none. A host uses it only while the
// other vouches for its knowledge of the store.
type relay struct {
	mu    sync.Mutex
	kinds map[string]*relayed
}

// relayed is what is known of one kind.
type relayed struct {
	revision uint64
	// current are the objects as of the revision; nil before the first listing.
	current map[string]objects.Object
	// sorted are the names of current in order; nil if they are to be sorted again.
	sorted []string
	// steps tell which objects changed when, the earliest first, and floor as of which
	// revision that is complete.
	steps []relayedStep
	floor uint64
	gone  int // steps that are deletions
	// first holds the long documents as they were before the kept changes.
	first   map[string]objects.Object
	kept    []relayedChange
	changed chan struct{}
}

// relayedStep is a change of one object, of which the host learned with a listing.
type relayedStep struct {
	listed   uint64 // the listing's revision
	revision uint64 // the object's
	name     string
	deletion *objects.Object // as it was told; nil for a change
}

// relayedChange holds the long documents that changed after one revision, up to that of
// the listing.
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

// note takes a listing as this host's follower got it. A complete listing that
// follows an earlier one is passed on as what differs: when a store dropped its
// history, one host lists it anew, and those that follow this host need not.
//
// Long documents come in their canonical form: see canonical.
func (r *relay) note(name string, listing objects.Listing, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.kind(name)
	if complete && known.current == nil {
		known.begin(listing)
		known.announce()
		return
	}
	if listing.Revision < known.revision {
		return // a list that was made before what is known
	}
	if complete {
		listing.Objects = known.differences(listing)
	}
	if len(listing.Objects) > 0 {
		known.keep(listing)
		known.take(listing)
		known.trim()
		known.announce()
	}
	known.revision = listing.Revision
}

// begin takes the first complete listing.
func (k *relayed) begin(listing objects.Listing) {
	k.current, k.first = make(map[string]objects.Object, len(listing.Objects)), map[string]objects.Object{}
	k.revision, k.floor = listing.Revision, listing.Revision
	for _, object := range listing.Objects {
		k.current[object.Name] = object
	}
	k.fold(listing.Objects)
}

// take makes the changes part of the current objects. A source that is behind may
// tell of a version before the one known.
func (k *relayed) take(listing objects.Listing) {
	for _, object := range listing.Objects {
		before, known := k.current[object.Name]
		switch {
		case object.Deleted:
			delete(k.current, object.Name)
			k.gone++
		case object.Revision >= before.Revision:
			k.current[object.Name] = object
		default:
			continue
		}
		if known == object.Deleted {
			k.sorted = nil
		}
		step := relayedStep{listed: listing.Revision, revision: object.Revision, name: object.Name}
		if object.Deleted {
			step.deletion = &object
		}
		k.steps = append(k.steps, step)
	}
}

// announce wakes those that wait for a change.
func (k *relayed) announce() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// differences returns how a complete listing differs from the current objects.
func (k *relayed) differences(listing objects.Listing) []objects.Object {
	var changes []objects.Object
	present := make(map[string]bool, len(listing.Objects))
	for _, object := range listing.Objects {
		present[object.Name] = true
		if have, known := k.current[object.Name]; !known || have.Revision < object.Revision {
			changes = append(changes, object)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(k.current)) {
		if !present[name] {
			gone := k.current[name]
			changes = append(changes, objects.Object{Kind: gone.Kind, Name: name, Revision: listing.Revision, Deleted: true})
		}
	}
	return changes
}

// names returns the names of the current objects in order.
func (k *relayed) names() []string {
	if k.sorted == nil {
		k.sorted = slices.Sorted(maps.Keys(k.current))
	}
	return k.sorted
}

// page returns objects of a kind as this host knows it, at most some and those whose names
// follow a given one, and whether there are more. ok is false before the host knows the kind.
func (r *relay) page(name, after string, most int) (listing objects.Listing, more, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.kind(name)
	listing.Revision = known.revision
	names := known.names()
	from, found := slices.BinarySearch(names, after)
	if found {
		from++
	}
	to := min(from+most, len(names))
	for _, each := range names[from:to] {
		listing.Objects = append(listing.Objects, known.current[each])
	}
	return listing, to < len(names), known.current != nil
}

// canonical returns a listing of the store with its long documents in the one form
// in which they pass between hosts. A delta is made of bytes, and the store may space
// the same document differently. What comes from a host has that form already; to
// make it again took a quarter of what a host spends on a change of an assignment.
func canonical(listing objects.Listing) objects.Listing {
	listing.Objects = slices.Clone(listing.Objects)
	for i := range listing.Objects {
		listing.Objects[i] = canonicalObject(listing.Objects[i])
	}
	return listing
}

// asPassedOn returns a listing of the store in the form in which it passes between hosts. An
// entry of a server is read once, by the hosts that follow the store.
func (g *Gateway) asPassedOn(kind string, listing objects.Listing) objects.Listing {
	listing = canonical(listing)
	if kind == g.registry.Servers() {
		for i := range listing.Objects {
			listing.Objects[i] = g.canonicalEntry(listing.Objects[i])
		}
	}
	return listing
}

// canonicalEntry returns an entry that can't be read as it is, for each host to tell; a text in
// a list, lest it be taken for one of a host.
func (g *Gateway) canonicalEntry(object objects.Object) objects.Object {
	if object.Deleted {
		return object
	}
	server, err := g.registry.Server(object)
	if err != nil {
		if isEntryText(object) {
			object.Spec = slices.Concat([]byte("["), object.Spec, []byte("]"))
		}
		return object
	}
	if text, ok := fleet.EncodeEntry(&server); ok {
		if encoded, err := json.Marshal(text); err == nil {
			object.Spec = encoded
		}
	}
	return object
}

// isEntryText reports whether an object is an entry as hosts tell it to each other.
func isEntryText(object objects.Object) bool { return len(object.Spec) > 0 && object.Spec[0] == '"' }

// canonicalObject is canonical for one object.
func canonicalObject(object objects.Object) objects.Object {
	if len(object.Spec) < longDocument {
		return object
	}
	if encoded, err := json.Marshal(object.Spec); err == nil {
		object.Spec = encoded // else it is left for whoever decodes it to report
	}
	return object
}

// keep keeps the long documents of a change.
func (k *relayed) keep(listing objects.Listing) {
	long := objects.Listing{Revision: listing.Revision}
	for _, object := range listing.Objects {
		if _, was := k.first[object.Name]; len(object.Spec) >= longDocument || was || len(k.current[object.Name].Spec) >= longDocument {
			long.Objects = append(long.Objects, object)
		}
	}
	if len(long.Objects) > 0 {
		k.kept = append(k.kept, relayedChange{after: k.revision, listing: long})
	}
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

// trim holds what is kept of earlier changes within its bounds.
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
	if len(k.steps) > 2*len(k.current)+2*mostGone {
		k.compact()
	}
}

// compact drops the steps that later ones of the same objects have replaced, and the earliest
// deletions.
func (k *relayed) compact() {
	last := make(map[string]int, len(k.steps))
	for i, step := range k.steps {
		last[step.name] = i
	}
	forget := k.gone - mostGone
	var steps []relayedStep
	k.gone = 0
	for i, step := range k.steps {
		if step.deletion != nil && forget > 0 {
			forget--
			k.floor = max(k.floor, step.listed)
			continue
		}
		if last[step.name] != i {
			continue
		}
		if step.deletion != nil {
			k.gone++
		}
		steps = append(steps, step)
	}
	k.steps = steps
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
func (r *relay) since(name string, after uint64) (listing objects.Listing, more <-chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.kind(name)
	listing.Revision = max(known.revision, after)
	if after >= known.revision {
		return listing, known.changed, true
	}
	if revision.Era(after) < revision.Era(known.revision) {
		return listing, known.changed, false // whoever asks may know what this host never did
	}
	listing.Objects, listing.Revision = known.changedSince(after)
	return listing, known.changed, after >= known.floor
}

// changedSince returns the objects that changed after a revision, as they are now, and up to
// which revision: as many as one answer may tell of.
func (k *relayed) changedSince(after uint64) (changes []objects.Object, upTo uint64) {
	from, _ := slices.BinarySearchFunc(k.steps, after+1, func(step relayedStep, want uint64) int { return cmp.Compare(step.listed, want) })
	for i, step := range k.steps[from:] {
		if i >= mostTold && step.listed > k.steps[from+i-1].listed {
			return latest(changes), k.steps[from+i-1].listed
		}
		object, present := k.current[step.name]
		switch {
		case step.deletion != nil:
			object = *step.deletion
		case !present || object.Revision != step.revision:
			continue // a later step tells what became of it
		}
		changes = append(changes, object)
	}
	return latest(changes), k.revision
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

// listRequest asks a host for a page of the objects of a kind.
type listRequest struct {
	Kind string `json:"kind"`
	// After is the last name of the page before; empty for the first page.
	After string `json:"after,omitempty"`
	// Columns is set by hosts that take objects column by column. Earlier ones are to ask
	// the store.
	Columns bool `json:"columns"`
}

// listAnswer is what a host knows of a kind.
type listAnswer struct {
	objects.Listing
	// More is set if another page follows.
	More bool
	// AgeMs is how old the host's knowledge of the store may be, in milliseconds.
	AgeMs int64
}

// listAnswerWire is a listAnswer as it passes between hosts.
type listAnswerWire struct {
	columns
	More  bool  `json:"more,omitempty"`
	AgeMs int64 `json:"ageMs"`
}

// MarshalJSON implements json.Marshaler.
func (a listAnswer) MarshalJSON() ([]byte, error) {
	return json.Marshal(listAnswerWire{columns: columnsOf(a.Listing), More: a.More, AgeMs: a.AgeMs})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *listAnswer) UnmarshalJSON(data []byte) error {
	var wire listAnswerWire
	err := json.Unmarshal(data, &wire)
	if err == nil {
		a.Listing, err = wire.listing()
	}
	a.More, a.AgeMs = wire.More, wire.AgeMs
	return err
}

// relayedList asks another host in place of the store. The revision is that of the first page,
// so that a watch from it misses nothing that changed between two pages. age is how old the
// host's knowledge of the store may be.
func (g *Gateway) relayedList(ctx context.Context, source, kind string) (listing objects.Listing, age time.Duration, err error) {
	request := listRequest{Kind: kind, Columns: true}
	for first := true; ; first = false {
		var page listAnswer
		if err := g.callPeer(ctx, listTimeout, source, pathList, request, &page); err != nil {
			return objects.Listing{}, 0, err
		}
		if first {
			listing.Revision, age = page.Revision, time.Duration(page.AgeMs)*time.Millisecond
		} else if revision.Era(page.Revision) != revision.Era(listing.Revision) {
			return objects.Listing{}, 0, &objects.RewoundError{Given: listing.Revision, Era: revision.Era(page.Revision)}
		}
		listing.Objects = append(listing.Objects, page.Objects...)
		if !page.More || len(page.Objects) == 0 {
			break
		}
		request.After = page.Objects[len(page.Objects)-1].Name
	}
	g.log.Info("listed from a host", "kind", kind, "source", source, "revision", listing.Revision, "objects", len(listing.Objects), "age-ms", age.Milliseconds())
	return listing, age, nil
}

// answerList answers another host's list, if this host knows the kind.
func (g *Gateway) answerList(w http.ResponseWriter, r *http.Request) {
	var request listRequest
	if !g.decodePeerRequest(w, r, &request) {
		return
	}
	listing, more, ok := g.relay.page(request.Kind, request.After, listPage)
	if !ok || !request.Columns {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.writePeerResponse(w, r, listAnswer{Listing: listing, More: more, AgeMs: g.freshness.ageNow(g.now()).Milliseconds()})
}

// watchRequest asks a host for the changes of a kind.
type watchRequest struct {
	Kind     string `json:"kind"`
	Revision uint64 `json:"revision"`
	WaitMs   int64  `json:"waitMs"`
	// Whole asks for whole documents in place of deltas.
	Whole bool `json:"whole,omitempty"`
	// Columns is as in listRequest.
	Columns bool `json:"columns"`
}

// relayedWatch asks another host in place of the store.
func (g *Gateway) relayedWatch(ctx context.Context, source, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	request := watchRequest{Kind: kind, Revision: revision, WaitMs: wait.Milliseconds(), Columns: true}
	listing, err := g.askRelay(ctx, source, request)
	var unfit *unfitError
	if errors.As(err, &unfit) {
		g.log.Info("document asked for whole", "kind", kind, "name", unfit.Name, "base", unfit.Base, "known", unfit.Known,
			"source", source, "why", eris.ToString(unfit.Cause, false))
		request.Whole = true
		return g.askRelay(ctx, source, request)
	}
	return listing, err
}

func (g *Gateway) askRelay(ctx context.Context, source string, request watchRequest) (objects.Listing, error) {
	var answer watchAnswer
	wait := time.Duration(request.WaitMs) * time.Millisecond
	err := g.callPeer(ctx, wait+peerTimeout, source, pathWatch, request, &answer)
	var status *peerStatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return objects.Listing{}, objects.ErrCompacted
	}
	if err != nil {
		return objects.Listing{}, err
	}
	return g.unfold(ctx, request.Kind, &answer)
}

// answerWatch answers another host's watch, as long as this host's knowledge of
// the store counts.
func (g *Gateway) answerWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if !g.decodePeerRequest(w, r, &request) {
		return
	}
	if !g.freshness.serves(g.now()) || !request.Columns {
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
	g.writePeerResponse(w, r, answer)
}
