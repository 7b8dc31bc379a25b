package main

// scaleMutants break the rules that keep a host's costs from growing with the fleet.
func scaleMutants() []mutant {
	choice := breaking("balance", "Choice|LastServer|ServerSet")
	host := breaking("gateway", "CostOfAChange|ServerOfAnother|FarBehind|RelayReportsDeletions|ListsPass|FollowersGrow|NamedAnew|FirstReports|Reserves|OneHostReads|FirstAssignment|EarlierHosts|SlowCallers|ReadAhead|ThoughItsCaller")
	keys := breaking("keyspace", "FirstClaim|FirstAssignment|CallsToThousands|SlowAnswers|RecordsAre|ColumnsThat")
	entries := breaking("fleet", "Changes|Entries|Texts")
	return []mutant{
		choice("roster.go", "consider all servers", "	if len(r.sorted) <= fullScanLimit {\n		return r.sorted, true\n	}\n	r.sampleBuffer", "	if len(r.sorted) > 0 {\n		return r.sorted, true\n	}\n	r.sampleBuffer"),
		choice("pool.go", "consider no other servers if the sampled ones are full", "	candidates := p.servers.sorted\n", "	candidates := sample\n"),
		choice("roster.go", "offer servers that are gone", "	r.recent = without(r.recent, server)\n}", "}"),
		entries("fleet.go", "return all servers after each change", "	clear(d.changed)\n", "	d.MarkAllChanged()\n"),
		entries("fleet.go", "keep checking entries that have returned for expiry", "	delete(d.expiring, version.ID)\n	d.MarkChanged", "	d.expiring[version.ID] = known\n	d.MarkChanged"),
		entries("text.go", "omit that a server is draining", "	if s.Draining {\n		state = entryDraining\n	}\n", ""),
		host("gateway.go", "give a service the servers of others", "		if server.Service != service {", "		if false {"),
		host("relay.go", "keep all deletions", "	excess := k.tombstones - maxTombstones", "	excess := 0"),
		host("relay.go", "drop deletions without moving the start of the history", "			k.historyStart = max(k.historyStart, entry.listingRevision)\n", ""),
		host("relay.go", "send all changes in one answer", "		if i >= maxChangesPerAnswer && entry", "		if false && entry"),
		host("relay.go", "repeat the last object of a page", "	if found {\n		from++\n	}\n", "	_ = found\n"),
		host("relay.go", "answer earlier hosts in a form that they can't decode", "	if !ok || !request.Columns {", "	if !ok {"),
		host("members.go", "choose at most two relays per domain", "	return max(relaysPerDomain, int", "	return min(relaysPerDomain, int"),
		host("members.go", "choose relays only once a second", " && len(m.hosts) < 2*m.selectedFrom", ""),
		host("control.go", "report to a new controller at once", "	return hashedDelay(spread, g.identity.Host+c.service.name)\n", "	return 0 * spread\n"),
		host("retries.go", "give each host the retry reserve of a small fleet", "	most := min(max(perHost/2, minRetryReserve), maxRetryReserve)", "	most := float64(maxRetryReserve)"),
		host("firstservers.go", "read the entries from the store", "	deadline := g.now() + peerListWait + g.storeReadDelay()\n", "	deadline := g.now()\n"),
		host("control.go", "assign keys only to the servers that register first", "	if now-c.serverCountSince < registrationQuietTime && now-c.controllerSince < maxWait {", "	if now-c.serverCountSince < 0 && now-c.controllerSince < maxWait {"),
		host("readahead.go", "buffer whatever callers do not read", "		case a.reserved+readAheadChunkBytes <= maxReadAheadBytes && a.quota.tryReserve(readAheadChunkBytes):", "		case true:"),
		breaking("gateway", "BrokenOff")("readahead.go", "take the end of a response that was broken off for its end", "		n, err := readChunk(from, chunk)\n",
			"		n, err := readChunk(from, chunk)\n		if errors.Is(err, io.ErrUnexpectedEOF) {\n			err = io.EOF\n		}\n"),
		breaking("gateway", "BrokenOffIsRecorded")("attempt.go", "ignore that a server broke a long response off", "		case end == responseBrokenOff && !ended:\n", "		case false:\n"),
		host("readahead.go", "keep the buffer space of a caller that left", "	a.release(a.reserved)\n", ""),
		keys("first.go", "assign keys without authority", " || !m.Authorized(now) {", " {"),
		keys("first.go", "assign keys that others may hold", "	if restored {", "	if restored && false {"),
		keys("machine.go", "call all servers at once", "		if m.callsInFlight+len(calls) >= maxCallsInFlight {", "		if false {"),
		keys("machine.go", "always call the first servers", "			m.firstRange = (m.firstRange + i) % len(ranges)\n", ""),
		keys("answers.go", "renew all leases at the same time", "			l.nextGrant = began + firstRenewal(server)\n", ""),
		keys("recordjson.go", "drop the holders that still have keys", "		r.Ranges[moving.Index].FormerHolders, r.Ranges[moving.Index].GrantsAnswered = moving.FormerHolders, moving.GrantsAnswered\n", "		_ = moving.FormerHolders\n"),
	}
}
