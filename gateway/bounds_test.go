package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/contract/objects/memobjects"
	"cicadarouter/host/logs"
	"cicadarouter/internal/silence"
	"cicadarouter/routing"
)

// silentStore is a store that loses responses in silences. Callers give up as platform.Store does.
type silentStore struct {
	*memobjects.Store
	silence   silence.Silence
	compacted atomic.Uint64
	lists     atomic.Int64
}

// loseHistory makes watches from earlier revisions fail.
func (s *silentStore) loseHistory(t *testing.T) {
	listing, err := s.Store.List(context.Background(), "configurations")
	assert.NilError(t, err)
	s.compacted.Store(listing.Revision)
}

// List implements objects.Reader.
func (s *silentStore) List(ctx context.Context, kind string) (objects.Listing, error) {
	s.lists.Add(1)
	return answer(ctx, s, silentTimeout, func(ctx context.Context) (objects.Listing, error) { return s.Store.List(ctx, kind) })
}

// Watch implements objects.Reader.
func (s *silentStore) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	const grace = time.Second
	return answer(ctx, s, wait+grace, func(ctx context.Context) (objects.Listing, error) {
		if revision < s.compacted.Load() {
			return objects.Listing{}, objects.ErrCompacted
		}
		return s.Store.Watch(ctx, kind, revision, wait)
	})
}

// Get implements objects.Store.
func (s *silentStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	return answer(ctx, s, silentTimeout, func(ctx context.Context) (objects.Object, error) { return s.Store.Get(ctx, kind, name) })
}

// Put implements objects.Store. A write whose response is lost takes effect.
func (s *silentStore) Put(ctx context.Context, object objects.Object) (objects.Object, error) {
	return answer(ctx, s, silentTimeout, func(ctx context.Context) (objects.Object, error) { return s.Store.Put(ctx, object) })
}

// Stale implements objects.Store.
func (s *silentStore) Stale() objects.Reader { return s }

// silentTimeout is how long callers wait for a response.
const silentTimeout = 1200 * time.Millisecond

// answer makes a call and returns its result, unless the response is lost.
func answer[T any](ctx context.Context, s *silentStore, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	accepted := s.silence.Accept()
	result, err := call(ctx)
	if s.silence.IsLost(ctx, accepted) {
		return *new(T), objects.ErrUnknown
	}
	return result, err
}

// revisionsAsVersions is a registry whose configurations have the revisions of their objects as versions.
type revisionsAsVersions struct{ kindNames }

func (revisionsAsVersions) DecodeConfiguration(object objects.Object) (*routing.Configuration, error) {
	return &routing.Configuration{Version: object.Revision}, nil
}

// stoppedHost is a host that accepts calls and never answers.
type stoppedHost struct{}

func (stoppedHost) RoundTrip(request *http.Request) (*http.Response, error) {
	<-request.Context().Done()
	return nil, request.Context().Err()
}

// silencePlay is a silence of the store that begins at some time, with its history lost some time before it
// or, if that is negative, within it. A second silence of the length again, if not 0, begins gap later.
type silencePlay struct{ begins, lossBefore, length, gap, again time.Duration }

