package main

// gatewayMutants break the rules by which a host learns of changes in the store.
func gatewayMutants() []mutant {
	in := breaking("gateway", "Relay|NewSource|LateReport|HostWaits|HostThatStarts|WhomAHostAsks|Silent|Behind|SecondStart|Claim|Stopping|UnderWay")
	return []mutant{
		in("freshness.go", "keep watching a source that is no longer followed", "state.source != w.source && state.source != w.teller {", "false {"),
		in("calls.go", "accept a claim after a successor was told that the controller stopped", "if e.record.Term < c.yieldedTerm {", "if false {"),
		in("peers.go", "take over from a host whose claim is in progress", "case e.answer.Incarnation == e.to.Incarnation && e.answer.Claiming:", "case false:"),
		in("stop.go", "accept all requests during shutdown", "return now < acceptAllUntil || deadline <= p.end", "return now < acceptAllUntil || true"),
		in("request.go", "drop requests at shutdown without an answer", "	if g.stop.requestsEnded() {\n		return errorReply(", "	if false {\n		return errorReply("),
		in("freshness.go", "trust a source forever", "f.starting(now) || f.vouchedNow(now)", "f.starting(now) || f.heard"),
		in("freshness.go", "let a relay depend on other hosts", "	if f.relaying(now) {\n		return !f.doubtful(now)\n	}\n", ""),
		in("freshness.go", "treat a late report as a lost controller", "f.wordAge(now) > relayAfter && (f.toldAge > oldWord || now-f.toldAt > nextWord)", "f.wordAge(now) > relayAfter"),
		in("freshness.go", "keep watching the store although a source is available", "!state.long && f.trusted(name, now) {\n			state.cancel()\n", "!state.long && f.trusted(name, now) {\n"),
		in("freshness.go", "trust a relay that is behind", "		state.direct = true\n		state.cancel()\n", ""),
		in("freshness.go", "treat the normal delay of a relay as a fault", "state.source != w.teller && state.behind < relayLag", "state.source != w.teller && state.behind < 1"),
		in("watchplan.go", "read the store as soon as a source fails", "	case f.source == \"\" && hasRelays:\n", "	case false:\n"),
		in("freshness.go", "keep a source that failed", "	if f.source == source {\n		f.source = \"\"\n	}\n", ""),
		in("freshness.go", "confirm the state of the store without contact to it", "return f.leads || f.relaying(now) || f.age(now) < f.vouchedFor()", "return true || f.age(now) < f.vouchedFor()"),
		in("relay.go", "discard the history at each list", "	if complete && known.current == nil {", "	if complete {"),
		in("relay.go", "ignore objects that are missing from a list", "		if !present[name] {\n", "		if false {\n"),
		in("sources.go", "ask this host itself", "return address == s.self || address == \"\"", "return address == \"\""),
		in("members.go", "select hosts as relays that no longer report", "		if now-each.lastSeen > memberTimeout {\n", "		if now < each.lastSeen-memberTimeout {\n"),
		in("follow.go", "ask no other host while the store is unreachable", "	if err == nil || source == \"\" || ctx.Err() != nil {", "	if true {"),
		in("follow.go", "read the first list at full cost", "	if known == 0 {\n		return g.firstList(ctx, kind)\n	}\n", "	if known == 0 {\n		return g.store.List(ctx, kind)\n	}\n"),
	}
}
