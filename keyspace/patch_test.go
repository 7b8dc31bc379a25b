package keyspace

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawRecord returns a record of a few ranges in random places.
func drawRecord(t *rapid.T) *Record {
	record := &Record{Term: rapid.Uint64Range(1, 9).Draw(t, "term"), LastToken: 99}
	starts := rapid.SliceOfDistinct(rapid.IntRange(1, 40), rapid.ID).Draw(t, "starts")
	cut := map[int]bool{0: true}
	for _, at := range starts {
		cut[at] = true
	}
	for key := range 41 {
		if !cut[key] {
			continue
		}
		if n := len(record.Ranges); n > 0 {
			record.Ranges[n-1].To = uint16(key - 1)
		}
		r := Range{From: uint16(key), To: LastKey, Holder: Holder{Server: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "owner")), Token: 1}}
		if rapid.Bool().Draw(t, "moving") {
			r.Former = []Holder{{Server: "x", Token: rapid.Uint64Range(1, 2).Draw(t, "token")}}
		}
		record.Ranges = append(record.Ranges, r)
	}
	return record
}

// A patch made of two records, sent as it is between hosts, makes the one into
// the other, and is no longer than what differs.
func TestPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, fresh := drawRecord(t), drawRecord(t)
		if rapid.Bool().Draw(t, "alike") {
			fresh = old.Clone()
			fresh.Ranges[rapid.IntRange(0, len(fresh.Ranges)-1).Draw(t, "changed")].Token = 7
		}
		encoded, err := json.Marshal(Diff(old, fresh))
		assert.NilError(t, err)
		var patch Patch
		assert.NilError(t, json.Unmarshal(encoded, &patch))
		got, err := patch.Apply(old)
		assert.NilError(t, err)
		want, _ := json.Marshal(fresh)
		have, _ := json.Marshal(got)
		assert.Equal(t, string(have), string(want))
	})
}

// A patch of another record is noticed where it does not fit.
func TestPatchOfAnotherRecord(t *testing.T) {
	patch := &Patch{Runs: [][]Range{{{From: 10, To: 19}}}}
	_, err := patch.Apply(&Record{Ranges: []Range{{From: 0, To: LastKey}}})
	var broken *InvariantError
	assert.Assert(t, errors.As(err, &broken))
	_, err = (&Patch{Runs: [][]Range{{}}}).Apply(&Record{Ranges: []Range{{From: 0, To: LastKey}}})
	assert.Assert(t, errors.As(err, &broken))
}

// One move of many ranges makes a patch of a few hundred bytes.
func TestPatchIsSmall(t *testing.T) {
	var servers []Server
	for i := range 170 {
		servers = append(servers, Server{ID: fmt.Sprintf("server-%d", i), Slots: 2})
	}
	old := First(Controller{Host: "one"}, servers)
	fresh := old.Clone()
	fresh.Ranges[50].Former = []Holder{fresh.Ranges[50].Holder}
	fresh.Ranges[50].Holder = Holder{Server: "server-9", Token: 1000}
	patch, _ := json.Marshal(Diff(old, fresh))
	whole, _ := json.Marshal(fresh)
	t.Logf("%d bytes in place of %d", len(patch), len(whole))
	assert.Assert(t, len(patch) < 400)
}
