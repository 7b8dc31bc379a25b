package fleet

import (
	"maps"
	"slices"
	"time"

	"cicadarouter/revision"
)

// Evacuations holds the evacuated failure domains: their servers must get no requests until an
// operator ends the evacuation. It is not safe for concurrent use.
//
// Like versions of entries, requests and their ends may arrive out of order, from a list that lags
// or from another host. The revision of the last version is therefore kept after the end, and older
// versions are rejected: otherwise a late version could evacuate a domain again, or end an
// evacuation.
type Evacuations struct{ byDomain map[string]evacuation }

// evacuation is the known state of one domain.
type evacuation struct {
	revision uint64 // of the last version
	inForce  bool
	endedAt  time.Duration
	// lost is set while a store that was restored from a backup does not contain the request, which
	// was first noticed at lostAt.
	lost   bool
	lostAt time.Duration
}

// assumedColdFor is how long the servers of a domain are considered cold after its evacuation ends,
// unless newer entries say otherwise. A heartbeat is sent within a second and takes up to another
// second to reach the hosts.
const assumedColdFor = 2 * time.Second

// lostGrace is how long an evacuation stays in force that a restored store does not contain.
// Its operator is expected to request it again within that time.
const lostGrace = 5 * time.Second

// NewEvacuations returns an empty set of evacuations.
func NewEvacuations() *Evacuations { return &Evacuations{byDomain: map[string]evacuation{}} }

// Begin applies a version of a request to evacuate a domain, and reports whether that evacuated it.
func (e *Evacuations) Begin(domain string, version uint64) bool {
	known := e.byDomain[domain]
	if version < known.revision || version == known.revision && !known.inForce {
		return false
	}
	e.byDomain[domain] = evacuation{revision: version, inForce: true}
	return !known.inForce
}

// End applies the removal of a request to evacuate a domain, which the store reported at a
// revision, and reports whether that ended the evacuation. In a later era than that of the request
// it does not at once, because a restored store may merely have lost the request.
func (e *Evacuations) End(now time.Duration, domain string, asOf uint64) bool {
	if e.keepLost(now, domain, asOf) {
		return false
	}
	return e.end(now, domain, asOf)
}

func (e *Evacuations) end(now time.Duration, domain string, asOf uint64) bool {
	known, ok := e.byDomain[domain]
	if !ok || !known.inForce || asOf < known.revision {
		return false
	}
	e.byDomain[domain] = evacuation{revision: asOf, endedAt: now}
	return true
}

// Replace applies a complete list as of a revision, given as the revisions of the requests by
// domain. It returns the domains that changed.
func (e *Evacuations) Replace(now time.Duration, asOf uint64, listed map[string]uint64) []string {
	var changed []string
	for _, domain := range slices.Sorted(maps.Keys(listed)) {
		if e.Begin(domain, listed[domain]) {
			changed = append(changed, domain)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(e.byDomain)) {
		if _, present := listed[domain]; !present && e.End(now, domain, asOf) {
			changed = append(changed, domain)
		}
	}
	return changed
}

// keepLost reports whether an evacuation stays in force although its request is not listed, because
// the store may have lost the request in a restore. It records the first time.
func (e *Evacuations) keepLost(now time.Duration, domain string, asOf uint64) bool {
	known := e.byDomain[domain]
	if !known.inForce || revision.Era(asOf) <= revision.Era(known.revision) {
		return false
	}
	if !known.lost {
		known.lost, known.lostAt = true, now
		e.byDomain[domain] = known
	}
	return now-known.lostAt < lostGrace
}

// Contains reports whether a domain is evacuated.
func (e *Evacuations) Contains(domain string) bool { return e.byDomain[domain].inForce }

// Domains returns the evacuated domains in order.
func (e *Evacuations) Domains() []string {
	var domains []string
	for _, domain := range slices.Sorted(maps.Keys(e.byDomain)) {
		if e.byDomain[domain].inForce {
			domains = append(domains, domain)
		}
	}
	return domains
}

// assumedColdUntil returns until when a server must be considered cold because its domain's
// evacuation ended after the given version of its entry was written, or 0 if none did.
func (e *Evacuations) assumedColdUntil(domain string, version uint64) time.Duration {
	known, ok := e.byDomain[domain]
	if !ok || known.inForce || version > known.revision {
		return 0
	}
	return known.endedAt + assumedColdFor
}

// expire drops ended evacuations that no late version can refer to any more, and ends the
// evacuations that a restored store does not contain and nobody has requested again. It reports
// whether it ended any.
func (e *Evacuations) expire(now time.Duration) (ended bool) {
	for domain, known := range e.byDomain {
		switch {
		case known.lost && now-known.lostAt >= lostGrace:
			ended = e.end(now, domain, known.revision) || ended
		case !known.inForce && now-known.endedAt >= removalTTL:
			delete(e.byDomain, domain)
		}
	}
	return ended
}
