package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"cicadarouter/host/logs"
)

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Duration }

func (h *manualClock) Now() time.Duration { return h.now }

// Log lines of one kind are bounded per second, and the number left out is logged.
func TestLinesOfAKindAreBounded(t *testing.T) {
	var out bytes.Buffer
	clock := &manualClock{now: time.Minute}
	lines := newLogLimiter(logs.New(&out, "p", "h", log.InfoLevel), clock, "request")
	taken := 0
	for range 3 * maxLogLinesPerSecond {
		if lines.allow() {
			taken++
		}
	}
	assert.Equal(t, taken, maxLogLinesPerSecond)
	clock.now += time.Second
	assert.Assert(t, lines.allow())
	assert.Assert(t, strings.Contains(out.String(), `"count":500`), out.String())
}
