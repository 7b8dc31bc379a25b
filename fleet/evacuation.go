package fleet

import (
	"maps"
	"slices"
	"time"
)

// Evacuations are the failure domains whose servers are to get nothing until an
// operator takes the domain back. It is not safe for concurrent use.
//
// News of it comes in any order, as that of servers' entries does: from lists that
// are behind, or from another host. So the revision of the last version is kept
// past its end, and older ones are refused: a domain that was taken back must not
// be evacuated again by late news, nor the other way round.
type Evacuations struct{ known map[string]evacuation }

// evacuation is what is known of one domain.
type evacuation struct {
	revision uint64 // of the last version known
	inForce  bool
	endedAt  time.Duration
}

// coldDoubt is for how long the servers of a domain that was taken back are taken
// to be cold while their entries are older than that: a heartbeat comes within a
// second, and takes up to another to reach the hosts.
const coldDoubt = 2 * time.Second

// NewEvacuations returns no evacuations.
func NewEvacuations() *Evacuations { return &Evacuations{known: map[string]evacuation{}} }

// Begin takes one version of a request to evacuate a domain, and reports whether it
// was news.
func (e *Evacuations) Begin(domain string, revision uint64) bool {
	known := e.known[domain]
	if revision < known.revision || revision == known.revision && !known.inForce {
		return false
	}
	e.known[domain] = evacuation{revision: revision, inForce: true}
	return !known.inForce
}

// End takes the end of a domain's evacuation, of which the store told at a revision,
// and reports whether it was news.
func (e *Evacuations) End(now time.Duration, domain string, revision uint64) bool {
	known, ok := e.known[domain]
	if !ok || !known.inForce || revision < known.revision {
		return false
	}
	e.known[domain] = evacuation{revision: revision, endedAt: now}
	return true
}

// Replace takes a complete list as of a revision: the revisions of the requests, by
// domain. It returns the domains for which that was news.
func (e *Evacuations) Replace(now time.Duration, asOf uint64, listed map[string]uint64) []string {
	var changed []string
	for _, domain := range slices.Sorted(maps.Keys(listed)) {
		if e.Begin(domain, listed[domain]) {
			changed = append(changed, domain)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(e.known)) {
		if _, present := listed[domain]; !present && e.End(now, domain, asOf) {
			changed = append(changed, domain)
		}
	}
	return changed
}

// InForce reports whether a domain's servers are to get nothing.
func (e *Evacuations) InForce(domain string) bool { return e.known[domain].inForce }

// Domains returns the domains that are evacuated, in order.
func (e *Evacuations) Domains() []string {
	var domains []string
	for _, domain := range slices.Sorted(maps.Keys(e.known)) {
		if e.known[domain].inForce {
			domains = append(domains, domain)
		}
	}
	return domains
}

// doubtUntil is until when a server whose entry is of some revision has to be taken
// for cold, because its domain was taken back since; 0 if it was not.
func (e *Evacuations) doubtUntil(domain string, revision uint64) time.Duration {
	known, ok := e.known[domain]
	if !ok || known.inForce || revision > known.revision {
		return 0
	}
	return known.endedAt + coldDoubt
}

// expire forgets ends that nobody can be behind any more.
func (e *Evacuations) expire(now time.Duration) {
	for domain, known := range e.known {
		if !known.inForce && now-known.endedAt >= endKept {
			delete(e.known, domain)
		}
	}
}
