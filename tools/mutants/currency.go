package main

// currencyMutants break the rules by which a host knows that its copy of a kind is complete.
func currencyMutants() []mutant {
	in := breaking("gateway", "ConfirmedRole|RelayThatIsBehind|Currency|StartEnds|AgesWhile|UnconfirmedWatch|Verifies|CatchesUp")
	return []mutant{
		in("freshness.go", "currency: take the confirmation of a role for one of all kinds", "f.isConfirmed(now) && f.isCurrent(name, now)", "f.isConfirmed(now)"),
		in("currency.go", "currency: take a statement for true before the copy has reached it", "	if have >= revision {\n", "	if true {\n"),
		in("currency.go", "currency: forget what the copy had to reach", "	c.awaitedRevision, c.awaitedAsOf = revision, asOf\n", ""),
		in("currency.go", "currency: let a later statement make a copy older", "if !c.isKnown || asOf > c.asOf {", "if true {"),
		in("freshness.go", "currency: use stale reads for the whole start", "staleReadPeriod = time.Second", "staleReadPeriod = startupPeriod"),
		in("watchplan.go", "currency: let a watch outlast the start", "min(startupWatchWait, startupPeriod-now)", "startupWatchWait"),
		in("peers.go", "currency: count a confirmation from when its answer is applied", "confirmed := e.askedAt - ", "confirmed := g.now() - "),
		in("freshness.go", "currency: leave unconfirmed watches to the control loop", "	f.cancelUnconfirmed(now)\n	next = maxExpiryInterval\n", "	next = maxExpiryInterval\n"),
		in("verify.go", "currency: verify nothing", "	if err == nil && len(listing.Objects) == 0 {\n", "	if err == nil {\n"),
		in("verify.go", "currency: keep a watch that has missed a change", "	state.cancelWatch()\n	return true\n", "	return true\n"),
		in("verify.go", "currency: let the history run out under a watch", "		g.freshness.noteRevision(kind, listing.Revision, false)\n", ""),
		in("watchplan.go", "currency: ask only the store for a change that another host has stated", "	case !f.mayWaitLong(name, now) && f.canCatchUp(state, now):\n", "	case false:\n"),
	}
}
