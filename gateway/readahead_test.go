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
	quota := &byteQuota{most: 4 << 20}
	answer := bytes.Repeat([]byte("0123456789"), 50_000)
	ahead := newReadAhead(quota)
	assert.Assert(t, errors.Is(ahead.fill(bytes.NewReader(answer)), io.EOF), "read to its end before the caller read anything")
	var got bytes.Buffer
	n, err := ahead.WriteTo(&got)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(len(answer)))
	assert.Assert(t, bytes.Equal(got.Bytes(), answer))
	assert.Equal(t, quota.held.Load(), int64(0))
}

// gate is a writer that blocks until it is opened, like a caller that reads nothing.
type gate struct {
	opened chan struct{}
	bytes.Buffer
}

func (g *gate) Write(part []byte) (int, error) {
	<-g.opened
	return g.Buffer.Write(part)
}

// Guards against a few hundred slow callers that fill a host's memory.
func TestWhatSlowCallersHoldIsBounded(t *testing.T) {
	const callers, length = 300, 540 << 10
	quota := &byteQuota{most: 8 << 20}
	opened := make(chan struct{})
	var running sync.WaitGroup
	started := make(chan struct{}, callers)
	for range callers {
		ahead := newReadAhead(quota)
		running.Go(func() {
			assert.Check(t, errors.Is(ahead.fill(&watched{left: length, blocked: started}), io.EOF))
		})
		running.Go(func() {
			caller := &gate{opened: opened}
			n, err := ahead.WriteTo(caller)
			assert.Check(t, err)
			assert.Check(t, n == length)
		})
	}
	for range callers {
		<-started // every response has been read from
	}
	held := quota.held.Load()
	assert.Assert(t, held <= quota.most+callers*readAheadChunk, "%d bytes are buffered", held)
	close(opened)
	running.Wait()
	assert.Equal(t, quota.held.Load(), int64(0))
}

// watched is a response body that signals its first read.
type watched struct {
	left    int
	blocked chan struct{}
	once    sync.Once
}

func (w *watched) Read(into []byte) (int, error) {
	w.once.Do(func() { w.blocked <- struct{}{} })
	if w.left == 0 {
		return 0, io.EOF
	}
	n := min(len(into), w.left)
	w.left -= n
	return n, nil
}

// A truncated response, and one whose caller disconnects, release their buffers.
func TestReadAheadThatEndsEarly(t *testing.T) {
	quota := &byteQuota{most: 1 << 20}
	broken := errors.New("broken off")
	ahead := newReadAhead(quota)
	assert.Assert(t, errors.Is(ahead.fill(io.MultiReader(strings.NewReader("some"), failing{broken})), broken))
	var got bytes.Buffer
	_, err := ahead.WriteTo(&got)
	assert.Assert(t, errors.Is(err, broken))
	assert.Equal(t, got.String(), "some")
	assert.Equal(t, quota.held.Load(), int64(0))

	ahead = newReadAhead(quota)
	filled := make(chan error, 1)
	go func() { filled <- ahead.fill(&watched{left: 4 << 20, blocked: make(chan struct{}, 1)}) }()
	_, err = ahead.WriteTo(failing{broken})
	assert.Assert(t, errors.Is(err, broken))
	assert.Assert(t, errors.Is(<-filled, errReaderGone))
	assert.Equal(t, quota.held.Load(), int64(0))
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error)  { return 0, f.err }
func (f failing) Write([]byte) (int, error) { return 0, f.err }
