package gateway

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// How long watches wait, and how long confirmations of freshness count.
const (
	// longWatch is how long a watch waits while another host confirms that this one is up to
	// date. It is long because each call to the store is billed.
	longWatch = 25 * time.Second
	// firstWatch is how long a watch waits while the process starts and no controller is known
	// yet: hundreds of hosts would make short watches at once.
	firstWatch = 5 * time.Second
	// firstWatches is how long after its start a process uses firstWatch.
	firstWatches = 8 * time.Second
	// relayTurn is how long a relay's watch of the store waits while no controller confirms
	// freshness. A relay's confirmation is then at most two such watches and the pause between
	// them old: 1 s.
	relayTurn = 400 * time.Millisecond
	// relayFor is how long a host acts as a relay after it was last queried: four queries.
	relayFor = 2 * time.Second
	// relayAfter is the age of the last confirmation from which on relays are queried, if it
	// was also older than oldWord when it arrived or the next one is later than nextWord. In
	// normal operation a confirmation is 0.6 s old when it arrives (one confirmation by the
	// store) and 1.1 s old when the next one does, after a report. Age alone would query
	// relays needlessly each time that a report is a little late.
	relayAfter = 1200 * time.Millisecond
	oldWord    = time.Second
	nextWord   = 700 * time.Millisecond
	// firstSource is how long a host that has just started waits for a relay's confirmation
	// before it watches the store itself.
	firstSource = 1500 * time.Millisecond
	// defaultObeyWithin is the time within which a change has to take effect if operators set
	// none.
	defaultObeyWithin = 2 * time.Second
	// vouchedShare and shortShare are shares of the time within which a change has to take
	// effect. The first gives how long a confirmation counts after the store's answer it is
	// based on; the second how long a watch of the store waits without a confirmation. A watch
	// can miss changes without an error, when its connection goes silent or the store drops
	// its history. The remaining time is for the change to reach the hosts.
	vouchedShare = 0.75
	shortShare   = 0.6
)

// freshness decides where a host's watches go (the store or another host) and how long they
// may wait, and cancels watches that have missed a change. The controller of a service watches
// the store with short waits and tells the others, in its answers to their reports, at which
// revision each kind last changed, so that only one host pays for frequent calls. While its
// confirmation is missing, a few relays do this for the others, and a host watches the store
// itself only if none of them answers. Without relays, 295 hosts made some 900 calls each time
// the controller's confirmation was missed.
type freshness struct {
	// within is the time in which a change has to take effect.
	within time.Duration

	mu    sync.Mutex
	leads bool // this host is a controller
	// vouched is the latest time as of which another host confirmed the state of the store.
	// source is the host to follow; empty if it failed.
	vouched time.Duration
	heard   bool
	toldAt  time.Duration // when the last confirmation arrived
	toldAge time.Duration // its age on arrival
	source  string
	teller  string // who sent the confirmation: the source, or the controller that the source follows
	doubted bool   // a controller or source has failed at least once, so the system is past its start
	// askedAt is when another host last queried this one as a relay.
	askedAt time.Duration
	asked   bool
	// confirmed is the start of the last call in which the store confirmed this host as
	// the controller.
	confirmed time.Duration
	kinds     map[string]*kindState
	news      chan struct{} // closed when a confirmation arrives
}

// kindState is what is known of a kind and of its current watch.
type kindState struct {
	revision uint64        // up to which this host knows the kind's objects
	changed  uint64        // revision of the last listing that contained a change
	contact  time.Duration // start of the last call to the store that brought the kind up to date
	touched  bool          // there was such a call
	cancel   context.CancelFunc
	long     bool   // the watch was started as a long one
	source   string // the host that the watch asks; empty for the store
	behind   int    // consecutive confirmations that showed the watch to be behind
	direct   bool   // the source was behind repeatedly; ask the sender of the confirmation instead
}

func newFreshness(within time.Duration) freshness {
	if within <= 0 {
		within = defaultObeyWithin
	}
	return freshness{within: within, kinds: map[string]*kindState{}, news: make(chan struct{})}
}

