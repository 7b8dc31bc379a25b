package balance

import (
	"slices"
	"time"

	"cicadarouter/fleet"
	"cicadarouter/ratelimit"
)

// Load pattern: a server announces a limit for all hosts together that is a fraction of its
// demand. Each request then needs a permit, which one host, the scheduler, issues for all. The
// pool tells how many permits its queued requests need (ReservationRequests), is given the
// scheduler's answer (ApplyReservation), and rejects at once the requests that no permit will
// reach in time.

const (
	// schedulerRetryDelay is how long a host that got no answer from the scheduler limits itself
	// to its fallback share before it asks again.
	schedulerRetryDelay = time.Second
	// maxReservation is the most permits requested from the scheduler at once.
	maxReservation = 16
	// maxLimitRetryAfter bounds the retry delay given to a caller that has to wait for a permit or
	// for the end of a backoff: limits and key owners change within seconds.
	maxLimitRetryAfter = 10 * time.Second
	// prefetchWithin is how soon a prefetched permit must become valid: one that is reserved
	// for later requests while other servers serve the queued ones.
	prefetchWithin = 50 * time.Millisecond
)

// serverLimit is the state of a server's limit. The zero value means that there is none.
type serverLimit struct {
	perSecond float64  // 0: not limited
	permits   []permit // permits held by this host, in order of validity
	pending   int      // permits requested and not yet answered
	prefetch  bool     // set if the server would have been cheapest for a request but had no permit
	// refusedUntil is when the next permit becomes valid that the scheduler refused this host.
	refusedUntil time.Duration
	// fallbackUntil is when this host asks the scheduler again after it could not be reached.
	fallbackUntil time.Duration
	fallback      ratelimit.FallbackLimiter
	// lastRetryAt is the retry time given to the last rejected caller.
	lastRetryAt time.Duration
}

// permit is the right to send one request from one time until another.
type permit struct{ validFrom, validUntil time.Duration }

// ReservationRequest asks the scheduler for permits at one server.
type ReservationRequest struct {
	Server  fleet.Incarnation
	Permits int
	// Within is how soon the permits must become valid.
	Within time.Duration
}

// Reservation is the scheduler's answer to a ReservationRequest.
type Reservation struct {
	// Reached is set if the scheduler answered.
	Reached bool
	// RequestedAt is when the question was sent.
	RequestedAt time.Duration
	// Waits tells for each granted permit how long after RequestedAt it becomes valid.
	Waits []time.Duration
	// RefusedWait is how long after RequestedAt the first refused permit would become valid; 0 if
	// all permits were granted.
	RefusedWait time.Duration
}

// SetLimits sets the limits that servers announced, in requests per second, and the number
// of hosts (0: unknown).
func (p *Pool) SetLimits(now time.Duration, limits map[fleet.Incarnation]float64, hosts int) {
	if hosts <= 0 {
		hosts = defaultHostCount
	}
	hadNone := len(p.serverLimits) == 0
	p.serverLimits, p.hostCount = limits, hosts
	if hadNone && len(limits) == 0 {
		return
	}
	for _, server := range p.servers.sorted {
		p.updateLimit(now, server)
	}
	p.Dispatch(now)
}

// updateLimit applies the current limit of a server, if any.
func (p *Pool) updateLimit(now time.Duration, server *Server) {
	perSecond := p.serverLimits[server.Incarnation()]
	switch {
	case perSecond == 0:
		server.limit = serverLimit{}
	case server.limit.perSecond == 0:
		server.limit = serverLimit{perSecond: perSecond, fallback: ratelimit.NewFallbackLimiter(now, p.fallbackInterval(perSecond), p.random.Float64())}
	default:
		server.limit.perSecond = perSecond
	}
}

func (p *Pool) fallbackInterval(perSecond float64) time.Duration {
	return ratelimit.FallbackInterval(perSecond, p.hostCount)
}

// hasLimit reports whether the server has a limit.
func (s *Server) hasLimit() bool { return s.limit.perSecond > 0 }

// usesFallback reports whether the host uses its fallback share because the scheduler could not be
// reached.
func (l *serverLimit) usesFallback(now time.Duration) bool { return now < l.fallbackUntil }

