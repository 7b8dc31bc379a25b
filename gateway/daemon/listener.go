package daemon

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cicadarouter/routing"
)

// Limits of callers before a configuration is in force.
const (
	firstHeaderTimeout = 5 * time.Second
	firstIdleTimeout   = 60 * time.Second
)

// callerListener accepts callers' connections and holds them to the limits in
// force. The server's own timeouts are fixed when it starts, but a
// configuration comes later and may change them.
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

// SetReadDeadline implements net.Conn. The server sets one when it begins to
// wait for a request's header, or for the next request; no other is set.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.IsZero() || !t.After(now) {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.limits()
	bound, otherwise := limits.HeaderTimeout, firstHeaderTimeout
	if c.idle.Load() {
		bound, otherwise = limits.IdleTimeout, firstIdleTimeout
	}
	if bound <= 0 {
		bound = otherwise
	}
	return c.Conn.SetReadDeadline(now.Add(bound))
}

// noteState tells a connection what the server does with it.
func noteState(conn net.Conn, state http.ConnState) {
	if caller, ok := conn.(*callerConn); ok {
		caller.idle.Store(state == http.StateIdle)
	}
}