// vouchedFor returns how long another host's confirmation counts.
func (f *freshness) vouchedFor() time.Duration {
	return time.Duration(vouchedShare * float64(f.within))
}

// shortWatch returns how long a watch of the store waits without a confirmation.
func (f *freshness) shortWatch() time.Duration { return time.Duration(shortShare * float64(f.within)) }

// kind returns the state of a kind, which it creates if needed.
func (f *freshness) kind(name string) *kindState {
	state := f.kinds[name]
	if state == nil {
		state = &kindState{}
		f.kinds[name] = state
	}
	return state
}

// relaying reports whether this host currently acts as a relay for others.
func (f *freshness) relaying(now time.Duration) bool {
	return !f.leads && f.asked && now-f.askedAt < relayFor
}

// wordAge returns the age of the last confirmation.
func (f *freshness) wordAge(now time.Duration) time.Duration {
	if !f.heard {
		return math.MaxInt64
	}
	return now - f.vouched
}

// vouchedNow reports whether the last confirmation still counts.
func (f *freshness) vouchedNow(now time.Duration) bool { return f.wordAge(now) < f.vouchedFor() }

// age returns how old this host's view of the store may be: the smaller of the age of the
// confirmation it has, and the time since the store itself last brought each kind up to date.
// For a controller, it is the time since the store last confirmed its role.
func (f *freshness) age(now time.Duration) time.Duration {
	if f.leads {
		return now - f.confirmed
	}
	return min(f.contactAge(now), f.wordAge(now))
}

// contactAge returns the time since the store itself last brought every kind up to date.
func (f *freshness) contactAge(now time.Duration) time.Duration {
	oldest := now
	for _, state := range f.kinds {
		if !state.touched {
			return math.MaxInt64
		}
		oldest = min(oldest, state.contact)
	}
	if len(f.kinds) == 0 {
		return math.MaxInt64
	}
	return now - oldest
}

// ageNow is age for callers that don't hold the lock.
func (f *freshness) ageNow(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(now)
}

// touch records that a call to the store, started at the given time, brought a kind up to
// date.
func (f *freshness) touch(name string, began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	state.contact, state.touched = max(state.contact, began), true
}

// confirm records that the store confirmed this host as the controller, by a call started at
// the given time.
func (f *freshness) confirm(began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = max(f.confirmed, began)
}

// follows returns the host that this one follows while its confirmation counts; else it is
// empty.
func (f *freshness) follows(now time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leads || !f.vouchedNow(now) {
		return ""
	}
	return f.source
}

// serves reports whether this host may pass on what it knows: as the controller, as a relay,
// or while its view of the store is recent enough.
func (f *freshness) serves(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads || f.relaying(now) || f.age(now) < f.vouchedFor()
}

// question records that another host queries this one as a relay, and returns the age of this
// host's view of the store and the revisions at which the kinds last changed. From then on
// this host watches the store itself while no controller confirms its freshness.
func (f *freshness) question(now time.Duration) (age time.Duration, revisions map[string]uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.askedAt, f.asked = now, true
	f.endUntrusted(now)
	return f.age(now), f.changes()
}

// vouchedOnce reports whether another host has ever confirmed freshness, or failed to.
func (f *freshness) vouchedOnce() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard || f.doubted
}

// doubt records that a controller did not answer. Its last confirmation counts until it
// expires.
func (f *freshness) doubt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubted = true
}

// failed records that a source did not answer a watch.
func (f *freshness) failed(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubted = true
	if f.source == source {
		f.source = ""
	}
}

// needsSource reports whether relays are to be queried: the last confirmation is overdue, or
// its source failed.
func (f *freshness) needsSource(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.leads:
		return false
	case f.heard && f.source == "":
		return true
	}
	return f.doubtful(now) && f.age(now) > relayAfter
}

// doubtful reports whether the last confirmation has expired or is being renewed late. One
// that is old only because the next one isn't due yet doesn't count.
func (f *freshness) doubtful(now time.Duration) bool {
	if !f.vouchedNow(now) {
		return true
	}
	return f.wordAge(now) > relayAfter && (f.toldAge > oldWord || now-f.toldAt > nextWord)
}

