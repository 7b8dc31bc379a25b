package host

import (
	"testing"

	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"cicadarouter/contract/platform"
	"cicadarouter/directory"
	"cicadarouter/link"
)

// Symptom: a daemon's connections and its attempts to reach hosts grow for days.
// Sequence: hosts are replaced, each time under new addresses.
// Cause: nothing closed the connections to hosts that were gone.
func TestConnectionsToGoneHostsAreClosed(t *testing.T) {
	dir := directory.New()
	links := link.NewPool(insecure.NewCredentials())
	defer links.Close()
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"} {
		links.Control(address)
	}
	const longEnough = 20
	keep := func(calls int) {
		for range calls {
			links.Keep(addressesInUse(dir, []string{"127.0.0.1:3"}))
		}
	}
	keep(longEnough)
	assert.Equal(t, links.Len(), 4, "without a host list nothing is known to be gone")
	dir.SetHosts([]platform.Host{{Name: "h", Link: "127.0.0.1:1", RouterLink: "127.0.0.1:2"}})
	keep(1)
	assert.Equal(t, links.Len(), 4, "a host that has just left the list may still finish requests")
	keep(longEnough)
	assert.Equal(t, links.Len(), 3)
}
