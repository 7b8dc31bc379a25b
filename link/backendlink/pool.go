// Package backendlink sends requests to one backend server over HTTP/1.1 and
// reports for each failed one whether any byte of it may have been sent.
//
// http.Transport is not used, because it resends some requests by itself and does
// not report whether a failed one was partly sent. Encoding and parsing use net/http.
package backendlink

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadarouter/internal/responsehead"
)

// ErrNotSent reports that the check before the first byte rejected the request.
var ErrNotSent = errors.New("request not sent: the check before the first byte rejected it")

// ErrAnswerTooLarge reports an answer whose body exceeds the limit. The request has run.
var ErrAnswerTooLarge = errors.New("answer is larger than the limit")

// SendError reports a request that got no complete answer.
type SendError struct {
	// Written is set if any byte may have been sent: the request may have run.
	Written bool
	Cause   error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("no complete answer (request may have been sent: %t): %v", e.Written, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// connectTimeout limits the time to open a connection, which normally takes about 1 ms.
const connectTimeout = 300 * time.Millisecond

// readBufferBytes is the size of a connection's read buffer in bytes: headers and short
// answers fit, and hundreds of connections use little memory.
const readBufferBytes = 2048

// Dialer opens connections to servers. *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds the idle connections to one server. It is safe for concurrent use.
// Its callers limit the number of connections in use.
type Pool struct {
	// OnUnexpectedBytes, if set, is called for each connection that is closed because the server
	// sent bytes that belong to no request. It must be set before the first use.
	OnUnexpectedBytes func(ConnInfo)
	// Heads, if set, bounds the memory for large heads of answers together with other pools. It must
	// be set before the first use.
	Heads *HeadQuota

	address   string
	dialer    Dialer
	maxIdle   int
	maxAnswer int64

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// ConnInfo identifies a connection in logs.
type ConnInfo struct {
	// Number is unique among the connections of the process.
	Number uint64
	// Sends is the number of requests sent on the connection, including one in progress.
	Sends int
}

// connState is the state of an idle connection.
type connState int

const (
	connOpen connState = iota
	connClosed
	// connHasBytes is the state of a connection with bytes that belong to no request.
	connHasBytes
)

// lastConnNumber is the number of the latest connection of the process.
var lastConnNumber atomic.Uint64

type conn struct {
	net.Conn
	checked *lossDetector // reads and writes Conn
	info    ConnInfo
	sent    sentIDs
	head    *headReader   // reads through checked
	reader  *bufio.Reader // reads through head
	opened  time.Time
	// reuseUntil is when the idle connection must not be reused any more, because the
	// server may close it; zero if unknown.
	reuseUntil time.Time
}

// NewPool returns a pool for the server at an IP address and port. Do fails for
// answers with more than maxAnswer bytes of body.
func NewPool(address string, maxIdle int, maxAnswer int64) *Pool {
	return NewPoolWithDialer(address, maxIdle, maxAnswer, &net.Dialer{})
}

// NewPoolWithDialer is NewPool with a dialer.
func NewPoolWithDialer(address string, maxIdle int, maxAnswer int64, dialer Dialer) *Pool {
	return &Pool{address: address, dialer: dialer, maxIdle: maxIdle, maxAnswer: maxAnswer}
}

// Address returns the server's IP address and port.
func (p *Pool) Address() string { return p.address }

// Do sends a request and returns its complete answer, or a *SendError. The connection is taken as by
// BeginRequest. lastCheck is called after the request was encoded and the connection opened,
// immediately before the first byte is sent; if it returns false, nothing is sent.
func (p *Pool) Do(ctx context.Context, id string, request *http.Request, lastCheck func() bool) (Answer, error) {
	requestID := newRequestID(id)
	encoded, err := encode(request)
	if err != nil {
		return Answer{}, &SendError{Cause: err}
	}
	c, _, err := p.takeConn(ctx, requestID)
	if err != nil {
		return Answer{}, &SendError{Cause: err}
	}
	// A call that is cancelled closes its connection, so that its answer isn't read
	// as the answer to a later request.
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if !lastCheck() {
		if stop() {
			p.putConn(c)
		}
		return Answer{}, &SendError{Cause: ErrNotSent}
	}
	c.beginSend(requestID)
	answer, reusable, sendErr := p.exchange(c, encoded, request)
	if stop() && reusable {
		p.putConn(c)
	} else {
		_ = c.Close()
	}
	if sendErr != nil {
		return Answer{}, sendErr
	}
	return answer, nil
}

func encode(request *http.Request) ([]byte, error) {
	var buffer bytes.Buffer
	err := writeRequest(&buffer, request)
	return buffer.Bytes(), err
}

// exchange writes the request and reads the answer. The error is nil or a *SendError.
func (p *Pool) exchange(c *conn, encoded []byte, request *http.Request) (Answer, bool, error) {
	written, err := c.Write(encoded)
	if err != nil {
		return Answer{}, false, &SendError{Written: written > 0, Cause: err}
	}
	response, err := c.readHead(request)
	if err != nil {
		return Answer{}, false, &SendError{Written: true, Cause: err}
	}
	// The body is not closed: that would read the rest of it, which may be without end.
	body, whole, err := ReadWhole(response.Body, int(p.maxAnswer))
	if err != nil {
		return Answer{}, false, &SendError{Written: true, Cause: err}
	}
	if !whole {
		return Answer{}, false, &SendError{Written: true, Cause: ErrAnswerTooLarge}
	}
	if c.reader.Buffered() > 0 {
		p.reportUnexpectedBytes(c)
	}
	reusable := !response.Close && c.reader.Buffered() == 0
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, reusable, nil
}

// readHead reads the head of the next final answer. The error is a *responsehead.Error if it, or that of
// an interim answer, is malformed.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.head.begin()
	defer c.head.end()
	for range maxInterimAnswers {
		if err := c.recordHead(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, cmp.Or(c.head.exceeded, err) // net/http reports a head that was cut off as malformed
		}
		if err := cmp.Or(responsehead.Check(response), c.head.recorder.check()); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, ErrInterim
}

// recordHead makes the recorder keep the next head, of which a part may be buffered.
func (c *conn) recordHead() error {
	received, err := c.reader.Peek(c.reader.Buffered())
	c.head.recorder.begin(received)
	return err
}

// beginSend records that a request is sent on the connection.
func (c *conn) beginSend(id requestID) {
	c.info.Sends++
	c.sent.add(id)
}

// takeConn returns an idle connection that is still open and has not carried the ID, or opens one.
// lost is set if no idle connection was usable and the server had closed at least one before its
// timeout.
func (p *Pool) takeConn(ctx context.Context, id requestID) (taken *conn, lost bool, err error) {
	c, lost := p.takeIdle(id)
	if c != nil {
		return c, false, nil
	}
	p.closeOneIdle()
	taken, err = p.openConn(ctx)
	return taken, lost, err
}

// takeIdle returns an idle connection that is still open and has not carried the ID, or nil. lost
// is set if the server had closed at least one before its timeout.
func (p *Pool) takeIdle(id requestID) (taken *conn, lost bool) {
	for {
		c := p.popIdle(id)
		if c == nil {
			return nil, lost
		}
		expired := !c.reuseUntil.IsZero() && time.Now().After(c.reuseUntil)
		state := idleState(c.Conn)
		if !expired && state == connOpen {
			return c, lost
		}
		lost = lost || !expired
		if state == connHasBytes {
			p.reportUnexpectedBytes(c)
		}
		_ = c.Close()
	}
}

func (p *Pool) reportUnexpectedBytes(c *conn) {
	if p.OnUnexpectedBytes != nil {
		p.OnUnexpectedBytes(c.info)
	}
}

// popIdle removes the idle connection that was used last among those that have not carried the ID,
// and returns it, or nil.
func (p *Pool) popIdle(id requestID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !c.sent.contains(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// closeOneIdle closes the idle connection that was used least recently, if there is any.
func (p *Pool) closeOneIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) > 0 {
		_ = p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
}

func (p *Pool) openConn(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	checked := &lossDetector{conn: raw}
	head := &headReader{from: checked, quota: p.Heads}
	return &conn{Conn: raw, checked: checked, info: ConnInfo{Number: lastConnNumber.Add(1)}, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), opened: time.Now()}, nil
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) { return c.checked.Write(data) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.head.release()
	return c.Conn.Close()
}

// Connect opens a connection and keeps it idle for a later request. The error says why
// it could not: if the server's process has terminated, the connection is refused.
func (p *Pool) Connect(ctx context.Context) error {
	c, err := p.openConn(ctx)
	if err != nil {
		return err
	}
	c.reuseUntil = time.Now().Add(defaultIdleTimeout)
	p.putConn(c)
	return nil
}

func (p *Pool) putConn(c *conn) {
	c.head.release()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Close closes the idle connections. Connections in use are closed when they are put back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
