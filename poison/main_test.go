package poison

import (
	"testing"

	"cicadarouter/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }
