package balance

import "time"

// hopeless reports a request that can't be served in time: to let it wait
// until its deadline would keep its caller from trying elsewhere.
func (p *Pool) hopeless(now time.Duration, waiter *Waiter) *RejectedError {
	if waiter.Keyed && p.owner != nil {
		return p.ownerless(now, waiter)
	}
	capacity, rests := 0.0, false
	for _, server := range p.servers.order {
		switch {
		case server.Leaving():
		case server.RestLeft(now) > 0:
			rests = true
		default:
			capacity += p.slotsWithinLimit(server)
		}
		if capacity > 0 && len(p.waiting) == 0 {
			return nil
		}
	}
	if capacity == 0 && rests {
		return nil // until the first rest is over
	}
	if capacity == 0 {
		return &RejectedError{Reason: NoServer, RetryAfter: time.Second}
	}
	// Other hosts use the servers as well; how much they leave shows in the pace.
	pace := max(p.gap, time.Duration(float64(p.mean)/capacity))
	return p.crowded(now, waiter, pace*time.Duration(p.ahead(now, waiter, "")))
}

// ownerless checks a request whose key must have an owner.
func (p *Pool) ownerless(now time.Duration, waiter *Waiter) *RejectedError {
	id, back := p.owner.OwnerOf(waiter.Key)
	server := p.servers.byID[id]
	if server != nil && p.left(now, server) {
		server, back = nil, now+p.overdue(now, server)
	}
	if server != nil && server.silent(now) {
		return &RejectedError{Reason: NoOwner, RetryAfter: clampRetry(server.suspect - now), Expected: server.suspect - now}
	}
	if server != nil {
		if rejected := p.beyondShare(now, waiter); rejected != nil {
			return rejected
		}
		ahead := time.Duration(p.ahead(now, waiter, id))
		cold := p.coldWait(now, server)
		rejected := p.crowded(now, waiter, max(cold, server.RestLeft(now)+server.pace(p.mean)*ahead, server.stalled(now)*(ahead+1)))
		if rejected != nil && cold > 0 && rejected.Expected == cold {
			rejected.Reason = ColdOwner
		}
		return rejected
	}
	expected := ownerWait
	if back > 0 {
		expected = back - now
	}
	if now+expected+p.leastWork(waiter) > waiter.Deadline || back > 0 && expected > ownerWait {
		return &RejectedError{Reason: NoOwner, RetryAfter: clampRetry(expected), Expected: expected}
	}
	return nil
}

// overdue returns when the keys of a server that has left may have another owner. A move that
// should have ended takes as long again as it has lasted: the store may be away.
func (p *Pool) overdue(now time.Duration, server *Server) time.Duration {
	since := now
	if server.Draining {
		since = min(since, server.leavingAt)
	}
	if server.Evacuated {
		since = min(since, server.evacuatedAt)
	}
	return max(now-since, leaveWithin)
}

// ahead counts the waiting requests that go first, of one owner's if id is given.
func (p *Pool) ahead(now time.Duration, waiter *Waiter, id string) int {
	n := 0
	for _, other := range p.waiting {
		if other.decided() || other == waiter || p.compare(now, other, waiter) > 0 {
			continue
		}
		if id != "" {
			if owner, _ := p.owner.OwnerOf(other.Key); owner != id {
				continue
			}
		}
		n++
	}
	return n
}

// crowded rejects a request whose wait behind others doesn't fit its deadline,
// or is so long that its turn is worth more to one that comes later: under
// lasting overload as many are served either way, but those that are get their
// answer within the objective.
func (p *Pool) crowded(now time.Duration, waiter *Waiter, expected time.Duration) *RejectedError {
	most := min(p.longest(waiter), waiter.Deadline-now-p.work(waiter.Objective))
	if expected <= max(most, 0) && len(p.waiting) < mostWaiting {
		return nil
	}
	return &RejectedError{Reason: Overload, RetryAfter: clampRetry(expected), Expected: expected}
}

// longest is how long a request may wait for a server: as long as it can be
// answered within its objective, counted from its caller's first attempt.
func (p *Pool) longest(waiter *Waiter) time.Duration {
	work := p.work(waiter.Objective)
	return max(waiter.since+waiter.Objective-waiter.Arrived-work, work/2)
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, leastRetryAfter), mostRetryAfter) }
