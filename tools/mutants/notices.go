package main

// noticeMutants break the rules by which hosts heed what servers tell of themselves.
func noticeMutants() []mutant {
	wire := breaking("platform", ".")
	host := breaking("gateway", "SaysItLeaves|TellEachOtherThatAServer|StaysAfterAll|HostThatStartsIs")
	pool := breaking("balance", "Overdue")
	rest := breaking("balance", "Backoff")
	resting := breaking("gateway", "RestGets|RestIsOver|ServerThatAsksForRest")
	return []mutant{
		wire("headers.go", "take any value for leaving", "if strings.TrimSpace(text) != leaving {", `if strings.TrimSpace(text) == "" {`),
		wire("headers.go", "take rest of any status", "if status == http.StatusServiceUnavailable {", "if true {"),
		wire("headers.go", "take rest of any length", " || seconds > mostRest", ""),
		wire("keys.go", "drop notices of grants", "	notice := readNotice(response.StatusCode, response.Header)\n	switch", "	notice := adapter.Notice{}\n	switch"),
		wire("keys.go", "call every answer healthy", "Healthy: status == http.StatusOK", "Healthy: true"),
		host("gateway.go", "do not heed that a server leaves", "server.Draining = server.Draining || g.leaving.value(server.Incarnation())", "_ = server.Draining"),
		host("leaving.go", "distribute nothing when a server leaves", "	g.directoryChanged() // which", "	g.nudge() // which"),
		host("leaving.go", "tell the controller nothing", "	report.Leaving, upTo = g.leaving.tell(g.now(), c.news.leaving.told)\n", "	_, upTo = g.leaving.tell(g.now(), c.news.leaving.told)\n"),
		host("peers.go", "tell other hosts nothing", "	answer.Leaving, answer.LeavingUpTo = g.leaving.tell(g.now(), report.KnownLeaving)\n", ""),
		host("leaving.go", "never doubt that a server leaves", "now-g.leavingAsked < askLeavingEvery", "true"),
		rest("rest.go", "let a shorter rest end a longer one", "max(r.until, now+length), true", "now+length, true"),
		rest("rest.go", "send to a server that rests", "return s.BackoffLeft(now) == 0 && !(", "return !("),
		rest("rest.go", "send all at once after a rest", "&& !(s.backoff.probing && s.inFlight > 0)", ""),
		rest("rest.go", "try a server only once after its first rest", "if s.BackoffLeft(now) == 0 {\n		s.backoff.probing", "if true {\n		s.backoff.probing"),
		rest("rest.go", "let requests wait for the end of any rest", "if left <= p.remainingWait(now, waiter) {", "if true {"),
		rest("rest.go", "tell all callers to come back at once", "	r.nextRetryAt = retryAt + server.expectedInterval(p.meanServiceTime)\n", ""),
		rest("pool.go", "leave waiting requests to a server that rests", "p.rejectOnServerNotices(now, waiter) || ", ""),
		rest("pool.go", "wait for a server that rests while others have room", "	case server.BackoffLeft(now) > 0:\n		return backingOff\n", ""),
		breaking("gateway", "KeysOfAServerThatRests")("members.go", "leave the keys of a server that rests", "	return 1 - float64(resting)", "	return 1 - 0*float64(resting)"),
		breaking("gateway", "UnreadableNotice")("notices.go", "take what can't be read for nothing", "		h.ran, h.healthy = false, false // what", "		// what"),
		breaking("gateway", "LimitsThatCome")("limits.go", "tell services of limits in any order", "	g.applyingLimits.Lock()\n	defer g.applyingLimits.Unlock()\n", ""),
		resting("rest.go", "tell no service of a rest", "		s.rest(h.server, h.Rest)\n", "		_ = s\n"),
		pool("reject.go", "call a move that is overdue due at once", "return max(now-since, drainGrace)", "return drainGrace"),
	}
}
