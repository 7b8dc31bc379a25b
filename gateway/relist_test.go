package gateway

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/objects"
	"cicadarouter/contract/objects/memobjects"
	"cicadarouter/host/logs"
	"cicadarouter/platform"
)

// listingStore is a store with one object of a kind, whose lists can be made to wait.
type listingStore struct {
	*memobjects.Store
	lists atomic.Int64
	// silent makes lists wait until they are canceled.
	silent atomic.Bool
	// listed receives a value for each list.
	listed chan struct{}
}

func newListingStore(t *testing.T) *listingStore {
	t.Helper()
	store := &listingStore{Store: memobjects.New(), listed: make(chan struct{}, 64)}
	_, err := store.Put(context.Background(), objects.Object{Kind: "configurations", Name: "main", Spec: []byte(`{}`)})
	assert.NilError(t, err)
	return store
}

// List implements objects.Store.
func (s *listingStore) List(ctx context.Context, kind string) (objects.Listing, error) {
	s.lists.Add(1)
	s.listed <- struct{}{}
	if s.silent.Load() {
		<-ctx.Done()
		return objects.Listing{}, ctx.Err()
	}
	return s.Store.List(ctx, kind)
}

// startListSource starts a host that lists pages. From page silentFrom on it accepts calls and never
// answers.
func startListSource(t *testing.T, pages, silentFrom int) (address string) {
	t.Helper()
	return startAgedListSource(t, pages, silentFrom, 0)
}

// startAgedListSource is startListSource with the age of the source's copy.
func startAgedListSource(t *testing.T, pages, silentFrom int, age time.Duration) (address string) {
	t.Helper()
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request listRequest
		_ = json.NewDecoder(r.Body).Decode(&request) // the zero request is one for the first page
		page := len(request.After)
		if page >= silentFrom {
			select {
			case <-r.Context().Done():
			case <-ended:
			}
			return
		}
		name := strings.Repeat("n", page+1)
		_ = json.NewEncoder(w).Encode(listResponse{Listing: objects.Listing{Revision: 9, Objects: []objects.Object{{Kind: request.Kind, Name: name, Revision: 9, Spec: []byte(`{}`)}}},
			More: page+1 < pages, AgeMs: age.Milliseconds()})
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(ended) })
	return strings.TrimPrefix(server.URL, "http://")
}

// newListingHost returns a host that follows a source.
func newListingHost(store objects.Store, source string) *Gateway {
	g := New(Identity{}, Platform{Store: store, Registry: kindNames{}}, logs.Discard())
	g.freshness.noteRevision("configurations", 5, true)
	g.freshness.acceptConfirmation(g.now(), confirmationFrom(g.now(), source, nil))
	return g
}

// Guards against hosts that keep an outdated copy for longer than a change may take because the host
// from which they list it has stopped.
func TestListDoesNotWaitForStoppedSource(t *testing.T) {
	const hosts = 12 // all of them list at once
	for name, silentFrom := range map[string]int{"no page is sent": 0, "some pages are sent": 2} {
		t.Run(name, func(t *testing.T) {
			source, store := startListSource(t, 4, silentFrom), newListingStore(t)
			var listing sync.WaitGroup
			for range hosts {
				listing.Go(func() {
					g := newListingHost(store, source)
					began := time.Now()
					got, err := g.list(context.Background(), "configurations", 5)
					assert.Check(t, err)
					assert.Check(t, got.reader == readStore, "listed from %s", got.reader)
					assert.Check(t, time.Since(began) < defaultMaxChangeDelay, "took %v", time.Since(began))
					assert.Check(t, g.freshness.currentSource(g.now()) == "", "the source is still followed for other kinds")
				})
			}
			listing.Wait()
			assert.Equal(t, store.lists.Load(), int64(hosts), "lists of the store")
		})
	}
}

// Guards against a list that waits for a silent store and a stopped host while another host has
// confirmed that it has the objects.
func TestListMovesToNewSource(t *testing.T) {
	store := newListingStore(t)
	store.silent.Store(true)
	g := newListingHost(store, startListSource(t, 1, 0))
	listed := make(chan fetched, 1)
	go func() {
		got, err := g.list(context.Background(), "configurations", 5)
		assert.Check(t, err)
		listed <- got
	}()
	<-store.listed
	other := startListSource(t, 3, 3)
	g.freshness.acceptConfirmation(g.now(), confirmationFrom(g.now(), other, nil))
	select {
	case got := <-listed:
		assert.Equal(t, got.source, other)
		assert.Equal(t, len(got.listing.Objects), 3)
	case <-time.After(15 * time.Second):
		t.Fatal("the host that has confirmed the objects is not asked")
	}
}

// A list from a source that answers makes no call to the store.
func TestListFromSourceSparesStore(t *testing.T) {
	store := newListingStore(t)
	got, err := newListingHost(store, startListSource(t, 3, 3)).list(context.Background(), "configurations", 5)
	assert.NilError(t, err)
	assert.Equal(t, got.reader, readHost)
	assert.Equal(t, len(got.listing.Objects), 3)
	assert.Equal(t, store.lists.Load(), int64(0))
}

