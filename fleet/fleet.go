// Package fleet is a host's copy of the registry of backend servers, with the rules by which
// registry entries are accepted and removed. It performs no I/O and reads no clock.
package fleet

import (
	"maps"
	"math"
	"slices"
	"time"

	"cicadarouter/revision"
)

// Server is one incarnation of a backend server. After it terminates, another server may use its
// address.
type Server struct {
	ID string
	// Start is the start time of the incarnation: see Incarnation.
	Start   int64
	Service string
	// Address is an IP address and port.
	Address string
	// Domain is the failure domain.
	Domain string
	Slots  int
	// Draining servers finish their requests and accept no new ones.
	Draining bool
	// ColdFor is how much longer the server was going to be cold when the entry was written. A cold
	// server can handle few requests, because it has just started or is slow for another reason.
	ColdFor time.Duration
	// ColdUntil is until when the server is considered cold, on this host's clock.
	ColdUntil time.Duration
	// Evacuated servers must get no requests, because an operator has evacuated their domain.
	Evacuated bool
}

// Leaving reports whether the server must get no new requests.
func (s *Server) Leaving() bool { return s.Draining || s.Evacuated }

// Incarnation returns the incarnation of the server.
func (s *Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Start: s.Start} }

// PutResult is the result of Put.
type PutResult int

const (
	// Applied: the version is in effect.
	Applied PutResult = iota
	// Outdated: a later version of the entry is known.
	Outdated
	// EarlierStart: a later incarnation of the server is known.
	EarlierStart
)

// String returns the name of the result, as log lines show it.
func (r PutResult) String() string {
	return [...]string{"taken", "outdated", "earlier-start"}[r]
}

const (
	// renewalGrace is how long servers have to renew their entries after the registry becomes
	// available again. Live servers renew them within about 2 s.
	renewalGrace = 2 * time.Second
	// acceptEarlierStartAfter is the number of consecutive versions of an entry that must name an
	// earlier start than the known one before it is accepted. A heartbeat that a process sent
	// before it terminated may be written after the first one of its successor, but only once; a
	// server whose clock was set back between two starts keeps writing. Three heartbeats are also
	// the time after which the registry itself expires an entry.
	acceptEarlierStartAfter = 3
	// removalTTL is how long the removal of an entry is remembered. Lists and watches lag by
	// seconds; the store keeps a history of 20 s.
	removalTTL = 30 * time.Second
)

// Directory holds the servers known to a host. It is not safe for concurrent use.
//
// An entry that is missing right after an outage of the registry may only have expired because its
// server could not renew it. Removing it at once would leave a service without servers after every
// outage longer than the lease of the entries. A missing entry is therefore kept until the registry
// has been available for renewalGrace.
//
// Versions may arrive out of order, from a list that lags or from another host. Each entry
// therefore keeps the revision of its last version, also after its removal, and rejects older
// versions.
//
// A change costs time proportional to the entries that it concerns, not to all entries: a host that
// serves a few requests per second must not process thousands of servers whenever one of them
// changes.
type Directory struct {
	entries map[string]*entry
	// expiring holds the entries that change with time alone: missing and removed ones.
	expiring map[string]*entry
	// changed holds the IDs of the servers that changed since the last call of TakeChanges.
	changed map[string]struct{}
	// Evacuations holds the evacuated failure domains.
	Evacuations    *Evacuations
	unavailableAt  time.Duration // last time at which the registry was known to be unavailable
	wasUnavailable bool          // whether unavailableAt is set
	// era is the latest known era of the registry's store: see package revision.
	era uint64
}

// entry is the known state of a registry entry.
type entry struct {
	server        Server
	revision      uint64 // of the last version known
	removed       bool   // whether the entry was removed, at removedAt
	removedAt     time.Duration
	missing       bool // whether it may be missing only because the registry was unavailable
	earlierStarts int  // consecutive versions that named an earlier start
	// drainingEra is the era of the last version that said that the server is draining.
	drainingEra uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: map[string]*entry{}, expiring: map[string]*entry{}, changed: map[string]struct{}{}, Evacuations: NewEvacuations()}
}

// MarkUnavailable records that the registry is unavailable.
func (d *Directory) MarkUnavailable(now time.Duration) { d.unavailableAt, d.wasUnavailable = now, true }

// recentlyUnavailable reports whether entries may be missing only because the registry was
// unavailable.
func (d *Directory) recentlyUnavailable(now time.Duration) bool {
	return d.wasUnavailable && now-d.unavailableAt < renewalGrace
}

// AvailableFor returns how long the registry has been available without a known interruption. A new
// directory counts as available forever.
func (d *Directory) AvailableFor(now time.Duration) time.Duration {
	if !d.wasUnavailable {
		return math.MaxInt64
	}
	return now - d.unavailableAt
}

// Version is one version of an entry.
type Version struct {
	Server
	// Revision is the registry's revision of the last change to the entry.
	Revision uint64
	// Unreadable is set if the entry can't be parsed as a server, whoever wrote it. Only the
	// server's ID is known then.
	Unreadable bool
}

