package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Names of the faults that come with HistoryFaults.
const (
	frozenSourceFault = "the store loses its history and the controller is paused as hosts list again"
	silentStoreFault  = "the store loses its history and goes silent as hosts list again"
)

// Bounds of the time for which watches hear nothing before the history is lost. Hosts that follow the
// controller turn to the store after some 1.5 s.
const (
	minDeafness   = time.Second
	deafnessRange = 300 * time.Millisecond
)

// loseHistory makes the store lose its history and moves routes meanwhile. deaf is how long watches
// hear nothing before, moveAfter the time until routes move.
func (r *run) loseHistory(ctx context.Context, deaf, moveAfter time.Duration) {
	from, lost := time.Now(), make(chan error, 1)
	go func() { lost <- r.site.Store.LoseHistory(ctx, deaf) }()
	sleep(ctx, moveAfter)
	r.changeVersion(ctx, r.site.MoveRoute)
	r.recordError(<-lost)
	r.recordStoreFault(from)
}

// pauseSourceAfterLostHistory pauses the controller shortly after the store has lost its history, when
// the other hosts rely on it for a list. All other hosts remain held to their bounds.
func pauseSourceAfterLostHistory(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	const moveRange, pauseRange, pauseLength = 400 * time.Millisecond, 1200 * time.Millisecond, 3500 * time.Millisecond
	deaf := minDeafness + time.Duration(random.Int64N(int64(deafnessRange)))
	moveAfter, pauseAfter := time.Duration(random.Int64N(int64(moveRange))), time.Duration(random.Int64N(int64(pauseRange)))
	other := r.hosts[random.IntN(len(r.hosts))]
	return func(ctx context.Context) {
		r.loseHistory(ctx, deaf, moveAfter)
		sleep(ctx, pauseAfter)
		h := r.controller(ctx)
		if h == nil {
			h = other
		}
		h.suspend(pauseLength)
	}
}

// silenceStoreAfterLostHistory makes the store silent shortly after it has lost its history, when hosts
// list kinds from it. Routes move right after it is back, and again later.
func silenceStoreAfterLostHistory(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
	const silentAfterRange, minSilence, silenceRange = 400 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second
	const moveRange, secondMove = 300 * time.Millisecond, time.Second
	deaf := minDeafness + time.Duration(random.Int64N(int64(deafnessRange)))
	silentAfter, silence := time.Duration(random.Int64N(int64(silentAfterRange))), minSilence+time.Duration(random.Int64N(int64(silenceRange)))
	moveAfter := time.Duration(random.Int64N(int64(moveRange)))
	return func(ctx context.Context) {
		r.loseHistory(ctx, deaf, moveAfter)
		sleep(ctx, silentAfter)
		from := time.Now()
		r.site.Store.SetSilent(true)
		sleep(ctx, silence)
		r.site.Store.SetSilent(false)
		r.recordStoreFault(from)
		sleep(ctx, moveAfter)
		r.changeVersion(ctx, r.site.MoveRoute)
		sleep(ctx, secondMove)
		r.changeVersion(ctx, r.site.MoveRoute)
	}
}
