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

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(line)
}

// Symptom: requests stand still for seconds.
// Sequence: whoever reads the log stops reading; the pipe is full.
// Cause: the process waited for its own log.
func TestStuckOutputDoesNotBlock(t *testing.T) {
	const size, lines = 8, 1000
	out := &stuck{release: make(chan struct{})}
	b := NewBounded(size)
	stop := make(chan struct{})
	var writing sync.WaitGroup
	writing.Go(func() { b.Run(out, stop) })
	for i := range lines {
		_, err := fmt.Fprintf(b, "line %d\n", i)
		assert.NilError(t, err)
	}
	// One line more than the ring holds may be in the writer's hands.
	assert.Assert(t, b.Dropped() >= lines-size-1, "%d dropped", b.Dropped())
	close(out.release)
	close(stop)
	writing.Wait()
	written := strings.Count(out.String(), "\n")
	assert.Equal(t, uint64(written)+b.Dropped(), uint64(lines))
}

// broken is an output that fails.
type broken struct{}

func (broken) Write([]byte) (int, error) { return 0, errors.New("no reader") }

func TestFailedLinesAreCounted(t *testing.T) {
	b := NewBounded(2)
	_, err := b.Write([]byte("x"))
	assert.NilError(t, err)
	stop := make(chan struct{})
	close(stop)
	b.Run(broken{}, stop)
	assert.Equal(t, b.Dropped(), uint64(1))
}
