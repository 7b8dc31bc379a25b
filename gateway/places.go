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
	// reservationTimeout bounds a call for reservations, because requests wait for it.
	reservationTimeout = 200 * time.Millisecond
	// maxReservationsPerResponse bounds the reservations granted in one response.
	maxReservationsPerResponse = 64
)

// Errors of calls for reservations.
var (
	errNoScheduler      = errors.New("no host is known that schedules reservations")
	errControlQueueFull = errors.New("too many events are queued for the control loop")
)

// reservationRequest asks the scheduler for reservations at a server.
type reservationRequest struct {
	// Limit is the server's rate limit as the asking host knows it.
	Limit limitNotice `json:"server"`
	// Count is how many reservations are wanted.
	Count int `json:"places"`
	// WithinMicros is how soon they must be due, in microseconds.
	WithinMicros int64 `json:"withinMicros"`
}

// reservationReply is the scheduler's response.
type reservationReply struct {
	// IsScheduler is set if the process is the scheduler.
	IsScheduler bool `json:"schedules"`
	// Limit is the server's rate limit as the scheduler knows it.
	Limit limitNotice `json:"server"`
	// WaitsMicros is the time until each reservation is due, in microseconds.
	WaitsMicros []int64 `json:"waitsMicros,omitempty"`
	// RefusedWaitMicros is the time until the first reservation that was not granted, in
	// microseconds; 0 if the schedule had room for all.
	RefusedWaitMicros int64 `json:"fullMicros,omitempty"`
}

// scheduler returns the process that schedules the reservations of all rate-limited servers: the
// controller that also coordinates the hosts. The store names that controller, so there is only
// one at a time. ok is false while none is known.
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

// requestReservations requests reservations for a service in the background and gives the service the
// results.
func (g *Gateway) requestReservations(s *service, requests []balance.ReservationRequest) {
	for _, request := range requests {
		go func() {
			result := g.requestReservation(request)
			s.applyReservation(request.Server, result)
		}()
	}
}

// requestReservation asks the scheduler for reservations at a server.
func (g *Gateway) requestReservation(request balance.ReservationRequest) balance.Reservation {
	askedAt := g.now()
	limit, _ := g.serverLimits.latest(request.Server)
	message := reservationRequest{Limit: newLimitNotice(notice.NewPeerUpdate(askedAt, request.Server, limit)), Count: request.Permits, WithinMicros: request.Within.Microseconds()}
	answer, err := g.callScheduler(&message)
	if err != nil || !answer.IsScheduler {
		if g.failureLogLimit.allow() {
			g.log.Info("no reservations granted; the host keeps to its own share of the rate limit", "server", request.Server.String(), "places", request.Permits, "error", errorText(err))
		}
		return balance.Reservation{}
	}
	g.applyLimitNotices([]limitNotice{answer.Limit}, "scheduler")
	result := balance.Reservation{Reached: true, RequestedAt: askedAt, RefusedWait: time.Duration(answer.RefusedWaitMicros) * time.Microsecond}
	for _, wait := range answer.WaitsMicros {
		result.Waits = append(result.Waits, time.Duration(wait)*time.Microsecond)
	}
	if g.noticeLogLimit.allow() {
		g.log.Debug("reservations granted", "server", request.Server.String(), "asked", request.Permits, "given", len(result.Waits),
			"within-ms", request.Within.Milliseconds(), "full-ms", result.RefusedWait.Milliseconds(), "answered-ms", (g.now() - askedAt).Milliseconds())
	}
	return result
}

// callScheduler calls the scheduler, which may be this process.
func (g *Gateway) callScheduler(request *reservationRequest) (reservationReply, error) {
	scheduler, known := g.scheduler()
	if !known {
		return reservationReply{}, errNoScheduler
	}
	ctx, cancel := context.WithTimeout(context.Background(), reservationTimeout)
	defer cancel()
	if scheduler.Incarnation == g.identity.Incarnation {
		return g.callOwnScheduler(ctx, request)
	}
	var answer reservationReply
	err := g.callPeer(ctx, reservationTimeout, scheduler.Address, pathReservations, request, &answer)
	return answer, err
}

// callOwnScheduler lets this process's control loop handle the call.
func (g *Gateway) callOwnScheduler(ctx context.Context, request *reservationRequest) (reservationReply, error) {
	call := &peerRequest{reservation: request, answer: make(chan any, 1)}
	if !g.control.events.Offer(call) {
		g.metrics.hostCallsRejected.Inc()
		return reservationReply{}, errControlQueueFull
	}
	select {
	case answer := <-call.answer:
		return answer.(reservationReply), nil
	case <-ctx.Done():
		return reservationReply{}, ctx.Err()
	}
}

// grantReservations handles a call for reservations. Only a controller that the store has
// confirmed and whose predecessors have stopped grants any: two that schedule at the same time
// would grant a server's limit twice.
func (g *Gateway) grantReservations(request *reservationRequest, now time.Duration) reservationReply {
	g.applyLimitNotices([]limitNotice{request.Limit}, "host")
	c := g.schedulingController(now)
	if c == nil {
		return reservationReply{}
	}
	server := request.Limit.Server
	limit, known := g.serverLimits.latest(server)
	if !known {
		return reservationReply{}
	}
	answer := reservationReply{IsScheduler: true, Limit: newLimitNotice(notice.NewPeerUpdate(g.now(), server, limit))}
	if limit.Value <= 0 {
		// The server has no limit any more; the response tells the asking host.
		answer.WaitsMicros = make([]int64, min(request.Count, maxReservationsPerResponse))
		return answer
	}
	within := time.Duration(request.WithinMicros) * time.Microsecond
	schedule := c.scheduleOf(server)
	for range min(request.Count, maxReservationsPerResponse) {
		wait, ok := schedule.Reserve(now, limit.Value, within)
		if !ok {
			answer.RefusedWaitMicros = max(wait.Microseconds(), 1)
			break
		}
		answer.WaitsMicros = append(answer.WaitsMicros, wait.Microseconds())
	}
	return answer
}

// schedulingController returns the controller by which this process is the scheduler, or nil if
// it is not.
func (g *Gateway) schedulingController(now time.Duration) *serviceControl {
	s := g.coordinatingService()
	if s == nil {
		return nil
	}
	c := g.control.services[s.name]
	if c == nil || c.machine == nil || !c.machine.Authorized(now) || len(c.machine.UnfencedPredecessors(now)) > 0 {
		return nil
	}
	return c
}

// maxSchedules bounds the schedules that a controller keeps. When it is reached all are dropped,
// so that those of removed servers do not accumulate.
const maxSchedules = 1024

// scheduleOf returns the schedule of a server, which it creates if there is none.
func (c *serviceControl) scheduleOf(server fleet.Incarnation) *ratelimit.Schedule {
	schedule := c.schedules[server]
	if schedule != nil {
		return schedule
	}
	if c.schedules == nil || len(c.schedules) >= maxSchedules {
		c.schedules = map[fleet.Incarnation]*ratelimit.Schedule{}
	}
	schedule = &ratelimit.Schedule{}
	c.schedules[server] = schedule
	return schedule
}
