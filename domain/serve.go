package domain

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"cicadarouter/directory"
	"cicadarouter/link/linkpb"
	"cicadarouter/ownership"
)

// LinkServer serves the RPC interface of a controller.
type LinkServer struct {
	linkpb.UnimplementedControlServer
	c *Controller
}

// NewLinkServer returns a server of the controller's RPC interface.
func NewLinkServer(c *Controller) *LinkServer { return &LinkServer{c: c} }

var _ linkpb.ControlServer = (*LinkServer)(nil)

// Agree implements linkpb.ControlServer.
func (s *LinkServer) Agree(_ context.Context, request *linkpb.AgreeRequest) (*linkpb.AgreeReply, error) {
	reply := &linkpb.AgreeReply{}
	for _, renewal := range request.GetAsks() {
		now := s.c.clock.Now()
		s.c.lastRenewals.record(renewal.GetPage(), request.GetFrom(), now)
		answer := s.c.voter.agree(now, ownership.RenewalRequest{
			Page:                  renewal.GetPage(),
			Generation:            renewal.GetGeneration(),
			Dispatcher:            renewal.GetDispatcher(),
			DispatcherIncarnation: renewal.GetRun(),
			ReleasedDispatcher:    renewal.GetReleased(),
			ReleasedIncarnation:   renewal.GetReleasedRun(),
			Bounded:               renewal.GetBounded(),
		})
		s.recordDispatcher(renewal, answer)
		reply.Answers = append(reply.Answers, &linkpb.Answer{
			Verdict:      uint32(answer.Verdict),
			Known:        answer.KnownGeneration,
			Dispatcher:   answer.Dispatcher,
			BusyForNanos: int64(answer.BusyFor),
		})
	}
	return reply, nil
}

// recordDispatcher records the dispatcher of a page in the directory, from which
// routers get it.
func (s *LinkServer) recordDispatcher(renewal *linkpb.Ask, answer ownership.RenewalResponse) {
	if answer.Verdict == ownership.Agreed {
		s.c.directory.SetDispatcher(renewal.GetPage(), renewal.GetDispatcher())
	}
}

// Stop implements linkpb.ControlServer.
func (s *LinkServer) Stop(_ context.Context, request *linkpb.StopRequest) (*linkpb.StopReply, error) {
	reply := &linkpb.StopReply{}
	for _, stop := range request.GetStops() {
		promise := s.c.voter.stop(s.c.clock.Now(), stop.GetPage(), stop.GetGeneration())
		reply.RemainingNanos = append(reply.RemainingNanos, int64(promise.Remaining))
	}
	return reply, nil
}

// Probe implements linkpb.ControlServer.
func (s *LinkServer) Probe(ctx context.Context, request *linkpb.ProbeRequest) (*linkpb.ProbeReply, error) {
	const probeTimeout = 150 * time.Millisecond
	server, ok := s.c.directory.Server(request.GetServer())
	if !ok {
		return &linkpb.ProbeReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := s.c.dial(server).Report(ctx, "")
	return &linkpb.ProbeReply{Reached: err == nil}, nil
}

// relayCheckInterval is the interval at which a relay checks that its sender still reaches
// the store.
const relayCheckInterval = 500 * time.Millisecond

// Records implements linkpb.ControlServer.
func (s *LinkServer) Records(request *linkpb.RecordsRequest, stream grpc.ServerStreamingServer[linkpb.RecordsUpdate]) error {
	filter := directory.RouterFilter(request.GetDomain())
	if request.GetRelay() {
		filter = directory.ControllerFilter(request.GetFrom(), request.GetDomain())
	}
	recheck := time.NewTicker(relayCheckInterval)
	defer recheck.Stop()
	var seq uint64
	var sentAt time.Time
	for {
		if request.GetRelay() && !request.GetCached() && !s.c.storeReachable.Load() {
			return errStoreUnreachable
		}
		delta, changed := s.c.directory.Since(seq, filter)
		if delta.Seq > seq || time.Since(sentAt) >= directory.HeartbeatInterval {
			if err := stream.Send(directory.UpdateToLink(delta)); err != nil {
				return err
			}
			sentAt = time.Now()
		}
		seq = delta.Seq
		select {
		case <-changed:
		case <-recheck.C:
		case <-stream.Context().Done():
			return nil
		}
	}
}
