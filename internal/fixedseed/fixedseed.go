// Package fixedseed runs the rapid tests of a package with a fixed seed, so that CI results are
// reproducible. Longer searches pass -rapid.seed.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

const seed = "20261202"

// Run runs the tests of a package. Call it from TestMain.
func Run(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic("setting -rapid.seed, which only test binaries that use rapid define: " + err.Error())
		}
	}
	os.Exit(m.Run())
}
