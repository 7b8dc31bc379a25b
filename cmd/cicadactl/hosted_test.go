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
	record := keyspace.First(keyspace.Controller{Host: "one"}, []keyspace.Server{{ID: "a", Slots: 1}})
	record.Ranges[0].Former = []keyspace.Holder{{Server: "z", Token: 1}}
	spec, err := json.Marshal(record)
	assert.NilError(t, err)
	put(gateway.Assignments, "owned", string(spec))

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
	assert.Equal(t, len(state.Faults), 1)
	var out bytes.Buffer
	state.table(&out)
	assert.Assert(t, strings.Contains(out.String(), "controller one"), out.String())
}
