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
	// longWatchWait is how long a watch waits while another host confirms that this one is up
	// to date. It is long because each call to the store is billed.
	longWatchWait = 25 * time.Second
	// startupPeriod is how long after its start a process may rely on watches that no controller
	// has confirmed: from then on, changes must take effect in time.
	startupPeriod = 3 * time.Second
	// startupWatchWait is how long a watch waits at most while the process starts and no
	// controller is known yet: hundreds of hosts would make short watches at once. No such watch
	// outlasts startupPeriod, since it may miss a change.
	startupWatchWait = startupPeriod
	// staleReadPeriod is how long after the first start of the whole system hosts use stale reads.
	// It ends early enough for a change that the store acknowledges within it to take effect by
	// the end of startupPeriod.
	staleReadPeriod = time.Second
	// relayWatchWait is how long a relay's watch of the store waits while no controller
	// confirms freshness. A relay's confirmation is then at most two such watches and the
	// pause between them old: 1 s.
	relayWatchWait = 400 * time.Millisecond
	// relayIdleTimeout is how long a host acts as a relay after it was last queried: four
	// queries.
	relayIdleTimeout = 2 * time.Second
	// relayQueryAge is the age of the last confirmation from which on relays are queried, if
	// it was also older than lateConfirmationAge when it arrived or the next one is later than
	// confirmationOverdueAfter. In normal operation a confirmation is 0.6 s old when it
	// arrives (one confirmation by the store) and 1.1 s old when the next one does, after a
	// report. Age alone would query relays needlessly each time that a report is a little
	// late.
	relayQueryAge            = 1200 * time.Millisecond
	lateConfirmationAge      = time.Second
	confirmationOverdueAfter = 700 * time.Millisecond
	// startupRelayWait is how long a host that has just started waits for a relay's
	// confirmation before it watches the store itself.
	startupRelayWait = 1500 * time.Millisecond
	// defaultMaxChangeDelay is the time within which a change has to take effect if operators
	// set none.
	defaultMaxChangeDelay = 2 * time.Second
)

// freshness decides where a host's watches go (the store or another host) and how long they
// may wait, and cancels watches that have missed a change. The controller of a service watches
// the store and tells the others, in its answers to their reports, at which revision each kind last
// changed and how old its copy of the kind is, which it verifies, so that only one host pays for
// frequent calls. A host relies on others for a kind while what they state shows its copy to be
// complete as of a recent time, whatever it knows of other kinds. While the controller's
// confirmation is missing, a few relays do this for the others, and a host watches the store
// itself only if none of them answers. Without relays, 295 hosts made some 900 calls each time
// the controller's confirmation was missed.
type freshness struct {
	bounds
	// firstStart is set if the whole system starts for the first time.
	firstStart bool

	mu          sync.Mutex
	controlling bool // this host is a controller
	// confirmedAt is the latest time as of which another host confirmed the state of the store.
	// source is the host to follow; empty if it failed.
	confirmedAt     time.Duration
	hasConfirmation bool
	receivedAt      time.Duration // when the last confirmation arrived
	ageOnReceipt    time.Duration // its age on arrival
	source          string
	sender          string // who sent the confirmation: the source, or the controller that the source follows
	sourceFailed    bool   // a controller or source has failed at least once, so the system is past its start
	// queriedAt is when another host last queried this one as a relay.
	queriedAt time.Duration
	queried   bool
	// roleConfirmedAt is the start of the last call, a read or a write of its record, in which the
	// store confirmed this host as the controller.
	roleConfirmedAt     time.Duration
	kinds               map[string]*kindState
	confirmationArrived chan struct{} // closed when a confirmation arrives
}

// kindState is what is known of a kind and of its current watch.
type kindState struct {
	revision     uint64        // up to which this host knows the kind's objects
	lastChange   uint64        // revision of the last listing that contained a change
	storeReadAt  time.Duration // start of the last call to the store that brought the kind up to date
	cancelWatch  context.CancelFunc
	isLong       bool   // the watch was started as a long one
	source       string // the host that the watch asks; empty for the store
	askedSource  bool   // the last watch asked another host
	behindCount  int    // consecutive confirmations that showed the watch to be behind
	bypassRelay  bool   // the source was behind repeatedly; ask the sender of the confirmation instead
	currency     currency
	loggedReader reader // of the last watch that was logged
}

