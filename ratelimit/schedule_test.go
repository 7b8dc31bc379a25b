package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The bound that servers require for a limit: ruleOverage times the limit over ruleWindow, and
// ruleSlack requests more.
const (
	ruleWindow  = 4 * time.Second
	ruleOverage = 1.5
	ruleSlack   = 5
)

func allowed(perSecond float64) float64 {
	return ruleOverage*perSecond*ruleWindow.Seconds() + ruleSlack
}

// maxInWindow returns the largest number of the sorted times that lie in one window.
func maxInWindow(times []time.Duration, window time.Duration) int {
	fullest := 0
	for from, to := 0, 0; to < len(times); to++ {
		for times[to]-times[from] >= window {
			from++
		}
		fullest = max(fullest, to-from+1)
	}
	return fullest
}

// The permits of a schedule stay within its bound however requests come and however late each
// permit is used, and the bound stays within what servers require.
func TestScheduleBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.05, 50).Draw(t, "limit")
		var schedule Schedule
		var used []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond
			within := time.Duration(rapid.IntRange(0, 800).Draw(t, "within")) * time.Millisecond
			wait, ok := schedule.Reserve(now, perSecond, within)
			assert.Equal(t, ok, wait <= within)
			if ok {
				used = append(used, now+wait+time.Duration(rapid.Int64Range(0, int64(PermitValidity)).Draw(t, "used after")))
			}
		}
		slices.Sort(used)
		fullest := maxInWindow(used, ruleWindow)
		assert.Assert(t, float64(fullest) <= Bound(perSecond, ruleWindow), "%d in a window at %v a second", fullest, perSecond)
		assert.Assert(t, Bound(perSecond, ruleWindow) <= allowed(perSecond))
	})
}

// A process that starts to schedule issues no permit at once. Its predecessor may just have
// issued one, and control may change hands several times in seconds.
func TestNewScheduleHasNoAccumulatedPermits(t *testing.T) {
	const perSecond = 20.0
	var schedule Schedule
	wait, ok := schedule.Reserve(time.Hour, perSecond, 0)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, interval(perSecond))
}

// A schedule with enough requests issues the whole limit.
func TestScheduleGivesTheWholeLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const perSecond, span = 3.3, 100 * time.Second
	var schedule Schedule
	given := 0
	for now := time.Duration(0); now < span; now += time.Duration(random.ExpFloat64() * float64(time.Second) / 10) {
		if _, ok := schedule.Reserve(now, perSecond, 200*time.Millisecond); ok {
			given++
		}
	}
	assert.Assert(t, float64(given) >= 0.97*perSecond*span.Seconds(), "%d given", given)
}

// Hosts that can't reach the schedule stay within their share on average, whatever their
// number. Together with a schedule that issues all permits to others they stay within what
// servers require.
func TestFallbackOfAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 3, 8, 90, 295, 4000} {
		for _, perSecond := range []float64{0.3, 2.3, 20} {
			random := rand.New(rand.NewPCG(uint64(hosts), uint64(perSecond*10)))
			every := FallbackInterval(perSecond, hosts)
			turns := make([]FallbackLimiter, hosts)
			for i := range turns {
				turns[i] = NewFallbackLimiter(0, every, random.Float64())
			}
			const span, step = 120 * time.Second, 20 * time.Millisecond
			var used []time.Duration
			for now := time.Duration(0); now < span; now += step {
				for i := range turns {
					// The demand is ten times the limit.
					if random.Float64() < 10*perSecond*step.Seconds()/float64(hosts) && turns[i].Wait(now, every) == 0 {
						turns[i].Take(every)
						used = append(used, now)
					}
				}
			}
			both := float64(maxInWindow(used, ruleWindow)) + Bound(perSecond, ruleWindow)
			assert.Assert(t, both <= allowed(perSecond), "%d hosts, %v a second: %v in a window, %v allowed", hosts, perSecond, both, allowed(perSecond))
			assert.Assert(t, float64(len(used)) <= fallbackShare*perSecond*span.Seconds()+float64(min(hosts, 8)), "%d hosts, %v a second: %d used", hosts, perSecond, len(used))
		}
	}
}

// A host that was idle may send one request at most, however long it was idle.
func TestFallbackPermitsDoNotAccumulate(t *testing.T) {
	every := FallbackInterval(2, 8)
	turn := NewFallbackLimiter(0, every, 0.5)
	now := time.Hour
	for range 3 * int(every/time.Millisecond) {
		if turn.Wait(now, every) == 0 {
			turn.Take(every)
			assert.Assert(t, turn.Wait(now, every) > 0)
			return
		}
		now += time.Millisecond
	}
	t.Fatal("no permit came")
}
