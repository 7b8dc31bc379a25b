package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against hosts that together send more requests once more than operators allow: each
// has a reserve, all of them use it, start again and use that of the start.
func TestReservesOfAllHostsKeepToWhatIsAllowed(t *testing.T) {
	const rounding = 1e-6
	for _, site := range []struct {
		hosts   int
		allowed float64
	}{{8, 56}, {12, 64}, {79, 198}, {90, 220}, {295, 630}, {985, 1040}, {2000, 2040}} {
		reserve := reserveOf(site.allowed, site.hosts)
		assert.Assert(t, reserve.most >= leastRetryReserve)
		most := float64(site.hosts) * (reserve.most + reserve.first)
		assert.Assert(t, most <= site.allowed+rounding, "%d hosts hold %v, %v are allowed", site.hosts, most, site.allowed)
	}
	assert.Equal(t, reserveOf(0, 100).most, float64(mostRetryReserve), "operators name nothing")
	assert.Equal(t, reserveOf(1000, 0).first, 0.0, "nobody has told how many hosts there are")
}
