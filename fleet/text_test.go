package fleet

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestEntriesPassAsText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Server{ID: "i-1", Service: rapid.String().Draw(t, "service"), Address: rapid.StringMatching(`[0-9.]+:[0-9]+`).Draw(t, "address"),
			Domain: rapid.String().Draw(t, "domain"), Slots: rapid.IntRange(1, 1<<30).Draw(t, "slots"), Draining: rapid.Bool().Draw(t, "draining"),
			ColdFor: time.Duration(rapid.IntRange(0, 1<<20).Draw(t, "cold")) * time.Millisecond, Start: rapid.Int64Min(0).Draw(t, "start")}
		text, ok := EncodeEntry(&want)
		if !ok {
			return // hosts send such entries in the registry's format
		}
		got, err := DecodeEntry("i-1", text)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	})
}

func TestInvalidTexts(t *testing.T) {
	for field, text := range map[string]string{
		"fields": "s\ta", "state": "s\ta\td\t4\tgone\t0\t0", "slots": "s\ta\td\tmany\tready\t0\t0",
		"cold": "s\ta\td\t4\tready\t-1\t0", "start": "s\ta\td\t4\tready\t0\t1.5",
	} {
		_, err := DecodeEntry("i-1", text)
		var invalid *EntryError
		assert.Assert(t, errors.As(err, &invalid))
		assert.Equal(t, invalid.Field, field)
	}
}
