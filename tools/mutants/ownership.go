package main

const (
	ownershipPkg = "ownership"
	anyOwnership = "."
)

// ownershipMutants break the rules that the safety of ownership depends on.
func ownershipMutants() []mutant {
	in := func(file, name, old, fresh string) mutant {
		return mutant{name: name, file: "ownership/" + file, old: old, new: fresh, pkg: ownershipPkg, run: anyOwnership}
	}
	return []mutant{
		in("advance.go", "skip the wait for leases to expire",
			"return m.leasesExpired(now, promises) || m.releaseConfirmed(shard, promises)",
			"return promises.reachedMajority || m.releaseConfirmed(shard, promises)"),
		in("advance.go", "count an owner's ack from before the stop",
			"if state.ackSentAt < promises.majorityAt || state.generation < shard.Released {",
			"if state.generation < shard.Released {"),
		in("advance.go", "count any ack of the owner as a release",
			"if state.ackSentAt < promises.majorityAt || state.generation < shard.Released {",
			"if state.ackSentAt < promises.majorityAt {"),
		in("advance.go", "give a shard to a new owner without releasing it",
			"	shard.State = record.ShardReleasing\n	shard.Next = release.Next\n",
			"	shard.Owner = release.Next\n	shard.Token = next.Generation\n	return true\n"),
		in("advance.go", "keep the token when the owner changes",
			"			Token: next.Generation,\n", "			Token: max(shard.Token, 1),\n"),
		in("advance.go", "drop the old group at once",
			"	if !m.leasesExpired(now, m.promisesFor(m.page.GroupSince-1)) {\n		return false\n	}\n", ""),
		in("advance.go", "do not wait for the previous domain's leases",
			"	return m.takeoverSeenAt + wait\n", "	return min(0, wait)\n"),
		in("advance.go", "leave the store outage limit out of a takeover's wait",
			"		wait += m.terms.SafeWait(m.terms.MaxStoreOutage)\n", ""),
		in("advance.go", "tokens unchecked: skip the wait for requests in flight",
			"	if now < lastSent+m.terms.SafeWait(m.view.MaxRequestDuration) {", "	if now < lastSent {"),
		in("advance.go", "tokens unchecked: ignore requests of a lost domain's routers",
			"lastSent := max(promises.majorityAt+m.terms.SafeWait(m.terms.LeaseDuration), m.previousDomainExpiresAt())",
			"lastSent := promises.majorityAt + m.terms.SafeWait(m.terms.LeaseDuration)"),
		in("advance.go", "tokens unchecked: move keys of an unreachable server without the operator",
			"return m.releaseConfirmed(shard, promises) || !m.view.WaitForOperator", "return true"),
		in("round.go", "renew with half of the group",
			"return count > len(group)/2", "return count >= (len(group)+1)/2"),
		in("round.go", "renew without a majority of the old group",
			"return len(m.page.OldGroup) == 0 || isMajority(m.page.OldGroup, hosts)", "return true"),
		in("round.go", "base a lease on a clock reading from after the agreement",
			"		m.queueMessage(now, id, m.grantFor(id, reading))\n",
			"		reading.holderTime = m.holder(id).holderTime + m.terms.LeaseDuration/2\n		m.queueMessage(now, id, m.grantFor(id, reading))\n"),
		in("voter.go", "agree to a stopped generation",
			"case request.Generation <= vote.stopped:", "case request.Generation < vote.stopped:"),
		in("voter.go", "vote without having read the store",
			"case !v.hasReadStore:", "case false:"),
		in("voter.go", "renew without limit during a store outage",
			"case request.Bounded && now > v.lastStoreContact+v.terms.MaxStoreOutage:", "case false:"),
		in("voter.go", "ignore a predecessor's leases when stopping",
			"	until := v.predecessorLeasesUntil\n	for", "	var until time.Duration\n	for"),
		in("voter.go", "ignore a predecessor's dispatcher",
			"busyUntil := max(vote.dispatchUntil, v.predecessorLeasesUntil)", "busyUntil := vote.dispatchUntil"),
		in("voter.go", "let two routers dispatch",
			"return busyUntil - now, now >= busyUntil", "return busyUntil - now, true"),
		in("voter.go", "accept a release for any incarnation of the router",
			" && vote.dispatcherIncarnation == request.ReleasedIncarnation {", " {"),
		in("voter.go", "report too short a remaining lease time",
			"if agreed.generation <= generation {", "if agreed.generation < generation {"),
		in("holder.go", "accept an older generation",
			"case grant.Generation < held.generation:", "case false:"),
		in("holder.go", "accept a grant for an earlier incarnation",
			"case grant.Incarnation != h.incarnation:", "case false:"),
		in("holder.go", "accept any token",
			"return ok && held.Token == token", "return ok && held.Token > 0"),
		in("doc.go", "ignore clock drift",
			"return time.Duration(float64(d)*(1+t.MaxClockDrift)/(1-t.MaxClockDrift)) + 1", "return d + 1"),
		in("machine.go", "treat a lost reply as success",
			"	if result == WriteDone {", "	if result != WriteConflict {"),
		in("machine.go", "revert to an older generation",
			"	if m.hasPage && page.Generation <= m.page.Generation {", "	if m.hasPage && page.Generation == m.page.Generation {"),
	}
}
