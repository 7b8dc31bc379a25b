package gateway

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"cicadarouter/fleet"
)

// Bounds of relays.
const (
	// relaysPerDomain is how many hosts of each failure domain a controller names
	// as relays at least: the second stands in for the first.
	relaysPerDomain = 2
	// mostRelays bounds the relays that a host or a record names.
	mostRelays = 16
	// mostFollowers is how many hosts a controller passes changes on to itself. With
	// more they follow the relays of their domains, and the controller those only: a
	// change of an assignment is some 0.1 ms of its processor a host, and comes up to
	// eight times a second.
	mostFollowers = 32
	// memberKept is for how long a host that has reported is taken to live: four
	// reports.
	memberKept = 4 * reportEvery
	// namedEvery is how often a controller chooses relays anew.
	namedEvery = time.Second
)

// member is a host that reports to a controller.
type member struct {
	address, domain string
	small           bool
	seen            time.Duration
	// resting are the servers that have asked the host for a long rest.
	resting []fleet.Incarnation
}

// members are the hosts that report to a controller.
type members struct {
	hosts  map[string]member
	chosen time.Duration // when the relays were
	// chosenOf is how many hosts reported then.
	chosenOf int
	// relays are addresses by failure domain, domains their domains in order.
	relays  map[string][]string
	domains []string
	// all are the relays of all domains, the first of each before the second.
	all []string
}

func newMembers() members { return members{hosts: map[string]member{}} }

// note takes a report.
func (m *members) note(host string, reporting member) {
	m.hosts[host] = reporting
}

// admitting returns the part of the hosts, this one and those that report, that a server
// has not asked for a long rest.
func (m *members) admitting(server fleet.Incarnation, here bool) float64 {
	resting := 0
	if here {
		resting++
	}
	for _, each := range m.hosts {
		if slices.Contains(each.resting, server) {
			resting++
		}
	}
	return 1 - float64(resting)/float64(len(m.hosts)+1)
}

// choose names relays anew if it is time, or if twice as many hosts report: as the system
// starts, the first one that reports would be named to all the others.
func (m *members) choose(now time.Duration) {
	if m.relays != nil && now-m.chosen < namedEvery && len(m.hosts) < 2*m.chosenOf {
		return
	}
	m.chosen, m.chosenOf, m.relays = now, len(m.hosts), map[string][]string{}
	var names []string
	hosts := map[string]int{}
	for name, each := range m.hosts {
		if now-each.seen > memberKept {
			delete(m.hosts, name)
			continue
		}
		names = append(names, name)
		hosts[each.domain]++
	}
	// Large hosts first: dozens of others may come to follow a relay.
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(boolOrder(m.hosts[a].small, m.hosts[b].small), cmp.Compare(hashOf(a), hashOf(b)), cmp.Compare(a, b))
	})
	for _, name := range names {
		each := m.hosts[name]
		if len(m.relays[each.domain]) < relaysNeeded(hosts[each.domain], len(names)) {
			m.relays[each.domain] = append(m.relays[each.domain], each.address)
		}
	}
	m.domains = slices.Sorted(maps.Keys(m.relays))
	m.all = m.inTurn()
}

// relaysNeeded returns how many relays a domain needs. As many hosts follow a relay as relays
// follow the controller, so that what either passes on grows with the root of the hosts.
func relaysNeeded(ofDomain, hosts int) int {
	followers := max(mostFollowers, math.Sqrt(float64(hosts)))
	return max(relaysPerDomain, int(math.Ceil(float64(ofDomain)/followers)))
}

// inTurn returns the relays of all domains, one of each domain at a time.
func (m *members) inTurn() []string {
	var relays []string
	for i := range mostRelays {
		for _, domain := range m.domains {
			if i < len(m.relays[domain]) {
				relays = append(relays, m.relays[domain][i])
			}
		}
	}
	return relays[:min(len(relays), mostRelays)]
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func hashOf(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum32()
}

// relaysFor returns the relays for a host of a domain: its own domain's first, each
// the first of as many hosts, then one of each other domain, for when its own has
// lost the store.
func (m *members) relaysFor(host, domain string, now time.Duration) []string {
	m.choose(now)
	relays := slices.Clone(m.relays[domain])
	if n := uint32(len(relays)); n > 0 {
		turn := hashOf(host) % n
		relays = slices.Concat(relays[turn:], relays[:turn])
	}
	for _, other := range m.domains {
		if other != domain {
			relays = append(relays, m.relays[other][0])
		}
	}
	return relays[:min(len(relays), mostRelays)]
}
