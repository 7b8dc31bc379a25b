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

const (
	// placesTimeout bounds the question for places: requests wait for the answer.
	placesTimeout = 200 * time.Millisecond
	// mostPlaces bounds the places given with one answer.
	mostPlaces = 64
)

// Errors of questions for places.
var (
	errNoScheduler = errors.New("no host is known to schedule places")
	errControlBusy = errors.New("too many answers wait for the control loop")
)

// placesRequest asks the host that schedules places for some at a server.
type placesRequest struct {
	// Server is what the asking host knows of the server's limit.
	Server limitTold `json:"server"`
	Places int       `json:"places"`
	// WithinMicros is how soon they must be due, in microseconds.
	WithinMicros int64 `json:"withinMicros"`
}

// placesAnswer gives places out.
type placesAnswer struct {
	// Schedules is set if the process schedules places.
	Schedules bool `json:"schedules"`
	// Server is what the process knows of the server's limit.
	Server limitTold `json:"server"`
	// WaitsMicros are how long it is until each place is due, in microseconds.
	WaitsMicros []int64 `json:"waitsMicros,omitempty"`
	// FullMicros is how long it is until the first one that was not given; 0 if all were.
	FullMicros int64 `json:"fullMicros,omitempty"`
}

// scheduler returns the process that schedules the places of all limited servers: the
// controller of firstController. That one is named in the store, so there is one at a time. ok is false while none is known.
func (g *Gateway) scheduler() (scheduler keyspace.Controller, ok bool) {
	s := g.coordinatingService()
	if s == nil {
		return keyspace.Controller{}, false
	}
	record, _ := s.view.latest()
	if record == nil || record.Controller.Resigned {
		return keyspace.Controller{}, false
	}
	return record.Controller, true
}

// reservePlaces asks for places at a service's servers, and hands the service what became
// of it.
func (g *Gateway) reservePlaces(s *service, wishes []balance.Wish) {
	for _, wish := range wishes {
		go func() {
			got := g.reserve(wish)
			s.reserved(wish.Server, got)
		}()
	}
}

// reserve asks the scheduler for places at a server.
func (g *Gateway) reserve(wish balance.Wish) balance.Reservation {
	asked := g.now()
	news, _ := g.serverLimits.of(wish.Server)
	request := placesRequest{Server: limitToldOf(notice.TellOf(asked, wish.Server, news)), Places: wish.Places, WithinMicros: wish.Within.Microseconds()}
	answer, err := g.askPlaces(&request)
	if err != nil || !answer.Schedules {
		if g.failureLogLimit.take() {
			g.log.Info("no places given: the host keeps to its own part", "server", wish.Server.String(), "places", wish.Places, "error", errorText(err))
		}
		return balance.Reservation{}
	}
	g.hearLimits([]limitTold{answer.Server}, "scheduler")
	got := balance.Reservation{Reached: true, Asked: asked, Full: time.Duration(answer.FullMicros) * time.Microsecond}
	for _, wait := range answer.WaitsMicros {
		got.Waits = append(got.Waits, time.Duration(wait)*time.Microsecond)
	}
	if g.noticeLogLimit.take() {
		g.log.Debug("places reserved", "server", wish.Server.String(), "asked", wish.Places, "given", len(got.Waits),
			"within-ms", wish.Within.Milliseconds(), "full-ms", got.Full.Milliseconds(), "answered-ms", (g.now() - asked).Milliseconds())
	}
	return got
}

// askPlaces asks the scheduler, which may be this process.
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
	err := g.callPeer(ctx, placesTimeout, scheduler.Address, pathPlaces, request, &answer)
	return answer, err
}

// askOwnPlaces asks this process's control loop.
func (g *Gateway) askOwnPlaces(ctx context.Context, request *placesRequest) (placesAnswer, error) {
	call := &peerRequest{places: request, answer: make(chan any, 1)}
	if !g.control.events.Offer(call) {
		g.metrics.crowdedOut.Inc()
		return placesAnswer{}, errControlBusy
	}
	select {
	case answer := <-call.answer:
		return answer.(placesAnswer), nil
	case <-ctx.Done():
		return placesAnswer{}, ctx.Err()
	}
}

// givePlaces answers a question for places. Only a controller that the store has confirmed,
// and whose predecessors have stopped, gives any: two that schedule at the same time would
// give out a limit twice.
func (g *Gateway) givePlaces(request *placesRequest, now time.Duration) placesAnswer {
	g.hearLimits([]limitTold{request.Server}, "host")
	c := g.scheduling(now)
	if c == nil {
		return placesAnswer{}
	}
	server := request.Server.Server
	news, known := g.serverLimits.of(server)
	if !known {
		return placesAnswer{}
	}
	answer := placesAnswer{Schedules: true, Server: limitToldOf(notice.TellOf(g.now(), server, news))}
	if news.Value <= 0 {
		// Its next answer tells the host what holds.
		answer.WaitsMicros = make([]int64, min(request.Places, mostPlaces))
		return answer
	}
	within := time.Duration(request.WithinMicros) * time.Microsecond
	schedule := c.scheduleOf(server)
	for range min(request.Places, mostPlaces) {
		wait, ok := schedule.Reserve(now, news.Value, within)
		if !ok {
			answer.FullMicros = max(wait.Microseconds(), 1)
			break
		}
		answer.WaitsMicros = append(answer.WaitsMicros, wait.Microseconds())
	}
	return answer
}

// scheduling returns the controller as which this process schedules places, or nil.
func (g *Gateway) scheduling(now time.Duration) *serviceControl {
	s := g.coordinatingService()
	if s == nil {
		return nil
	}
	c := g.control.services[s.name]
	if c == nil || c.machine == nil || !c.machine.Authority(now) || len(c.machine.Unproven(now)) > 0 {
		return nil
	}
	return c
}

// mostSchedules bounds the schedules that a controller keeps. Those of servers that are gone
// are dropped when it is reached.
const mostSchedules = 1024

func (c *serviceControl) scheduleOf(server fleet.Incarnation) *ratelimit.Schedule {
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
