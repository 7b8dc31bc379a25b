package gateway

import (
	"context"
	"errors"
	"time"

	"cicadarouter/balance"
	"cicadarouter/fleet"
	"cicadarouter/keyspace"
	"cicadarouter/notice"
	"cicadarouter/ratelimit"
)

// A server may announce a rate limit that holds for all hosts together. One process, the
// scheduler, keeps the schedule of every such server; the other hosts ask it for reservations.
// A reservation allows one request to be sent to the server from a given time on, for a short while.

const (
	// placesTimeout bounds a call for reservations, because requests wait for it.
	placesTimeout = 200 * time.Millisecond
	// mostPlaces bounds the reservations granted in one response.
	mostPlaces = 64
)

// Errors of calls for reservations.
var (
	errNoScheduler = errors.New("no host is known that schedules reservations")
	errControlBusy = errors.New("too many events are queued for the control loop")
)

// placesRequest asks the scheduler for reservations at a server.
type placesRequest struct {
	// Server is the server's rate limit as the asking host knows it.
	Server limitTold `json:"server"`
	// Places is how many reservations are wanted.
	Places int `json:"places"`
	// WithinMicros is how soon they must be due, in microseconds.
	WithinMicros int64 `json:"withinMicros"`
}

// placesAnswer is the scheduler's response.
type placesAnswer struct {
	// Schedules is set if the process is the scheduler.
	Schedules bool `json:"schedules"`
	// Server is the server's rate limit as the scheduler knows it.
	Server limitTold `json:"server"`
	// WaitsMicros is the time until each reservation is due, in microseconds.
	WaitsMicros []int64 `json:"waitsMicros,omitempty"`
	// FullMicros is the time until the first reservation that was not granted, in
	// microseconds; 0 if the schedule had room for all.
	FullMicros int64 `json:"fullMicros,omitempty"`
}

// scheduler returns the process that schedules the reservations of all rate-limited servers: the
// controller that also coordinates the hosts. The store names that controller, so there is only
// one at a time. ok is false while none is known.
func (g *Gateway) scheduler() (scheduler keyspace.Controller, ok bool) {
	s := g.firstController()
	if s == nil {
		return keyspace.Controller{}, false
	}
	record, _ := s.view.latest()
	if record == nil || record.Controller.Resigned {
		return keyspace.Controller{}, false
	}
	return record.Controller, true
}

// reservePlaces requests reservations for a service in the background and gives the service the
// results.
func (g *Gateway) reservePlaces(s *service, wishes []balance.Wish) {
	for _, wish := range wishes {
		go func() {
			result := g.reserve(wish)
			s.reserved(wish.Server, result)
		}()
	}
}

// reserve asks the scheduler for reservations at a server.
func (g *Gateway) reserve(wish balance.Wish) balance.Reservation {
	askedAt := g.now()
	limit, _ := g.limits.of(wish.Server)
	request := placesRequest{Server: limitToldOf(notice.TellOf(askedAt, wish.Server, limit)), Places: wish.Places, WithinMicros: wish.Within.Microseconds()}
	answer, err := g.askPlaces(&request)
	if err != nil || !answer.Schedules {
		if g.failureLines.take() {
			g.log.Info("no reservations granted; the host keeps to its own share of the rate limit", "server", wish.Server.String(), "places", wish.Places, "error", errorText(err))
		}
		return balance.Reservation{}
	}
	g.hearLimits([]limitTold{answer.Server}, "scheduler")
	result := balance.Reservation{Reached: true, Asked: askedAt, Full: time.Duration(answer.FullMicros) * time.Microsecond}
	for _, wait := range answer.WaitsMicros {
		result.Waits = append(result.Waits, time.Duration(wait)*time.Microsecond)
	}
	if g.loadLines.take() {
		g.log.Debug("reservations granted", "server", wish.Server.String(), "asked", wish.Places, "given", len(result.Waits),
			"within-ms", wish.Within.Milliseconds(), "full-ms", result.Full.Milliseconds(), "answered-ms", (g.now() - askedAt).Milliseconds())
	}
	return result
}

// askPlaces calls the scheduler, which may be this process.
func (g *Gateway) askPlaces(request *placesRequest) (placesAnswer, error) {
	scheduler, known := g.scheduler()
	if !known {
		return placesAnswer{}, errNoScheduler
	}
	ctx, cancel := context.WithTimeout(context.Background(), placesTimeout)
	defer cancel()
	if scheduler.Incarnation == g.identity.Incarnation {
		return g.askOwnPlaces(ctx, request)
	}
	var answer placesAnswer
	err := g.askPeer(ctx, placesTimeout, scheduler.Address, pathPlaces, request, &answer)
	return answer, err
}

// askOwnPlaces lets this process's control loop handle the call.
func (g *Gateway) askOwnPlaces(ctx context.Context, request *placesRequest) (placesAnswer, error) {
	call := &peerCall{places: request, answer: make(chan any, 1)}
	if !g.control.events.Offer(call) {
		g.counts.crowdedOut.Inc()
		return placesAnswer{}, errControlBusy
	}
	select {
	case answer := <-call.answer:
		return answer.(placesAnswer), nil
	case <-ctx.Done():
		return placesAnswer{}, ctx.Err()
	}
}

// givePlaces handles a call for reservations. Only a controller that the store has
// confirmed and whose predecessors have stopped grants any: two that schedule at the same time
// would grant a server's limit twice.
func (g *Gateway) givePlaces(request *placesRequest, now time.Duration) placesAnswer {
	g.hearLimits([]limitTold{request.Server}, "host")
	c := g.scheduling(now)
	if c == nil {
		return placesAnswer{}
	}
	server := request.Server.Server
	limit, known := g.limits.of(server)
	if !known {
		return placesAnswer{}
	}
	answer := placesAnswer{Schedules: true, Server: limitToldOf(notice.TellOf(g.now(), server, limit))}
	if limit.Value <= 0 {
		// The server has no limit any more; the response tells the asking host.
		answer.WaitsMicros = make([]int64, min(request.Places, mostPlaces))
		return answer
	}
	within := time.Duration(request.WithinMicros) * time.Microsecond
	schedule := c.scheduleOf(server)
	for range min(request.Places, mostPlaces) {
		wait, ok := schedule.Reserve(now, limit.Value, within)
		if !ok {
			answer.FullMicros = max(wait.Microseconds(), 1)
			break
		}
		answer.WaitsMicros = append(answer.WaitsMicros, wait.Microseconds())
	}
	return answer
}

// scheduling returns the controller by which this process is the scheduler, or nil if
// it is not.
func (g *Gateway) scheduling(now time.Duration) *controller {
	s := g.firstController()
	if s == nil {
		return nil
	}
	c := g.control.services[s.name]
	if c == nil || c.machine == nil || !c.machine.Authority(now) || len(c.machine.Unproven(now)) > 0 {
		return nil
	}
	return c
}

// mostSchedules bounds the schedules that a controller keeps. When it is reached all are dropped,
// so that those of removed servers do not accumulate.
const mostSchedules = 1024

// scheduleOf returns the schedule of a server, which it creates if there is none.
func (c *controller) scheduleOf(server fleet.Incarnation) *ratelimit.Schedule {
	schedule := c.schedules[server]
	if schedule != nil {
		return schedule
	}
	if c.schedules == nil || len(c.schedules) >= mostSchedules {
		c.schedules = map[fleet.Incarnation]*ratelimit.Schedule{}
	}
	schedule = &ratelimit.Schedule{}
	c.schedules[server] = schedule
	return schedule
}
