package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
	"cicadarouter/host/logs"
	"cicadarouter/keyspace"
	"cicadarouter/notice"
)

// fixture is a controller and a call for reservations at a server that takes ten requests a
// second.
type fixture struct {
	g          *Gateway
	controller *serviceControl
	call       reservationRequest
}

func newSchedulerFixture(record *keyspace.Record, now time.Duration) fixture {
	g := New(Identity{Host: "one", Incarnation: 1}, Platform{}, logs.Discard())
	s := g.keyedService("s")
	c := &serviceControl{service: s, machine: keyspace.Adopt(record, now, now), members: newMembers()}
	g.control.services["s"] = c
	return fixture{g: g, controller: c,
		call: reservationRequest{Limit: limitNotice{Server: fleet.Incarnation{ID: "a"}, PerSecond: 10}, Count: 2, WithinMicros: time.Second.Microseconds()}}
}

func (p *fixture) ask(now time.Duration) reservationReply { return p.g.grantReservations(&p.call, now) }

// Guards against two processes that schedule a server's reservations at the same time.
func TestNewSchedulerWaitsForItsPredecessor(t *testing.T) {
	one, two := keyspace.Controller{Host: "one", Incarnation: 1}, keyspace.Controller{Host: "two", Incarnation: 2}
	now := time.Minute
	p := newSchedulerFixture(keyspace.NewKeylessRecord(two, 0).TakeOver(one), now)
	assert.Assert(t, !p.ask(now).IsScheduler, "its predecessor may still grant reservations")
	p.controller.machine.PredecessorStopped(now, two)
	answer := p.ask(now)
	assert.Assert(t, answer.IsScheduler)
	assert.DeepEqual(t, answer.WaitsMicros, []int64{100_000, 200_000})
	assert.Assert(t, p.ask(now+keyspace.AuthorityTimeout-time.Millisecond).IsScheduler)
	assert.Assert(t, !p.ask(now+keyspace.AuthorityTimeout).IsScheduler, "the store has not confirmed it")
}

func TestSchedulerOutlivesAPredecessorThatStaysSilent(t *testing.T) {
	one, two := keyspace.Controller{Host: "one", Incarnation: 1}, keyspace.Controller{Host: "two", Incarnation: 2}
	p := newSchedulerFixture(keyspace.NewKeylessRecord(two, 0).TakeOver(one), time.Minute)
	later := time.Minute + keyspace.AuthorityTimeout + time.Second
	p.controller.machine.Confirm(later)
	assert.Assert(t, p.ask(later).IsScheduler)
}

// The response tells the asking host a newer limit, the limit's end, and when the next
// reservation is due.
func TestReservationsFollowTheLimit(t *testing.T) {
	p := newSchedulerFixture(keyspace.NewKeylessRecord(keyspace.Controller{Host: "one", Incarnation: 1}, 0), time.Minute)
	p.call.WithinMicros = 150_000
	answer := p.ask(time.Minute)
	assert.DeepEqual(t, answer.WaitsMicros, []int64{100_000})
	assert.Equal(t, answer.RefusedWaitMicros, int64(200_000))

	newerLimit := notice.Update[float64]{Value: 4, ReceivedAt: p.g.now()}
	p.g.serverLimits.update(p.call.Limit.Server, newerLimit)
	p.call.Limit.ReceivedAgoMs = 1000
	assert.Equal(t, p.ask(time.Minute).Limit.PerSecond, 4.0)

	p.g.serverLimits.update(p.call.Limit.Server, notice.Update[float64]{SentAt: p.g.now(), ReceivedAt: p.g.now()})
	answer = p.ask(time.Minute)
	assert.Assert(t, answer.IsScheduler)
	assert.DeepEqual(t, answer.WaitsMicros, []int64{0, 0})
	assert.Equal(t, answer.Limit.PerSecond, 0.0)
}

// A call must not be granted more reservations than one response may hold.
func TestReservationsOfOneResponseAreBounded(t *testing.T) {
	p := newSchedulerFixture(keyspace.NewKeylessRecord(keyspace.Controller{Host: "one", Incarnation: 1}, 0), time.Minute)
	p.call.Count, p.call.WithinMicros = 1_000_000, time.Hour.Microseconds()
	assert.Equal(t, len(p.ask(time.Minute).WaitsMicros), maxReservationsPerResponse)
}
