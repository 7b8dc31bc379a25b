package dispatch_test

import (
	"testing"

	"cicadarouter/internal/fixedseed"
)

// TestMain fixes the seed of the stateful tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }
