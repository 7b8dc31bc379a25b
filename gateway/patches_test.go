package gateway

import (
	"encoding/json"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/host/logs"
	"cicadarouter/keyspace"
)

// stored returns an assignment as it lies in the store.
func stored(t *testing.T, revision uint64, record *keyspace.Record) objects.Object {
	t.Helper()
	spec, err := json.Marshal(record)
	assert.NilError(t, err)
	return objects.Object{Kind: Assignments, Name: "s", Revision: revision, Spec: spec}
}

// versions returns a relay that has seen three versions of an assignment, and
// the last of them.
func versions(t *testing.T) (*relay, objects.Listing) {
	t.Helper()
	one := keyspace.First(keyspace.Controller{Host: "one", Incarnation: 1}, []keyspace.Server{{ID: "a", Slots: 2}, {ID: "b", Slots: 2}})
	two := one.Clone()
	two.Ranges[0].Server = "b"
	three := two.Clone()
	three.Ranges[1].Server = "a"
	r := &relay{}
	r.note(Assignments, objects.Listing{Revision: 5, Objects: []objects.Object{stored(t, 4, one)}}, true)
	r.note(Assignments, objects.Listing{Revision: 7, Objects: []objects.Object{stored(t, 7, two)}}, false)
	last := objects.Listing{Revision: 9, Objects: []objects.Object{stored(t, 9, three)}}
	r.note(Assignments, last, false)
	return r, last
}

func hostKnowing(t *testing.T, object objects.Object) *Gateway {
	t.Helper()
	g := New(Identity{}, Platform{}, logs.Discard())
	g.takeAssignment(object)
	return g
}

// A host that has an earlier version gets what differs, and comes to hold the
// same record as one that gets it whole.
func TestAssignmentsTravelAsPatches(t *testing.T) {
	r, last := versions(t)
	for _, known := range []uint64{5, 6, 7, 8} {
		base, ok := r.versionAt("s", known)
		assert.Assert(t, ok)
		answer := (&patches{}).shorten(r, last, known)
		assert.Equal(t, len(answer.Objects), 0)
		listing, err := hostKnowing(t, base).patchedTogether(answer)
		assert.NilError(t, err)
		assert.Equal(t, listing.Revision, uint64(9))
		assert.Equal(t, string(listing.Objects[0].Spec), string(last.Objects[0].Spec))
	}
	_, ok := r.versionAt("s", 3)
	assert.Assert(t, !ok)
	assert.Equal(t, len((&patches{}).shorten(r, last, 3).Objects), 1, "a host without any version gets it whole")
}

// Symptom: a host sends keys to servers that do not own them, for good.
// Sequence: the host reads one version from the store while the controller
// makes a patch of another; the patch is applied to the wrong one.
// Cause: a patch was taken for any version.
func TestPatchOfAVersionThatTheHostDoesNotHave(t *testing.T) {
	r, last := versions(t)
	answer := (&patches{}).shorten(r, last, 5)
	seven, _ := r.versionAt("s", 7)
	_, err := hostKnowing(t, seven).patchedTogether(answer)
	var unfit *patchUnfitError
	assert.Assert(t, errors.As(err, &unfit))
	assert.Equal(t, unfit.Known, uint64(7))

	// One that has the version already keeps it.
	listing, err := hostKnowing(t, last.Objects[0]).patchedTogether(answer)
	assert.NilError(t, err)
	assert.Equal(t, listing.Objects[0].Revision, uint64(9))
}
