package gateway

import (
	"encoding/json"
	"testing"

	"cicadarouter/contract/objects"
	"cicadarouter/host/logs"
	"cicadarouter/platform"
)

// BenchmarkEntriesTaken measures the work of a host on entries that another host passes on in
// batches, until it has 10,000 servers.
func BenchmarkEntriesTaken(b *testing.B) {
	const servers, batch = 10000, 500
	var batches [][]byte
	source := New(Identity{}, Platform{Registry: platform.Registry{}}, logs.Discard())
	for from := 0; from < servers; from += batch {
		encoded, err := json.Marshal(watchResponse{Listing: source.peerListing("servers", serverEntries(from, from+batch))})
		if err != nil {
			b.Fatal(err)
		}
		batches = append(batches, encoded)
	}
	for b.Loop() {
		g := New(Identity{Host: "h", Domain: "a"}, Platform{Registry: platform.Registry{}}, logs.Discard())
		g.services["s"] = g.newService("s", true)
		reader := &entryReader{gateway: g, reported: map[string]uint64{}}
		g.relayCache.update("servers", objects.Listing{}, true)
		for _, encoded := range batches {
			var answer watchResponse
			if err := json.Unmarshal(encoded, &answer); err != nil {
				b.Fatal(err)
			}
			for _, object := range answer.Objects {
				g.applyServerChange(reader, object)
			}
			g.directoryChanged()
			g.relayCache.update("servers", answer.Listing, false)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*servers), "us/entry")
}
