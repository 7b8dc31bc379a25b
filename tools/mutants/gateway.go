package main

// gatewayMutants break the rules by which a host learns of changes in the store.
func gatewayMutants() []mutant {
	in := breaking("gateway", "Relay|NewSource|LateReport|HostWaits|HostThatStarts|WhomAHostAsks|Silent|Behind|SecondStart|Claim|Stopping|UnderWay")
	return []mutant{
		in("freshness.go", "keep watching a source that is no longer followed", "state.source != c.source && state.source != c.sender {", "false {"),
		in("calls.go", "accept a claim after a successor was told that the controller stopped", "if e.record.Term < c.yieldedTerm {", "if false {"),
		in("peers.go", "take over from a host whose claim is in progress", "case e.answer.Incarnation == e.to.Incarnation && e.answer.Claiming:", "case false:"),
		in("stop.go", "accept all requests during shutdown", "return now < p.from+p.acceptAllFor() || deadline <= p.end", "return now < p.from+p.acceptAllFor() || true"),
		in("request.go", "drop requests at shutdown without an answer", "	if g.stop.requestsEnded() {\n		return errorReply(", "	if false {\n		return errorReply("),
		in("freshness.go", "trust a source forever", "f.startingUp(now) || f.isConfirmed(now) && f.isCurrent(name, now)", "f.startingUp(now) || f.hasConfirmation"),
		in("freshness.go", "let a relay depend on other hosts", "	if f.isRelay(now) {\n		return !f.confirmationOverdue(now) && f.isCurrent(name, now)\n	}\n", ""),
		in("freshness.go", "treat a late report as a lost controller", "f.confirmationAge(now) > relayQueryAge && (f.ageOnReceipt > lateConfirmationAge || now-f.receivedAt > confirmationOverdueAfter)", "f.confirmationAge(now) > relayQueryAge"),
		in("freshness.go", "keep watching the store although a source is available", "!state.isLong && f.mayWaitLong(name, now) {\n			state.cancelWatch()\n", "!state.isLong && f.mayWaitLong(name, now) {\n"),
		in("freshness.go", "trust a relay that is behind", "		state.bypassRelay = true\n		state.cancelWatch()\n", ""),
		in("freshness.go", "treat the normal delay of a relay as a fault", "state.source != c.sender && state.behindCount < maxConsecutiveBehind", "state.source != c.sender && state.behindCount < 1"),
		in("watchplan.go", "read the store as soon as a source fails", "	case f.source == \"\" && hasRelays:\n", "	case false:\n"),
		in("freshness.go", "keep a source that failed", "	if f.source == source {\n		f.source = \"\"\n	}\n", ""),
		in("freshness.go", "confirm the state of the store without contact to it", "return f.controlling || f.isRelay(now) || f.age(now) < f.validFor()", "return true || f.age(now) < f.validFor()"),
		in("relay.go", "discard the history at each list", "	if complete && cache.current == nil {", "	if complete {"),
		in("relay.go", "ignore objects that are missing from a list", "		if !present[name] {\n", "		if false {\n"),
		in("sources.go", "ask this host itself", "return address == s.self || address == \"\"", "return address == \"\""),
		in("members.go", "replace a predecessor's relays by the first hosts that report", "	return len(m.inherited) > 0 && now < m.inheritedUntil\n", "	return false\n"),
		in("members.go", "keep a predecessor's relays forever", "	return len(m.inherited) > 0 && now < m.inheritedUntil\n", "	return len(m.inherited) > 0\n"),
		in("members.go", "inherit this host itself as a relay", "return address == self })", "return false })"),
		in("members.go", "name the same relay first for all hosts", "	turn := hashName(host) % uint32(len(relays))\n", "	turn := 0 * hashName(host)\n"),
		in("calls.go", "inherit no relays", "	c.members.inheritRelays(now, e.record.Controller.Relays, g.identity.PeerAddress)\n", ""),
		in("members.go", "select hosts as relays that no longer report", "		if now-each.lastSeen > memberTimeout {\n", "		if now < each.lastSeen-memberTimeout {\n"),
		in("follow.go", "ask no other host while the store is unreachable", "	if err == nil || source == \"\" || ctx.Err() != nil {", "	if true {"),
		in("relist.go", "read the first list at full cost", "	if known == 0 {\n		return g.listAtStartup(ctx, kind)\n	}\n", "	if known == 0 {\n		listing, err := g.store.List(ctx, kind)\n		return g.fetched(listing, readStore, \"\", g.now()), err\n	}\n"),
	}
}
