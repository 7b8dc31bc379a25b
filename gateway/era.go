package gateway

import (
	"encoding/json"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/keyspace"
	"cicadarouter/revision"
)

// noteEra notes the era of the store that an answer told.
func (g *Gateway) noteEra(kind string, era uint64) {
	for before := g.era.Load(); era > before; before = g.era.Load() {
		if !g.era.CompareAndSwap(before, era) {
			continue
		}
		g.log.Warn("store tells another era: it has come back from a copy, or this is the first", "kind", kind, "era", era, "before", before)
		return
	}
}

// restore has a controller write its record again if the store, which has come back from a
// copy, holds an earlier one or none, and reports whether that is so. A controller without
// authority gives up: a successor that the store has forgotten as well may have moved keys.
func (g *Gateway) restore(c *serviceControl, found objects.Object, now time.Duration) bool {
	era := g.era.Load()
	if found.Revision > 0 {
		era = revision.Era(found.Revision)
		var stored keyspace.Record
		err := json.Unmarshal(found.Spec, &stored)
		if era <= revision.Era(c.revision) || err == nil && c.machine.Record().OlderThan(&stored) {
			return false
		}
	}
	if c.writeInFlight {
		return true // the write under way meets what the store holds, and tells
	}
	g.noteEra(Assignments, era)
	g.log.Warn("store does not hold the assignment that it had acknowledged", "service", c.service.name, "revision", c.revision,
		"found", found.Revision, "term", c.machine.Record().Term, "authority", c.machine.Authorized(now))
	c.revision, c.quarantine = found.Revision, storedQuarantine{}
	if !c.machine.Authorized(now) {
		c.recordMissing = found.Revision == 0
		g.stepDown(c, "the store has forgotten it, and its authority has run out", "")
		return true
	}
	c.machine.RewriteLostRecord(era)
	g.nudge()
	return true
}
