package main

// keyspaceMutants break the rules by which keys pass from server to server.
func keyspaceMutants() []mutant {
	in := func(file, name, old, fresh string) mutant {
		return mutant{name: "keyspace: " + name, file: "keyspace/" + file, old: old, new: fresh, pkg: "keyspace", run: "."}
	}
	return []mutant{
		in("plan.go", "large services: bound ranges whatever the servers", "max(leastMostRanges, rangesPerServer*servers)", "leastMostRanges"),
		in("machine.go", "large services: write a record for each move that ends", "m.pending == nil && (m.proposed == 0 || now-m.proposed >= m.pace)", "m.pending == nil"),
		in("loads.go", "large services: forget nothing", "if rate *= factor; rate < leastRate {", "if rate *= factor; false {"),
		in("loads.go", "large services: add later loads as if they were early", "scale := 1 / decayed(now-k.base)", "scale := 1.0"),
		in("share.go", "limit keys whose owners can do what they ask", "asked.rate > oversubscribed*able+m.loads.chance(asked.rate)", "asked.rate > able"),
		in("change.go", "name dead relays for good", "	return alive == 0\n", "	return false\n"),
		in("record.go", "trust servers' clocks", "LeaseTerm*(100+slowClock)/100 + clockMargin", "LeaseTerm"),
		in("renew.go", "take keys from a silent server at once", "	if l.over(now) {\n", "	if l.silent || l.over(now) {\n"),
		in("lease.go", "forget grants that had no answer", "return now >= l.until || l.released && now >= l.late", "return now >= l.until || l.released"),
		in("answers.go", "do not count an unanswered grant", "		l.late = max(l.late, lapse(ended))\n", ""),
		in("answers.go", "count an unanswered grant as never made", "	l.until = max(l.until, lapse(ended))\n	switch", "	if result == CallDone {\n		l.until = max(l.until, lapse(ended))\n	}\n	switch"),
		in("machine.go", "grant without the store's word", "	if !m.Authority(now) {\n		return nil\n	}\n", ""),
		in("machine.go", "believe every predecessor to have stopped", "	if len(record.Earlier) > 0 {", "	if false {"),
		in("record.go", "forget controllers before the last", "next.Earlier = append(next.Earlier, replaced)", "next.Earlier = []Controller{replaced}"),
		in("machine.go", "take one earlier controller's word for all", "if m.Settled(now) || len(m.Unproven(now)) > 0 {", "if m.Settled(now) {"),
		in("machine.go", "take what a predecessor may still hold as free", "l.until, l.late = m.calm, m.calm", "l.until, l.late = now, now"),
		in("machine.go", "grant what has not been written", "for i := range m.record.Ranges {\n		calls = m.stepRange(now, &m.record.Ranges[i]", "known := m.record\n	if m.pending != nil {\n		known = m.pending\n	}\n	for i := range known.Ranges {\n		calls = m.stepRange(now, &known.Ranges[i]"),
		in("renew.go", "grant before former holders are free", "	if !free {\n		return calls\n	}\n", "	_ = free\n"),
		in("change.go", "cut a range while a call about it is under way", "		if m.calling(next, move) {\n			continue\n		}\n", ""),
		in("change.go", "forget the leases of a range that is cut", "			m.leases[keyOf(&part, holder)] = &copied\n", "			_ = copied\n			_ = part\n"),
		in("machine.go", "take a predecessor's yield as the end of its calls", "m.settled, m.calm = now, lapse(now+underWay)", "m.settled, m.calm = now, now"),
		in("change.go", "forget the leases of ranges that are joined", "&lease{until: max(left.until, right.until), late: max(left.late, right.late), granted: true}", "&lease{granted: left.granted || right.granted}"),
		in("change.go", "join ranges of different owners", "if a.Incarnation() != b.Incarnation() || a.Moving()", "if a.Moving()"),
		in("record.go", "leave the former holder out of the record", "	r.Former = append(r.Former, r.Holder)\n", ""),
		in("renew.go", "moves begun by a predecessor: believe that all grants were answered", "	return !l.calling && now >= l.late\n", "	return l != nil\n"),
		in("machine.go", "moves begun by a predecessor: wait for a lease all the same", "			if !r.Answered {\n", "			if r.Moving() {\n"),
		in("record.go", "moves begun by a predecessor: forget the controllers before it", "			next.Ranges[i].Answered = false\n", "			_ = i\n"),
		in("record.go", "moves begun by a predecessor: forget the holders before the last", "answered && (r.Answered || !r.Moving())", "answered"),

		in("change.go", "free keys: believe that they are", "l.calling || !l.over(now)", "l.calling"),
		in("change.go", "free keys: name the former holder all the same", "			if free {\n", "			if false && free {\n"),
		in("change.go", "servers that ended: wait for the predecessor's authority", "	case m.hasEnded(r.Holder):\n", "	case m.Settled(now) && m.hasEnded(r.Holder):\n"),
		in("change.go", "servers that ended: move other keys as well", "	case !m.Settled(now):\n		return true\n", "	case !m.Settled(now):\n		return registered\n"),
		in("change.go", "servers that ended: forget earlier controllers", "	if settled {\n		changed = changed || len(next.Earlier) > 0\n", "	if settled || len(next.Earlier) > 0 {\n		changed = changed || len(next.Earlier) > 0\n"),
		in("renew.go", "silent owners: ask them once", "		if !l.heard && now < l.until {\n", "		if !l.heard && !l.silent && now < l.until {\n"),
		in("renew.go", "silent owners: ask for each range", "now < m.probeAt[server] || m.hasEnded(r.Holder)", "m.hasEnded(r.Holder)"),
		in("answers.go", "silent owners: take an answer for one range", "			m.noteAnswer(call.Incarnation(), ended)\n", "			l.silent, l.next = false, ended\n"),
		in("change.go", "silent owners: move their keys at their return", "	if l.backAt > 0 && now < l.backAt+returnWait {\n		return true\n	}\n", ""),
		in("restart.go", "incarnations: grant a later one nothing anew", "		if !alive || !m.replaced(now, r.Holder, server) {", "		if true || !alive || !m.replaced(now, r.Holder, server) {"),
		in("restart.go", "incarnations: no new token for a later one", "		next.LastToken++\n", ""),
		in("restart.go", "incarnations: believe an earlier start at once", "now-since >= earlierBelieved", "now >= since"),
		in("restart.go", "incarnations: never believe an earlier start", "behind && server.Start < holder.Start && now-since >= earlierBelieved", "behind && now < since"),
		in("restart.go", "incarnations: forget what binds the earlier one", "		own.until, own.late = max(own.until, l.until), max(own.late, l.late)\n", "		_, _ = own, l\n"),
		in("renew.go", "incarnations: renew a later one under the earlier token", "	case m.replaced(now, r.Holder, server):\n", "	case false && m.replaced(now, r.Holder, server):\n"),
		in("renew.go", "incarnations: free an earlier one's keys for all", "	return r.Incarnation().Replaces(former.Incarnation())\n", "	return r.Incarnation().Replaces(former.Incarnation()) || l.successor\n"),
		in("answers.go", "incarnations: take a later one's hand-over", "		if !l.successor {", "		if true {"),
		in("renew.go", "incarnations: let a proof cover calls under way", "	if l.over(now) {\n", "	if m.hasEnded(former) || l.over(now) {\n"),
		in("machine.go", "incarnations: take a proof for all under the ID", "key.holder.Incarnation() == server", "key.holder.Server == server.ID"),
	}
}
