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

func open(t *testing.T, domain string) (*standin.Platform, *httpstore.Client) {
	served := standin.NewPlatform()
	server := httptest.NewServer(served.Handler())
	t.Cleanup(server.Close)
	return served, httpstore.New(strings.TrimPrefix(server.URL, "http://"), domain)
}

func TestConformanceOverHTTP(t *testing.T) {
	conformance.Run(t, func(t *testing.T) (platform.Store, func([]platform.Host)) {
		served, client := open(t, "a")
		return client, served.SetHosts
	})
}

// TestStoreFaults has one row for each way in which the platform fails.
func TestStoreFaults(t *testing.T) {
	envelope := record.Envelope{Kind: record.KindService, Name: "x", Schema: record.SchemaV2, Spec: []byte(`{}`)}
	rows := []struct {
		name    string
		faults  standin.PlatformFaults
		applied bool // the write took effect all the same
	}{
		{"down", standin.PlatformFaults{Down: true}, false},
		{"cut off from the caller's domain", standin.PlatformFaults{Cut: []string{"a"}}, false},
		{"reply lost after the write took effect", standin.PlatformFaults{LoseReplies: 1}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			served, client := open(t, "a")
			served.SetFaults(row.faults)
			_, err := client.Update(context.Background(), envelope, 0)
			assert.Assert(t, errors.Is(err, platform.ErrUnavailable), "got %v", err)
			_, err = served.Store().Get(context.Background(), envelope.Ref())
			assert.Equal(t, err == nil, row.applied)
		})
	}
}

// A store that goes down answers no watch: the watcher must not take the end of
// its wait for news that nothing has changed.
func TestWatchFailsWhenStoreGoesDown(t *testing.T) {
	served, client := open(t, "a")
	served.SetFaults(standin.PlatformFaults{Down: true})
	_, err := client.Watch(context.Background(), 0, time.Millisecond)
	assert.Assert(t, errors.Is(err, platform.ErrUnavailable), "got %v", err)
}

func TestCallsAreCounted(t *testing.T) {
	served, client := open(t, "a")
	_, _ = client.List(context.Background())
	_, _ = client.Watch(context.Background(), 0, time.Millisecond)
	_, _ = client.Update(context.Background(), record.Envelope{Kind: record.KindService, Name: "x"}, 0)
	counts := served.Counts()
	assert.Equal(t, counts, standin.PlatformCounts{Reads: 1, Writes: 1, Watches: 1})
}
