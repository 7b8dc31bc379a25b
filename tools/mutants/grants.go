package main

// grantMutants let fencing tokens go backwards, or break the check of the grants that test servers
// accept, which has to notice it.
func grantMutants() []mutant {
	in := breaking("platform/platformtest", "Owners|Grants")
	calls := breaking("platform", "LateCopy")
	return []mutant{
		{name: "gateway: move keys under a lower token", file: "keyspace/change.go", pkg: "gateway", run: "KeysOfAServerInBackoffMove",
			old: "Start: live[move.Server].Start, Token: next.LastToken}", new: "Start: live[move.Server].Start, Token: next.LastToken / 4}"},
		calls("calls.go", "accept a response with the ID of another call", "	case id != \"\" || c.conn.echoes:\n", "	case false:\n"),
		calls("calls.go", "accept a response to a release without a handoff", "	case c.release && handoff == \"\":\n", "	case false:\n"),
		calls("calls.go", "accept a handoff twice on a connection", "	case c.release && slices.Contains(c.conn.handoffs, handoff):\n", "	case c.release && slices.Contains(c.conn.handoffs[:0], handoff):\n"),
		calls("calls.go", "accept a handoff in response to a grant", "	case !c.release && handoff != \"\":\n", "	case false:\n"),
		in("owners.go", "accept a token that goes backwards", "earlier.Token >= grant.Token {", "earlier.Token == grant.Token {"),
		in("owners.go", "accept the same token at two servers", "earlier.Token >= grant.Token {", "earlier.Token > grant.Token {"),
		in("owners.go", "accept two holders", "if other != server && holdsAny(", "if false && holdsAny("),
		in("server.go", "report no release", "		s.notifyLeases(nil)\n		w.Header()", "		w.Header()"),
		in("server.go", "report no restart", "	s.granted = nil\n	s.notifyLeases(nil)\n", "	s.granted = nil\n"),
	}
}
