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
	// coldShare is the fraction of a cold server's capacity that hosts use. Requests arrive
	// at random: with a mean of 4 per second, more than 16 in a second occur once in a
	// million seconds; with a mean of 5.8, once in ten thousand.
	coldShare = 0.7
	// hostsUnknown is the number of hosts assumed until it is known. Too high a number
	// leaves cold servers idle for the few seconds; too low a number overloads them.
	hostsUnknown = 300
	// mostColdPlaces is the size of the token bucket.
	mostColdPlaces = 1.0
	// mostColdWait bounds the wait for a token; no caller waits longer than that.
	mostColdWait = time.Minute
)

// coldLimit is the request rate that one cold server of a service can handle.
type coldLimit struct {
	perSecond float64 // from all hosts together; 0: not limited
	hosts     int
}

// rate returns this host's share, in requests per second.
func (c coldLimit) rate() float64 { return coldShare * c.perSecond / float64(c.hosts) }

// coldPlace is this host's token bucket for a cold server.
type coldPlace struct {
	saved float64 // tokens as of at
	at    time.Duration
	drawn bool // set once the bucket has its random fill for the current cold phase
}

// SetCold sets how many requests per second, from all hosts together, a cold server can
// handle (0: not limited), and the number of hosts (0: unknown).
func (p *Pool) SetCold(perSecond float64, hosts int) {
	if hosts <= 0 {
		hosts = hostsUnknown
	}
	p.cold = coldLimit{perSecond: perSecond, hosts: hosts}
}

// noteCold fills the token bucket at random when a server has become cold, and resets it
// when the server is warm.
func (p *Pool) noteCold(now time.Duration, server *Server) {
	bucket := &server.coldPlace
	switch {
	case !server.cold(now):
		*bucket = coldPlace{}
	case !bucket.drawn:
		*bucket = coldPlace{saved: p.random.Float64(), at: now, drawn: true}
	}
}

// coldDoubt is how long a server that may have restarted is assumed to be cold unless it
// says whether it is: long enough for two heartbeats of its registry entry.
const coldDoubt = 3 * time.Second

// Doubt records that the server's process may have restarted under the same ID, and reports
// whether the server should be asked if it is cold. While the registry can't be read there is
// no other sign of a restart, and all hosts would send the cold server as much as a warm one.
func (p *Pool) Doubt(now time.Duration, incarnation fleet.Incarnation) bool {
	server := p.running(incarnation)
	// A server whose entry has no start number never reuses its ID.
	if server == nil || p.cold.perSecond <= 0 || incarnation.Start == 0 || now < server.doubtUntil {
		return false
	}
	server.doubtUntil = now + coldDoubt
	p.noteCold(now, server)
	return true
}

// ToldCold records the server's statement that it stays cold for coldFor, or that it is warm
// if coldFor is 0.
func (p *Pool) ToldCold(now time.Duration, incarnation fleet.Incarnation, coldFor time.Duration) {
	server := p.running(incarnation)
	if server == nil {
		return
	}
	server.doubtUntil, server.toldColdUntil = 0, now+coldFor
	p.noteCold(now, server)
	p.Pump(now)
}

// coldWait returns how long this host must wait for a token before it may send the server a
// request. It is 0 if there is a token or the server is not cold.
func (p *Pool) coldWait(now time.Duration, server *Server) time.Duration {
	rate := p.cold.rate()
	if rate <= 0 || !server.cold(now) {
		return 0
	}
	missing := mostColdPlaces - server.coldPlace.savedAt(now, rate)
	if missing <= 0 {
		return 0
	}
	return min(time.Duration(missing/rate*float64(time.Second)), server.coldUntil()-now, mostColdWait)
}

func (c *coldPlace) savedAt(now time.Duration, rate float64) float64 {
	return min(c.saved+rate*(now-c.at).Seconds(), mostColdPlaces)
}

// takeColdPlace takes a token for a request that is sent to the server, if that is cold.
func (p *Pool) takeColdPlace(now time.Duration, server *Server) {
	rate := p.cold.rate()
	if rate <= 0 || !server.cold(now) {
		return
	}
	server.coldPlace.saved, server.coldPlace.at = server.coldPlace.savedAt(now, rate)-mostColdPlaces, now
}

// Speed returns the server's speed relative to the mean of its service. A cold server counts
// as slower by coldFactor, and the speed of a server that is cold or has a limit is capped at
// what the few requests that it accepts amount to.
func (p *Pool) Speed(now time.Duration, server *Server) float64 {
	speed := 1 / server.Ratio()
	if p.cold.perSecond > 0 && server.cold(now) {
		speed = min(speed/coldFactor, p.speedAt(server, coldShare*p.cold.perSecond))
	}
	if server.limited() {
		speed = min(speed, p.speedAt(server, limitFill*server.limit.perSecond))
	}
	return speed
}

// limitFill is the fraction of a server's limit that the keys it owns should use. Requests
// arrive at random; at the full limit many of them would get no permit in time.
const limitFill = 0.5

// speedAt returns the relative speed at which the server, with all slots busy, completes
// perSecond requests per second.
func (p *Pool) speedAt(server *Server, perSecond float64) float64 {
	return perSecond * p.mean.Seconds() / float64(max(server.Slots, 1))
}
