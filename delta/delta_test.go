package delta

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawDocument(t *rapid.T, name string) []byte {
	parts := rapid.SliceOf(rapid.SampledFrom([]string{`{"a":1},`, `{"a":2},`, `{"b":[{"c":3}]},`, `x`, `{`, `é`})).Draw(t, name)
	return []byte(strings.Join(parts, ""))
}

// A delta, encoded as JSON and decoded, turns the old version into the new one.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, fresh := drawDocument(t, "old"), drawDocument(t, "fresh")
		encoded, err := json.Marshal(Make(old, fresh))
		assert.NilError(t, err)
		var sent Delta
		assert.NilError(t, json.Unmarshal(encoded, &sent))
		got, err := sent.Apply(old)
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(fresh))
	})
}

// A delta that was made from another version or is damaged is rejected.
func TestDeltaOfAnotherVersion(t *testing.T) {
	made := Make([]byte(`[{"a":1},{"a":2}]`), []byte(`[{"a":1},{"a":3}]`))
	var mismatch *MismatchError
	for _, old := range []string{`[{"a":7},{"a":2}]`, `[`, ``} {
		_, err := made.Apply([]byte(old))
		assert.Assert(t, errors.As(err, &mismatch), "applied to %q", old)
	}
	_, err := (&Delta{Steps: []Step{{From: -1, Count: 1}}}).Apply([]byte(`{}`))
	assert.Assert(t, errors.As(err, &mismatch))
}

// A change of one object among hundreds makes a delta of a few hundred bytes.
func TestDeltaIsSmall(t *testing.T) {
	document := func(changed int) []byte {
		var parts []string
		for i := range 400 {
			server := i % 7
			if i == changed {
				server = 9
			}
			parts = append(parts, fmt.Sprintf(`{"from":%d,"to":%d,"server":"server-%d","token":%d}`, i*100, i*100+99, server, i))
		}
		return []byte(`{"ranges":[` + strings.Join(parts, ",") + `]}`)
	}
	old, fresh := document(-1), document(200)
	made, err := json.Marshal(Make(old, fresh))
	assert.NilError(t, err)
	t.Logf("%d bytes in place of %d", len(made), len(fresh))
	assert.Assert(t, len(made) < 300)
}
