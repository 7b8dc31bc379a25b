package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a mutant whose quoted code has changed since: it could not be applied.
func TestMutantsMatchCode(t *testing.T) {
	for _, m := range allMutants() {
		text, err := os.ReadFile(filepath.Join("..", "..", m.file))
		assert.NilError(t, err)
		if n := strings.Count(string(text), m.old); n != 1 {
			t.Errorf("%s: the quoted text occurs %d times in %s, not once", m.name, n, m.file)
		}
	}
}
