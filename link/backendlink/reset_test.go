package backendlink

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// earlyAnswer is an answer that ends with its connection and is sent before the request's body has been
// read.
const earlyAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// pendingBodyBytes is the size of an upload that no socket's buffers hold, so that it is still being
// written when an early answer ends.
const pendingBodyBytes = 64 << 20

// earlyPlays is how often each end of an early answer is played. Which system call gets the error of a
// reset differs from play to play.
const earlyPlays = 40

// hangTimeout is long after the end of any of these answers.
const hangTimeout = 10 * time.Second

// endWithReset resets a connection without an end of stream.
func endWithReset(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) } // the caller closes it

// awaitUnreadBytes waits until the kernel holds bytes that the server has not read. Closing the connection then
// resets it; without such bytes it ends the stream.
func awaitUnreadBytes(conn net.Conn) {
	control, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = control.Read(func(fd uintptr) bool { // fails only if the connection has ended
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return n > 0 || err != syscall.EAGAIN
	})
}

// newUpload returns a request with a body of the given size.
func newUpload(t *testing.T, size int64) *http.Request {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://server/", io.LimitReader(zeros{}, size))
	assert.NilError(t, err)
	request.ContentLength = size
	return request
}

// zeros is a body without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(into []byte) (int, error) { return len(into), nil }

// readEarlyAnswer sends an upload, calls atPart once the given part of the body has arrived, and reads on.
// The error is nil if the answer was taken for whole.
func readEarlyAnswer(t *testing.T, pool *Pool, part string, atPart func()) (body string, err error) {
	t.Helper()
	exchange, err := pool.Begin(t.Context())
	assert.NilError(t, err)
	defer exchange.Abort()
	defer time.AfterFunc(hangTimeout, exchange.Abort).Stop()
	if err := exchange.Send(newUpload(t, pendingBodyBytes)); err != nil {
		return "", err
	}
	first := make([]byte, len(part))
	if _, err := io.ReadFull(exchange.Response.Body, first); err != nil {
		return string(first), err
	}
	atPart()
	rest, err := io.ReadAll(exchange.Response.Body)
	return string(first) + string(rest), err
}

// Guards against a part of an answer that is taken for whole: the server resets the connection while the
// request's body is being written, the write gets the error, and the read gets an end of stream.
func TestResetWhileWritingIsNoEndOfAnswer(t *testing.T) {
	const part = "the first part"
	for _, test := range []struct {
		name string
		part string
		end  func(net.Conn)
	}{
		{"reset", part, endWithReset},
		{"reset before the body", "", endWithReset},
		{"closed with unread bytes, which resets", part, awaitUnreadBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			received := make(chan struct{})
			pool := NewPool(serveConns(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, earlyAnswer+test.part)
				<-received
				test.end(conn)
			}), 4, 1<<10)
			defer pool.Close()
			whole := 0
			for range earlyPlays {
				if body, err := readEarlyAnswer(t, pool, test.part, func() { received <- struct{}{} }); err == nil {
					whole++
					assert.Check(t, strings.HasPrefix(body, test.part))
				}
			}
			assert.Equal(t, whole, 0, "of %d answers that were reset, this many were taken for whole", earlyPlays)
		})
	}
}

// An answer that ends with an end of stream is whole while the request's body is being written, whatever
// happens to the connection after that: an end of stream arrives behind all bytes that were sent before it.
func TestEarlyAnswerThatEndsIsWhole(t *testing.T) {
	const body = "the whole body"
	for _, test := range []struct {
		name string
		end  func(net.Conn)
	}{
		{"and the server reads on", func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }},
		{"and the server reads no more", func(net.Conn) { <-t.Context().Done() }},
		{"and the server closes the connection", func(net.Conn) {}},
		{"and a reset follows", endWithReset},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := NewPool(serveConns(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, earlyAnswer+body)
				_ = conn.(*net.TCPConn).CloseWrite()
				test.end(conn)
			}), 4, 1<<10)
			defer pool.Close()
			for range earlyPlays {
				got, err := readEarlyAnswer(t, pool, body, func() {})
				assert.NilError(t, err)
				assert.Equal(t, got, body)
			}
		})
	}
}

// A request that is written before its answer is read gets the error of a reset itself.
func TestResetWhileDoWritesIsNoAnswer(t *testing.T) {
	pool := NewPool(serveConns(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, earlyAnswer+"the first part")
		endWithReset(conn)
	}), 4, 1<<10)
	defer pool.Close()
	for range earlyPlays {
		_, err := pool.Do(t.Context(), "", newUpload(t, pendingBodyBytes/8), func() bool { return true })
		var sendErr *SendError
		assert.Assert(t, errors.As(err, &sendErr) && sendErr.Written, "%v", err)
	}
}
