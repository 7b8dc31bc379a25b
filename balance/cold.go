package balance

import (
	"time"

	"cicadarouter/fleet"
)

// Load pattern: the servers of a failure domain come back together, cold, and are
// idle as far as each of a hundred hosts knows. One request of each host in the same
// second is ten times what a cold server bears: it falls over, starts again, and is
// cold anew. No host knows what the others send. So each host fills places at a cold
// server at its part of what the server bears, and begins at a place of its turn drawn
// by chance. All hosts together then send what is allowed, from the first second on,
// and none has to be asked.

const (
	// coldShare is the part of what a cold server bears that hosts fill. Places come
	// by chance: at a mean of 4 a second more than 16 come once in a million seconds,
	// at 5.8 once in ten thousand.
	coldShare = 0.7
	// hostsUnknown is the number of hosts that is assumed before one is told: with too
	// many a cold server stays idle for its few seconds, with too few it falls over.
	hostsUnknown = 300
	// mostColdPlaces bounds the places that a host saves for requests to come.
	mostColdPlaces = 1.0
	// mostColdWait bounds the wait for a place: no caller waits longer.
	mostColdWait = time.Minute
)

// coldLimit is what cold servers of a service bear, by all hosts.
type coldLimit struct {
	perSecond float64 // 0: not limited
	hosts     int
}

// rate is this host's part, in requests a second.
func (c coldLimit) rate() float64 { return coldShare * c.perSecond / float64(c.hosts) }

// coldPlace is this host's place at a cold server.
type coldPlace struct {
	saved float64 // places, as of at
	at    time.Duration
	drawn bool // the place in the turn, for this time of being cold
}

// SetCold sets how many requests a second a cold server bears from all hosts, 0 for
// any number, and how many hosts there are, 0 if that is not known.
func (p *Pool) SetCold(perSecond float64, hosts int) {
	if hosts <= 0 {
		hosts = hostsUnknown
	}
	p.cold = coldLimit{perSecond: perSecond, hosts: hosts}
}

// noteCold draws this host's place in the turn when a server has become cold.
func (p *Pool) noteCold(now time.Duration, server *Server) {
	place := &server.coldPlace
	switch {
	case !server.cold(now):
		*place = coldPlace{}
	case !place.drawn:
		*place = coldPlace{saved: p.random.Float64(), at: now, drawn: true}
	}
}

// coldDoubt is for how long a server is taken for cold that may have started again and does
// not say whether it is cold: two heartbeats of its entry.
const coldDoubt = 3 * time.Second

// Doubt takes that a server's process may have started again under its ID, and reports
// whether the server is to be asked if it is cold. While the registry can't be read nothing
// else tells, and all hosts would send a cold server what a warm one does.
func (p *Pool) Doubt(now time.Duration, incarnation fleet.Incarnation) bool {
	server := p.running(incarnation)
	// Servers whose entries tell no start use each ID once.
	if server == nil || p.cold.perSecond <= 0 || incarnation.Start == 0 || now < server.doubtUntil {
		return false
	}
	server.doubtUntil = now + coldDoubt
	p.noteCold(now, server)
	return true
}

// ToldCold takes that a server said for how long it is still cold.
func (p *Pool) ToldCold(now time.Duration, incarnation fleet.Incarnation, coldFor time.Duration) {
	server := p.running(incarnation)
	if server == nil {
		return
	}
	server.doubtUntil, server.toldColdUntil = 0, now+coldFor
	p.noteCold(now, server)
	p.Pump(now)
}

// coldWait is how long this host has no place at a server because it is cold; 0 if it
// has one, or the server is not cold.
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

// takeColdPlace notes that a request was given a server that may be cold.
func (p *Pool) takeColdPlace(now time.Duration, server *Server) {
	rate := p.cold.rate()
	if rate <= 0 || !server.cold(now) {
		return
	}
	server.coldPlace.saved, server.coldPlace.at = server.coldPlace.savedAt(now, rate)-mostColdPlaces, now
}

// Speed returns a server's speed over its service's mean, as long as it is cold or names a
// limit no more than makes it bear the few requests that it then takes.
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

// limitFill is the part of a limit that the keys of a server are to ask for. Requests come at
// random: of those of a server that is asked for all of its limit, many find no place in time.
const limitFill = 0.5

// speedAt is the speed at which all slots of a server run some requests a second.
func (p *Pool) speedAt(server *Server, perSecond float64) float64 {
	return perSecond * p.mean.Seconds() / float64(max(server.Slots, 1))
}
