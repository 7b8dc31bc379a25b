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
	// maxDocumentChanges and maxDocumentChangeBytes bound the past changes of large documents
	// that are kept to make deltas from. A host whose version is older gets the whole
	// document.
	maxDocumentChanges     = 32
	maxDocumentChangeBytes = 512 << 10
	// maxTombstones bounds the deletions that are kept. A host that is further behind lists the
	// kind again.
	maxTombstones = 4096
	// maxChangesPerAnswer is the number of changes after which an answer to a watch ends.
	maxChangesPerAnswer = 2000
	// listPageTimeout bounds the call for one page of a list from another host.
	listPageTimeout = 2 * time.Second
	// listPageSize is the number of objects in a page: some 500 KB of servers' entries.
	listPageSize = 2000
)

// relayCache caches what this host has read of the store so that other hosts can list and
// watch it here: calls to the store are billed, calls between hosts are not. Other hosts use
// it only while this host confirms that it is up to date.
type relayCache struct {
	mu    sync.Mutex
	kinds map[string]*kindCache
}

// kindCache is the cache of one kind.
type kindCache struct {
	revision uint64
	// current holds the objects as of the revision; nil before the first listing.
	current map[string]objects.Object
	// sortedNames holds the names of current in order; nil if they have to be sorted again.
	sortedNames []string
	// history lists the changes, the earliest first. It is complete for changes after the
	// revision historyStart.
	history      []historyEntry
	historyStart uint64
	tombstones   int // number of deletions in history
	// baseDocuments holds the large documents as they were before the first of
	// documentChanges.
	baseDocuments   map[string]objects.Object
	documentChanges []documentChange
	changed         chan struct{}
}

// historyEntry is a change of one object, read with one listing.
type historyEntry struct {
	listingRevision uint64 // revision of the listing
	revision        uint64 // revision of the object
	name            string
	tombstone       *objects.Object // as it was listed; nil unless the object was deleted
}

// documentChange holds the large documents that changed after a revision, up to the revision of
// the listing.
type documentChange struct {
	after   uint64
	listing objects.Listing
}

// kind returns the cache of a kind, which it creates if needed.
func (r *relayCache) kind(name string) *kindCache {
	if r.kinds == nil {
		r.kinds = map[string]*kindCache{}
	}
	cache := r.kinds[name]
	if cache == nil {
		cache = &kindCache{changed: make(chan struct{})}
		r.kinds[name] = cache
	}
	return cache
}

// update adds a listing that this host has read. A complete listing that follows an earlier
// one is recorded as its differences from that one: if the store drops its history, this host
// lists the kind again, and those that follow it need not.
//
// Large documents are expected in their canonical form: see canonicalListing.
func (r *relayCache) update(name string, listing objects.Listing, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cache := r.kind(name)
	if complete && cache.current == nil {
		cache.initialize(listing)
		cache.notifyWatchers()
		return
	}
	if listing.Revision < cache.revision {
		return // older than what is known
	}
	if complete {
		listing.Objects = cache.diff(listing)
	}
	if len(listing.Objects) > 0 {
		cache.recordDocuments(listing)
		cache.apply(listing)
		cache.trim()
		cache.notifyWatchers()
	}
	cache.revision = listing.Revision
}

// initialize stores the first complete listing.
func (k *kindCache) initialize(listing objects.Listing) {
	k.current, k.baseDocuments = make(map[string]objects.Object, len(listing.Objects)), map[string]objects.Object{}
	k.revision, k.historyStart = listing.Revision, listing.Revision
	for _, object := range listing.Objects {
		k.current[object.Name] = object
	}
	k.foldIntoBase(listing.Objects)
}

// apply applies changes to the current objects and adds them to the history. It skips a version
// older than the one known, which a source that is behind may send.
func (k *kindCache) apply(listing objects.Listing) {
	for _, object := range listing.Objects {
		before, known := k.current[object.Name]
		switch {
		case object.Deleted:
			delete(k.current, object.Name)
			k.tombstones++
		case object.Revision >= before.Revision:
			k.current[object.Name] = object
		default:
			continue
		}
		if known == object.Deleted {
			k.sortedNames = nil
		}
		entry := historyEntry{listingRevision: listing.Revision, revision: object.Revision, name: object.Name}
		if object.Deleted {
			entry.tombstone = &object
		}
		k.history = append(k.history, entry)
	}
}

