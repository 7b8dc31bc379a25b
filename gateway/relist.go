package gateway

import (
	"context"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/host/clock"
	"cicadarouter/revision"
)

// A kind is listed again when the store no longer has the changes since this host's copy of it. Until
// a list arrives the host goes by an outdated copy, so a source that has stopped must not hold it
// back. News ends a watch that is behind, since the next one returns at once what is missing. A list
// that is under way is kept: it may be all that a busy store or relay gets done. News adds a call.

const (
	// maxListCalls is the number of calls of a relist that may be under way: one to a host, two to
	// the store.
	maxListCalls = 3
)

// relist lists a kind again, from the host that this one follows and from the store.
type relist struct {
	gateway *Gateway
	kind    string
	known   uint64
	ended   chan endedList
	// answered receives a value when the store has answered a call that began after the lists of it.
	answered chan struct{}
	// fromHost is the call to a host that is under way, fromStore the first one to the store and
	// repeated the last repetition of that.
	fromHost, fromStore, repeated *listCall
	storeAsked                    bool
	// fromStoreBegan is when the store was first asked. The list is not repeated before repeatDue, which
	// is repeatDelay after the last repetition.
	fromStoreBegan, repeatDue, repeatDelay time.Duration
	storeError                             error
}

// listCall is a call of a relist.
type listCall struct {
	source string // empty for the store
	began  time.Duration
	cancel context.CancelFunc
	callProgress
}

// endedList is the result of a call of a relist.
type endedList struct {
	call *listCall
	got  fetched
	err  error
}

