package logs

import (
	"io"
	"sync/atomic"

	"cicadarouter/host/ring"
)

// Bounded hands lines to a slow writer without ever making their author wait:
// lines beyond what the ring holds are dropped and counted.
type Bounded struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
}

// NewBounded returns a writer that holds at most size lines. Run must be started.
func NewBounded(size int) *Bounded { return &Bounded{lines: ring.New[[]byte](size)} }

// Write implements io.Writer. It never blocks and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.lines.Offer(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Run writes lines out until stop is closed and the ring is empty. A line that
// can't be written counts as dropped.
func (b *Bounded) Run(out io.Writer, stop <-chan struct{}) {
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

func (b *Bounded) write(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		b.dropped.Add(1)
	}
}
