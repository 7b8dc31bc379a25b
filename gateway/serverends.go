package gateway

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cicadarouter/balance"
	"cicadarouter/fleet"
	"cicadarouter/link/backendlink"
	"cicadarouter/poison"
)

// connectCheckTimeout bounds the check whether a server that closed the connection during a
// request still accepts connections. A server that does, or whose process has terminated,
// answers within milliseconds; waiting longer for a silent one would delay the answer to the
// caller.
const connectCheckTimeout = 50 * time.Millisecond

// terminationTracker holds what this host knows of terminated servers and of the requests that
// were in progress there.
type terminationTracker struct {
	// tracking is set once anything is recorded, suspecting while any request is suspected.
	// They keep the lock out of the path of requests and answers, which arrive by the thousand,
	// while there is nothing to check.
	tracking, suspecting atomic.Bool
	anyRefused           atomic.Bool // a server refused a connection and this is not confirmed

	mu         sync.Mutex
	refused    map[fleet.Incarnation]time.Duration // when servers refused connections, not confirmed
	unanswered poison.UnansweredTracker
	answered   poison.RecentlyAnswered
	ledger     poison.Ledger
}

// updateSuspecting enables the check of requests if any is suspected. e.mu must be held.
func (e *terminationTracker) updateSuspecting() { e.suspecting.Store(e.ledger.AnySuspected()) }

// noteUnanswered records a request that was sent to a server and got no answer. If the server
// closed the connection, a new connection shows at once whether its process has terminated.
func (g *Gateway) noteUnanswered(ctx context.Context, req *request, server *balance.Server, link *backendlink.Pool, result *attemptResult) {
	if !result.unanswered || req.service.mayHaveEndedAsPlanned(server, ctx.Err() == nil) {
		return
	}
	fingerprint, incarnation := req.fingerprint(), server.Incarnation()
	g.terminations.mu.Lock()
	ended := g.terminations.unanswered.NoteUnanswered(g.now(), incarnation, server.Address, fingerprint)
	g.terminations.tracking.Store(true)
	g.terminations.mu.Unlock()
	if g.failureLogLimit.allow() {
		g.log.Info("server did not answer", "request", req.ID, "fingerprint", fingerprint.String(), "server", incarnation.String(),
			"ended", ended, "broke-off", ctx.Err() == nil, "error", errorText(result.err))
	}
	if ended {
		g.blameRequests(incarnation, "had already terminated", []poison.Blame{{Request: fingerprint, At: g.now()}})
		return
	}
	if ctx.Err() != nil {
		return // this host ended the exchange, not the server
	}
	g.mu.Lock()
	g.noteReplaced() // by an entry that was read before the end of the connection
	g.mu.Unlock()
	if !g.terminations.awaitsProof(server.Incarnation()) {
		return
	}
	reaching, cancel := context.WithTimeout(ctx, connectCheckTimeout)
	defer cancel()
	g.noteConnectError(req.service, server, link.Connect(reaching))
}

// refusalValidFor is how long a refused connection may wait for the proof that this host reaches other
// servers.
const refusalValidFor = time.Second

// noteConnectError records the result of opening a connection. A refused connection proves that
// no process listens there any more, unless it was this host's link that refused it: then other
// servers can't be reached either. Any other failure may be due to the network.
func (g *Gateway) noteConnectError(s *service, server *balance.Server, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) || !g.terminations.awaitsProof(server.Incarnation()) || s.links.areLost() {
		return
	}
	refusedAt := g.now()
	g.terminations.noteRefused(server.Incarnation(), refusedAt)
	if !g.reachesAnotherServer(server.Address) && g.failureLogLimit.allow() {
		g.log.Info("refused connection proves nothing yet: this host reaches no other server", "server", server.Incarnation().String())
	}
}

// noteRefused records that a server refused a connection.
func (e *terminationTracker) noteRefused(server fleet.Incarnation, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refused == nil {
		e.refused = map[fleet.Incarnation]time.Duration{}
	}
	e.refused[server] = now
	e.anyRefused.Store(true)
}

// takeRefused returns the servers that had refused a connection shortly before the given time, and
// forgets them and all earlier ones.
func (e *terminationTracker) takeRefused(before time.Duration) []fleet.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	var servers []fleet.Incarnation
	for server, at := range e.refused {
		if at > before {
			continue
		}
		delete(e.refused, server)
		if before-at <= refusalValidFor {
			servers = append(servers, server)
		}
	}
	e.anyRefused.Store(len(e.refused) > 0)
	return servers
}

// confirmRefusals takes the servers that refused connections for terminated: this host has reached
// another server by a connection that was begun later.
func (g *Gateway) confirmRefusals(began time.Duration) {
	if !g.terminations.anyRefused.Load() {
		return
	}
	for _, server := range g.terminations.takeRefused(began) {
		g.noteTerminated(server, "connection refused")
	}
}

// forgetRefusals forgets refused connections, because this host's links are lost.
func (g *Gateway) forgetRefusals() {
	g.terminations.mu.Lock()
	defer g.terminations.mu.Unlock()
	clear(g.terminations.refused)
	g.terminations.anyRefused.Store(false)
}

// awaitsProof reports whether the termination of a server would matter: it left a request unanswered
// and is not known to have terminated.
func (e *terminationTracker) awaitsProof(server fleet.Incarnation) bool {
	if !e.tracking.Load() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unanswered.AwaitsProof(server)
}

// aliveSpan returns the time span during which a server's process must have been running, given
// that it answered a request sent at one time on a connection opened at another. Where entries
// include the start time of servers, IDs may be reused, and a new connection may lead to the
// next process with the same ID.
func aliveSpan(opened, sent time.Duration, server *balance.Server) poison.AliveSpan {
	if server.Start == 0 {
		return poison.AliveSpan{From: math.MinInt64, To: sent}
	}
	return poison.AliveSpan{From: opened, To: sent}
}

// noteAlive records that a server answered.
func (g *Gateway) noteAlive(server *balance.Server, lived poison.AliveSpan, result *attemptResult) {
	if !g.terminations.tracking.Load() {
		return
	}
	if result.replaced {
		g.noteTerminated(server.Incarnation(), "another server answers at its address")
		return
	}
	cleared := g.withdrawBlame(server.Incarnation(), lived)
	if len(cleared) > 0 && g.failureLogLimit.allow() {
		g.log.Warn("server that was considered terminated has answered", "server", server.Incarnation().String(), "requests-cleared", len(cleared))
	}
}

// withdrawBlame records that a server's process was running during a time span, and returns the
// requests that are no longer held responsible for its termination.
func (g *Gateway) withdrawBlame(server fleet.Incarnation, lived poison.AliveSpan) []poison.Fingerprint {
	g.terminations.mu.Lock()
	defer g.terminations.mu.Unlock()
	g.terminations.unanswered.NoteAlive(server, lived)
	cleared := g.terminations.ledger.NoteAlive(server, lived)
	if len(cleared) > 0 {
		g.terminations.updateSuspecting()
	}
	return cleared
}

// noteReplaced looks for servers whose entries show that other servers have replaced them. g.mu
// must be held.
func (g *Gateway) noteReplaced() {
	if !g.terminations.tracking.Load() {
		return
	}
	for _, server := range g.replacedServers() {
		g.noteTerminated(server, "another server is registered in its place")
	}
}

func (g *Gateway) replacedServers() []fleet.Incarnation {
	g.terminations.mu.Lock()
	defer g.terminations.mu.Unlock()
	ids, addresses := g.terminations.unanswered.UnansweredServers()
	present := make(map[string]fleet.Incarnation, len(ids))
	for id := range ids {
		if server, listed := g.directory.Get(id); listed {
			present[id] = server.Incarnation()
		}
	}
	return g.terminations.unanswered.ReplacedServers(present, g.directory.ByAddress(addresses))
}

// noteTerminated records proof that a server has terminated.
func (g *Gateway) noteTerminated(server fleet.Incarnation, evidence string) {
	if !g.terminations.tracking.Load() {
		return
	}
	g.terminations.mu.Lock()
	blamed := g.terminations.unanswered.NoteTerminated(g.now(), server)
	g.terminations.mu.Unlock()
	g.blameRequests(server, evidence, blamed)
}

// blameRequests records the requests that were in progress at a server when it terminated.
func (g *Gateway) blameRequests(server fleet.Incarnation, evidence string, blamed []poison.Blame) {
	for _, each := range blamed {
		g.metrics.requestsAtCrashedServers.Inc()
		isNew, recentlyAnswered := g.blameRequest(server, each)
		judged := g.judgeFingerprint(each.Request)
		if g.failureLogLimit.allow() {
			g.log.Warn("server terminated during a request", "server", server.String(), "fingerprint", each.Request.String(), "evidence", evidence,
				"age-ms", (g.now() - each.At).Milliseconds(), "answered-lately", recentlyAnswered, "news", isNew, "servers-ended", judged.Terminations, "verdict", judged.Verdict.String())
		}
		if isNew {
			g.wakeControl() // other hosts need to know at once
		}
	}
}

// blameRequest records the termination of a server against a request, unless a server has
// recently given a complete answer to that request. isNew is set if the record is new.
func (g *Gateway) blameRequest(server fleet.Incarnation, blame poison.Blame) (isNew, recentlyAnswered bool) {
	g.terminations.mu.Lock()
	defer g.terminations.mu.Unlock()
	if g.terminations.answered.Contains(g.now(), blame.Request) {
		return false, true
	}
	isNew = g.terminations.ledger.Blame(g.now(), server, blame)
	g.terminations.updateSuspecting()
	return isNew, false
}
