package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cicadarouter/contract/adapter"
	"cicadarouter/contract/objects"
	"cicadarouter/fleet"
	"cicadarouter/host/clock"
	"cicadarouter/keyspace"
)

// Timeouts of calls to servers.
const (
	// grantTimeout bounds a grant; a server answers within milliseconds.
	grantTimeout = 600 * time.Millisecond
	// releaseTimeout bounds a release, which is answered when the requests
	// that run on the keys have ended.
	releaseTimeout = 3 * time.Second
	// writeTimeout bounds a write to the store.
	writeTimeout = 1500 * time.Millisecond
	// writePause is left after a write that failed.
	writePause = 200 * time.Millisecond
)

// post hands an event to the control loop.
func (g *Gateway) post(ctx context.Context, next event) {
	if err := g.control.events.Put(ctx, next); err != nil {
		g.log.Debug("answer dropped at stop", "error", err.Error())
	}
}

// callEnded is the end of a call to a server.
type callEnded struct {
	controller   *controller
	machine      *keyspace.Machine
	server       fleet.Server
	call         keyspace.Call
	result       keyspace.CallResult
	handoff      string
	began, ended time.Duration
	err          error
}

// startCall makes a call to a server.
func (g *Gateway) startCall(ctx context.Context, c *controller, call keyspace.Call) {
	server, known := c.known[call.Server]
	machine := c.machine
	if !known {
		// Its address is not known any more: only time frees its keys.
		now := g.boot.Now()
		machine.Answered(call, keyspace.CallUnanswered, "", now, now)
		return
	}
	backend := adapter.Backend{Server: server}
	if current := g.inForce.Current(); current != nil {
		backend.HealthPath = current.Services[c.service.name].HealthPath
	}
	go func() {
		ended := &callEnded{controller: c, machine: machine, server: server, call: call, began: g.boot.Now()}
		heard := hearing{server: server.Incarnation(), call: call.Kind.String(), sent: g.now()}
		switch call.Kind {
		case keyspace.GrantCall:
			calling, cancel := context.WithTimeout(ctx, grantTimeout)
			defer cancel()
			heard.Notice, ended.err = g.keys.Grant(calling, backend, adapter.Grant{From: call.From, To: call.To, Token: call.Token,
				Term: keyspace.LeaseTerm, Handoff: call.Handoff})
		case keyspace.ReleaseCall:
			calling, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			ended.handoff, heard.Notice, ended.err = g.keys.Release(calling, backend, call.From, call.To, call.Token)
		case keyspace.ProbeCall:
			calling, cancel := context.WithTimeout(ctx, grantTimeout)
			defer cancel()
			var health adapter.Health
			health, ended.err = g.keys.Probe(calling, backend)
			heard.Notice, heard.healthy = health.Notice, health.Healthy
		}
		ended.ended = g.boot.Now()
		g.hear(heard)
		g.post(ctx, ended)
	}()
}

