package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cicadarouter/contract/objects"
	"cicadarouter/fleet"
	"cicadarouter/keyspace"
	"cicadarouter/poison"
)

// Quarantines is the kind of the objects in which the controllers of services with keys
// keep the requests that are in quarantine, one object each. Hosts have no disk: were
// all of them lost at once, such a request would end three more servers.
const Quarantines = "cicada-quarantines"

// rereadEvery is how often a controller looks whether an operator has released a
// request, while any is in quarantine.
const rereadEvery = 5 * time.Second

// Quarantine is what a controller keeps in the store.
type Quarantine struct {
	Cases []QuarantinedRequest `json:"cases"`
	// Released are those that an operator has let pass.
	Released []ReleasedRequest `json:"released,omitempty"`
}

// QuarantinedRequest is a request with the servers that ended under it.
type QuarantinedRequest struct {
	Request poison.Fingerprint `json:"request"`
	Ends    []QuarantinedEnd   `json:"ends"`
}

// QuarantinedEnd is the end of a server, in Unix milliseconds.
type QuarantinedEnd struct {
	Server fleet.Incarnation `json:"server"`
	AtMs   int64             `json:"atMs"`
}

// ReleasedRequest is a request that an operator let pass at a time, in Unix milliseconds.
type ReleasedRequest struct {
	Request poison.Fingerprint `json:"request"`
	AtMs    int64              `json:"atMs"`
}

// ReadQuarantine decodes what a controller keeps.
func ReadQuarantine(spec json.RawMessage) (Quarantine, error) {
	var q Quarantine
	err := json.Unmarshal(spec, &q)
	return q, eris.Wrap(err, "quarantine")
}

// Release lets a request pass, and reports whether it was in quarantine.
func (q *Quarantine) Release(request poison.Fingerprint, at time.Time) bool {
	before := len(q.Cases)
	q.Cases = slices.DeleteFunc(q.Cases, func(c QuarantinedRequest) bool { return c.Request == request })
	if len(q.Cases) == before {
		return false
	}
	q.Released = append(q.Released, ReleasedRequest{Request: request, AtMs: at.UnixMilli()})
	return true
}

// keptCases returns cases in the form in which they are kept.
func keptCases(cases []poison.Case, now time.Time) []QuarantinedRequest {
	kept := make([]QuarantinedRequest, 0, len(cases))
	for _, each := range cases {
		request := QuarantinedRequest{Request: each.Request}
		for _, end := range each.Ends {
			if !end.Withdrawn {
				request.Ends = append(request.Ends, QuarantinedEnd{Server: end.Server, AtMs: now.UnixMilli() - end.AgeMs})
			}
		}
		kept = append(kept, request)
	}
	return kept
}

// cases returns what is kept in the form in which hosts tell it.
func (q *Quarantine) cases(now time.Time) []poison.Case {
	var told []poison.Case
	for _, kept := range q.Cases {
		each := poison.Case{Request: kept.Request}
		for _, end := range kept.Ends {
			each.Ends = append(each.Ends, poison.End{Server: end.Server, AgeMs: ageMs(now, end.AtMs)})
		}
		told = append(told, each)
	}
	return told
}

// ageMs returns the age of a moment. Clocks of hosts differ and may jump: what seems to
// lie ahead is taken to be now.
func ageMs(now time.Time, atMs int64) int64 { return max(now.UnixMilli()-atMs, 0) }

// same reports whether two lists name the same ends. Their times are not compared: read
// back with another clock they differ by milliseconds.
func same(one, other []QuarantinedRequest) bool {
	return slices.EqualFunc(one, other, func(a, b QuarantinedRequest) bool {
		return a.Request == b.Request && slices.EqualFunc(a.Ends, b.Ends, func(x, y QuarantinedEnd) bool { return x.Server == y.Server })
	})
}

// keptQuarantine is a controller's object of this kind as it knows it.
type keptQuarantine struct {
	read     bool // it has been read since this process took control
	stale    bool // another has written it since
	busy     bool // a call is under way
	revision uint64
	content  Quarantine
	asked    time.Duration // when the last call began
}

