// Package clock gives the loops their time, so that tests can bring their own.
package clock

import "time"

// Clock is a monotonic clock. Its zero is arbitrary: readings of two clocks
// cannot be compared.
type Clock interface {
	// Now returns the time since the clock's zero. It never goes back.
	Now() time.Duration
}

type system struct{ zero time.Time }

// System returns the process's monotonic clock, with its zero at the call.
func System() Clock { return system{zero: time.Now()} }

// Now implements Clock.
func (s system) Now() time.Duration { return time.Since(s.zero) }
