package gateway

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"cicadarouter/host/clock"
)

// callProgress tells whether a call to the store is on its way. A long request or response takes time, and
// a call that is given up for that would be made again and again.
type callProgress struct {
	// sending is set from when the call has a connection until its last request has been sent.
	sending atomic.Bool
	// firstByteAt is when the response to that began to arrive; 0 before.
	firstByteAt atomic.Int64
}

// trace returns the context of the call.
func (p *callProgress) trace(ctx context.Context, now clock.Clock) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			p.sending.Store(true)
			p.firstByteAt.Store(0)
		},
		WroteRequest:         func(httptrace.WroteRequestInfo) { p.sending.Store(false) },
		GotFirstResponseByte: func() { p.firstByteAt.Store(int64(now.Now())) },
	})
}

// isBeingAnswered reports whether the response to the call's last request has begun to arrive within
// a time.
func (p *callProgress) isBeingAnswered(now, within time.Duration) bool {
	at := time.Duration(p.firstByteAt.Load())
	return at > 0 && now-at < within
}

// isUnderWay reports whether the call is being sent, or has begun to be answered within a time.
func (p *callProgress) isUnderWay(now, within time.Duration) bool {
	return p.sending.Load() || p.isBeingAnswered(now, within)
}
