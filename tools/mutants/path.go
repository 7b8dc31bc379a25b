package main

// pathMutants break the rules that the request path rests on.
func pathMutants() []mutant {
	in := func(pkg, file, name, old, fresh string) mutant {
		return mutant{name: name, file: file, old: old, new: fresh, pkg: pkg, run: "."}
	}
	const dedup, gate = "dispatch/dedup.go", "dispatch/gate.go"
	return []mutant{
		in("dispatch", dedup, "run a re-sent request whose first attempt may be elsewhere",
			"if attempt > 1 && !d.firstWouldBeHere(wall, id) {", "if attempt > 1000 {"),
		in("dispatch", dedup, "trust callers' clocks",
			"return birth.After(d.covers.Add(d.policy.Skew))", "return birth.After(d.covers)"),
		in("dispatch", dedup, "forget that memory was dropped",
			"			d.covers = oldest.arrived\n", "			_ = oldest.arrived\n"),
		in("dispatch", dedup, "keep an old memory's claim after a gap",
			"func (d *Dedup) Uncover(now time.Time) { d.covers = now }", "func (d *Dedup) Uncover(time.Time) {}"),
		in("dispatch", dedup, "replay a part as the whole",
			"if reply.Outcome != caller.Done || len(reply.Body) <= d.policy.KeepBody {", "if len(reply.Body) >= 0 {"),
		in("dispatch", "dispatch/history.go", "tell not run of the last attempt only",
			"if reply.Outcome == caller.NotRun && h.mayHaveRun {", "if false {"),
		in("dispatch", gate, "admit more than the slots",
			"	if g.inFlight < g.slots && g.order.Len() == 0 {", "	if g.inFlight <= g.slots && g.order.Len() == 0 {"),
		in("dispatch", gate, "queue without bound",
			"if g.order.Len() < g.policy.Queue*g.slots {", "if g.policy.Queue > 0 {"),
		in("dispatch", gate, "queue what cannot make its deadline",
			"if now+wait+g.service > waiter.Deadline || !g.makeRoom(now, waiter.Caller) {", "if !g.makeRoom(now, waiter.Caller) {"),
		in("dispatch", "dispatch/budget.go", "retry without budget",
			"	b.tokens--\n", ""),
		in("router", "router/try.go", "send a non-idempotent request again",
			"	case !req.meta.Idempotent:\n		return reply, final\n", ""),
		in("router", "router/try.go", "pass another request's answer on",
			`if echoed != "" && echoed != req.meta.ID.String() {`, `if echoed == "x" {`),
		in("router", "router/try.go", "say not run after the bytes have left",
			"if !errors.As(err, &sendErr) || sendErr.Written {", "if !errors.As(err, &sendErr) {"),
		in("router", "link/backendlink/pool.go", "take a broken answer for unsent",
			"	response, err := http.ReadResponse(link.reader, request)\n	if err != nil {\n		return Answer{}, false, &SendError{Written: true, Cause: err}",
			"	response, err := http.ReadResponse(link.reader, request)\n	if err != nil {\n		return Answer{}, false, &SendError{Cause: err}"),
		in("router", "link/backendlink/pool.go", "pass half an answer off as whole",
			"int(p.maxAnswer))\n	if err != nil {\n", "int(p.maxAnswer))\n	if false {\n"),
		in("router", "router/page.go", "wait for an owner that has lost the key",
			"			running.moved = true\n			running.cancel()\n", "			running.moved = true\n"),
		in("domain", "domain/loop.go", "use an earlier time for later events of a batch",
			"			next.apply(l, l.c.clock.Now())\n", "			next.apply(l, l.c.clock.Now()-time.Second)\n"),
		in("placement", "placement/placement.go", "balance what nobody waits for",
			"	if ledger.perSlot(ledger.heaviest()) < p.policy.LeastLoad {", "	if p.policy.LeastLoad < 0 {"),
		in("placement", "placement/average.go", "act on a single sample",
			"weight := 1 - math.Exp(-float64(now-a.at)/float64(smoothing))", "weight := 1 - math.Exp(-1000*float64(now-a.at)/float64(smoothing))"),
		in("directory", "directory/directory.go", "take an older version",
			"	if object.Version <= d.entries[ref].object.Version {", "	if object.Version == d.entries[ref].object.Version {"),
		in("router", "router/front.go", "deny what an earlier attempt may have done",
			"history := dispatch.NewHistory(req.meta.Attempt)", "var history dispatch.History"),
		in("router", "router/run.go", "forget re-sent requests",
			"	if req.meta.Idempotent {\n		return p.dispatch(ctx, req)", "	if req.meta.Idempotent || req.meta.Attempt > 0 {\n		return p.dispatch(ctx, req)"),
	}
}