// silenceDelay returns the time from the end of the last silence until the configuration that the store holds
// then is in force at a host whose source has stopped.
func silenceDelay(t *testing.T, play silencePlay) (delay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{Store: memobjects.New()}
		put := func(object objects.Object) objects.Object {
			written, err := store.Store.Put(context.Background(), object)
			assert.NilError(t, err)
			return written
		}
		object := put(objects.Object{Kind: "configurations", Name: "main", Spec: []byte(`{}`)})
		g := New(Identity{}, Platform{Store: store, Registry: revisionsAsVersions{}}, logs.Discard())
		g.peerClient.Transport = stoppedHost{}
		ctx, cancel := context.WithCancel(context.Background())
		var following sync.WaitGroup
		following.Go(func() { g.followConfiguration(ctx) })
		following.Go(func() { g.expireWatches(ctx) })
		following.Go(func() {
			for ctx.Err() == nil { // the source's role is confirmed, its copy is not
				g.freshness.acceptConfirmation(g.now(), confirmation{confirmedAt: g.now(), sender: "source", source: "source", askedAt: g.now(), agesMs: map[string]int64{}})
				select {
				case <-time.After(100 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
		time.Sleep(2*startupPeriod + play.begins)
		if play.lossBefore >= 0 {
			object = put(object)
			store.loseHistory(t)
			time.Sleep(play.lossBefore)
		}
		store.silence.Set(true)
		time.Sleep(play.length)
		if play.again > 0 {
			store.silence.Set(false)
			time.Sleep(play.gap)
			store.silence.Set(true)
			time.Sleep(play.again)
		}
		object = put(object)
		store.loseHistory(t)
		store.silence.Set(false)
		end := time.Now()
		for g.configuration.Current() == nil || g.configuration.Current().Version < object.Revision {
			time.Sleep(time.Millisecond)
			if time.Since(end) > time.Minute {
				t.Error("the configuration is never in force")
				break
			}
		}
		delay = time.Since(end)
		cancel()
		g.endBackground()
		following.Wait()
	})
	return delay
}

// delayPart is a part of the time from the end of a silence of the store until what it holds is in force.
type delayPart struct {
	name string
	most time.Duration
}

// afterSilence returns the parts for a host that knows of the silence: its calls are overdue.
func (b bounds) afterSilence() []delayPart {
	return []delayPart{
		{"next call to the store", b.probeInterval()},
		{"pause after its history is found to be gone", minRetryDelay},
		{"list from the source, until the store is asked too", b.overdue()},
	}
}

// afterShortSilence returns the parts for a host whose watch was lost in a silence of which it does not
// know yet.
func (b bounds) afterShortSilence() []delayPart {
	return append([]delayPart{
		{"watch that nobody confirms", b.shortWait()},
		{"until it is overdue", b.overdue()},
	}, b.afterSilence()[1:]...) // a call is made as soon as the watch is overdue
}

// total adds up parts.
func total(parts []delayPart) time.Duration {
	sum := time.Duration(0)
	for _, part := range parts {
		sum += part.most
	}
	return sum
}

// The parts of the time from the end of a silence of the store until what it holds is in force add up to
// no more than operators allow for a change, and to half of that where the host knows of the silence.
func TestBoundsAfterSilenceAddUp(t *testing.T) {
	for _, within := range []time.Duration{defaultMaxChangeDelay, 4 * time.Second} {
		b := bounds{maxDelay: within}
		assert.Assert(t, total(b.afterSilence()) <= within/2, "%v: %v", within, b.afterSilence())
		assert.Assert(t, total(b.afterShortSilence()) <= within, "%v: %v", within, b.afterShortSilence())
	}
}

// Guards against hosts that keep an outdated configuration after a silence of the store because calls,
// pauses and lists that were begun in it are waited for one after the other.
func TestDelaysAfterSilenceKeepTheirSum(t *testing.T) {
	const step = 70 * time.Millisecond
	const tolerance = 5 * time.Millisecond // of the play's own polling
	b := bounds{maxDelay: defaultMaxChangeDelay}
	noticed := b.validFor() + b.shortWait() + b.overdue() // by a host that relied on its source, and then on one watch
	for _, length := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 2200 * time.Millisecond, noticed, 5300 * time.Millisecond} {
		parts := b.afterShortSilence()
		if length >= noticed {
			parts = b.afterSilence()
		}
		for _, lossBefore := range []time.Duration{-1, 0, 100 * time.Millisecond, 250 * time.Millisecond, 450 * time.Millisecond} {
			t.Run(fmt.Sprintf("silence of %v, history lost %v before", length, lossBefore), func(t *testing.T) {
				for begins := time.Duration(0); begins < 2*b.shortWait(); begins += step {
					delay := silenceDelay(t, silencePlay{begins: begins, lossBefore: lossBefore, length: length})
					assert.Check(t, delay <= total(parts)+tolerance, "%v after the end of a silence that began %v after a watch; the parts are %v", delay, begins, parts)
				}
			})
		}
	}
}

// Guards against hosts that wait for a list or a call which a second silence has lost, since the first
// has lengthened their pauses.
func TestDelaysAfterSecondSilenceKeepTheirSum(t *testing.T) {
	const step, tolerance = 30 * time.Millisecond, 5 * time.Millisecond
	parts := bounds{maxDelay: defaultMaxChangeDelay}.afterShortSilence()
	for _, length := range []time.Duration{1700 * time.Millisecond, 5300 * time.Millisecond} {
		for _, again := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1300 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("silence of %v, then of %v", length, again), func(t *testing.T) {
				for gap := step; gap < 1500*time.Millisecond; gap += step {
					delay := silenceDelay(t, silencePlay{begins: gap, lossBefore: -1, length: length, gap: gap, again: again})
					assert.Check(t, delay <= total(parts)+tolerance, "%v after the end of a silence that began %v after another; the parts are %v", delay, gap, parts)
				}
			})
		}
	}
}

// countingSilentStore is a silentStore that counts the calls and those under way, and adds up their time in
// nanoseconds.
type countingSilentStore struct {
	*silentStore
	calls, underWay, mostUnderWay, callTime atomic.Int64
}

// Watch implements objects.Reader.
func (s *countingSilentStore) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Listing, error) {
	s.calls.Add(1)
	underWay := s.underWay.Add(1)
	defer s.underWay.Add(-1)
	began := time.Now()
	defer func() { s.callTime.Add(int64(time.Since(began))) }()
	s.mostUnderWay.Store(max(s.mostUnderWay.Load(), underWay))
	return s.silentStore.Watch(ctx, kind, revision, wait)
}

