package balance

import (
	"slices"
	"time"

	"cicadarouter/fleet"
	"cicadarouter/ratelimit"
)

// Load pattern: a server names a limit for all hosts together that is a fraction of what it
// is asked for. Each request there needs a place, which one host gives out for all. The
// pool says how many places its waiting requests want (Wishes), is told what became of it
// (Reserved), and turns away at once what no place will come for in time.

const (
	// aloneFor is how long a host that got no answer from the schedule of places keeps to
	// its own part before it asks again.
	aloneFor = time.Second
	// mostWishes bounds the places that are asked for at once.
	mostWishes = 16
	// mostLimitRetry bounds what a caller is told who has to wait for a place: limits and
	// the owners of keys change within seconds.
	mostLimitRetry = 10 * time.Second
	// spareWithin is how soon a place must be due that is reserved for requests to come,
	// while others serve those that wait.
	spareWithin = 50 * time.Millisecond
)

// limit is what a pool knows of a server that names one.
type limit struct {
	perSecond float64 // 0: none
	places    []place // of this host, in the order in which they are due
	asked     int     // places that are being reserved
	spare     bool    // a place would have been used by a request that went elsewhere
	// fullUntil is when the next place is due that this host could not have.
	fullUntil time.Duration
	// aloneUntil is until when the schedule counts as out of reach.
	aloneUntil time.Duration
	turn       ratelimit.FallbackLimiter
	// retryAt is when the caller last turned away was told to come back.
	retryAt time.Duration
}

// place is a request that this host may send, from a time on until another.
type place struct{ from, until time.Duration }

// Wish is a number of places that a host wants at a server.
type Wish struct {
	Server fleet.Incarnation
	Places int
	// Within is how soon they must be due.
	Within time.Duration
}

// Reservation is what became of a wish.
type Reservation struct {
	// Reached is set if the schedule answered.
	Reached bool
	// Asked is when the wish left.
	Asked time.Duration
	// Waits are how long after Asked the places are due that this host was given.
	Waits []time.Duration
	// Full is how long after Asked the first place is due that it was not given; 0 if it
	// was given all.
	Full time.Duration
}

// SetLimits takes the limits that servers name, in requests a second, and how many hosts
// there are, 0 if that is not known.
func (p *Pool) SetLimits(now time.Duration, limits map[fleet.Incarnation]float64, hosts int) {
	if hosts <= 0 {
		hosts = hostsUnknown
	}
	noneBefore := len(p.limits) == 0
	p.limits, p.hosts = limits, hosts
	if noneBefore && len(limits) == 0 {
		return
	}
	for _, server := range p.servers.order {
		p.noteLimit(now, server)
	}
	p.Pump(now)
}

// noteLimit takes the limit that a server names, if any.
func (p *Pool) noteLimit(now time.Duration, server *Server) {
	perSecond := p.limits[server.Incarnation()]
	switch {
	case perSecond == 0:
		server.limit = limit{}
	case server.limit.perSecond == 0:
		server.limit = limit{perSecond: perSecond, turn: ratelimit.NewFallbackLimiter(now, p.turnInterval(perSecond), p.random.Float64())}
	default:
		server.limit.perSecond = perSecond
	}
}

func (p *Pool) turnInterval(perSecond float64) time.Duration {
	return ratelimit.FallbackInterval(perSecond, p.hosts)
}

// limited reports whether a server names a limit.
func (s *Server) limited() bool { return s.limit.perSecond > 0 }

// alone reports whether the host keeps to its own part, as the schedule is out of reach.
func (l *limit) alone(now time.Duration) bool { return now < l.aloneUntil }

// hasPlace reports whether this host may send a request to a server as far as its limit
// goes.
func (p *Pool) hasPlace(now time.Duration, server *Server) bool {
	l := &server.limit
	if !server.limited() {
		return true
	}
	l.places = slices.DeleteFunc(l.places, func(place place) bool { return now > place.until })
	if len(l.places) > 0 && now >= l.places[0].from {
		return true
	}
	return l.alone(now) && l.turn.Wait(now, p.turnInterval(l.perSecond)) == 0
}

// mayGetPlace reports whether a place at a limited server may be due in time for a request
// if it is asked for.
func (p *Pool) mayGetPlace(now time.Duration, waiter *Waiter, server *Server) bool {
	l := &server.limit
	return !l.alone(now) && l.fullUntil <= now+p.patience(now, waiter)
}

// takePlace uses a place at a server that may name a limit.
func (p *Pool) takePlace(now time.Duration, server *Server) {
	l := &server.limit
	switch {
	case !server.limited():
	case len(l.places) > 0 && now >= l.places[0].from:
		l.places = l.places[1:]
	default:
		l.turn.Take(p.turnInterval(l.perSecond))
	}
}

// placeWait returns how long a request waits at least for a place at a server behind a
// number of others of this host; 0 if that is not known before places have been asked for.
func (p *Pool) placeWait(now time.Duration, server *Server, ahead int) time.Duration {
	l := &server.limit
	switch {
	case !server.limited():
		return 0
	case ahead < len(l.places):
		return max(l.places[ahead].from-now, 0)
	case l.alone(now):
		every := p.turnInterval(l.perSecond)
		return l.turn.Wait(now, every) + time.Duration(ahead-len(l.places))*every
	}
	return max(l.fullUntil-now, 0)
}

// slotsWithinLimit is how many of its slots a server can have busy.
func (p *Pool) slotsWithinLimit(server *Server) float64 {
	if !server.limited() {
		return float64(server.Slots)
	}
	return min(float64(server.Slots), server.limit.perSecond*p.mean.Seconds())
}

