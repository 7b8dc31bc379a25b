package host

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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
			links.CloseUnused(addressesInUse(dir, []string{"127.0.0.1:3"}))
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

// Symptom: a router runs out of connections although nobody sends requests.
// Sequence: callers open connections and send their headers byte by byte, or
// headers without end.
// Cause: nothing bounded the time or the size of a request's headers.
func TestSlowAndEndlessHeadersAreCutOff(t *testing.T) {
	rows := []struct {
		name string
		send string
		want string
	}{
		{"slow", "GET / HTTP/1.1\r\nHost: x\r\nX-Slow: ", ""},
		{"endless", "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 3*maxHeaderBytes), "431"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			server := newHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				t.Error("a request without its end was served")
			}))
			assert.Assert(t, server.ReadHeaderTimeout > 0 && server.ReadTimeout > 0 && server.IdleTimeout > 0)
			server.ReadHeaderTimeout = 50 * time.Millisecond
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			_, _ = io.WriteString(conn, row.send)
			answer, _ := io.ReadAll(conn) // ends when the server hangs up
			assert.Assert(t, strings.Contains(string(answer), row.want), "got %q", answer)
		})
	}
}