// list lists a kind that this host knows up to a revision; 0 if it has just started. A later list
// comes from the source that this host follows if that answers: a host that was too far behind to
// get the changes from its source would otherwise pay the store for a page per 500 entries.
func (g *Gateway) list(ctx context.Context, kind string, known uint64) (fetched, error) {
	if known == 0 {
		return g.listAtStartup(ctx, kind)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &relist{gateway: g, kind: kind, known: known, ended: make(chan endedList, maxListCalls), answered: make(chan struct{})}
	return r.run(ctx)
}

// run makes the calls until one succeeds, or none is left. The error is that of the store.
func (r *relist) run(ctx context.Context) (fetched, error) {
	confirmed := r.gateway.freshness.nextConfirmation()
	if !r.askSource(ctx) {
		r.askStore(ctx)
	}
	storeDue := time.NewTimer(r.gateway.freshness.overdue())
	defer storeDue.Stop()
	for r.fromHost != nil || r.fromStore != nil || r.repeated != nil {
		select {
		case ended := <-r.ended:
			if ended.err == nil && r.isCurrent(ended.call) {
				return ended.got, nil
			}
			r.handleFailure(ctx, ended)
		case <-confirmed:
			confirmed = r.gateway.freshness.nextConfirmation()
			r.askSource(ctx)
		case <-storeDue.C:
			r.giveUpSilentSource()
			r.askStore(ctx)
		case <-r.answered:
			r.repeatUnanswered(ctx)
		case <-ctx.Done():
			return fetched{}, ctx.Err()
		}
	}
	return fetched{}, r.storeError
}

// isCurrent reports whether a call has not been replaced by another one.
func (r *relist) isCurrent(call *listCall) bool {
	return call == r.fromHost || call == r.fromStore || call == r.repeated
}

// handleFailure handles a call that failed. The store is asked if a source could not list the kind.
func (r *relist) handleFailure(ctx context.Context, ended endedList) {
	switch ended.call {
	case r.fromHost:
		r.gateway.log.Info("source did not list the objects; listing them from the store", "kind", r.kind, "source", ended.call.source, "error", ended.err.Error())
		r.fromHost = nil
		r.askStore(ctx)
	case r.fromStore:
		r.fromStore, r.storeError = nil, ended.err
	case r.repeated:
		r.repeated, r.storeError = nil, ended.err
	}
}

// askSource asks the host that this one follows, in place of another one that has not answered. It
// reports whether there is one.
func (r *relist) askSource(ctx context.Context) bool {
	source := r.gateway.freshness.currentSource(r.gateway.now())
	if source == "" {
		return false
	}
	if r.fromHost != nil {
		if r.fromHost.source == source {
			return true
		}
		r.fromHost.cancel()
	}
	r.fromHost = r.begin(ctx, source, r.listFromHost)
	return true
}

// askStore asks the store unless it has been asked.
func (r *relist) askStore(ctx context.Context) {
	if !r.storeAsked {
		r.storeAsked = true
		r.fromStore = r.begin(ctx, "", r.listFromStore)
		r.fromStoreBegan = r.fromStore.began
		go r.reportAnswers(ctx)
	}
}

// reportAnswers reports that the store has answered a call which began after the lists of it.
func (r *relist) reportAnswers(ctx context.Context) {
	clock.Sleep(ctx, r.gateway.freshness.overdue())
	for listed := r.fromStoreBegan; r.gateway.awaitAnswer(ctx, listed); listed = r.gateway.now() {
		select {
		case r.answered <- struct{}{}:
		case <-ctx.Done():
		}
	}
}

// repeatUnanswered lists the kind from the store again, on another connection, unless a list is being
// answered or has just begun. The first call stays, for a store that takes long for lists only.
func (r *relist) repeatUnanswered(ctx context.Context) {
	now := r.gateway.now()
	if now < r.repeatDue {
		return
	}
	for _, call := range []*listCall{r.fromStore, r.repeated} {
		if call != nil && call.isBeingAnswered(now, r.maxRepeatDelay()) {
			return
		}
	}
	if r.repeated != nil {
		r.repeated.cancel()
	}
	r.repeatDelay = min(max(2*r.repeatDelay, r.gateway.freshness.overdue()), r.maxRepeatDelay())
	r.repeatDue = now + r.repeatDelay
	r.repeated = r.begin(ctx, "", r.listFromStore)
}

// giveUpSilentSource makes the other kinds follow another host too if the source has not answered in
// time.
func (r *relist) giveUpSilentSource() {
	g := r.gateway
	if r.fromHost == nil || g.now()-r.fromHost.began < g.freshness.overdue() {
		return
	}
	g.freshness.noteSourceFailure(r.fromHost.source)
	g.sources.skip(r.fromHost.source)
	g.log.Info("source has not listed the objects in time; listing them from the store too", "kind", r.kind, "source", r.fromHost.source,
		"waited-ms", (g.now() - r.fromHost.began).Milliseconds())
}

// maxRepeatDelay returns the maximum delay between two repetitions of a list at the store.
func (r *relist) maxRepeatDelay() time.Duration { return r.gateway.freshness.answerWait() }

// begin starts a call.
func (r *relist) begin(ctx context.Context, source string, list func(context.Context, *listCall) (fetched, error)) *listCall {
	ctx, cancel := context.WithCancel(ctx)
	call := &listCall{source: source, began: r.gateway.now(), cancel: cancel}
	by := readHost
	if source == "" {
		by = readStore
	}
	r.gateway.logListBegins(r.kind, by, source, r.known)
	go func() {
		defer cancel()
		got, err := list(ctx, call)
		r.gateway.noteListEnded(r.kind, by, source, call.began, err)
		select {
		case r.ended <- endedList{call: call, got: got, err: err}:
		case <-ctx.Done(): // another call has succeeded or replaced this one
		}
	}()
	return call
}

// listFromHost lists the kind from the call's source.
func (r *relist) listFromHost(ctx context.Context, call *listCall) (fetched, error) {
	g := r.gateway
	listing, age, err := g.listFromPeer(ctx, call.source, r.kind)
	if err == nil && revision.Era(listing.Revision) < g.era.Load() {
		err = &objects.RewoundError{Given: listing.Revision, Era: g.era.Load()}
	}
	if err == nil && age >= g.freshness.validFor() && listing.Revision <= r.known {
		err = errStaleList // the same copy again, however often it is listed
	}
	return g.listedFrom(listing, call.source, call.began, age), err
}

// listFromStore lists the kind from the store.
func (r *relist) listFromStore(ctx context.Context, call *listCall) (fetched, error) {
	g := r.gateway
	listing, err := g.store.List(call.trace(ctx, g.clock), r.kind)
	return g.fetched(g.peerListing(r.kind, listing), readStore, "", call.began), err
}

// nextConfirmation returns a channel that is closed when the next confirmation arrives.
func (f *freshness) nextConfirmation() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmationArrived
}
