package main

import "slices"

// linkMutants break the rules by which a host finds that its links to servers are lost, forwards
// requests, and handles forwarded ones.
func linkMutants() []mutant {
	tracker := breaking("connectivity", "ProbeIsDue|ProbeResults|SilenceDoesNotDelay|ProbeIsRepeated|RefutedProbes|FollowsTheLinks")
	domains := breaking("connectivity", "DomainFaults|DomainProbe|OneResponse|StalledHost|Flapping|RefutedDomain|ReplayOfCutOff")
	cutOff := breaking("balance", "CutOff|SampleForDomain|TheirDomainIsBack")
	domainHost := breaking("gateway", "HostFindsDomain|ConnectionsOfDomain|DomainThatResponds")
	status := breaking("gateway", "StatusOfRequests")
	sent := mutant{pkg: "gateway", run: "StatusOfRequests", file: "link/backendlink/exchange.go"}
	sent.name, sent.old, sent.new = "backendlink: take a request with a body for sent before its first byte", "counter.stop() == 0", "counter.stop() < 0"
	const copies = "LateCopy|RejectionWithoutID|RepliesAreTrue"
	stray := breaking("gateway", copies)
	sentTwice := mutant{pkg: "gateway", run: copies, file: "link/backendlink/pool.go"}
	sentTwice.name, sentTwice.old, sentTwice.new = "backendlink: send an ID twice on a connection", "if !c.sent.contains(id) {", "if !c.sent.contains(requestID{}) {"
	replaced := mutant{pkg: "link/backendlink", run: "IDIsSentOnce", file: "link/backendlink/pool.go"}
	replaced.name, replaced.old, replaced.new = "backendlink: add to the open connections with each retry", "	p.closeOneIdle()\n", ""
	host := breaking("gateway", "WithoutLinks|Forward|PeerFails|PromisesWhile|LostLinks|ControllerKeepsRole|WorkingConnections|StreamedRequest")
	return slices.Concat([]mutant{
		tracker("tracker.go", "blame the links for one dead server", "case evidence.FailedServers >= min(minFailedServers, servers) &&", "case evidence.FailedServers >= 1 &&"),
		tracker("tracker.go", "ignore that a server accepted a connection", "		if at <= began {", "		if false && at <= began {"),
		tracker("tracker.go", "forget failures later than a connection was begun", "		if at <= began {", "		if at > 0 {"),
		tracker("tracker.go", "count old failures", "		if now-at > failureWindow {", "		if now < at-failureWindow {"),
		tracker("tracker.go", "ignore silent servers", "case silent && evidence.SilentServers", "case false && evidence.SilentServers"),
		tracker("tracker.go", "ignore that a server answers", "silent := now-t.lastAnswer >= SilenceThreshold", "silent := true"),
		tracker("tracker.go", "take slow requests for silent servers", "if now-pending.since >= silentServerAge {", "if now >= pending.since {"),
		tracker("tracker.go", "count requests that have ended", "	if pending.count--; pending.count <= 0 {", "	if pending.count--; pending.count < -99 {"),
		tracker("tracker.go", "probe again and again", "		t.probed.extend(now)\n", ""),
		tracker("tracker.go", "wait with a probe for failures after one for silence", "		t.probed = &t.silence\n", "		t.probed = &t.failures\n"),
		tracker("tracker.go", "restore the links after one accepted connection", "case t.lost && accepted >= failed:", "case t.lost && accepted > 0:"),
		tracker("tracker.go", "lose the links although a server accepts", "case accepted == 0:\n		t.lost,", "case accepted <= failed:\n		t.lost,"),
		tracker("tracker.go", "believe one failed probe while servers answer", "case accepted == 0 && !unconfirmed && now-t.lastAnswer < SilenceThreshold:", "case false && unconfirmed:"),
	}, []mutant{
		host("forward.go", "send the rest of a body that a peer has begun to read", "		if result.declined != \"\" && req.remainingBody != nil {", "		if false {"),
		host("request.go", "forward nothing", "	answer, retryAfter := g.forwardToPeers(ctx, req)\n", "	answer, retryAfter := (*reply)(nil), defaultRetryAfter\n"),
		host("request.go", "forward forwarded requests", "	if req.forwarded != nil {\n		if req.sendCount", "	if false {\n		if req.sendCount"),
		host("forward.go", "forward a request again that a peer has received", "return g.peerLost(ctx, req, err)\n	}\n	var result", "return forwardAttempt{err: err, failed: true}\n	}\n	var result"),
		host("forward.go", "report a request that a peer has received as not run", "return forwardAttempt{err: err, failed: true, reply: errorReply(http.StatusBadGateway, outcomePeerLost, err)}", "return forwardAttempt{err: err, failed: true, reply: rejection(outcomePeerLost, defaultRetryAfter)}"),
		host("forward.go", "take any answer for a peer's", "		return g.peerLost(ctx, req, errNotForwarded)\n", ""),
		host("forward.go", "give up when one peer declines", "	maxForwardTries = 4", "	maxForwardTries = 1"),
		host("forward.go", "show callers the headers between hosts", "	answer.header.Del(headerForwardResult)\n", ""),
		host("forward.go", "give a peer all of the caller's time again", "ElapsedMicros: (g.now() - req.arrivedAt).Microseconds(), ", ""),
		host("forward.go", "let servers work for callers that have left", "	stop := context.AfterFunc(ctx, exchange.Abort)\n", "	stop := func() bool { return true }\n"),
		host("forwarded.go", "handle requests by another configuration", "case current.Version != req.forwarded.Configuration:", "case false:"),
		host("forwarded.go", "take requests during shutdown", "case g.stop.stopping():", "case false:"),
		host("forwardpeers.go", "use a peer that has just failed", "max(peer.avoidUntil, peer.withoutLinksUntil[service]) - now; left > 0 {", "max(peer.avoidUntil, peer.withoutLinksUntil[service]) - now; false && left > 0 {"),
		host("forwardpeers.go", "send all requests to one peer", "	best.inFlight++\n", ""),
		host("forwardring.go", "name the same peers to all hosts", "entry := entries[(first+i)%len(entries)]", "entry := entries[(0*first+i)%len(entries)]"),
		host("control.go", "keep control without links", "	if g.shouldResign(c) {", "	if false {"),
		host("serverends.go", "take a refusal by the own link for a server's end", "	if !g.reachesAnotherServer(server.Address) &&", "	if g.confirmRefusals(refusedAt); !g.reachesAnotherServer(server.Address) &&"),
		host("linkprobe.go", "remember refusals by a link that is lost", "			g.forgetRefusals()\n", ""),
		host("attempt.go", "wait on silent connections", "context.AfterFunc(links, abortIf(g.takeRetryOnLoss))", "context.AfterFunc(context.Background(), abortIf(g.takeRetryOnLoss))"),
		host("attempt.go", "abort requests on connections that work", "	return links.areSilent() && !links.answeredWithin(g.now(), connectivity.SilenceThreshold) && req", "	return connectivity.SilenceThreshold > 0 && links != nil && req"),
		domains("domains.go", "find a domain cut off although a server responds", "case responded || evidence.servers()", "case evidence.servers()"),
		domains("domains.go", "find a domain cut off by two servers", "evidence.servers() < min(minCutOffServers, s.servers)", "evidence.servers() < 1"),
		domains("domains.go", "find a domain cut off while no other one responds", "	case !othersResponded:", "	case false:"),
		domains("domains.go", "count another domain's response before the probe", "state.lastResponse >= since", "state.lastResponse > 0"),
		domains("domains.go", "believe a probe of a stalled host", " && now-began <= maxProbeTime", ""),
		domains("domains.go", "find a domain cut off that has just responded", "	case !s.silentFor(now) && !s.unconfirmed:", "	case false:"),
		domains("domains.go", "keep a domain cut off that responds", "	s.cutOff = false\n", ""),
		domains("domains.go", "keep a domain cut off that refuses connections", "case DialAccepted, DialRefused:", "case DialAccepted:"),
		domains("domains.go", "remember failures after a response", "	clear(s.failed)\n	restored", "	restored"),
		domains("domains.go", "count old failures of a domain", "		if now-attempt.ended > failureWindow {", "		if false {"),
		domains("domains.go", "probe a domain because of one server", "case evidence.FailedServers >= min(minFailedServers, s.servers)", "case evidence.FailedServers >= 1"),
		domains("domains.go", "ignore silent servers of a domain", "case s.silentFor(now) && evidence.SilentServers", "case false && evidence.SilentServers"),
		domains("domains.go", "ignore pending connections", "s.pendingFor(s.dialing, now, slowDialAge)", "s.pendingFor(nil, now, slowDialAge)"),
		domains("domains.go", "ignore connections that are reset", "	case ExchangeReset:\n		state.failed[address] = failedAttempt{began: sent, ended: now}\n", ""),
		domains("domains.go", "probe a domain again and again", "			s.probed.extend(now)\n", ""),
		domains("domains.go", "start a second probe", "if s.cutOff || s.probing ||", "if s.cutOff ||"),
		domains("domains.go", "keep the failures of a removed server", "	delete(state.failed, address)\n", ""),
		cutOff("pool.go", "send requests without keys to a cut-off domain", "	case p.isCutOff(server), !server.reachable(now):", "	case !server.reachable(now):"),
		cutOff("pool.go", "hold requests for keys of a cut-off domain", "	if server != nil && p.isCutOff(server) {\n		p.reject", "	if false {\n		p.reject"),
		cutOff("pool.go", "hold requests whose keys wait for a lease to end", "	inVain := len(p.cutOff) > 0", "	inVain := false && len(p.cutOff) > 0"),
		cutOff("pool.go", "reject at once without a cut", "	inVain := len(p.cutOff) > 0 &&", "	inVain :="),
		cutOff("pool.go", "send requests to owners in a cut-off domain", " || p.isCutOff(server) {\n			return nil", " {\n			return nil"),
		cutOff("reject.go", "accept requests for keys of a cut-off domain", "	if server != nil && p.isCutOff(server) {\n		return", "	if false {\n		return"),
		cutOff("reject.go", "count the slots of a cut-off domain", "		case p.isCutOff(server):\n", "		case false:\n"),
		cutOff("cutoff.go", "avoid servers whose domain is back", "			server.forgetUnreachable() // the path was at fault\n", ""),
		cutOff("cutoff.go", "tell callers to return before keys have an owner", "RetryAfter: expected + spread", "RetryAfter: clampRetryAfter(expected + spread)"),
		breaking("gateway", "KeysThatMoveFromCutOff")("keyview.go", "expect a release from a cut-off domain", "v.domains[former.Server]]; cutOff {", "v.domains[former.Server]]; cutOff && false {"),
		domainHost("domainlinks.go", "probe no domain", "domain, due := s.domains.startProbe(now, forced); due {", "domain, due := s.domains.startProbe(now, forced); due && false {"),
		domainHost("domainlinks.go", "use a cut-off domain", "	s.pool.SetCutOff(s.now(), ownedAt)\n", ""),
		domainHost("attempt.go", "wait on silent connections of a cut-off domain", "context.AfterFunc(cutOff, abortIf(g.takeRetryOnCutOff))", "context.AfterFunc(context.Background(), abortIf(g.takeRetryOnCutOff))"),
		status("attempt.go", "take a request for sent whose deadline passes before the first byte", "		result.notRun = true // also if the deadline has passed\n", ""),
		status("attempt.go", "ignore a refusal that breaks off", "	if err != nil && metadata.NotRun {", "	if false {"),
		sent,
		sentTwice,
		replaced,
		stray("attempt.go", "take a rejection without an ID on a reused connection", "		if isUnidentified && exchange.Reused {", "		if isUnidentified && false {"),
		stray("attempt.go", "keep a connection whose rejection lacked the ID", "end == responseWhole && result.hasID {", "end == responseWhole {"),
		host("linkprobe.go", "probe one service only", "			g.probeOtherServices(now, s)\n", ""),
	})
}