func newFreshness(identity Identity) freshness {
	within := identity.ApplyWithin
	if within <= 0 {
		within = defaultMaxChangeDelay
	}
	return freshness{bounds: bounds{maxDelay: within}, firstStart: identity.FirstStart, kinds: map[string]*kindState{}, confirmationArrived: make(chan struct{})}
}

// kind returns the state of a kind, which it creates if needed.
func (f *freshness) kind(name string) *kindState {
	state := f.kinds[name]
	if state == nil {
		state = &kindState{}
		f.kinds[name] = state
	}
	return state
}

// isRelay reports whether this host currently acts as a relay for others.
func (f *freshness) isRelay(now time.Duration) bool {
	return !f.controlling && f.queried && now-f.queriedAt < relayIdleTimeout
}

// confirmationAge returns the age of the last confirmation.
func (f *freshness) confirmationAge(now time.Duration) time.Duration {
	if !f.hasConfirmation {
		return math.MaxInt64
	}
	return now - f.confirmedAt
}

// isConfirmed reports whether the last confirmation still counts.
func (f *freshness) isConfirmed(now time.Duration) bool { return f.confirmationAge(now) < f.validFor() }

// age returns how old this host's view of the store may be: the age of its oldest copy.
func (f *freshness) age(now time.Duration) time.Duration {
	if len(f.kinds) == 0 {
		return math.MaxInt64
	}
	oldest := time.Duration(0)
	for name := range f.kinds {
		oldest = max(oldest, f.copyAgeLocked(name, now))
	}
	return oldest
}

// currentAge is age for callers that don't hold the lock.
func (f *freshness) currentAge(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(now)
}

// noteStoreRead records that what a call to the store returned, which was started at the given time,
// has been applied.
func (f *freshness) noteStoreRead(name string, began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	state.storeReadAt = max(state.storeReadAt, began)
	state.currency.complete(began)
}

// noteCopied records that a kind was listed from another host, whose copy was complete as of a time.
func (f *freshness) noteCopied(name string, asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kind(name).currency.complete(asOf)
}

// noteRoleConfirmed records that the store confirmed this host as the controller, by a call
// started at the given time.
func (f *freshness) noteRoleConfirmed(began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roleConfirmedAt = max(f.roleConfirmedAt, began)
}

// currentSource returns the host that this one follows while its confirmation counts; else it
// is empty.
func (f *freshness) currentSource(now time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.controlling || !f.isConfirmed(now) {
		return ""
	}
	return f.source
}

// canServe reports whether this host may pass on what it knows: as the controller, as a relay,
// or while its view of the store is recent enough.
func (f *freshness) canServe(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controlling || f.isRelay(now) || f.age(now) < f.validFor()
}

// noteRelayQuery records that another host queries this one as a relay, and returns the age of
// this host's view of the store and the revisions at which the kinds last changed. From then
// on this host watches the store itself while no controller confirms its freshness.
func (f *freshness) noteRelayQuery(now time.Duration) (age time.Duration, revisions map[string]uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queriedAt, f.queried = now, true
	f.cancelUnconfirmed(now)
	return f.age(now), f.changeRevisionsLocked()
}

// sourceTried reports whether another host has ever confirmed freshness, or failed to.
func (f *freshness) sourceTried() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasConfirmation || f.sourceFailed
}

// noteControllerFailure records that a controller did not answer. Its last confirmation counts
// until it expires.
func (f *freshness) noteControllerFailure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sourceFailed = true
}

// noteSourceFailure records that a source did not answer a watch.
func (f *freshness) noteSourceFailure(source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sourceFailed = true
	if f.source == source {
		f.source = ""
	}
}

