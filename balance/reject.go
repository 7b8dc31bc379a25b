package balance

import "time"

// checkAdmission returns a rejection if the request can't be served in time. If it were left
// waiting until its deadline, its caller could not try elsewhere.
func (p *Pool) checkAdmission(now time.Duration, waiter *Waiter) *RejectedError {
	if waiter.Keyed && p.owner != nil {
		return p.checkOwner(now, waiter)
	}
	capacity, mayWait := 0.0, false
	for _, server := range p.servers.sorted {
		switch {
		case server.Leaving():
		case server.BackoffLeft(now) > 0:
			mayWait = true
		case p.isCutOff(server):
			mayWait = true
		default:
			capacity += p.slotsWithinLimit(server)
		}
		if capacity > 0 && len(p.queue) == 0 {
			return nil
		}
	}
	if capacity == 0 && mayWait {
		return nil // wait for the end of the first backoff, or try the servers that are cut off
	}
	if capacity == 0 {
		return &RejectedError{Reason: NoServer, RetryAfter: time.Second}
	}
	// Other hosts use the same servers; the interval between this host's own assignments
	// shows how much capacity they leave.
	interval := max(p.startInterval, time.Duration(float64(p.meanServiceTime)/capacity))
	return p.checkWait(now, waiter, interval*time.Duration(p.countAhead(now, waiter, "")))
}

// checkOwner checks a request that must go to the owner of its key.
func (p *Pool) checkOwner(now time.Duration, waiter *Waiter) *RejectedError {
	id, ownedAt := p.owner.OwnerOf(waiter.Key)
	server := p.servers.byID[id]
	if server != nil && p.isCutOff(server) {
		return p.rejectionForCutOff(now, server)
	}
	if server != nil && p.closedToOwnedKeys(now, server) {
		server, ownedAt = nil, now+p.overdueMoveWait(now, server)
	}
	if server != nil && server.unreachable(now) {
		return &RejectedError{Reason: NoOwner, RetryAfter: clampRetryAfter(server.suspectUntil - now), Expected: server.suspectUntil - now}
	}
	if server != nil {
		if rejected := p.checkKeyShare(now, waiter); rejected != nil {
			return rejected
		}
		ahead := time.Duration(p.countAhead(now, waiter, id))
		cold := p.coldWait(now, server)
		rejected := p.checkWait(now, waiter, max(cold, server.BackoffLeft(now)+server.expectedInterval(p.meanServiceTime)*ahead, server.expectedFailedWait(now)*(ahead+1)))
		if rejected != nil && cold > 0 && rejected.Expected == cold {
			rejected.Reason = ColdOwner
		}
		return rejected
	}
	expected := ownerMoveWait
	if ownedAt > 0 {
		expected = ownedAt - now
	}
	if now+expected+p.minServiceTime(waiter) > waiter.Deadline || ownedAt > 0 && expected > ownerMoveWait {
		return &RejectedError{Reason: NoOwner, RetryAfter: clampRetryAfter(expected), Expected: expected}
	}
	return nil
}

// overdueMoveWait estimates the time until the keys of a server that drains or is evacuated have
// another owner. A move that should have ended is expected to take as long again as it has
// lasted, for example because the store is down.
func (p *Pool) overdueMoveWait(now time.Duration, server *Server) time.Duration {
	since := now
	if server.Draining {
		since = min(since, server.drainingSince)
	}
	if server.Evacuated {
		since = min(since, server.evacuatedSince)
	}
	return max(now-since, drainGrace)
}

// countAhead counts the queued requests that go first; if id is set, only those for keys that
// this server owns.
func (p *Pool) countAhead(now time.Duration, waiter *Waiter, id string) int {
	n := 0
	for _, other := range p.queue {
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

// checkWait rejects a request whose expected wait exceeds its deadline, or is so long that a
// later request would make better use of the slot. Under lasting overload the number of
// served requests is the same either way, but those served are answered within their
// objective.
func (p *Pool) checkWait(now time.Duration, waiter *Waiter, expected time.Duration) *RejectedError {
	allowed := min(p.maxWait(waiter), waiter.Deadline-now-p.serviceTime(waiter.Objective))
	if expected <= max(allowed, 0) && len(p.queue) < maxQueue {
		return nil
	}
	return &RejectedError{Reason: Overload, RetryAfter: clampRetryAfter(expected), Expected: expected}
}

// maxWait returns how long the request may wait for a server and still be answered within
// its objective, which counts from the caller's first attempt.
func (p *Pool) maxWait(waiter *Waiter) time.Duration {
	work := p.serviceTime(waiter.Objective)
	return max(waiter.firstAttemptAt+waiter.Objective-waiter.Arrived-work, work/2)
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
