// Package backendlink sends requests to one backend server over HTTP/1.1 and
// tells exactly how far each got.
//
// net/http's own transport is not used here, because it re-sends some requests
// by itself and does not say whether a failed one had begun to leave. Encoding
// and parsing are net/http's.
package backendlink

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// ErrNotSent reports that the last check before the bytes would have left failed.
var ErrNotSent = errors.New("request withheld by its last check")

// ErrAnswerTooLarge reports an answer beyond the limit. The request has run.
var ErrAnswerTooLarge = errors.New("answer is larger than the limit")

// SendError reports a request that got no whole answer.
type SendError struct {
	// Written is set once any byte may have left: the request may run.
	Written bool
	Cause   error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("no whole answer (bytes may have left: %t): %v", e.Written, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// connectTimeout bounds the opening of a connection, which takes about 1 ms.
const connectTimeout = 300 * time.Millisecond

// readBuffer is the size of a connection's read buffer in bytes: heads and
// short answers fit, and a host with hundreds of connections stays small.
const readBuffer = 2048

// Pool holds the idle connections to one server. It is safe for concurrent use.
// The number of connections in use is bounded by its callers.
type Pool struct {
	address   string
	maxIdle   int
	maxAnswer int64

	mu     sync.Mutex
	idle   []*conn
	closed bool
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	// opened is when the connection was.
	opened time.Time
	// used is set once the connection has carried a request.
	used bool
	// until is when the server may close the idle connection; zero if unknown.
	until time.Time
}

// NewPool returns a pool for the server at an IP number and port. Answers with
// more than maxAnswer bytes of body are refused.
func NewPool(address string, maxIdle int, maxAnswer int64) *Pool {
	return &Pool{address: address, maxIdle: maxIdle, maxAnswer: maxAnswer}
}

// Address returns the server's IP number and port.
func (p *Pool) Address() string { return p.address }

// Do sends a request and returns its whole answer, or a *SendError. lastCheck
// is called when the request is encoded and the connection stands, immediately
// before the first byte leaves; if it returns false, nothing is sent.
func (p *Pool) Do(ctx context.Context, request *http.Request, lastCheck func() bool) (Answer, error) {
	encoded, err := encode(request)
	if err != nil {
		return Answer{}, &SendError{Cause: err}
	}
	link, _, err := p.take(ctx)
	if err != nil {
		return Answer{}, &SendError{Cause: err}
	}
	// A call that ends early closes its connection: the answer to it must not
	// be read as the answer to a later request.
	stop := context.AfterFunc(ctx, func() { _ = link.Close() })
	if !lastCheck() {
		if stop() {
			p.put(link)
		}
		return Answer{}, &SendError{Cause: ErrNotSent}
	}
	answer, reusable, sendErr := p.exchange(link, encoded, request)
	if stop() && reusable {
		p.put(link)
	} else {
		_ = link.Close()
	}
	if sendErr != nil {
		return Answer{}, sendErr
	}
	return answer, nil
}

func encode(request *http.Request) ([]byte, error) {
	var buffer bytes.Buffer
	err := request.Write(&buffer)
	return buffer.Bytes(), err
}

// exchange writes the request and reads the answer. The error is nil or a *SendError.
func (p *Pool) exchange(link *conn, encoded []byte, request *http.Request) (Answer, bool, error) {
	written, err := link.Write(encoded)
	if err != nil {
		return Answer{}, false, &SendError{Written: written > 0, Cause: err}
	}
	response, err := http.ReadResponse(link.reader, request)
	if err != nil {
		return Answer{}, false, &SendError{Written: true, Cause: err}
	}
	defer response.Body.Close()
	body, whole, err := ReadWhole(response.Body, int(p.maxAnswer))
	if err != nil {
		return Answer{}, false, &SendError{Written: true, Cause: err}
	}
	if !whole {
		return Answer{}, false, &SendError{Written: true, Cause: ErrAnswerTooLarge}
	}
	reusable := !response.Close && link.reader.Buffered() == 0
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, reusable, nil
}

// take returns an idle connection that still stands, or opens one. lost is set if the server
// had ended all idle ones that it was to keep.
func (p *Pool) take(ctx context.Context) (taken *conn, lost bool, err error) {
	for {
		link := p.popIdle()
		if link == nil {
			taken, err = p.open(ctx)
			return taken, lost, err
		}
		expired := !link.until.IsZero() && time.Now().After(link.until)
		if !expired && alive(link.Conn) {
			return link, false, nil
		}
		lost = lost || !expired
		_ = link.Close()
	}
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	link := p.idle[last]
	p.idle = p.idle[:last]
	return link
}

func (p *Pool) open(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), opened: time.Now()}, nil
}

// Reach opens a connection and keeps it for a later request. The error tells why
// there is none: a server whose process has ended refuses it.
func (p *Pool) Reach(ctx context.Context) error {
	link, err := p.open(ctx)
	if err != nil {
		return err
	}
	link.until = time.Now().Add(defaultIdle)
	p.put(link)
	return nil
}

func (p *Pool) put(link *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.maxIdle {
		_ = link.Close()
		return
	}
	p.idle = append(p.idle, link)
}

// Close closes the idle connections and keeps no others.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, link := range p.idle {
		_ = link.Close()
	}
	p.idle = nil
}
