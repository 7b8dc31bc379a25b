package main

// headMutants break the bounds on what is read of servers.
func headMutants() []mutant {
	in := breaking("link/backendlink", "Head|Bodies|Interim")
	return []mutant{
		in("head.go", "heads: read heads of any size", "	if r.cost > maxHeadCost {\n", "	if false {\n"),
		in("head.go", "heads: count no lines", "headLineCost*int64(bytes", "0*headLineCost*int64(bytes"),
		in("head.go", "heads: let the heads of all answers take all memory", "	if !r.quota.tryReserve(more) {\n", "	if false {\n"),
		in("pool.go", "heads: keep the memory of heads reserved", "	c.head.release()\n	p.mu.Lock()\n", "	p.mu.Lock()\n"),
		in("pool.go", "heads: take an interim answer for the final one", "if response.StatusCode >= http.StatusOK {", "if true {"),
	}
}

// malformedMutants break the rules that a head of an answer must follow.
func malformedMutants() []mutant {
	in := breaking("link/backendlink", "Status|Fields|HTTP10")
	return []mutant{
		in("pool.go", "malformed: check no heads", "cmp.Or(responsehead.Check(response), c.head", "cmp.Or(responsehead.Check(&http.Response{Status: \"200\", StatusCode: 200}), c.head"),
		in("../../internal/responsehead/responsehead.go", "malformed: accept low statuses", "status < minStatus || ", ""),
		in("../../internal/responsehead/responsehead.go", "malformed: accept high statuses", " || status > maxStatus:", ":"),
		in("../../internal/responsehead/responsehead.go", "malformed: accept a switch of protocols", "	case status == http.StatusSwitchingProtocols:\n", "	case status == http.StatusContinue:\n"),
		in("oldhead.go", "malformed: accept a transfer coding of HTTP/1.0", "found := fields[\"Transfer-Encoding\"]", "found := fields[\"X-Absent\"]"),
		in("pool.go", "malformed: forget what is buffered of an HTTP/1.0 head", "c.head.recorder.begin(received)", "c.head.recorder.begin(received[:0])"),
		in("../../internal/responsehead/responsehead.go", "malformed: accept any name", "!httpguts.ValidHeaderFieldName(name)", `name == ""`),
		in("../../internal/responsehead/responsehead.go", "malformed: check no fields", "	return checkFields(response.Header)\n", "	return checkFields(nil)\n"),
	}
}

// otherReaderMutants let the heads of responses of the store and to grants, releases and health checks go
// unchecked.
func otherReaderMutants() []mutant {
	in := breaking("platform", "MalformedHeads|Interim")
	return []mutant{
		in("../internal/responsehead/responsehead.go", "malformed: check nothing in a transport", "	if err := Check(response); err != nil {\n", "	if err := Check(response); false {\n"),
		in("proven.go", "malformed: use a connection behind an interim response", "response.StatusCode < http.StatusOK {", "false {"),
		in("proven.go", "malformed: use a connection behind a malformed response", "	if err := responsehead.Check(response); err != nil {\n", "	if err := responsehead.Check(response); false {\n"),
	}
}

// writeMutants take any successful response for that to a write.
func writeMutants() []mutant {
	in := breaking("platform", "WriteWhose")
	return []mutant{
		in("store.go", "writes: accept another object", "written.Metadata.Name != object.Name || ", ""),
		in("store.go", "writes: accept no revision", " || written.Metadata.Revision == 0 {", " {"),
	}
}

// stopMutants break the rules by which a host that shuts down sends requests that have waited.
func stopMutants() []mutant {
	in := breaking("gateway", "TooLongInShutdown")
	return []mutant{
		in("stop.go", "stops: send waiting requests however late it is", "	return plan != nil && !plan.accepts(now, deadline)\n", "	return plan != nil && !plan.accepts(now, deadline) && now < plan.from\n"),
		in("stop.go", "stops: reject waiting requests that end in time", " || deadline <= p.end\n", "\n"),
		in("request.go", "stops: reject a forwarded request that another host may handle", "	if errors.Is(err, errHostStopping) && req.forwarded != nil ", "	if errors.Is(err, errLinksLost) && req.forwarded != nil "),
	}
}

// resetMutants break the rule that a reset is no end of an answer.
func resetMutants() []mutant {
	in := breaking("link/backendlink", "Reset|Early")
	toCallers := breaking("gateway", "HTTP10")
	return []mutant{
		toCallers("reply.go", "resets: end a truncated response of HTTP/1.0 like a whole one", "tcp.SetLinger(0)", "tcp.SetLinger(-1)"),
		in("reset.go", "resets: take a reset for an end of stream", "	if isConnectionLoss(d.writeErr) {\n", "	if false {\n"),
		in("reset.go", "resets: forget how a write failed", "		d.writeErr = err\n", "		d.writeErr = nil\n"),
		in("reset.go", "resets: take a reset after an end of stream for a loss", "!errors.Is(err, syscall.EPIPE)", "!errors.Is(err, syscall.ENOSYS)"),
		in("reset.go", "resets: take an interrupted write for a loss", "!errors.Is(err, os.ErrDeadlineExceeded)", "!errors.Is(err, os.ErrInvalid)"),
		in("reset.go", "resets: wait for a write without interrupting it", "d.conn.SetWriteDeadline(time.Unix(1, 0))", "d.conn.SetWriteDeadline(time.Time{})"),
	}
}

// nestingMutants let one deeply nested object make all unreadable.
func nestingMutants() []mutant {
	in := breaking("internal/nesting", ".")
	followers := breaking("platform", "OddObject")
	return []mutant{
		in("nesting.go", "nesting: cut one level too late", "depth == levels+1 {\n				limited", "depth == levels+2 {\n				limited"),
		in("nesting.go", "nesting: take brackets in strings for levels", "			inString = char != '\"' || escaped\n", "			inString = false\n"),
		in("nesting.go", "nesting: end strings at an escaped quote", " || escaped\n", "\n"),
		followers("../internal/nesting/nesting.go", "nesting: give up a response with a nested object", "	if !cut {\n		return err", "	if true || cut {\n		return err"),
		followers("../internal/nesting/nesting.go", "nesting: use what is left of a nested spec", "	if _, cut := limit(spec, maxSpecLevels); cut {\n", "	if _, cut := limit(spec, maxSpecLevels); false && cut {\n"),
	}
}
