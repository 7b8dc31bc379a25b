package placement

import (
	"math"
	"time"
)

// average is an exponentially smoothed load.
type average struct {
	at   time.Duration
	rate float64
	hot  []HotHash
	set  bool
}

// add takes an observation. A single sample moves the average only by its share
// of the smoothing time, so that one misleading report moves nothing.
func (a *average) add(now, smoothing time.Duration, load ShardLoad) {
	a.hot = load.Hot
	if !a.set {
		a.set = true
		a.at = now
		a.rate = load.Rate / 2 // half the trust until it is seen again
		return
	}
	weight := 1 - math.Exp(-float64(now-a.at)/float64(smoothing))
	a.rate += (load.Rate - a.rate) * weight
	a.at = now
}
