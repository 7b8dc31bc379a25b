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

// places is a controller at a time, and a question for places at a server that takes ten
// requests a second.
type places struct {
	gateway    *Gateway
	controller *serviceControl
	request    placesRequest
}

func newPlaces(record *keyspace.Record, now time.Duration) places {
	g := New(Identity{Host: "one", Incarnation: 1}, Platform{}, logs.Discard())
	s := g.keyedService("s")
	c := &serviceControl{service: s, machine: keyspace.Adopt(record, now, now), members: newMembers()}
	g.control.services["s"] = c
	return places{gateway: g, controller: c,
		request: placesRequest{Server: limitTold{Server: fleet.Incarnation{ID: "a"}, PerSecond: 10}, Places: 2, WithinMicros: time.Second.Microseconds()}}
}

func (p *places) ask(now time.Duration) placesAnswer { return p.gateway.givePlaces(&p.request, now) }

// Guards against two processes that give out the places of a server at the same time.
func TestNewSchedulerWaitsForItsPredecessor(t *testing.T) {
	one, two := keyspace.Controller{Host: "one", Incarnation: 1}, keyspace.Controller{Host: "two", Incarnation: 2}
	now := time.Minute
	p := newPlaces(keyspace.FirstKeyless(two, 0).Succeed(one), now)
	assert.Assert(t, !p.ask(now).Schedules, "its predecessor may still give places")
	p.controller.machine.Stopped(now, two)
	answer := p.ask(now)
	assert.Assert(t, answer.Schedules)
	assert.DeepEqual(t, answer.WaitsMicros, []int64{100_000, 200_000})
	assert.Assert(t, p.ask(now+keyspace.AuthorityBound-time.Millisecond).Schedules)
	assert.Assert(t, !p.ask(now+keyspace.AuthorityBound).Schedules, "the store has not confirmed it")
}

func TestSchedulerOutlivesAPredecessorThatStaysSilent(t *testing.T) {
	one, two := keyspace.Controller{Host: "one", Incarnation: 1}, keyspace.Controller{Host: "two", Incarnation: 2}
	p := newPlaces(keyspace.FirstKeyless(two, 0).Succeed(one), time.Minute)
	later := time.Minute + keyspace.AuthorityBound + time.Second
	p.controller.machine.Confirm(later)
	assert.Assert(t, p.ask(later).Schedules)
}

// The host that asks hears of a newer limit, of its end, and when the next place is due.
func TestPlacesFollowTheLimit(t *testing.T) {
	p := newPlaces(keyspace.FirstKeyless(keyspace.Controller{Host: "one", Incarnation: 1}, 0), time.Minute)
	p.request.WithinMicros = 150_000
	answer := p.ask(time.Minute)
	assert.DeepEqual(t, answer.WaitsMicros, []int64{100_000})
	assert.Equal(t, answer.FullMicros, int64(200_000))

	newer := notice.News[float64]{Value: 4, Heard: p.gateway.now()}
	p.gateway.serverLimits.take(p.request.Server.Server, newer)
	p.request.Server.HeardAgo = 1000
	assert.Equal(t, p.ask(time.Minute).Server.PerSecond, 4.0)

	p.gateway.serverLimits.take(p.request.Server.Server, notice.News[float64]{Sent: p.gateway.now(), Heard: p.gateway.now()})
	answer = p.ask(time.Minute)
	assert.Assert(t, answer.Schedules)
	assert.DeepEqual(t, answer.WaitsMicros, []int64{0, 0})
	assert.Equal(t, answer.Server.PerSecond, 0.0)
}

// Answers in any number must not make a host give out more than a message holds.
func TestPlacesOfOneAnswerAreBounded(t *testing.T) {
	p := newPlaces(keyspace.FirstKeyless(keyspace.Controller{Host: "one", Incarnation: 1}, 0), time.Minute)
	p.request.Places, p.request.WithinMicros = 1_000_000, time.Hour.Microseconds()
	assert.Equal(t, len(p.ask(time.Minute).WaitsMicros), mostPlaces)
}
