package gateway

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// A server aborts a response that stays unread for some seconds. The host must therefore keep
// reading from the server while a caller reads slowly, and bound the memory that this takes.

const (
	// readAheadChunk is how much of a response is read at a time, in bytes.
	readAheadChunk = 16 << 10
	// mostReadAhead bounds the buffer of one response, in bytes.
	mostReadAhead = 1 << 20
	// defaultReadAhead bounds the buffers of all responses if the settings name no bound,
	// in bytes.
	defaultReadAhead = 8 << 20
)

// errReaderGone ends the reading of a response whose caller has disconnected.
var errReaderGone = errors.New("the caller disconnected")

// byteQuota bounds the bytes that a host buffers of responses that callers have not read.
type byteQuota struct {
	most int64
	held atomic.Int64
}

// take reserves n bytes if that many are left, and reports whether it did.
func (q *byteQuota) take(n int64) bool {
	if q.held.Add(n) > q.most {
		q.held.Add(-n)
		return false
	}
	return true
}

// force reserves n bytes even beyond the limit: every response may hold one chunk.
func (q *byteQuota) force(n int64) { q.held.Add(n) }

// give releases n bytes.
func (q *byteQuota) give(n int64) { q.held.Add(-n) }

// readAhead buffers a response between the server and a slower caller. One goroutine fills it
// and another one drains it.
type readAhead struct {
	quota *byteQuota

	mu     sync.Mutex
	change sync.Cond
	chunks [][]byte
	held   int64 // bytes reserved from the quota
	ended  error // why reading ended: io.EOF if the response is complete, nil before the end
	gone   bool  // the consumer has stopped
}

func newReadAhead(quota *byteQuota) *readAhead {
	a := &readAhead{quota: quota}
	a.change.L = &a.mu
	return a
}

// fill reads a response to its end. It returns io.EOF if the response is complete.
func (a *readAhead) fill(from io.Reader) error {
	for {
		if err := a.reserve(); err != nil {
			return a.end(err)
		}
		chunk := make([]byte, readAheadChunk)
		n, err := io.ReadFull(from, chunk)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			err = io.EOF
		}
		a.put(chunk[:n])
		if err != nil {
			return a.end(err)
		}
	}
}

// reserve waits until one more chunk may be buffered.
func (a *readAhead) reserve() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		switch {
		case a.gone:
			return errReaderGone
		case a.held == 0:
			a.quota.force(readAheadChunk)
			a.held = readAheadChunk
			return nil
		case a.held+readAheadChunk <= mostReadAhead && a.quota.take(readAheadChunk):
			a.held += readAheadChunk
			return nil
		}
		a.change.Wait()
	}
}

func (a *readAhead) put(chunk []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks = append(a.chunks, chunk)
	a.change.Broadcast()
}

func (a *readAhead) end(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = err
	a.change.Broadcast()
	return err
}

// WriteTo implements io.WriterTo: it writes the response as it arrives. The error is nil only if
// the response is complete.
func (a *readAhead) WriteTo(to io.Writer) (written int64, err error) {
	defer a.leave()
	for {
		chunk, err := a.next()
		if errors.Is(err, io.EOF) {
			return written, nil
		}
		if err != nil {
			return written, err
		}
		n, err := to.Write(chunk)
		written += int64(n)
		if err != nil {
			return written, err
		}
		a.free()
	}
}

// Read implements io.Reader. It is not supported: use WriteTo.
func (a *readAhead) Read([]byte) (int, error) { return 0, errors.ErrUnsupported }

// next waits for a chunk and returns it, or the error that ended the response. The chunk
// stays charged to the quota until it has been written and released.
func (a *readAhead) next() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.chunks) == 0 {
		if a.ended != nil {
			return nil, a.ended
		}
		a.change.Wait()
	}
	chunk := a.chunks[0]
	a.chunks = a.chunks[1:]
	return chunk, nil
}

// free releases the quota of a chunk that has been written.
func (a *readAhead) free() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.give(readAheadChunk)
	a.change.Broadcast()
}

// leave stops the reading and releases all chunks.
func (a *readAhead) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gone, a.chunks = true, nil
	a.give(a.held)
	a.change.Broadcast()
}

// give releases up to n of the reserved bytes. a.mu must be held.
func (a *readAhead) give(n int64) {
	n = min(n, a.held)
	a.held -= n
	a.quota.give(n)
}
