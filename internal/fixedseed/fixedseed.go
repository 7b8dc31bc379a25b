// Package fixedseed gives stateful tests a seed that is the same every time, so
// that CI gives the same verdict. Longer searches pass -rapid.seed themselves.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// seed is the day on which the tests began.
const seed = "20261202"

// Run runs a package's tests; TestMain calls it.
func Run(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", seed); err != nil {
			panic("the tests of this package do not use rapid: " + err.Error())
		}
	}
	os.Exit(m.Run())
}