// notifyWatchers wakes the watchers of the kind.
func (k *kindCache) notifyWatchers() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// diff returns the changes between the current objects and a complete listing.
func (k *kindCache) diff(listing objects.Listing) []objects.Object {
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
			last := k.current[name]
			changes = append(changes, objects.Object{Kind: last.Kind, Name: name, Revision: listing.Revision, Deleted: true})
		}
	}
	return changes
}

// names returns the names of the current objects in order.
func (k *kindCache) names() []string {
	if k.sortedNames == nil {
		k.sortedNames = slices.Sorted(maps.Keys(k.current))
	}
	return k.sortedNames
}

// page returns at most a number of the known objects of a kind, in order of names and
// beginning after a name, and whether there are more. ok is false if the kind has not been
// listed yet.
func (r *relayCache) page(name, after string, limit int) (listing objects.Listing, more, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cache := r.kind(name)
	listing.Revision = cache.revision
	names := cache.names()
	from, found := slices.BinarySearch(names, after)
	if found {
		from++
	}
	to := min(from+limit, len(names))
	for _, objectName := range names[from:to] {
		listing.Objects = append(listing.Objects, cache.current[objectName])
	}
	return listing, to < len(names), cache.current != nil
}

// canonicalListing returns a listing of the store with its large documents in the one encoding
// that hosts exchange. Deltas are made from bytes, and the store may space the same document
// differently. What comes from another host already is in this form; encoding it again took a
// quarter of the processor time that a host spends on a change of an assignment.
func canonicalListing(listing objects.Listing) objects.Listing {
	listing.Objects = slices.Clone(listing.Objects)
	for i := range listing.Objects {
		listing.Objects[i] = canonicalObject(listing.Objects[i])
	}
	return listing
}

// peerListing returns a listing of the store in the form that hosts exchange. Only the hosts
// that follow the store itself decode a server's entry from the registry's format.
func (g *Gateway) peerListing(kind string, listing objects.Listing) objects.Listing {
	listing = canonicalListing(listing)
	if kind == g.registry.ServerKind() {
		for i := range listing.Objects {
			listing.Objects[i] = g.canonicalEntry(listing.Objects[i])
		}
	}
	return listing
}

