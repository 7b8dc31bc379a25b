package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serverInDomain returns a server in a domain.
func serverInDomain(id, domain string) Server { return Server{ID: id, Domain: domain} }

func serversInTwoDomains() *Directory {
	d := NewDirectory()
	d.Replace(0, 2, []Version{{Server: serverInDomain("a1", "a"), Revision: 1}, {Server: serverInDomain("b1", "b"), Revision: 2}})
	return d
}

// leavingServers returns the IDs of the servers that must get no new requests.
func leavingServers(d *Directory) []string {
	var names []string
	for _, server := range d.Snapshot() {
		if server.Leaving() {
			names = append(names, server.ID)
		}
	}
	return names
}

func TestEvacuatedDomainGetsNoRequestsUntilTheEvacuationEnds(t *testing.T) {
	d := serversInTwoDomains()
	assert.Assert(t, d.Evacuations.Begin("a", 3))
	assert.DeepEqual(t, leavingServers(d), []string{"a1"})
	d.Put(0, Version{Server: serverInDomain("a2", "a"), Revision: 4})
	assert.DeepEqual(t, leavingServers(d), []string{"a1", "a2"})
	assert.Assert(t, d.Evacuations.End(time.Second, "a", 5))
	assert.Equal(t, len(leavingServers(d)), 0)
}

// Guards against a domain that gets no requests after its evacuation has ended, or gets requests
// during one. An operator evacuates a domain, ends the evacuation and evacuates it again within a
// second; a host learns of this from a watch, and once more of an earlier version from a list that
// lags.
func TestLateVersionsOfAnEvacuationAreRejected(t *testing.T) {
	e := NewEvacuations()
	assert.Assert(t, e.Begin("a", 3))
	assert.Assert(t, e.End(0, "a", 5))
	assert.Assert(t, !e.Begin("a", 3))
	assert.Equal(t, len(e.Replace(0, 4, map[string]uint64{"a": 3})), 0)
	assert.Assert(t, !e.Contains("a"))
	assert.Assert(t, e.Begin("a", 6))
	assert.Assert(t, !e.End(0, "a", 5))
	assert.Equal(t, len(e.Replace(0, 5, nil)), 0)
	assert.Assert(t, e.Contains("a"))
	assert.DeepEqual(t, e.Replace(0, 8, map[string]uint64{"b": 7}), []string{"b", "a"})
	assert.DeepEqual(t, e.Domains(), []string{"b"})
}

// Guards against overloading the servers of a domain when its evacuation ends. They became cold
// while they got no requests, but hosts learn of the end before the next heartbeats, so the known
// entries still say that the servers are warm.
func TestServersAreColdAfterAnEvacuationUntilTheyReport(t *testing.T) {
	const back = 10 * time.Second
	d := serversInTwoDomains()
	d.Evacuations.Begin("a", 3)
	d.Evacuations.End(back, "a", 5)
	assert.Equal(t, d.Snapshot()[0].ColdUntil, back+assumedColdFor)
	assert.Equal(t, d.Snapshot()[1].ColdUntil, time.Duration(0), "a server of another domain")
	d.Put(back, Version{Server: serverInDomain("a1", "a"), Revision: 6})
	assert.Equal(t, d.Snapshot()[0].ColdUntil, time.Duration(0), "a later entry says that it is warm")
}

// A server is cold for as long as its entry says, counted from when the entry arrived, although the
// server is returned again with later changes of other servers.
func TestColdServerIsWarmAfterItsDuration(t *testing.T) {
	d := NewDirectory()
	cold := serverWithID("a")
	cold.ColdFor = 3 * time.Second
	d.Put(time.Second, Version{Server: cold, Revision: 1})
	d.Put(2*time.Second, Version{Server: serverWithID("b"), Revision: 2})
	assert.Equal(t, d.Snapshot()[0].ColdUntil, 4*time.Second)
}