// hasPermit reports whether the server's limit allows this host to send it a request now.
func (p *Pool) hasPermit(now time.Duration, server *Server) bool {
	l := &server.limit
	if !server.hasLimit() {
		return true
	}
	l.permits = slices.DeleteFunc(l.permits, func(each permit) bool { return now > each.validUntil })
	if len(l.permits) > 0 && now >= l.permits[0].validFrom {
		return true
	}
	return l.usesFallback(now) && l.fallback.Wait(now, p.fallbackInterval(l.perSecond)) == 0
}

// mayGetPermit reports whether the scheduler may still grant a permit at the server that
// becomes valid in time for the request.
func (p *Pool) mayGetPermit(now time.Duration, waiter *Waiter, server *Server) bool {
	l := &server.limit
	return !l.usesFallback(now) && l.refusedUntil <= now+p.remainingWait(now, waiter)
}

// takePermit uses up a permit for a request that is sent to the server, if that has a limit.
func (p *Pool) takePermit(now time.Duration, server *Server) {
	l := &server.limit
	switch {
	case !server.hasLimit():
	case len(l.permits) > 0 && now >= l.permits[0].validFrom:
		l.permits = l.permits[1:]
	default:
		l.fallback.Take(p.fallbackInterval(l.perSecond))
	}
}

// permitWait returns the shortest time until the request that is number ahead in the queue
// gets a permit at the server; 0 if there is no limit or nothing is known yet.
func (p *Pool) permitWait(now time.Duration, server *Server, ahead int) time.Duration {
	l := &server.limit
	switch {
	case !server.hasLimit():
		return 0
	case ahead < len(l.permits):
		return max(l.permits[ahead].validFrom-now, 0)
	case l.usesFallback(now):
		interval := p.fallbackInterval(l.perSecond)
		return l.fallback.Wait(now, interval) + time.Duration(ahead-len(l.permits))*interval
	}
	return max(l.refusedUntil-now, 0)
}

// slotsWithinLimit returns how many of the server's slots its limit can keep busy.
func (p *Pool) slotsWithinLimit(server *Server) float64 {
	if !server.hasLimit() {
		return float64(server.Slots)
	}
	return min(float64(server.Slots), server.limit.perSecond*p.meanServiceTime.Seconds())
}

// remainingWait returns how much longer the request may wait for a server.
func (p *Pool) remainingWait(now time.Duration, waiter *Waiter) time.Duration {
	remaining := min(p.maxWait(waiter)-(now-waiter.EnqueuedAt), waiter.Deadline-now-p.serviceTime(waiter.Objective))
	return max(remaining, 0)
}

// checkLimit returns why the request can't be served in time because of servers' limits, or
// nil. If no permit becomes valid in time there is no point in waiting.
func (p *Pool) checkLimit(now time.Duration, waiter *Waiter) *RejectedError {
	server, wait := p.nextPermit(now, waiter)
	if server == nil || wait <= p.remainingWait(now, waiter) {
		return nil
	}
	return &RejectedError{Reason: ServerLimit, RetryAfter: p.limitRetryAfter(now, server, wait), Expected: wait,
		Server: server.ID, Limit: server.limit.perSecond}
}

// nextPermit returns the server whose permit the request waits for, and the shortest time
// until it gets one. It returns nil if the request waits for anything else.
func (p *Pool) nextPermit(now time.Duration, waiter *Waiter) (next *Server, wait time.Duration) {
	if waiter.Keyed && p.owner != nil {
		id, _ := p.owner.OwnerOf(waiter.Key)
		server := p.servers.byID[id]
		if server == nil || !server.hasLimit() || p.hasPermit(now, server) {
			return nil, 0
		}
		return server, p.permitWait(now, server, p.countAhead(now, waiter, id))
	}
	wanted := p.bestPreference(now, waiter, p.servers.sorted)
	for _, server := range p.servers.sorted {
		if p.preference(now, waiter, server) != wanted {
			continue
		}
		if !server.hasLimit() || p.hasPermit(now, server) {
			return nil, 0
		}
		if permitWait := p.permitWait(now, server, 0); next == nil || permitWait < wait {
			next, wait = server, permitWait
		}
	}
	return next, wait
}

