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

// reachWithin bounds the check whether a server that closed the connection during a request
// still accepts connections. A server that does, or whose process has terminated, answers
// within milliseconds; waiting longer for a silent one would delay the answer to the caller.
const reachWithin = 50 * time.Millisecond

// serverEnds holds what this host knows of terminated servers and of the requests that were in
// progress there.
type serverEnds struct {
	// watching is set once anything is recorded, suspecting while any request is suspected.
	// They keep the lock out of the path of requests and answers, which arrive by the thousand,
	// while there is nothing to check.
	watching, suspecting atomic.Bool

	mu       sync.Mutex
	witness  poison.Witness
	answered poison.Answered
	ledger   poison.Ledger
}

// ledgerChanged enables the check of requests if any is suspected. e.mu must be held.
func (e *serverEnds) ledgerChanged() { e.suspecting.Store(e.ledger.Suspects()) }

// noteNoAnswer records a request that was sent to a server and got no answer. If the server
// closed the connection, a new connection shows at once whether its process has terminated.
func (g *Gateway) noteNoAnswer(ctx context.Context, req *request, server *balance.Server, link *backendlink.Pool, result *attemptResult) {
	if !result.unanswered || req.service.expectedToEnd(server, ctx.Err() == nil) {
		return
	}
	fingerprint, incarnation := req.fingerprint(), server.Incarnation()
	g.ends.mu.Lock()
	ended := g.ends.witness.Unanswered(g.now(), incarnation, server.Address, fingerprint)
	g.ends.watching.Store(true)
	g.ends.mu.Unlock()
	if g.failureLines.take() {
		g.log.Info("server did not answer", "request", req.ID, "fingerprint", fingerprint.String(), "server", incarnation.String(),
			"ended", ended, "broke-off", ctx.Err() == nil, "error", errorText(result.err))
	}
	if ended {
		g.blame(incarnation, "had already terminated", []poison.Blame{{Request: fingerprint, At: g.now()}})
		return
	}
	if ctx.Err() != nil {
		return // this host ended the exchange, not the server
	}
	reaching, cancel := context.WithTimeout(ctx, reachWithin)
	defer cancel()
	g.noteUnreached(server, link.Reach(reaching))
}

// noteUnreached records the result of opening a connection. A refused connection proves that no
// process listens there any more; any other failure may be due to the network.
func (g *Gateway) noteUnreached(server *balance.Server, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.noteEnded(server.Incarnation(), "connection refused")
	}
}

// lived returns the time span during which a server's process must have been running, given
// that it answered a request sent at one time on a connection opened at another. Where entries
// include the start time of servers, IDs may be reused, and a new connection may lead to the
// next process with the same ID.
func lived(opened, sent time.Duration, server *balance.Server) poison.Lived {
	if server.Start == 0 {
		return poison.Lived{From: math.MinInt64, To: sent}
	}
	return poison.Lived{From: opened, To: sent}
}

// noteAlive records that a server answered.
func (g *Gateway) noteAlive(server *balance.Server, lived poison.Lived, result *attemptResult) {
	if !g.ends.watching.Load() {
		return
	}
	if result.replaced {
		g.noteEnded(server.Incarnation(), "another server answers at its address")
		return
	}
	cleared := g.withdraw(server.Incarnation(), lived)
	if len(cleared) > 0 && g.failureLines.take() {
		g.log.Warn("server that was considered terminated has answered", "server", server.Incarnation().String(), "requests-cleared", len(cleared))
	}
}

// withdraw records that a server's process was running during a time span, and returns the
// requests that are no longer held responsible for its termination.
func (g *Gateway) withdraw(server fleet.Incarnation, lived poison.Lived) []poison.Fingerprint {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	g.ends.witness.Alive(server, lived)
	cleared := g.ends.ledger.Alive(server, lived)
	if len(cleared) > 0 {
		g.ends.ledgerChanged()
	}
	return cleared
}

// noteReplaced looks for servers whose entries show that other servers have replaced them. g.mu
// must be held.
func (g *Gateway) noteReplaced() {
	if !g.ends.watching.Load() {
		return
	}
	for _, server := range g.replaced() {
		g.noteEnded(server, "another server is registered in its place")
	}
}

func (g *Gateway) replaced() []fleet.Incarnation {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	ids, addresses := g.ends.witness.Watched()
	present := make(map[string]fleet.Incarnation, len(ids))
	for id := range ids {
		if server, listed := g.directory.Get(id); listed {
			present[id] = server.Incarnation()
		}
	}
	return g.ends.witness.Replaced(present, g.directory.At(addresses))
}

// noteEnded records proof that a server has terminated.
func (g *Gateway) noteEnded(server fleet.Incarnation, evidence string) {
	if !g.ends.watching.Load() {
		return
	}
	g.ends.mu.Lock()
	blamed := g.ends.witness.Ended(g.now(), server)
	g.ends.mu.Unlock()
	g.blame(server, evidence, blamed)
}

// blame records the requests that were in progress at a server when it terminated.
func (g *Gateway) blame(server fleet.Incarnation, evidence string, blamed []poison.Blame) {
	for _, each := range blamed {
		g.counts.endedUnder.Inc()
		isNew, recentlyAnswered := g.hold(server, each)
		judged := g.judgeMark(each.Request)
		if g.failureLines.take() {
			g.log.Warn("server terminated during a request", "server", server.String(), "fingerprint", each.Request.String(), "evidence", evidence,
				"age-ms", (g.now() - each.At).Milliseconds(), "answered-lately", recentlyAnswered, "news", isNew, "servers-ended", judged.Ends, "verdict", judged.Verdict.String())
		}
		if isNew {
			g.nudge() // other hosts need to know at once
		}
	}
}

// hold records the termination of a server against a request, unless a server has recently
// given a complete answer to that request. isNew is set if the record is new.
func (g *Gateway) hold(server fleet.Incarnation, blame poison.Blame) (isNew, recentlyAnswered bool) {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	if g.ends.answered.Lately(g.now(), blame.Request) {
		return false, true
	}
	isNew = g.ends.ledger.Blame(g.now(), server, blame)
	g.ends.ledgerChanged()
	return isNew, false
}
