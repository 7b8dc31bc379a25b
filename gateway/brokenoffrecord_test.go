package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/adapter"
	"cicadarouter/routing"
)

// Guards against counting a server's response that was broken off after its first part as whole: the
// server's failure was not recorded, and a request that ends its servers in that way was cleared.
func TestResponseThatIsBrokenOffIsRecorded(t *testing.T) {
	const length = 100_000
	for _, c := range []struct {
		name      string
		breaksOff bool
		outcome   string
		count     uint64
		conns     int32
	}{
		{"whole", false, outcomeAnswered, 0, 1},
		{"broken off", true, outcomeBrokenOff, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var conns atomic.Int32
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
				w.Header().Set("X-Upstream-Signature", "s")
				_, _ = fmt.Fprint(w, strings.Repeat("y", length)) // the host may have disconnected
				w.(http.Flusher).Flush()
				if c.breaksOff && r.URL.Path == "/once/first" {
					panic(http.ErrAbortHandler)
				}
			}))
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					conns.Add(1)
				}
			}
			server.Start()
			t.Cleanup(server.Close)
			h := newStrayTestHost(strings.TrimPrefix(server.URL, "http://"))
			first := h.stream(t, "first")
			assert.Equal(t, first.outcome, c.outcome)
			assert.Equal(t, h.metrics.brokenOffResponses.Get(), c.count)
			assert.Equal(t, h.terminations.tracking.Load(), c.breaksOff, "the server owes a response")
			assert.Equal(t, h.service.inFlight(), 0)
			assert.Equal(t, h.stream(t, "second").outcome, outcomeAnswered)
			assert.Equal(t, conns.Load(), c.conns)
		})
	}
}

// stream sends a request that may run only once, writes its reply to a caller and returns it.
func (h *strayTestHost) stream(t *testing.T, id string) *reply {
	const timeout = 5 * time.Second
	incoming := httptest.NewRequest(http.MethodGet, "http://site.example/once/"+id, nil)
	incoming.Header.Set("X-Request-Id", id)
	req := &request{Request: adapter.Request{ID: id}, httpRequest: incoming,
		configuration: &routing.Configuration{}, route: &routing.Route{MaxAttempts: 1, TargetLatency: time.Second},
		service: h.service, serviceName: "free", arrivedAt: h.now(), deadline: h.now() + timeout}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	answer := h.forward(ctx, req)
	func() {
		defer func() { _ = recover() }() // the caller's connection is aborted by a panic
		h.writeReply(httptest.NewRecorder(), incoming, req, answer)
	}()
	return answer
}
