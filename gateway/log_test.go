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

// hand is a clock that a test sets.
type hand struct{ now time.Duration }

func (h *hand) Now() time.Duration { return h.now }

// Log lines of one kind are bounded per second, and the number left out is logged.
func TestLinesOfAKindAreBounded(t *testing.T) {
	var out bytes.Buffer
	clock := &hand{now: time.Minute}
	lines := newLineQuota(logs.New(&out, "p", "h", log.InfoLevel), clock, "request")
	taken := 0
	for range 3 * linesPerSecond {
		if lines.take() {
			taken++
		}
	}
	assert.Equal(t, taken, linesPerSecond)
	clock.now += time.Second
	assert.Assert(t, lines.take())
	assert.Assert(t, strings.Contains(out.String(), `"count":500`), out.String())
}
