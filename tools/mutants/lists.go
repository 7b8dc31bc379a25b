package main

// listMutants return mutants of the rules on lists of a kind that a host already knows.
func listMutants() []mutant {
	in := breaking("gateway", "TestList(DoesNot|Moves|FromSource|IsNot|Being)|TestAnswerEndsLongPauses")
	wire := breaking("platform", "TestTimeoutOfListsGrowsAfterStall")
	return []mutant{
		in("relist.go", "lists: wait for a source that has stopped", "			r.giveUpSilentSource()\n			r.askStore(ctx)\n", ""),
		in("relist.go", "lists: keep a silent source for the other kinds", "	g.freshness.noteSourceFailure(r.fromHost.source)\n", ""),
		in("relist.go", "lists: ignore a new source", "			confirmed = r.gateway.freshness.nextConfirmation()\n			r.askSource(ctx)\n", "			confirmed = nil\n"),
		in("relist.go", "lists: ask the store although a source answers", "	if !r.askSource(ctx) {\n		r.askStore(ctx)\n	}\n", "	r.askSource(ctx)\n	r.askStore(ctx)\n"),
		in("relist.go", "lists: list from a host that is in an earlier era", "revision.Era(listing.Revision) < g.era.Load()", "revision.Era(listing.Revision) > g.era.Load()"),
		in("relist.go", "lists: list an outdated copy again", "listing.Revision <= r.known {", "false {"),
		in("relist.go", "lists: refuse a newer copy because it is old", "age >= g.freshness.validFor() && listing.Revision <= r.known", "age >= g.freshness.validFor()"),
		in("relist.go", "lists: wait for a store that was silent", "		go r.probeStore(ctx)\n", ""),
		in("relist.go", "lists: wait for a call that shows that the store is back", "context.WithTimeout(ctx, r.gateway.freshness.verifyInterval())", "context.WithTimeout(ctx, maxRetryDelay*100)"),
		in("relist.go", "lists: repeat a list while the store is silent", "		if err != nil && !errors.Is(err, objects.ErrCompacted) {\n", "		if err != nil && !errors.Is(err, objects.ErrCompacted) && delay < 0 {\n"),
		in("relist.go", "lists: repeat a list that is being answered", "call != nil && call.isBeingAnswered(", "call != nil && call.source != \"\" && call.isBeingAnswered("),
		wire("store.go", "lists: let the lists of one kind lengthen those of others", "	return c.byKind[kind]\n", "	return len(c.byKind)\n"),
		in("follow.go", "lists: pause after an answer as after none", "	if errors.Is(err, objects.ErrCompacted) {\n		return minRetryDelay\n	}\n", ""),
	}
}
