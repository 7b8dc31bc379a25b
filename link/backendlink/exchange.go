package backendlink

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Reuse bounds how long an idle connection is trusted.
const (
	// defaultIdle is used when the server does not state how long it keeps
	// idle connections. Below the common 5 s of small servers.
	defaultIdle = 4 * time.Second
	// idleMargin is kept to the stated time: a request that crosses the
	// server's close is lost without anyone knowing whether it ran.
	idleMargin = 1500 * time.Millisecond
	// mostInterim bounds the 1xx answers before a final one.
	mostInterim = 8
)

// ErrInterim reports too many interim answers.
var ErrInterim = errors.New("too many interim answers")

// Exchange is one request on one connection, with its answer read as it comes.
// Either Keep or Abort must be called. It is used by one goroutine, but Abort
// may come from any.
type Exchange struct {
	pool *Pool
	link *conn
	// Response is set by Send.
	Response *http.Response
	// Reused tells that the connection had carried earlier requests.
	Reused bool
	// AfterLoss tells that the connection was opened because the server had ended an idle
	// one before its time: another process may answer on it.
	AfterLoss bool
	wrote     chan error
}

// Begin takes a connection. Its error proves that nothing was sent.
func (p *Pool) Begin(ctx context.Context) (*Exchange, error) {
	link, lost, err := p.take(ctx)
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	return &Exchange{pool: p, link: link, Reused: link.used, AfterLoss: lost}, nil
}

// Opened returns how long ago the connection was opened: the process that answers on it
// has run since then.
func (e *Exchange) Opened() time.Duration { return time.Since(e.link.opened) }

// Send writes the request and reads the head of the final answer. The error is
// a *SendError. An answer may come before the request has been read whole; it
// is returned at once, and the connection is not used again.
func (e *Exchange) Send(request *http.Request) error {
	e.wrote = make(chan error, 1)
	e.link.used = true
	counter := &countingWriter{to: e.link}
	if request.ContentLength == 0 || request.Body == nil {
		err := request.Write(counter)
		e.wrote <- err
		if err != nil {
			return &SendError{Written: counter.n > 0, Cause: err}
		}
	} else {
		go func() { e.wrote <- request.Write(counter) }()
	}
	return e.receive(request)
}

// Next skips the answer in Response and reads the one that follows it. The
// error is a *SendError.
func (e *Exchange) Next(request *http.Request) error {
	if _, whole, err := ReadWhole(e.Response.Body, mostSkipped); err != nil || !whole || e.Response.Close {
		return &SendError{Written: true, Cause: ErrSkipped}
	}
	return e.receive(request)
}

// mostSkipped bounds the body of an answer that is skipped, in bytes.
const mostSkipped = 64 << 10

// ErrSkipped reports an answer that could not be skipped.
var ErrSkipped = errors.New("the answer before could not be skipped")

// receive reads the head of the next final answer.
func (e *Exchange) receive(request *http.Request) error {
	for range mostInterim {
		response, err := http.ReadResponse(e.link.reader, request)
		if err != nil {
			return &SendError{Written: true, Cause: err}
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			e.Response = response
			return nil
		}
	}
	return &SendError{Written: true, Cause: ErrInterim}
}

// Keep returns the connection to the pool if it can carry another request: the
// answer was read whole, the request was written whole, and no stray bytes
// follow. Otherwise it closes it.
func (e *Exchange) Keep() {
	select {
	case err := <-e.wrote:
		if err != nil {
			e.Abort()
			return
		}
	default:
		e.Abort()
		return
	}
	if e.Response.Close || e.link.reader.Buffered() > 0 {
		e.Abort()
		return
	}
	e.link.until = time.Now().Add(keptFor(e.Response.Header))
	e.pool.put(e.link)
}

// Abort closes the connection, which stops the server's work on the request.
func (e *Exchange) Abort() { _ = e.link.Close() }

// keptFor reads how long the server keeps an idle connection.
func keptFor(header http.Header) time.Duration {
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
	return defaultIdle
}

// countingWriter tells whether any byte may have left.
type countingWriter struct {
	to io.Writer
	n  int
}

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.to.Write(data)
	w.n += n
	return n, err
}

// ReadWhole reads a body of at most limit bytes. whole is false if there is
// more; what was read is returned in any case.
func ReadWhole(body io.Reader, limit int) (data []byte, whole bool, err error) {
	var buffer bytes.Buffer
	n, err := io.Copy(&buffer, io.LimitReader(body, int64(limit)+1))
	return buffer.Bytes(), n <= int64(limit), err
}
