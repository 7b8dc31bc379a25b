package gateway

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/revision"
)

// Guards against a host that keeps objects which the restored store has lost: the relay that
// it follows never knew them, so its changes can't show that they are gone.
func TestRelayRefusesChangesAcrossEras(t *testing.T) {
	listing := func(era, number uint64) objects.Listing {
		return objects.Listing{Revision: revision.New(era, number), Objects: []objects.Object{{Name: "a", Revision: revision.New(era, 40)}}}
	}
	var r relayCache
	r.update("servers", listing(1, 50), true)
	_, _, ok := r.changesSince("servers", revision.New(1, 55))
	assert.Assert(t, ok, "the host is ahead of the relay")
	r.update("servers", listing(2, 45), true)
	_, _, ok = r.changesSince("servers", revision.New(1, 55))
	assert.Assert(t, !ok, "the host has to list again")
	again, _, ok := r.changesSince("servers", revision.New(2, 45))
	assert.Assert(t, ok && len(again.Objects) == 0)
	all, ok := r.list("servers")
	assert.Assert(t, ok)
	assert.Equal(t, all.Revision, revision.New(2, 45))
}

// list returns all objects of a kind that a relay has.
func (r *relayCache) list(name string) (objects.Listing, bool) {
	listing, _, ok := r.page(name, "", math.MaxInt32)
	return listing, ok
}