// Guards against hosts that make more and more calls to a store that does not answer.
func TestCallsToSilentStoreAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const during, maxUnderWay = 20 * time.Second, 3 // one of the follower, two to find out whether it is back
		store := &countingSilentStore{silentStore: &silentStore{Store: memobjects.New()}}
		_, err := store.Store.Put(context.Background(), objects.Object{Kind: "configurations", Name: "main", Spec: []byte(`{}`)})
		assert.NilError(t, err)
		g := New(Identity{}, Platform{Store: store, Registry: revisionsAsVersions{}}, logs.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		var following sync.WaitGroup
		following.Go(func() { g.followConfiguration(ctx) })
		time.Sleep(2 * startupPeriod)
		store.silence.Set(true)
		time.Sleep(2 * time.Second) // for the first call to fail
		store.calls.Store(0)
		store.callTime.Store(0)
		time.Sleep(during)
		followed := during/(probeWatchWait+time.Second+maxRetryDelay) + 1
		probed := during/g.freshness.probeInterval() + 1
		assert.Check(t, store.calls.Load() <= int64(followed+probed), "%d calls in %v", store.calls.Load(), during)
		assert.Check(t, store.mostUnderWay.Load() <= maxUnderWay, "%d calls under way", store.mostUnderWay.Load())
		const meanUnderWay = 2 // one of the follower, one to find out whether the store is back
		callTime := time.Duration(store.callTime.Load())
		assert.Check(t, callTime <= meanUnderWay*during, "calls took %v within %v", callTime, during)
		store.silence.Set(false)
		time.Sleep(3 * time.Second)
		store.calls.Store(0)
		time.Sleep(during)
		assert.Check(t, store.calls.Load() <= int64(during/g.freshness.shortWait()+1), "%d calls in %v of a store that answers", store.calls.Load(), during)
		cancel()
		g.endBackground()
		following.Wait()
	})
}

// Guards against hosts that call a store more often because it rejects their calls, or because it has
// answered others before.
func TestOnlyLaterAnswersShortenPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{Store: memobjects.New()}
		g := New(Identity{}, Platform{Store: store, Registry: kindNames{}}, logs.Discard())
		g.freshness.noteRevision("configurations", 5, true)
		pause := func(err error) time.Duration {
			began := time.Now()
			g.pauseAfterFailure(context.Background(), "configurations", g.now(), maxRetryDelay, err)
			return time.Since(began)
		}
		assert.Equal(t, pause(objects.ErrRefused), maxRetryDelay)
		assert.Equal(t, pause(objects.ErrCompacted), maxRetryDelay)
		assert.Equal(t, pause(objects.ErrUnknown), minRetryDelay, "the store answers at once")
		store.silence.Set(true)
		assert.Equal(t, pause(objects.ErrUnknown), maxRetryDelay, "the store has answered before")
		assert.Assert(t, !isAnswer(objects.ErrRefused) && !isAnswer(objects.ErrUnknown))
		g.endBackground()
	})
}

// slowListStore is a store that takes long for lists and answers other calls at once.
type slowListStore struct {
	*memobjects.Store
	listFor time.Duration
	lists   atomic.Int64
}

// List implements objects.Reader.
func (s *slowListStore) List(ctx context.Context, kind string) (objects.Listing, error) {
	s.lists.Add(1)
	select {
	case <-time.After(s.listFor):
		return s.Store.List(ctx, kind)
	case <-ctx.Done():
		return objects.Listing{}, ctx.Err()
	}
}

// Guards against hosts that list again each time a store that takes long for lists answers another call.
func TestListsOfBusyStoreAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowListStore{Store: memobjects.New(), listFor: 6 * time.Second}
		g := New(Identity{}, Platform{Store: store, Registry: kindNames{}}, logs.Discard())
		_, err := g.list(context.Background(), "configurations", 5)
		assert.NilError(t, err)
		const first, doubling = 1, 2 // the list, and the repetitions before their delay has reached its maximum
		repetitions := int64(store.listFor / g.freshness.answerWait())
		assert.Check(t, store.lists.Load() <= first+doubling+repetitions, "%d lists", store.lists.Load())
		g.endBackground()
	})
}

// Guards against hosts that list again from a store that answers nothing.
func TestListIsNotRepeatedInSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{Store: memobjects.New()}
		store.silence.Set(true)
		g := New(Identity{}, Platform{Store: store, Registry: kindNames{}}, logs.Discard())
		_, err := g.list(context.Background(), "configurations", 5)
		assert.ErrorIs(t, err, objects.ErrUnknown)
		assert.Equal(t, store.lists.Load(), int64(1))
		g.endBackground()
	})
}
