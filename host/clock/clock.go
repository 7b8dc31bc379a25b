// Package clock provides monotonic clocks behind an interface, so that tests can
// substitute their own.
package clock

import "time"

// Clock is a monotonic clock. Its zero is arbitrary, so readings of different clocks
// can't be compared.
type Clock interface {
	// Now returns the time since the clock's zero. It never decreases.
	Now() time.Duration
}

type systemClock struct{ zero time.Time }

// System returns the process's monotonic clock. Its zero is the time of the call.
func System() Clock { return systemClock{zero: time.Now()} }

// Now implements Clock.
func (c systemClock) Now() time.Duration { return time.Since(c.zero) }
