package main

const (
	ownershipPkg = "ownership"
	anyOwnership = "."
)

// ownershipMutants break the rules that ownership rests on.
func ownershipMutants() []mutant {
	in := func(file, name, old, fresh string) mutant {
		return mutant{name: name, file: "ownership/" + file, old: old, new: fresh, pkg: ownershipPkg, run: anyOwnership}
	}
	return []mutant{
		in("advance.go", "skip the wait for the lapse",
			"return m.lapsed(now, gathered) || m.confirmed(shard, gathered)",
			"return gathered.majority || m.confirmed(shard, gathered)"),
		in("advance.go", "count an owner's answer from before the stop",
			"if state.ackSentAt < gathered.majorityAt || state.generation < shard.Released {",
			"if state.generation < shard.Released {"),
		in("advance.go", "take any answer of the owner for a release",
			"if state.ackSentAt < gathered.majorityAt || state.generation < shard.Released {",
			"if state.ackSentAt < gathered.majorityAt {"),
		in("advance.go", "give a shard away without releasing it",
			"	shard.State = record.ShardReleasing\n	shard.Next = release.Next\n",
			"	shard.Owner = release.Next\n	shard.Token = next.Generation\n	return true\n"),
		in("advance.go", "keep the token when the owner changes",
			"			Token: next.Generation,\n", "			Token: max(shard.Token, 1),\n"),
		in("advance.go", "drop the old group at once",
			"	if !m.lapsed(now, m.stopTarget(m.page.GroupSince-1)) {\n		return false\n	}\n", ""),
		in("advance.go", "do not wait for the domain that had the page",
			"	return m.takenSeen + wait\n", "	return min(0, wait)\n"),
		in("advance.go", "count a takeover's wait without the store bound",
			"		wait += m.terms.Guard(m.terms.StoreAway)\n", ""),
		in("advance.go", "unchecked: skip the wait for requests in flight",
			"	if now < lastSent+m.terms.Guard(m.view.DrainWait) {", "	if now < lastSent {"),
		in("advance.go", "unchecked: forget what a lost domain's routers sent",
			"lastSent := max(gathered.majorityAt+m.terms.Guard(m.terms.Lease), m.takeoverSettledAt())",
			"lastSent := gathered.majorityAt + m.terms.Guard(m.terms.Lease)"),
		in("advance.go", "unchecked: take the key from an unreachable server without the operator",
			"return m.confirmed(shard, gathered) || !m.view.WaitForOperator", "return true"),
		in("round.go", "renew with half of the group",
			"return count > len(group)/2", "return count >= (len(group)+1)/2"),
		in("round.go", "do not ask the old group",
			"return len(m.page.OldGroup) == 0 || isMajority(m.page.OldGroup, hosts)", "return true"),
		in("round.go", "stamp a lease after the agreement",
			"		m.send(now, id, m.grantFor(id, stamped))\n",
			"		stamped.stamp = m.holder(id).stamp + m.terms.Lease/2\n		m.send(now, id, m.grantFor(id, stamped))\n"),
		in("voter.go", "agree to a stopped generation",
			"case ask.Generation <= vote.stopped:", "case ask.Generation < vote.stopped:"),
		in("voter.go", "vote without having read the store",
			"case !v.established:", "case false:"),
		in("voter.go", "renew without bound while away from the store",
			"case ask.Bounded && now > v.storeContact+v.terms.StoreAway:", "case false:"),
		in("voter.go", "forget what a predecessor agreed to when stopping",
			"	until := v.freshUntil\n	for", "	var until time.Duration\n	for"),
		in("voter.go", "forget a predecessor's dispatcher",
			"busyUntil := max(vote.dispatchUntil, v.freshUntil)", "busyUntil := vote.dispatchUntil"),
		in("voter.go", "let two routers dispatch",
			"return busyUntil - now, now >= busyUntil", "return busyUntil - now, true"),
		in("voter.go", "take a release for any run of the router",
			" && vote.dispatcherRun == ask.ReleasedRun {", " {"),
		in("voter.go", "promise less than was agreed",
			"if agreed.generation <= generation {", "if agreed.generation < generation {"),
		in("holder.go", "accept an older generation",
			"case grant.Generation < held.generation:", "case false:"),
		in("holder.go", "accept a grant for an earlier run",
			"case grant.Incarnation != h.incarnation:", "case false:"),
		in("holder.go", "run a request under any token",
			"return ok && held.Token == token", "return ok && held.Token > 0"),
		in("doc.go", "ignore the drift of clocks",
			"return time.Duration(float64(d)*(1+t.Drift)/(1-t.Drift)) + 1", "return d + 1"),
		in("machine.go", "take a lost reply for success",
			"	if result == WriteDone {", "	if result != WriteConflict {"),
		in("machine.go", "go back to an older generation",
			"	if m.known && page.Generation <= m.page.Generation {", "	if m.known && page.Generation == m.page.Generation {"),
	}
}
