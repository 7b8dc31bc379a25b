package balance

import "time"

// Load pattern: one key gets a fifth of a service's requests, 50 times what its owner can run,
// through hundreds of hosts. Each host sees a few of these requests per second, believes that
// the owner is idle, and sends them. The owner resets the connections of requests that it can't
// queue, and callers see failures instead of rejections. Only the controller of the keys knows
// the total demand. It tells the hosts what fraction of it the owner can handle, and each host
// admits that fraction of its own requests. A host with more demand thus admits more, and hosts
// need not exchange permits.

const (
	// shareKept is how long a share stays valid. The controller sends shares every half second;
	// an outdated one must not keep an owner idle.
	shareKept = 1500 * time.Millisecond
	// mostSaved is the size of a share's token bucket. It keeps hundreds of hosts from sending
	// several requests each after a pause.
	mostSaved = 1.0
	// mostShareRetry bounds the retry delay given to a caller rejected because of a share: the
	// load of a key can't be predicted for longer than some seconds.
	mostShareRetry = 10 * time.Second
)

// share is the fraction of this host's requests for an overloaded key that may be sent.
type share struct {
	part  float64       // fraction of the requests
	until time.Duration // end of validity
	saved float64       // tokens in the bucket; each admitted request takes one
	gap   time.Duration // smoothed interval between requests for the key
	last  time.Duration // when the last request for the key came
}

// SetShares sets, for each overloaded key, the fraction of its requests that the owner can
// handle. Keys that are not in the map are not limited.
func (p *Pool) SetShares(now time.Duration, fractions map[uint16]float64) {
	for key := range p.shares {
		if _, named := fractions[key]; !named {
			delete(p.shares, key)
		}
	}
	for key, fraction := range fractions {
		known := p.shares[key]
		if known == nil {
			// A random fill keeps hosts from sending at the same time.
			known = &share{saved: p.random.Float64()}
			p.shares[key] = known
		}
		known.part, known.until = fraction, now+shareKept
	}
}

// beyondShare rejects a request at once if its key is overloaded and this host's share has
// no token for it.
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
	requests := (mostSaved - known.saved) / known.part // number of requests until the next token
	wait := time.Duration(requests * float64(known.gap))
	return &RejectedError{Reason: Overload, RetryAfter: min(max(wait, leastRetryAfter), mostShareRetry), Expected: wait}
}
