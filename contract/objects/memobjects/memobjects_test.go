package memobjects

import (
	"testing"

	"cicadarouter/contract/objects"
	"cicadarouter/contract/objects/conformance"
)

func TestConformance(t *testing.T) {
	conformance.Run(t, func(*testing.T) objects.Store { return New() })
}
