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

// Timeouts of calls to servers and to the store.
const (
	// grantTimeout bounds a grant or a probe; servers answer these within milliseconds.
	grantTimeout = 600 * time.Millisecond
	// releaseTimeout bounds a release, which the server answers once the running requests for
	// the keys have finished.
	releaseTimeout = 3 * time.Second
	// storeTimeout bounds a write to the store, and a read of the quarantine.
	storeTimeout = 1500 * time.Millisecond
	// storeRetryPause is the pause after a failed write.
	storeRetryPause = 200 * time.Millisecond
)

// postEvent queues an event for the control loop.
func (g *Gateway) postEvent(ctx context.Context, next event) {
	if err := g.control.events.Put(ctx, next); err != nil {
		g.log.Debug("event dropped at shutdown", "error", err.Error())
	}
}

// callResult is the result of a call to a server.
type callResult struct {
	control      *serviceControl
	machine      *keyspace.StateMachine
	server       fleet.Server
	call         keyspace.Call
	result       keyspace.CallResult
	handoff      string
	began, ended time.Duration
	err          error
}

// startCall calls a server asynchronously.
func (g *Gateway) startCall(ctx context.Context, c *serviceControl, call keyspace.Call) {
	server, known := c.knownServers[call.Server]
	machine := c.machine
	if !known {
		// The server's address is no longer known: its keys become free only when the lease
		// expires.
		now := g.bootClock.Now()
		machine.CallCompleted(call, keyspace.CallUnanswered, "", now, now)
		return
	}
	backend := adapter.Backend{Server: server}
	if current := g.configuration.Current(); current != nil {
		backend.HealthPath = current.Services[c.service.name].HealthPath
	}
	go func() {
		result := &callResult{control: c, machine: machine, server: server, call: call, began: g.bootClock.Now()}
		heard := receivedNotices{from: server.Incarnation(), call: call.Kind.String(), sentAt: g.now()}
		switch call.Kind {
		case keyspace.GrantCall:
			calling, cancel := context.WithTimeout(ctx, grantTimeout)
			defer cancel()
			heard.Notice, result.err = g.keys.Grant(calling, backend, adapter.Grant{From: call.From, To: call.To, Token: call.Token,
				Term: keyspace.LeaseTerm, Handoff: call.Handoff})
		case keyspace.ReleaseCall:
			calling, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			result.handoff, heard.Notice, result.err = g.keys.Release(calling, backend, call.From, call.To, call.Token)
		case keyspace.ProbeCall:
			calling, cancel := context.WithTimeout(ctx, grantTimeout)
			defer cancel()
			var health adapter.Health
			health, result.err = g.keys.Probe(calling, backend)
			heard.Notice, heard.healthy = health.Notice, health.Healthy
		}
		result.ended = g.bootClock.Now()
		g.noteCallEnded(ctx, c.service, server, result)
		g.handleNotices(heard)
		g.postEvent(ctx, result)
	}()
}

