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
	state := w.at(now, server, address)
	if state == nil {
		return false
	}
	if state.ended {
		return true
	}
	if len(state.open) < mostAtServer {
		state.open = append(state.open, Blame{Request: request, At: now})
	}
	return false
}

// at returns the state of a server, which it creates if there is none. It returns nil if the
// maximum number of servers is reached.
func (w *Witness) at(now time.Duration, server fleet.Incarnation, address string) *sighting {
	if w.servers == nil {
		w.servers = map[fleet.Incarnation]*sighting{}
	}
	state := w.servers[server]
	if state == nil {
		w.expire(now)
		if len(w.servers) >= mostServers {
			return nil
		}
		state = &sighting{address: address}
		w.servers[server] = state
	}
	state.last = now
	return state
}

// Lived is a time span during which a server's process is known to have been running.
type Lived struct{ From, To time.Duration }

// during reports whether a time is within the span.
func (l Lived) during(at time.Duration) bool { return l.From <= at && at < l.To }

// Alive records that a server's process was running during a time span. Requests that went
// unanswered within it were not caused by the termination of the server.
func (w *Witness) Alive(server fleet.Incarnation, lived Lived) {
	state := w.servers[server]
	if state == nil {
		return
	}
	if lived.during(state.endedAt) {
		state.ended = false // the server had not terminated
	}
	state.open = slices.DeleteFunc(state.open, func(b Blame) bool { return lived.during(b.At) })
}

// Ended records proof that a server has terminated, and returns the requests that were in flight
// there, each once.
func (w *Witness) Ended(now time.Duration, server fleet.Incarnation) []Blame {
	state := w.servers[server]
	if state == nil || state.ended {
		return nil
	}
	state.ended, state.endedAt, state.last = true, now, now
	var blamed []Blame
	for _, each := range state.open {
		duplicate := slices.ContainsFunc(blamed, func(b Blame) bool { return b.Request == each.Request })
		if now-each.At <= proofWithin && !duplicate {
			blamed = append(blamed, each)
		}
	}
	state.open = nil
	return blamed
}

// Watched returns the IDs and addresses of the servers that have unanswered requests and are not
// known to have terminated.
func (w *Witness) Watched() (ids, addresses map[string]bool) {
	ids, addresses = map[string]bool{}, map[string]bool{}
	for server, state := range w.servers {
		if !state.ended && len(state.open) > 0 {
			ids[server.ID], addresses[state.address] = true, true
		}
	}
	return ids, addresses
}

// Replaced returns the servers of Watched that must have terminated, because another incarnation is
// registered at their address or a later one under their ID. The registered incarnations are given
// by ID and by address.
func (w *Witness) Replaced(byID map[string]fleet.Incarnation, byAddress map[string]fleet.Incarnation) []fleet.Incarnation {
	var replaced []fleet.Incarnation
	for server, state := range w.servers {
		if state.ended || len(state.open) == 0 {
			continue
		}
		current, taken := byAddress[state.address]
		if taken && current != server || byID[server.ID].Replaces(server) {
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
	for server, state := range w.servers {
		if now-state.last > proofWithin {
			delete(w.servers, server)
		}
	}
}
