package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/host/logs"
)

// Symptom: requests reach servers two seconds after their callers have left.
// Sequence: the controller is a host with a link of 10 Mbit/s; it passes each
// change of an assignment to 75 others.
// Cause: every host was as likely to be the controller.
func TestSmallHostsClaimAfterAllOthers(t *testing.T) {
	for i := range 20 {
		name := fmt.Sprintf("host-%d", i)
		large := New(Identity{Host: name}, Platform{}, logs.Discard())
		small := New(Identity{Host: name, Small: true}, Platform{}, logs.Discard())
		c := &controller{service: newService("s", Identity{Incarnation: 1}, true, large.now)}
		assert.Assert(t, large.claimDelay(c, 1) < claimSpread)
		assert.Assert(t, small.claimDelay(c, 1) >= claimSpread)
		assert.Assert(t, small.claimDelay(c, 1) < 2*claimSpread)
	}
}

// Symptom: servers are handed more repeats than operators allow.
// Sequence: a deployment allows half of the usual share.
// Cause: the share was a constant of the code.
func TestRetriesKeepToTheOperatorsRatio(t *testing.T) {
	const requests = 1000
	for ratio, most := range map[float64]float64{0: defaultRetryRatio, 0.1: 0.1, 0.3: 0.3} {
		s := newService("s", Identity{RetryRatio: ratio}, false, func() time.Duration { return 0 })
		repeats := 0
		for range requests {
			s.first(nil)
			if s.mayRetry() {
				repeats++
			}
		}
		assert.Assert(t, float64(repeats) <= retryReserve+retryPart*most*requests, "%d repeats at a ratio of %v", repeats, ratio)
		assert.Assert(t, float64(repeats) >= retryPart*most*requests, "%d repeats at a ratio of %v", repeats, ratio)
	}
}
