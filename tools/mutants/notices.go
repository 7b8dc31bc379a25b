package main

// noticeMutants returns mutants that break how hosts handle the notices in servers' responses.
func noticeMutants() []mutant {
	wire := breaking("platform", ".")
	host := breaking("gateway", "SaysItLeaves|TellEachOtherThatAServer|StaysAfterAll|HostThatStartsIs")
	pool := breaking("balance", "Overdue")
	rest := breaking("balance", "Backoff")
	backoff := breaking("gateway", "BackoffGets|BackoffIsOver|ServerThatAsksForBackoff")
	return []mutant{
		wire("headers.go", "accept any value as leaving", "if strings.TrimSpace(text) != leavingValue {", `if strings.TrimSpace(text) == "" {`),
		wire("headers.go", "accept a backoff with any status", "if status == http.StatusServiceUnavailable {", "if true {"),
		wire("headers.go", "accept a backoff of any length", " || seconds > maxBackoffSeconds", ""),
		wire("keys.go", "ignore notices in responses to grants", "	notice := readNotice(response.StatusCode, response.Header)\n	switch", "	notice := adapter.Notice{}\n	switch"),
		wire("keys.go", "report every health response as healthy", "Healthy: status == http.StatusOK", "Healthy: true"),
		host("gateway.go", "ignore that a server is leaving", "server.Draining = server.Draining || g.leavingServers.value(server.Incarnation())", "_ = server.Draining"),
		host("leaving.go", "do not update services when a server is leaving", "	g.directoryChanged() // also", "	g.wakeControl() // also"),
		host("leaving.go", "do not report leaving servers to the controller", "	report.Leaving, upTo = g.leavingServers.changesSince(g.now(), c.exchanges.leaving.acknowledged)\n", "	_, upTo = g.leavingServers.changesSince(g.now(), c.exchanges.leaving.acknowledged)\n"),
		host("peers.go", "do not tell other hosts about leaving servers", "	answer.Leaving, answer.LeavingUpTo = g.leavingServers.changesSince(g.now(), report.KnownLeaving)\n", ""),
		host("leaving.go", "never check a leaving server whose entry says ready", "now-g.leavingProbedAt < recheckLeavingInterval", "true"),
		rest("rest.go", "let a shorter backoff replace a longer one", "max(r.until, now+length), true", "now+length, true"),
		rest("rest.go", "send to a server during its backoff", "return s.BackoffLeft(now) == 0 && !(", "return !("),
		rest("rest.go", "send all requests at once after a backoff", "&& !(s.backoff.probing && s.inFlight > 0)", ""),
		rest("rest.go", "end the trial after a backoff on a response to an earlier request", "if s.BackoffLeft(now) == 0 {\n		s.backoff.probing", "if true {\n		s.backoff.probing"),
		rest("rest.go", "let requests wait for the end of any backoff", "if left <= p.remainingWait(now, waiter) {", "if true {"),
		rest("rest.go", "tell all callers to retry at the same time", "	r.nextRetryAt = retryAt + server.expectedInterval(p.meanServiceTime)\n", ""),
		rest("pool.go", "keep requests waiting for a server during its backoff", "p.rejectOnServerNotices(now, waiter) || ", ""),
		rest("pool.go", "wait for a server in backoff while others have capacity", "	case server.BackoffLeft(now) > 0:\n		return backingOff\n", ""),
		breaking("gateway", "KeysOfAServerInBackoff")("members.go", "keep the keys of a server in backoff", "	return 1 - float64(resting)", "	return 1 - 0*float64(resting)"),
		breaking("gateway", "UnreadableNotice")("notices.go", "treat an unreadable notice as omitted", "		h.ran, h.healthy = false, false // an", "		// an"),
		breaking("gateway", "LimitsThatCome")("limits.go", "apply limits to services in any order", "	g.applyLimitsMu.Lock()\n	defer g.applyLimitsMu.Unlock()\n", ""),
		backoff("rest.go", "ignore a requested backoff", "		s.backOff(h.from, h.Rest)\n", "		_ = s\n"),
		pool("reject.go", "report an overdue move as due at once", "return max(now-since, drainGrace)", "return drainGrace"),
	}
}
