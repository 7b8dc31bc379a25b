package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fetchHTTP10 requests a response as a caller of HTTP/1.0 would, for whom a response without a length ends
// with its connection. The error is nil if the stream has ended.
func (b brokenOff) fetchHTTP10(t *testing.T, h *hostUnderTest) (head, body string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.callers.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: site.example\r\nX-Request-Id: %0*d\r\n\r\n", b.path(), brokenOffIDLength, requests.Add(1))
	assert.NilError(t, err)
	data, err := io.ReadAll(conn)
	head, body, _ = strings.Cut(string(data), "\r\n\r\n")
	return head, body, err
}

// Guards against a response that was broken off and looks complete to a caller of HTTP/1.0, as its connection
// is closed without a reset.
func TestResponseThatIsBrokenOffDoesNotLookCompleteByHTTP10(t *testing.T) {
	s := newSite(t)
	s.register("breaks-off", "free", s.listenBreakingOff(), "ready")
	s.configure(3, "")
	h := s.startHost("one")
	for _, framing := range []framing{byLength, byChunks, byClose} {
		response := brokenOff{framing: framing, chunk: 8_000, body: 400_000}
		for _, sent := range []int{100_000, 300_000} {
			response.sent, response.reset = sent, framing == byClose
			head, body, err := response.fetchHTTP10(t, h)
			stated := strings.Contains(head, "Content-Length: 400000")
			assert.Check(t, err != nil || stated || !strings.HasPrefix(head, "HTTP/1.0 200"), "%s, %d bytes sent: the stream ends after %d bytes, %q", framing, sent, len(body), head)
		}
		response.sent, response.reset = response.length(), false
		_, body, err := response.fetchHTTP10(t, h)
		assert.Check(t, err == nil && body == responseBody(response.body), "%s: %d bytes of the whole response, %v", framing, len(body), err)
	}
}
