package gateway_test

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/gateway"
	"cicadarouter/keyspace"
	"cicadarouter/platform/platformtest"
)

// served reports whether a host serves a key.
func (s *site) served(h *hostUnderTest, key int) bool {
	return s.call(h, http.MethodGet, "/keyed/x", strconv.Itoa(key), "").status == http.StatusOK
}

// heldOnce fails if two servers that are up hold one of some keys.
func (s *site) heldOnce(servers ...string) {
	s.t.Helper()
	for key := 0; key <= 65535; key += 4369 {
		holders := 0
		for _, id := range servers {
			if s.servers[id].Holds(uint16(key)) {
				holders++
			}
		}
		assert.Assert(s.t, holders <= 1, "key %d is held by %d servers", key, holders)
	}
}

func (s *site) allServed(h *hostUnderTest) bool {
	for key := 0; key <= 65535; key += 4369 {
		if !s.served(h, key) {
			return false
		}
	}
	return true
}

// Every key has one owner, and each host finds it. A server that joins gets
// keys; one that leaves is emptied, by hand-over.
func TestKeysFollowServers(t *testing.T) {
	s, h := calm(t)
	second := s.startHost("two")
	s.eventually("all keys are served", func() bool { return s.allServed(h) && s.allServed(second) })
	s.heldOnce("k1", "k2")

	s.startServer("k3", "owned", true)
	s.eventually("the server that joined runs requests", func() bool { return s.allServed(h) && s.runs("k3") > 0 })
	s.heldOnce("k1", "k2", "k3")

	s.remove("servers", "k1")
	s.eventually("the server that left holds nothing", func() bool {
		for key := 0; key <= 65535; key += 4369 {
			if s.servers["k1"].Holds(uint16(key)) {
				return false
			}
		}
		return s.allServed(second)
	})
	s.heldOnce("k1", "k2", "k3")
}

// Symptom: after the loss of a host, keys of servers that leave stay with them.
// Sequence: the controller is killed; a server leaves.
// Cause: nobody took over.
func TestControllerIsReplaced(t *testing.T) {
	s, first := calm(t)
	s.eventually("all keys are served", func() bool { return s.allServed(first) })
	second := s.startHost("two")
	first.kill()
	s.eventually("keys are still served", func() bool { return s.allServed(second) })
	s.remove("servers", "k1")
	s.eventually("the other server has taken over", func() bool { return s.allServed(second) && !s.servers["k1"].Holds(0) })
	s.heldOnce("k1", "k2")
}

