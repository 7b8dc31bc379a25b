package standin_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/backend"
	"cicadarouter/contract/backend/conformance"
	"cicadarouter/record"
	"cicadarouter/standin"
)

// manualClock is a clock that tests advance explicitly.
type manualClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *manualClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

func startServer(t *testing.T, checked bool) conformance.Server {
	clock := &manualClock{now: time.Hour}
	server := standin.NewServer(standin.ServerConfig{Name: "s1", Service: "test", Slots: 2, ChecksTokens: checked}, clock, 7)
	httpServer := httptest.NewServer(server.Handler())
	t.Cleanup(httpServer.Close)
	return conformance.Server{
		Control: backend.NewClient("s1", strings.TrimPrefix(httpServer.URL, "http://"), http.DefaultTransport),
		Hash:    func(key string) uint64 { return record.KeyHash("test", key) },
		Advance: clock.advance,
		Request: func(key, page string, token uint64) backend.Refusal {
			request, err := http.NewRequest(http.MethodPost, httpServer.URL+"/item", nil)
			assert.NilError(t, err)
			request.Header.Set(backend.HeaderKey, key)
			request.Header.Set(backend.HeaderPage, page)
			request.Header.Set(backend.HeaderToken, strconv.FormatUint(token, 10))
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			return backend.Refusal(response.Header.Get(backend.HeaderRefused))
		},
	}
}

func TestCheckedServerConforms(t *testing.T) {
	conformance.Checked(t, func(t *testing.T) conformance.Server { return startServer(t, true) })
}

func TestUncheckedServerConforms(t *testing.T) {
	conformance.Unchecked(t, func(t *testing.T) conformance.Server { return startServer(t, false) })
}
