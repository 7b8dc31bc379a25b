package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/contract/objects/memobjects"
	"cicadarouter/gateway"
	"cicadarouter/keyspace"
	"cicadarouter/revision"
)

func TestHostedState(t *testing.T) {
	store := memobjects.New()
	put := func(kind, name, spec string) {
		t.Helper()
		_, err := store.Put(context.Background(), objects.Object{Kind: kind, Name: name, Spec: []byte(spec)})
		assert.NilError(t, err)
	}
	_, err := readHosted(context.Background(), store)
	assert.ErrorContains(t, err, "configuration")

	put("config", "main", `{"version":"r7","services":[{"name":"owned","sharded":true}]}`)
	entry := `{"service":"owned","address":%q,"zone":"z","version":"v1","slots":4,"state":%q,"cold-remaining":"0ms","seq":1,"born":5}`
	put("servers", "a", fmt.Sprintf(entry, "10.0.0.1:80", "draining"))
	put("servers", "b", fmt.Sprintf(entry, "nowhere", "ready"))
	record := keyspace.NewRecord(keyspace.Controller{Host: "one"}, 0, []keyspace.Server{{ID: "a", Slots: 1}})
	record.Ranges[0].FormerHolders = []keyspace.Holder{{Server: "z", Token: 1}}
	spec, err := json.Marshal(record)
	assert.NilError(t, err)
	put(gateway.Assignments, "owned", string(spec))

	put(gateway.Quarantines, "owned", `{"cases":[{"request":"00112233445566778899aabbccddeeff","ends":[{"server":"a@5","atMs":60000}]}]}`)
	put(gateway.Quarantines, "spoilt", `{"cases":[{"request":"x"}]}`)
	put("evacuations", "z", "{}")
	put("evacuations", "y", "{}")

	state, err := readHosted(context.Background(), store)
	assert.NilError(t, err)
	assert.Equal(t, state.Evacuated["z"].Servers, 1)
	assert.Equal(t, state.Evacuated["z"].Keys, keyspace.LastKey+1)
	assert.Equal(t, state.Evacuated["y"].Keys, 0)
	assert.Equal(t, state.Configuration, uint64(7))
	assert.DeepEqual(t, state.Services, []hostedService{{Name: "owned", Keyed: true, Servers: 1, Draining: 1, Slots: 4}})
	assert.Equal(t, state.Assignments["owned"].KeysOf["a"], keyspace.LastKey+1)
	assert.Equal(t, state.Assignments["owned"].Moving, int(record.Ranges[0].To)+1)
	assert.Equal(t, len(state.Faults), 2)
	assert.Equal(t, len(state.Quarantines["owned"].Cases), 1)
	var out bytes.Buffer
	state.writeTable(&out)
	assert.Assert(t, strings.Contains(out.String(), "controller one"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "quarantined 00112233445566778899aabbccddeeff"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "1970-01-01T00:01:00Z"), out.String())
}

// Guards against an outdated assignment being shown as the current one. It happens after the
// store was restored from a copy that lacks a later assignment.
func TestAssignmentOfAnEarlierEraIsShownAsSuch(t *testing.T) {
	record := keyspace.NewRecord(keyspace.Controller{Host: "one"}, 1, []keyspace.Server{{ID: "a", Slots: 1}})
	for era, want := range map[uint64]bool{1: false, 2: true} {
		state := &hostedState{Assignments: map[string]keyAssignment{"owned": {Revision: revision.New(era, 55), Record: *record}}}
		var out bytes.Buffer
		state.writeTable(&out)
		assert.Equal(t, strings.Contains(out.String(), "not written again"), want, out.String())
		assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf("revision 55 of era %d", era)), out.String())
	}
}

// Checks that release ends the quarantine of a request at all controllers that store it,
// and fails if the request isn't in quarantine.
func TestReleaseEndsAQuarantine(t *testing.T) {
	store, ctx := memobjects.New(), context.Background()
	const quarantined, other = "00112233445566778899aabbccddeeff", "ffeeddccbbaa99887766554433221100"
	for _, name := range []string{"one", "two"} {
		_, err := store.Put(ctx, objects.Object{Kind: gateway.Quarantines, Name: name, Spec: []byte(`{"cases":[{"request":"` + quarantined + `"},{"request":"` + other + `"}]}`)})
		assert.NilError(t, err)
	}
	request, err := parseFingerprint(quarantined)
	assert.NilError(t, err)
	released, err := release(ctx, store, request)
	assert.NilError(t, err)
	assert.DeepEqual(t, released, []string{"one", "two"})
	listing, err := store.List(ctx, gateway.Quarantines)
	assert.NilError(t, err)
	for _, object := range listing.Objects {
		quarantine, err := gateway.ReadQuarantine(object.Spec)
		assert.NilError(t, err)
		assert.Equal(t, len(quarantine.Cases), 1)
		assert.Equal(t, quarantine.Released[0].Request, request)
	}
	_, err = release(ctx, store, request)
	assert.ErrorContains(t, err, "is not in quarantine")
	_, err = parseFingerprint("abc")
	assert.ErrorContains(t, err, "32 hexadecimal digits")
}
