package main

// listMutants return mutants of the rules on lists of a kind that a host already knows.
func listMutants() []mutant {
	in := breaking("gateway", "TestList(DoesNot|Moves|FromSource|IsNot)|TestAnswerEndsLongPauses")
	return []mutant{
		in("relist.go", "lists: wait for a source that has stopped", "			r.giveUpSilentSource()\n			r.askStore(ctx)\n", ""),
		in("relist.go", "lists: keep a silent source for the other kinds", "	g.freshness.noteSourceFailure(r.fromHost.source)\n", ""),
		in("relist.go", "lists: ignore a new source", "			confirmed = r.gateway.freshness.nextConfirmation()\n			r.askSource(ctx)\n", "			confirmed = nil\n"),
		in("relist.go", "lists: ask the store although a source answers", "	if !r.askSource(ctx) {\n		r.askStore(ctx)\n	}\n", "	r.askSource(ctx)\n	r.askStore(ctx)\n"),
		in("relist.go", "lists: list from a host that is in an earlier era", "revision.Era(listing.Revision) < g.era.Load()", "revision.Era(listing.Revision) > g.era.Load()"),
		in("relist.go", "lists: list an outdated copy again", "listing.Revision <= r.known {", "false {"),
		in("relist.go", "lists: refuse a newer copy because it is old", "age >= g.freshness.validFor() && listing.Revision <= r.known", "age >= g.freshness.validFor()"),
		in("follow.go", "lists: pause after an answer as after none", "	if errors.Is(err, objects.ErrCompacted) {\n		return minRetryDelay\n	}\n", ""),
	}
}
