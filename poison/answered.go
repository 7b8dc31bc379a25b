package poison

import (
	"encoding/binary"
	"time"
)

const (
	// answeredTurn is the least time for which an answered request is remembered.
	answeredTurn = 5 * time.Second
	// mostAnswered bounds the requests remembered in one such time; a host that
	// answers more remembers them for a shorter one.
	mostAnswered = 4096
)

// Answered remembers the requests that servers have lately given a whole answer to. A
// popular request is under way at nearly every server that ends; since it is answered
// all the time, it is not the reason. The zero value is ready. It is not safe for
// concurrent use.
type Answered struct {
	current, earlier map[uint64]struct{}
	turned           time.Duration
}

// short returns the part of a fingerprint by which answered requests are remembered.
func short(request Fingerprint) uint64 { return binary.BigEndian.Uint64(request[:]) }

// Note remembers an answered request.
func (a *Answered) Note(now time.Duration, request Fingerprint) {
	a.turn(now)
	if len(a.current) >= mostAnswered {
		a.earlier, a.current, a.turned = a.current, nil, now
	}
	if a.current == nil {
		a.current = map[uint64]struct{}{}
	}
	a.current[short(request)] = struct{}{}
}

// Lately reports whether a request was answered lately.
func (a *Answered) Lately(now time.Duration, request Fingerprint) bool {
	a.turn(now)
	_, current := a.current[short(request)]
	_, earlier := a.earlier[short(request)]
	return current || earlier
}

// turn forgets what is older than two turns.
func (a *Answered) turn(now time.Duration) {
	switch elapsed := now - a.turned; {
	case elapsed >= 2*answeredTurn:
		a.earlier, a.current, a.turned = nil, nil, now
	case elapsed >= answeredTurn:
		a.earlier, a.current, a.turned = a.current, nil, now
	}
}