// patience is how much longer a request may wait for a server.
func (p *Pool) patience(now time.Duration, waiter *Waiter) time.Duration {
	most := min(p.longest(waiter)-(now-waiter.Entered), waiter.Deadline-now-p.work(waiter.Objective))
	return max(most, 0)
}

// beyondLimit returns why a request can't be served in time because servers name limits,
// or nil. A place that is not due in time leaves nothing to wait for.
func (p *Pool) beyondLimit(now time.Duration, waiter *Waiter) *RejectedError {
	server, wait := p.nextPlace(now, waiter)
	if server == nil || wait <= p.patience(now, waiter) {
		return nil
	}
	return &RejectedError{Reason: Limited, RetryAfter: p.limitRetry(now, server, wait), Expected: wait,
		Server: server.ID, Limit: server.limit.perSecond}
}

// nextPlace returns the server at which a request waits for a place, and how long it will
// at least; nil if it waits for anything else.
func (p *Pool) nextPlace(now time.Duration, waiter *Waiter) (next *Server, wait time.Duration) {
	if waiter.Keyed && p.owner != nil {
		id, _ := p.owner.OwnerOf(waiter.Key)
		server := p.servers.byID[id]
		if server == nil || !server.limited() || p.hasPlace(now, server) {
			return nil, 0
		}
		return server, p.placeWait(now, server, p.ahead(now, waiter, id))
	}
	wanted := p.preferred(now, waiter, p.servers.order)
	for _, server := range p.servers.order {
		if p.preference(now, waiter, server) != wanted {
			continue
		}
		if !server.limited() || p.hasPlace(now, server) {
			return nil, 0
		}
		if due := p.placeWait(now, server, 0); next == nil || due < wait {
			next, wait = server, due
		}
	}
	return next, wait
}

// limitRetry returns when a caller is to come back for whom no place is due in time. Those
// whom all hosts turn away come back one by one, as places are due: each host tells its own
// at intervals at which all hosts together reach the limit.
func (p *Pool) limitRetry(now time.Duration, server *Server, wait time.Duration) time.Duration {
	l := &server.limit
	spacing := time.Duration(float64(p.hosts) / l.perSecond * float64(time.Second))
	if l.retryAt < now+wait {
		l.retryAt = now + wait + time.Duration(p.random.Float64()*float64(spacing))
	} else {
		l.retryAt += spacing
	}
	l.retryAt = min(l.retryAt, now+mostLimitRetry)
	return max(l.retryAt-now, leastRetryAfter)
}

// Wishes returns the places that are to be reserved for the requests that wait. Until
// Reserved is called for a server, it is not returned again.
func (p *Pool) Wishes(now time.Duration) []Wish {
	if len(p.limits) == 0 {
		return nil
	}
	var wishes []Wish
	for _, server := range p.servers.order {
		l := &server.limit
		if !server.limited() || l.asked > 0 || l.alone(now) || !p.roomBeforeLimit(now, server) {
			continue
		}
		wish := p.wish(now, server)
		l.spare = false
		if wish.Places <= 0 || l.fullUntil > now+wish.Within {
			continue
		}
		l.asked = wish.Places
		wishes = append(wishes, wish)
	}
	return wishes
}

// wish returns what is to be reserved at a server.
func (p *Pool) wish(now time.Duration, server *Server) Wish {
	wish := Wish{Server: server.Incarnation()}
	keyed, unkeyed := 0, 0
	for _, waiter := range p.waiting {
		if !p.wants(waiter, server) {
			continue
		}
		if waiter.Keyed && p.owner != nil {
			keyed++
		} else {
			unkeyed++
		}
		wish.Within = max(wish.Within, p.patience(now, waiter))
	}
	wish.Places = keyed - len(server.limit.places)
	if unkeyed > 0 {
		wish.Places = unkeyed - p.reservedPlaces()
	}
	if keyed+unkeyed == 0 && server.limit.spare && len(server.limit.places) == 0 {
		wish.Places, wish.Within = 1, spareWithin
	}
	wish.Places = min(wish.Places, mostWishes)
	return wish
}

// wants reports whether a waiting request could use a place at a limited server: that of
// its key's owner, or the one that it would cost least at.
func (p *Pool) wants(waiter *Waiter, server *Server) bool {
	if !waiter.Keyed || p.owner == nil {
		return server.limit.spare
	}
	id, _ := p.owner.OwnerOf(waiter.Key)
	return id == server.ID
}

// reservedPlaces counts the places that this host has, or has asked for, at all servers.
// Requests that any server may take would otherwise have some reserved at each, and leave
// none to other hosts.
func (p *Pool) reservedPlaces() int {
	count := 0
	for _, server := range p.servers.order {
		count += len(server.limit.places) + server.limit.asked
	}
	return count
}

// Reserved takes what became of a wish.
func (p *Pool) Reserved(now time.Duration, incarnation fleet.Incarnation, got Reservation) {
	server := p.running(incarnation)
	if server == nil || !server.limited() {
		return
	}
	l := &server.limit
	l.asked = 0
	if !got.Reached {
		l.aloneUntil = now + aloneFor
		p.Pump(now)
		return
	}
	for _, wait := range got.Waits {
		due := got.Asked + wait
		l.places = append(l.places, place{from: due, until: due + ratelimit.PermitValidity})
	}
	if got.Full > 0 {
		l.fullUntil = got.Asked + got.Full
	}
	p.Pump(now)
}

// Limits returns how many servers name limits, as last told by SetLimits.
func (p *Pool) Limits() int { return len(p.limits) }
