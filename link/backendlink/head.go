package backendlink

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// The head of an answer is its status line, its header fields and the interim answers before it.
// net/http reads a head of any size into memory.

const (
	// maxHeadCost is the maximum cost of a head: its bytes, and headLineCost for each line. Most
	// servers send less than 1 KB.
	maxHeadCost = 128 << 10
	// headLineCost is about what a parsed field needs beyond its bytes.
	headLineCost = 128
	// freeHeadCost is the cost up to which heads don't need a part of a HeadQuota.
	freeHeadCost = 16 << 10
)

// ErrHeadTooLarge reports an answer whose head is larger than a host reads. The request may have run.
var ErrHeadTooLarge = errors.New("head of the answer is too large")

// HeadQuota bounds the memory for large heads of all connections together. It is safe for concurrent
// use.
type HeadQuota struct {
	limit int64
	used  atomic.Int64
}

// NewHeadQuota returns a quota of some bytes.
func NewHeadQuota(limit int64) *HeadQuota { return &HeadQuota{limit: limit} }

// Used returns the bytes that are in use.
func (q *HeadQuota) Used() int64 { return q.used.Load() }

func (q *HeadQuota) tryReserve(n int64) bool {
	if q == nil {
		return true
	}
	if q.used.Add(n) > q.limit {
		q.used.Add(-n)
		return false
	}
	return true
}

func (q *HeadQuota) release(n int64) {
	if q != nil {
		q.used.Add(-n)
	}
}

// headReader reads from a connection and bounds what it reads while a head is due.
type headReader struct {
	from  io.Reader
	quota *HeadQuota // nil for no common bound
	// reading is set while a head is due. It and cost belong to the reading goroutine.
	reading  bool
	cost     int64
	exceeded error        // why the last head was cut off
	reserved atomic.Int64 // of the quota
	recorder oldHeadRecorder
}

// begin begins the head of an answer, with its interim answers.
func (r *headReader) begin() {
	r.release()
	r.reading, r.cost, r.exceeded = true, 0, nil
}

// end ends the head. Its part of the quota stays reserved until release.
func (r *headReader) end() { r.reading = false }

// release gives back the part of the quota. Any goroutine may call it.
func (r *headReader) release() { r.quota.release(r.reserved.Swap(0)) }

// Read implements io.Reader. The error is ErrHeadTooLarge, wrapped, once a head exceeds a bound.
func (r *headReader) Read(into []byte) (int, error) {
	n, err := r.from.Read(into)
	if !r.reading || n == 0 {
		return n, err
	}
	r.cost += int64(n) + int64(r.recorder.add(into[:n])) + headLineCost*int64(bytes.Count(into[:n], []byte{'\n'}))
	if r.exceeded = r.reserve(); r.exceeded != nil {
		return 0, r.exceeded
	}
	return n, err
}

// reserve reserves the part of the quota that the head needs. The error is ErrHeadTooLarge, wrapped.
func (r *headReader) reserve() error {
	if r.cost > maxHeadCost {
		return fmt.Errorf("%w: more than %d bytes, with %d for each line", ErrHeadTooLarge, maxHeadCost, headLineCost)
	}
	more := r.cost - freeHeadCost - r.reserved.Load()
	if more <= 0 {
		return nil
	}
	if !r.quota.tryReserve(more) {
		return fmt.Errorf("%w: %d bytes, and the heads of other answers need the rest of %d", ErrHeadTooLarge, r.cost, r.quota.limit)
	}
	r.reserved.Add(more)
	return nil
}
