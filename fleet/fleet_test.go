package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func serverWithID(id string) Server { return Server{ID: id} }

func serverWithStart(id string, start int64) Server { return Server{ID: id, Start: start} }

func ids(d *Directory) []string {
	var names []string
	for _, server := range d.Snapshot() {
		names = append(names, server.ID)
	}
	return names
}

func twoServers() *Directory {
	d := NewDirectory()
	d.Replace(0, 2, []Version{{Server: serverWithID("a"), Revision: 1}, {Server: serverWithID("b"), Revision: 2}})
	return d
}

func TestRemovedEntryIsNotListed(t *testing.T) {
	d := twoServers()
	d.Remove(time.Second, "a", 3)
	assert.DeepEqual(t, ids(d), []string{"b"})
}

// Guards against a service without servers for seconds after each outage of the store. If the
// outage is longer than the lease of the entries, they are missing afterwards until their servers
// renew them.
func TestEntriesMissingAfterAnOutageMayReturn(t *testing.T) {
	d := twoServers()
	d.MarkUnavailable(10 * time.Second)
	d.Replace(11*time.Second, 3, nil)
	assert.DeepEqual(t, ids(d), []string{"a", "b"})
	draining := serverWithID("a")
	draining.Draining = true
	d.Put(11*time.Second, Version{Server: draining, Revision: 4})
	assert.Assert(t, !d.Expire(11500*time.Millisecond))
	assert.Assert(t, d.Expire(12100*time.Millisecond))
	assert.DeepEqual(t, ids(d), []string{"a"})
	assert.Assert(t, d.Snapshot()[0].Draining)
}

// Nothing expires while the store is still unavailable.
func TestOutageExtendsTheGrace(t *testing.T) {
	d := twoServers()
	d.MarkUnavailable(10 * time.Second)
	d.Remove(11*time.Second, "a", 3)
	d.MarkUnavailable(12900 * time.Millisecond)
	assert.Assert(t, !d.Expire(13*time.Second))
	assert.DeepEqual(t, ids(d), []string{"a", "b"})
}

// Guards against requests to a server that has left. A host learns from the store that the entry
// was removed, and then receives an earlier version from a list that lags by seconds or from
// another host.
func TestEarlierVersionIsRejected(t *testing.T) {
	draining := serverWithID("a")
	draining.Draining = true
	d := twoServers()
	assert.Equal(t, d.Put(0, Version{Server: draining, Revision: 5}), Applied)
	assert.Equal(t, d.Put(0, Version{Server: serverWithID("a"), Revision: 4}), Outdated)
	assert.Assert(t, d.Snapshot()[0].Draining)
	d.Remove(0, "a", 4)
	assert.DeepEqual(t, ids(d), []string{"a", "b"})
	d.Remove(0, "a", 6)
	assert.Equal(t, d.Put(0, Version{Server: draining, Revision: 5}), Outdated)
	d.Replace(0, 5, []Version{{Server: draining, Revision: 5}, {Server: serverWithID("b"), Revision: 2}})
	assert.DeepEqual(t, ids(d), []string{"b"})
	assert.Equal(t, d.Put(0, Version{Server: serverWithID("a"), Revision: 7}), Applied)
	d.Replace(0, 5, nil) // a list that lags does not remove later entries
	assert.DeepEqual(t, ids(d), []string{"a"})
}

// Removals are remembered for a limited time only.
func TestRemovalsExpire(t *testing.T) {
	d := twoServers()
	d.Remove(0, "a", 3)
	d.Expire(removalTTL - 1)
	assert.Equal(t, len(d.entries), 2)
	d.Expire(removalTTL)
	assert.Equal(t, len(d.entries), 1)
}

// Guards against taking a restarted server for its predecessor, which would count its requests with
// those that failed with the process and let it own keys. The server crashes and restarts under its
// ID, and a heartbeat of the predecessor is written after the first one of the new process.
func TestEarlierStartIsRejected(t *testing.T) {
	d := NewDirectory()
	d.Put(0, Version{Server: serverWithStart("a", 1000), Revision: 1})
	assert.Equal(t, d.Put(0, Version{Server: serverWithStart("a", 2000), Revision: 2}), Applied)
	assert.Equal(t, d.Put(0, Version{Server: serverWithStart("a", 1000), Revision: 3}), EarlierStart)
	assert.Equal(t, d.Snapshot()[0].Start, int64(2000))
	d.Remove(0, "a", 4)
	assert.Equal(t, d.Put(0, Version{Server: serverWithStart("a", 1000), Revision: 5}), EarlierStart)
	assert.Equal(t, len(d.Snapshot()), 0)
}

