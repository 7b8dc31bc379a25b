package standin_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/platform"
	"cicadarouter/contract/platform/conformance"
	"cicadarouter/contract/platform/httpstore"
	"cicadarouter/record"
	"cicadarouter/standin"
)

func startPlatform(t *testing.T, domain string) (*standin.Platform, *httpstore.Client) {
	platformServer := standin.NewPlatform()
	server := httptest.NewServer(platformServer.Handler())
	t.Cleanup(server.Close)
	return platformServer, httpstore.New(strings.TrimPrefix(server.URL, "http://"), domain)
}

func TestConformanceOverHTTP(t *testing.T) {
	conformance.Run(t, func(t *testing.T) (platform.Store, func([]platform.Host)) {
		platformServer, client := startPlatform(t, "a")
		return client, platformServer.SetHosts
	})
}

// Each injected fault makes a write fail. Only one whose response is lost takes effect.
func TestStoreFaults(t *testing.T) {
	envelope := record.Envelope{Kind: record.KindService, Name: "x", Schema: record.SchemaV2, Spec: []byte(`{}`)}
	rows := []struct {
		name    string
		faults  standin.PlatformFaults
		applied bool // the write took effect although it failed
	}{
		{"down", standin.PlatformFaults{Down: true}, false},
		{"cut off from the caller's domain", standin.PlatformFaults{UnreachableDomains: []string{"a"}}, false},
		{"reply lost after the write took effect", standin.PlatformFaults{DropResponses: 1}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			platformServer, client := startPlatform(t, "a")
			platformServer.SetFaults(row.faults)
			_, err := client.Update(context.Background(), envelope, 0)
			assert.Assert(t, errors.Is(err, platform.ErrUnavailable), "got %v", err)
			_, err = platformServer.Store().Get(context.Background(), envelope.Ref())
			assert.Equal(t, err == nil, row.applied)
		})
	}
}

// Guards against a watch that returns an unchanged snapshot when the store is down: the
// client would conclude that nothing has changed.
func TestWatchFailsWhenStoreGoesDown(t *testing.T) {
	platformServer, client := startPlatform(t, "a")
	platformServer.SetFaults(standin.PlatformFaults{Down: true})
	_, err := client.Watch(context.Background(), 0, time.Millisecond)
	assert.Assert(t, errors.Is(err, platform.ErrUnavailable), "got %v", err)
}

func TestCallsAreCounted(t *testing.T) {
	platformServer, client := startPlatform(t, "a")
	_, _ = client.List(context.Background())
	_, _ = client.Watch(context.Background(), 0, time.Millisecond)
	_, _ = client.Update(context.Background(), record.Envelope{Kind: record.KindService, Name: "x"}, 0)
	counts := platformServer.Counts()
	assert.Equal(t, counts, standin.PlatformCounts{Reads: 1, Writes: 1, Watches: 1})
}
