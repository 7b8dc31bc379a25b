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

// Guards against connections and reconnection attempts accumulating over days, which
// happens if connections to hosts that were replaced under new addresses aren't closed.
func TestConnectionsToGoneHostsAreClosed(t *testing.T) {
	dir := directory.New()
	links := link.NewPool(insecure.NewCredentials())
	defer links.Close()
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"} {
		links.Control(address)
	}
	const enoughCalls = 20
	keepInUse := func(calls int) {
		for range calls {
			links.CloseUnused(addressesInUse(dir, []string{"127.0.0.1:3"}))
		}
	}
	keepInUse(enoughCalls)
	assert.Equal(t, links.Len(), 4, "no connection is closed without a host list")
	dir.SetHosts([]platform.Host{{Name: "h", Link: "127.0.0.1:1", RouterLink: "127.0.0.1:2"}})
	keepInUse(1)
	assert.Equal(t, links.Len(), 4, "a host that has just left the list may still be finishing requests")
	keepInUse(enoughCalls)
	assert.Equal(t, links.Len(), 3)
}

// Guards against a router running out of connections because callers send headers byte
// by byte or without end, which happens if neither the time nor the size of a request's
// headers is limited.
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
				t.Error("an incomplete request was passed to the handler")
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
			response, _ := io.ReadAll(conn) // returns when the server closes the connection
			assert.Assert(t, strings.Contains(string(response), row.want), "got %q", response)
		})
	}
}
