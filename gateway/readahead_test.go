package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a slow caller that keeps the host from reading the server's response.
func TestAnswerIsReadThoughItsCallerDoesNot(t *testing.T) {
	quota := &byteQuota{limit: 4 << 20}
	answer := bytes.Repeat([]byte("0123456789"), 50_000)
	ahead := newReadAhead(quota)
	assert.Assert(t, errors.Is(ahead.fill(bytes.NewReader(answer)), io.EOF), "read to its end before the caller read anything")
	var got bytes.Buffer
	n, err := ahead.WriteTo(&got)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(len(answer)))
	assert.Assert(t, bytes.Equal(got.Bytes(), answer))
	assert.Equal(t, quota.used.Load(), int64(0))
}

// blockedWriter is a writer that blocks until it is opened, like a caller that reads nothing.
type blockedWriter struct {
	opened chan struct{}
	bytes.Buffer
}

func (g *blockedWriter) Write(part []byte) (int, error) {
	<-g.opened
	return g.Buffer.Write(part)
}

// Guards against a few hundred slow callers that fill a host's memory.
func TestWhatSlowCallersHoldIsBounded(t *testing.T) {
	const callers, length = 300, 540 << 10
	quota := &byteQuota{limit: 8 << 20}
	opened := make(chan struct{})
	var running sync.WaitGroup
	started := make(chan struct{}, callers)
	for range callers {
		ahead := newReadAhead(quota)
		running.Go(func() {
			assert.Check(t, errors.Is(ahead.fill(&signalingReader{left: length, blocked: started}), io.EOF))
		})
		running.Go(func() {
			caller := &blockedWriter{opened: opened}
			n, err := ahead.WriteTo(caller)
			assert.Check(t, err)
			assert.Check(t, n == length)
		})
	}
	for range callers {
		<-started // every response has been read from
	}
	held := quota.used.Load()
	assert.Assert(t, held <= quota.limit+callers*readAheadChunkBytes, "%d bytes are buffered", held)
	close(opened)
	running.Wait()
	assert.Equal(t, quota.used.Load(), int64(0))
}

// signalingReader is a response body that signals its first read.
type signalingReader struct {
	left    int
	blocked chan struct{}
	once    sync.Once
}

func (w *signalingReader) Read(into []byte) (int, error) {
	w.once.Do(func() { w.blocked <- struct{}{} })
	if w.left == 0 {
		return 0, io.EOF
	}
	n := min(len(into), w.left)
	w.left -= n
	return n, nil
}

// Guards against taking the end of a response that was broken off for its end, wherever that is in a
// chunk.
func TestBrokenOffResponseIsNotComplete(t *testing.T) {
	for _, length := range []int{0, 1, readAheadChunkBytes - 1, readAheadChunkBytes, readAheadChunkBytes + 1, 3 * readAheadChunkBytes, 3*readAheadChunkBytes + 1} {
		body := bytes.Repeat([]byte("b"), length)
		for _, end := range []error{io.EOF, io.ErrUnexpectedEOF} {
			ahead := newReadAhead(&byteQuota{limit: 1 << 20})
			assert.ErrorIs(t, ahead.fill(io.MultiReader(bytes.NewReader(body), failingReadWriter{end})), end, "%d bytes", length)
			var got bytes.Buffer
			_, err := ahead.WriteTo(&got)
			assert.Assert(t, bytes.Equal(got.Bytes(), body))
			assert.Equal(t, err == nil, errors.Is(end, io.EOF), "%d bytes, %v", length, end)
		}
	}
}

// A truncated response, and one whose caller disconnects, release their buffers.
func TestReadAheadThatEndsEarly(t *testing.T) {
	quota := &byteQuota{limit: 1 << 20}
	broken := errors.New("broken off")
	ahead := newReadAhead(quota)
	assert.Assert(t, errors.Is(ahead.fill(io.MultiReader(strings.NewReader("some"), failingReadWriter{broken})), broken))
	var got bytes.Buffer
	_, err := ahead.WriteTo(&got)
	assert.Assert(t, errors.Is(err, broken))
	assert.Equal(t, got.String(), "some")
	assert.Equal(t, quota.used.Load(), int64(0))

	ahead = newReadAhead(quota)
	filled := make(chan error, 1)
	go func() { filled <- ahead.fill(&signalingReader{left: 4 << 20, blocked: make(chan struct{}, 1)}) }()
	_, err = ahead.WriteTo(failingReadWriter{broken})
	assert.Assert(t, errors.Is(err, broken))
	assert.Assert(t, errors.Is(<-filled, errCallerDisconnected))
	assert.Equal(t, quota.used.Load(), int64(0))
}

type failingReadWriter struct{ err error }

func (f failingReadWriter) Read([]byte) (int, error)  { return 0, f.err }
func (f failingReadWriter) Write([]byte) (int, error) { return 0, f.err }
