package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/host/logs"
)

func beginTestWatch(f *freshness, kind string, now time.Duration) (watchPlan, context.Context) {
	ctx, _, planned := f.beginWatch(context.Background(), kind, now, false)
	return planned, ctx
}

// confirmationFrom returns a controller's confirmation that names the controller itself as the
// source.
func confirmationFrom(confirmed time.Duration, teller string, revisions map[string]uint64) confirmation {
	return confirmation{confirmedAt: confirmed, sender: teller, source: teller, revisions: revisions}
}

// Guards against a host that keeps an old configuration for more than 2 s. The controller,
// from which the host gets changes, loses power before it has passed one on, and nothing
// resets the connection. The controller's confirmation must expire before a change has to take
// effect.
func TestSilentControllerConfirmationExpires(t *testing.T) {
	f := newFreshness(Identity{})
	shortWait, validFor := f.shortWait(), f.validFor()
	planned, _ := beginTestWatch(&f, "things", 0)
	assert.Equal(t, planned, watchPlan{wait: startupWatchWait})
	planned, _ = beginTestWatch(&f, "things", startupPeriod)
	assert.Equal(t, planned, watchPlan{wait: shortWait})

	// A host starts while the controller is cut off, and the store drops its history, so
	// that the host's first watch never returns a change.
	started := newFreshness(Identity{})
	_, first := beginTestWatch(&started, "things", time.Second)
	started.noteControllerFailure()
	started.setControlling(time.Second, false)
	assert.Assert(t, first.Err() != nil, "the first watch was not canceled")
	f.acceptConfirmation(time.Second, confirmationFrom(time.Second, "controller", nil))
	planned, watchCtx := beginTestWatch(&f, "things", time.Second)
	assert.Equal(t, planned, watchPlan{wait: longWatchWait, source: "controller"})
	f.setControlling(time.Second+validFor-1, false)
	assert.NilError(t, watchCtx.Err())
	f.setControlling(time.Second+validFor, false)
	assert.Assert(t, watchCtx.Err() != nil)
	const maxChangeDelay = 2 * time.Second
	assert.Assert(t, validFor < maxChangeDelay-idleControlInterval)

	// The controller is cut off from the store but still answers.
	f.acceptConfirmation(time.Second, confirmationFrom(time.Second, "controller", nil))
	planned, _ = beginTestWatch(&f, "things", time.Second+validFor)
	assert.Equal(t, planned, watchPlan{wait: shortWait}, "a controller's confirmation counts although the store no longer answers the controller")

	// A report gets no answer, and neither do the later ones.
	f.acceptConfirmation(3*time.Second, confirmationFrom(3*time.Second, "controller", nil))
	_, watchCtx = beginTestWatch(&f, "things", 3*time.Second)
	f.noteControllerFailure()
	f.setControlling(3*time.Second+validFor, false)
	assert.Assert(t, watchCtx.Err() != nil, "the watch was not canceled although reports got no answer")
}

// A watch that is behind what the controller knows is canceled at once.
func TestWatchThatIsBehindEnds(t *testing.T) {
	f := newFreshness(Identity{})
	f.acceptConfirmation(0, confirmationFrom(0, "controller", nil))
	_, watchCtx := beginTestWatch(&f, "things", 0)
	f.noteRevision("things", 5, true)
	assert.Equal(t, len(f.acceptConfirmation(0, confirmationFrom(0, "controller", map[string]uint64{"things": 5, "others": 9}))), 0)
	assert.NilError(t, watchCtx.Err())
	assert.DeepEqual(t, f.acceptConfirmation(0, confirmationFrom(0, "controller", map[string]uint64{"things": 6})), []string{"things"})
	assert.Assert(t, watchCtx.Err() != nil)
}

// Guards against hosts that send to old owners of keys for ten seconds. The controller moves
// keys, but its own watch does not return the change, and the others learn of it only through
// that watch. The controller must notice that its watch misses what it wrote itself.
func TestControllerMissesItsOwnWrites(t *testing.T) {
	g := New(Identity{}, Platform{}, logs.Discard())
	g.freshness.setControlling(0, true)
	_, watchCtx := beginTestWatch(&g.freshness, Assignments, 0)
	g.freshness.noteRevision(Assignments, 7, true)
	c := &serviceControl{service: newService("s", Identity{Incarnation: 1}, true, g.now), revision: 9, writtenAt: time.Second}
	g.checkOwnWrites(c, time.Second)
	assert.NilError(t, watchCtx.Err())
	g.checkOwnWrites(c, time.Second+ownWriteTimeout)
	assert.Assert(t, watchCtx.Err() != nil)
}

