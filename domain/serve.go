package domain

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"cicadarouter/contract/platform"
	"cicadarouter/directory"
	"cicadarouter/link/linkpb"
	"cicadarouter/ownership"
)

// LinkServer serves a controller's link.
type LinkServer struct {
	linkpb.UnimplementedControlServer
	c *Controller
}

// NewLinkServer returns the link server of a controller.
func NewLinkServer(c *Controller) *LinkServer { return &LinkServer{c: c} }

var _ linkpb.ControlServer = (*LinkServer)(nil)

// Agree implements linkpb.ControlServer.
func (s *LinkServer) Agree(_ context.Context, request *linkpb.AgreeRequest) (*linkpb.AgreeReply, error) {
	reply := &linkpb.AgreeReply{}
	for _, ask := range request.GetAsks() {
		now := s.c.clock.Now()
		s.c.heard.note(ask.GetPage(), request.GetFrom(), now)
		answer := s.c.voter.agree(now, ownership.Ask{
			Page:        ask.GetPage(),
			Generation:  ask.GetGeneration(),
			Dispatcher:  ask.GetDispatcher(),
			Run:         ask.GetRun(),
			Released:    ask.GetReleased(),
			ReleasedRun: ask.GetReleasedRun(),
			Bounded:     ask.GetBounded(),
		})
		s.noteDispatcher(ask, answer)
		reply.Answers = append(reply.Answers, &linkpb.Answer{
			Verdict:      uint32(answer.Verdict),
			Known:        answer.Known,
			Dispatcher:   answer.Dispatcher,
			BusyForNanos: int64(answer.BusyFor),
		})
	}
	return reply, nil
}

// noteDispatcher lets this controller's routers know who dispatches the page.
func (s *LinkServer) noteDispatcher(ask *linkpb.Ask, answer ownership.Answer) {
	if answer.Verdict == ownership.Agreed {
		s.c.directory.SetDispatcher(ask.GetPage(), ask.GetDispatcher())
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

// Records implements linkpb.ControlServer.
func (s *LinkServer) Records(request *linkpb.RecordsRequest, stream grpc.ServerStreamingServer[linkpb.RecordsUpdate]) error {
	filter := directory.RouterRecords(request.GetDomain())
	if request.GetRelay() {
		filter = directory.EveryRecord
	}
	var seq uint64
	for {
		delta, changed := s.c.directory.Since(seq, filter)
		seq = delta.Seq
		if err := stream.Send(updateOf(delta)); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-stream.Context().Done():
			return nil
		}
	}
}

func updateOf(delta directory.Delta) *linkpb.RecordsUpdate {
	update := &linkpb.RecordsUpdate{Revision: delta.Revision, HostsChanged: delta.HostsChanged, Synced: true}
	for _, object := range delta.Objects {
		update.Records = append(update.Records, recordOf(object))
	}
	for _, host := range delta.Hosts {
		update.Hosts = append(update.Hosts, hostOf(host))
	}
	for page, host := range delta.Dispatchers {
		update.Dispatchers = append(update.Dispatchers, &linkpb.Dispatcher{Page: page, Host: host})
	}
	return update
}

func recordOf(object platform.Object) *linkpb.Record {
	return &linkpb.Record{
		Kind:    string(object.Kind),
		Name:    object.Name,
		Schema:  string(object.Schema),
		Spec:    object.Spec,
		Version: object.Version,
		Deleted: object.Deleted,
	}
}

func hostOf(host platform.Host) *linkpb.Host {
	return &linkpb.Host{
		Name:       host.Name,
		Domain:     host.Domain,
		Link:       host.Link,
		RouterLink: host.RouterLink,
		Leaving:    host.Leaving,
	}
}
