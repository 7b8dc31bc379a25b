package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Route timeouts range from a tenth of the shutdown period to ten times it. A request is accepted
// if its deadline is within the period or if it arrives in the first half of it.
func TestWhatAStoppingHostTakes(t *testing.T) {
	const within = 5 * time.Second
	plan := shutdownPlan{from: time.Minute, end: time.Minute + within}
	for timeout := within / 10; timeout <= 10*within; timeout += within / 10 {
		for after := time.Duration(0); after <= 2*within; after += within / 50 {
			deadline := plan.from + after + timeout
			fits, early := deadline <= plan.end, after < within/2
			assert.Equal(t, plan.accepts(plan.from+after, deadline), fits || early, "timeout %v, %v after the signal", timeout, after)
		}
	}
}
