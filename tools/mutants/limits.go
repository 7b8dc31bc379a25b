package main

// limitMutants break the rules by which hosts together keep to the limits that servers name.
func limitMutants() []mutant {
	told := breaking("notice", ".")
	in := breaking("ratelimit", ".")
	pool := breaking("balance", "Limit|Permit|Fallback|Suspected|AtOnce|RejectedOnBackoff")
	host := breaking("gateway", "LimitOfAServer|KeyedServices|RestartedServer|NewScheduler")
	return []mutant{
		told("ledger.go", "end a limit by an answer that was in flight", "return u.SentAt >= current.ReceivedAt", "return u.ReceivedAt >= current.ReceivedAt"),
		told("ledger.go", "accept reports in any order", "	}\n	return u.ReceivedAt > current.ReceivedAt", "	}\n	return true"),
		told("ledger.go", "let the order of reports decide which one wins", "return u.ReceivedAt > current.SentAt", "return u.ReceivedAt > current.ReceivedAt"),
		told("ledger.go", "keep any number of servers", " || len(l.latest) >= maxServers", ""),
		told("ledger.go", "send all limits again", "if current.change > since {", "if true {"),
		told("ledger.go", "drop the age of a report", "ReceivedAt: now - time.Duration(p.ReceivedAgoMs)*time.Millisecond", "ReceivedAt: now"),
		in("schedule.go", "accumulate permits for seconds", "burstAllowance = 250 * time.Millisecond", "burstAllowance = 4 * time.Second"),
		in("schedule.go", "issue a permit at once after taking over", "s.next, s.started = now+interval(perSecond), true", "s.started = true"),
		in("schedule.go", "space permits from the time of the request", "s.next = due + interval(perSecond)", "s.next = now + interval(perSecond)"),
		in("schedule.go", "issue permits that are due too late", "if wait > within {", "if false {"),
		in("schedule.go", "use the whole limit without the schedule", "fallbackShare = 0.2", "fallbackShare = 1.0"),
		in("schedule.go", "keep unused permits of the equal part", "fallbackValidity = time.Second", "fallbackValidity = time.Hour"),
		pool("limited.go", "use a permit twice", "l.permits = l.permits[1:]", "_ = l"),
		pool("limited.go", "use permits that have expired", "return now > each.validUntil", "return false"),
		pool("limited.go", "use the equal part although the schedule is reachable", "return l.usesFallback(now) && l.fallback", "return l.fallback"),
		pool("limited.go", "use a permit of the equal part twice", "		l.fallback.Take(p.fallbackInterval(l.perSecond))", "		_ = l.fallback"),
		pool("limited.go", "reserve permits for each request at each server", "request.Permits = unkeyed - p.reservedPermits()", "request.Permits = unkeyed"),
		pool("limited.go", "wait although no permit is due in time", "if server == nil || wait <= p.remainingWait(now, waiter) {", "if true {"),
		pool("limited.go", "tell all callers to retry at the same time", "		l.lastRetryAt += spacing\n", ""),
		pool("pool.go", "ignore limits when servers are listed", "	p.updateColdBucket(now, server)\n	p.updateLimit(now, server)\n", "	p.updateColdBucket(now, server)\n"),
		pool("cold.go", "treat a limited server as unlimited", "if server.hasLimit() {", "if false {"),
		pool("cold.go", "suspect servers without a start time", " || incarnation.Start == 0", ""),
		pool("cold.go", "keep suspecting a server after its report", "server.assumedColdUntil, server.reportedColdUntil = 0, now+coldFor", "server.reportedColdUntil = now + coldFor"),
		host("limits.go", "do not apply limits", "	g.applyLimits()\n	g.wakeControl()", "	g.wakeControl()"),
		host("places.go", "schedule while a predecessor may schedule", " || len(c.machine.UnfencedPredecessors(now)) > 0", ""),
		host("coordination.go", "run no controller without keyed services", "if len(g.keyedServices()) == 0 {", "if false {"),
		host("cold.go", "do not suspect a server that closed a connection", "if ctx.Err() != nil || !req.service.suspectRestart(server) {", "if true {"),
	}
}
