package balance

import (
	"time"

	"cicadarouter/fleet"
)

// Load pattern: all servers of a failure domain restart together, cold, and look idle to
// each of a hundred hosts. If each host sends one request in the same second, a cold server
// gets ten times what it can handle; it fails, restarts, and is cold again. No host knows
// what the others send. Each host therefore limits its requests to a cold server with a
// token bucket that is refilled at the host's equal share of what the server can handle,
// and that starts with a random fill. All hosts together keep to the allowed rate from the
// first second on, without any coordination.

const (
	// coldFillFraction is the fraction of a cold server's capacity that hosts use. Requests arrive
	// at random: with a mean of 4 per second, more than 16 in a second occur once in a
	// million seconds; with a mean of 5.8, once in ten thousand.
	coldFillFraction = 0.7
	// defaultHostCount is the number of hosts assumed until it is known. Too high a number
	// leaves cold servers idle for the few seconds; too low a number overloads them.
	defaultHostCount = 300
	// coldBucketSize is the size of the token bucket.
	coldBucketSize = 1.0
	// maxColdWait bounds the wait for a token; no caller waits longer than that.
	maxColdWait = time.Minute
)

// coldStartLimit is the request rate that one cold server of a service can handle.
type coldStartLimit struct {
	perSecond float64 // from all hosts together; 0: not limited
	hosts     int
}

// rate returns this host's share, in requests per second.
func (c coldStartLimit) rate() float64 { return coldFillFraction * c.perSecond / float64(c.hosts) }

// coldBucket is this host's token bucket for a cold server.
type coldBucket struct {
	tokens    float64 // tokens as of updatedAt
	updatedAt time.Duration
	filled    bool // set once the bucket has its random fill for the current cold phase
}

// SetColdStartLimit sets how many requests per second, from all hosts together, a cold server can
// handle (0: not limited), and the number of hosts (0: unknown).
func (p *Pool) SetColdStartLimit(perSecond float64, hosts int) {
	if hosts <= 0 {
		hosts = defaultHostCount
	}
	p.coldLimit = coldStartLimit{perSecond: perSecond, hosts: hosts}
}

// updateColdBucket fills the token bucket at random when a server has become cold, and resets it
// when the server is warm.
func (p *Pool) updateColdBucket(now time.Duration, server *Server) {
	bucket := &server.coldBucket
	switch {
	case !server.cold(now):
		*bucket = coldBucket{}
	case !bucket.filled:
		*bucket = coldBucket{tokens: p.random.Float64(), updatedAt: now, filled: true}
	}
}

// assumedColdFor is how long a server that may have restarted is assumed to be cold unless it
// says whether it is: long enough for two heartbeats of its registry entry.
const assumedColdFor = 3 * time.Second

// SuspectRestart records that the server's process may have restarted under the same ID, and
// reports whether the server should be asked if it is cold. While the registry can't be read
// there is no other sign of a restart, and all hosts would send the cold server as much as a warm
// one.
func (p *Pool) SuspectRestart(now time.Duration, incarnation fleet.Incarnation) bool {
	server := p.findServer(incarnation)
	// A server whose entry has no start number never reuses its ID.
	if server == nil || p.coldLimit.perSecond <= 0 || incarnation.Start == 0 || now < server.assumedColdUntil {
		return false
	}
	server.assumedColdUntil = now + assumedColdFor
	p.updateColdBucket(now, server)
	return true
}

// SetColdFor records the server's statement that it stays cold for coldFor, or that it is warm
// if coldFor is 0.
func (p *Pool) SetColdFor(now time.Duration, incarnation fleet.Incarnation, coldFor time.Duration) {
	server := p.findServer(incarnation)
	if server == nil {
		return
	}
	server.assumedColdUntil, server.reportedColdUntil = 0, now+coldFor
	p.updateColdBucket(now, server)
	p.Dispatch(now)
}

// coldWait returns how long this host must wait for a token before it may send the server a
// request. It is 0 if there is a token or the server is not cold.
func (p *Pool) coldWait(now time.Duration, server *Server) time.Duration {
	rate := p.coldLimit.rate()
	if rate <= 0 || !server.cold(now) {
		return 0
	}
	missing := coldBucketSize - server.coldBucket.tokensAt(now, rate)
	if missing <= 0 {
		return 0
	}
	return min(time.Duration(missing/rate*float64(time.Second)), server.coldUntil()-now, maxColdWait)
}

func (c *coldBucket) tokensAt(now time.Duration, rate float64) float64 {
	return min(c.tokens+rate*(now-c.updatedAt).Seconds(), coldBucketSize)
}

// takeColdToken takes a token for a request that is sent to the server, if that is cold.
func (p *Pool) takeColdToken(now time.Duration, server *Server) {
	rate := p.coldLimit.rate()
	if rate <= 0 || !server.cold(now) {
		return
	}
	server.coldBucket.tokens, server.coldBucket.updatedAt = server.coldBucket.tokensAt(now, rate)-coldBucketSize, now
}

// Speed returns the server's speed relative to the mean of its service. A cold server counts
// as slower by coldFactor, and the speed of a server that is cold or has a limit is capped at
// what the few requests that it accepts amount to.
func (p *Pool) Speed(now time.Duration, server *Server) float64 {
	speed := p.speedWithoutLimit(now, server)
	if server.hasLimit() {
		speed = min(speed, p.speedAt(server, limitFillFraction*server.limit.perSecond))
	}
	return speed
}

// speedWithoutLimit is Speed without the limit that the server announced.
func (p *Pool) speedWithoutLimit(now time.Duration, server *Server) float64 {
	speed := 1 / server.ServiceTimeRatio()
	if p.coldLimit.perSecond > 0 && server.cold(now) {
		speed = min(speed/coldFactor, p.speedAt(server, coldFillFraction*p.coldLimit.perSecond))
	}
	return speed
}

// limitFillFraction is the fraction of a server's limit that the keys it owns should use. Requests
// arrive at random; at the full limit many of them would get no permit in time.
const limitFillFraction = 0.5

// speedAt returns the relative speed at which the server, with all slots busy, completes
// perSecond requests per second.
func (p *Pool) speedAt(server *Server, perSecond float64) float64 {
	return perSecond * p.meanServiceTime.Seconds() / float64(max(server.Slots, 1))
}
