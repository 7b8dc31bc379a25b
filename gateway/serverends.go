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

// reachWithin bounds the question whether a server that broke off a request still
// takes connections. One that does, or whose process has ended, answers within
// milliseconds; a silent one would hold up the caller's answer.
const reachWithin = 50 * time.Millisecond

// serverEnds is what this host knows of servers that ended and of the requests that
// were under way there.
type serverEnds struct {
	// watching is set once anything is kept, suspecting while any request is suspected:
	// answers and requests come by the thousand, and are of interest only then.
	watching, suspecting atomic.Bool

	mu       sync.Mutex
	witness  poison.Witness
	answered poison.Answered
	ledger   poison.Ledger
}

// ledgerChanged sees to it that requests are judged if any is suspected. e.mu is held.
func (e *serverEnds) ledgerChanged() { e.suspecting.Store(e.ledger.Suspects()) }

// noteNoAnswer takes a request that was sent to a server and got no answer. Where the
// server broke off, a new connection tells at once whether its process has ended.
func (g *Gateway) noteNoAnswer(ctx context.Context, req *request, server *balance.Server, link *backendlink.Pool, result *attemptResult) {
	if !result.unanswered || req.service.mayHaveEndedAsPlanned(server, ctx.Err() == nil) {
		return
	}
	mark, incarnation := req.fingerprint(), server.Incarnation()
	g.ends.mu.Lock()
	ended := g.ends.witness.Unanswered(g.now(), incarnation, server.Address, mark)
	g.ends.watching.Store(true)
	g.ends.mu.Unlock()
	if g.failureLines.allow() {
		g.log.Info("server did not answer", "request", req.ID, "fingerprint", mark.String(), "server", incarnation.String(),
			"ended", ended, "broke-off", ctx.Err() == nil, "error", errorText(result.err))
	}
	if ended {
		g.blame(incarnation, "ended before", []poison.Blame{{Request: mark, At: g.now()}})
		return
	}
	if ctx.Err() != nil {
		return // this host ended the exchange, not the server
	}
	reaching, cancel := context.WithTimeout(ctx, reachWithin)
	defer cancel()
	g.noteUnreached(server, link.Reach(reaching))
}

// noteUnreached takes the outcome of opening a connection. A connection that is
// refused proves that no process listens there any more; any other failure may be the
// network's.
func (g *Gateway) noteUnreached(server *balance.Server, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.noteEnded(server.Incarnation(), "connection refused")
	}
}

// lived returns the span through which a server's process must have run that answered, on
// a connection opened at a time, a request that was sent later. Where entries tell when
// servers started, an ID may be used again, and what answers on a new connection may be
// the next process.
func lived(opened, sent time.Duration, server *balance.Server) poison.Lived {
	if server.Start == 0 {
		return poison.Lived{From: math.MinInt64, To: sent}
	}
	return poison.Lived{From: opened, To: sent}
}

// noteAlive takes that a server answered.
func (g *Gateway) noteAlive(server *balance.Server, lived poison.Lived, result *attemptResult) {
	if !g.ends.watching.Load() {
		return
	}
	if result.replaced {
		g.noteEnded(server.Incarnation(), "another server answers at its address")
		return
	}
	cleared := g.withdraw(server.Incarnation(), lived)
	if len(cleared) > 0 && g.failureLines.allow() {
		g.log.Warn("server that was taken to have ended answers", "server", server.Incarnation().String(), "requests-cleared", len(cleared))
	}
}

// withdraw takes that a server's process ran through a span, and returns the requests that
// are not held responsible for its end any more.
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

// noteReplaced looks for servers whose places others have taken, by their entries. g.mu is
// held.
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

// noteEnded takes proof that a server has ended.
func (g *Gateway) noteEnded(server fleet.Incarnation, evidence string) {
	if !g.ends.watching.Load() {
		return
	}
	g.ends.mu.Lock()
	blamed := g.ends.witness.Ended(g.now(), server)
	g.ends.mu.Unlock()
	g.blame(server, evidence, blamed)
}

// blame takes the requests that were under way at a server as it ended.
func (g *Gateway) blame(server fleet.Incarnation, evidence string, blamed []poison.Blame) {
	for _, each := range blamed {
		g.counts.requestsAtCrashedServers.Inc()
		news, lately := g.hold(server, each)
		judged := g.judgeMark(each.Request)
		if g.failureLines.allow() {
			g.log.Warn("server ended under a request", "server", server.String(), "fingerprint", each.Request.String(), "evidence", evidence,
				"age-ms", (g.now() - each.At).Milliseconds(), "answered-lately", lately, "news", news, "servers-ended", judged.Ends, "verdict", judged.Verdict.String())
		}
		if news {
			g.nudge() // the others are to hear of it at once
		}
	}
}

// hold holds the end of a server against a request, unless a server has lately given
// a whole answer to it, and reports whether that is news.
func (g *Gateway) hold(server fleet.Incarnation, blame poison.Blame) (news, lately bool) {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	if g.ends.answered.Lately(g.now(), blame.Request) {
		return false, true
	}
	news = g.ends.ledger.Blame(g.now(), server, blame)
	g.ends.ledgerChanged()
	return news, false
}
