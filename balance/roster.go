package balance

import (
	"cmp"
	"slices"
)

// Load pattern: a host, one of hundreds, gets a few requests per second that any of thousands
// of servers could run. Looking at all servers for each request costs more than the request
// itself. The cheapest of a few random servers is nearly as good as the cheapest of all, as
// long as most servers have room. If none of the sampled servers will do, all are looked at.

const (
	// allLooked is the number of servers up to which all are looked at for each request.
	allLooked = 128
	// drawnNear and drawnAnywhere are the number of servers sampled for each request from
	// the host's failure domain and from all domains. Even if four in five local servers can't
	// be used, the sample is likely to contain one that can.
	drawnNear     = 16
	drawnAnywhere = 8
	// mostRecent is the number of recently used servers that are kept as candidates: the
	// host has connections to them and knows their load.
	mostRecent = 16
)

// roster is the set of servers of a service.
type roster struct {
	byID map[string]*Server
	// order holds all servers sorted by ID; near holds those in the host's failure domain.
	order, near []*Server
	// recent holds the servers that got a request last, the latest first.
	recent []*Server
	drawn  []*Server // buffer for the result of draw
}

// add inserts a server whose ID is not in the set yet.
func (r *roster) add(server *Server) {
	r.byID[server.ID] = server
	at, _ := r.find(server.ID)
	r.order = slices.Insert(r.order, at, server)
}

// remove deletes the server with the ID, if there is one.
func (r *roster) remove(id string) {
	server := r.byID[id]
	if server == nil {
		return
	}
	delete(r.byID, id)
	if at, found := r.find(id); found {
		r.order = slices.Delete(r.order, at, at+1)
	}
	r.setNear(server, false)
	r.recent = without(r.recent, server)
}

func (r *roster) find(id string) (at int, found bool) {
	return slices.BinarySearchFunc(r.order, id, func(have *Server, want string) int { return cmp.Compare(have.ID, want) })
}

// setNear records whether the server is in the host's failure domain.
func (r *roster) setNear(server *Server, near bool) {
	switch {
	case near == server.near:
	case near:
		server.nearAt = len(r.near)
		r.near = append(r.near, server)
	default:
		last := r.near[len(r.near)-1]
		r.near[server.nearAt], last.nearAt = last, server.nearAt
		r.near = r.near[:len(r.near)-1]
	}
	server.near = near
}

// used records that the server got a request.
func (r *roster) used(server *Server) {
	if len(r.order) <= allLooked {
		return
	}
	r.recent = slices.Insert(without(r.recent, server), 0, server)
	r.recent = r.recent[:min(len(r.recent), mostRecent)]
}

func without(servers []*Server, server *Server) []*Server {
	return slices.DeleteFunc(servers, func(have *Server) bool { return have == server })
}

// draw returns the servers to choose from first, and whether these are all servers. below
// must return a random number in [0, n). The result is valid until the next call.
func (r *roster) draw(below func(n int) int) (servers []*Server, all bool) {
	if len(r.order) <= allLooked {
		return r.order, true
	}
	r.drawn = append(r.drawn[:0], r.recent...)
	for range min(drawnNear, len(r.near)) {
		r.drawn = append(r.drawn, r.near[below(len(r.near))])
	}
	for range drawnAnywhere {
		r.drawn = append(r.drawn, r.order[below(len(r.order))])
	}
	return r.drawn, false
}
