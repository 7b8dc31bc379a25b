package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the peers that a controller names to one host.
const (
	maxLocalForwardPeers = 4
	maxForwardPeers      = 12
)

// minRingInterval is the minimum time between two updates of the ring: hundreds of hosts report for
// the first time within a second.
const minRingInterval = 50 * time.Millisecond

// forwardRing holds the hosts that handle forwarded requests, by failure domain. Each host gets the
// ones that follow it in the order of hashed addresses: the load is spread, and when a host comes or
// goes, only the lists of a few others change.
type forwardRing struct {
	byDomain map[string][]ringEntry
	domains  []string
}

type ringEntry struct {
	hash    uint64
	address string
}

func newForwardRing() forwardRing { return forwardRing{byDomain: map[string][]ringEntry{}} }

// add adds a host. build must be called after the last one.
func (r *forwardRing) add(domain, address string) {
	r.byDomain[domain] = append(r.byDomain[domain], ringEntry{hash: xxhash.Sum64String(address), address: address})
}

// build orders the hosts.
func (r *forwardRing) build() {
	for _, entries := range r.byDomain {
		slices.SortFunc(entries, func(a, b ringEntry) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address))
		})
	}
	r.domains = slices.Sorted(maps.Keys(r.byDomain))
}

// peersFor returns the peers for a host: first those of its own failure domain, then others, from
// each domain in turn.
func (r *forwardRing) peersFor(address, domain string) peerList {
	hash := xxhash.Sum64String(address)
	list := peerList{Addresses: successors(r.byDomain[domain], hash, address, maxLocalForwardPeers)}
	list.Local = len(list.Addresses)
	var others [][]string
	for _, other := range r.domains {
		if other != domain {
			others = append(others, successors(r.byDomain[other], hash, address, maxForwardPeers))
		}
	}
	for i := range maxForwardPeers {
		for _, each := range others {
			if i < len(each) && len(list.Addresses) < maxForwardPeers {
				list.Addresses = append(list.Addresses, each[i])
			}
		}
	}
	return list
}

// successors returns up to n hosts from a hash on, without the given address.
func successors(entries []ringEntry, hash uint64, without string, n int) []string {
	first, _ := slices.BinarySearchFunc(entries, hash, func(entry ringEntry, want uint64) int { return cmp.Compare(entry.hash, want) })
	var found []string
	for i := range entries {
		if len(found) == n {
			break
		}
		if entry := entries[(first+i)%len(entries)]; entry.address != without {
			found = append(found, entry.address)
		}
	}
	return found
}

// updateForwardRing rebuilds the ring if a host has become available or unavailable, or if the
// interval has passed. self is this host if it handles forwarded requests itself.
func (m *members) updateForwardRing(now time.Duration, self *member) {
	due := relaySelectInterval
	if m.ringOutdated || m.ringHasSelf != (self != nil) {
		due = minRingInterval
	}
	if m.ringBuiltAt > 0 && now-m.ringBuiltAt < due {
		return
	}
	m.ringOutdated, m.ringBuiltAt, m.ringHasSelf = false, now, self != nil
	m.ring = newForwardRing()
	if self != nil {
		m.ring.add(self.domain, self.address)
	}
	for _, each := range m.hosts {
		if each.available && now-each.lastSeen <= memberTimeout {
			m.ring.add(each.domain, each.address)
		}
	}
	m.ring.build()
}

// anyWithLinks reports whether a host has recently reported that it is available and reaches servers
// of a service.
func (m *members) anyWithLinks(service string, now time.Duration) bool {
	for _, each := range m.hosts {
		if each.available && now-each.lastSeen <= memberTimeout && !slices.Contains(each.withoutLinks, service) {
			return true
		}
	}
	return false
}

// available reports whether this host handles forwarded requests.
func (g *Gateway) available() bool { return !g.stop.stopping() && !g.allLinksLost() }

// updateForwardPeers updates, as the controller of a service, the peers of all hosts and of this one.
// It returns false until all hosts have had time to report: a list of the first few would send
// all forwarded requests to them.
func (g *Gateway) updateForwardPeers(c *serviceControl, now time.Duration) bool {
	if now-c.controllerSince < memberTimeout {
		return false
	}
	var self *member
	if g.available() {
		self = &member{address: g.identity.PeerAddress, domain: g.identity.Domain}
	}
	c.members.updateForwardRing(now, self)
	g.peers.update(c.members.ring.peersFor(g.identity.PeerAddress, g.identity.Domain))
	return true
}

// peersForReport returns the peers of a host that reports, or nil if it knows them.
func (m *members) peersForReport(report *loadReport) *peerList {
	list := m.ring.peersFor(report.Address, report.Domain)
	if list.checksum() == report.KnownPeers {
		return nil
	}
	return &list
}
