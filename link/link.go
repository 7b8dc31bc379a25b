// Package link connects the system's own processes over gRPC. gRPC's name
// resolution, load balancing and proxies are not used: every connection goes to one
// IP address and port.
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

// Timeouts and sizes of connections between processes.
const (
	connectTimeout        = 500 * time.Millisecond
	initialReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay     = 500 * time.Millisecond
	maxMessageBytes       = 16 << 20
	// windowBytes is the flow-control window of streams and connections. With a
	// fixed size gRPC sends no bandwidth-estimation ping for each burst of data.
	windowBytes = 1 << 20
)

// Pool keeps one connection to each address. It is safe for concurrent use.
type Pool struct {
	creds credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	// unusedCalls maps an address to the number of consecutive calls of CloseUnused in which
	// it was not in use.
	unusedCalls map[string]int
}

// NewPool returns a pool whose connections use the credentials.
func NewPool(creds credentials.TransportCredentials) *Pool {
	return &Pool{creds: creds, conns: map[string]*grpc.ClientConn{}, unusedCalls: map[string]int{}}
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
			Backoff:           backoff.Config{BaseDelay: initialReconnectDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxReconnectDelay},
		}),
	)
	if err != nil {
		return brokenConn{err: err}
	}
	p.conns[address] = conn
	return conn
}

// maxUnusedCalls is the number of consecutive calls of CloseUnused without an address
// after which its connection is closed. A host that was removed from the list may still
// be processing requests, which closing its connection would abort; the calls must span
// more time than any request's deadline allows.
const maxUnusedCalls = 12

// CloseUnused closes connections to addresses that have not been in use for maxUnusedCalls
// consecutive calls. A nil set means that the addresses in use are unknown; such a
// call is not counted.
func (p *Pool) CloseUnused(inUse map[string]bool) {
	if inUse == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		if inUse[address] {
			delete(p.unusedCalls, address)
			continue
		}
		p.unusedCalls[address]++
		if p.unusedCalls[address] >= maxUnusedCalls {
			_ = conn.Close()
			delete(p.conns, address)
			delete(p.unusedCalls, address)
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

// brokenConn fails every call with the error that occurred when the connection was created.
type brokenConn struct{ err error }

func (b brokenConn) Invoke(context.Context, string, any, any, ...grpc.CallOption) error {
	return b.err
}

func (b brokenConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, b.err
}

// Sent records whether any part of a call may have been sent. A call that failed
// without it is known not to have run.
type Sent struct{ flag atomic.Bool }

// Any reports whether any part of a call may have been sent.
func (s *Sent) Any() bool { return s.flag.Load() }

type sentKey struct{}

// WithSent returns a context whose calls set sent when they start sending.
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

// NewServer returns a gRPC server for calls from the system's other processes.
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
