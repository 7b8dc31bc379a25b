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

// Limits on relays and on the hosts that follow them.
const (
	// relaysPerDomain is the minimum number of relays that a controller selects in each failure
	// domain, so that one can stand in for another.
	relaysPerDomain = 2
	// mostRelays bounds the relays that are listed for a host or in a record.
	mostRelays = 16
	// mostFollowers is the maximum number of hosts to which a controller passes changes on
	// directly. If there are more, hosts follow the relays of their domains, and the controller
	// serves only the relays: a change of an assignment costs the controller about 0.1 ms of
	// CPU time per host, up to eight times a second.
	mostFollowers = 32
	// memberKept is how long a host is considered alive after a report: four report intervals.
	memberKept = 4 * reportEvery
	// namedEvery is how often a controller selects relays.
	namedEvery = time.Second
)

// member is a host that reports to a controller.
type member struct {
	address, domain string
	small           bool
	seen            time.Duration
	// resting are the servers that have asked the host for a long back-off.
	resting []fleet.Incarnation
}

// members are the hosts that report to this controller.
type members struct {
	hosts  map[string]member
	chosen time.Duration // when the relays were last selected
	// chosenOf is the number of hosts at that time.
	chosenOf int
	// relays holds the addresses of relays by failure domain, domains the sorted names of these
	// domains.
	relays  map[string][]string
	domains []string
	// all holds the relays of all domains, interleaved: the first of each domain before the
	// second of any.
	all []string
}

func newMembers() members { return members{hosts: map[string]member{}} }

// note records a report.
func (m *members) note(host string, reporting member) {
	m.hosts[host] = reporting
}

// admitting returns the share of hosts, including this one, that a server has not asked for a
// long back-off. here is set if the server has asked this host.
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

// choose selects relays if the interval has passed, or if twice as many hosts report as last
// time: while the system starts, the first host to report would otherwise become the relay of
// all others.
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
	// Large hosts first: a relay may have dozens of followers.
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

// relaysNeeded returns the number of relays for a domain. Each relay has about as many
// followers as the controller has relays, so that the load on either grows with the square root
// of the number of hosts.
func relaysNeeded(ofDomain, hosts int) int {
	followers := max(mostFollowers, math.Sqrt(float64(hosts)))
	return max(relaysPerDomain, int(math.Ceil(float64(ofDomain)/followers)))
}

// inTurn returns the relays of all domains, taking one from each domain at a time.
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

// relaysFor returns the relays for a host: first those of its own domain, rotated so that each
// comes first for an equal share of hosts, then one of each other domain, in case the host's
// own domain has lost contact with the store.
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
