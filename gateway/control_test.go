package gateway

import (
	"fmt"
	"testing"

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
		c := &controller{service: newService("s", "", true, 1, large.now)}
		assert.Assert(t, large.claimDelay(c, 1) < claimSpread)
		assert.Assert(t, small.claimDelay(c, 1) >= claimSpread)
		assert.Assert(t, small.claimDelay(c, 1) < 2*claimSpread)
	}
}
