package poison

import (
	"slices"
	"time"

	"cicadarouter/fleet"
)

const (
	// proofWithin is the maximum time between a request going unanswered and the proof of its
	// server's termination. A server that terminates without notice is replaced within seconds,
	// under a new ID.
	proofWithin = 10 * time.Second
	// mostServers bounds the servers that a Witness stores, mostAtServer the unanswered requests
	// stored per server. The latter is larger than the slots and the queue of a server.
	mostServers  = 1024
	mostAtServer = 64
	// sweepEvery is the minimum time between two removals of expired servers.
	sweepEvery = time.Second
)

// Witness relates terminations of servers to the requests that were in flight there, as observed by
// one host. A request that was sent and not answered proves nothing by itself: the connection may
// have failed, or the server may be slow. It is blamed only when the server is proven to have
// terminated. The zero value is ready to use. A Witness is not safe for concurrent use.
type Witness struct {
	servers map[fleet.Incarnation]*sighting
	swept   time.Duration // time of the last removal of expired servers
}

// sighting is what a host observed of one server.
type sighting struct {
	address string
	last    time.Duration // time of the last observation
	ended   bool
	endedAt time.Duration // when the termination was proven
	open    []Blame       // requests that were sent and not answered
}

// Blame is a request that was in flight at a server when the server terminated.
type Blame struct {
	Request Fingerprint
	// At is when the host noticed that the request went unanswered.
	At time.Duration
}

// Unanswered records that a request was sent to a server and got no answer. It reports whether the
// server is already known to have terminated; the caller must then blame the request.
func (w *Witness) Unanswered(now time.Duration, server fleet.Incarnation, address string, request Fingerprint) bool {
	seen := w.at(now, server, address)
	if seen == nil {
		return false
	}
	if seen.ended {
		return true
	}
	if len(seen.open) < mostAtServer {
		seen.open = append(seen.open, Blame{Request: request, At: now})
	}
	return false
}

// at returns the state of a server, which it creates if there is none. It returns nil if the
// maximum number of servers is reached.
func (w *Witness) at(now time.Duration, server fleet.Incarnation, address string) *sighting {
	if w.servers == nil {
		w.servers = map[fleet.Incarnation]*sighting{}
	}
	seen := w.servers[server]
	if seen == nil {
		w.expire(now)
		if len(w.servers) >= mostServers {
			return nil
		}
		seen = &sighting{address: address}
		w.servers[server] = seen
	}
	seen.last = now
	return seen
}

// Lived is a time span during which a server's process is known to have been running.
type Lived struct{ From, To time.Duration }

// during reports whether a time is within the span.
func (l Lived) during(at time.Duration) bool { return l.From <= at && at < l.To }

// Alive records that a server's process was running during a time span. Requests that went
// unanswered within it were not caused by the termination of the server.
func (w *Witness) Alive(server fleet.Incarnation, lived Lived) {
	seen := w.servers[server]
	if seen == nil {
		return
	}
	if lived.during(seen.endedAt) {
		seen.ended = false // the server had not terminated
	}
	seen.open = slices.DeleteFunc(seen.open, func(b Blame) bool { return lived.during(b.At) })
}

// Ended records proof that a server has terminated, and returns the requests that were in flight
// there, each once.
func (w *Witness) Ended(now time.Duration, server fleet.Incarnation) []Blame {
	seen := w.servers[server]
	if seen == nil || seen.ended {
		return nil
	}
	seen.ended, seen.endedAt, seen.last = true, now, now
	var blamed []Blame
	for _, each := range seen.open {
		known := slices.ContainsFunc(blamed, func(b Blame) bool { return b.Request == each.Request })
		if now-each.At <= proofWithin && !known {
			blamed = append(blamed, each)
		}
	}
	seen.open = nil
	return blamed
}

// Watched returns the IDs and addresses of the servers that have unanswered requests and are not
// known to have terminated.
func (w *Witness) Watched() (ids, addresses map[string]bool) {
	ids, addresses = map[string]bool{}, map[string]bool{}
	for server, seen := range w.servers {
		if !seen.ended && len(seen.open) > 0 {
			ids[server.ID], addresses[seen.address] = true, true
		}
	}
	return ids, addresses
}

// Replaced returns the servers of Watched that must have terminated, because another incarnation is
// registered at their address or a later one under their ID.
func (w *Witness) Replaced(present map[string]fleet.Incarnation, atAddress map[string]fleet.Incarnation) []fleet.Incarnation {
	var replaced []fleet.Incarnation
	for server, seen := range w.servers {
		if seen.ended || len(seen.open) == 0 {
			continue
		}
		at, taken := atAddress[seen.address]
		if taken && at != server || present[server.ID].Replaces(server) {
			replaced = append(replaced, server)
		}
	}
	return replaced
}

// expire removes the servers whose last observation is too old to matter.
func (w *Witness) expire(now time.Duration) {
	if now-w.swept < sweepEvery {
		return
	}
	w.swept = now
	for server, seen := range w.servers {
		if now-seen.last > proofWithin {
			delete(w.servers, server)
		}
	}
}
