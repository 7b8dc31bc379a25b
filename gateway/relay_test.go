package gateway

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/revision"
)

// Guards against a host that keeps what the store has forgotten: the relay that it follows had
// not heard of it, and can't tell that it is gone.
func TestRelayTellsNoDifferencesAcrossEras(t *testing.T) {
	listing := func(era, number uint64) objects.Listing {
		return objects.Listing{Revision: revision.New(era, number), Objects: []objects.Object{{Name: "a", Revision: revision.New(era, 40)}}}
	}
	var r relay
	r.note("servers", listing(1, 50), true)
	_, _, ok := r.since("servers", revision.New(1, 55))
	assert.Assert(t, ok, "ahead of the relay")
	r.note("servers", listing(2, 45), true)
	_, _, ok = r.since("servers", revision.New(1, 55))
	assert.Assert(t, !ok, "it is to list again")
	again, _, ok := r.since("servers", revision.New(2, 45))
	assert.Assert(t, ok && len(again.Objects) == 0)
	all, ok := r.list("servers")
	assert.Assert(t, ok)
	assert.Equal(t, all.Revision, revision.New(2, 45))
}

// list returns all that a relay knows of a kind.
func (r *relay) list(name string) (objects.Listing, bool) {
	listing, _, ok := r.page(name, "", math.MaxInt32)
	return listing, ok
}
