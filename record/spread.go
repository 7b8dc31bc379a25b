package record

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AssignToPages assigns a failure domain's servers to that domain's pages of a service.
// The numbers of servers of two pages differ by at most one. A server has shards
// of its own page only, so that one dispatch router knows all requests that the
// server runs. Each server is assigned to the highest-ranked page by rendezvous
// hashing that has room, so that a server that joins or leaves displaces few
// others.
//
// It returns the index of each server's page within the domain, by server name.
func AssignToPages(servers []Server, pages int) map[string]int {
	placed := make(map[string]int, len(servers))
	order := slices.Clone(servers)
	slices.SortFunc(order, func(a, b Server) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	room := len(order) / pages
	filled := make([]int, pages)
	var unassigned []Server
	for _, server := range order {
		if !assignServer(server, room, filled, placed) {
			unassigned = append(unassigned, server)
		}
	}
	for _, server := range unassigned {
		assignServer(server, room+1, filled, placed)
	}
	return placed
}

// assignServer assigns a server to its highest-ranked page with fewer than room servers,
// and reports whether there is one.
func assignServer(server Server, room int, filled []int, placed map[string]int) bool {
	seed := xxhash.Sum64String(server.Name)
	best, bestScore := -1, uint64(0)
	for page := range filled {
		score := rendezvousHash(seed, uint64(page))
		if filled[page] < room && (best < 0 || score > bestScore) {
			best, bestScore = page, score
		}
	}
	if best < 0 {
		return false
	}
	filled[best]++
	placed[server.Name] = best
	return true
}

// rendezvousHash returns the rendezvous hash of a server and a page. It uses the constants and
// shifts of splitmix64, whose multipliers are odd and therefore lose no bits.
func rendezvousHash(seed, page uint64) uint64 {
	x := seed + (page+1)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
