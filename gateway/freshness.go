package gateway

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Times of watches.
const (
	// longWatch is how long a watch waits while another host vouches for its
	// freshness: long, since each call has a price.
	longWatch = 25 * time.Second
	// firstWatch is how long it waits while the system starts for the first time
	// and has no controller yet: hundreds of hosts would make short turns at once.
	firstWatch = 5 * time.Second
	// firstWatches is how long after the start of the process that is.
	firstWatches = 8 * time.Second
	// relayTurn is how long a watch of a relay waits that others rely on while no
	// controller vouches: the relay's word is two turns and the pause between
	// two watches old at most, 1 s.
	relayTurn = 400 * time.Millisecond
	// relayFor is for how long a host is a relay after it was last asked: four
	// questions.
	relayFor = 2 * time.Second
	// relayAfter is the age of a source's word from which on relays are asked, if it
	// was also too old when it came (oldWord), or the next one is overdue (nextWord).
	// While all is well a word is 0.6 s old when it comes, one confirmation by the
	// store, and 1.1 s when the next one does, after a report. Age alone would ask
	// relays for nothing each time that a report is a little late.
	relayAfter = 1200 * time.Millisecond
	oldWord    = time.Second
	nextWord   = 700 * time.Millisecond
	// firstSource is how long a host that has just started waits for a relay's
	// word before it watches the store itself.
	firstSource = 1500 * time.Millisecond
	// defaultObeyWithin is within which a change has to be obeyed where operators
	// name no time.
	defaultObeyWithin = 2 * time.Second
	// vouchedShare and shortShare are the parts of that time for which another
	// host's word counts, from when the store had last confirmed it, and after which
	// a watch that nobody vouches for is made anew. A watch can miss changes without
	// an error, when its connection fell silent or the store dropped its history.
	// What remains is the way of the news to the hosts.
	vouchedShare = 0.75
	shortShare   = 0.6
)

// freshness tells whom a host's watches ask and how long they may wait, and ends
// those that have missed something. One controller a service watches the store in
// short turns and tells the others, with its answers to their reports, at which
// revision each kind last changed; so one host pays for short turns. While its
// word is missing, a few relays do so for the others, and only where none of
// them answers does a host watch the store itself: with one host's word between
// them and the store, 295 hosts made some 900 calls each time it was missed.
type freshness struct {
	// within is the time in which a change has to be obeyed.
	within time.Duration

	mu    sync.Mutex
	leads bool // this host is a controller
	// vouched is the latest moment as of which a source had the store's word;
	// source is whom to follow, empty if that failed.
	vouched time.Duration
	heard   bool
	toldAt  time.Duration // when the last word came
	toldAge time.Duration // how old it was then
	source  string
	teller  string // who gave the word: the source, or the controller that it follows
	doubted bool   // a controller's word has been missed once: the system is under way
	// askedAt is when another host last asked this one in a controller's place.
	askedAt time.Duration
	asked   bool
	// confirmed is when the last call to the store by which it confirmed this
	// controller began.
	confirmed time.Duration
	kinds     map[string]*kindState
	news      chan struct{} // closed when a source has spoken
}

// kindState is a watched kind.
type kindState struct {
	revision uint64        // up to which this host knows the kind
	changed  uint64        // of the listing that last brought a change
	contact  time.Duration // when the last call to the store that brought it up to date began
	touched  bool
	cancel   context.CancelFunc
	long     bool
	source   string // whom it asks; empty for the store
	behind   int    // words in a row by which the watch was behind
	direct   bool   // the source was behind for long: the teller is asked
}

func newFreshness(within time.Duration) freshness {
	if within <= 0 {
		within = defaultObeyWithin
	}
	return freshness{within: within, kinds: map[string]*kindState{}, news: make(chan struct{})}
}

// vouchedFor is how long another host's word counts.
func (f *freshness) vouchedFor() time.Duration {
	return time.Duration(vouchedShare * float64(f.within))
}

// shortWatch is how long a watch of the store waits that nobody vouches for.
func (f *freshness) shortWatch() time.Duration { return time.Duration(shortShare * float64(f.within)) }

func (f *freshness) kind(name string) *kindState {
	state := f.kinds[name]
	if state == nil {
		state = &kindState{}
		f.kinds[name] = state
	}
	return state
}

// relaying reports whether other hosts rely on this one.
func (f *freshness) relaying(now time.Duration) bool {
	return !f.leads && f.asked && now-f.askedAt < relayFor
}

// wordAge returns how old the last source's word is.
func (f *freshness) wordAge(now time.Duration) time.Duration {
	if !f.heard {
		return math.MaxInt64
	}
	return now - f.vouched
}

// vouchedNow reports whether the last source's word counts.
func (f *freshness) vouchedNow(now time.Duration) bool { return f.wordAge(now) < f.vouchedFor() }

