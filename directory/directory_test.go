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

// TestNeverReverts applies versions in any order, as current and outdated peers
// send them. The highest version, which may be a deletion, must be the one in use,
// and a consumer that receives deltas must reach the same state.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, consumer := directory.New(), directory.New()
		var seq, highest uint64
		deleted := map[uint64]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				got, ok := source.Service("s")
				if ok != (highest > 0 && !deleted[highest]) {
					t.Fatalf("version %d deleted %t, service exists %t", highest, deleted[highest], ok)
				}
				if ok && got.DeadlineMillis != int(highest) {
					t.Fatalf("version %d in use, highest applied %d", got.DeadlineMillis, highest)
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
				delta, _ := source.Since(seq, directory.ControllerFilter("h", "a"))
				seq = delta.Seq
				consumer.ApplyUpdate(directory.UpdateToLink(delta))
				want, exists := source.Service("s")
				got, ok := consumer.Service("s")
				if ok != exists || ok && got.DeadlineMillis != want.DeadlineMillis {
					t.Fatalf("consumer has %v, source %v", got, want)
				}
			},
		})
	})
}

// A record that cannot be decoded leaves its last valid version in use.
func TestBrokenRecordChangesNothing(t *testing.T) {
	d := directory.New()
	d.Apply([]platform.Object{service(1, 100, false)}, 1)
	d.Apply([]platform.Object{service(2, -5, false)}, 2)
	got, ok := d.Service("s")
	assert.Assert(t, ok)
	assert.Equal(t, got.DeadlineMillis, 100)
	assert.Equal(t, len(d.Rejected()), 1)
}

// A failing platform may return an empty host list. The hosts must be kept.
func TestEmptyHostListIsIgnored(t *testing.T) {
	d := directory.New()
	d.SetHosts([]platform.Host{{Name: "h", Domain: "a"}})
	d.SetHosts(nil)
	assert.Equal(t, len(d.Hosts()), 1)
}
