package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/host/clock"
)

// storeAnswers tells whether a call to the store that is overdue was lost. The store returns nothing
// further on a connection on which a response was lost, so a call may wait for a response that never
// comes although the store is back. It was lost if a call that began after it was due is answered. If
// the store is busy instead, that later call is held up as well.
//
// While anything waits for an answer, the host makes a call that returns at once at each
// probeInterval, whether or not the one before has been answered.
type storeAnswers struct {
	mu sync.Mutex
	// latest is the start of the latest call that was answered.
	latest   time.Duration
	answered chan struct{} // closed when latest advances; nil if nobody waits
	waiting  int           // number of calls and pauses that wait for an answer
	probing  bool
}

// note records that a call started at a time has been answered.
func (a *storeAnswers) note(began time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if began <= a.latest {
		return
	}
	a.latest = began
	if a.answered != nil {
		close(a.answered)
		a.answered = nil
	}
}

// nextAfter returns a channel that is closed when a later call is answered, or nil if a call that began
// after a time has been answered.
func (a *storeAnswers) nextAfter(began time.Duration) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.latest > began {
		return nil
	}
	if a.answered == nil {
		a.answered = make(chan struct{})
	}
	return a.answered
}

// addWaiting changes the number of those that wait. startProbe is set if calls have to be made for them
// and nothing makes them yet.
func (a *storeAnswers) addWaiting(change int) (startProbe bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting += change
	startProbe = a.waiting > 0 && !a.probing
	a.probing = a.probing || startProbe
	return startProbe
}

// mayEndProbe reports whether nobody waits any more, so that probing ends.
func (a *storeAnswers) mayEndProbe() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.probing = a.waiting > 0
	return !a.probing
}

// awaitAnswer waits until a call to the store that began after a time is answered. It reports whether one
// was before the context ended.
func (g *Gateway) awaitAnswer(ctx context.Context, began time.Duration) bool {
	if g.storeAnswers.addWaiting(1) {
		go g.probeStore()
	}
	defer g.storeAnswers.addWaiting(-1)
	for ctx.Err() == nil {
		answered := g.storeAnswers.nextAfter(began)
		if answered == nil {
			return true
		}
		select {
		case <-answered:
		case <-ctx.Done():
		}
	}
	return false
}

// probeStore makes calls to the store while anything waits for an answer.
func (g *Gateway) probeStore() {
	for !g.storeAnswers.mayEndProbe() && g.background.Err() == nil {
		go g.callStore()
		clock.Sleep(g.background, g.freshness.probeInterval())
	}
}

// callStore makes a call to the store that returns at once. A response, which observeStoreCall notes, is
// all that matters.
func (g *Gateway) callStore() {
	kind := g.registry.ConfigurationKind()
	ctx, cancel := context.WithTimeout(g.background, g.freshness.verifyInterval())
	defer cancel()
	if _, err := g.store.Watch(ctx, kind, g.freshness.knownRevision(kind), 0); err != nil {
		g.log.Debug("call to find out whether the store answers failed", "kind", kind, "error", err.Error())
	}
}

// observeStoreCall counts a call to the store. The function that it returns notes how the call ended.
func (g *Gateway) observeStoreCall(call, kind string) (ended func(error)) {
	g.countStoreCall(call, kind)
	began := g.now()
	return func(err error) {
		if isAnswer(err) {
			g.storeAnswers.note(began)
			g.markStoreAvailable(readStore, "")
		}
	}
}

// observeStaleRead counts a stale read. It shows nothing, since a copy of the store may have answered it.
func (g *Gateway) observeStaleRead(call, kind string) (ended func(error)) {
	g.countStoreCall(call+"-stale", kind)
	return func(error) {}
}

// isAnswer reports whether a call that ended with an error, or without one, shows that the store serves
// this host.
func isAnswer(err error) bool {
	var conflict *objects.ConflictError
	return err == nil || errors.Is(err, objects.ErrCompacted) || errors.Is(err, objects.ErrNotFound) || errors.As(err, &conflict)
}

// withLossDetected returns the context of a call to the store that begins now and waits for a time. It is
// canceled once the call is overdue, a later call has been answered, and this one is not under way.
func (g *Gateway) withLossDetected(ctx context.Context, call, kind string, wait time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	progress := &callProgress{}
	go g.cancelIfLost(ctx, cancel, progress, call, kind, wait)
	return progress.trace(ctx, g.clock), cancel
}

// cancelIfLost cancels the context of withLossDetected.
func (g *Gateway) cancelIfLost(ctx context.Context, cancel context.CancelFunc, progress *callProgress, call, kind string, wait time.Duration) {
	due := g.now() + wait
	clock.Sleep(ctx, wait+g.freshness.overdue())
	for since := due; ctx.Err() == nil && g.awaitAnswer(ctx, since); since = g.now() {
		if progress.isUnderWay(g.now(), g.freshness.answerWait()) {
			continue
		}
		g.log.Info("call is given up: its response was lost", "call", call, "kind", kind, "overdue-ms", (g.now() - due).Milliseconds())
		cancel()
	}
}

// pauseAfterFailure pauses after a failed call for a kind, which was started at a time. If it had no
// response, the pause ends as soon as a later call is answered.
func (g *Gateway) pauseAfterFailure(ctx context.Context, kind string, began, pause time.Duration, err error) {
	clock.Sleep(ctx, min(pause, minRetryDelay))
	rest := pause - minRetryDelay
	if rest <= 0 {
		return
	}
	if !errors.Is(err, objects.ErrUnknown) || g.freshness.knownRevision(kind) == 0 {
		clock.Sleep(ctx, rest)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rest)
	defer cancel()
	g.awaitAnswer(ctx, began)
}