// needsRelay reports whether relays are to be queried: the last confirmation is overdue, or
// its source failed.
func (f *freshness) needsRelay(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.controlling:
		return false
	case f.hasConfirmation && f.source == "":
		return true
	}
	return f.confirmationOverdue(now) && f.age(now) > relayQueryAge
}

// confirmationOverdue reports whether the last confirmation has expired or is being renewed
// late. One that is old only because the next one isn't due yet doesn't count.
func (f *freshness) confirmationOverdue(now time.Duration) bool {
	if !f.isConfirmed(now) {
		return true
	}
	return f.confirmationAge(now) > relayQueryAge && (f.ageOnReceipt > lateConfirmationAge || now-f.receivedAt > confirmationOverdueAfter)
}

// renewalDue reports whether the confirmation of a relay that this host follows has to be
// renewed.
func (f *freshness) renewalDue(now time.Duration, relay string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.controlling && f.source == relay && f.confirmationAge(now) > reportInterval
}

// mayWaitLong reports whether a kind's watch may wait long: another host keeps confirming that this
// host's copy of the kind is complete. A controller reads its own record regularly, and nobody else
// changes it while it is in control. A relay must not rely on others while hosts rely on it.
func (f *freshness) mayWaitLong(name string, now time.Duration) bool {
	if f.controlling {
		return name == Assignments
	}
	if f.isRelay(now) {
		return !f.confirmationOverdue(now) && f.isCurrent(name, now)
	}
	return f.startingUp(now) || f.isConfirmed(now) && f.isCurrent(name, now)
}

// isCurrent reports whether this host's copy of a kind is recent enough to be confirmed by others
// only. Nothing is asked of the copies of a process that has just started.
func (f *freshness) isCurrent(name string, now time.Duration) bool {
	return min(f.copyAgeLocked(name, now), now) < f.validFor()
}

// startingUp reports whether the process has just started, no confirmation has arrived yet and
// no controller or source has failed.
func (f *freshness) startingUp(now time.Duration) bool {
	return !f.controlling && !f.hasConfirmation && !f.sourceFailed && now < startupPeriod
}

// noteRevision records up to which revision a kind is known, and whether it changed.
func (f *freshness) noteRevision(name string, revision uint64, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	state.revision = max(state.revision, revision)
	state.behindCount, state.bypassRelay = 0, false
	state.currency.reach(state.revision)
	if changed {
		state.lastChange = max(state.lastChange, revision)
	}
}

// changeRevisions returns the revisions at which this host saw each kind change last.
func (f *freshness) changeRevisions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changeRevisionsLocked()
}

// changeRevisionsLocked is changeRevisions for callers that hold the lock.
func (f *freshness) changeRevisionsLocked() map[string]uint64 {
	revisions := make(map[string]uint64, len(f.kinds))
	for name, state := range f.kinds {
		revisions[name] = state.lastChange
	}
	return revisions
}

// confirmation is a host's confirmation of the state of the store.
type confirmation struct {
	// confirmedAt is when the store last answered the sender, on this host's clock: a controller's
	// role was confirmed, or a relay's oldest copy was complete. It says nothing of any other kind.
	confirmedAt time.Duration
	sender      string
	// source is the host to follow: the sender, or a relay that follows the sender.
	source    string
	revisions map[string]uint64
	// askedAt is when this host sent the request that the confirmation answers.
	askedAt time.Duration
	// agesMs are the ages of the sender's copies of the kinds in milliseconds; nil if it has not
	// stated them.
	agesMs map[string]int64
}

// asOf returns as of when the sender's copy of a kind was complete; known is false if it has not
// stated that. The sender stated its age after it had been asked.
func (c *confirmation) asOf(kind string) (asOf time.Duration, known bool) {
	if c.agesMs == nil { // a host of an earlier version
		return c.confirmedAt, true
	}
	age, known := c.agesMs[kind]
	_, hasRevision := c.revisions[kind]
	return c.askedAt - time.Duration(age)*time.Millisecond, known && hasRevision
}

