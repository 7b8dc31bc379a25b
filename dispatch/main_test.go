package dispatch_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the stateful tests, so that CI gives the same
// verdict every time.
func TestMain(m *testing.M) {
	seeded := false
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}
