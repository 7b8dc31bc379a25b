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

// Quarantines is the kind of the objects in which the controllers of services with keys store
// the quarantined requests, one object per service. Hosts have no disk: if all of them were
// lost at once, such a request would terminate three more servers.
const Quarantines = "cicada-quarantines"

// quarantineRereadInterval is how often a controller checks whether an operator has released a
// request, while any is quarantined.
const quarantineRereadInterval = 5 * time.Second

// Quarantine is the content of a controller's object in the store.
type Quarantine struct {
	Cases []QuarantinedRequest `json:"cases"`
	// Released are requests that an operator has released.
	Released []ReleasedRequest `json:"released,omitempty"`
}

// QuarantinedRequest is a request and the servers that terminated while running it.
type QuarantinedRequest struct {
	Request poison.Fingerprint `json:"request"`
	Ends    []QuarantinedEnd   `json:"ends"`
}

// QuarantinedEnd is the termination of a server, with its time as Unix milliseconds.
type QuarantinedEnd struct {
	Server fleet.Incarnation `json:"server"`
	AtMs   int64             `json:"atMs"`
}

// ReleasedRequest is a request that an operator has released, with the time as Unix
// milliseconds.
type ReleasedRequest struct {
	Request poison.Fingerprint `json:"request"`
	AtMs    int64              `json:"atMs"`
}

// ReadQuarantine decodes the content of a controller's object.
func ReadQuarantine(spec json.RawMessage) (Quarantine, error) {
	var q Quarantine
	err := json.Unmarshal(spec, &q)
	return q, eris.Wrap(err, "decoding a quarantine")
}

// Release moves a request from the quarantined to the released ones, and reports whether it was
// quarantined.
func (q *Quarantine) Release(request poison.Fingerprint, at time.Time) bool {
	before := len(q.Cases)
	q.Cases = slices.DeleteFunc(q.Cases, func(c QuarantinedRequest) bool { return c.Request == request })
	if len(q.Cases) == before {
		return false
	}
	q.Released = append(q.Released, ReleasedRequest{Request: request, AtMs: at.UnixMilli()})
	return true
}

// storedCases converts cases to their stored form.
func storedCases(cases []poison.Case, now time.Time) []QuarantinedRequest {
	stored := make([]QuarantinedRequest, 0, len(cases))
	for _, each := range cases {
		request := QuarantinedRequest{Request: each.Request}
		for _, end := range each.Terminations {
			if !end.Withdrawn {
				request.Ends = append(request.Ends, QuarantinedEnd{Server: end.Server, AtMs: now.UnixMilli() - end.AgeMs})
			}
		}
		stored = append(stored, request)
	}
	return stored
}

// cases converts the stored requests to the form that hosts exchange.
func (q *Quarantine) cases(now time.Time) []poison.Case {
	var told []poison.Case
	for _, stored := range q.Cases {
		each := poison.Case{Request: stored.Request}
		for _, end := range stored.Ends {
			each.Terminations = append(each.Terminations, poison.Termination{Server: end.Server, AgeMs: ageMs(now, end.AtMs)})
		}
		told = append(told, each)
	}
	return told
}

// ageMs returns the age of a point in time. The clocks of hosts differ and may jump: a time in
// the future counts as now.
func ageMs(now time.Time, atMs int64) int64 { return max(now.UnixMilli()-atMs, 0) }

// sameTerminations reports whether two lists contain the same terminations. Times are ignored:
// converted with another host's clock, they differ by milliseconds.
func sameTerminations(a, b []QuarantinedRequest) bool {
	return slices.EqualFunc(a, b, func(x, y QuarantinedRequest) bool {
		return x.Request == y.Request && slices.EqualFunc(x.Ends, y.Ends, func(v, w QuarantinedEnd) bool { return v.Server == w.Server })
	})
}

// storedQuarantine is what a controller knows of its object in the store.
type storedQuarantine struct {
	read      bool // it has been read since this process became the controller
	stale     bool // it may have been changed by someone else since
	inFlight  bool // a read or write is in progress
	revision  uint64
	content   Quarantine
	startedAt time.Duration // when the last read or write was started
}

