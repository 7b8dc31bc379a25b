package keyspace

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A record is unchanged by encoding and decoding, whatever the number of its ranges.
func TestRecordsAreReadAsTheyWereWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 10, minColumnRanges - 1, minColumnRanges, minColumnRanges + 500}).Draw(t, "servers")
		starts := rapid.Bool().Draw(t, "servers report their starts")
		var servers []Server
		for i := range n {
			server := Server{ID: fmt.Sprintf("s%d", i), Slots: 1}
			if starts && i%3 > 0 {
				server.Start = int64(1_700_000_000_000 + i)
			}
			servers = append(servers, server)
		}
		want := NewRecord(Controller{Host: "one", Relays: []string{"a"}, Hosts: 9}, 1, servers)
		want.Predecessors = []Controller{{Host: "zero"}}
		for range rapid.IntRange(0, 5).Draw(t, "moves") {
			r := &want.Ranges[rapid.IntRange(0, len(want.Ranges)-1).Draw(t, "range")]
			want.LastToken++
			r.reassign(Holder{Server: "next", Token: want.LastToken}, rapid.Bool().Draw(t, "answered"))
		}
		encoded, err := json.Marshal(want)
		assert.NilError(t, err)
		var got Record
		assert.NilError(t, json.Unmarshal(encoded, &got))
		assert.DeepEqual(t, &got, want)
		assert.NilError(t, got.Validate())
	})
}

func TestColumnsThatDoNotFit(t *testing.T) {
	for _, columns := range []string{
		`{"to":"AAE=","servers":"a\\nb","tokens":"","starts":""}`,
		`{"to":"//8=","servers":"a","tokens":"AAAAAAAAAAE=","starts":"AAAA"}`,
		`{"to":"//8=","servers":"a","tokens":"AAAAAAAAAAE=","starts":"AAAAAAAAAAE=","moving":[{"index":1}]}`,
	} {
		var record Record
		var invariant *InvariantError
		assert.Assert(t, errors.As(json.Unmarshal([]byte(`{"term":1,"columns":`+columns+`}`), &record), &invariant), columns)
	}
}

// BenchmarkRecordRead measures what a host spends on decoding an assignment.
func BenchmarkRecordRead(b *testing.B) {
	for _, n := range []int{minColumnRanges - 1, 4018} {
		var servers []Server
		for i := range n {
			servers = append(servers, Server{ID: fmt.Sprintf("i-%010d", i), Start: int64(1_700_000_000_000 + i), Slots: 4})
		}
		record := NewRecord(Controller{Host: "one"}, 0, servers)
		encoded, err := json.Marshal(record)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportMetric(float64(len(encoded))/float64(n), "B/range")
			for b.Loop() {
				var got Record
				if err := json.Unmarshal(encoded, &got); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
