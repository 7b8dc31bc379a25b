// Package ratelimit divides the limits that backend servers announce among the hosts. A limit
// is the number of requests per second that a server accepts from all hosts together. The
// package performs no I/O and does not block; the time is passed in.
//
// Load pattern: a server announces a few requests per second, a fraction of its demand. The
// demand is spread over hundreds of hosts in proportions that are not known in advance. If
// each host chose its own rate, the sum would not be bounded; with equal parts, some hosts
// would leave permits unused while others reject callers. Therefore one host issues all
// permits, one by one on request; a host that can't reach it falls back to a small equal part.
package ratelimit

import "time"

const (
	// burstAllowance is the time span for which unused permits may accumulate. Requests arrive
	// at random, and a permit that no one requests when it is due would be lost.
	burstAllowance = 250 * time.Millisecond
	// PermitValidity is how long a host may use a permit after it is due.
	PermitValidity = 500 * time.Millisecond
)

// Schedule issues the permits of one server to all hosts. In any time span it issues the
// permits for the span, for burstAllowance and for PermitValidity, plus one: see Bound. The
// zero value has no accumulated permits. It is not safe for concurrent use.
type Schedule struct {
	next    time.Duration // when the next permit is due
	started bool
}

// Reserve takes the next permit under a limit, in requests per second, if it is due within
// the given time. It returns the time until the permit is due.
func (s *Schedule) Reserve(now time.Duration, perSecond float64, within time.Duration) (wait time.Duration, ok bool) {
	if !s.started {
		// The host that scheduled before may just have issued a permit.
		s.next, s.started = now+interval(perSecond), true
	}
	due := max(s.next, now-burstAllowance)
	wait = max(due-now, 0)
	if wait > within {
		return wait, false
	}
	s.next = due + interval(perSecond)
	return wait, true
}

// Bound returns the maximum number of requests that the permits of a schedule allow in any
// time span of the given length.
func Bound(perSecond float64, span time.Duration) float64 {
	return perSecond*(span+burstAllowance+PermitValidity).Seconds() + 1
}

// interval returns the time between two requests at a rate.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

const (
	// fallbackShare is the part of a limit that is divided equally among the hosts that can't
	// reach the schedule, which may issue the whole limit to others. Together they stay
	// within what servers tolerate beyond their limits.
	fallbackShare = 0.2
	// fallbackValidity is how long a host may use a permit of its equal part. If unused
	// permits were kept, hundreds of hosts could use theirs in the same second.
	fallbackValidity = time.Second
)

// FallbackLimiter limits one host to its equal part of a limit while the schedule is
// unreachable. Its permits come at even intervals, and a permit that is not used in time is lost.
type FallbackLimiter struct{ nextAt time.Duration }

// FallbackInterval returns the time between two permits of one host among the given number.
func FallbackInterval(perSecond float64, hosts int) time.Duration {
	return time.Duration(float64(hosts) * float64(interval(fallbackShare*perSecond)))
}

// NewFallbackLimiter returns a FallbackLimiter whose first permit comes after the given
// fraction of the interval. Hosts choose the fraction at random, so that their permits don't
// coincide.
func NewFallbackLimiter(now, every time.Duration, fraction float64) FallbackLimiter {
	return FallbackLimiter{nextAt: now + time.Duration(fraction*float64(every))}
}

// Wait returns the time until the host may send a request; 0 if it may send one now.
func (t *FallbackLimiter) Wait(now, every time.Duration) time.Duration {
	if missed := now - fallbackValidity - t.nextAt; missed > 0 {
		t.nextAt += (missed/every + 1) * every
	}
	return max(t.nextAt-now, 0)
}

// Take uses the current permit.
func (t *FallbackLimiter) Take(every time.Duration) { t.nextAt += every }
