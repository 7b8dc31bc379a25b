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
	// readAheadChunkBytes is how much of a response is read at a time, in bytes.
	readAheadChunkBytes = 16 << 10
	// maxReadAheadBytes bounds the buffer of one response, in bytes.
	maxReadAheadBytes = 1 << 20
	// defaultReadAheadTotalBytes bounds the buffers of all responses if the settings name no bound,
	// in bytes.
	defaultReadAheadTotalBytes = 8 << 20
)

// errCallerDisconnected ends the reading of a response whose caller has disconnected.
var errCallerDisconnected = errors.New("the caller disconnected")

// byteQuota bounds the bytes that a host buffers of responses that callers have not read.
type byteQuota struct {
	limit int64
	used  atomic.Int64
}

// tryReserve reserves n bytes if that many are left, and reports whether it did.
func (q *byteQuota) tryReserve(n int64) bool {
	if q.used.Add(n) > q.limit {
		q.used.Add(-n)
		return false
	}
	return true
}

// reserve reserves n bytes even beyond the limit: every response may hold one chunk.
func (q *byteQuota) reserve(n int64) { q.used.Add(n) }

// release releases n bytes.
func (q *byteQuota) release(n int64) { q.used.Add(-n) }

// readAhead buffers a response between the server and a slower caller. One goroutine fills it
// and another one drains it.
type readAhead struct {
	quota *byteQuota

	mu       sync.Mutex
	changed  sync.Cond
	chunks   [][]byte
	reserved int64 // bytes reserved from the quota
	endErr   error // why reading ended: io.EOF if the response is complete, nil before the end
	bytes    int64 // read from the server
	readErr  error // as returned by the body of the server's response
	closed   bool  // the consumer has stopped
}

func newReadAhead(quota *byteQuota) *readAhead {
	a := &readAhead{quota: quota}
	a.changed.L = &a.mu
	return a
}

// fill reads a response to its end. It returns io.EOF if the response is complete.
func (a *readAhead) fill(from io.Reader) error {
	for {
		if err := a.reserveChunk(); err != nil {
			return a.setEnd(err)
		}
		chunk := make([]byte, readAheadChunkBytes)
		n, err := readChunk(from, chunk)
		a.noteRead(n, err)
		a.appendChunk(chunk[:n])
		if err != nil {
			return a.setEnd(err)
		}
	}
}

// reserveChunk waits until one more chunk may be buffered.
func (a *readAhead) reserveChunk() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		switch {
		case a.closed:
			return errCallerDisconnected
		case a.reserved == 0:
			a.quota.reserve(readAheadChunkBytes)
			a.reserved = readAheadChunkBytes
			return nil
		case a.reserved+readAheadChunkBytes <= maxReadAheadBytes && a.quota.tryReserve(readAheadChunkBytes):
			a.reserved += readAheadChunkBytes
			return nil
		}
		a.changed.Wait()
	}
}

// readChunk reads until the chunk is full or the reader returns an error, and returns that error.
// io.ReadFull would return io.ErrUnexpectedEOF for a short last chunk, which is also what the
// body of a response that was broken off returns.
func readChunk(from io.Reader, chunk []byte) (n int, err error) {
	for n < len(chunk) && err == nil {
		var read int
		read, err = from.Read(chunk[n:])
		n += read
	}
	return n, err
}

// noteRead records a read from the server, for logs.
func (a *readAhead) noteRead(n int, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes += int64(n)
	a.readErr = err
}

// logFields returns the fields that tell how the reading of the response ended.
func (a *readAhead) logFields() []any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return []any{"streamed-bytes", a.bytes, "stream-end", errorText(a.readErr), "complete", errors.Is(a.endErr, io.EOF)}
}

func (a *readAhead) appendChunk(chunk []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks = append(a.chunks, chunk)
	a.changed.Broadcast()
}

func (a *readAhead) setEnd(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed && !errors.Is(err, io.EOF) {
		err = errCallerDisconnected // this host has aborted the reading
	}
	a.endErr = err
	a.changed.Broadcast()
	return err
}

// WriteTo implements io.WriterTo: it writes the response as it arrives. The error is nil only if
// the response is complete.
func (a *readAhead) WriteTo(to io.Writer) (written int64, err error) {
	defer a.close()
	for {
		chunk, err := a.nextChunk()
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
		a.releaseChunk()
	}
}

// Read implements io.Reader. It is not supported: use WriteTo.
func (a *readAhead) Read([]byte) (int, error) { return 0, errors.ErrUnsupported }

// nextChunk waits for a chunk and returns it, or the error that ended the response. The chunk
// stays charged to the quota until it has been written and released.
func (a *readAhead) nextChunk() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.chunks) == 0 {
		if a.endErr != nil {
			return nil, a.endErr
		}
		a.changed.Wait()
	}
	chunk := a.chunks[0]
	a.chunks = a.chunks[1:]
	return chunk, nil
}

// releaseChunk releases the quota of a chunk that has been written.
func (a *readAhead) releaseChunk() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release(readAheadChunkBytes)
	a.changed.Broadcast()
}

// close stops the reading and releases all chunks.
func (a *readAhead) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed, a.chunks = true, nil
	a.release(a.reserved)
	a.changed.Broadcast()
}

// release releases up to n of the reserved bytes. a.mu must be held.
func (a *readAhead) release(n int64) {
	n = min(n, a.reserved)
	a.reserved -= n
	a.quota.release(n)
}
