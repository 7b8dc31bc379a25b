package main

// scaleMutants break the rules that keep a host's costs from growing with the fleet.
func scaleMutants() []mutant {
	choice := breaking("balance", "Choice|LastServer|Roster")
	host := breaking("gateway", "CostOfAChange|ServerOfAnother|FarBehind|RelayReportsDeletions|ListsPass|FollowersGrow|NamedAnew|FirstReports|Reserves|OneHostReads|FirstAssignment|EarlierHosts|SlowCallers|ReadAhead|ThoughItsCaller")
	keys := breaking("keyspace", "FirstClaim|FirstAssignment|CallsToThousands|SlowAnswers|RecordsAre|ColumnsThat")
	entries := breaking("fleet", "Changes|Entries|Texts")
	return []mutant{
		choice("roster.go", "consider all servers", "	if len(r.order) <= allLooked {\n		return r.order, true\n	}\n	r.drawn", "	if len(r.order) > 0 {\n		return r.order, true\n	}\n	r.drawn"),
		choice("pool.go", "consider no other servers if the sampled ones are full", "	every := p.servers.order\n", "	every := drawn\n"),
		choice("roster.go", "offer servers that are gone", "	r.recent = without(r.recent, server)\n}", "}"),
		entries("fleet.go", "report all servers at each change", "	clear(d.changed)\n", "	d.TouchAll()\n"),
		entries("fleet.go", "keep entries that came back among those that expire", "	delete(d.fading, version.ID)\n	d.Touch", "	d.fading[version.ID] = known\n	d.Touch"),
		entries("text.go", "drop the draining state of a server", "	if s.Draining {\n		state = entryDraining\n	}\n", ""),
		host("gateway.go", "give a service the servers of others", "		if server.Service != service {", "		if false {"),
		host("relay.go", "keep all deletions", "	excess := k.tombstones - maxTombstones", "	excess := 0"),
		host("relay.go", "drop deletions without moving the start of the history", "			k.historyStart = max(k.historyStart, entry.listingRevision)\n", ""),
		host("relay.go", "send all changes in one answer", "		if i >= maxChangesPerAnswer && entry", "		if false && entry"),
		host("relay.go", "repeat the last object of a page", "	if found {\n		from++\n	}\n", "	_ = found\n"),
		host("relay.go", "answer earlier hosts in a form that they can't decode", "	if !ok || !request.Columns {", "	if !ok {"),
		host("members.go", "choose at most two relays per domain", "	return max(relaysPerDomain, int", "	return min(relaysPerDomain, int"),
		host("members.go", "choose relays only once a second", " && len(m.hosts) < 2*m.chosenOf", ""),
		host("control.go", "report to a new controller at once", "	return turnWithin(spread, g.identity.Host+c.service.name)\n", "	return 0 * spread\n"),
		host("retries.go", "give each host the retry reserve of a small fleet", "	most := min(max(each/2, leastRetryReserve), mostRetryReserve)", "	most := float64(mostRetryReserve)"),
		host("firstservers.go", "read the entries from the store", "	deadline := g.now() + peerListWait + g.storeReadDelay()\n", "	deadline := g.now()\n"),
		host("control.go", "assign keys only to the servers that register first", "	if now-c.countedAt < firstWait && now-c.led < longest {", "	if now-c.countedAt < 0 && now-c.led < longest {"),
		host("readahead.go", "buffer whatever callers do not read", "		case a.held+readAheadChunk <= mostReadAhead && a.quota.take(readAheadChunk):", "		case true:"),
		host("readahead.go", "keep the buffer space of a caller that left", "	a.give(a.held)\n", ""),
		keys("first.go", "assign keys without authority", " || !m.Authority(now) {", " {"),
		keys("first.go", "assign keys that others may hold", "	if forgotten {", "	if forgotten && false {"),
		keys("machine.go", "call all servers at once", "		if m.underWay+len(calls) >= mostCalls {", "		if false {"),
		keys("machine.go", "always call the first servers", "			m.turn = (m.turn + i) % len(ranges)\n", ""),
		keys("answers.go", "renew all leases at the same time", "			l.next = began + firstRenewal(server)\n", ""),
		keys("recordjson.go", "drop the holders that still have keys", "		r.Ranges[moving.Index].Former, r.Ranges[moving.Index].Answered = moving.Former, moving.Answered\n", "		_ = moving.Former\n"),
	}
}
