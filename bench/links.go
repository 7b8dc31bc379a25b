package bench

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"cicadarouter/link/linkpb"
)

// frameOverhead is the overhead of HTTP/2 and gRPC for a message on an open connection: two
// frame headers, the message prefix and indexed headers.
const frameOverhead = 45

// traffic counts messages and their bytes.
type traffic struct {
	messages atomic.Int64
	bytes    atomic.Int64
}

func (t *traffic) record(message proto.Message) {
	t.messages.Add(1)
	t.bytes.Add(int64(proto.Size(message) + frameOverhead))
}

// network connects the daemons of a site by direct calls.
type network struct {
	control traffic
	relays  traffic
	servers traffic

	mu              sync.Mutex
	controlServers  map[string]linkpb.ControlServer
	dispatchServers map[string]linkpb.DispatchServer
}

func newNetwork() *network {
	return &network{controlServers: map[string]linkpb.ControlServer{}, dispatchServers: map[string]linkpb.DispatchServer{}}
}

// remove makes an address unreachable.
func (n *network) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.controlServers, address)
	delete(n.dispatchServers, address)
}

// Control implements link.Peers.
func (n *network) Control(address string) linkpb.ControlClient {
	return &controlClient{network: n, address: address}
}

// Dispatch implements link.Peers.
func (n *network) Dispatch(address string) linkpb.DispatchClient {
	return &dispatchClient{network: n, address: address}
}

var errUnreachable = status.Error(codes.Unavailable, "process is gone")

type controlClient struct {
	network *network
	address string
}

func (c *controlClient) server() (linkpb.ControlServer, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	server, ok := c.network.controlServers[c.address]
	if !ok {
		return nil, errUnreachable
	}
	return server, nil
}

// callCounted calls a handler and counts the request and the response.
func callCounted[I, O proto.Message](ctx context.Context, count *traffic, in I, handler func(context.Context, I) (O, error)) (O, error) {
	count.record(in)
	out, err := handler(ctx, in)
	if err == nil {
		count.record(out)
	}
	return out, err
}

// Agree implements linkpb.ControlClient.
func (c *controlClient) Agree(ctx context.Context, in *linkpb.AgreeRequest, _ ...grpc.CallOption) (*linkpb.AgreeReply, error) {
	server, err := c.server()
	if err != nil {
		return nil, err
	}
	return callCounted(ctx, &c.network.control, in, server.Agree)
}

// Stop implements linkpb.ControlClient.
func (c *controlClient) Stop(ctx context.Context, in *linkpb.StopRequest, _ ...grpc.CallOption) (*linkpb.StopReply, error) {
	server, err := c.server()
	if err != nil {
		return nil, err
	}
	return callCounted(ctx, &c.network.control, in, server.Stop)
}

// Probe implements linkpb.ControlClient.
func (c *controlClient) Probe(ctx context.Context, in *linkpb.ProbeRequest, _ ...grpc.CallOption) (*linkpb.ProbeReply, error) {
	server, err := c.server()
	if err != nil {
		return nil, err
	}
	return callCounted(ctx, &c.network.control, in, server.Probe)
}

// Report implements linkpb.ControlClient.
func (c *controlClient) Report(ctx context.Context, in *linkpb.DomainReport, _ ...grpc.CallOption) (*linkpb.ReportReply, error) {
	server, err := c.server()
	if err != nil {
		return nil, err
	}
	return callCounted(ctx, &c.network.control, in, server.Report)
}

// Records implements linkpb.ControlClient.
func (c *controlClient) Records(ctx context.Context, in *linkpb.RecordsRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[linkpb.RecordsUpdate], error) {
	server, err := c.server()
	if err != nil {
		return nil, err
	}
	const window = 16
	s := &stream{ctx: ctx, updates: make(chan *linkpb.RecordsUpdate, window), network: c.network, address: c.address}
	go func() {
		defer close(s.updates)
		_ = server.Records(in, s)
	}()
	return s, nil
}

// stream implements both ends of a stream of records.
type stream struct {
	ctx     context.Context
	updates chan *linkpb.RecordsUpdate
	network *network
	address string
}

// Send implements the server end of the stream.
func (s *stream) Send(update *linkpb.RecordsUpdate) error {
	s.network.mu.Lock()
	_, reachable := s.network.controlServers[s.address]
	s.network.mu.Unlock()
	if !reachable {
		return errUnreachable
	}
	s.network.relays.record(update)
	select {
	case s.updates <- update:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// Recv implements the client end of the stream.
func (s *stream) Recv() (*linkpb.RecordsUpdate, error) {
	select {
	case update, ok := <-s.updates:
		if !ok {
			return nil, io.EOF
		}
		return update, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// The remaining methods of the stream interfaces are not used here.

func (s *stream) Context() context.Context     { return s.ctx }
func (s *stream) SetHeader(metadata.MD) error  { return nil }
func (s *stream) SendHeader(metadata.MD) error { return nil }
func (s *stream) SetTrailer(metadata.MD)       {}
func (s *stream) Header() (metadata.MD, error) { return nil, nil }
func (s *stream) Trailer() metadata.MD         { return nil }
func (s *stream) CloseSend() error             { return nil }
func (s *stream) SendMsg(any) error            { return nil }
func (s *stream) RecvMsg(any) error            { return nil }

type dispatchClient struct {
	network *network
	address string
}

func (c *dispatchClient) server() (linkpb.DispatchServer, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	server, ok := c.network.dispatchServers[c.address]
	if !ok {
		return nil, errUnreachable
	}
	return server, nil
}

// Lease implements linkpb.DispatchClient.
func (c *dispatchClient) Lease(ctx context.Context, in *linkpb.LeaseRequest, _ ...grpc.CallOption) (*linkpb.LeaseReply, error) {
	server, err := c.server()
	if err != nil {
		return nil, err
	}
	return callCounted(ctx, &c.network.control, in, server.Lease)
}

// Counts implements linkpb.DispatchClient.
func (c *dispatchClient) Counts(ctx context.Context, in *linkpb.CountsRequest, _ ...grpc.CallOption) (*linkpb.CountsReply, error) {
	server, err := c.server()
	if err != nil {
		return nil, err
	}
	return callCounted(ctx, &c.network.control, in, server.Counts)
}

// Forward implements linkpb.DispatchClient. It is not counted, because it carries requests
// and not control traffic.
func (c *dispatchClient) Forward(ctx context.Context, in *linkpb.ForwardRequest, _ ...grpc.CallOption) (*linkpb.ForwardReply, error) {
	server, err := c.server()
	if err != nil {
		return nil, err
	}
	return server.Forward(ctx, in)
}
