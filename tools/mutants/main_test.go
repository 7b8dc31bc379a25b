package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against mutants of code that has changed since: they would break nothing.
func TestMutantsMeetTheCode(t *testing.T) {
	for _, m := range allMutants() {
		text, err := os.ReadFile(filepath.Join("..", "..", m.file))
		assert.NilError(t, err)
		if n := strings.Count(string(text), m.old); n != 1 {
			t.Errorf("%s: %d places in %s", m.name, n, m.file)
		}
	}
}
