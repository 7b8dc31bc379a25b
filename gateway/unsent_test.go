package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/adapter"
	"cicadarouter/fleet"
	"cicadarouter/host/logs"
	"cicadarouter/platform"
	"cicadarouter/routing"
)

// scriptedServers dials connections whose other ends behave as scripted; the last script repeats.
type scriptedServers struct{ scripts []func(net.Conn) }

// DialContext implements backendlink.Dialer.
func (s *scriptedServers) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	script := s.scripts[0]
	if len(s.scripts) > 1 {
		s.scripts = s.scripts[1:]
	}
	script(far)
	return near, nil
}

// answering reads a request and answers it.
func answering(response string) func(net.Conn) {
	return func(conn net.Conn) {
		go func() {
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, response)
			}
			_ = conn.Close()
		}()
	}
}

// Scripts of servers.
var (
	refusing          = answering("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	refusingTruncated = answering("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 99\r\n\r\npart")
	breakingOff       = answering("")
)

// reading nothing makes writes hang before the first byte is written.
func readingNothing(net.Conn) {}

// closed ends the connection before anything is written to it.
func closed(conn net.Conn) { _ = conn.Close() }

// A status of 502 or 504 tells a caller that its request may have run. Guards against telling that of
// requests of which no server got any byte, or which servers refused before running them.
func TestStatusOfRequestsThatReachedNoServer(t *testing.T) {
	for _, c := range []struct {
		name    string
		body    string
		scripts []func(net.Conn)
		want    int
	}{
		{"the deadline passes before the first byte", "", []func(net.Conn){readingNothing}, http.StatusServiceUnavailable},
		{"refused, then the deadline passes before the first byte", "", []func(net.Conn){refusing, readingNothing}, http.StatusServiceUnavailable},
		{"body, the deadline passes before the first byte", "body", []func(net.Conn){readingNothing}, http.StatusServiceUnavailable},
		{"the connection ends before the first byte", "", []func(net.Conn){closed}, http.StatusServiceUnavailable},
		{"body, the connection ends before the first byte", "body", []func(net.Conn){closed}, http.StatusServiceUnavailable},
		{"refused, then the connection ends before the first byte", "body", []func(net.Conn){refusing, closed}, http.StatusServiceUnavailable},
		{"refused, the refusal is truncated", "", []func(net.Conn){refusingTruncated}, http.StatusServiceUnavailable},
		{"may have run", "", []func(net.Conn){breakingOff}, http.StatusBadGateway},
		{"body, may have run", "body", []func(net.Conn){breakingOff}, http.StatusBadGateway},
		{"may have run, then the connection ends before the first byte", "", []func(net.Conn){breakingOff, closed}, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := replyOfScripted(t, c.scripts, c.body)
			assert.Equal(t, got.status, c.want, "%s: %v", got.outcome, got.cause)
		})
	}
}

func replyOfScripted(t *testing.T, scripts []func(net.Conn), body string) *reply {
	t.Helper()
	const timeout = 400 * time.Millisecond
	g := New(Identity{Host: "h", Domain: "a"}, Platform{Registry: kindNames{}, Codec: platform.Codec{}, ServerDialer: &scriptedServers{scripts: scripts}}, logs.Discard())
	g.mu.Lock()
	s := g.newService("free", false)
	g.services["free"] = s
	g.mu.Unlock()
	s.updateServers([]fleet.Server{{ID: "s0", Service: "free", Address: "s0:1", Domain: "a", Slots: 8}}, nil)
	req := &request{Request: adapter.Request{ID: "r"}, httpRequest: httptest.NewRequest(http.MethodGet, "http://site.example/free/x", strings.NewReader(body)), bufferedBody: []byte(body),
		configuration: &routing.Configuration{}, route: &routing.Route{Kind: routing.Kind{Idempotent: true}, MaxAttempts: 2, TargetLatency: time.Second},
		service: s, serviceName: "free", arrivedAt: g.now(), deadline: g.now() + timeout}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return g.forward(ctx, req).withPossibleRun(req)
}
