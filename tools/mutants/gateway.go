package main

// gatewayMutants break the rules by which a host learns of changes.
func gatewayMutants() []mutant {
	in := breaking("gateway", "Relay|NewSource|LateReport|HostWaits|HostThatStarts|WhomAHostAsks|Silent|Behind|SecondStart|Claim|Stopping|UnderWay")
	return []mutant{
		in("freshness.go", "wait at a source that is not followed any more", "state.source != c.source && state.source != c.sender {", "false {"),
		in("calls.go", "take a claim after its successor was told of the stop", "if e.record.Term < c.yielded {", "if false {"),
		in("peers.go", "take the place of a host that is claiming", "case e.answer.Incarnation == e.to.Incarnation && e.answer.Claiming:", "case false:"),
		in("stop.go", "take everything while stopping", "return now < sure || deadline <= p.end", "return now < sure || true"),
		in("request.go", "end requests at the stop without an answer", "	if g.stop.over() {\n		return refusal(", "	if false {\n		return refusal("),
		in("freshness.go", "trust a source for good", "f.startingUp(now) || f.isConfirmed(now)", "f.startingUp(now) || f.hasConfirmation"),
		in("freshness.go", "let a relay wait for others", "	if f.isRelay(now) {\n		return !f.confirmationOverdue(now)\n	}\n", ""),
		in("freshness.go", "take a late report for a lost controller", "f.confirmationAge(now) > relayQueryAge && (f.ageOnReceipt > lateConfirmationAge || now-f.receivedAt > confirmationOverdueAfter)", "f.confirmationAge(now) > relayQueryAge"),
		in("freshness.go", "stay with the store though a source has spoken", "!state.isLong && f.mayWaitLong(name, now) {\n			state.cancelWatch()\n", "!state.isLong && f.mayWaitLong(name, now) {\n"),
		in("freshness.go", "believe a relay that is behind", "		state.bypassRelay = true\n		state.cancelWatch()\n", ""),
		in("freshness.go", "take the lag of a relay for a fault", "state.source != c.sender && state.behindCount < maxConsecutiveBehind", "state.source != c.sender && state.behindCount < 1"),
		in("watchplan.go", "go to the store as soon as a source fails", "	case f.source == \"\" && hasRelays:\n", "	case false:\n"),
		in("freshness.go", "stay with a source that failed", "	if f.source == source {\n		f.source = \"\"\n	}\n", ""),
		in("freshness.go", "vouch without the store", "return f.controlling || f.isRelay(now) || f.age(now) < f.validFor()", "return true || f.age(now) < f.validFor()"),
		in("relay.go", "make an end of what is known at each list", "	if complete && cache.current == nil {", "	if complete {"),
		in("relay.go", "overlook what is missing from a list", "		if !present[name] {\n", "		if false {\n"),
		in("sources.go", "ask oneself", "return address == s.self || address == \"\"", "return address == \"\""),
		in("members.go", "name hosts that do not report any more", "		if now-each.seen > memberKept {\n", "		if now < each.seen-memberKept {\n"),
		in("follow.go", "ask nobody while the store is away", "	if err == nil || source == \"\" || ctx.Err() != nil {", "	if true {"),
		in("follow.go", "list at the full price", "	if known == 0 {\n		return g.listAtStartup(ctx, kind)\n	}\n", "	if known == 0 {\n		return g.store.List(ctx, kind)\n	}\n"),
	}
}
