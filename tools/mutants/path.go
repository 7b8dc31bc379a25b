package main

// pathMutants break the rules that the request path depends on.
func pathMutants() []mutant {
	in := func(pkg, file, name, old, fresh string) mutant {
		return mutant{name: name, file: file, old: old, new: fresh, pkg: pkg, run: "."}
	}
	const dedup, gate = "dispatch/dedup.go", "dispatch/gate.go"
	return []mutant{
		in("dispatch", dedup, "run a retried request whose first attempt may have run elsewhere",
			"if attempt > 1 && !d.firstAttemptCovered(wall, id) {", "if attempt > 1000 {"),
		in("dispatch", dedup, "ignore clock skew of callers",
			"return createdAt.After(d.coveredSince.Add(d.policy.MaxClockSkew))", "return createdAt.After(d.coveredSince)"),
		in("dispatch", dedup, "ignore that entries were dropped",
			"			d.coveredSince = oldest.arrivedAt\n", "			_ = oldest.arrivedAt\n"),
		in("dispatch", dedup, "keep coverage after another router dispatched",
			"func (d *Deduplicator) ResetCoverage(now time.Time) { d.coveredSince = now }", "func (d *Deduplicator) ResetCoverage(time.Time) {}"),
		in("dispatch", dedup, "keep reply bodies of any size",
			"if reply.Outcome != caller.Done || len(reply.Body) <= d.policy.MaxReplayBodyBytes {", "if len(reply.Body) >= 0 {"),
		in("dispatch", "dispatch/history.go", "report not run for the last attempt only",
			"if reply.Outcome == caller.NotRun && h.mayHaveRun {", "if false {"),
		in("dispatch", gate, "admit more than the slots",
			"	if l.inFlight < l.slots && l.order.Len() == 0 {", "	if l.inFlight <= l.slots && l.order.Len() == 0 {"),
		in("dispatch", gate, "queue without limit",
			"if l.order.Len() < l.policy.MaxQueuePerSlot*l.slots {", "if l.policy.MaxQueuePerSlot > 0 {"),
		in("dispatch", gate, "queue a request that cannot meet its deadline",
			"if now+wait+l.serviceTime > waiter.Deadline || !l.makeRoom(now, waiter.Caller) {", "if !l.makeRoom(now, waiter.Caller) {"),
		in("dispatch", "dispatch/budget.go", "retry without budget",
			"	b.tokens--\n", ""),
		in("router", "router/try.go", "send a non-idempotent request again",
			"	case !req.meta.Idempotent:\n		return reply, final\n", ""),
		in("router", "router/try.go", "return the answer to another request",
			`if echoed != "" && echoed != req.meta.ID.String() {`, `if echoed == "x" {`),
		in("router", "router/try.go", "report not run after bytes were sent",
			"if !errors.As(err, &sendErr) || sendErr.Written {", "if !errors.As(err, &sendErr) {"),
		in("router", "link/backendlink/pool.go", "report a request as unsent after a broken answer",
			"	response, err := c.readHead(request)\n	if err != nil {\n		return Answer{}, false, &SendError{Written: true, Cause: err}",
			"	response, err := c.readHead(request)\n	if err != nil {\n		return Answer{}, false, &SendError{Cause: err}"),
		in("router", "link/backendlink/pool.go", "return a truncated answer as complete",
			"int(p.maxAnswer))\n	if err != nil {\n", "int(p.maxAnswer))\n	if false {\n"),
		in("router", "router/page.go", "keep waiting for a server that no longer owns the key",
			"			running.moved = true\n			running.cancel()\n", "			running.moved = true\n"),
		in("domain", "domain/loop.go", "use an earlier time for later events of a batch",
			"			next.apply(l, l.c.clock.Now())\n", "			next.apply(l, l.c.clock.Now()-time.Second)\n"),
		in("placement", "placement/placement.go", "balance load although no request waits",
			"	if model.utilization(model.mostUtilized()) < p.policy.MinUtilization {", "	if p.policy.MinUtilization < 0 {"),
		in("placement", "placement/average.go", "act on a single sample",
			"weight := 1 - math.Exp(-float64(now-a.updatedAt)/float64(smoothing))", "weight := 1 - math.Exp(-1000*float64(now-a.updatedAt)/float64(smoothing))"),
		in("directory", "directory/directory.go", "take an older version",
			"	if object.Version <= d.entries[ref].object.Version {", "	if object.Version == d.entries[ref].object.Version {"),
		in("router", "router/front.go", "report not run although an earlier attempt may have run",
			"history := dispatch.NewHistory(req.meta.Attempt)", "var history dispatch.History"),
		in("router", "router/run.go", "skip the deduplication of re-sent requests",
			"	if req.meta.Idempotent {\n		return p.dispatch(ctx, req)", "	if req.meta.Idempotent || req.meta.Attempt > 0 {\n		return p.dispatch(ctx, req)"),
	}
}
