package balance

import (
	"cmp"
	"slices"
)

// Load pattern: a host of hundreds takes a few requests a second, each of which any of
// thousands of servers could run. To look at all of them for each request costs more than the
// request itself. Least cost among a few servers drawn by chance is nearly as good as among
// all, as long as most of them have room; where none of the drawn ones will do, all are looked
// at.

const (
	// allLooked is the number of servers up to which all are looked at for a request.
	allLooked = 128
	// drawnNear and drawnAnywhere are how many servers of the host's failure domain and of
	// all domains are drawn for a request. Four in five may be passed over before the near
	// ones are exhausted.
	drawnNear     = 16
	drawnAnywhere = 8
	// mostRecent is how many servers are remembered that got a request last: the host has
	// connections to them, and news of their load.
	mostRecent = 16
)

// roster holds a service's servers.
type roster struct {
	byID map[string]*Server
	// order holds all in order of their IDs, near those of the host's failure domain.
	order, near []*Server
	// recent are the servers that got a request last, the latest first.
	recent []*Server
	drawn  []*Server // the buffer of draw
}

// add adds a server whose ID is not taken.
func (r *roster) add(server *Server) {
	r.byID[server.ID] = server
	at, _ := r.find(server.ID)
	r.order = slices.Insert(r.order, at, server)
}

// remove takes out the server that has an ID, if any.
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

// setNear notes whether a server is of the host's failure domain.
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

// used notes that a server got a request.
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

// draw returns servers to choose from first. all is set if there are no others. below returns
// a random number from 0 to below n. What is returned holds until the next call.
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