// canonicalEntry converts a server's entry to the text that hosts exchange. An entry that
// can't be decoded stays as it is, so that every host reports it. If it is a JSON string, it
// is wrapped in an array so that nobody takes it for the text of a host.
func (g *Gateway) canonicalEntry(object objects.Object) objects.Object {
	if object.Deleted {
		return object
	}
	server, err := g.registry.DecodeServer(object)
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

// isEntryText reports whether an object is an entry in the text form that hosts exchange.
func isEntryText(object objects.Object) bool { return len(object.Spec) > 0 && object.Spec[0] == '"' }

// canonicalObject is canonicalListing for one object.
func canonicalObject(object objects.Object) objects.Object {
	if len(object.Spec) < minDeltaDocument {
		return object
	}
	if encoded, err := json.Marshal(object.Spec); err == nil {
		object.Spec = encoded // an invalid document is reported by whoever decodes it
	}
	return object
}

// recordDocuments records the large documents of a listing's changes, so that deltas can be
// made from their versions.
func (k *kindCache) recordDocuments(listing objects.Listing) {
	long := objects.Listing{Revision: listing.Revision}
	for _, object := range listing.Objects {
		if _, was := k.baseDocuments[object.Name]; len(object.Spec) >= minDeltaDocument || was || len(k.current[object.Name].Spec) >= minDeltaDocument {
			long.Objects = append(long.Objects, object)
		}
	}
	if len(long.Objects) > 0 {
		k.documentChanges = append(k.documentChanges, documentChange{after: k.revision, listing: long})
	}
}

// foldIntoBase moves the large documents of changes that are no longer kept into
// baseDocuments.
func (k *kindCache) foldIntoBase(changes []objects.Object) {
	for _, object := range changes {
		if object.Deleted {
			delete(k.baseDocuments, object.Name)
		} else if len(object.Spec) >= minDeltaDocument {
			k.baseDocuments[object.Name] = object
		}
	}
}

// trim drops the oldest changes beyond the bounds.
func (k *kindCache) trim() {
	size := 0
	for _, change := range k.documentChanges {
		size += change.bytes()
	}
	for len(k.documentChanges) > maxDocumentChanges || len(k.documentChanges) > 1 && size > maxDocumentChangeBytes {
		size -= k.documentChanges[0].bytes()
		k.foldIntoBase(k.documentChanges[0].listing.Objects)
		k.documentChanges = k.documentChanges[1:]
	}
	if len(k.history) > 2*len(k.current)+2*maxTombstones {
		k.compact()
	}
}

// compact drops the history entries that later ones of the same object replace, and the oldest
// deletions beyond the bound.
func (k *kindCache) compact() {
	last := make(map[string]int, len(k.history))
	for i, entry := range k.history {
		last[entry.name] = i
	}
	excess := k.tombstones - maxTombstones
	var kept []historyEntry
	k.tombstones = 0
	for i, entry := range k.history {
		if entry.tombstone != nil && excess > 0 {
			excess--
			k.historyStart = max(k.historyStart, entry.listingRevision)
			continue
		}
		if last[entry.name] != i {
			continue
		}
		if entry.tombstone != nil {
			k.tombstones++
		}
		kept = append(kept, entry)
	}
	k.history = kept
}

// bytes returns the size of the documents in bytes.
func (c *documentChange) bytes() int {
	n := 0
	for _, object := range c.listing.Objects {
		n += len(object.Spec)
	}
	return n
}

// changesSince returns the changes after a revision, and a channel that is closed at the next
// change. ok is false if the history does not reach back that far, or the revision belongs to
// an earlier era of the store.
func (r *relayCache) changesSince(name string, after uint64) (listing objects.Listing, more <-chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cache := r.kind(name)
	listing.Revision = max(cache.revision, after)
	if after >= cache.revision {
		return listing, cache.changed, true
	}
	if revision.Era(after) < revision.Era(cache.revision) {
		return listing, cache.changed, false // the caller may know objects that the store has lost and this host never knew
	}
	listing.Objects, listing.Revision = cache.changesSince(after)
	return listing, cache.changed, after >= cache.historyStart
}

// changesSince returns the objects that changed after a revision in their present state, and
// the revision up to which the changes are complete: as many as fit in one answer.
func (k *kindCache) changesSince(after uint64) (changes []objects.Object, upTo uint64) {
	from, _ := slices.BinarySearchFunc(k.history, after+1, func(entry historyEntry, want uint64) int { return cmp.Compare(entry.listingRevision, want) })
	for i, entry := range k.history[from:] {
		if i >= maxChangesPerAnswer && entry.listingRevision > k.history[from+i-1].listingRevision {
			return latestPerObject(changes), k.history[from+i-1].listingRevision
		}
		object, present := k.current[entry.name]
		switch {
		case entry.tombstone != nil:
			object = *entry.tombstone
		case !present || object.Revision != entry.revision:
			continue // a later entry has the object's present state
		}
		changes = append(changes, object)
	}
	return latestPerObject(changes), k.revision
}

// latestPerObject keeps only the last change of each object.
func latestPerObject(changes []objects.Object) []objects.Object {
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

// versionAt returns the version of a large document that a host has which is up to date with
// the kind at a revision; ok is false if that version is not kept.
func (r *relayCache) versionAt(kind, name string, revision uint64) (found objects.Object, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cache := r.kind(kind)
	consider := func(object objects.Object) {
		if object.Name == name && object.Revision <= revision && object.Revision >= found.Revision {
			found, ok = object, !object.Deleted && len(object.Spec) >= minDeltaDocument
		}
	}
	consider(cache.baseDocuments[name])
	for _, change := range cache.documentChanges {
		for _, object := range change.listing.Objects {
			consider(object)
		}
	}
	return found, ok
}

// watch waits until a kind has changed after a revision.
func (r *relayCache) watch(ctx context.Context, name string, revision uint64, wait time.Duration) (objects.Listing, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		listing, more, ok := r.changesSince(name, revision)
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
	// After is the last name of the previous page; empty for the first page.
	After string `json:"after,omitempty"`
	// Columns is set by hosts that can decode objects column by column. Hosts of earlier
	// versions don't set it and are refused, so that they list from the store.
	Columns bool `json:"columns"`
}

// listResponse is a page of the objects of a kind.
type listResponse struct {
	objects.Listing
	// More is set if another page follows.
	More bool
	// AgeMs is the age of the host's copy of the kind, in milliseconds.
	AgeMs int64
}

// listResponseWire is the JSON form of a listResponse.
type listResponseWire struct {
	columns
	More  bool  `json:"more,omitempty"`
	AgeMs int64 `json:"ageMs"`
}

// MarshalJSON implements json.Marshaler.
func (a listResponse) MarshalJSON() ([]byte, error) {
	return json.Marshal(listResponseWire{columns: columnsOf(a.Listing), More: a.More, AgeMs: a.AgeMs})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *listResponse) UnmarshalJSON(data []byte) error {
	var wire listResponseWire
	err := json.Unmarshal(data, &wire)
	if err == nil {
		a.Listing, err = wire.listing()
	}
	a.More, a.AgeMs = wire.More, wire.AgeMs
	return err
}

// listFromPeer lists a kind from another host in place of the store. The listing's revision is
// that of the first page, so that a watch from it misses nothing that changed between two
// pages. age is the age of that host's copy.
func (g *Gateway) listFromPeer(ctx context.Context, source, kind string) (listing objects.Listing, age time.Duration, err error) {
	request := listRequest{Kind: kind, Columns: true}
	for first := true; ; first = false {
		var page listResponse
		if err := g.callPeer(ctx, listPageTimeout, source, pathList, request, &page); err != nil {
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

// handleList handles another host's list request. It refuses if this host has not listed the
// kind yet.
func (g *Gateway) handleList(w http.ResponseWriter, r *http.Request) {
	var request listRequest
	if !g.decodePeerRequest(w, r, &request) {
		return
	}
	age := g.freshness.copyAge(request.Kind, g.now())
	listing, more, ok := g.relayCache.page(request.Kind, request.After, listPageSize)
	if !ok || !request.Columns {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.writePeerResponse(w, r, listResponse{Listing: listing, More: more, AgeMs: age.Milliseconds()})
}

// watchRequest asks a host for the changes of a kind after a revision.
type watchRequest struct {
	Kind     string `json:"kind"`
	Revision uint64 `json:"revision"`
	WaitMs   int64  `json:"waitMs"`
	// Whole asks for whole documents in place of deltas.
	Whole bool `json:"whole,omitempty"`
	// Columns is as in listRequest.
	Columns bool `json:"columns"`
}

// watchFromPeer watches a kind at another host in place of the store. If a delta in the answer
// can't be applied, it asks again for whole documents.
func (g *Gateway) watchFromPeer(ctx context.Context, source, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	request := watchRequest{Kind: kind, Revision: revision, WaitMs: wait.Milliseconds(), Columns: true}
	listing, err := g.requestWatch(ctx, source, request)
	var failure *documentError
	if errors.As(err, &failure) {
		g.log.Info("answer to a watch can't be decoded; requesting whole documents", "kind", kind, "name", failure.Name, "base", failure.Base, "known", failure.Known,
			"source", source, "why", eris.ToString(failure.Cause, false))
		request.Whole = true
		return g.requestWatch(ctx, source, request)
	}
	return listing, err
}

func (g *Gateway) requestWatch(ctx context.Context, source string, request watchRequest) (objects.Listing, error) {
	var answer watchResponse
	wait := time.Duration(request.WaitMs) * time.Millisecond
	err := g.callPeer(ctx, wait+peerTimeout, source, pathWatch, request, &answer)
	var status *peerStatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return objects.Listing{}, objects.ErrCompacted
	}
	if err != nil {
		return objects.Listing{}, err
	}
	return g.expandDeltas(ctx, request.Kind, &answer)
}

// handleWatch handles another host's watch request. It refuses if this host's view of the
// store is too old.
func (g *Gateway) handleWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if !g.decodePeerRequest(w, r, &request) {
		return
	}
	if !g.freshness.canServe(g.now()) || !request.Columns {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	listing, err := g.relayCache.watch(r.Context(), request.Kind, request.Revision, time.Duration(request.WaitMs)*time.Millisecond)
	if errors.Is(err, objects.ErrCompacted) {
		w.WriteHeader(http.StatusGone)
		return
	}
	if err != nil {
		return // the other host closed the connection
	}
	answer := &watchResponse{Listing: listing}
	if !request.Whole {
		answer = g.deltas.encode(&g.relayCache, request.Kind, listing, request.Revision)
	}
	g.writePeerResponse(w, r, answer)
}
