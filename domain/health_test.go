package domain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Symptom: after a rolling restart of all routers, a page has no dispatch router
// although all of them run.
// Sequence: each router tells once that it leaves, and starts again.
// Cause: a router that left was never asked again, and so never seen to be back.
func TestRouterThatLeftIsTriedAgain(t *testing.T) {
	var h routerHealth
	h.noteAsked(0)
	h.noteAnswer(0, true)
	assert.Assert(t, !h.usable(0))
	assert.Assert(t, h.usable(routerAvoid))
}

func TestSilentRouterIsLeftOutForAWhile(t *testing.T) {
	var h routerHealth
	h.noteAsked(0)
	assert.Assert(t, h.usable(routerSilence-1))
	assert.Assert(t, !h.usable(routerSilence))
	assert.Assert(t, h.usable(routerSilence+routerAvoid))
}

// TestSuspicion has one row for each combination of signs about a server that
// was last heard from at time 0.
func TestSuspicion(t *testing.T) {
	const ms = time.Millisecond
	rows := []struct {
		name    string
		signAt  time.Duration // another observer's word, 0 for none
		strange bool          // it has never answered this controller
		at      time.Duration
		want    bool
	}{
		{"answered a moment ago", 0, false, 300 * ms, false},
		{"silent", 0, false, silenceToSuspect, true},
		{"silent, but another heard from it", 400 * ms, false, silenceToSuspect, false},
		{"silent, another heard from it long ago", 100 * ms, false, silenceToSuspect, true},
		{"silent for so long that others' word does not count", 1900 * ms, false, silenceToGiveUp, true},
		{"never answered", 0, true, silenceOfStranger, true},
		{"never answered, but another heard from it", 200 * ms, true, silenceOfStranger, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var h serverHealth
			h.noteAsked(0)
			if !row.strange {
				h.noteAnswer(1, 7, false)
			}
			if row.signAt > 0 {
				h.noteSign(row.signAt)
			}
			assert.Equal(t, h.suspected(row.at+1), row.want)
		})
	}
}