func changeListing(revision uint64, name string) objects.Listing {
	return objects.Listing{Revision: revision, Objects: []objects.Object{{Name: name, Revision: revision}}}
}

func TestRelay(t *testing.T) {
	var r relayCache
	r.update("things", objects.Listing{Revision: 4}, true)
	r.update("things", changeListing(6, "a"), false)
	r.update("things", objects.Listing{Revision: 9}, false)
	r.update("things", changeListing(12, "b"), false)
	names := func(revision uint64) (found []string, ok bool) {
		listing, _, ok := r.changesSince("things", revision)
		for _, object := range listing.Objects {
			found = append(found, object.Name)
		}
		return found, ok
	}
	got, ok := names(4)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, []string{"a", "b"})
	got, ok = names(6)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, []string{"b"})
	got, ok = names(12)
	assert.Assert(t, ok && len(got) == 0)
	_, ok = names(3)
	assert.Assert(t, !ok, "what came before the first listing is not known")
	listed, ok := r.list("things")
	assert.Assert(t, ok)
	assert.DeepEqual(t, listed, objects.Listing{Revision: 12, Objects: []objects.Object{{Name: "a", Revision: 6}, {Name: "b", Revision: 12}}})

	// A complete listing that follows an earlier one is recorded as its differences.
	r.update("things", objects.Listing{Revision: 20, Objects: []objects.Object{{Name: "b", Revision: 12}, {Name: "c", Revision: 17}}}, true)
	changed, _, ok := r.changesSince("things", 12)
	assert.Assert(t, ok)
	assert.DeepEqual(t, changed, objects.Listing{Revision: 20, Objects: []objects.Object{{Name: "c", Revision: 17}, {Name: "a", Revision: 20, Deleted: true}}})
	_, err := r.watch(context.Background(), "things", 3, time.Second)
	assert.Assert(t, errors.Is(err, objects.ErrCompacted))
	listing, err := r.watch(context.Background(), "things", 20, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, listing.Revision, uint64(20))
}

// Guards against a host that keeps an old configuration for as long as the relay that it
// follows hangs. A relay is usually some milliseconds behind the controller, so the host
// leaves it only when two consecutive confirmations of the controller show it to be behind.
func TestRelayThatIsBehind(t *testing.T) {
	f := newFreshness(Identity{})
	confirm := func(revision uint64) []string {
		return f.acceptConfirmation(0, confirmation{sender: "controller", source: "relay", revisions: map[string]uint64{"things": revision}})
	}
	confirm(5)
	f.noteRevision("things", 5, true)
	planned, watchCtx := beginTestWatch(&f, "things", 0)
	assert.Equal(t, planned.source, "relay")
	assert.Equal(t, len(confirm(6)), 0)
	f.noteRevision("things", 6, true)
	assert.Equal(t, len(confirm(7)), 0, "the relay caught up in between")
	assert.NilError(t, watchCtx.Err())
	assert.DeepEqual(t, confirm(7), []string{"things"})
	assert.Assert(t, watchCtx.Err() != nil)
	planned, _ = beginTestWatch(&f, "things", 0)
	assert.Equal(t, planned.source, "controller")
	f.noteRevision("things", 7, true)
	planned, _ = beginTestWatch(&f, "things", 0)
	assert.Equal(t, planned.source, "relay")
}

// Guards against a host that still relies on stale reads, or on a watch that may have missed a change,
// once changes must take effect there in time: from 3 s after its start.
func TestStartEndsBeforeChangesMustTakeEffect(t *testing.T) {
	const heldFrom, maxChangeDelay = 3 * time.Second, 2 * time.Second
	for _, firstStart := range []bool{true, false} {
		f := newFreshness(Identity{FirstStart: firstStart})
		now := time.Duration(0)
		for now < heldFrom {
			planned, _ := beginTestWatch(&f, "things", now)
			assert.Assert(t, planned.wait > 0)
			assert.Assert(t, !planned.stale || firstStart)
			now += planned.wait
			assert.Assert(t, !planned.stale || now <= heldFrom-maxChangeDelay, "stale reads until %v", now)
			assert.Assert(t, now <= heldFrom, "a watch that nobody confirms lasts until %v", now)
		}
		planned, _ := beginTestWatch(&f, "things", now)
		assert.Equal(t, planned, watchPlan{wait: f.shortWait()})
	}
}
