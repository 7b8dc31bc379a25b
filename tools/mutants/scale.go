package main

// scaleMutants break the rules that keep a host's costs from growing with the fleet.
func scaleMutants() []mutant {
	choice := breaking("balance", "Choice|LastServer|Roster")
	host := breaking("gateway", "CostOfAChange|ServerOfAnother|FarBehind|RelayTellsDeletions|ListsPass|FollowersGrow|NamedAnew|FirstReports|Reserves|OneHostReads|FirstAssignment|EarlierHosts|SlowCallers|ReadAhead|ThoughItsCaller")
	keys := breaking("keyspace", "FirstClaim|FirstAssignment|CallsToThousands|SlowAnswers|RecordsAre|ColumnsThat")
	entries := breaking("fleet", "Changes|Entries|Texts")
	return []mutant{
		choice("roster.go", "look at all servers", "	if len(r.order) <= allLooked {\n		return r.order, true\n	}\n	r.drawn", "	if len(r.order) > 0 {\n		return r.order, true\n	}\n	r.drawn"),
		choice("pool.go", "look at no others if the drawn ones are full", "	every := p.servers.order\n", "	every := drawn\n"),
		choice("roster.go", "offer servers that are gone", "	r.recent = without(r.recent, server)\n}", "}"),
		entries("fleet.go", "tell all servers at each change", "	clear(d.changed)\n", "	d.TouchAll()\n"),
		entries("fleet.go", "keep entries that came back among those that fade", "	delete(d.fading, version.ID)\n	d.Touch", "	d.fading[version.ID] = known\n	d.Touch"),
		entries("text.go", "forget that a server leaves", "	if s.Draining {\n		state = entryDraining\n	}\n", ""),
		host("gateway.go", "hand a service the servers of others", "		if server.Service != service {", "		if false {"),
		host("relay.go", "keep all deletions", "	forget := k.gone - mostGone", "	forget := 0"),
		host("relay.go", "forget deletions without saying so", "			k.floor = max(k.floor, step.listed)\n", ""),
		host("relay.go", "tell all changes in one answer", "		if i >= mostTold && step", "		if false && step"),
		host("relay.go", "tell the last of a page twice", "	if found {\n		from++\n	}\n", "	_ = found\n"),
		host("relay.go", "tell earlier hosts what they can't read", "	if !ok || !request.Columns {", "	if !ok {"),
		host("members.go", "name two relays a domain", "	return max(relaysPerDomain, int", "	return min(relaysPerDomain, int"),
		host("members.go", "name relays once a second only", " && len(m.hosts) < 2*m.selectedFrom", ""),
		host("control.go", "report to a new controller at once", "	return hashedDelay(spread, g.identity.Host+c.service.name)\n", "	return 0 * spread\n"),
		host("retries.go", "give each host the reserve of a small fleet", "	most := min(max(each/2, leastRetryReserve), mostRetryReserve)", "	most := float64(mostRetryReserve)"),
		host("firstservers.go", "read the entries in the store", "	until := g.now() + hostsWait + g.storeTurn()\n", "	until := g.now()\n"),
		host("control.go", "assign keys to the servers that come first", "	if now-c.serverCountSince < registrationQuietTime && now-c.controllerSince < maxWait {", "	if now-c.serverCountSince < 0 && now-c.controllerSince < maxWait {"),
		host("readahead.go", "hold whatever callers do not read", "		case a.held+readAheadChunk <= mostReadAhead && a.quota.take(readAheadChunk):", "		case true:"),
		host("readahead.go", "keep what a caller that left held", "	a.give(a.held)\n", ""),
		keys("first.go", "assign keys without authority", " || !m.Authority(now) {", " {"),
		keys("first.go", "assign keys that others may hold", "	if forgotten {", "	if forgotten && false {"),
		keys("machine.go", "call all servers at once", "		if m.underWay+len(calls) >= mostCalls {", "		if false {"),
		keys("machine.go", "call the first servers again and again", "			m.turn = (m.turn + i) % len(ranges)\n", ""),
		keys("answers.go", "renew all ranges together", "			l.next = began + firstRenewal(server)\n", ""),
		keys("recordjson.go", "forget who still holds keys", "		r.Ranges[moving.Index].Former, r.Ranges[moving.Index].Answered = moving.Former, moving.Answered\n", "		_ = moving.Former\n"),
	}
}