// Symptom: all keys are without an owner as long as the store is away.
// Sequence: the store turns every call away for longer than a lease.
// Cause: leases were not renewed without the store.
func TestKeysAreServedWithoutTheStore(t *testing.T) {
	s, h := calm(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	before := s.store.Calls()
	s.store.SetFaults(platformtest.Faults{Refuse: true})
	s.eventually("the host has noticed", func() bool { return s.store.Calls() > before+10 })
	assert.Assert(t, s.allServed(h))
	s.store.SetFaults(platformtest.Faults{})
	s.startServer("k3", "owned", true)
	s.eventually("a server that joined later gets keys", func() bool { return s.allServed(h) && s.runs("k3") > 0 })
}

// Symptom: a host keeps an old configuration for as long as its watch waits.
// Sequence: a change is made while the store's watches hear nothing.
// Cause: the host relied on its own watch alone.
func TestMissedChangeIsFoundOut(t *testing.T) {
	s, h := calm(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	second := s.startHost("two")
	s.store.Deafen()
	s.configure(9, `,{"name":"more","path-prefix":"/more/","kind":"safe","timeout":"5000ms","service":"free","max-attempts":1}`)
	s.eventually("both hosts serve the new route", func() bool {
		return s.call(h, http.MethodGet, "/more/", "", "").status == http.StatusOK &&
			s.call(second, http.MethodGet, "/more/", "", "").status == http.StatusOK
	})
}

// Symptom: one server gets three times what it can do, and turns most of it
// away, for ten seconds.
// Sequence: the controller's own watch hears nothing any more; it moves keys; the
// other hosts, who learn of it through the controller, keep the old owners.
// Cause: the controller knew what it had written and did not miss it.
func TestMovesReachHostsThoughTheControllersWatchIsDeaf(t *testing.T) {
	s, h := calm(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	second := s.startHost("two")
	s.eventually("the second host serves them too", func() bool { return s.allServed(second) })
	s.eventually("the hosts watch through the controller", func() bool {
		calls := s.store.Calls()
		return s.allServed(second) && s.store.Calls() == calls
	})
	s.store.Deafen()
	s.startServer("k3", "owned", true)
	s.eventually("both hosts send to the server that joined", func() bool {
		before := s.runs("k3")
		ok := s.allServed(h)
		between := s.runs("k3")
		return ok && s.allServed(second) && between > before && s.runs("k3") > between
	})
}

// Symptom: a server that crashed and started again runs nothing until its lease
// would have run out, or is granted its keys under the tokens that it had.
// Sequence: a server starts again under its ID, holds nothing and knows no
// token; its entry tells the later start.
// Cause: the new process was taken for the one that ended.
func TestServerThatStartedAgainIsServedAnew(t *testing.T) {
	s, h := calm(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	server := s.servers["k1"]
	before := slices.Max(server.Tokens())
	server.Restart()
	s.registerStart("k1", "owned", s.addresses["k1"], "ready", firstStart+4000)
	s.eventually("the new incarnation has been granted keys anew", func() bool {
		granted := server.Tokens()
		return len(granted) > 0 && granted[len(granted)-1] > before
	})
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	s.heldOnce("k1", "k2")

	// A heartbeat of the process that ended, written late, changes nothing.
	s.registerStart("k1", "owned", s.addresses["k1"], "draining", firstStart)
	s.configure(7, `,{"name":"more","path-prefix":"/more/","kind":"safe","timeout":"5000ms","service":"free","max-attempts":1}`)
	s.eventually("the host has heard what came after it", func() bool {
		return s.call(h, http.MethodGet, "/more/", "", "").status == http.StatusOK
	})
	assert.Assert(t, s.allServed(h))
}

// Symptom: no server is known any more, or a request goes to an address that
// someone wrote into the registry.
// Sequence: another writer adds entries that are none, and spoils the entry of a
// server, which writes it anew with its next heartbeat.
// Cause: one entry that could not be read ended the list, or was read in part.
func TestEntriesOfOtherWriters(t *testing.T) {
	s, h := calm(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	trap := &platformtest.Server{ID: "trap", Slots: 8}
	address := s.listen(trap)
	for name, spec := range map[string]string{
		"no-object":   `[1,2]`,
		"nothing":     `null`,
		"text":        `"\ufffd\u0000"`,
		"state":       `{"service":"free","address":"` + address + `","zone":"a","version":"v1","slots":8,"state":"resting","cold-remaining":"0ms","seq":1,"born":5}`,
		"born":        `{"service":"free","address":"` + address + `","zone":"a","version":"v1","slots":8,"state":"ready","cold-remaining":"0ms","seq":1,"born":5.5}`,
		"slots":       `{"service":"free","address":"` + address + `","zone":"a","version":"v1","slots":"8","state":"ready","cold-remaining":"0ms","seq":1,"born":5}`,
		"no-service":  `{"address":"` + address + `","zone":"a","version":"v1","slots":8,"state":"ready","cold-remaining":"0ms","seq":1,"born":5}`,
		"its-service": `{"service":"none-such","address":"` + address + `","zone":"a","version":"v1","slots":8,"state":"ready","cold-remaining":"0ms","seq":1,"born":5}`,
	} {
		s.put("servers", name, spec)
	}
	s.put("servers", "f1", `{"service":"free"}`)
	s.startServer("f3", "free", false)
	s.eventually("the host has heard of the last entry", func() bool {
		s.call(h, http.MethodGet, "/free/x", "", "")
		return s.runs("f3") > 0
	})
	second := s.startHost("two") // reads the entries from a list, the first host as changes
	before := s.runs("f1")
	for range 40 {
		assert.Equal(t, s.call(h, http.MethodGet, "/free/x", "", "").status, http.StatusOK)
		assert.Equal(t, s.call(second, http.MethodGet, "/free/x", "", "").status, http.StatusOK)
	}
	assert.Equal(t, len(trap.Runs()), 0)
	assert.Equal(t, s.runs("f1"), before)
	assert.Assert(t, s.allServed(second))
	s.register("f1", "free", s.addresses["f1"], "ready")
	s.eventually("the server is used again", func() bool {
		return s.call(h, http.MethodGet, "/free/x", "", "").status == http.StatusOK && s.runs("f1") > before
	})
}

// Symptom: all keys are without an owner for seconds.
// Sequence: the store is away; the controller's host is stopped as planned, and
// serves its callers for some seconds more; its resignation is not written.
// Cause: it gave control up although nobody could take it.
func TestStoppingControllerGoesOnWhileTheStoreIsAway(t *testing.T) {
	s, h := calm(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	before := s.store.Calls()
	s.store.SetFaults(platformtest.Faults{Refuse: true})
	s.eventually("the host has noticed", func() bool { return s.store.Calls() > before+3 })
	h.gateway.Stop(waitTimeout)
	granted := len(s.servers["k1"].Tokens())
	more := len(s.assignment().Ranges) * 3 / 4 // half of the ranges are the server's: over one round
	s.eventually("leases are renewed", func() bool { return len(s.servers["k1"].Tokens()) > granted+more })
	s.store.SetFaults(platformtest.Faults{})
	second := s.startHost("two")
	s.eventually("another host takes over", func() bool { return s.assignment().Controller.Host == "two" && s.allServed(second) })
}

// assignment returns the assignment of keys that is stored.
func (s *site) assignment() *keyspace.Record {
	s.t.Helper()
	object, err := s.store.Kept().Get(context.Background(), gateway.Assignments, "owned")
	assert.NilError(s.t, err)
	record := &keyspace.Record{}
	assert.NilError(s.t, json.Unmarshal(object.Spec, record))
	return record
}
