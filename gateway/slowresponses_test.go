package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/contract/objects/memobjects"
	"cicadarouter/host/logs"
	"cicadarouter/keyspace"
	"cicadarouter/platform"
)

// slowTransfer is how long 1 MB takes at 10 Mbit/s.
const slowTransfer = 800 * time.Millisecond

// Guards against hosts that give up a long response of the store again and again because the store answers
// other calls meanwhile.
func TestWatchBeingAnsweredIsNotGivenUp(t *testing.T) {
	var watches atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("wait-ms") == "0" {
			_, _ = io.WriteString(w, `{"events":[],"as-of":5}`)
			return
		}
		watches.Add(1)
		_, _ = io.WriteString(w, `{"events":[`)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(slowTransfer):
			_, _ = io.WriteString(w, `],"as-of":9}`)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	g := New(Identity{}, Platform{Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://")), Registry: kindNames{}}, logs.Discard())
	defer g.endBackground()
	g.freshness.noteRevision("configurations", 5, true)
	g.freshness.setControlling(g.now(), true) // the copy is not verified, so the watch is a short one
	for range 3 {
		got, ended, err := g.fetchNext(context.Background(), follower{kind: "configurations"}, true, 5)
		assert.NilError(t, err)
		assert.Check(t, !ended, "the watch was given up")
		assert.Equal(t, got.listing.Revision, uint64(9))
	}
	assert.Equal(t, watches.Load(), int64(3))
}

// Guards against controllers that give up a long record again and again, while it is being sent, because
// the store answers other calls meanwhile.
func TestWriteBeingSentIsNotGivenUp(t *testing.T) {
	const size = 16 << 20 // more than the kernel buffers
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			time.Sleep(slowTransfer)
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, `{"metadata":{"name":"s","revision":7}}`)
			return
		}
		_, _ = io.WriteString(w, `{"events":[],"as-of":5}`)
	}))
	defer server.Close()
	g := New(Identity{}, Platform{Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://")), Registry: kindNames{}}, logs.Discard())
	defer g.endBackground()
	ctx, cancel := g.withLossDetected(context.Background(), "put", Assignments, 0)
	defer cancel()
	spec := []byte(`"` + strings.Repeat("x", size) + `"`)
	_, err := g.store.Put(ctx, objects.Object{Kind: Assignments, Name: "s", Spec: spec})
	assert.NilError(t, err)
}

// Guards against a controller that writes nothing for over a second after a silence of the store because
// it waits for a write that the silence has lost.
func TestLostWriteIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &silentStore{Store: memobjects.New()}
		g := New(Identity{Host: "one"}, Platform{Store: store, Registry: kindNames{}}, logs.Discard())
		defer g.endBackground()
		c := &serviceControl{service: newService("s", Identity{Incarnation: 1}, true, g.now)}
		ended := make(chan error, 1)
		store.silence.Set(true)
		go func() {
			_, err := g.putRecord(context.Background(), c, &keyspace.Record{}, 0)
			ended <- err
		}()
		time.Sleep(400 * time.Millisecond)
		store.silence.Set(false)
		end := time.Now()
		assert.ErrorIs(t, <-ended, objects.ErrUnknown)
		assert.Assert(t, time.Since(end) <= g.freshness.probeInterval(), "%v after the end of the silence", time.Since(end))
	})
}
