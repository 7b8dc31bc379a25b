package balance

import (
	"slices"
	"time"

	"cicadarouter/fleet"
	"cicadarouter/ratelimit"
)

// Load pattern: a server announces a limit for all hosts together that is a fraction of its
// demand. Each request then needs a permit, which one host, the scheduler, issues for all.
// The pool tells how many permits its queued requests need (Wishes), is given the scheduler's
// answer (Reserved), and rejects at once the requests that no permit will reach in time.

const (
	// aloneFor is how long a host that got no answer from the scheduler limits itself to its
	// fallback share before it asks again.
	aloneFor = time.Second
	// mostWishes is the most permits requested at once.
	mostWishes = 16
	// mostLimitRetry bounds the retry delay given to a caller that has to wait for a permit or
	// for the end of a backoff: limits and key owners change within seconds.
	mostLimitRetry = 10 * time.Second
	// spareWithin is how soon a prefetched permit must become valid: one that is reserved
	// for later requests while other servers serve the queued ones.
	spareWithin = 50 * time.Millisecond
)

// limit is the state of a server's limit. The zero value means that there is none.
type limit struct {
	perSecond float64 // 0: not limited
	places    []place // permits held by this host, in order of validity
	asked     int     // permits requested and not yet answered
	spare     bool    // set if the server would have been cheapest for a request but had no permit
	// fullUntil is when the next permit becomes valid that the scheduler refused this host.
	fullUntil time.Duration
	// aloneUntil is when this host asks the scheduler again after it could not be reached.
	aloneUntil time.Duration
	turn       ratelimit.Turn
	// retryAt is the retry time given to the last rejected caller.
	retryAt time.Duration
}

// place is the right to send one request from one time until another.
type place struct{ from, until time.Duration }

// Wish asks the scheduler for permits at one server.
type Wish struct {
	Server fleet.Incarnation
	Places int
	// Within is how soon the permits must become valid.
	Within time.Duration
}

// Reservation is the scheduler's answer to a Wish.
type Reservation struct {
	// Reached is set if the scheduler answered.
	Reached bool
	// Asked is when the question was sent.
	Asked time.Duration
	// Waits tells for each granted permit how long after Asked it becomes valid.
	Waits []time.Duration
	// Full is how long after Asked the first refused permit would become valid; 0 if all
	// permits were granted.
	Full time.Duration
}

// SetLimits sets the limits that servers announced, in requests per second, and the number
// of hosts (0: unknown).
func (p *Pool) SetLimits(now time.Duration, limits map[fleet.Incarnation]float64, hosts int) {
	if hosts <= 0 {
		hosts = hostsUnknown
	}
	hadNone := len(p.limits) == 0
	p.limits, p.hosts = limits, hosts
	if hadNone && len(limits) == 0 {
		return
	}
	for _, server := range p.servers.order {
		p.noteLimit(now, server)
	}
	p.Pump(now)
}

// noteLimit applies the current limit of a server, if any.
func (p *Pool) noteLimit(now time.Duration, server *Server) {
	perSecond := p.limits[server.Incarnation()]
	switch {
	case perSecond == 0:
		server.limit = limit{}
	case server.limit.perSecond == 0:
		server.limit = limit{perSecond: perSecond, turn: ratelimit.NewTurn(now, p.turnInterval(perSecond), p.random.Float64())}
	default:
		server.limit.perSecond = perSecond
	}
}

func (p *Pool) turnInterval(perSecond float64) time.Duration {
	return ratelimit.TurnInterval(perSecond, p.hosts)
}

// limited reports whether the server has a limit.
func (s *Server) limited() bool { return s.limit.perSecond > 0 }

// alone reports whether the host uses its fallback share because the scheduler could not be
// reached.
func (l *limit) alone(now time.Duration) bool { return now < l.aloneUntil }

// hasPlace reports whether the server's limit allows this host to send it a request now.
func (p *Pool) hasPlace(now time.Duration, server *Server) bool {
	l := &server.limit
	if !server.limited() {
		return true
	}
	l.places = slices.DeleteFunc(l.places, func(each place) bool { return now > each.until })
	if len(l.places) > 0 && now >= l.places[0].from {
		return true
	}
	return l.alone(now) && l.turn.Wait(now, p.turnInterval(l.perSecond)) == 0
}

