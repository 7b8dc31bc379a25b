package balance

import "time"

// Load pattern: one key takes a fifth of a service's requests, 50 times what its
// owner can run, and they come through hundreds of hosts. Each host sees a few a
// second, finds the owner idle as far as it knows, and sends: the owner resets what
// it can't queue, and the callers learn of it as a failure in place of a rejection.
// Nobody but the controller of the keys sees what is asked in all. It tells the
// hosts which part of that the owner can take on, and each host admits this part
// of its own requests. So a host that is asked more admits more, and no place has to
// be handed from host to host.

const (
	// shareKept is for how long a share counts: the controller's word comes each
	// half second, and an owner must not be kept idle on old word.
	shareKept = 1500 * time.Millisecond
	// mostSaved bounds the places that a host saves for requests to come, so that
	// after a pause hundreds of hosts don't send several each.
	mostSaved = 1.0
	// mostShareRetry bounds what a caller is told that has to wait for a share: the
	// load of a key is known for seconds only.
	mostShareRetry = 10 * time.Second
)

// share is this host's part of a key that asks for more than its owner can do.
type share struct {
	part  float64       // of the requests
	until time.Duration // it counts until then
	saved float64       // places that this host may fill at once
	gap   time.Duration // smoothed time between two requests
	last  time.Duration // when the last came
}

// SetShares takes the parts of what is asked of keys that their owners can take on.
// Keys that are not named are not limited.
func (p *Pool) SetShares(now time.Duration, parts map[uint16]float64) {
	for key := range p.shares {
		if _, named := parts[key]; !named {
			delete(p.shares, key)
		}
	}
	for key, part := range parts {
		known := p.shares[key]
		if known == nil {
			// Hosts begin at different places of their turn.
			known = &share{saved: p.random.Float64()}
			p.shares[key] = known
		}
		known.part, known.until = part, now+shareKept
	}
}

// beyondShare turns a request away at once whose key asks for more than its owner can
// do, unless this host's share has a place for it.
func (p *Pool) beyondShare(now time.Duration, waiter *Waiter) *RejectedError {
	known := p.shares[waiter.Key]
	if known == nil || now >= known.until || known.part >= 1 {
		return nil
	}
	if known.last > 0 {
		known.gap += time.Duration(gapWeight * float64(now-known.last-known.gap))
	}
	known.last = now
	known.saved = min(known.saved+known.part, mostSaved)
	if known.saved >= mostSaved {
		known.saved -= mostSaved
		return nil
	}
	places := (mostSaved - known.saved) / known.part // requests until the next
	next := time.Duration(places * float64(known.gap))
	return &RejectedError{Reason: Overload, RetryAfter: min(max(next, leastRetryAfter), mostShareRetry), Expected: next}
}