// apply implements event.
func (e *callResult) apply(g *Gateway, _ time.Duration) {
	if e.control.machine != e.machine {
		return
	}
	var stale *adapter.StaleTokenError
	var other *adapter.WrongServerError
	switch {
	case e.err == nil:
		e.result = keyspace.CallDone
	case errors.As(e.err, &stale):
		e.result = keyspace.CallStaleToken
	case errors.As(e.err, &other):
		e.result = keyspace.CallUnanswered
	default:
		e.result = keyspace.CallUnanswered
	}
	if (e.err != nil || e.call.Kind == keyspace.ReleaseCall) && g.callLogLimit.allow() {
		g.log.Info("key lease call", "service", e.control.service.name, "kind", e.call.Kind.String(), "server", e.call.Incarnation().String(), "called", e.server.Incarnation().String(),
			"from", e.call.From, "to", e.call.To, "token", e.call.Token, "ms", (e.ended - e.began).Milliseconds(),
			"handoff", e.handoff, "error", errorText(e.err))
	}
	e.machine.CallCompleted(e.call, e.result, e.handoff, e.began, e.ended)
	if other != nil {
		e.machine.IncarnationEnded(e.server.Incarnation())
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// recordWriteResult is the result of writing a machine's pending record.
type recordWriteResult struct {
	control *serviceControl
	machine *keyspace.StateMachine
	record  *keyspace.Record
	stored  objects.Object
	began   time.Duration // on the boot clock
	askedAt time.Duration // the same moment on the clock that watches use
	err     error
}

func (g *Gateway) startRecordWrite(ctx context.Context, c *serviceControl, record *keyspace.Record) {
	machine, revision := c.machine, c.revision
	go func() {
		result := &recordWriteResult{control: c, machine: machine, record: record, began: g.bootClock.Now(), askedAt: g.now()}
		result.stored, result.err = g.putRecord(ctx, c, record, revision)
		if result.err != nil {
			clock.Sleep(ctx, storeRetryPause)
		}
		g.postEvent(ctx, result)
	}()
}

// putRecord writes a record, provided that the stored one has the given revision. A conflict
// with an identical record means that an earlier write of it took effect although its answer
// was lost.
func (g *Gateway) putRecord(ctx context.Context, c *serviceControl, record *keyspace.Record, revision uint64) (objects.Object, error) {
	spec, err := json.Marshal(record)
	if err != nil {
		return objects.Object{}, err
	}
	writing, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	writing, cancelLost := g.withLossDetected(writing, "put", Assignments, 0)
	defer cancelLost()
	stored, err := g.store.Put(writing, objects.Object{Kind: Assignments, Name: c.service.name, Revision: revision, Spec: spec})
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) && sameRecord(conflict.Current, record) {
		return conflict.Current, nil
	}
	return stored, err
}

// sameRecord reports whether an object holds the given record. Two different records are never
// equal: pairs of controller and term are never reused, and each write under one of them issues
// new tokens or completes moves.
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
func (e *recordWriteResult) apply(g *Gateway, now time.Duration) {
	c := e.control
	if c.machine != e.machine {
		return
	}
	c.writeInFlight = false
	var conflict *objects.ConflictError
	if errors.As(e.err, &conflict) {
		if g.rewriteLostAssignment(c, conflict.Current, now) {
			return
		}
		g.applyAssignment(conflict.Current)
		g.stepDown(c, "a write conflicted with another record", "")
		return
	}
	if errors.Is(e.err, objects.ErrNotFound) && g.rewriteLostAssignment(c, objects.Object{}, now) {
		return
	}
	if e.err != nil {
		g.log.Warn("writing the assignment failed", "service", c.service.name, "revision", c.revision, "error", e.err.Error())
		return
	}
	c.machine.WriteAcknowledged(e.began)
	g.freshness.noteRoleConfirmed(e.askedAt)
	c.revision, c.confirmStarted, c.writtenAt = e.stored.Revision, e.began, now
	g.log.Info("assignment written", "service", c.service.name, "revision", c.revision, "ranges", len(e.record.Ranges), "last-token", e.record.LastToken)
	if c.service.view.update(e.stored.Revision, e.record) {
		c.service.dispatchWaiting()
	}
}

// confirmResult is the result of a read that confirms the controller. A watch without changes
// confirms nothing, since it may have missed one.
type confirmResult struct {
	control *serviceControl
	machine *keyspace.StateMachine
	object  objects.Object
	began   time.Duration // on the boot clock
	askedAt time.Duration // the same moment on the clock that watches use
	err     error
}

func (g *Gateway) startConfirm(ctx context.Context, c *serviceControl) {
	machine := c.machine
	go func() {
		result := &confirmResult{control: c, machine: machine}
		for lost := true; lost; {
			calling, cancel := g.withLossDetected(ctx, "get", Assignments, 0)
			result.began, result.askedAt = g.bootClock.Now(), g.now()
			result.object, result.err = g.store.Get(calling, Assignments, c.service.name)
			lost = result.err != nil && calling.Err() != nil && ctx.Err() == nil
			cancel()
		}
		g.postEvent(ctx, result)
	}()
}

// apply implements event.
func (e *confirmResult) apply(g *Gateway, now time.Duration) {
	c := e.control
	if c.machine != e.machine {
		return
	}
	c.confirmInFlight = false
	if (e.err == nil || errors.Is(e.err, objects.ErrNotFound)) && g.rewriteLostAssignment(c, e.object, now) {
		return
	}
	if e.err != nil {
		g.log.Warn("confirming the controller failed", "service", c.service.name, "error", e.err.Error())
		return
	}
	var stored keyspace.Record
	if err := json.Unmarshal(e.object.Spec, &stored); err != nil {
		g.log.Error("can't decode the assignment", "service", c.service.name, "revision", e.object.Revision, "error", err.Error())
		return
	}
	if !g.isOwnRecord(&stored) {
		g.applyAssignment(e.object)
		g.stepDown(c, "another controller took over", stored.Controller.Host)
		return
	}
	c.machine.Confirm(e.began)
	g.freshness.noteRoleConfirmed(e.askedAt)
}

// claimResult is the result of a claim of the controller role.
type claimResult struct {
	control *serviceControl
	record  *keyspace.Record
	stored  objects.Object
	began   time.Duration // on the boot clock
	askedAt time.Duration // the same moment on the clock that watches use
	err     error
}

func (g *Gateway) startClaim(ctx context.Context, c *serviceControl, record *keyspace.Record, revision uint64) {
	go func() {
		result := &claimResult{control: c, record: record, began: g.bootClock.Now(), askedAt: g.now()}
		result.stored, result.err = g.putRecord(ctx, c, record, revision)
		if result.err != nil {
			clock.Sleep(ctx, storeRetryPause)
		}
		g.postEvent(ctx, result)
	}()
}

// apply implements event.
func (e *claimResult) apply(g *Gateway, now time.Duration) {
	c := e.control
	c.claimInFlight = false
	c.answeredAt = now
	var conflict *objects.ConflictError
	if errors.As(e.err, &conflict) {
		g.applyAssignment(conflict.Current)
		return
	}
	c.recordMissing = errors.Is(e.err, objects.ErrNotFound)
	if e.err != nil {
		g.log.Warn("claim of the controller role failed or its result is unknown", "service", c.service.name, "error", e.err.Error())
		// The claim may have taken effect; the watch or the next claim will show.
		c.answeredAt = now - controllerTimeout
		return
	}
	if e.record.Term < c.yieldedTerm {
		// The successor has been told that this process has stopped, and reassigns the keys
		// once the leases that it knows of have expired. If this process became the controller
		// now, it would go on renewing leases on keys that it does not know it has lost.
		g.log.Info("claim ignored: a successor has already been told that this process has stopped", "service", c.service.name,
			"term", e.record.Term, "successor-term", c.yieldedTerm)
		return
	}
	c.revision, c.confirmStarted, c.writtenAt, c.reportedAt, c.controllerSince = e.stored.Revision, e.began, now, now, now
	g.freshness.noteRoleConfirmed(e.askedAt)
	c.quarantine = storedQuarantine{}
	c.members.inheritRelays(now, e.record.Controller.Relays, g.identity.PeerAddress)
	if e.record.Term == 1 {
		c.machine = keyspace.New(e.record, e.began, now)
	} else {
		c.machine = keyspace.Adopt(e.record, e.began, now)
	}
	g.log.Info("in control", "service", c.service.name, "term", e.record.Term, "revision", c.revision, "ranges", len(e.record.Ranges))
	if c.service.view.update(e.stored.Revision, e.record) {
		c.service.dispatchWaiting()
	}
}

// startResign records in the store that this controller has stopped.
func (g *Gateway) startResign(ctx context.Context, c *serviceControl, record *keyspace.Record, revision uint64) {
	go func() {
		if _, err := g.putRecord(ctx, c, record, revision); err != nil {
			g.log.Warn("writing the resignation failed; the next controller waits until this one's authority expires", "service", c.service.name, "error", err.Error())
		}
	}()
}
