package domain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a page without a dispatcher after a rolling restart of all routers:
// each router reported once that it was shutting down, and was never contacted again
// after its restart.
func TestRouterThatShutDownIsTriedAgain(t *testing.T) {
	var h routerHealth
	h.noteAsked(0)
	h.noteAnswer(0, true)
	assert.Assert(t, !h.usable(0))
	assert.Assert(t, h.usable(routerAvoid))
}

func TestSilentRouterIsAvoidedTemporarily(t *testing.T) {
	var h routerHealth
	h.noteAsked(0)
	assert.Assert(t, h.usable(routerSilence-1))
	assert.Assert(t, !h.usable(routerSilence))
	assert.Assert(t, h.usable(routerSilence+routerAvoid))
}

// TestSuspicion has one row for each combination of observations of a server that
// was last contacted successfully at time 0.
func TestSuspicion(t *testing.T) {
	const ms = time.Millisecond
	rows := []struct {
		name          string
		signAt        time.Duration // last observation by another host, 0 for none
		neverAnswered bool          // it has never answered this controller
		at            time.Duration
		want          bool
	}{
		{"answered recently", 0, false, 300 * ms, false},
		{"silent", 0, false, silenceToSuspect, true},
		{"silent, but another host had an answer", 400 * ms, false, silenceToSuspect, false},
		{"silent, another host had an answer long ago", 100 * ms, false, silenceToSuspect, true},
		{"silent too long for other hosts' observations to count", 1900 * ms, false, silenceToGiveUp, true},
		{"never answered", 0, true, silenceOfStranger, true},
		{"never answered, but another host had an answer", 200 * ms, true, silenceOfStranger, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var h serverHealth
			h.noteAsked(0)
			if !row.neverAnswered {
				h.noteAnswer(1, 7, false)
			}
			if row.signAt > 0 {
				h.noteSign(row.signAt)
			}
			assert.Equal(t, h.suspected(row.at+1), row.want)
		})
	}
}
