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

// assertSingleHolder fails if more than one of the servers holds the same key, for a sample of keys.
func (s *site) assertSingleHolder(servers ...string) {
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

// allServed reports whether a host serves a sample of the keys.
func (s *site) allServed(h *hostUnderTest) bool {
	for key := 0; key <= 65535; key += 4369 {
		if !s.served(h, key) {
			return false
		}
	}
	return true
}

// Every key has one owner, and each host finds it. A server that joins is assigned keys;
// one that is removed hands its keys over.
func TestKeysFollowServers(t *testing.T) {
	s, h := newSmallSite(t)
	second := s.startHost("two")
	s.eventually("all keys are served", func() bool { return s.allServed(h) && s.allServed(second) })
	s.assertSingleHolder("k1", "k2")

	s.startServer("k3", "owned", true)
	s.eventually("the server that joined runs requests", func() bool { return s.allServed(h) && s.runs("k3") > 0 })
	s.assertSingleHolder("k1", "k2", "k3")

	s.remove("servers", "k1")
	s.eventually("the server that left holds nothing", func() bool {
		for key := 0; key <= 65535; key += 4369 {
			if s.servers["k1"].Holds(uint16(key)) {
				return false
			}
		}
		return s.allServed(second)
	})
	s.assertSingleHolder("k1", "k2", "k3")
}

// Guards against a lost controller that is not replaced: keys of servers that are removed
// later would stay assigned to them.
func TestControllerIsReplaced(t *testing.T) {
	s, first := newSmallSite(t)
	s.eventually("all keys are served", func() bool { return s.allServed(first) })
	second := s.startHost("two")
	first.kill()
	s.eventually("keys are still served", func() bool { return s.allServed(second) })
	s.remove("servers", "k1")
	s.eventually("the other server has taken over", func() bool { return s.allServed(second) && !s.servers["k1"].Holds(0) })
	s.assertSingleHolder("k1", "k2")
}

// Guards against all keys losing their owners during a store outage longer than a lease:
// leases must be renewed without the store.
func TestKeysAreServedWithoutTheStore(t *testing.T) {
	s, h := newSmallSite(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	before := s.store.Calls()
	s.store.SetFaults(platformtest.Faults{RejectCalls: true})
	s.eventually("the host has noticed the outage", func() bool { return s.store.Calls() > before+10 })
	assert.Assert(t, s.allServed(h))
	s.store.SetFaults(platformtest.Faults{})
	s.startServer("k3", "owned", true)
	s.eventually("a server that joined later gets keys", func() bool { return s.allServed(h) && s.runs("k3") > 0 })
}

// Guards against a host that keeps an old configuration until its watch times out: a change
// was made while the store's watches delivered nothing, and the host relied on its watch alone.
func TestMissedChangeIsDetected(t *testing.T) {
	s, h := newSmallSite(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	second := s.startHost("two")
	s.store.DropWatchEvents()
	s.configure(9, `,{"name":"more","path-prefix":"/more/","kind":"safe","timeout":"5000ms","service":"free","max-attempts":1}`)
	s.eventually("both hosts serve the new route", func() bool {
		return s.call(h, http.MethodGet, "/more/", "", "").status == http.StatusOK &&
			s.call(second, http.MethodGet, "/more/", "", "").status == http.StatusOK
	})
}

// Guards against hosts that keep sending to the former owners of keys, which overloaded one
// server threefold for ten seconds: the controller's own watch delivered nothing, the controller
// moved keys, and since it knew what it had written it did not notice that its watch was behind.
// The other hosts, which watch through the controller, missed the move.
func TestMovesReachHostsWhenTheControllersWatchStalls(t *testing.T) {
	s, h := newSmallSite(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	second := s.startHost("two")
	s.eventually("the second host serves them too", func() bool { return s.allServed(second) })
	s.eventually("the hosts watch through the controller", func() bool {
		calls := s.store.Calls()
		return s.allServed(second) && s.store.Calls() == calls
	})
	s.store.DropWatchEvents()
	s.startServer("k3", "owned", true)
	s.eventually("both hosts send to the server that joined", func() bool {
		before := s.runs("k3")
		ok := s.allServed(h)
		between := s.runs("k3")
		return ok && s.allServed(second) && between > before && s.runs("k3") > between
	})
}

// Guards against taking a restarted server for its former process: the new one has the same ID
// and a later start time, and holds no keys and knows no tokens. It would run nothing until the
// old lease expired, or would be granted its keys under the old tokens.
func TestServerThatRestartedIsGrantedKeysAgain(t *testing.T) {
	s, h := newSmallSite(t)
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
	s.assertSingleHolder("k1", "k2")

	// A late heartbeat of the former process has no effect.
	s.registerStart("k1", "owned", s.addresses["k1"], "draining", firstStart)
	s.configure(7, `,{"name":"more","path-prefix":"/more/","kind":"safe","timeout":"5000ms","service":"free","max-attempts":1}`)
	s.eventually("the host has seen a later change", func() bool {
		return s.call(h, http.MethodGet, "/more/", "", "").status == http.StatusOK
	})
	assert.Assert(t, s.allServed(h))
}

// Guards against invalid registry entries: another writer adds them and overwrites the entry of
// a server, which restores it with its next heartbeat. One invalid entry must not end the
// reading of the list, and must not be used in part, or requests go to an arbitrary address.
func TestInvalidEntriesOfOtherWritersAreIgnored(t *testing.T) {
	s, h := newSmallSite(t)
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
	s.eventually("the host has read the last entry", func() bool {
		s.call(h, http.MethodGet, "/free/x", "", "")
		return s.runs("f3") > 0
	})
	second := s.startHost("two") // reads the entries from a list; the first host read them as changes
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

// Guards against all keys losing their owners for seconds: the controller's host shuts down
// during a store outage and resigns although no other host can take over, because the
// resignation can't be written.
func TestStoppingControllerGoesOnWhileTheStoreIsAway(t *testing.T) {
	s, h := newSmallSite(t)
	s.eventually("all keys are served", func() bool { return s.allServed(h) })
	before := s.store.Calls()
	s.store.SetFaults(platformtest.Faults{RejectCalls: true})
	s.eventually("the host has noticed the outage", func() bool { return s.store.Calls() > before+3 })
	h.gateway.Stop(waitTimeout)
	granted := len(s.servers["k1"].Tokens())
	more := len(s.assignment().Ranges) * 3 / 4 // the server has half of the ranges: more than one round of renewals
	s.eventually("leases are renewed", func() bool { return len(s.servers["k1"].Tokens()) > granted+more })
	s.store.SetFaults(platformtest.Faults{})
	second := s.startHost("two")
	s.eventually("another host takes over", func() bool { return s.assignment().Controller.Host == "two" && s.allServed(second) })
}

// assignment returns the stored assignment of keys.
func (s *site) assignment() *keyspace.Record {
	s.t.Helper()
	object, err := s.store.Objects().Get(context.Background(), gateway.Assignments, "owned")
	assert.NilError(s.t, err)
	record := &keyspace.Record{}
	assert.NilError(s.t, json.Unmarshal(object.Spec, record))
	return record
}
