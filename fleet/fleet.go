// Package fleet is a host's copy of the backend servers that are registered,
// and the rules by which an entry comes and goes. It is pure: it reads no clock.
package fleet

import (
	"maps"
	"slices"
	"time"
)

// Server is one incarnation of a backend server. Its ID is never used again;
// its address may be.
type Server struct {
	ID      string
	Service string
	// Address is an IP number and port.
	Address string
	// Domain is the failure domain.
	Domain string
	Slots  int
	// Draining servers finish what they have and take nothing new.
	Draining bool
	// ColdFor is how much longer the server is slow after its start, when the
	// entry was written.
	ColdFor time.Duration
}

// Directory holds the servers known to a host. It is not safe for concurrent use.
//
// A server whose entry is missing right after the registry was away may only
// have been unable to renew it. Taking it out at once would empty a service on
// every outage longer than the entries' lease; so a missing entry is kept until
// the registry has been back for returnGrace.
type Directory struct {
	servers map[string]Server
	missing map[string]time.Duration // when the entry of a kept server went missing
	awayAt  time.Duration            // last moment at which the registry was known to be away
	away    bool
}

// returnGrace is how long after the registry's return live servers need to
// renew their entries: they are back within about 2 s.
const returnGrace = 2 * time.Second

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: map[string]Server{}, missing: map[string]time.Duration{}}
}

// Away notes that the registry did not answer.
func (d *Directory) Away(now time.Duration) { d.awayAt, d.away = now, true }

// recentlyAway reports whether missing entries are not to be believed yet.
func (d *Directory) recentlyAway(now time.Duration) bool {
	return d.away && now-d.awayAt < returnGrace
}

// Replace takes a complete list.
func (d *Directory) Replace(now time.Duration, listed []Server) {
	present := make(map[string]bool, len(listed))
	for _, server := range listed {
		present[server.ID] = true
		d.Put(server)
	}
	for id := range d.servers {
		if !present[id] {
			d.Remove(now, id)
		}
	}
}

// Put takes one entry.
func (d *Directory) Put(server Server) {
	delete(d.missing, server.ID)
	d.servers[server.ID] = server
}

// Remove takes the end of one entry.
func (d *Directory) Remove(now time.Duration, id string) {
	if _, known := d.servers[id]; !known {
		return
	}
	if d.recentlyAway(now) {
		if _, noted := d.missing[id]; !noted {
			d.missing[id] = now
		}
		return
	}
	delete(d.servers, id)
	delete(d.missing, id)
}

// Expire drops servers whose entries stayed away, and reports whether any was.
func (d *Directory) Expire(now time.Duration) bool {
	if d.recentlyAway(now) || len(d.missing) == 0 {
		return false
	}
	for id := range d.missing {
		delete(d.servers, id)
	}
	clear(d.missing)
	return true
}

// Snapshot returns the servers in order of their IDs.
func (d *Directory) Snapshot() []Server {
	servers := make([]Server, 0, len(d.servers))
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		servers = append(servers, d.servers[id])
	}
	return servers
}
