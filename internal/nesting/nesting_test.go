package nesting

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawJSON draws a value that is nested at most some levels deep.
func drawJSON(t *rapid.T, levels int) any {
	switch kind := rapid.IntRange(0, 6).Draw(t, "kind"); {
	case kind < 2 && levels > 0:
		values := []any{}
		for range rapid.IntRange(0, 3).Draw(t, "values") {
			values = append(values, drawJSON(t, levels-1))
		}
		return values
	case kind < 5 && levels > 0:
		fields := map[string]any{}
		for range rapid.IntRange(0, 3).Draw(t, "fields") {
			fields[drawText(t)] = drawJSON(t, levels-1)
		}
		return fields
	}
	return drawText(t)
}

// drawText draws a string of bytes that matter to a scanner of JSON.
func drawText(t *rapid.T) string {
	return rapid.StringOfN(rapid.SampledFrom([]rune("[]{}\"\\,: ax\n")), 0, 6, -1).Draw(t, "text")
}

// limitedValue returns a value with null in place of what is nested more than some levels deep.
func limitedValue(value any, levels int) any {
	switch nested := value.(type) {
	case []any:
		if levels == 0 {
			return nil
		}
		limited := []any{}
		for _, each := range nested {
			limited = append(limited, limitedValue(each, levels-1))
		}
		return limited
	case map[string]any:
		if levels == 0 {
			return nil
		}
		limited := map[string]any{}
		for name, each := range nested {
			limited[name] = limitedValue(each, levels-1)
		}
		return limited
	}
	return value
}

// Limiting the nesting of encoded values gives the same as limiting that of the values.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value, levels := drawJSON(t, 8), rapid.IntRange(0, 8).Draw(t, "levels")
		document, err := json.Marshal(value)
		assert.NilError(t, err)
		limited, cut := limit(document, levels)
		var got any
		assert.NilError(t, json.Unmarshal(limited, &got))
		want := limitedValue(value, levels)
		assert.DeepEqual(t, got, want)
		assert.Equal(t, cut, !reflect.DeepEqual(want, value))
	})
}

// A document that is no JSON stays one.
func TestLimitOfBrokenDocuments(t *testing.T) {
	for _, document := range []string{"", "[", "[[[", "]]]", "}{", `"`, `"\`, "[[[]", `[["]"`, "[[[1]]}", strings.Repeat("[", 1<<20)} {
		limited, _ := limit([]byte(document), 1)
		assert.Check(t, !json.Valid(limited), "%.20q became %.20q", document, limited)
	}
}