// updateEra updates the era from the revision of received data. A store that was restored from a
// backup has lost entries, which servers write again as after an outage.
func (d *Directory) updateEra(now time.Duration, asOf uint64) {
	if era := revision.Era(asOf); era > d.era {
		if len(d.entries) > 0 {
			d.MarkUnavailable(now)
		}
		d.era = era
	}
}

// Replace applies a complete list as of a revision.
func (d *Directory) Replace(now time.Duration, asOf uint64, listed []Version) {
	d.updateEra(now, asOf)
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

// Put applies one version of an entry.
func (d *Directory) Put(now time.Duration, version Version) PutResult {
	d.updateEra(now, version.Revision)
	known := d.entries[version.ID]
	if known == nil {
		known = &entry{}
		d.entries[version.ID] = known
	} else if version.Revision < known.revision || version.Revision == known.revision && known.removed {
		return Outdated
	}
	known.revision = version.Revision
	if version.Unreadable {
		// The registry no longer names a server here, whoever wrote the entry. A live server
		// rewrites its entry with the next heartbeat.
		d.markRemoved(now, version.ID, known)
		return Applied
	}
	if known.server.Incarnation().Replaces(version.Incarnation()) {
		if known.earlierStarts++; known.earlierStarts < acceptEarlierStartAfter {
			return EarlierStart
		}
	}
	known.apply(version)
	if version.ColdFor > 0 {
		known.server.ColdUntil = now + version.ColdFor
	}
	delete(d.expiring, version.ID)
	d.MarkChanged(version.ID)
	return Applied
}

// apply applies a version. A server that drains never becomes ready again: if a version of a later
// era says that the same incarnation is not draining, a restored store has written back an earlier
// state.
func (e *entry) apply(version Version) {
	era := revision.Era(version.Revision)
	if e.server.Draining && e.server.Incarnation() == version.Incarnation() && era > e.drainingEra {
		version.Draining = true
	} else if version.Draining {
		e.drainingEra = era
	}
	e.server, e.removed, e.missing, e.earlierStarts = version.Server, false, false, 0
}

// Remove applies the removal of an entry, which the registry reported at a revision.
func (d *Directory) Remove(now time.Duration, id string, asOf uint64) {
	d.updateEra(now, asOf)
	known := d.entries[id]
	if known == nil || known.removed || asOf < known.revision {
		return
	}
	known.revision = max(known.revision, asOf)
	if d.recentlyUnavailable(now) {
		known.missing = true
		d.expiring[id] = known
		return
	}
	d.markRemoved(now, id, known)
}

func (d *Directory) markRemoved(now time.Duration, id string, known *entry) {
	if !known.removed {
		known.removedAt = now
	}
	known.removed, known.missing, known.earlierStarts = true, false, 0
	d.expiring[id] = known
	d.MarkChanged(id)
}

// Expire removes servers whose entries stayed missing, ends evacuations that a restored store no
// longer contains, and drops state that is no longer needed. It reports whether any server changed.
func (d *Directory) Expire(now time.Duration) (changed bool) {
	if d.Evacuations.expire(now) {
		changed = true
		d.MarkAllChanged()
	}
	for id, known := range d.expiring {
		switch {
		case known.missing && !d.recentlyUnavailable(now):
			d.markRemoved(now, id, known)
			changed = true
		case known.removed && now-known.removedAt >= removalTTL:
			delete(d.entries, id)
			delete(d.expiring, id)
		}
	}
	return changed
}

// MarkChanged marks a server as changed, so that TakeChanges returns it.
func (d *Directory) MarkChanged(id string) { d.changed[id] = struct{}{} }

// MarkAllChanged marks all servers as changed.
func (d *Directory) MarkAllChanged() {
	for id := range d.entries {
		d.MarkChanged(id)
	}
}

// TakeChanges returns the servers that may have changed since the last call, and the IDs of the
// removed ones, both ordered by ID.
func (d *Directory) TakeChanges() (changed []Server, gone []string) {
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

// Get returns the server with an ID; listed is false if there is none.
func (d *Directory) Get(id string) (server Server, listed bool) {
	known := d.entries[id]
	if known == nil || known.removed {
		return Server{}, false
	}
	server = known.server
	server.Evacuated = d.Evacuations.Contains(server.Domain)
	server.ColdUntil = max(server.ColdUntil, d.Evacuations.assumedColdUntil(server.Domain, known.revision))
	return server, true
}

// Contains reports whether an incarnation is the registered one.
func (d *Directory) Contains(incarnation Incarnation) bool {
	known := d.entries[incarnation.ID]
	return known != nil && !known.removed && known.server.Incarnation() == incarnation
}

// ByAddress returns the servers registered at the given addresses, by address.
func (d *Directory) ByAddress(addresses map[string]bool) map[string]Incarnation {
	found := map[string]Incarnation{}
	if len(addresses) == 0 {
		return found
	}
	for _, known := range d.entries {
		if !known.removed && addresses[known.server.Address] {
			found[known.server.Address] = known.server.Incarnation()
		}
	}
	return found
}
