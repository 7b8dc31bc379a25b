package main

// listMutants return mutants of the rules on lists of a kind that a host already knows.
func listMutants() []mutant {
	in := breaking("gateway", "TestList(DoesNot|Moves|FromSource|IsNot|Being)|TestAnswerEndsLongPauses")
	silence := breaking("gateway", "TestBoundsAfterSilence|TestDelaysAfter|TestCallsToSilentStore|TestOnlyLaterAnswers|TestListsOfBusyStore|TestControllerMayReturn|TestLostConfirmation|TestLostWrite|TestWatchBeingAnswered|TestWriteBeingSent")
	controller := breaking("domain", "TestLostCallsDoNotDelayRecords")
	wire := breaking("platform", "TestTimeoutOfListsGrowsAfterStall")
	return []mutant{
		in("relist.go", "lists: wait for a source that has stopped", "			r.giveUpSilentSource()\n			r.askStore(ctx)\n", ""),
		in("relist.go", "lists: keep a silent source for the other kinds", "	g.freshness.noteSourceFailure(r.fromHost.source)\n", ""),
		in("relist.go", "lists: ignore a new source", "			confirmed = r.gateway.freshness.nextConfirmation()\n			r.askSource(ctx)\n", "			confirmed = nil\n"),
		in("relist.go", "lists: ask the store although a source answers", "	if !r.askSource(ctx) {\n		r.askStore(ctx)\n	}\n", "	r.askSource(ctx)\n	r.askStore(ctx)\n"),
		in("relist.go", "lists: list from a host that is in an earlier era", "revision.Era(listing.Revision) < g.era.Load()", "revision.Era(listing.Revision) > g.era.Load()"),
		in("relist.go", "lists: list an outdated copy again", "listing.Revision <= r.known {", "false {"),
		in("relist.go", "lists: refuse a newer copy because it is old", "age >= g.freshness.validFor() && listing.Revision <= r.known", "age >= g.freshness.validFor()"),
		in("relist.go", "lists: wait for a store that was silent", "		go r.reportAnswers(ctx)\n", ""),
		in("storeanswers.go", "lists: make no call that shows that the store is back", "		go g.probeStore()\n", ""),
		in("storeanswers.go", "lists: repeat a list while the store is silent", "	return err == nil || errors.Is(err, objects.ErrCompacted)", "	return true || errors.Is(err, objects.ErrCompacted)"),
		silence("relist.go", "lists: repeat a list each time the store answers", "	r.repeatDue = now + r.repeatDelay\n", ""),
		in("relist.go", "lists: repeat a list that is being answered", "call != nil && call.isBeingAnswered(", "call != nil && call.source != \"\" && call.isBeingAnswered("),
		silence("bounds.go", "silences: call a silent store less often", "	probeShare = 0.3\n", "	probeShare = 0.5\n"),
		silence("bounds.go", "silences: watch for longer without a confirmation", "	shortShare = 0.6\n", "	shortShare = 0.9\n"),
		silence("bounds.go", "silences: wait longer for calls that are overdue", "	overdueShare = 0.15\n", "	overdueShare = 0.3\n"),
		silence("follow.go", "silences: wait for a watch that was lost", "		calling, cancelLost := g.withLossDetected(watchCtx, \"watch\", kind, plan.wait)\n", "		calling, cancelLost := context.WithCancel(watchCtx)\n"),
		silence("storeanswers.go", "silences: pause although the store answers", "	g.awaitAnswer(ctx, began)\n}", "	<-ctx.Done()\n}"),
		silence("storeanswers.go", "silences: take a rejection for an answer", "	return err == nil || errors.Is(err, objects.ErrCompacted)", "	return err == nil || errors.Is(err, objects.ErrRefused) || errors.Is(err, objects.ErrCompacted)"),
		silence("storeanswers.go", "silences: end pauses whatever the error", "	if !errors.Is(err, objects.ErrUnknown) || ", "	if "),
		silence("storeanswers.go", "silences: wait for one call before the next", "		go g.callStore()\n", "		g.callStore()\n"),
		silence("storeanswers.go", "silences: wait for calls without a bound", "context.WithTimeout(g.background, g.freshness.verifyInterval())", "context.WithTimeout(g.background, 100*maxRetryDelay)"),
		silence("storeanswers.go", "silences: go on calling a store that answers", "	a.probing = a.waiting > 0\n", "	a.probing = true\n"),
		silence("storeanswers.go", "silences: end a pause by an answer before the call that failed", "	g.awaitAnswer(ctx, began)\n}", "	g.awaitAnswer(ctx, 0)\n}"),
		silence("storeanswers.go", "silences: take a watch for lost because of an answer before it was due", "for since := due; ", "for since := time.Duration(0); "),
		silence("calls.go", "silences: wait for a confirmation that was lost", "			calling, cancel := g.withLossDetected(ctx, \"get\", Assignments, 0)\n", "			calling, cancel := context.WithCancel(ctx)\n"),
		silence("calls.go", "silences: wait for a write that was lost", "	writing, cancelLost := g.withLossDetected(writing, \"put\", Assignments, 0)\n", "	writing, cancelLost := context.WithCancel(writing)\n"),
		silence("callprogress.go", "silences: give up a call that is being sent", "	return p.sending.Load() || p", "	return p"),
		silence("callprogress.go", "silences: give up a call that is being answered", "	return p.sending.Load() || p.isBeingAnswered(now, within)", "	return p.sending.Load()"),
		silence("control.go", "silences: take over before the controller can return", "!g.storeAvailability.hasBeenAvailable(g.freshness.controllerReturn())", "g.storeAvailability.isUnavailable()"),
		controller("controller.go", "silences: watch for longer", "watchTimeout  = 2 * time.Second", "watchTimeout  = 3 * time.Second"),
		controller("watch.go", "silences: watch a store that does not answer for long", "		wait = min(wait, unreachableWatchWait) //", "		_ = unreachableWatchWait //"),
		controller("watch.go", "silences: pause for long between calls to a silent store", "maxStoreRetryDelay = 400 * time.Millisecond", "maxStoreRetryDelay = 4 * time.Second"),
		wire("store.go", "lists: let the lists of one kind lengthen those of others", "	return c.byKind[kind]\n", "	return len(c.byKind)\n"),
		in("follow.go", "lists: pause after an answer as after none", "	if errors.Is(err, objects.ErrCompacted) {\n		return minRetryDelay\n	}\n", ""),
	}
}
