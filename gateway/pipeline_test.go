package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// Guards against responses that are out of order or mixed up when a caller pipelines requests on
// one connection.
func TestRequestsOnOneConnectionAreAnsweredInOrder(t *testing.T) {
	const n = 8
	s := newSite(t)
	s.configure(1, "")
	s.startServer("free-1", "free", false)
	s.startServer("free-2", "free", false)
	h := s.startHost("h")
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.callers.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	var sent strings.Builder
	var ids []string
	for i := range n {
		id := platformtest.RequestID("pipeline", time.Now(), int64(i))
		ids = append(ids, id)
		fmt.Fprintf(&sent, "GET /free/%d HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", i, id)
	}
	_, err = io.WriteString(conn, sent.String())
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, response.Header.Get("X-Request-Id"), id)
	}
}
