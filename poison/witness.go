package poison

import (
	"slices"
	"time"

	"cicadarouter/fleet"
)

const (
	// blameWindow is the maximum time between a request going unanswered and the proof of its
	// server's termination. A server that terminates without notice is replaced within seconds,
	// under a new ID.
	blameWindow = 10 * time.Second
	// maxServers bounds the servers that an UnansweredTracker stores, maxUnansweredPerServer the
	// unanswered requests stored per server. The latter is larger than the slots and the queue of a
	// server.
	maxServers             = 1024
	maxUnansweredPerServer = 64
	// expireInterval is the minimum time between two removals of expired servers.
	expireInterval = time.Second
)

// UnansweredTracker relates terminations of servers to the requests that were in flight there, as
// observed by one host. A request that was sent and not answered proves nothing by itself: the
// connection may have failed, or the server may be slow. It is blamed only when the server is
// proven to have terminated. The zero value is ready to use. It is not safe for concurrent use.
type UnansweredTracker struct {
	servers     map[fleet.Incarnation]*serverState
	lastExpired time.Duration // time of the last removal of expired servers
}

// serverState is what a host observed of one server.
type serverState struct {
	address      string
	lastSeen     time.Duration // time of the last observation
	terminated   bool
	terminatedAt time.Duration // when the termination was proven
	unanswered   []Blame       // requests that were sent and not answered
}

// Blame is a request that was in flight at a server when the server terminated.
type Blame struct {
	Request Fingerprint
	// At is when the host noticed that the request went unanswered.
	At time.Duration
}

// NoteUnanswered records that a request was sent to a server and got no answer. It reports whether
// the server is already known to have terminated; the caller must then blame the request.
func (t *UnansweredTracker) NoteUnanswered(now time.Duration, server fleet.Incarnation, address string, request Fingerprint) bool {
	state := t.stateOf(now, server, address)
	if state == nil {
		return false
	}
	if state.terminated {
		return true
	}
	if len(state.unanswered) < maxUnansweredPerServer {
		state.unanswered = append(state.unanswered, Blame{Request: request, At: now})
	}
	return false
}

// stateOf returns the state of a server, which it creates if there is none. It returns nil if the
// maximum number of servers is reached.
func (t *UnansweredTracker) stateOf(now time.Duration, server fleet.Incarnation, address string) *serverState {
	if t.servers == nil {
		t.servers = map[fleet.Incarnation]*serverState{}
	}
	state := t.servers[server]
	if state == nil {
		t.expire(now)
		if len(t.servers) >= maxServers {
			return nil
		}
		state = &serverState{address: address}
		t.servers[server] = state
	}
	state.lastSeen = now
	return state
}

// AliveSpan is a time span during which a server's process is known to have been running.
type AliveSpan struct{ From, To time.Duration }

// contains reports whether a time is within the span.
func (s AliveSpan) contains(at time.Duration) bool { return s.From <= at && at < s.To }

// NoteAlive records that a server's process was running during a time span. Requests that went
// unanswered within it were not caused by the termination of the server.
func (t *UnansweredTracker) NoteAlive(server fleet.Incarnation, alive AliveSpan) {
	state := t.servers[server]
	if state == nil {
		return
	}
	if alive.contains(state.terminatedAt) {
		state.terminated = false // the server had not terminated
	}
	state.unanswered = slices.DeleteFunc(state.unanswered, func(b Blame) bool { return alive.contains(b.At) })
}

// NoteTerminated records proof that a server has terminated, and returns the requests that were in
// flight there, each once.
func (t *UnansweredTracker) NoteTerminated(now time.Duration, server fleet.Incarnation) []Blame {
	state := t.servers[server]
	if state == nil || state.terminated {
		return nil
	}
	state.terminated, state.terminatedAt, state.lastSeen = true, now, now
	var blamed []Blame
	for _, each := range state.unanswered {
		duplicate := slices.ContainsFunc(blamed, func(b Blame) bool { return b.Request == each.Request })
		if now-each.At <= blameWindow && !duplicate {
			blamed = append(blamed, each)
		}
	}
	state.unanswered = nil
	return blamed
}

// AwaitsProof reports whether a server has been observed and is not known to have terminated.
func (t *UnansweredTracker) AwaitsProof(server fleet.Incarnation) bool {
	state := t.servers[server]
	return state != nil && !state.terminated
}

// UnansweredServers returns the IDs and addresses of the servers that have unanswered requests and
// are not known to have terminated.
func (t *UnansweredTracker) UnansweredServers() (ids, addresses map[string]bool) {
	ids, addresses = map[string]bool{}, map[string]bool{}
	for server, state := range t.servers {
		if !state.terminated && len(state.unanswered) > 0 {
			ids[server.ID], addresses[state.address] = true, true
		}
	}
	return ids, addresses
}

// ReplacedServers returns the servers of UnansweredServers that must have terminated, because
// another incarnation is registered at their address or a later one under their ID. The registered
// incarnations are given by ID and by address.
func (t *UnansweredTracker) ReplacedServers(byID map[string]fleet.Incarnation, byAddress map[string]fleet.Incarnation) []fleet.Incarnation {
	var replaced []fleet.Incarnation
	for server, state := range t.servers {
		if state.terminated || len(state.unanswered) == 0 {
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
func (t *UnansweredTracker) expire(now time.Duration) {
	if now-t.lastExpired < expireInterval {
		return
	}
	t.lastExpired = now
	for server, state := range t.servers {
		if now-state.lastSeen > blameWindow {
			delete(t.servers, server)
		}
	}
}
