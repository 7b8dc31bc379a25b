package main

import "slices"

// linkMutants break the rules by which a host finds that its links to servers are lost, forwards
// requests, and handles forwarded ones.
func linkMutants() []mutant {
	tracker := breaking("connectivity", ".")
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
		host("attempt.go", "wait on silent connections", "		if g.takeRetryOnLoss(req) {", "		if false {"),
		host("attempt.go", "abort requests on connections that work", "	return links.areSilent() && !links.answeredWithin(g.now(), connectivity.SilenceThreshold) && req", "	return connectivity.SilenceThreshold > 0 && links != nil && req"),
		host("linkprobe.go", "probe one service only", "			g.probeOtherServices(now, s)\n", ""),
	})
}
