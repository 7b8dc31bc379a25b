package gateway

import (
	"math"
	"time"
)

// currency is as of when a host's copy of a kind is known to be complete: it holds every change
// that the store had acknowledged by then.
type currency struct {
	asOf    time.Duration
	isKnown bool
	// awaitedRevision is the revision at which the copy will be complete as of awaitedAsOf, as
	// another host has stated; 0 if the copy has reached all that was stated.
	awaitedRevision uint64
	awaitedAsOf     time.Duration
}

// complete records that the copy is complete as of a time.
func (c *currency) complete(asOf time.Duration) {
	if !c.isKnown || asOf > c.asOf {
		c.asOf, c.isKnown = asOf, true
	}
}

// state records the statement of another host that the kind's last change as of a time was at a
// revision. have is the revision up to which this host knows the kind.
func (c *currency) state(asOf time.Duration, revision, have uint64) {
	if have >= revision {
		c.complete(asOf)
		return
	}
	c.awaitedRevision, c.awaitedAsOf = revision, asOf
}

// reach records that the kind is known up to a revision.
func (c *currency) reach(revision uint64) {
	if c.awaitedRevision > 0 && revision >= c.awaitedRevision {
		c.complete(c.awaitedAsOf)
		c.awaitedRevision = 0
	}
}

// awaitsChange reports whether another host has recently stated a change that the copy lacks.
func (c *currency) awaitsChange(now, within time.Duration) bool {
	return c.awaitedRevision > 0 && now-c.awaitedAsOf < within
}

// age returns the time since the copy was last known to be complete; math.MaxInt64 if it never was.
func (c *currency) age(now time.Duration) time.Duration {
	if !c.isKnown {
		return math.MaxInt64
	}
	return max(now-c.asOf, 0)
}

// unknownAgeMs stands in logs and metrics for the age of a copy that was never known to be complete.
const unknownAgeMs = -1

// ageMillis returns an age in milliseconds, or unknownAgeMs.
func ageMillis(age time.Duration) int64 {
	if age == math.MaxInt64 {
		return unknownAgeMs
	}
	return age.Milliseconds()
}

// noteStatements records what a confirmation states of the kinds. The caller holds the lock.
func (f *freshness) noteStatements(c confirmation) {
	for name, state := range f.kinds {
		if asOf, known := c.asOf(name); known {
			state.currency.state(asOf, c.revisions[name], state.revision)
		}
	}
}

// copyAge returns the age of this host's copy of a kind: the time since it was last known to hold
// every change that the store had acknowledged.
func (f *freshness) copyAge(name string, now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copyAgeLocked(name, now)
}

// copyAgeLocked is copyAge for callers that hold the lock.
func (f *freshness) copyAgeLocked(name string, now time.Duration) time.Duration {
	state := f.kinds[name]
	if state == nil {
		return math.MaxInt64
	}
	if f.controlling && name == Assignments && f.roleConfirmedAt > 0 {
		// Nobody else writes the records of a controller, and it reads its own regularly.
		return min(state.currency.age(now), now-f.roleConfirmedAt)
	}
	return state.currency.age(now)
}

// copyAges returns the ages of this host's copies of all kinds, in milliseconds. A kind whose age
// is unknown is missing.
func (f *freshness) copyAges(now time.Duration) map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	ages := make(map[string]int64, len(f.kinds))
	for name := range f.kinds {
		if age := f.copyAgeLocked(name, now); age != math.MaxInt64 {
			ages[name] = age.Milliseconds()
		}
	}
	return ages
}
