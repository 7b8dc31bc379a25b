package memstore_test

import (
	"testing"

	"cicadarouter/contract/platform"
	"cicadarouter/contract/platform/conformance"
	"cicadarouter/contract/platform/memstore"
)

func TestConformance(t *testing.T) {
	conformance.Run(t, func(*testing.T) (platform.Store, func([]platform.Host)) {
		store := memstore.New()
		return store, store.SetHosts
	})
}
