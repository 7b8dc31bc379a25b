package gateway

import (
	"encoding/json"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/keyspace"
	"cicadarouter/revision"
)

// noteEra records the store's era as of an answer.
func (g *Gateway) noteEra(kind string, era uint64) {
	for before := g.era.Load(); era > before; before = g.era.Load() {
		if !g.era.CompareAndSwap(before, era) {
			continue
		}
		g.log.Warn("store reports a new era: it was restored from a backup, or this is its first answer", "kind", kind, "era", era, "before", before)
		return
	}
}

// rewriteLostAssignment handles a store that has been restored from a backup and holds an
// earlier version of a controller's record or none. It reports whether that is so, and has the
// controller write the record again. A controller whose authority has expired steps down
// instead: a successor, of which the store has no record either, may have moved keys.
func (g *Gateway) rewriteLostAssignment(c *serviceControl, found objects.Object, now time.Duration) bool {
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
		return true // the pending write will conflict with the store's record and report it
	}
	g.noteEra(Assignments, era)
	g.log.Warn("store has lost an assignment that it had acknowledged", "service", c.service.name, "revision", c.revision,
		"found", found.Revision, "term", c.machine.Record().Term, "authority", c.machine.Authorized(now))
	c.revision, c.quarantine = found.Revision, storedQuarantine{}
	if !c.machine.Authorized(now) {
		c.recordMissing = found.Revision == 0
		g.stepDown(c, "the store has lost its assignment, and its authority has expired", "")
		return true
	}
	c.machine.RewriteLostRecord(era)
	g.wakeControl()
	return true
}
