package gateway

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// A server breaks an answer off that stays unread for some seconds. A caller that reads slowly
// must therefore not keep its host from reading, but what the host holds for callers has to be
// bounded.

const (
	// readAheadChunk is how much of an answer is read at a time, in bytes.
	readAheadChunk = 16 << 10
	// mostReadAhead bounds what is held of one answer, in bytes.
	mostReadAhead = 1 << 20
	// defaultReadAhead bounds what is held of all answers where settings name nothing.
	defaultReadAhead = 8 << 20
)

// errReaderGone ends the reading of an answer whose caller has left.
var errReaderGone = errors.New("the caller has left")

// byteQuota bounds what a host holds of answers that callers have not read.
type byteQuota struct {
	most int64
	held atomic.Int64
}

// take takes a number of bytes if there are as many left.
func (q *byteQuota) take(n int64) bool {
	if q.held.Add(n) > q.most {
		q.held.Add(-n)
		return false
	}
	return true
}

// force takes a number of bytes in any case: each answer holds one chunk.
func (q *byteQuota) force(n int64) { q.held.Add(n) }

func (q *byteQuota) give(n int64) { q.held.Add(-n) }

// readAhead reads an answer while its caller reads what came before. One goroutine fills it,
// another takes chunks out.
type readAhead struct {
	quota *byteQuota

	mu     sync.Mutex
	change sync.Cond
	chunks [][]byte
	held   int64 // bytes of the quota
	ended  error // why the answer ended; io.EOF if it is whole
	gone   bool  // nobody takes chunks any more
}

func newReadAhead(quota *byteQuota) *readAhead {
	a := &readAhead{quota: quota}
	a.change.L = &a.mu
	return a
}

// fill reads an answer to its end, and returns io.EOF if that is whole.
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

// reserve waits until one more chunk may be held.
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

// WriteTo writes the answer as it comes. The error is nil only if it came whole.
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

// Read implements io.Reader. WriteTo is used in its place.
func (a *readAhead) Read([]byte) (int, error) { return 0, errors.ErrUnsupported }

// next returns the next chunk, or why there is none. The chunk counts as held until free.
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

// free gives back what was held for a chunk that has been written.
func (a *readAhead) free() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.give(readAheadChunk)
	a.change.Broadcast()
}

// leave gives back all that is held.
func (a *readAhead) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gone, a.chunks = true, nil
	a.give(a.held)
	a.change.Broadcast()
}

func (a *readAhead) give(n int64) {
	n = min(n, a.held)
	a.held -= n
	a.quota.give(n)
}
