package poison

import (
	"encoding/binary"
	"time"
)

const (
	// answeredGeneration is how long a generation of answered requests lasts. A request is
	// remembered for one to two generations.
	answeredGeneration = 5 * time.Second
	// maxGenerationSize bounds the requests of one generation. A host that answers more starts a
	// new generation earlier, and so remembers requests for a shorter time.
	maxGenerationSize = 4096
)

// RecentlyAnswered remembers the requests that servers have recently given a complete answer to. A
// popular request is in flight at nearly every server that terminates; since it is answered all the
// time, it is not the cause. The zero value is ready to use. It is not safe for concurrent use.
type RecentlyAnswered struct {
	current, previous map[uint64]struct{}
	rotatedAt         time.Duration
}

// shortFingerprint returns the prefix of a fingerprint under which an answered request is stored.
func shortFingerprint(request Fingerprint) uint64 { return binary.BigEndian.Uint64(request[:]) }

// Add records an answered request.
func (a *RecentlyAnswered) Add(now time.Duration, request Fingerprint) {
	a.rotate(now)
	if len(a.current) >= maxGenerationSize {
		a.previous, a.current, a.rotatedAt = a.current, nil, now
	}
	if a.current == nil {
		a.current = map[uint64]struct{}{}
	}
	a.current[shortFingerprint(request)] = struct{}{}
}

// Contains reports whether a request was recently answered.
func (a *RecentlyAnswered) Contains(now time.Duration, request Fingerprint) bool {
	a.rotate(now)
	_, current := a.current[shortFingerprint(request)]
	_, earlier := a.previous[shortFingerprint(request)]
	return current || earlier
}

// rotate starts a new generation when the current one has lasted answeredGeneration.
func (a *RecentlyAnswered) rotate(now time.Duration) {
	switch elapsed := now - a.rotatedAt; {
	case elapsed >= 2*answeredGeneration:
		a.previous, a.current, a.rotatedAt = nil, nil, now
	case elapsed >= answeredGeneration:
		a.previous, a.current, a.rotatedAt = a.current, nil, now
	}
}
