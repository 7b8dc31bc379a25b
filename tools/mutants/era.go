package main

// eraMutants break the rules by which hosts outlast a store that comes back from a copy.
func eraMutants() []mutant {
	keys := breaking("keyspace", "NoKey|Forg")
	wire := breaking("platform", ".")
	entries := breaking("fleet", ".")
	host := breaking("gateway", "CameBack|ForgetsIt|ForgetsThem|KeyView")
	return []mutant{
		keys("era.go", "trust a record of an earlier era", "return r.Era == 0 || r.Era > era", "return true"),
		keys("era.go", "know all holders after the store forgot some", "		at.FormerHolders = append(at.FormerHolders, Holder{Server: unknownServer, Token: r.LastToken})\n", ""),
		keys("era.go", "give out tokens again", "	r.LastToken += tokensPerEra\n", ""),
		keys("era.go", "begin terms again in another era", "	next.Term += termsPerEra\n", ""),
		keys("era.go", "take all records of a term for the same", "return r.Writes < other.Writes", "return false"),
		keys("machine.go", "free the keys of unknown holders by the word of known controllers", "if key.holder.Server == unknownServer {", `if key.holder.Server == "" {`),
		wire("store.go", "continue a watch from a revision of an earlier era", "	if s.isFromEarlierEra(since) {\n", "	if false {\n"),
		wire("store.go", "accept changes of another era", "	if era != revision.Era(since) {\n", "	if false {\n"),
		wire("store.go", "write under a revision of an earlier era", "} else if s.isFromEarlierEra(object.Revision) {", "} else if false {"),
		wire("store.go", "report a write in another era as successful", "if object.Revision != 0 && era != revision.Era(object.Revision) || era < s.era.Load() {", "if false {"),
		wire("store.go", "ignore the known era if a response has none", "		return s.era.Load(), nil\n", "		return 0, nil\n"),
		entries("fleet.go", "let a server come back from leaving", "era > e.leftIn {", "false {"),
		entries("fleet.go", "drop servers that the store forgot", "		if len(d.entries) > 0 {\n			d.Away(now)\n		}\n", ""),
		entries("evacuation.go", "take back an evacuation that the store forgot", "	if e.forget(now, domain, asOf) {\n", "	if false {\n"),
		entries("evacuation.go", "keep a forgotten evacuation for good", "known.forgotten && now-known.forgottenAt >= forgottenKept", "false"),
		host("keyview.go", "take an earlier record for the newest", "if v.storeRolledBack && record.OlderThan(v.record) {", "if false {"),
		host("era.go", "leave the record to the store that forgot it", "	c.machine.RewriteLostRecord(era)\n", ""),
		breaking("gateway", "RelayTellsNo")("relay.go", "pass differences on across eras", "if revision.Era(after) < revision.Era(known.revision) {", "if false {"),
		host("follow.go", "list from a host that has not noticed", "revision.Era(listing.Revision) < g.era.Load()", "false"),
	}
}