// limitRetryAfter returns the retry delay for a caller that gets no permit in time. Retries
// should arrive at the rate at which permits become valid: each host spaces its rejected
// callers so that the retries of all hosts together match the limit.
func (p *Pool) limitRetryAfter(now time.Duration, server *Server, wait time.Duration) time.Duration {
	l := &server.limit
	spacing := time.Duration(float64(p.hostCount) / l.perSecond * float64(time.Second))
	if l.lastRetryAt < now+wait {
		l.lastRetryAt = now + wait + time.Duration(p.random.Float64()*float64(spacing))
	} else {
		l.lastRetryAt += spacing
	}
	l.lastRetryAt = min(l.lastRetryAt, now+maxLimitRetryAfter)
	return max(l.lastRetryAt-now, minRetryAfter)
}

// ReservationRequests returns the permits to request for the queued requests. A server is not
// returned again until ApplyReservation has been called for it.
func (p *Pool) ReservationRequests(now time.Duration) []ReservationRequest {
	if len(p.serverLimits) == 0 {
		return nil
	}
	var requests []ReservationRequest
	for _, server := range p.servers.sorted {
		l := &server.limit
		if !server.hasLimit() || l.pending > 0 || l.usesFallback(now) || !p.hasRoomIgnoringLimit(now, server) {
			continue
		}
		request := p.reservationRequest(now, server)
		l.prefetch = false
		if request.Permits <= 0 || l.refusedUntil > now+request.Within {
			continue
		}
		l.pending = request.Permits
		requests = append(requests, request)
	}
	return requests
}

// reservationRequest returns the permits to request at one server; Permits is 0 or less if there
// are none.
func (p *Pool) reservationRequest(now time.Duration, server *Server) ReservationRequest {
	request := ReservationRequest{Server: server.Incarnation()}
	keyed, unkeyed := 0, 0
	for _, waiter := range p.queue {
		if !p.wantsPermit(waiter, server) {
			continue
		}
		if waiter.Keyed && p.owner != nil {
			keyed++
		} else {
			unkeyed++
		}
		request.Within = max(request.Within, p.remainingWait(now, waiter))
	}
	request.Permits = keyed - len(server.limit.permits)
	if unkeyed > 0 {
		request.Permits = unkeyed - p.reservedPermits()
	}
	if keyed+unkeyed == 0 && server.limit.prefetch && len(server.limit.permits) == 0 {
		request.Permits, request.Within = 1, prefetchWithin
	}
	request.Permits = min(request.Permits, maxReservation)
	return request
}

// wantsPermit reports whether the queued request could use a permit at the limited server: if the
// server owns its key or, without keys, if the server would have been the cheapest.
func (p *Pool) wantsPermit(waiter *Waiter, server *Server) bool {
	if !waiter.Keyed || p.owner == nil {
		return server.limit.prefetch
	}
	id, _ := p.owner.OwnerOf(waiter.Key)
	return id == server.ID
}

// reservedPermits counts the permits that this host holds or has requested at all servers. If
// they were ignored, a request that any server can take would reserve a permit at each
// server and leave none to other hosts.
func (p *Pool) reservedPermits() int {
	count := 0
	for _, server := range p.servers.sorted {
		count += len(server.limit.permits) + server.limit.pending
	}
	return count
}

// ApplyReservation applies the scheduler's answer.
func (p *Pool) ApplyReservation(now time.Duration, incarnation fleet.Incarnation, reservation Reservation) {
	server := p.findServer(incarnation)
	if server == nil || !server.hasLimit() {
		return
	}
	l := &server.limit
	l.pending = 0
	if !reservation.Reached {
		l.fallbackUntil = now + schedulerRetryDelay
		p.Dispatch(now)
		return
	}
	for _, wait := range reservation.Waits {
		due := reservation.RequestedAt + wait
		l.permits = append(l.permits, permit{validFrom: due, validUntil: due + ratelimit.PermitValidity})
	}
	if reservation.RefusedWait > 0 {
		l.refusedUntil = reservation.RequestedAt + reservation.RefusedWait
	}
	p.Dispatch(now)
}

// LimitedServers returns the number of servers that have a limit, as last set with SetLimits.
func (p *Pool) LimitedServers() int { return len(p.serverLimits) }