// Guards against a list from a host that has not noticed a restore of the store.
func TestListDoesNotReturnToEarlierEra(t *testing.T) {
	store := newListingStore(t)
	g := newListingHost(store, startListSource(t, 1, 1))
	g.era.Store(2)
	got, err := g.list(context.Background(), "configurations", 5)
	assert.NilError(t, err)
	assert.Equal(t, got.reader, readStore)
}

// Guards against hosts that list an outdated copy from another host again and again while the store
// answers.
func TestListIsNotRepeatedAtOutdatedSource(t *testing.T) {
	const sourceRevision = 9
	for name, test := range map[string]struct {
		known uint64
		age   time.Duration
		want  reader
	}{
		"outdated, nothing new":   {sourceRevision, 10 * time.Second, readStore},
		"outdated, but newer":     {sourceRevision - 1, 10 * time.Second, readHost},
		"recent, nothing new":     {sourceRevision, 0, readHost},
		"age unknown to the host": {sourceRevision, math.MaxInt64, readStore},
	} {
		t.Run(name, func(t *testing.T) {
			g := newListingHost(newListingStore(t), startAgedListSource(t, 1, 1, test.age))
			got, err := g.list(context.Background(), "configurations", test.known)
			assert.NilError(t, err)
			assert.Equal(t, got.reader, test.want)
		})
	}
}

// lossyStore answers nothing until it is available again; calls that began before are never answered.
type lossyStore struct {
	*memobjects.Store
	available chan struct{} // closed when it is available again
	lists     atomic.Int64
	probed    chan struct{} // receives a value for each watch
}

func (s *lossyStore) answers() bool {
	select {
	case <-s.available:
		return true
	default:
		return false
	}
}

// List implements objects.Store.
func (s *lossyStore) List(ctx context.Context, kind string) (objects.Listing, error) {
	s.lists.Add(1)
	if s.answers() {
		return s.Store.List(ctx, kind)
	}
	<-ctx.Done()
	return objects.Listing{}, objects.ErrUnknown
}

// Watch implements objects.Store: the history is gone.
func (s *lossyStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (objects.Listing, error) {
	s.probed <- struct{}{}
	if s.answers() {
		return objects.Listing{}, objects.ErrCompacted
	}
	<-ctx.Done()
	return objects.Listing{}, objects.ErrUnknown
}

// Guards against hosts that keep an outdated copy after the store is back because they still wait for
// a list that it never answers.
func TestListDoesNotOutlastSilentStore(t *testing.T) {
	store := &lossyStore{Store: memobjects.New(), available: make(chan struct{}), probed: make(chan struct{}, 64)}
	g := New(Identity{}, Platform{Store: store, Registry: kindNames{}}, logs.Discard())
	listed := make(chan error, 1)
	go func() {
		_, err := g.list(context.Background(), "configurations", 5)
		listed <- err
	}()
	for range 2 { // one call that is not answered has ended
		select {
		case <-store.probed:
		case <-time.After(15 * time.Second):
			t.Fatal("nothing shows whether the store is back")
		}
	}
	assert.Equal(t, store.lists.Load(), int64(1), "lists while the store is silent")
	close(store.available)
	select {
	case err := <-listed:
		assert.NilError(t, err)
	case <-time.After(15 * time.Second):
		t.Fatal("the list is not repeated although the store answers")
	}
	assert.Equal(t, store.lists.Load(), int64(2))
}

// Guards against hosts that list again and again from a busy store, which sends long lists slowly but
// answers other calls.
func TestListBeingAnsweredIsNotRepeated(t *testing.T) {
	const answeredCalls = 3
	var lists, probes atomic.Int64
	probed := make(chan struct{}, 64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") {
			if probes.Add(1) > answeredCalls {
				<-r.Context().Done()
				return
			}
			w.WriteHeader(http.StatusGone)
			probed <- struct{}{}
			return
		}
		lists.Add(1)
		_, _ = io.WriteString(w, `{"items":[`)
		w.(http.Flusher).Flush()
		for range 2 { // a repetition would begin after the first
			select {
			case <-probed:
			case <-time.After(5 * time.Second): // no other call is made
			}
		}
		_, _ = io.WriteString(w, `],"as-of":9}`)
	}))
	defer server.Close()
	g := New(Identity{}, Platform{Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://")), Registry: kindNames{}}, logs.Discard())
	_, err := g.list(context.Background(), "configurations", 5)
	assert.NilError(t, err)
	assert.Equal(t, lists.Load(), int64(1))
}

// Guards against an answer of the store that is followed by the pause which earlier calls without an
// answer have lengthened.
func TestAnswerEndsLongPauses(t *testing.T) {
	pause := minRetryDelay
	for range 5 {
		pause = nextPause(pause, objects.ErrUnknown)
	}
	assert.Equal(t, pause, maxRetryDelay)
	assert.Equal(t, nextPause(pause, &objects.RewoundError{}), minRetryDelay)
	assert.Equal(t, nextPause(pause, objects.ErrCompacted), minRetryDelay)
}
