package placement

import (
	"math"
	"time"
)

// loadAverage is an exponentially smoothed load.
type loadAverage struct {
	updatedAt   time.Duration
	rate        float64
	hot         []HotHash
	initialized bool
}

// add records a measurement. Its weight grows with the time since the previous one
// relative to the smoothing time constant, so that a single misleading report
// causes no moves.
func (a *loadAverage) add(now, smoothing time.Duration, load ShardLoad) {
	a.hot = load.Hot
	if !a.initialized {
		a.initialized = true
		a.updatedAt = now
		a.rate = load.Rate / 2 // a first sample counts half until a second one follows
		return
	}
	weight := 1 - math.Exp(-float64(now-a.updatedAt)/float64(smoothing))
	a.rate += (load.Rate - a.rate) * weight
	a.updatedAt = now
}
