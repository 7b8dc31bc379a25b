package gateway

import (
	"context"
	"maps"
	"sync"
	"time"
)

// Times of watches.
const (
	// longWatch is how long a watch waits while a controller vouches for its
	// freshness: long, since each call has a price.
	longWatch = 25 * time.Second
	// shortWatch is how long it waits otherwise. A watch can miss changes
	// without an error, when its connection fell silent or the store dropped
	// its history; a change must be in force within 2 s.
	shortWatch = 1200 * time.Millisecond
	// firstWatch is how long it waits while the system starts and has no
	// controller yet: hundreds of hosts would make short turns at once.
	firstWatch = 5 * time.Second
	// firstWatches is how long after the start of the process that is.
	firstWatches = 8 * time.Second
	// vouchedFor is how long a controller's word counts, from when the store had
	// last confirmed the controller: one confirmation and two reports. A change
	// that the controller can't hear of is then known by own watches in 2 s.
	vouchedFor = 1500 * time.Millisecond
)

// freshness tells how long a host's watches may wait, and ends those that have
// missed something. One controller a service watches in short turns and tells
// the others, with its answers to their reports, at which revision each kind
// last changed; so only one host pays for short turns.
type freshness struct {
	mu      sync.Mutex
	leads   bool          // this host is a controller
	vouched time.Duration // when the store had last confirmed the controller that answered
	address string        // that controller's
	heard   bool
	doubted bool // a controller's word has ended once: the system is under way
	kinds   map[string]*kindState
}

// kindState is a watched kind.
type kindState struct {
	revision uint64 // up to which this host knows the kind
	changed  uint64 // of the listing that last brought a change
	cancel   context.CancelFunc
	long     bool
}

func (f *freshness) kind(name string) *kindState {
	if f.kinds == nil {
		f.kinds = map[string]*kindState{}
	}
	state := f.kinds[name]
	if state == nil {
		state = &kindState{}
		f.kinds[name] = state
	}
	return state
}

// watchPlan says how the next watch of a kind is made.
type watchPlan struct {
	wait time.Duration
	// controller is whom to ask in place of the store; empty for the store.
	controller string
}

// begin returns the context and the plan for the next watch of a kind.
func (f *freshness) begin(ctx context.Context, name string, now time.Duration) (context.Context, context.CancelFunc, watchPlan) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	state.cancel = cancel
	state.long = f.trusted(name, now)
	switch {
	case !state.long:
		return ctx, cancel, watchPlan{wait: shortWatch}
	case f.starting(now):
		return ctx, cancel, watchPlan{wait: firstWatch}
	case f.leads:
		return ctx, cancel, watchPlan{wait: longWatch}
	}
	return ctx, cancel, watchPlan{wait: longWatch, controller: f.address}
}

// leading reports whether this host is a controller.
func (f *freshness) leading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads
}

// vouchedOnce reports whether a controller has ever vouched for itself.
func (f *freshness) vouchedOnce() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard || f.doubted
}

// doubt notes that a controller failed as a relay: the store is asked until it
// vouches again.
func (f *freshness) doubt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard, f.doubted = false, true
}

// trusted reports whether a kind's watch may wait long. A controller reads its
// own record again and again, and nobody else changes it while it leads.
func (f *freshness) trusted(name string, now time.Duration) bool {
	if f.leads {
		return name == Assignments
	}
	return f.starting(now) || f.heard && now-f.vouched < vouchedFor
}

// starting reports whether the process has just started and has neither heard
// of a controller nor missed one.
func (f *freshness) starting(now time.Duration) bool {
	return !f.leads && !f.heard && !f.doubted && now < firstWatches
}

// startingNow is starting for callers without the lock.
func (f *freshness) startingNow(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starting(now)
}

// known notes up to which revision a kind is known, and whether it changed.
func (f *freshness) known(name string, revision uint64, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	state.revision = max(state.revision, revision)
	if changed {
		state.changed = max(state.changed, revision)
	}
}

// revisions returns at which revision each kind last changed, as this host knows.
func (f *freshness) revisions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	revisions := make(map[string]uint64, len(f.kinds))
	for name, state := range f.kinds {
		revisions[name] = state.changed
	}
	return revisions
}

// told takes a controller's word, which the store confirmed at a time, and
// returns the kinds whose watches it ended because they are behind.
func (f *freshness) told(confirmed time.Duration, controller string, revisions map[string]uint64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vouched, f.heard, f.address = confirmed, true, controller
	var behind []string
	for name, revision := range maps.All(revisions) {
		state := f.kinds[name]
		if state != nil && state.revision < revision && state.long && state.cancel != nil {
			state.cancel()
			behind = append(behind, name)
		}
	}
	return behind
}

// recheck ends a kind's watch if it is behind a revision, and reports whether
// it was.
func (f *freshness) recheck(name string, revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	if state.revision >= revision || !state.long || state.cancel == nil {
		return false
	}
	state.cancel()
	state.long = false
	return true
}

// tend ends long watches that nobody vouches for any more. leads tells whether
// this host is a controller.
func (f *freshness) tend(now time.Duration, leads bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leads = leads
	for name, state := range f.kinds {
		if f.trusted(name, now) {
			continue
		}
		if state.long && state.cancel != nil {
			state.cancel()
			state.long = false
		}
	}
}
