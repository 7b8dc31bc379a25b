package domain

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cicadarouter/contract/platform"
)

// Sizes of a renewal group. An odd size tolerates as many failed members as the
// next larger even size.
const (
	smallGroupSize = 3
	largeGroupSize = 5
)

// rendezvousOrder orders names by a hash of the purpose and the name (rendezvous
// hashing). Adding or removing a name does not reorder the others.
func rendezvousOrder(purpose string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(names))
	for i, name := range names {
		list[i] = scored{name: name, score: xxhash.Sum64String(purpose + "\x00" + name)}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ordered := make([]string, len(list))
	for i, entry := range list {
		ordered[i] = entry.name
	}
	return ordered
}

// liveHosts lists the hosts of a failure domain that are not leaving.
func liveHosts(hosts []platform.Host, domain string) []string {
	var names []string
	for _, host := range hosts {
		if host.Domain == domain && !host.Leaving {
			names = append(names, host.Name)
		}
	}
	return names
}

// renewalGroup returns the renewal group that a page should have. The first member is
// the assigner, which renews and assigns the page unless it fails; see loop.active.
func renewalGroup(page string, hosts []platform.Host, domain string) []string {
	ordered := rendezvousOrder("renew\x00"+page, liveHosts(hosts, domain))
	size := len(ordered)
	switch {
	case size >= largeGroupSize:
		size = largeGroupSize
	case size >= smallGroupSize:
		size = smallGroupSize
	}
	return ordered[:size]
}

// DispatchOrder returns the hosts of a failure domain in order of preference for
// dispatching the page.
func DispatchOrder(page string, hosts []platform.Host, domain string) []string {
	return rendezvousOrder("dispatch\x00"+page, liveHosts(hosts, domain))
}

// replaceMissingMembers returns the group with the members that are not live
// replaced by the first wanted hosts outside it, and filled up to the wanted size.
// It returns nil if the group should not change, or would shrink below
// smallGroupSize members. A group of the wanted size that differs only in order or
// by live members is kept, since after each change of group the old leases must
// expire first.
func replaceMissingMembers(group, wanted, live []string) []string {
	next := make([]string, 0, len(group))
	for _, member := range group {
		if slices.Contains(live, member) {
			next = append(next, member)
		}
	}
	if len(next) == len(group) && len(next) >= len(wanted) {
		return nil
	}
	for _, candidate := range wanted {
		if len(next) < len(wanted) && !slices.Contains(next, candidate) {
			next = append(next, candidate)
		}
	}
	if len(next) < len(group) && len(next) < smallGroupSize || slices.Equal(next, group) {
		return nil
	}
	return next
}