// mayGetPlace reports whether the scheduler may still grant a permit at the server that
// becomes valid in time for the request.
func (p *Pool) mayGetPlace(now time.Duration, waiter *Waiter, server *Server) bool {
	l := &server.limit
	return !l.alone(now) && l.fullUntil <= now+p.patience(now, waiter)
}

// takePlace uses up a permit for a request that is sent to the server, if that has a limit.
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

// placeWait returns the shortest time until the request that is number ahead in the queue
// gets a permit at the server; 0 if there is no limit or nothing is known yet.
func (p *Pool) placeWait(now time.Duration, server *Server, ahead int) time.Duration {
	l := &server.limit
	switch {
	case !server.limited():
		return 0
	case ahead < len(l.places):
		return max(l.places[ahead].from-now, 0)
	case l.alone(now):
		interval := p.turnInterval(l.perSecond)
		return l.turn.Wait(now, interval) + time.Duration(ahead-len(l.places))*interval
	}
	return max(l.fullUntil-now, 0)
}

// slotsWithinLimit returns how many of the server's slots its limit can keep busy.
func (p *Pool) slotsWithinLimit(server *Server) float64 {
	if !server.limited() {
		return float64(server.Slots)
	}
	return min(float64(server.Slots), server.limit.perSecond*p.mean.Seconds())
}

// patience returns how much longer the request may wait for a server.
func (p *Pool) patience(now time.Duration, waiter *Waiter) time.Duration {
	remaining := min(p.longest(waiter)-(now-waiter.Entered), waiter.Deadline-now-p.work(waiter.Objective))
	return max(remaining, 0)
}

// beyondLimit returns why the request can't be served in time because of servers' limits, or
// nil. If no permit becomes valid in time there is no point in waiting.
func (p *Pool) beyondLimit(now time.Duration, waiter *Waiter) *RejectedError {
	server, wait := p.nextPlace(now, waiter)
	if server == nil || wait <= p.patience(now, waiter) {
		return nil
	}
	return &RejectedError{Reason: Limited, RetryAfter: p.limitRetry(now, server, wait), Expected: wait,
		Server: server.ID, Limit: server.limit.perSecond}
}

// nextPlace returns the server whose permit the request waits for, and the shortest time
// until it gets one. It returns nil if the request waits for anything else.
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
		if permitWait := p.placeWait(now, server, 0); next == nil || permitWait < wait {
			next, wait = server, permitWait
		}
	}
	return next, wait
}

// limitRetry returns the retry delay for a caller that gets no permit in time. Retries
// should arrive at the rate at which permits become valid: each host spaces its rejected
// callers so that the retries of all hosts together match the limit.
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

// Wishes returns the permits to request for the queued requests. A server is not returned
// again until Reserved has been called for it.
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

// wish returns the permits to request at one server; Places is 0 or less if there are none.
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

// wants reports whether the queued request could use a permit at the limited server: if the
// server owns its key or, without keys, if the server would have been the cheapest.
func (p *Pool) wants(waiter *Waiter, server *Server) bool {
	if !waiter.Keyed || p.owner == nil {
		return server.limit.spare
	}
	id, _ := p.owner.OwnerOf(waiter.Key)
	return id == server.ID
}

// reservedPlaces counts the permits that this host holds or has requested at all servers. If
// they were ignored, a request that any server can take would reserve a permit at each
// server and leave none to other hosts.
func (p *Pool) reservedPlaces() int {
	count := 0
	for _, server := range p.servers.order {
		count += len(server.limit.places) + server.limit.asked
	}
	return count
}

// Reserved applies the scheduler's answer.
func (p *Pool) Reserved(now time.Duration, incarnation fleet.Incarnation, reservation Reservation) {
	server := p.running(incarnation)
	if server == nil || !server.limited() {
		return
	}
	l := &server.limit
	l.asked = 0
	if !reservation.Reached {
		l.aloneUntil = now + aloneFor
		p.Pump(now)
		return
	}
	for _, wait := range reservation.Waits {
		due := reservation.Asked + wait
		l.places = append(l.places, place{from: due, until: due + ratelimit.PlaceKept})
	}
	if reservation.Full > 0 {
		l.fullUntil = reservation.Asked + reservation.Full
	}
	p.Pump(now)
}

// Limits returns the number of servers that have a limit, as last set with SetLimits.
func (p *Pool) Limits() int { return len(p.limits) }
