package domain

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/backend"
	"cicadarouter/contract/platform/memstore"
	"cicadarouter/directory"
	"cicadarouter/host/logs"
	"cicadarouter/link"
	"cicadarouter/ownership"
	"cicadarouter/record"
)

// pausedClock simulates a process that is paused for pauseDuration before every reading.
type pausedClock struct {
	mu  sync.Mutex
	now time.Duration
}

const pauseDuration = time.Second

func (c *pausedClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += pauseDuration
	return c.now
}

// timedEvent records the time that is passed to apply.
type timedEvent struct{ times *[]time.Duration }

func (e timedEvent) apply(_ *loop, now time.Duration) { *e.times = append(*e.times, now) }

// Guards against two owners of a key after a controller was paused: with one reading
// of the clock for a batch of events, the remaining time of a promise that arrived
// during the pause would be counted from a time before the pause.
func TestClockIsReadForEachEvent(t *testing.T) {
	clk := &pausedClock{}
	dial := func(server record.Server) backend.Control {
		return backend.NewClient(server.Name, server.Address, http.DefaultTransport)
	}
	c := NewController(link.Identity{Host: "h", Domain: "a"}, ownership.DefaultTerms(), DefaultTiming(), memstore.New(),
		directory.New(), nil, dial, nil, clk, logs.Discard())
	var times []time.Duration
	c.enqueue(timedEvent{&times})
	c.enqueue(timedEvent{&times})
	newLoop(c).handle(timedEvent{&times})
	assert.Equal(t, len(times), 3)
	assert.Equal(t, times[1]-times[0], pauseDuration)
	assert.Equal(t, times[2]-times[1], pauseDuration)
}
