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
	// fullScanLimit is the number of servers up to which all are looked at for each request.
	fullScanLimit = 128
	// localSampleSize and globalSampleSize are the number of servers sampled for each request from
	// the host's failure domain and from all domains. Even if four in five local servers can't
	// be used, the sample is likely to contain one that can.
	localSampleSize  = 16
	globalSampleSize = 8
	// maxRecent is the number of recently used servers that are kept as candidates: the
	// host has connections to them and knows their load.
	maxRecent = 16
)

// serverSet is the set of servers of a service.
type serverSet struct {
	byID map[string]*Server
	// sorted holds all servers sorted by ID; local holds those in the host's failure domain.
	sorted, local []*Server
	// recent holds the servers that got a request last, the latest first.
	recent       []*Server
	sampleBuffer []*Server // buffer for the result of sample
}

// add inserts a server whose ID is not in the set yet.
func (r *serverSet) add(server *Server) {
	r.byID[server.ID] = server
	at, _ := r.find(server.ID)
	r.sorted = slices.Insert(r.sorted, at, server)
}

// remove deletes the server with the ID, if there is one.
func (r *serverSet) remove(id string) {
	server := r.byID[id]
	if server == nil {
		return
	}
	delete(r.byID, id)
	if at, found := r.find(id); found {
		r.sorted = slices.Delete(r.sorted, at, at+1)
	}
	r.setLocal(server, false)
	r.recent = without(r.recent, server)
}

func (r *serverSet) find(id string) (at int, found bool) {
	return slices.BinarySearchFunc(r.sorted, id, func(have *Server, want string) int { return cmp.Compare(have.ID, want) })
}

// setLocal records whether the server is in the host's failure domain.
func (r *serverSet) setLocal(server *Server, near bool) {
	switch {
	case near == server.local:
	case near:
		server.localIndex = len(r.local)
		r.local = append(r.local, server)
	default:
		last := r.local[len(r.local)-1]
		r.local[server.localIndex], last.localIndex = last, server.localIndex
		r.local = r.local[:len(r.local)-1]
	}
	server.local = near
}

// markUsed records that the server got a request.
func (r *serverSet) markUsed(server *Server) {
	if len(r.sorted) <= fullScanLimit {
		return
	}
	r.recent = slices.Insert(without(r.recent, server), 0, server)
	r.recent = r.recent[:min(len(r.recent), maxRecent)]
}

func without(servers []*Server, server *Server) []*Server {
	return slices.DeleteFunc(servers, func(have *Server) bool { return have == server })
}

// sample returns the servers to choose from first, and whether these are all servers. below
// must return a random number in [0, n). The result is valid until the next call.
func (r *serverSet) sample(below func(n int) int) (servers []*Server, all bool) {
	if len(r.sorted) <= fullScanLimit {
		return r.sorted, true
	}
	r.sampleBuffer = append(r.sampleBuffer[:0], r.recent...)
	for range min(localSampleSize, len(r.local)) {
		r.sampleBuffer = append(r.sampleBuffer, r.local[below(len(r.local))])
	}
	for range globalSampleSize {
		r.sampleBuffer = append(r.sampleBuffer, r.sorted[below(len(r.sorted))])
	}
	return r.sampleBuffer, false
}

// SampleByDomain returns up to n random servers of the host's failure domain and up to n of other
// domains.
func (p *Pool) SampleByDomain(n int) (local, remote []*Server) {
	for _, i := range p.sampleRandom.Perm(len(p.servers.local))[:min(n, len(p.servers.local))] {
		local = append(local, p.servers.local[i])
	}
	// Looks at a few servers only: there may be thousands.
	const attemptsPerServer = 8
	for attempts := attemptsPerServer * n; attempts > 0 && len(remote) < n && len(p.servers.sorted) > len(p.servers.local); attempts-- {
		server := p.servers.sorted[p.sampleRandom.IntN(len(p.servers.sorted))]
		if !server.local && !slices.Contains(remote, server) {
			remote = append(remote, server)
		}
	}
	return local, remote
}
