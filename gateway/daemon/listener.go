package daemon

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cicadarouter/routing"
)

// Timeouts of callers' connections before a configuration is in force, and where it sets none.
const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// callerListener accepts callers' connections and applies the limits in force to them. The timeouts
// of an http.Server are fixed when it starts, but the configuration arrives later and may change
// them.
type callerListener struct {
	net.Listener
	limits func() routing.Limits
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	limits func() routing.Limits
	idle   atomic.Bool
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, limits: l.limits}, nil
}

// NetConn returns the connection that is wrapped.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline implements net.Conn. It replaces a future deadline by the one that the limits in
// force give: the server sets deadlines only when it starts to wait for the header of a request or
// for the next request.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.IsZero() || !t.After(now) {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.limits()
	bound, otherwise := limits.HeaderTimeout, defaultHeaderTimeout
	if c.idle.Load() {
		bound, otherwise = limits.IdleTimeout, defaultIdleTimeout
	}
	if bound <= 0 {
		bound = otherwise
	}
	return c.Conn.SetReadDeadline(now.Add(bound))
}

// updateConnState records whether the server waits for the next request on a connection.
func updateConnState(conn net.Conn, state http.ConnState) {
	if caller, ok := conn.(*callerConn); ok {
		caller.idle.Store(state == http.StateIdle)
	}
}
