package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// repeatedSilenceFault begins the names of the faults in which the store loses its history and goes
// silent, again and again on the same processes. What follows is the form of the silence.
const repeatedSilenceFault = "the store loses its history and falls silent again and again: "

// silenceForm makes the store silent for all hosts. The function that it returns ends the silence.
type silenceForm func(r *run) (end func())

// loseResponses loses the responses to all calls that the store has accepted or accepts meanwhile.
func loseResponses(r *run) func() {
	r.site.Store.SetSilent(true)
	return func() { r.site.Store.SetSilent(false) }
}

// stopResponses is loseResponses for a store that sends half of its first responses.
func stopResponses(r *run) func() {
	const partialFor = 150 * time.Millisecond
	r.site.Store.SetSilentInResponses(time.Now().Add(partialFor))
	return func() { r.site.Store.SetSilent(false) }
}

// silenceConnections makes all connections that are open or opened meanwhile silent for good.
func silenceConnections(r *run) func() {
	r.setStoreLinks(LinkCondition{Lost: true})
	return func() {
		for _, h := range r.hosts {
			h.storeProxy.SilenceAll()
		}
		r.setStoreLinks(LinkCondition{})
	}
}

// refuseConnections makes all open connections silent for good and leaves the opening packets of new
// ones unanswered.
func refuseConnections(r *run) func() {
	var stopping sync.WaitGroup
	for _, h := range r.hosts {
		h.storeProxy.SilenceAll()
		stopping.Go(func() { r.recordError(h.storeProxy.StopAccepting()) })
	}
	stopping.Wait()
	return func() {
		for _, h := range r.hosts {
			h.storeProxy.ResumeAccepting()
		}
	}
}

// holdData holds back all data to and from the store. It arrives when the silence ends.
func holdData(r *run) func() {
	r.setStoreLinks(LinkCondition{CutTo: true, CutFrom: true})
	return func() { r.setStoreLinks(LinkCondition{}) }
}

func (r *run) setStoreLinks(condition LinkCondition) {
	for _, h := range r.hosts {
		h.storeProxy.SetCondition(condition)
	}
}

// repeatSilence makes the store lose its history and go silent, five times. Between the silences routes
// move, servers leave and join, and every second time a failure domain is evacuated.
func repeatSilence(silence silenceForm) planFunc {
	const (
		repetitions = 5
		interval    = 16 * time.Second
		// After minSilentAfter hosts whose watches were cut have got 410 and list again.
		minSilentAfter = 220 * time.Millisecond
		silentRange    = 80 * time.Millisecond
	)
	return func(r *run, random *rand.Rand, _ time.Duration) func(ctx context.Context) {
		var silentAfter []time.Duration
		for range cmp.Or(r.options.Repetitions, repetitions) {
			silentAfter = append(silentAfter, minSilentAfter+time.Duration(random.Int64N(int64(silentRange))))
		}
		return func(ctx context.Context) {
			start := time.Now()
			for i, after := range silentAfter {
				r.loseHistoryAndFallSilent(ctx, after, silence)
				r.changeAfterSilence(ctx)
				if i%2 > 0 {
					evacuateDomain(r, nil, margin+100*time.Millisecond)(ctx)
				}
				sleep(ctx, time.Until(start.Add(time.Duration(i+1)*interval)))
			}
		}
	}
}

// loseHistoryAndFallSilent makes the store lose its history while stale reads are old and a server
// leaves. The store cuts the watches that wait, and is silent some time after that.
func (r *run) loseHistoryAndFallSilent(ctx context.Context, silentAfter time.Duration, silence silenceForm) {
	const (
		deaf         = 1200 * time.Millisecond
		staleReadAge = 5500 * time.Millisecond
		staleFor     = 12 * time.Second
		leaveAfter   = 200 * time.Millisecond
		silentFor    = 5300 * time.Millisecond
	)
	r.addActiveFaults(1)
	defer r.addActiveFaults(-1)
	defer r.recordStoreFault(time.Now())
	r.site.Store.SetStaleness(staleReadAge)
	time.AfterFunc(staleFor, func() { r.site.Store.SetStaleness(0) })
	time.AfterFunc(leaveAfter, func() { r.leaveNext(ctx) })
	r.recordError(r.site.Store.LoseHistoryAndCutWatches(ctx, deaf))
	sleep(ctx, silentAfter)
	end := silence(r)
	sleep(ctx, silentFor)
	end()
}

// changeAfterSilence moves routes right after a silence, and again later. Once hosts are held to their
// bounds again, a server leaves, another one joins, and routes move once more.
func (r *run) changeAfterSilence(ctx context.Context) {
	const firstMove, secondMove = 100 * time.Millisecond, 1300 * time.Millisecond
	sleep(ctx, firstMove)
	r.changeVersion(ctx, r.site.MoveRoute)
	sleep(ctx, secondMove-firstMove)
	r.changeVersion(ctx, r.site.MoveRoute)
	sleep(ctx, quietPeriod-secondMove)
	r.leaveNext(ctx)
	r.recordError(r.site.AddKeyed(r.servingCtx))
	r.changeVersion(ctx, r.site.MoveRoute)
}

// leaveNext makes the next server leave that is neither leaving nor the first of its service.
func (r *run) leaveNext(ctx context.Context) {
	for _, server := range r.site.Servers()[2:] {
		if r.site.LeavingSince(server).IsZero() {
			r.recordError(r.site.StartLeaving(ctx, server))
			return
		}
	}
}
