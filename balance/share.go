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
	// shareLifetime is how long a share stays valid. The controller sends shares every half second;
	// an outdated one must not keep an owner idle.
	shareLifetime = 1500 * time.Millisecond
	// shareBucketSize is the size of a share's token bucket. It keeps hundreds of hosts from
	// sending several requests each after a pause.
	shareBucketSize = 1.0
	// maxShareRetryAfter bounds the retry delay given to a caller rejected because of a share: the
	// load of a key can't be predicted for longer than some seconds.
	maxShareRetryAfter = 10 * time.Second
)

// keyShare is the fraction of this host's requests for an overloaded key that may be sent.
type keyShare struct {
	fraction        float64       // fraction of the requests
	expiresAt       time.Duration // end of validity
	tokens          float64       // tokens in the bucket; each admitted request takes one
	requestInterval time.Duration // smoothed interval between requests for the key
	lastRequestAt   time.Duration // when the last request for the key came
}

// SetKeyShares sets, for each overloaded key, the fraction of its requests that the owner can
// handle. Keys that are not in the map are not limited.
func (p *Pool) SetKeyShares(now time.Duration, fractions map[uint16]float64) {
	for key := range p.keyShares {
		if _, named := fractions[key]; !named {
			delete(p.keyShares, key)
		}
	}
	for key, fraction := range fractions {
		known := p.keyShares[key]
		if known == nil {
			// A random fill keeps hosts from sending at the same time.
			known = &keyShare{tokens: p.random.Float64()}
			p.keyShares[key] = known
		}
		known.fraction, known.expiresAt = fraction, now+shareLifetime
	}
}

// checkKeyShare rejects a request at once if its key is overloaded and this host's share has
// no token for it.
func (p *Pool) checkKeyShare(now time.Duration, waiter *Waiter) *RejectedError {
	known := p.keyShares[waiter.Key]
	if p.hasKeyGate(waiter.Key) {
		return nil // which divides the same share by priority
	}
	if known == nil || now >= known.expiresAt || known.fraction >= 1 {
		return nil
	}
	if known.lastRequestAt > 0 {
		known.requestInterval += time.Duration(intervalWeight * float64(now-known.lastRequestAt-known.requestInterval))
	}
	known.lastRequestAt = now
	// Only requests fill the bucket, so it needs no other bound. If it were cut to its size before
	// the request takes its token, a share above a half would admit half of the requests.
	known.tokens += known.fraction
	if known.tokens >= shareBucketSize {
		known.tokens -= shareBucketSize
		return nil
	}
	requests := (shareBucketSize - known.tokens) / known.fraction // number of requests until the next token
	wait := time.Duration(requests * float64(known.requestInterval))
	return &RejectedError{Reason: Overload, RetryAfter: min(max(wait, minRetryAfter), maxShareRetryAfter), Expected: wait}
}