// maxConsecutiveBehind is the number of consecutive confirmations showing a watch at a relay
// to be behind from which on the watch is canceled. A single one says little: what the
// controller knows takes some milliseconds to reach the relay.
const maxConsecutiveBehind = 2

// acceptConfirmation records a confirmation, and returns the kinds whose watches it canceled
// because they are behind. A confirmation that is older than the last one is ignored, unless
// the source has failed since.
//
// It also cancels the watches of the store that this host made for lack of a source: the store
// may leave them unanswered for a second, while the source could answer. And it cancels
// watches at a source that this host no longer follows: they would miss changes until the next
// confirmation, 0.5 s later.
func (f *freshness) acceptConfirmation(now time.Duration, c confirmation) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteStatements(c)
	if f.hasConfirmation && c.confirmedAt < f.confirmedAt && f.source != "" {
		return nil
	}
	f.confirmedAt, f.hasConfirmation, f.source, f.sender = max(f.confirmedAt, c.confirmedAt), true, c.source, c.sender
	f.receivedAt, f.ageOnReceipt = now, now-c.confirmedAt
	close(f.confirmationArrived)
	f.confirmationArrived = make(chan struct{})
	var behind []string
	for name, state := range f.kinds {
		if state.cancelWatch != nil && state.source == "" && !state.isLong && f.mayWaitLong(name, now) {
			state.cancelWatch()
		}
		if state.cancelWatch != nil && state.source != "" && state.source != c.source && state.source != c.sender {
			state.cancelWatch()
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.revisions)) {
		state := f.kinds[name]
		if state == nil || state.revision >= c.revisions[name] || !state.isLong || state.cancelWatch == nil {
			continue
		}
		state.behindCount++
		if state.source != "" && state.source != c.sender && state.behindCount < maxConsecutiveBehind {
			continue
		}
		state.bypassRelay = true
		state.cancelWatch()
		behind = append(behind, name)
	}
	return behind
}

// cancelIfBehind cancels a kind's watch if it is behind a revision, and reports whether it was.
func (f *freshness) cancelIfBehind(name string, revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	if state.revision >= revision || !state.isLong || state.cancelWatch == nil {
		return false
	}
	state.cancelWatch()
	state.isLong = false
	return true
}

// isController reports whether this host is a controller.
func (f *freshness) isController() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controlling
}

// setControlling records whether this host is a controller. It cancels long watches that are no
// longer backed by a confirmation, and all when that changes.
func (f *freshness) setControlling(now time.Duration, controlling bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.controlling != controlling
	f.controlling = controlling
	f.cancelUnconfirmed(now)
	if !changed {
		return
	}
	// A controller watches the store itself and verifies its copies; other hosts don't.
	for name, state := range f.kinds {
		if name != Assignments && state.cancelWatch != nil {
			state.cancelWatch()
		}
	}
}

// maxExpiryInterval is the maximum interval at which watches are checked for a confirmation that
// still counts.
const maxExpiryInterval = 250 * time.Millisecond

// expireWatches cancels the long watches that are no longer backed by a confirmation. It returns the
// time until the next check.
func (f *freshness) expireWatches(now time.Duration) (next time.Duration) {
	const minExpiryInterval = 5 * time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelUnconfirmed(now)
	next = maxExpiryInterval
	if f.controlling || f.startingUp(now) {
		return next // no watch depends on a confirmation
	}
	for name, state := range f.kinds {
		if state.isLong && state.cancelWatch != nil {
			oldest := max(min(f.copyAgeLocked(name, now), now), f.confirmationAge(now))
			next = min(next, max(f.validFor()-oldest, minExpiryInterval))
		}
	}
	return next
}

// cancelUnconfirmed cancels the long watches that are no longer backed by a confirmation.
func (f *freshness) cancelUnconfirmed(now time.Duration) {
	for name, state := range f.kinds {
		if !f.mayWaitLong(name, now) && state.isLong && state.cancelWatch != nil {
			state.cancelWatch()
			state.isLong = false
		}
	}
}
