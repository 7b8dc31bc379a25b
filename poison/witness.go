package poison

import (
	"slices"
	"time"

	"cicadarouter/fleet"
)

const (
	// proofWithin is how long after a request went unanswered its server's end counts
	// as the reason: a server that ended silently is back in its place, under a new
	// name, within seconds.
	proofWithin = 10 * time.Second
	// mostServers bounds the servers about which a witness keeps anything, mostAtServer
	// the unanswered requests it keeps of one: more than a server's slots and queue.
	mostServers  = 1024
	mostAtServer = 64
	// sweepEvery is the least time between two looks for what can be forgotten.
	sweepEvery = time.Second
)

// Witness relates the ends of servers to the requests that were under way there, as
// one host saw them. A request that was sent and not answered proves nothing by
// itself: the connection may have been cut, or the server be slow. It is held
// against the request only when the server is proven to have ended. The zero value
// is ready. It is not safe for concurrent use.
type Witness struct {
	servers map[fleet.Incarnation]*sighting
	swept   time.Duration // when it last forgot what is too old
}

// sighting is what a host saw of one server.
type sighting struct {
	address string
	last    time.Duration // when something was last noted
	ended   bool
	endedAt time.Duration // when that was proven
	open    []Blame       // requests that were sent and got no answer
}

// Blame is a request that was under way at a server as it ended.
type Blame struct {
	Request Fingerprint
	// At is when it was seen to go unanswered.
	At time.Duration
}

// Unanswered notes that a request was sent to a server and got no answer. It reports
// whether the server is known to have ended already, which is then held against the
// request.
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

// at returns the sighting of a server; nil if there is no room for another.
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

// Lived is a span of time through which a server's process is known to have run.
type Lived struct{ From, To time.Duration }

// during reports whether the process ran at a moment.
func (l Lived) during(at time.Duration) bool { return l.From <= at && at < l.To }

// Alive notes that a server's process ran through a span: what went unanswered in it was
// not due to its end.
func (w *Witness) Alive(server fleet.Incarnation, lived Lived) {
	seen := w.servers[server]
	if seen == nil {
		return
	}
	if lived.during(seen.endedAt) {
		seen.ended = false // the proof was wrong
	}
	seen.open = slices.DeleteFunc(seen.open, func(b Blame) bool { return lived.during(b.At) })
}

// Ended notes proof that a server has ended, and returns the requests that were
// under way there, each once.
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

// Watched returns the IDs and addresses of the servers whose end would be held against
// requests.
func (w *Witness) Watched() (ids, addresses map[string]bool) {
	ids, addresses = map[string]bool{}, map[string]bool{}
	for server, seen := range w.servers {
		if !seen.ended && len(seen.open) > 0 {
			ids[server.ID], addresses[seen.address] = true, true
		}
	}
	return ids, addresses
}

// Replaced returns the servers that must have ended, since another incarnation stands
// at their address or under their ID.
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

// expire forgets what is too old to matter.
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