// keepQuarantine reads and writes what outlasts the hosts.
func (g *Gateway) keepQuarantine(ctx context.Context, c *controller, now time.Duration) {
	kept := &c.kept
	if kept.busy || kept.asked > 0 && now-kept.asked < writePause {
		return
	}
	reread := len(kept.content.Cases) > 0 && now-kept.asked >= rereadEvery
	if !kept.read || kept.stale || reread {
		kept.busy, kept.asked = true, now
		g.startReadQuarantine(ctx, c)
		return
	}
	wall := time.Now()
	g.ends.mu.Lock()
	proven := keptCases(g.ends.ledger.Proven(g.now()), wall)
	g.ends.mu.Unlock()
	if same(proven, kept.content.Cases) {
		return
	}
	content := Quarantine{Cases: proven, Released: slices.DeleteFunc(slices.Clone(kept.content.Released), func(r ReleasedRequest) bool {
		return ageMs(wall, r.AtMs) > poison.EndKept.Milliseconds()
	})}
	kept.busy, kept.asked = true, now
	g.startWriteQuarantine(ctx, c, content)
}

// quarantineRead is the end of a read of a controller's quarantine.
type quarantineRead struct {
	controller *controller
	machine    *keyspace.StateMachine
	object     objects.Object
	err        error
}

func (g *Gateway) startReadQuarantine(ctx context.Context, c *controller) {
	machine := c.machine
	go func() {
		ended := &quarantineRead{controller: c, machine: machine}
		reading, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		ended.object, ended.err = g.store.Get(reading, Quarantines, c.service.name)
		g.post(ctx, ended)
	}()
}

// apply implements event.
func (e *quarantineRead) apply(g *Gateway, _ time.Duration) {
	c := e.controller
	if c.machine != e.machine {
		return
	}
	kept := &c.kept
	kept.busy = false
	if errors.Is(e.err, objects.ErrNotFound) {
		kept.read, kept.stale, kept.revision, kept.content = true, false, 0, Quarantine{}
		return
	}
	if e.err != nil {
		g.log.Warn("quarantine not read", "service", c.service.name, "error", e.err.Error())
		return
	}
	content, err := ReadQuarantine(e.object.Spec)
	if err != nil {
		// It is written anew from what the hosts know.
		g.log.Error("quarantine can't be read", "service", c.service.name, "revision", e.object.Revision, "error", err.Error())
	}
	kept.read, kept.stale, kept.revision, kept.content = true, false, e.object.Revision, content
	g.takeQuarantine(content, e.object)
}

// takeQuarantine takes what is kept into this host's ledger.
func (g *Gateway) takeQuarantine(content Quarantine, object objects.Object) {
	wall, now := time.Now(), g.now()
	g.takeCases(content.cases(wall), "the store")
	for _, released := range content.Released {
		at := now - time.Duration(ageMs(wall, released.AtMs))*time.Millisecond
		g.ends.mu.Lock()
		news := g.ends.ledger.Release(now, at, released.Request)
		g.ends.ledgerChanged()
		g.ends.mu.Unlock()
		if news {
			g.log.Info("request released by an operator", "fingerprint", released.Request.String(), "service", object.Name,
				"revision", object.Revision, "age-ms", ageMs(wall, released.AtMs))
		}
	}
}

// quarantineWritten is the end of a write of a controller's quarantine.
type quarantineWritten struct {
	controller *controller
	machine    *keyspace.StateMachine
	content    Quarantine
	stored     objects.Object
	err        error
}

func (g *Gateway) startWriteQuarantine(ctx context.Context, c *controller, content Quarantine) {
	machine, revision := c.machine, c.kept.revision
	go func() {
		ended := &quarantineWritten{controller: c, machine: machine, content: content}
		spec, err := json.Marshal(content)
		if err == nil {
			writing, cancel := context.WithTimeout(ctx, writeTimeout)
			defer cancel()
			ended.stored, err = g.store.Put(writing, objects.Object{Kind: Quarantines, Name: c.service.name, Revision: revision, Spec: spec})
		}
		ended.err = err
		g.post(ctx, ended)
	}()
}

// apply implements event.
func (e *quarantineWritten) apply(g *Gateway, _ time.Duration) {
	c := e.controller
	if c.machine != e.machine {
		return
	}
	kept := &c.kept
	kept.busy = false
	if e.err != nil {
		// It may have been written all the same, or by another.
		kept.stale = true
		g.log.Warn("quarantine not written", "service", c.service.name, "revision", kept.revision, "requests", len(e.content.Cases), "error", e.err.Error())
		return
	}
	kept.revision, kept.content = e.stored.Revision, e.content
	g.log.Info("quarantine written", "service", c.service.name, "revision", kept.revision, "requests", len(e.content.Cases))
}
