package backendlink

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// serveConns serves each connection to a listener of its own, whose address it returns.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func newGet(t *testing.T) *http.Request {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://server/", nil)
	assert.NilError(t, err)
	return request
}
