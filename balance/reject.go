package balance

import "time"

// hopeless returns a rejection if the request can't be served in time. If it were left
// waiting until its deadline, its caller could not try elsewhere.
func (p *Pool) hopeless(now time.Duration, waiter *Waiter) *RejectedError {
	if waiter.Keyed && p.owner != nil {
		return p.ownerless(now, waiter)
	}
	capacity, inBackoff := 0.0, false
	for _, server := range p.servers.order {
		switch {
		case server.Leaving():
		case server.RestLeft(now) > 0:
			inBackoff = true
		default:
			capacity += p.slotsWithinLimit(server)
		}
		if capacity > 0 && len(p.waiting) == 0 {
			return nil
		}
	}
	if capacity == 0 && inBackoff {
		return nil // wait for the end of the first backoff
	}
	if capacity == 0 {
		return &RejectedError{Reason: NoServer, RetryAfter: time.Second}
	}
	// Other hosts use the same servers; the interval between this host's own assignments
	// shows how much capacity they leave.
	interval := max(p.gap, time.Duration(float64(p.mean)/capacity))
	return p.crowded(now, waiter, interval*time.Duration(p.ahead(now, waiter, "")))
}

// ownerless checks a request that must go to the owner of its key.
func (p *Pool) ownerless(now time.Duration, waiter *Waiter) *RejectedError {
	id, ownedAt := p.owner.OwnerOf(waiter.Key)
	server := p.servers.byID[id]
	if server != nil && p.left(now, server) {
		server, ownedAt = nil, now+p.overdue(now, server)
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
	if ownedAt > 0 {
		expected = ownedAt - now
	}
	if now+expected+p.leastWork(waiter) > waiter.Deadline || ownedAt > 0 && expected > ownerWait {
		return &RejectedError{Reason: NoOwner, RetryAfter: clampRetry(expected), Expected: expected}
	}
	return nil
}

// overdue estimates the time until the keys of a server that drains or is evacuated have
// another owner. A move that should have ended is expected to take as long again as it has
// lasted, for example because the store is down.
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

// ahead counts the queued requests that go first; if id is set, only those for keys that
// this server owns.
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

// crowded rejects a request whose expected wait exceeds its deadline, or is so long that a
// later request would make better use of the slot. Under lasting overload the number of
// served requests is the same either way, but those served are answered within their
// objective.
func (p *Pool) crowded(now time.Duration, waiter *Waiter, expected time.Duration) *RejectedError {
	allowed := min(p.longest(waiter), waiter.Deadline-now-p.work(waiter.Objective))
	if expected <= max(allowed, 0) && len(p.waiting) < mostWaiting {
		return nil
	}
	return &RejectedError{Reason: Overload, RetryAfter: clampRetry(expected), Expected: expected}
}

// longest returns how long the request may wait for a server and still be answered within
// its objective, which counts from the caller's first attempt.
func (p *Pool) longest(waiter *Waiter) time.Duration {
	work := p.work(waiter.Objective)
	return max(waiter.since+waiter.Objective-waiter.Arrived-work, work/2)
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, leastRetryAfter), mostRetryAfter) }
