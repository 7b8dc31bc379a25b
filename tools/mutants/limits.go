package main

// limitMutants break the rules by which hosts together keep to the limits that servers name.
func limitMutants() []mutant {
	told := breaking("notice", ".")
	in := breaking("ratelimit", ".")
	pool := breaking("balance", "Limit|Place|Turn|Others|Doubted")
	host := breaking("gateway", "LimitOfAServer|KeyedServices|RestartedServer|NewScheduler")
	return []mutant{
		told("ledger.go", "end a limit by an answer under way", "return n.Sent >= known.Heard", "return n.Heard >= known.Heard"),
		told("ledger.go", "take news in any order", "	}\n	return n.Heard > known.Heard", "	}\n	return true"),
		told("ledger.go", "agree only if the same news comes first", "return n.Heard > known.Sent", "return n.Heard > known.Heard"),
		told("ledger.go", "keep any number of servers", " || len(l.known) >= mostServers", ""),
		told("ledger.go", "tell everything again", "if known.change > since {", "if true {"),
		told("ledger.go", "lose the age of news", "Heard: now - time.Duration(t.HeardAgo)*time.Millisecond", "Heard: now"),
		in("schedule.go", "save places for seconds", "savedFor = 250 * time.Millisecond", "savedFor = 4 * time.Second"),
		in("schedule.go", "give a place at once on taking over", "s.next, s.begun = now+interval(perSecond), true", "s.begun = true"),
		in("schedule.go", "count from when places are asked for", "s.next = due + interval(perSecond)", "s.next = now + interval(perSecond)"),
		in("schedule.go", "give places that are due too late", "if wait > within {", "if false {"),
		in("schedule.go", "keep to all of the limit when alone", "aloneShare = 0.2", "aloneShare = 1.0"),
		in("schedule.go", "save turns", "turnKept = time.Second", "turnKept = time.Hour"),
		pool("limited.go", "use a place twice", "l.places = l.places[1:]", "_ = l"),
		pool("limited.go", "use places for good", "return now > place.until", "return false"),
		pool("limited.go", "use a turn although the schedule answers", "return l.alone(now) && l.turn", "return l.turn"),
		pool("limited.go", "use a turn twice", "		l.turn.Take(p.turnInterval(l.perSecond))", "		_ = l.turn"),
		pool("limited.go", "reserve places for each request at each server", "wish.Places = unkeyed - p.reservedPlaces()", "wish.Places = unkeyed"),
		pool("limited.go", "wait although no place is due in time", "if server == nil || wait <= p.patience(now, waiter) {", "if true {"),
		pool("limited.go", "tell all callers to come back at once", "		l.retryAt += spacing\n", ""),
		pool("pool.go", "forget limits when servers are listed", "	p.noteCold(now, server)\n	p.noteLimit(now, server)\n", "	p.noteCold(now, server)\n"),
		pool("cold.go", "leave a limited server its keys", "if server.limited() {", "if false {"),
		pool("cold.go", "doubt servers that use an ID once", " || incarnation.Start == 0", ""),
		pool("cold.go", "go on doubting a server that told", "server.doubtUntil, server.toldColdUntil = 0, now+coldFor", "server.toldColdUntil = now + coldFor"),
		host("limits.go", "do not decide by limits", "	g.applyLimits()\n	g.nudge()", "	g.nudge()"),
		host("places.go", "schedule beside a predecessor", " || len(c.machine.Unproven(now)) > 0", ""),
		host("coordination.go", "leave hosts without keys alone", "if len(g.keyedServices()) == 0 {", "if false {"),
		host("cold.go", "trust a server that ended a connection", "if ctx.Err() != nil || !req.service.suspectRestart(server) {", "if true {"),
	}
}
