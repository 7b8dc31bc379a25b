package main

// balanceMutants break the rules by which requests wait and are placed.
func balanceMutants() []mutant {
	in := func(file, name, old, fresh string) mutant {
		return mutant{name: "balance: " + name, file: "balance/" + file, old: old, new: fresh, pkg: "balance", run: "."}
	}
	return []mutant{
		in("share.go", "shares: admit what is beyond a host's share", "	if known.saved >= mostSaved {", "	if known.saved >= 0 {"),
		in("share.go", "shares: believe an old share", "known == nil || now >= known.until || known.part >= 1", "known == nil || known.part >= 1"),
		in("share.go", "shares: limit keys that are not named any more", "			delete(p.shares, key)\n", ""),
		in("share.go", "shares: tell callers to come back before there is a place", "next := time.Duration(places * float64(known.gap))", "next := time.Duration(places)"),
		in("reject.go", "let every request wait", "	if expected <= max(most, 0) && len(p.waiting) < mostWaiting {", "	_ = most\n	if true {"),
		in("pool.go", "never give a wait up", "	if now-waiter.Entered < p.longest(waiter)+givenUpSlack {", "	if true {"),
		in("order.go", "serve what is late already in its turn", "	if p.missed(now, w) {", "	if false {"),
		in("order.go", "forget objectives", "w.since + w.Objective + time.Duration(w.Priority)*priorityStep", "w.since + time.Duration(w.Priority)*priorityStep"),
		in("order.go", "forget priorities", "w.since + w.Objective + time.Duration(w.Priority)*priorityStep", "w.since + w.Objective"),
		in("order.go", "strict priorities", "time.Duration(w.Priority)*priorityStep", "time.Duration(w.Priority)*time.Hour"),
		in("kind.go", "judge all kinds alike", "	if known := p.kinds[objective]; known != nil && known.work > 0 {", "	if known := p.kinds[objective]; known != nil && known.work < 0 {"),
		in("kind.go", "forget that a caller was here before", "	return k.patience - patience", "	return 0"),
		in("pool.go", "let requests wait that can't be served any more", "	if now+p.leastWork(waiter) >= waiter.Deadline {", "	if now >= waiter.Deadline {"),
		in("pool.go", "take a full server for a slow one", " || end.Load != nil && end.Load.Waiting > 0", ""),
		in("reject.go", "take all servers for this host's own", "pace := max(p.gap, p.mean/time.Duration(capacity))", "pace := p.mean / time.Duration(capacity)"),
		in("pool.go", "send a key to any server", "	if waiter.Keyed && p.owner != nil {\n		id, _ := p.owner.OwnerOf(waiter.Key)\n		server := p.servers[id]\n		if server == nil || server.left", "	if false {\n		id, _ := p.owner.OwnerOf(waiter.Key)\n		server := p.servers[id]\n		if server == nil || server.left"),
		in("pool.go", "send to leaving owners", "if server == nil || server.left(now) || !server.room(now, p.mean) {", "if server == nil || !server.room(now, p.mean) {"),
		in("reject.go", "wait for lost owners", "	if now+expected+p.leastWork(waiter) > waiter.Deadline || back > 0 && expected > ownerWait {", "	if false {"),
		in("pool.go", "use draining servers", "	case server.Draining:\n		return unusable\n", ""),
		in("pool.go", "forget where a request was", "	case slices.Contains(waiter.Tried, server.ID):\n		return tried\n", ""),
		in("pool.go", "prefer a server with room to one that can be reached", "		best = min(best, p.preference(now, waiter, server))\n", "		if server.room(now, p.mean) {\n			best = min(best, p.preference(now, waiter, server))\n		}\n"),
		in("server.go", "trust a server that could not be reached at once", "	if s.strikes > 0 && s.inFlight > 0 {", "	if false && s.strikes > 0 && s.inFlight > 0 {"),
		in("server.go", "trust that there is room", "	return s.estimate(now, mean)+1 <= float64(s.Slots)*(1+queueShare)", "	return true"),
		in("reject.go", "let each wait in vain for itself", "server.stalled(now)*(ahead+1)", "0"),
		in("server.go", "never try a stalled owner again", "float64(s.stall) * math.Exp2(-float64(now-s.stalledAt)/float64(stallHalfLife))", "float64(s.stall)"),
		in("server.go", "take new servers for idle", "		return float64(s.inFlight) + usual*float64(s.Slots)\n", "		return float64(s.inFlight)\n"),
		in("server.go", "take servers without news for idle", " + usual*float64(s.Slots)*(1-fresh)", ""),
		in("server.go", "forget reported load", "	s.others = max(0, float64(load.Running+load.Waiting-s.inFlight))\n", ""),
		in("server.go", "never forget reported load", "s.others*s.fresh(now, mean)", "s.others"),
		in("server.go", "send on to silent servers", "	if s.inFlight > 0 && now-s.newsAt", "	if false && now-s.newsAt"),
		in("server.go", "forget failures", "	s.failures += failureWeight * (failed - s.failures)\n", "	_ = failed\n"),
		in("pool.go", "begin with the same servers everywhere", " + tieBreak*p.random.Float64()", ""),
		in("server.go", "prefer no domain", "	if s.Domain != domain {", "	if false {"),
		in("server.go", "count a shared server as one's own", "	return max(s.gap, alone)", "	return alone"),
		in("pool.go", "incarnations: keep what is known of an earlier one", "if !known || !server.sameRun(listed) {", "if !known {"),
		in("server.go", "incarnations: overlook another address", "listed.Incarnation() && s.Address == listed.Address", "listed.Incarnation()"),
		in("pool.go", "incarnations: take an earlier one's speed", "server.Incarnation() == incarnation && ", ""),
	}
}