// age returns how old this host's knowledge of the store may be: as old as what
// the store last told it itself of the kind that it has not heard of for longest,
// or as the word of the host that it follows.
func (f *freshness) age(now time.Duration) time.Duration {
	if f.leads {
		return now - f.confirmed
	}
	return min(f.contactAge(now), f.wordAge(now))
}

// contactAge returns how long ago the store itself brought all kinds up to date.
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

// ageNow is age for callers without the lock.
func (f *freshness) ageNow(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(now)
}

// touch notes that a call to the store which began at a time has brought a kind up
// to date.
func (f *freshness) touch(name string, began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	state.contact, state.touched = max(state.contact, began), true
}

// confirm notes that the store confirmed this controller by a call that began at a
// time.
func (f *freshness) confirm(began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = max(f.confirmed, began)
}

// follows returns the host whose word counts now; empty if none does.
func (f *freshness) follows(now time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leads || !f.vouchedNow(now) {
		return ""
	}
	return f.source
}

// serves reports whether this host may pass on what it knows: it follows the store
// in short turns itself, or a source whose word counts.
func (f *freshness) serves(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads || f.relaying(now) || f.age(now) < f.vouchedFor()
}

// question notes that another host asks this one in a controller's place, and
// returns the age of its knowledge and the revisions. A host that is asked follows
// the store itself while no source vouches for it.
func (f *freshness) question(now time.Duration) (age time.Duration, revisions map[string]uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.askedAt, f.asked = now, true
	f.endUntrusted(now)
	return f.age(now), f.changes()
}

// vouchedOnce reports whether a source has ever vouched.
func (f *freshness) vouchedOnce() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard || f.doubted
}

// doubt notes that a controller failed to answer. What it vouched for before
// counts until it is too old.
func (f *freshness) doubt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubted = true
}

// failed notes that a source did not pass on what the store holds.
func (f *freshness) failed(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubted = true
	if f.source == source {
		f.source = ""
	}
}

// needsSource reports whether relays are to be asked: the last word is getting
// old, or its host failed.
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

// doubtful reports that the last source's word is getting old, and not only because
// the next one is not due yet.
func (f *freshness) doubtful(now time.Duration) bool {
	if !f.vouchedNow(now) {
		return true
	}
	return f.wordAge(now) > relayAfter && (f.toldAge > oldWord || now-f.toldAt > nextWord)
}

// renewal reports whether the word of a relay that this host follows is due again.
func (f *freshness) renewal(now time.Duration, relay string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.leads && f.source == relay && f.wordAge(now) > reportInterval
}

// trusted reports whether a kind's watch may wait long. A controller reads its
// own record again and again, and nobody else changes it while it leads. A relay
// must not wait for others while hosts wait for it.
func (f *freshness) trusted(name string, now time.Duration) bool {
	if f.leads {
		return name == Assignments
	}
	if f.relaying(now) {
		return !f.doubtful(now)
	}
	return f.starting(now) || f.vouchedNow(now)
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
	state.behind, state.direct = 0, false
	if changed {
		state.changed = max(state.changed, revision)
	}
}

// revisions returns at which revision each kind last changed, as this host knows.
func (f *freshness) revisions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changes()
}

func (f *freshness) changes() map[string]uint64 {
	revisions := make(map[string]uint64, len(f.kinds))
	for name, state := range f.kinds {
		revisions[name] = state.changed
	}
	return revisions
}

// word is what a host says of the store.
type word struct {
	// confirmed is when the store's word reached it, on this host's clock.
	confirmed time.Duration
	teller    string
	// source is whom to follow: the teller, or a relay that follows it.
	source    string
	revisions map[string]uint64
}

// relayLag is how many words in a row a watch that asks a relay must be behind: what
// the teller knows takes some milliseconds to get there.
const relayLag = 2

// told takes a word, and returns the kinds whose watches it ended because they are
// behind. A word that is older than the last one says nothing new.
//
// It also ends watches of the store by which this host made do without a source: one
// that the store leaves unanswered would keep a host ignorant for a second that its
// source could tell. So would one that waits at a source which this host does not follow
// any more: it hears of nothing there, and the next word that tells of it is 0.5 s away.
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

// leading reports whether this host is a controller.
func (f *freshness) leading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads
}

// tend ends long watches that nobody vouches for any more. leads tells whether
// this host is a controller.
func (f *freshness) tend(now time.Duration, leads bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leads = leads
	f.endUntrusted(now)
}

func (f *freshness) endUntrusted(now time.Duration) {
	for name, state := range f.kinds {
		if !f.trusted(name, now) && state.long && state.cancel != nil {
			state.cancel()
			state.long = false
		}
	}
}