// renewal reports whether the confirmation of a relay that this host follows is due for
// renewal.
func (f *freshness) renewal(now time.Duration, relay string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.leads && f.source == relay && f.wordAge(now) > reportEvery
}

// trusted reports whether a kind's watch may wait long. A controller reads its own record
// regularly, and nobody else changes it while it is in control. A relay must not rely on
// others while hosts rely on it.
func (f *freshness) trusted(name string, now time.Duration) bool {
	if f.leads {
		return name == Assignments
	}
	if f.relaying(now) {
		return !f.doubtful(now)
	}
	return f.starting(now) || f.vouchedNow(now)
}

// starting reports whether the process has just started, no confirmation has arrived yet and
// no controller or source has failed.
func (f *freshness) starting(now time.Duration) bool {
	return !f.leads && !f.heard && !f.doubted && now < firstWatches
}

// startingNow is starting for callers that don't hold the lock.
func (f *freshness) startingNow(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starting(now)
}

// known records up to which revision a kind is known, and whether it changed.
func (f *freshness) known(name string, revision uint64, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	state.revision = max(state.revision, revision)
	state.behind, state.direct = 0, false
	if changed {
		state.changed = max(state.changed, revision)
	}
}

// revisions returns the revisions at which this host saw each kind change last.
func (f *freshness) revisions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes()
}

// changes is revisions for callers that hold the lock.
func (f *freshness) changes() map[string]uint64 {
	revisions := make(map[string]uint64, len(f.kinds))
	for name, state := range f.kinds {
		revisions[name] = state.changed
	}
	return revisions
}

// word is a host's confirmation of the state of the store.
type word struct {
	// confirmed is when the sender last knew the state of the store, on this host's clock.
	confirmed time.Duration
	teller    string
	// source is the host to follow: the sender, or a relay that follows the sender.
	source    string
	revisions map[string]uint64
}

// relayLag is how many consecutive confirmations must show a watch at a relay to be behind:
// what the controller knows takes some milliseconds to reach the relay.
const relayLag = 2

// told records a confirmation, and returns the kinds whose watches it canceled because they
// are behind. A confirmation that is older than the last one is ignored, unless the source has
// failed since.
//
// It also cancels the watches of the store that this host made for lack of a source: the store
// may leave them unanswered for a second, while the source could answer. And it cancels
// watches at a source that this host no longer follows: they would miss changes until the next
// confirmation, 0.5 s later.
func (f *freshness) told(now time.Duration, w word) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heard && w.confirmed < f.vouched && f.source != "" {
		return nil
	}
	f.vouched, f.heard, f.source, f.teller = max(f.vouched, w.confirmed), true, w.source, w.teller
	f.toldAt, f.toldAge = now, now-w.confirmed
	close(f.news)
	f.news = make(chan struct{})
	var behind []string
	for name, state := range f.kinds {
		if state.cancel != nil && state.source == "" && !state.long && f.trusted(name, now) {
			state.cancel()
		}
		if state.cancel != nil && state.source != "" && state.source != w.source && state.source != w.teller {
			state.cancel()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.revisions)) {
		state := f.kinds[name]
		if state == nil || state.revision >= w.revisions[name] || !state.long || state.cancel == nil {
			continue
		}
		state.behind++
		if state.source != "" && state.source != w.teller && state.behind < relayLag {
			continue
		}
		state.direct = true
		state.cancel()
		behind = append(behind, name)
	}
	return behind
}

// recheck cancels a kind's watch if it is behind a revision, and reports whether it was.
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

// leading reports whether this host is a controller.
func (f *freshness) leading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads
}

// tend records whether this host is a controller, and cancels long watches that are no longer
// backed by a confirmation.
func (f *freshness) tend(now time.Duration, leads bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leads = leads
	f.endUntrusted(now)
}

// endUntrusted cancels the long watches that are no longer backed by a confirmation.
func (f *freshness) endUntrusted(now time.Duration) {
	for name, state := range f.kinds {
		if !f.trusted(name, now) && state.long && state.cancel != nil {
			state.cancel()
			state.long = false
		}
	}
}
