package logs

import (
	"io"
	"sync/atomic"

	"cicadarouter/host/ring"
)

// BoundedWriter is an io.Writer that queues log lines for a slow output, so that logging never
// blocks. Lines that don't fit into the queue are dropped and counted.
type BoundedWriter struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
}

// NewBoundedWriter returns a writer that queues at most size lines. The caller must start Run,
// which writes them out.
func NewBoundedWriter(size int) *BoundedWriter { return &BoundedWriter{lines: ring.New[[]byte](size)} }

// Write implements io.Writer. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.lines.Offer(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (b *BoundedWriter) Dropped() uint64 { return b.dropped.Load() }

// Run writes queued lines to out until stop is closed and the queue is empty. A line
// that can't be written counts as dropped.
func (b *BoundedWriter) Run(out io.Writer, stop <-chan struct{}) {
	for {
		select {
		case line := <-b.lines.Out():
			b.write(out, line)
		case <-stop:
			for b.lines.Len() > 0 {
				b.write(out, <-b.lines.Out())
			}
			return
		}
	}
}

func (b *BoundedWriter) write(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		b.dropped.Add(1)
	}
}
