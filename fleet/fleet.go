// Package fleet is a host's copy of the backend servers that are registered,
// and the rules by which an entry comes and goes. It is pure: it reads no clock.
package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"cicadarouter/revision"
)

// Server is one incarnation of a backend server. Its address may be used by
// another server after its end.
type Server struct {
	ID string
	// Start is that of the incarnation.
	Start   int64
	Service string
	// Address is an IP number and port.
	Address string
	// Domain is the failure domain.
	Domain string
	Slots  int
	// Draining servers finish what they have and take nothing new.
	Draining bool
	// ColdFor is how much longer the server is cold, when the entry was written: it
	// has just started, or works slowly for another reason, and bears few requests.
	ColdFor time.Duration
	// ColdUntil is until when it is taken for cold, on this host's clock.
	ColdUntil time.Duration
	// Evacuated servers are to get nothing: an operator has their domain evacuated.
	Evacuated bool
}

// Leaving reports a server that is to get nothing new.
func (s *Server) Leaving() bool { return s.Draining || s.Evacuated }

// Incarnation returns the name of the server's run.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Start: s.Start} }

// Verdict says what became of an entry.
type Verdict int

// The verdicts.
const (
	// Taken: the entry is in force.
	Taken Verdict = iota
	// Outdated: a later version of the entry is known.
	Outdated
	// EarlierStart: a later incarnation of the server is known.
	EarlierStart
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"taken", "outdated", "earlier-start"}[v]
}

const (
	// returnGrace is how long after the registry's return live servers need to
	// renew their entries: they are back within about 2 s.
	returnGrace = 2 * time.Second
	// believedWrites is how many versions of an entry in a row must name an
	// earlier start than the one known. A heartbeat that its sender made before it
	// ended may be written after its successor's first one, and is one version; a
	// server whose clock was set back between two starts writes on. Three
	// heartbeats are what the registry itself waits for.
	believedWrites = 3
	// endKept is for how long the end of an entry is remembered. Lists and watches
	// that are behind are seconds behind; the store keeps 20 s of history.
	endKept = 30 * time.Second
)

// Directory holds the servers known to a host. It is not safe for concurrent use.
//
// A server whose entry is missing right after the registry was away may only
// have been unable to renew it. Taking it out at once would empty a service on
// every outage longer than the entries' lease; so a missing entry is kept until
// the registry has been back for returnGrace.
//
// News may arrive in another order than it was written, from a list that is
// behind or from another host. So each entry keeps the revision of its last
// version, also past its end, and older versions are refused.
//
// Everything that is done for a change is done for the entries that it concerns: a host that
// takes a few requests a second must not pay for thousands of servers each time that one of
// them changes.
type Directory struct {
	entries map[string]*entry
	// fading are the entries that change with time: those that are missing or have ended.
	fading map[string]*entry
	// changed are the IDs whose servers Changes has not returned as they are now.
	changed map[string]struct{}
	// Evacuations are the operators' requests that concern servers.
	Evacuations *Evacuations
	awayAt      time.Duration // last moment at which the registry was known to be away
	away        bool
	// era is the latest era of the registry's store: see package revision.
	era uint64
}

// entry is what is known of a server's entry.
type entry struct {
	server   Server
	revision uint64 // of the last version known
	ended    bool   // names no server any more, since endedAt
	endedAt  time.Duration
	missing  bool // gone, perhaps only because the registry was away
	earlier  int  // versions in a row that named an earlier start
	// leftIn is the era in which the entry said that the server leaves.
	leftIn uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: map[string]*entry{}, fading: map[string]*entry{}, changed: map[string]struct{}{}, Evacuations: NewEvacuations()}
}

// Away notes that the registry did not answer.
func (d *Directory) Away(now time.Duration) { d.awayAt, d.away = now, true }

// recentlyAway reports whether missing entries are not to be believed yet.
func (d *Directory) recentlyAway(now time.Duration) bool {
	return d.away && now-d.awayAt < returnGrace
}

// FollowedFor returns for how long the registry has answered without a break, as far as that
// is known: since a directory is made, it counts as followed.
func (d *Directory) FollowedFor(now time.Duration) time.Duration {
	if !d.away {
		return math.MaxInt64
	}
	return now - d.awayAt
}

// Version is one version of an entry.
type Version struct {
	Server
	// Revision is the registry's at the entry's last change.
	Revision uint64
	// Unreadable is set if the entry names no server, whoever wrote it. Of the
	// server only the ID is known then.
	Unreadable bool
}

// noteEra takes the revision of news. A store that has come back from a copy has lost entries
// that servers write again, as after an outage.
func (d *Directory) noteEra(now time.Duration, asOf uint64) {
	if era := revision.Era(asOf); era > d.era {
		if len(d.entries) > 0 {
			d.Away(now)
		}
		d.era = era
	}
}

