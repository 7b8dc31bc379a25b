package main

// poisonMutants break the rules by which hosts detect requests that terminate servers and
// inform each other of them.
func poisonMutants() []mutant {
	in := breaking("poison", ".")
	host := breaking("gateway", "DeadlyReq|EndsServers|Popular|Acquits|Lately|Planned|MayHaveRun|Operator|CopiesThatWait|Suspected|Quarantined")
	return []mutant{
		in("fingerprint.go", "omit the lengths that separate fields", "	_, _ = to.Write(length) // writing to a hash never fails\n	_, _ = to.Write(part)", "	_, _ = to.Write(length[:0])\n	_, _ = to.Write(part)"),
		in("fingerprint.go", "omit the caller", "[]string{i.Method, i.Host, i.Target, i.Caller}", "[]string{i.Method, i.Host, i.Target}"),
		in("fingerprint.go", "omit the body length", "uint64(i.Length))", "0)"),
		in("witness.go", "forget that a server has terminated", "	if state.terminated {\n		return true", "	if false {\n		return true"),
		in("witness.go", "blame requests that a live server left unanswered", "return alive.contains(b.At) })", "return false })"),
		in("witness.go", "keep a disproved termination", "	if alive.contains(state.terminatedAt) {", "	if false {"),
		in("witness.go", "treat the next process as the same one", "return s.From <= at && at < s.To", "return at < s.To"),
		in("witness.go", "blame requests that went unanswered long before", "now-each.At <= blameWindow && !duplicate", "!duplicate"),
		in("witness.go", "treat a server as its own successor", "taken && current != server ||", "taken && current != (fleet.Incarnation{}) ||"),
		in("witness.go", "ignore that a server was restarted", " || byID[server.ID].Replaces(server)", ""),
		in("witness.go", "keep an unbounded number of servers", "	if len(t.servers) >= maxServers {", "		if false {"),
		in("ledger.go", "require one more termination", "	quarantineThreshold = 3", "	quarantineThreshold = 4"),
		in("ledger.go", "require one termination fewer", "	quarantineThreshold = 3", "	quarantineThreshold = 2"),
		in("ledger.go", "never suspect a request", "	suspectThreshold = 2", "	suspectThreshold = 3"),
		in("ledger.go", "count terminations before a clearance", "	case r.isCleared && added.at <= r.clearedAt:", "	case false:"),
		in("ledger.go", "clear a request but keep its terminations", "	maps.DeleteFunc(r.terminations, func(_ fleet.Incarnation, each termination) bool { return each.at <= at })\n", ""),
		in("ledger.go", "report the same clearance again and again", "	return first || len(r.terminations) < before", "	return first || len(r.terminations) <= before"),
		in("ledger.go", "count withdrawn terminations", "	for _, each := range r.terminations {\n		if !each.withdrawn {\n			count++", "	for range r.terminations {\n		if true {\n			count++"),
		in("ledger.go", "restore withdrawn terminations", "	case exists:\n", "	case exists && !existing.withdrawn:\n"),
		in("ledger.go", "withdraw a termination because of an earlier call", "!existing.withdrawn && alive.contains(existing.at)", "!existing.withdrawn"),
		in("ledger.go", "keep only the first terminations", "		if !oldest.withdrawn && added.at <= oldest.at {", "		if !oldest.withdrawn {"),
		in("ledger.go", "quarantine forever", "count >= quarantineThreshold && now < last+quarantineDuration(count)", "count >= quarantineThreshold"),
		in("ledger.go", "never lengthen a quarantine", "quarantineDurations[min(terminations-quarantineThreshold, len(quarantineDurations)-1)]", "quarantineDurations[0]"),
		in("ledger.go", "evict the most important cases", "range ordered[:evictionBatch]", "range ordered[len(ordered)-evictionBatch:]"),
		in("ledger.go", "keep an unbounded number of cases", "	if len(l.cases) < maxCases {\n		return\n	}\n	maps.", "	if true {\n		return\n	}\n	maps."),
		in("ledger.go", "tell all hosts about single terminations", "return to == ToCollector || r.wasSuspected", "return true"),
		in("ledger.go", "tell nobody about clearances", "return to == ToCollector || r.wasSuspected", "return to == ToCollector || r.terminationCount() >= suspectThreshold"),
		in("ledger.go", "treat a truncated message as complete", "		upTo = l.cases[due[limit-1]].change\n", ""),
		in("ledger.go", "merge clearances only", "		changed = l.addTermination(rec, each.Server", "		changed = false && l.addTermination(rec, each.Server"),
		in("ledger.go", "release only known requests", "	rec := l.caseOf(now, request)\n	return rec.clear(at)", "	rec := l.cases[request]\n	return rec != nil && rec.clear(at)"),
		in("answered.go", "remember answered requests forever", "	case elapsed >= 2*answeredGeneration:", "	case false:"),
		in("answered.go", "remember an unbounded number of answered requests", "	if len(a.current) >= maxGenerationSize {", "	if false {"),

		host("quarantine.go", "reject no quarantined request", "	if judged.Verdict != poison.Quarantined {", "	if true {"),
		host("request.go", "send quarantined requests that waited", "		if rejected := g.quarantined(req); rejected != nil {\n			req.service.releaseServer", "		if rejected := g.quarantined(req); false {\n			req.service.releaseServer"),
		host("request.go", "queue requests before rejecting them", "	if rejected := g.quarantined(req); rejected != nil {\n		return rejected\n	}\n	return g.forward(", "	return g.forward("),
		host("request.go", "retry suspected requests", "	if result.unanswered && g.judge(req).Verdict >= poison.Suspected {", "	if false {"),
		host("request.go", "forget an attempt that may have run", "		req.mayHaveRun = req.mayHaveRun || result.sent && !result.notRun\n", ""),
		host("quarantine.go", "send no cases to the controller", "	report.Cases, upTo = g.terminations.ledger.ChangesSince(", "	_, upTo = g.terminations.ledger.ChangesSince("),
		host("peers.go", "send no cases to the hosts", "	answer.Cases, answer.CasesUpTo = g.casesFor(report.KnownCases)\n", ""),
		host("quarantine.go", "clear no request", "	cleared := g.terminations.ledger.Clear(now, fingerprint)", "	cleared := false"),
		host("serverends.go", "blame recently answered requests", "	if g.terminations.answered.Contains(g.now(), blame.Request) {", "	if false {"),
		host("service.go", "blame requests for planned shutdowns", "return server.Leaving() || brokeOff &&", "return brokeOff &&"),
		host("service.go", "blame requests for terminations after the entry was removed", "return server.Leaving() || brokeOff &&", "return server.Leaving() || false &&"),
		host("serverends.go", "ignore refused connections", "	if !errors.Is(err, syscall.ECONNREFUSED) || ", "	if errors.Is(err, syscall.ECONNREFUSED) || "),
		host("control.go", "write nothing to the store", "	g.syncQuarantine(ctx, c, now)\n", ""),
		host("quarantinestore.go", "ignore requests released by an operator", "	for _, released := range content.Released {", "	for _, released := range content.Released[:0] {"),
		host("quarantinestore.go", "read nothing back from the store", "	g.mergeCases(content.cases(wall), \"the store\")\n", ""),
	}
}