// syncQuarantine reads and writes the quarantine in the store, so that it survives the loss of
// all hosts.
func (g *Gateway) syncQuarantine(ctx context.Context, c *serviceControl, now time.Duration) {
	stored := &c.quarantine
	if stored.inFlight || stored.startedAt > 0 && now-stored.startedAt < storeRetryPause {
		return
	}
	reread := len(stored.content.Cases) > 0 && now-stored.startedAt >= quarantineRereadInterval
	if !stored.read || stored.stale || reread {
		stored.inFlight, stored.startedAt = true, now
		g.startReadQuarantine(ctx, c)
		return
	}
	wall := time.Now()
	g.terminations.mu.Lock()
	proven := storedCases(g.terminations.ledger.QuarantineCases(g.now()), wall)
	g.terminations.mu.Unlock()
	if sameTerminations(proven, stored.content.Cases) {
		return
	}
	content := Quarantine{Cases: proven, Released: slices.DeleteFunc(slices.Clone(stored.content.Released), func(r ReleasedRequest) bool {
		return ageMs(wall, r.AtMs) > poison.TerminationTTL.Milliseconds()
	})}
	stored.inFlight, stored.startedAt = true, now
	g.startWriteQuarantine(ctx, c, content)
}

// quarantineReadResult is the result of reading a controller's quarantine.
type quarantineReadResult struct {
	control *serviceControl
	machine *keyspace.StateMachine
	object  objects.Object
	err     error
}

func (g *Gateway) startReadQuarantine(ctx context.Context, c *serviceControl) {
	machine := c.machine
	go func() {
		result := &quarantineReadResult{control: c, machine: machine}
		reading, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		result.object, result.err = g.store.Get(reading, Quarantines, c.service.name)
		g.postEvent(ctx, result)
	}()
}

// apply implements event.
func (e *quarantineReadResult) apply(g *Gateway, _ time.Duration) {
	c := e.control
	if c.machine != e.machine {
		return
	}
	stored := &c.quarantine
	stored.inFlight = false
	if errors.Is(e.err, objects.ErrNotFound) {
		stored.read, stored.stale, stored.revision, stored.content = true, false, 0, Quarantine{}
		return
	}
	if e.err != nil {
		g.log.Warn("reading the quarantine failed", "service", c.service.name, "error", e.err.Error())
		return
	}
	content, err := ReadQuarantine(e.object.Spec)
	if err != nil {
		// The object is rewritten from what the hosts know.
		g.log.Error("can't decode the quarantine", "service", c.service.name, "revision", e.object.Revision, "error", err.Error())
	}
	stored.read, stored.stale, stored.revision, stored.content = true, false, e.object.Revision, content
	g.mergeQuarantine(content, e.object)
}

// mergeQuarantine merges the stored quarantine into this host's ledger.
func (g *Gateway) mergeQuarantine(content Quarantine, object objects.Object) {
	wall, now := time.Now(), g.now()
	g.mergeCases(content.cases(wall), "the store")
	for _, released := range content.Released {
		at := now - time.Duration(ageMs(wall, released.AtMs))*time.Millisecond
		g.terminations.mu.Lock()
		isNew := g.terminations.ledger.Release(now, at, released.Request)
		g.terminations.updateSuspecting()
		g.terminations.mu.Unlock()
		if isNew {
			g.log.Info("request released by an operator", "fingerprint", released.Request.String(), "service", object.Name,
				"revision", object.Revision, "age-ms", ageMs(wall, released.AtMs))
		}
	}
}

// quarantineWriteResult is the result of writing a controller's quarantine.
type quarantineWriteResult struct {
	control *serviceControl
	machine *keyspace.StateMachine
	content Quarantine
	stored  objects.Object
	err     error
}

func (g *Gateway) startWriteQuarantine(ctx context.Context, c *serviceControl, content Quarantine) {
	machine, revision := c.machine, c.quarantine.revision
	go func() {
		result := &quarantineWriteResult{control: c, machine: machine, content: content}
		spec, err := json.Marshal(content)
		if err == nil {
			writing, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			result.stored, err = g.store.Put(writing, objects.Object{Kind: Quarantines, Name: c.service.name, Revision: revision, Spec: spec})
		}
		result.err = err
		g.postEvent(ctx, result)
	}()
}

// apply implements event.
func (e *quarantineWriteResult) apply(g *Gateway, _ time.Duration) {
	c := e.control
	if c.machine != e.machine {
		return
	}
	stored := &c.quarantine
	stored.inFlight = false
	if e.err != nil {
		// The write may have taken effect, or someone else may have changed the object.
		stored.stale = true
		g.log.Warn("writing the quarantine failed", "service", c.service.name, "revision", stored.revision, "requests", len(e.content.Cases), "error", e.err.Error())
		return
	}
	stored.revision, stored.content = e.stored.Revision, e.content
	g.log.Info("quarantine written", "service", c.service.name, "revision", stored.revision, "requests", len(e.content.Cases))
}