// Guards against a server that is never used again. Its machine's clock is set back between two
// starts, so that the later start has the earlier time. A start that is repeated without a version
// of the later start in between belongs to the live process.
func TestServerWhoseClockWasSetBackIsUsed(t *testing.T) {
	d := NewDirectory()
	d.Put(0, Version{Server: serverWithStart("a", 2000), Revision: 1})
	assert.Equal(t, d.Put(0, Version{Server: serverWithStart("a", 1000), Revision: 2}), EarlierStart)
	assert.Equal(t, d.Put(0, Version{Server: serverWithStart("a", 1000), Revision: 3}), EarlierStart)
	assert.Equal(t, d.Put(0, Version{Server: serverWithStart("a", 2000), Revision: 4}), Applied)
	for revision := uint64(5); revision < 5+acceptEarlierStartAfter-1; revision++ {
		assert.Equal(t, d.Put(0, Version{Server: serverWithStart("a", 1000), Revision: revision}), EarlierStart)
	}
	assert.Equal(t, d.Put(0, Version{Server: serverWithStart("a", 1000), Revision: 9}), Applied)
	assert.Equal(t, d.Snapshot()[0].Start, int64(1000))
}

// Guards against requests to an address that is no longer registered, when another writer
// overwrites a server's entry and the last readable version would stay in use.
func TestUnreadableEntryRemovesTheServer(t *testing.T) {
	d := twoServers()
	d.MarkUnavailable(0) // also right after an outage, since the entry is present
	d.Put(0, Version{Server: serverWithID("a"), Revision: 3, Unreadable: true})
	assert.DeepEqual(t, ids(d), []string{"b"})
	assert.Equal(t, d.Put(0, Version{Server: serverWithID("a"), Revision: 4}), Applied)
	assert.DeepEqual(t, ids(d), []string{"a", "b"})
}

func TestIncarnationAsText(t *testing.T) {
	for _, want := range []Incarnation{{ID: "a"}, {ID: "a", Start: 12}, {ID: "a@b"}, {ID: "a@12"}, {ID: "a@12", Start: 13}, {ID: ""}} {
		encoded, err := json.Marshal(map[Incarnation]int{want: 1})
		assert.NilError(t, err)
		var got map[Incarnation]int
		assert.NilError(t, json.Unmarshal(encoded, &got))
		assert.DeepEqual(t, got, map[Incarnation]int{want: 1})
	}
}

// Guards against a cost of each change that grows with the number of registered servers.
func TestChangesAreThoseOfTheEntriesThatChanged(t *testing.T) {
	for _, n := range []int{10, 1000, 10000} {
		d := NewDirectory()
		for i := range n {
			d.Put(0, Version{Server: serverWithID(fmt.Sprintf("s%05d", i)), Revision: uint64(i + 1)})
		}
		all, gone := d.TakeChanges()
		assert.Equal(t, len(all), n)
		assert.Equal(t, len(gone), 0)

		d.Put(time.Second, Version{Server: serverWithID("s00003"), Revision: uint64(n + 1)})
		d.Remove(time.Second, "s00005", uint64(n+2))
		changed, gone := d.TakeChanges()
		assert.Equal(t, len(changed), 1)
		assert.DeepEqual(t, gone, []string{"s00005"})
		assert.Equal(t, len(d.expiring), 1, "entries that each call of Expire visits")
		changed, gone = d.TakeChanges()
		assert.Equal(t, len(changed)+len(gone), 0)
	}
}

// TakeChanges also returns servers whose entries return in time and servers whose domain is
// evacuated.
func TestChangesByTimeAndByEvacuations(t *testing.T) {
	d := serversInTwoDomains()
	d.TakeChanges()
	d.MarkUnavailable(time.Second)
	d.Remove(time.Second, "a1", 3)
	assert.Assert(t, !d.Expire(2*time.Second))
	d.Put(2*time.Second, Version{Server: serverInDomain("a1", "a"), Revision: 4})
	assert.Assert(t, !d.Expire(time.Minute))
	changed, gone := d.TakeChanges()
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, len(gone), 0)

	d.Evacuations.Begin("b", 5)
	d.MarkAllChanged()
	changed, _ = d.TakeChanges()
	assert.Equal(t, len(changed), 2)
	assert.Assert(t, changed[1].Evacuated)
	assert.Assert(t, d.Contains(changed[0].Incarnation()))
	assert.Assert(t, !d.Contains(Incarnation{ID: "a1", Start: 9}))
}

// Snapshot returns the servers ordered by ID.
func (d *Directory) Snapshot() []Server {
	servers := make([]Server, 0, len(d.entries))
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		if server, listed := d.Get(id); listed {
			servers = append(servers, server)
		}
	}
	return servers
}
