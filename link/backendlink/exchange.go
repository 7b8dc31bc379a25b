package backendlink

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits for the reuse of idle connections and for interim answers.
const (
	// defaultIdleTimeout is how long an idle connection may be reused if the server does
	// not state its timeout. Many servers close idle connections after 5 s.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the stated timeout: if a request is sent while
	// the server closes the connection, it is unknown whether it ran.
	idleMargin = 1500 * time.Millisecond
	// maxInterimAnswers is the maximum number of 1xx answers before a final one.
	maxInterimAnswers = 8
)

// ErrInterim reports too many interim answers.
var ErrInterim = errors.New("too many interim answers")

// Exchange is one request on one connection, whose answer is streamed. Either Keep
// or Abort must be called at the end. It is used by one goroutine, but any may call
// Abort.
type Exchange struct {
	pool *Pool
	conn *conn
	id   requestID
	// Response is set by Send.
	Response *http.Response
	// Reused is set if the connection was used for earlier requests.
	Reused bool
	// AfterLoss is set if the connection was opened because the server had closed an idle
	// one before its timeout: the server process may be another one now.
	AfterLoss   bool
	writeResult chan error
}

// Begin takes an idle connection or opens one. If it fails, nothing was sent. It is meant for
// servers that send each response once.
func (p *Pool) Begin(ctx context.Context) (*Exchange, error) { return p.begin(ctx, requestID{}) }

// BeginRequest is Begin for a request with an ID. The connection is one on which the ID has not been
// sent. If all idle connections have carried it, one of them is closed, so that the new connection
// does not add to the open ones.
func (p *Pool) BeginRequest(ctx context.Context, id string) (*Exchange, error) {
	return p.begin(ctx, newRequestID(id))
}

func (p *Pool) begin(ctx context.Context, id requestID) (*Exchange, error) {
	c, lost, err := p.takeConn(ctx, id)
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	return &Exchange{pool: p, conn: c, id: id, Reused: c.info.Sends > 0, AfterLoss: lost}, nil
}

// ErrNoIdleConn reports that there is no idle connection that can be used.
var ErrNoIdleConn = errors.New("no idle connection")

// BeginIdleRequest is BeginRequest, but opens no connection.
func (p *Pool) BeginIdleRequest(requestID string) (*Exchange, error) {
	id := newRequestID(requestID)
	c, _ := p.takeIdle(id)
	if c == nil {
		return nil, &SendError{Cause: ErrNoIdleConn}
	}
	return &Exchange{pool: p, conn: c, id: id, Reused: c.info.Sends > 0}, nil
}

// Age returns how long ago the connection was opened. The process that answers on it
// has been running at least since then.
func (e *Exchange) Age() time.Duration { return time.Since(e.conn.opened) }

// Conn identifies the connection.
func (e *Exchange) Conn() ConnInfo { return e.conn.info }

// Send writes the request and reads the header of the final answer. The error is
// a *SendError. A server may answer before it has read the whole request; that
// answer is returned at once, and Keep closes the connection if the request is
// still being written. After an error the connection may be closed.
func (e *Exchange) Send(request *http.Request) error {
	e.writeResult = make(chan error, 1)
	e.conn.beginSend(e.id)
	counter := &countingWriter{to: e.conn}
	if request.ContentLength == 0 || request.Body == nil {
		err := writeRequest(counter, request)
		e.writeResult <- err
		if err != nil {
			return &SendError{Written: counter.n > 0, Cause: err}
		}
	} else {
		go func() { e.writeResult <- writeRequest(counter, request) }()
	}
	err := e.receive(request)
	if err == nil {
		return nil
	}
	e.Abort() // ends a write that hangs
	var sendErr *SendError
	if errors.As(err, &sendErr) && counter.stop() == 0 {
		sendErr.Written = false // the connection ended before the first byte
	}
	return err
}

// Next discards the answer in Response and reads the header of the one that follows
// it. The error is a *SendError.
func (e *Exchange) Next(request *http.Request) error {
	if _, whole, err := ReadWhole(e.Response.Body, maxSkippedBodyBytes); err != nil || !whole || e.Response.Close {
		return &SendError{Written: true, Cause: ErrSkipped}
	}
	return e.receive(request)
}

// maxSkippedBodyBytes is the maximum body size in bytes of an answer that Next discards.
const maxSkippedBodyBytes = 64 << 10

// ErrSkipped reports an answer that Next could not discard.
var ErrSkipped = errors.New("failed to discard the preceding answer")

// receive reads the header of the next final answer.
func (e *Exchange) receive(request *http.Request) error {
	response, err := e.conn.readHead(request)
	if err != nil {
		return &SendError{Written: true, Cause: err}
	}
	e.Response = response
	return nil
}

// Keep returns the connection to the pool if it can be reused: the request was
// written completely, the server doesn't close the connection, and no unexpected
// bytes follow the answer. Otherwise it closes the connection. The caller must have
// read the whole answer.
func (e *Exchange) Keep() {
	select {
	case err := <-e.writeResult:
		if err != nil {
			e.Abort()
			return
		}
	default:
		e.Abort()
		return
	}
	if e.conn.reader.Buffered() > 0 {
		e.pool.reportUnexpectedBytes(e.conn)
		e.Abort()
		return
	}
	if e.Response.Close {
		e.Abort()
		return
	}
	e.conn.reuseUntil = time.Now().Add(reusableFor(e.Response.Header))
	e.pool.putConn(e.conn)
}

// Abort closes the connection, which tells the server to stop processing the request.
func (e *Exchange) Abort() { _ = e.conn.Close() }

// reusableFor returns how long an idle connection may be reused, from the Keep-Alive
// header of an answer.
func reusableFor(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			break
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdleTimeout
}

// countingWriter counts the bytes written.
type countingWriter struct {
	to io.Writer

	mu      sync.Mutex
	n       int
	stopped bool
}

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return 0, net.ErrClosed
	}
	n, err := w.to.Write(data)
	w.n += n
	return n, err
}

// stop makes all further writes fail and returns how many bytes have been written. It waits for a
// write in progress.
func (w *countingWriter) stop() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	return w.n
}

// ReadWhole reads a body of at most limit bytes. If the body is longer, whole is
// false and data holds the first limit+1 bytes. data is also valid after an error.
func ReadWhole(body io.Reader, limit int) (data []byte, whole bool, err error) {
	var buffer bytes.Buffer
	n, err := io.Copy(&buffer, io.LimitReader(body, int64(limit)+1))
	return buffer.Bytes(), n <= int64(limit), err
}
