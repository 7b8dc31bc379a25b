package main

// poisonMutants break the rules by which requests that end servers are told from
// others, and by which hosts hear of them.
func poisonMutants() []mutant {
	in := breaking("poison", ".")
	host := breaking("gateway", "DeadlyReq|EndsServers|Popular|Acquits|Lately|Planned|MayHaveRun|Operator|CopiesThatWait|Suspected|Quarantined")
	return []mutant{
		in("fingerprint.go", "let parts run into each other", "	_, _ = to.Write(length) // a hash takes any bytes\n	_, _ = to.Write(part)", "	_, _ = to.Write(length[:0])\n	_, _ = to.Write(part)"),
		in("fingerprint.go", "leave out the caller", "[]string{i.Method, i.Host, i.Target, i.Caller}", "[]string{i.Method, i.Host, i.Target}"),
		in("fingerprint.go", "leave out the length", "uint64(i.Length))", "0)"),
		in("witness.go", "forget that a server has ended", "	if seen.ended {\n		return true", "	if false {\n		return true"),
		in("witness.go", "blame what a living server left unanswered", "return lived.during(b.At) })", "return false })"),
		in("witness.go", "believe a wrong proof", "	if lived.during(seen.endedAt) {", "	if false {"),
		in("witness.go", "take the next process for the same", "return l.From <= at && at < l.To", "return at < l.To"),
		in("witness.go", "blame what went unanswered long before", "now-each.At <= proofWithin && !known", "!known"),
		in("witness.go", "take a server for its own successor", "taken && at != server ||", "taken && at != (fleet.Incarnation{}) ||"),
		in("witness.go", "overlook that a server started again", " || present[server.ID].Replaces(server)", ""),
		in("witness.go", "keep any number of servers", "	if len(w.servers) >= mostServers {", "		if false {"),
		in("ledger.go", "need one end more", "	provenAfter = 3", "	provenAfter = 4"),
		in("ledger.go", "need one end less", "	provenAfter = 3", "	provenAfter = 2"),
		in("ledger.go", "suspect nobody", "	suspectAfter = 2", "	suspectAfter = 3"),
		in("ledger.go", "blame for ends before an acquittal", "	case r.isAcquitted && told.at <= r.acquitted:", "	case false:"),
		in("ledger.go", "acquit without ending the case", "	maps.DeleteFunc(r.ends, func(_ fleet.Incarnation, each end) bool { return each.at <= at })\n", ""),
		in("ledger.go", "tell of one acquittal without end", "	return first || len(r.ends) < ends", "	return first || len(r.ends) <= ends"),
		in("ledger.go", "count ends that were withdrawn", "	for _, each := range r.ends {\n		if !each.withdrawn {\n			count++", "	for range r.ends {\n		if true {\n			count++"),
		in("ledger.go", "bring withdrawn ends back", "	case have:\n", "	case have && !known.withdrawn:\n"),
		in("ledger.go", "withdraw for an earlier call", "!known.withdrawn && lived.during(known.at)", "!known.withdrawn"),
		in("ledger.go", "count the first ends only", "		if !oldest.withdrawn && told.at <= oldest.at {", "		if !oldest.withdrawn {"),
		in("ledger.go", "quarantine for good", "ends >= provenAfter && now < last+term(ends)", "ends >= provenAfter"),
		in("ledger.go", "quarantine as briefly again", "terms[min(ends-provenAfter, len(terms)-1)]", "terms[0]"),
		in("ledger.go", "forget what matters most", "range order[:forgottenAtOnce]", "range order[len(order)-forgottenAtOnce:]"),
		in("ledger.go", "keep any number of cases", "	if len(l.cases) < mostCases {\n		return\n	}\n	maps.", "	if true {\n		return\n	}\n	maps."),
		in("ledger.go", "tell everyone of single ends", "return to == Collector || r.suspected", "return true"),
		in("ledger.go", "tell nobody of acquittals", "return to == Collector || r.suspected", "return to == Collector || r.standing() >= suspectAfter"),
		in("ledger.go", "take a cut message for a whole one", "		upTo = l.cases[due[most-1]].change\n", ""),
		in("ledger.go", "hear of acquittals only", "		news = l.blame(held, each.Server", "		news = false && l.blame(held, each.Server"),
		in("ledger.go", "release only what is held", "	held := l.hold(now, request)\n	return held.acquit(at)", "	held := l.cases[request]\n	return held != nil && held.acquit(at)"),
		in("answered.go", "remember for good", "	case elapsed >= 2*answeredTurn:", "	case false:"),
		in("answered.go", "remember any number", "	if len(a.current) >= mostAnswered {", "	if false {"),

		host("quarantine.go", "turn nothing away", "	if judged.Verdict != poison.Quarantined {", "	if true {"),
		host("request.go", "let those through that waited", "		if rejected := g.quarantined(req); rejected != nil {\n			req.service.releaseServer", "		if rejected := g.quarantined(req); false {\n			req.service.releaseServer"),
		host("request.go", "have those wait that are turned away", "	if rejected := g.quarantined(req); rejected != nil {\n		return rejected\n	}\n	req.service.recordRequest", "	req.service.recordRequest"),
		host("request.go", "repeat suspected requests", "	if result.unanswered && g.judge(req).Verdict >= poison.Suspected {", "	if false {"),
		host("request.go", "forget an attempt that may have run", "		req.mayHaveRun = req.mayHaveRun || result.sent && !result.notRun\n", ""),
		host("quarantine.go", "tell the controller nothing", "	report.Cases, upTo = g.ends.ledger.Tell(", "	_, upTo = g.ends.ledger.Tell("),
		host("peers.go", "tell the hosts nothing", "	answer.Cases, answer.CasesUpTo = g.casesFor(report.KnownCases)\n", ""),
		host("quarantine.go", "acquit nobody", "	acquitted := g.ends.ledger.Acquit(now, mark)", "	acquitted := false"),
		host("serverends.go", "blame what was lately answered", "	if g.ends.answered.Lately(g.now(), blame.Request) {", "	if false {"),
		host("service.go", "blame for planned ends", "return server.Leaving() || brokeOff &&", "return brokeOff &&"),
		host("service.go", "blame for ends without an entry", "return server.Leaving() || brokeOff &&", "return server.Leaving() || false &&"),
		host("serverends.go", "overlook refused connections", "	if errors.Is(err, syscall.ECONNREFUSED) {", "	if errors.Is(err, syscall.ECONNREFUSED) && false {"),
		host("control.go", "keep nothing in the store", "	g.keepQuarantine(ctx, c, now)\n", ""),
		host("quarantinestore.go", "overlook what an operator releases", "	for _, released := range content.Released {", "	for _, released := range content.Released[:0] {"),
		host("quarantinestore.go", "read back nothing", "	g.takeCases(content.cases(wall), \"the store\")\n", ""),
	}
}
