// Package link carries the messages between the system's own processes over
// gRPC. Its clustering, discovery and proxying stay unused: every connection
// goes to one IP number and port.
package link

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/stats"

	"cicadarouter/link/linkpb"
)

// Limits of connections between processes.
const (
	connectTimeout  = 500 * time.Millisecond
	reconnectFirst  = 50 * time.Millisecond
	reconnectMost   = 500 * time.Millisecond
	maxMessageBytes = 16 << 20
	// windowBytes is the flow-control window of streams and connections. A fixed
	// one keeps gRPC from probing the path with a ping for each burst of data.
	windowBytes = 1 << 20
)

// Pool keeps one connection to each address. It is safe for concurrent use.
type Pool struct {
	creds credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	// absent counts for how many calls of Keep an address has not been in use.
	absent map[string]int
}

// NewPool returns a pool whose connections use the credentials.
func NewPool(creds credentials.TransportCredentials) *Pool {
	return &Pool{creds: creds, conns: map[string]*grpc.ClientConn{}, absent: map[string]int{}}
}

// Control returns the client of a controller.
func (p *Pool) Control(address string) linkpb.ControlClient {
	return linkpb.NewControlClient(p.conn(address))
}

// Dispatch returns the client of a router.
func (p *Pool) Dispatch(address string) linkpb.DispatchClient {
	return linkpb.NewDispatchClient(p.conn(address))
}

func (p *Pool) conn(address string) grpc.ClientConnInterface {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.conns[address]; ok {
		return known
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: connectTimeout,
			Backoff:           backoff.Config{BaseDelay: reconnectFirst, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMost},
		}),
	)
	if err != nil {
		return brokenConn{err: err}
	}
	p.conns[address] = conn
	return conn
}

// absentCalls is how many calls of Keep in a row must miss an address before its
// connection is closed. A host that has left the list may still finish requests
// for longer than any deadline allows a request to take; closing its connection
// would cut them.
const absentCalls = 12

// Keep closes connections to addresses that have not been in use for absentCalls
// calls in a row. A nil set means that nothing is known, and counts for nothing.
func (p *Pool) Keep(inUse map[string]bool) {
	if inUse == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if inUse[address] {
			delete(p.absent, address)
			continue
		}
		p.absent[address]++
		if p.absent[address] >= absentCalls {
			_ = conn.Close()
			delete(p.conns, address)
			delete(p.absent, address)
		}
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// Len returns the number of addresses that the pool has connections for.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// brokenConn answers every call with the error that kept a connection from being made.
type brokenConn struct{ err error }

func (b brokenConn) Invoke(context.Context, string, any, any, ...grpc.CallOption) error {
	return b.err
}

func (b brokenConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, b.err
}

// Sent tells whether anything of a call may have left this process. A call that
// failed before may be said not to have run.
type Sent struct{ flag atomic.Bool }

// Any reports whether anything may have left.
func (s *Sent) Any() bool { return s.flag.Load() }

type sentKey struct{}

// WithSent returns a context whose calls note in sent when they begin to leave.
func WithSent(ctx context.Context, sent *Sent) context.Context {
	return context.WithValue(ctx, sentKey{}, sent)
}

// sentHandler marks a call as sent when its stream is opened on a connection.
type sentHandler struct{}

func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, leaves := event.(*stats.OutHeader); !leaves {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*Sent); ok {
		sent.flag.Store(true)
	}
}

func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}

// NewServer returns a gRPC server for a process's link.
func NewServer(creds credentials.TransportCredentials) *grpc.Server {
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.NumStreamWorkers(uint32(runtime.GOMAXPROCS(0))),
	)
}
