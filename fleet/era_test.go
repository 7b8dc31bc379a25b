package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/revision"
)

// Guards against servers that a host removes, or uses again, because the store was restored from a
// backup.
func TestEntriesLostByARestoredStore(t *testing.T) {
	entry := func(id string, draining bool, version uint64) Version {
		return Version{Server: Server{ID: id, Start: 1, Draining: draining}, Revision: version}
	}
	known := func(d *Directory) map[string]bool {
		draining := map[string]bool{}
		for _, server := range d.Snapshot() {
			draining[server.ID] = server.Draining
		}
		return draining
	}
	d := NewDirectory()
	d.Replace(0, revision.New(1, 50), []Version{entry("a", false, revision.New(1, 40)), entry("b", true, revision.New(1, 49)), entry("c", false, revision.New(1, 50))})
	d.Put(time.Second, entry("b", false, revision.New(1, 51)))
	assert.DeepEqual(t, known(d), map[string]bool{"a": false, "b": false, "c": false})
	d.Put(time.Second, entry("b", true, revision.New(1, 52)))

	back := 10 * time.Second
	d.Replace(back, revision.New(2, 45), []Version{entry("a", false, revision.New(2, 40)), entry("b", false, revision.New(2, 41))})
	want := map[string]bool{"a": false, "b": true, "c": false}
	assert.DeepEqual(t, known(d), want)
	assert.Equal(t, d.Put(back, entry("a", true, revision.New(1, 60))), Outdated, "a late version of the previous era")
	d.Put(back, entry("b", false, revision.New(2, 46)))
	assert.DeepEqual(t, known(d), want)
	assert.Assert(t, !d.Expire(back+time.Second))
	d.Put(back+time.Second, entry("c", false, revision.New(2, 47)))
	d.Expire(back + renewalGrace)
	assert.DeepEqual(t, known(d), want)

	d.Remove(back+20*time.Second, "a", revision.New(3, 30))
	assert.DeepEqual(t, known(d), want)
	assert.Assert(t, d.Expire(back+20*time.Second+renewalGrace))
	assert.DeepEqual(t, known(d), map[string]bool{"b": true, "c": false})
}

// Guards against using a domain again because a restored store has lost its evacuation.
func TestEvacuationLostByARestoredStore(t *testing.T) {
	e := NewEvacuations()
	e.Replace(0, revision.New(1, 50), map[string]uint64{"north": revision.New(1, 50)})
	assert.Equal(t, len(e.Replace(time.Second, revision.New(2, 45), nil)), 0)
	assert.Assert(t, e.Contains("north"))
	assert.Assert(t, !e.End(2*time.Second, "north", revision.New(2, 46)), "reported as removed by another host")
	e.Begin("north", revision.New(2, 47))
	assert.Assert(t, !e.expire(time.Minute))
	assert.Assert(t, e.Contains("north"), "requested again")
	assert.Assert(t, e.End(time.Minute, "north", revision.New(2, 48)), "ended by its operator")

	e.Begin("south", revision.New(2, 49))
	e.Replace(time.Minute, revision.New(3, 45), nil)
	assert.Assert(t, !e.expire(time.Minute+lostGrace-1))
	assert.Assert(t, e.expire(time.Minute+lostGrace))
	assert.Assert(t, !e.Contains("south"), "not requested again")
}
