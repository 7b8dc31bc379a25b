package directory_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadarouter/contract/platform"
	"cicadarouter/directory"
	"cicadarouter/record"

	"cicadarouter/internal/fixedseed"
)

// TestMain fixes the seed of the stateful tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

func service(version uint64, deadline int, deleted bool) platform.Object {
	spec, _ := json.Marshal(map[string]any{"domains": []string{"a"}, "deadlineMillis": deadline})
	return platform.Object{
		Envelope: record.Envelope{Kind: record.KindService, Name: "s", Schema: record.SchemaV2, Spec: spec},
		Version:  version, Deleted: deleted,
	}
}

// TestNeverReverts: whatever versions come, from stale and fresh peers in any
// order, what is in force is the highest that came, deletions included; and a
// consumer that is fed by deltas ends with the same.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, consumer := directory.New(), directory.New()
		var seq, highest uint64
		deleted := map[uint64]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				got, ok := source.Service("s")
				if ok != (highest > 0 && !deleted[highest]) {
					t.Fatalf("version %d deleted %t, service there %t", highest, deleted[highest], ok)
				}
				if ok && got.DeadlineMillis != int(highest) {
					t.Fatalf("version %d in force, highest seen %d", got.DeadlineMillis, highest)
				}
			},
			"apply": func(t *rapid.T) {
				version := uint64(rapid.IntRange(1, 30).Draw(t, "version"))
				if _, known := deleted[version]; !known {
					deleted[version] = rapid.Bool().Draw(t, "deleted")
				}
				source.Apply([]platform.Object{service(version, int(version), deleted[version])}, version)
				highest = max(highest, version)
			},
			"feed": func(t *rapid.T) {
				delta, _ := source.Since(seq, directory.ControllerRecords("h", "a"))
				seq = delta.Seq
				consumer.Take(directory.UpdateToLink(delta))
				want, there := source.Service("s")
				got, ok := consumer.Service("s")
				if ok != there || ok && got.DeadlineMillis != want.DeadlineMillis {
					t.Fatalf("consumer has %v, source %v", got, want)
				}
			},
		})
	})
}

// A record that does not decode leaves its last good version in force.
func TestBrokenRecordChangesNothing(t *testing.T) {
	d := directory.New()
	d.Apply([]platform.Object{service(1, 100, false)}, 1)
	d.Apply([]platform.Object{service(2, -5, false)}, 2)
	got, ok := d.Service("s")
	assert.Assert(t, ok)
	assert.Equal(t, got.DeadlineMillis, 100)
	assert.Equal(t, len(d.Rejected()), 1)
}

// An empty host list is what a failing platform gives; nobody is gone.
func TestEmptyHostListIsIgnored(t *testing.T) {
	d := directory.New()
	d.SetHosts([]platform.Host{{Name: "h", Domain: "a"}})
	d.SetHosts(nil)
	assert.Equal(t, len(d.Hosts()), 1)
}
