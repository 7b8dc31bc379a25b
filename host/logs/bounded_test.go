package logs

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(line)
}

// Guards against requests stalling for seconds, which happens if the process blocks on a
// full log pipe whose reader has stopped reading.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	const size, lines = 8, 1000
	out := &blockedWriter{release: make(chan struct{})}
	b := NewBoundedWriter(size)
	stop := make(chan struct{})
	var writing sync.WaitGroup
	writing.Go(func() { b.Run(out, stop) })
	for i := range lines {
		_, err := fmt.Fprintf(b, "line %d\n", i)
		assert.NilError(t, err)
	}
	// Besides the queued lines, Run may have taken one line that it is writing.
	assert.Assert(t, b.Dropped() >= lines-size-1, "%d dropped", b.Dropped())
	close(out.release)
	close(stop)
	writing.Wait()
	written := strings.Count(out.String(), "\n")
	assert.Equal(t, uint64(written)+b.Dropped(), uint64(lines))
}

// failingWriter is an output whose writes fail.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("no reader") }

func TestFailedLinesAreCounted(t *testing.T) {
	b := NewBoundedWriter(2)
	_, err := b.Write([]byte("x"))
	assert.NilError(t, err)
	stop := make(chan struct{})
	close(stop)
	b.Run(failingWriter{}, stop)
	assert.Equal(t, b.Dropped(), uint64(1))
}