// Replace takes a complete list as of a revision.
func (d *Directory) Replace(now time.Duration, asOf uint64, listed []Version) {
	d.noteEra(now, asOf)
	present := make(map[string]bool, len(listed))
	for _, version := range listed {
		present[version.ID] = true
		d.Put(now, version)
	}
	for id := range d.entries {
		if !present[id] {
			d.Remove(now, id, asOf)
		}
	}
}

// Put takes one version of an entry.
func (d *Directory) Put(now time.Duration, version Version) Verdict {
	d.noteEra(now, version.Revision)
	known := d.entries[version.ID]
	if known == nil {
		known = &entry{}
		d.entries[version.ID] = known
	} else if version.Revision < known.revision || version.Revision == known.revision && known.ended {
		return Outdated
	}
	known.revision = version.Revision
	if version.Unreadable {
		// Whoever wrote it, the registry names no server here any more. A server
		// that lives writes its entry anew with its next heartbeat.
		d.end(now, version.ID, known)
		return Taken
	}
	if known.server.Incarnation().Replaces(version.Incarnation()) {
		if known.earlier++; known.earlier < believedWrites {
			return EarlierStart
		}
	}
	known.take(version)
	if version.ColdFor > 0 {
		known.server.ColdUntil = now + version.ColdFor
	}
	delete(d.fading, version.ID)
	d.Touch(version.ID)
	return Taken
}

// take takes what a version says. A server does not come back from leaving: an entry that
// does not say so any more, in a later era, is what the store held before.
func (e *entry) take(version Version) {
	era := revision.Era(version.Revision)
	if e.server.Draining && e.server.Incarnation() == version.Incarnation() && era > e.leftIn {
		version.Draining = true
	} else if version.Draining {
		e.leftIn = era
	}
	e.server, e.ended, e.missing, e.earlier = version.Server, false, false, 0
}

// Remove takes the end of one entry, of which the registry told at a revision.
func (d *Directory) Remove(now time.Duration, id string, asOf uint64) {
	d.noteEra(now, asOf)
	known := d.entries[id]
	if known == nil || known.ended || asOf < known.revision {
		return
	}
	known.revision = max(known.revision, asOf)
	if d.recentlyAway(now) {
		known.missing = true
		d.fading[id] = known
		return
	}
	d.end(now, id, known)
}

func (d *Directory) end(now time.Duration, id string, known *entry) {
	if !known.ended {
		known.endedAt = now
	}
	known.ended, known.missing, known.earlier = true, false, 0
	d.fading[id] = known
	d.Touch(id)
}

// Expire drops servers whose entries stayed away, and reports whether any was.
func (d *Directory) Expire(now time.Duration) (changed bool) {
	if d.Evacuations.expire(now) {
		changed = true
		d.TouchAll()
	}
	for id, known := range d.fading {
		switch {
		case known.missing && !d.recentlyAway(now):
			d.end(now, id, known)
			changed = true
		case known.ended && now-known.endedAt >= endKept:
			delete(d.entries, id)
			delete(d.fading, id)
		}
	}
	return changed
}

// Touch has Changes return a server, whether its entry has changed or not.
func (d *Directory) Touch(id string) { d.changed[id] = struct{}{} }

// TouchAll has Changes return all servers.
func (d *Directory) TouchAll() {
	for id := range d.entries {
		d.Touch(id)
	}
}

// Changes returns the servers that may have changed since the last call, and the IDs of those
// that are gone, both in order of their IDs.
func (d *Directory) Changes() (changed []Server, gone []string) {
	for _, id := range slices.Sorted(maps.Keys(d.changed)) {
		if server, listed := d.Get(id); listed {
			changed = append(changed, server)
		} else {
			gone = append(gone, id)
		}
	}
	clear(d.changed)
	return changed, gone
}

// Get returns the server that has an ID; listed is false if there is none.
func (d *Directory) Get(id string) (server Server, listed bool) {
	known := d.entries[id]
	if known == nil || known.ended {
		return Server{}, false
	}
	server = known.server
	server.Evacuated = d.Evacuations.InForce(server.Domain)
	server.ColdUntil = max(server.ColdUntil, d.Evacuations.doubtUntil(server.Domain, known.revision))
	return server, true
}

// Lists reports whether an incarnation is the one that its entry names.
func (d *Directory) Lists(incarnation Incarnation) bool {
	known := d.entries[incarnation.ID]
	return known != nil && !known.ended && known.server.Incarnation() == incarnation
}

// At returns the servers that are listed at any of some addresses, by address.
func (d *Directory) At(addresses map[string]bool) map[string]Incarnation {
	found := map[string]Incarnation{}
	if len(addresses) == 0 {
		return found
	}
	for _, known := range d.entries {
		if !known.ended && addresses[known.server.Address] {
			found[known.server.Address] = known.server.Incarnation()
		}
	}
	return found
}