// apply implements event.
func (e *callEnded) apply(g *Gateway, _ time.Duration) {
	if e.controller.machine != e.machine {
		return
	}
	var stale *adapter.StaleTokenError
	var other *adapter.OtherServerError
	switch {
	case e.err == nil:
		e.result = keyspace.CallDone
	case errors.As(e.err, &stale):
		e.result = keyspace.CallStale
	case errors.As(e.err, &other):
		e.result = keyspace.CallUnanswered
	default:
		e.result = keyspace.CallUnanswered
	}
	if (e.err != nil || e.call.Kind == keyspace.ReleaseCall) && g.callLines.take() {
		g.log.Info("call about keys", "service", e.controller.service.name, "kind", e.call.Kind.String(), "server", e.call.Incarnation().String(), "called", e.server.Incarnation().String(),
			"from", e.call.From, "to", e.call.To, "token", e.call.Token, "ms", (e.ended - e.began).Milliseconds(),
			"handoff", e.handoff, "error", errorText(e.err))
	}
	e.machine.Answered(e.call, e.result, e.handoff, e.began, e.ended)
	if other != nil {
		e.machine.Ended(e.server.Incarnation())
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// writeEnded is the end of a write of a machine's pending record.
type writeEnded struct {
	controller *controller
	machine    *keyspace.Machine
	record     *keyspace.Record
	stored     objects.Object
	began      time.Duration
	err        error
}

func (g *Gateway) startWrite(ctx context.Context, c *controller, record *keyspace.Record) {
	machine, revision := c.machine, c.revision
	go func() {
		ended := &writeEnded{controller: c, machine: machine, record: record, began: g.boot.Now()}
		ended.stored, ended.err = g.putRecord(ctx, c, record, revision)
		if ended.err != nil {
			clock.Sleep(ctx, writePause)
		}
		g.post(ctx, ended)
	}()
}

// putRecord writes a record under a revision. A conflict with the very same
// record means that an earlier write of it took effect, though its answer got
// lost.
func (g *Gateway) putRecord(ctx context.Context, c *controller, record *keyspace.Record, revision uint64) (objects.Object, error) {
	spec, err := json.Marshal(record)
	if err != nil {
		return objects.Object{}, err
	}
	writing, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, err := g.store.Put(writing, objects.Object{Kind: Assignments, Name: c.service.name, Revision: revision, Spec: spec})
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) && sameRecord(conflict.Current, record) {
		return conflict.Current, nil
	}
	return stored, err
}

// sameRecord reports whether an object holds the record: controllers and terms
// are never used twice, and each write of one gives out new tokens or ends moves.
func sameRecord(object objects.Object, record *keyspace.Record) bool {
	var stored keyspace.Record
	if json.Unmarshal(object.Spec, &stored) != nil {
		return false
	}
	want, err := json.Marshal(record)
	if err != nil {
		return false
	}
	have, err := json.Marshal(&stored)
	return err == nil && string(want) == string(have)
}

// apply implements event.
func (e *writeEnded) apply(g *Gateway, now time.Duration) {
	c := e.controller
	if c.machine != e.machine {
		return
	}
	c.writing = false
	var conflict *objects.ConflictError
	if errors.As(e.err, &conflict) {
		if g.rewriteLostAssignment(c, conflict.Current, now) {
			return
		}
		g.applyAssignment(conflict.Current)
		g.stepDown(c, "a write met another record", "")
		return
	}
	if errors.Is(e.err, objects.ErrNotFound) && g.rewriteLostAssignment(c, objects.Object{}, now) {
		return
	}
	if e.err != nil {
		g.log.Warn("assignment not written", "service", c.service.name, "revision", c.revision, "error", e.err.Error())
		return
	}
	c.machine.Written(e.began)
	c.revision, c.confirm, c.written = e.stored.Revision, e.began, now
	g.log.Info("assignment written", "service", c.service.name, "revision", c.revision, "ranges", len(e.record.Ranges), "last-token", e.record.LastToken)
	if c.service.view.offer(e.stored.Revision, e.record) {
		c.service.pump()
	}
}

// confirmed is the end of a read that confirms a controller. A watch that heard
// of no change doesn't: it may have missed one.
type confirmed struct {
	controller *controller
	machine    *keyspace.Machine
	object     objects.Object
	began      time.Duration // on the boot clock
	asked      time.Duration // the same moment on the clock of watches
	err        error
}

func (g *Gateway) startConfirm(ctx context.Context, c *controller) {
	machine := c.machine
	go func() {
		ended := &confirmed{controller: c, machine: machine, began: g.boot.Now(), asked: g.now()}
		ended.object, ended.err = g.store.Get(ctx, Assignments, c.service.name)
		g.post(ctx, ended)
	}()
}

// apply implements event.
func (e *confirmed) apply(g *Gateway, now time.Duration) {
	c := e.controller
	if c.machine != e.machine {
		return
	}
	c.reading = false
	if (e.err == nil || errors.Is(e.err, objects.ErrNotFound)) && g.rewriteLostAssignment(c, e.object, now) {
		return
	}
	if e.err != nil {
		g.log.Warn("controller not confirmed", "service", c.service.name, "error", e.err.Error())
		return
	}
	var stored keyspace.Record
	if err := json.Unmarshal(e.object.Spec, &stored); err != nil {
		g.log.Error("assignment can't be read", "service", c.service.name, "revision", e.object.Revision, "error", err.Error())
		return
	}
	if !g.own(&stored) {
		g.applyAssignment(e.object)
		g.stepDown(c, "another controller took over", stored.Controller.Host)
		return
	}
	c.machine.Confirm(e.began)
	g.fresh.noteRoleConfirmed(e.asked)
}

// claimEnded is the end of an attempt to become the controller.
type claimEnded struct {
	controller *controller
	record     *keyspace.Record
	stored     objects.Object
	began      time.Duration
	err        error
}

func (g *Gateway) claim(ctx context.Context, c *controller, record *keyspace.Record, revision uint64) {
	go func() {
		ended := &claimEnded{controller: c, record: record, began: g.boot.Now()}
		ended.stored, ended.err = g.putRecord(ctx, c, record, revision)
		if ended.err != nil {
			clock.Sleep(ctx, writePause)
		}
		g.post(ctx, ended)
	}()
}

// apply implements event.
func (e *claimEnded) apply(g *Gateway, now time.Duration) {
	c := e.controller
	c.claiming = false
	c.heard = now
	var conflict *objects.ConflictError
	if errors.As(e.err, &conflict) {
		g.applyAssignment(conflict.Current)
		return
	}
	c.absent = errors.Is(e.err, objects.ErrNotFound)
	if e.err != nil {
		g.log.Warn("claim of control not settled", "service", c.service.name, "error", e.err.Error())
		// The claim may have taken effect; the watch or the next claim tells.
		c.heard = now - silentAfter
		return
	}
	if e.record.Term < c.yielded {
		// Its successor has been told that this process has stopped, and gives the keys
		// to others when the leases that it knows of have run out. Were the claim taken
		// now, this process would go on renewing what it does not know to be lost.
		g.log.Info("claim came too late: a successor has been told that this process has stopped", "service", c.service.name,
			"term", e.record.Term, "successor-term", c.yielded)
		return
	}
	c.revision, c.confirm, c.written, c.reported, c.led = e.stored.Revision, e.began, now, now, now
	c.kept = keptQuarantine{}
	if e.record.Term == 1 {
		c.machine = keyspace.New(e.record, e.began, now)
	} else {
		c.machine = keyspace.Adopt(e.record, e.began, now)
	}
	g.log.Info("in control", "service", c.service.name, "term", e.record.Term, "revision", c.revision, "ranges", len(e.record.Ranges))
	if c.service.view.offer(e.stored.Revision, e.record) {
		c.service.pump()
	}
}

// startResign tells through the store that this controller has stopped.
func (g *Gateway) startResign(ctx context.Context, c *controller, record *keyspace.Record, revision uint64) {
	go func() {
		if _, err := g.putRecord(ctx, c, record, revision); err != nil {
			g.log.Warn("resignation not written; the next controller waits for it to lapse", "service", c.service.name, "error", err.Error())
		}
	}()
}
