package admission

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// minRetryAfter is the shortest delay given to a rejected caller. A caller that comes back earlier
// does not count as returning (see Gate.AdmitAttempt).
const minRetryAfter = 50 * time.Millisecond

// ClassOf returns the class of a request whose caller began its first attempt the given time ago;
// 0 if this is the first attempt or if that is not known.
func ClassOf(priority int, sinceFirstAttempt time.Duration) Class {
	return Class{Priority: priority, Returning: sinceFirstAttempt >= minRetryAfter}
}

// Compare orders classes by priority, returning requests first.
func (c Class) Compare(other Class) int {
	if order := cmp.Compare(c.Priority, other.Priority); order != 0 || c.Returning == other.Returning {
		return order
	}
	if c.Returning {
		return -1
	}
	return 1
}

// String returns the class for logs and errors.
func (c Class) String() string {
	if c.Returning {
		return fmt.Sprintf("priority %d, returning", c.Priority)
	}
	return fmt.Sprintf("priority %d", c.Priority)
}

// FieldError reports a value that must not be used.
type FieldError struct {
	Field, Value, Fix string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("admission: %s = %q: %s", e.Field, e.Value, e.Fix)
}

// Check returns a *FieldError for the first invalid fraction, by class.
func (f Fractions) Check() error {
	for _, class := range slices.SortedFunc(maps.Keys(f), Class.Compare) {
		if class.Priority < 0 {
			return &FieldError{Field: "priority", Value: fmt.Sprint(class.Priority), Fix: "must not be negative"}
		}
		// The comparison is written so that NaN is invalid.
		if fraction := f[class]; !(fraction >= 0 && fraction <= 1) {
			return &FieldError{Field: "fraction of " + class.String(), Value: fmt.Sprint(fraction), Fix: "must be between 0 and 1"}
		}
	}
	return nil
}
