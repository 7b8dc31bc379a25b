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
	// maxRelays bounds the relays that are listed for a host or in a record.
	maxRelays = 16
	// maxDirectFollowers is the maximum number of hosts to which a controller passes changes on
	// directly. If there are more, hosts follow the relays of their domains, and the controller
	// serves only the relays: a change of an assignment costs the controller about 0.1 ms of
	// CPU time per host, up to eight times a second.
	maxDirectFollowers = 32
	// memberTimeout is how long a host is considered alive after a report: four report intervals.
	memberTimeout = 4 * reportInterval
	// relaySelectInterval is how often a controller selects relays.
	relaySelectInterval = time.Second
)

// member is a host that reports to a controller.
type member struct {
	address, domain string
	small           bool
	lastSeen        time.Duration
	// available is set if the host handles forwarded requests: it has links to some servers and is
	// not shutting down.
	available bool
	// withoutLinks are the services to whose servers the host has lost its links.
	withoutLinks []string
	// resting are the servers that have asked the host for a long back-off.
	resting []fleet.Incarnation
}

// members are the hosts that report to this controller.
type members struct {
	hosts      map[string]member
	selectedAt time.Duration // when the relays were last selected
	// selectedFrom is the number of hosts at that time.
	selectedFrom int
	// relays holds the addresses of relays by failure domain, domains the sorted names of these
	// domains.
	relays  map[string][]string
	domains []string
	// allRelays holds the relays of all domains, interleaved: the first of each domain before the
	// second of any.
	allRelays []string
	// inherited are the relays that the predecessor's record names. They stay until inheritedUntil.
	inherited      []string
	inheritedUntil time.Duration
	ring           forwardRing
	// ringOutdated is set if a host has become available or unavailable since the ring was built.
	ringOutdated bool
	ringBuiltAt  time.Duration
	ringHasSelf  bool
}

func newMembers() members {
	return members{hosts: map[string]member{}, ring: newForwardRing(), ringOutdated: true}
}

// add records a report.
func (m *members) add(host string, reporting member) {
	before, known := m.hosts[host]
	m.ringOutdated = m.ringOutdated || !known || before.available != reporting.available || before.address != reporting.address
	m.hosts[host] = reporting
}

// admittingShare returns the share of hosts, including this one, that a server has not asked
// for a long back-off. here is set if the server has asked this host.
func (m *members) admittingShare(server fleet.Incarnation, here bool) float64 {
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

// inheritRelays keeps a predecessor's relays until all live hosts have reported to this controller.
// If it selected relays from the first hosts to report, it would replace them each time that
// twice as many hosts report; each relay calls the store, and hosts that restart know only
// those that the record names.
func (m *members) inheritRelays(now time.Duration, relays []string, self string) {
	m.inherited = slices.DeleteFunc(slices.Clone(relays), func(address string) bool { return address == self })
	m.inheritedUntil = now + memberTimeout
}

func (m *members) inherits(now time.Duration) bool {
	return len(m.inherited) > 0 && now < m.inheritedUntil
}

// selectRelays selects relays if the interval has passed, or if twice as many hosts report as
// last time: while the system starts, the first host to report would otherwise become the relay
// of all others.
func (m *members) selectRelays(now time.Duration) {
	if m.inherits(now) {
		m.allRelays = m.inherited
		return
	}
	if m.relays != nil && now-m.selectedAt < relaySelectInterval && len(m.hosts) < 2*m.selectedFrom {
		return
	}
	m.selectedAt, m.selectedFrom, m.relays = now, len(m.hosts), map[string][]string{}
	var names []string
	hosts := map[string]int{}
	for name, each := range m.hosts {
		if now-each.lastSeen > memberTimeout {
			delete(m.hosts, name)
			continue
		}
		names = append(names, name)
		hosts[each.domain]++
	}
	// Large hosts first: a relay may have dozens of followers.
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(compareBools(m.hosts[a].small, m.hosts[b].small), cmp.Compare(hashName(a), hashName(b)), cmp.Compare(a, b))
	})
	for _, name := range names {
		each := m.hosts[name]
		if len(m.relays[each.domain]) < relaysNeeded(hosts[each.domain], len(names)) {
			m.relays[each.domain] = append(m.relays[each.domain], each.address)
		}
	}
	m.domains = slices.Sorted(maps.Keys(m.relays))
	m.allRelays = m.interleavedRelays()
}

// relaysNeeded returns the number of relays for a domain. Each relay has about as many
// followers as the controller has relays, so that the load on either grows with the square root
// of the number of hosts.
func relaysNeeded(ofDomain, hosts int) int {
	followers := max(maxDirectFollowers, math.Sqrt(float64(hosts)))
	return max(relaysPerDomain, int(math.Ceil(float64(ofDomain)/followers)))
}

// interleavedRelays returns the relays of all domains, taking one from each domain at a time.
func (m *members) interleavedRelays() []string {
	var relays []string
	for i := range maxRelays {
		for _, domain := range m.domains {
			if i < len(m.relays[domain]) {
				relays = append(relays, m.relays[domain][i])
			}
		}
	}
	return relays[:min(len(relays), maxRelays)]
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func hashName(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum32()
}

// relaysFor returns the relays for a host: first those of its own domain, rotated so that each
// comes first for an equal share of hosts, then one of each other domain, in case the host's
// own domain has lost contact with the store.
func (m *members) relaysFor(host, domain string, now time.Duration) []string {
	m.selectRelays(now)
	if m.inherits(now) {
		return rotate(m.inherited, host)
	}
	relays := rotate(m.relays[domain], host)
	for _, other := range m.domains {
		if other != domain {
			relays = append(relays, m.relays[other][0])
		}
	}
	return relays[:min(len(relays), maxRelays)]
}

// rotate returns the relays in an order in which each comes first for an equal share of hosts.
func rotate(relays []string, host string) []string {
	if len(relays) == 0 {
		return nil
	}
	turn := hashName(host) % uint32(len(relays))
	return slices.Concat(relays[turn:], relays[:turn])
}
