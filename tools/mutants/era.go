package main

// eraMutants break the rules by which hosts survive a store that was restored from a backup.
func eraMutants() []mutant {
	keys := breaking("keyspace", "NoKey|Forg")
	wire := breaking("platform", ".")
	entries := breaking("fleet", ".")
	host := breaking("gateway", "RestoredStore|StoreRestore|KeyView")
	return []mutant{
		keys("era.go", "trust a record of an earlier era", "return r.Era == 0 || r.Era > era", "return true"),
		keys("era.go", "take the holders as complete after the store lost some", "		at.FormerHolders = append(at.FormerHolders, Holder{Server: unknownServer, Token: r.LastToken})\n", ""),
		keys("era.go", "issue tokens again", "	r.LastToken += tokensPerEra\n", ""),
		keys("era.go", "start terms again in another era", "	next.Term += termsPerEra\n", ""),
		keys("era.go", "take all records of a term as equal", "return r.Writes < other.Writes", "return false"),
		keys("machine.go", "free the keys of unknown holders when known controllers have stopped", "if key.holder.Server == unknownServer {", `if key.holder.Server == "" {`),
		wire("store.go", "continue a watch from a revision of an earlier era", "	if s.isFromEarlierEra(since) {\n", "	if false {\n"),
		wire("store.go", "accept changes of another era", "	if era != revision.Era(since) {\n", "	if false {\n"),
		wire("store.go", "write with a revision of an earlier era as the condition", "} else if s.isFromEarlierEra(object.Revision) {", "} else if false {"),
		wire("store.go", "report a write in another era as successful", "if object.Revision != 0 && era != revision.Era(object.Revision) || era < s.era.Load() {", "if false {"),
		wire("store.go", "ignore the known era if a response has none", "		return s.era.Load(), nil\n", "		return 0, nil\n"),
		entries("fleet.go", "use a leaving server again", "era > e.drainingEra {", "false {"),
		entries("fleet.go", "remove servers that a restored store lost at once", "		if len(d.entries) > 0 {\n			d.MarkUnavailable(now)\n		}\n", ""),
		entries("evacuation.go", "end an evacuation that a restored store lost at once", "	if e.keepLost(now, domain, asOf) {\n", "	if false {\n"),
		entries("evacuation.go", "keep an evacuation that a restored store lost forever", "known.lost && now-known.lostAt >= lostGrace", "false"),
		host("keyview.go", "take an earlier record as the newest", "if v.storeRolledBack && record.OlderThan(v.record) {", "if false {"),
		host("era.go", "do not write a lost record again", "	c.machine.RewriteLostRecord(era)\n", ""),
		breaking("gateway", "AcrossEras")("relay.go", "send changes since a revision of an earlier era", "if revision.Era(after) < revision.Era(cache.revision) {", "if false {"),
	}
}
