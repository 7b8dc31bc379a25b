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
	h.recordContact(0)
	h.recordAnswer(0, true)
	assert.Assert(t, !h.usable(0))
	assert.Assert(t, h.usable(routerAvoidance))
}

func TestSilentRouterIsAvoidedTemporarily(t *testing.T) {
	var h routerHealth
	h.recordContact(0)
	assert.Assert(t, h.usable(maxRouterSilence-1))
	assert.Assert(t, !h.usable(maxRouterSilence))
	assert.Assert(t, h.usable(maxRouterSilence+routerAvoidance))
}

// TestSuspicion has one row for each combination of observations of a server that
// was first contacted at time 0 and, unless neverAnswered is set, answered then.
func TestSuspicion(t *testing.T) {
	const ms = time.Millisecond
	rows := []struct {
		name          string
		observedAt    time.Duration // last observation by another host, 0 for none
		neverAnswered bool          // it has never answered this controller
		at            time.Duration
		want          bool
	}{
		{"answered recently", 0, false, 300 * ms, false},
		{"silent", 0, false, suspectAfter, true},
		{"silent, but another host had an answer", 400 * ms, false, suspectAfter, false},
		{"silent, another host had an answer long ago", 100 * ms, false, suspectAfter, true},
		{"silent too long for other hosts' observations to count", 1900 * ms, false, suspectDespitePeersAfter, true},
		{"never answered", 0, true, suspectUnansweredAfter, true},
		{"never answered, but another host had an answer", 200 * ms, true, suspectUnansweredAfter, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var h serverHealth
			h.recordContact(0)
			if !row.neverAnswered {
				h.recordAnswer(1, 7, false)
			}
			if row.observedAt > 0 {
				h.recordObservation(row.observedAt)
			}
			assert.Equal(t, h.suspected(row.at+1), row.want)
		})
	}
}
