package poison

import (
	"encoding/binary"
	"time"
)

const (
	// answeredTurn is how long a generation of answered requests lasts. A request is remembered for
	// one to two generations.
	answeredTurn = 5 * time.Second
	// mostAnswered bounds the requests of one generation. A host that answers more starts a new
	// generation earlier, and so remembers requests for a shorter time.
	mostAnswered = 4096
)

// Answered remembers the requests that servers have recently given a complete answer to. A popular
// request is in flight at nearly every server that terminates; since it is answered all the time,
// it is not the cause. The zero value is ready to use. An Answered is not safe for concurrent use.
type Answered struct {
	current, earlier map[uint64]struct{}
	turned           time.Duration
}

// short returns the prefix of a fingerprint under which an answered request is stored.
func short(request Fingerprint) uint64 { return binary.BigEndian.Uint64(request[:]) }

// Note records an answered request.
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

// Lately reports whether a request was recently answered.
func (a *Answered) Lately(now time.Duration, request Fingerprint) bool {
	a.turn(now)
	_, current := a.current[short(request)]
	_, earlier := a.earlier[short(request)]
	return current || earlier
}

// turn starts a new generation when the current one has lasted answeredTurn.
func (a *Answered) turn(now time.Duration) {
	switch elapsed := now - a.turned; {
	case elapsed >= 2*answeredTurn:
		a.earlier, a.current, a.turned = nil, nil, now
	case elapsed >= answeredTurn:
		a.earlier, a.current, a.turned = a.current, nil, now
	}
}
