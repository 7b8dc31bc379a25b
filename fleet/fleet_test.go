package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func ids(d *Directory) []string {
	var names []string
	for _, server := range d.Snapshot() {
		names = append(names, server.ID)
	}
	return names
}

func two() *Directory {
	d := NewDirectory()
	d.Replace(0, []Server{{ID: "a"}, {ID: "b"}})
	return d
}

func TestEntryThatEndsIsGone(t *testing.T) {
	d := two()
	d.Remove(time.Second, "a")
	assert.DeepEqual(t, ids(d), []string{"b"})
}

// Symptom: a service has no servers for seconds after every outage of the store.
// Sequence: the store is away for longer than the entries' lease; when it is
// back, the entries are missing until their servers renew them.
// Cause: the list was believed at once.
func TestEntriesMissingAfterAnOutageMayReturn(t *testing.T) {
	d := two()
	d.Away(10 * time.Second)
	d.Replace(11*time.Second, nil)
	assert.DeepEqual(t, ids(d), []string{"a", "b"})
	d.Put(Server{ID: "a", Draining: true})
	assert.Assert(t, !d.Expire(11500*time.Millisecond))
	assert.Assert(t, d.Expire(12100*time.Millisecond))
	assert.DeepEqual(t, ids(d), []string{"a"})
	assert.Assert(t, d.Snapshot()[0].Draining)
}

// While the store is still away, nothing expires.
func TestOutageExtendsTheGrace(t *testing.T) {
	d := two()
	d.Away(10 * time.Second)
	d.Remove(11*time.Second, "a")
	d.Away(12900 * time.Millisecond)
	assert.Assert(t, !d.Expire(13*time.Second))
	assert.DeepEqual(t, ids(d), []string{"a", "b"})
}
