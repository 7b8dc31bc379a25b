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

func plan(f *freshness, kind string, now time.Duration) (watchPlan, context.Context) {
	ctx, _, made := f.begin(context.Background(), kind, now, false)
	return made, ctx
}

// wordOf is the word of a controller that is followed itself.
func wordOf(confirmed time.Duration, teller string, revisions map[string]uint64) word {
	return word{confirmed: confirmed, teller: teller, source: teller, revisions: revisions}
}

// Symptom: a host keeps an old configuration for more than 2 s.
// Sequence: the controller, through which the host learns of changes, loses
// power before it has passed a change on; nothing resets the connection.
// Cause: the controller's word counted for longer than a change may take.
func TestSilentControllerIsDoubted(t *testing.T) {
	f := newFreshness(0)
	shortWatch, vouchedFor := f.shortWatch(), f.vouchedFor()
	made, _ := plan(&f, "things", 0)
	assert.Equal(t, made, watchPlan{wait: firstWatch})
	made, _ = plan(&f, "things", firstWatches)
	assert.Equal(t, made, watchPlan{wait: shortWatch})

	// Sequence: a host starts while the controller is cut off; the store drops
	// its history; the host's first watch hears nothing.
	started := newFreshness(0)
	_, first := plan(&started, "things", time.Second)
	started.doubt()
	started.tend(time.Second, false)
	assert.Assert(t, first.Err() != nil, "the first watch outlives the doubt")
	f.told(time.Second, wordOf(time.Second, "controller", nil))
	made, watching := plan(&f, "things", time.Second)
	assert.Equal(t, made, watchPlan{wait: longWatch, source: "controller"})
	f.tend(time.Second+vouchedFor-1, false)
	assert.NilError(t, watching.Err())
	f.tend(time.Second+vouchedFor, false)
	assert.Assert(t, watching.Err() != nil)
	const mostForAChange = 2 * time.Second
	assert.Assert(t, vouchedFor < mostForAChange-idleControlInterval)

	// Sequence: the controller is cut off from the store, and still answers.
	f.told(time.Second, wordOf(time.Second, "controller", nil))
	made, _ = plan(&f, "things", time.Second+vouchedFor)
	assert.Equal(t, made, watchPlan{wait: shortWatch}, "the word of a controller counts though the store no longer confirms it")

	// Sequence: a report gets no answer, and nor do those that follow.
	f.told(3*time.Second, wordOf(3*time.Second, "controller", nil))
	_, watching = plan(&f, "things", 3*time.Second)
	f.doubt()
	f.tend(3*time.Second+vouchedFor, false)
	assert.Assert(t, watching.Err() != nil, "reports without an answer left the watch standing")
}

// A watch that is behind what the controller knows ends at once.
func TestWatchThatIsBehindEnds(t *testing.T) {
	f := newFreshness(0)
	f.told(0, wordOf(0, "controller", nil))
	_, watching := plan(&f, "things", 0)
	f.known("things", 5, true)
	assert.Equal(t, len(f.told(0, wordOf(0, "controller", map[string]uint64{"things": 5, "others": 9}))), 0)
	assert.NilError(t, watching.Err())
	assert.DeepEqual(t, f.told(0, wordOf(0, "controller", map[string]uint64{"things": 6})), []string{"things"})
	assert.Assert(t, watching.Err() != nil)
}

// Symptom: hosts send to old owners for ten seconds.
// Sequence: the controller's own watch is deaf; it moves keys; the others learn
// of moves through that watch.
// Cause: the controller did not miss what it had written itself.
func TestControllerMissesItsOwnWrites(t *testing.T) {
	g := New(Identity{}, Platform{}, logs.Discard())
	g.freshness.tend(0, true)
	_, watching := plan(&g.freshness, Assignments, 0)
	g.freshness.known(Assignments, 7, true)
	c := &serviceControl{service: newService("s", Identity{Incarnation: 1}, true, g.now), revision: 9, writtenAt: time.Second}
	g.checkOwnWrites(c, time.Second)
	assert.NilError(t, watching.Err())
	g.checkOwnWrites(c, time.Second+ownWriteTimeout)
	assert.Assert(t, watching.Err() != nil)
}

func change(revision uint64, name string) objects.Listing {
	return objects.Listing{Revision: revision, Objects: []objects.Object{{Name: name, Revision: revision}}}
}

func TestRelay(t *testing.T) {
	var r relay
	r.note("things", objects.Listing{Revision: 4}, true)
	r.note("things", change(6, "a"), false)
	r.note("things", objects.Listing{Revision: 9}, false)
	r.note("things", change(12, "b"), false)
	names := func(revision uint64) (found []string, ok bool) {
		listing, _, ok := r.since("things", revision)
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

	// A complete listing that follows an earlier one tells what differs.
	r.note("things", objects.Listing{Revision: 20, Objects: []objects.Object{{Name: "b", Revision: 12}, {Name: "c", Revision: 17}}}, true)
	changed, _, ok := r.since("things", 12)
	assert.Assert(t, ok)
	assert.DeepEqual(t, changed, objects.Listing{Revision: 20, Objects: []objects.Object{{Name: "c", Revision: 17}, {Name: "a", Revision: 20, Deleted: true}}})
	_, err := r.watch(context.Background(), "things", 3, time.Second)
	assert.Assert(t, errors.Is(err, objects.ErrCompacted))
	listing, err := r.watch(context.Background(), "things", 20, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, listing.Revision, uint64(20))
}

// Symptom: a host keeps an old configuration for as long as a relay hangs.
// Sequence: the host follows a relay, which falls silent; the controller, whom the
// host reports to, knows of a change.
// Cause: a relay is some milliseconds behind the controller as a rule, so to be
// behind once says nothing; to be so twice does.
func TestRelayThatIsBehind(t *testing.T) {
	f := newFreshness(0)
	vouch := func(revision uint64) []string {
		return f.told(0, word{teller: "controller", source: "relay", revisions: map[string]uint64{"things": revision}})
	}
	vouch(5)
	f.known("things", 5, true)
	made, watching := plan(&f, "things", 0)
	assert.Equal(t, made.source, "relay")
	assert.Equal(t, len(vouch(6)), 0)
	f.known("things", 6, true)
	assert.Equal(t, len(vouch(7)), 0, "the relay has caught up in between")
	assert.NilError(t, watching.Err())
	assert.DeepEqual(t, vouch(7), []string{"things"})
	assert.Assert(t, watching.Err() != nil)
	made, _ = plan(&f, "things", 0)
	assert.Equal(t, made.source, "controller")
	f.known("things", 7, true)
	made, _ = plan(&f, "things", 0)
	assert.Equal(t, made.source, "relay")
}
