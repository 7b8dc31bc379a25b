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

// An upload that its caller breaks off ends at the server too, before the request's deadline, and never
// as a whole one.
func TestUploadThatIsBrokenOffReachesNoServerAsWhole(t *testing.T) {
	const whole = 90_000
	for _, framing := range []framing{byLength, byChunks} {
		for _, sent := range []int{1_000, 64<<10 - 1, 64 << 10, 64<<10 + 1, 80_000, whole - 1, whole} {
			for _, halfClosed := range []bool{true, false} {
				if sent == whole && framing == byLength {
					continue // is whole
				}
				t.Run(fmt.Sprintf("%s, %d bytes, half closed %t", framing, sent, halfClosed), func(t *testing.T) {
					s := newSite(t)
					ended := s.startUploadReader()
					s.configure(3, "")
					h := s.startHost("one")
					checkUploadIsBrokenOff(t, h, framing, sent, whole, halfClosed, ended)
				})
			}
		}
	}
}

// startUploadReader starts a server that reads uploads, and returns how the reading of each ended.
func (s *site) startUploadReader() <-chan error {
	ended := make(chan error, 4)
	s.register("reads", "free", s.listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set(platformtest.SignatureHeader, "s")
		_, err := io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/once/upload" {
			ended <- err
		}
	})), "ready")
	return ended
}

// checkUploadIsBrokenOff breaks an upload off and checks that the server notices before the request's
// deadline.
func checkUploadIsBrokenOff(t *testing.T, h *hostUnderTest, framing framing, sent, whole int, halfClosed bool, ended <-chan error) {
	t.Helper()
	const deadline = 10 * time.Second
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.callers.URL, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	header := fmt.Sprintf("Content-Length: %d\r\n\r\n", whole)
	body := strings.Repeat("u", sent)
	if framing == byChunks {
		header, body = "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", sent, body)
	}
	_, err = fmt.Fprintf(conn, "POST /once/upload HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %d\r\nX-Deadline-Ms: %d\r\n%s%s",
		requests.Add(1), deadline.Milliseconds(), header, body)
	assert.NilError(t, err)
	status := "none"
	if halfClosed {
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			status = response.Status
			assert.Assert(t, response.StatusCode >= http.StatusBadRequest, "status %s", status)
		}
	} else {
		assert.NilError(t, conn.Close())
	}
	if sent > 64<<10 { // the server has received a part
		select {
		case err := <-ended:
			assert.Assert(t, err != nil, "the server took the upload for whole")
		case <-time.After(2 * time.Second):
			t.Fatalf("the server still waits for the rest, or never began; the caller got status %s", status)
		}
	}
	assert.Equal(t, len(ended), 0)
}

// The same through two hosts.
func TestForwardedUploadThatIsBrokenOffReachesNoServerAsWhole(t *testing.T) {
	const whole = 90_000
	s, cut := newSiteWithoutLinksAt(t)
	for i := range 6 {
		s.remove("servers", fmt.Sprintf("f%d", i))
	}
	ended := s.startUploadReader()
	s.eventually("the peers use this server only", func() bool {
		for range 30 {
			if got := s.call(cut, http.MethodGet, "/free/x", "", ""); got.status != http.StatusOK || got.body != "" {
				return false
			}
		}
		return true
	})
	for _, framing := range []framing{byLength, byChunks} {
		for _, halfClosed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, half closed %t", framing, halfClosed), func(t *testing.T) {
				checkUploadIsBrokenOff(t, cut, framing, 80_000, whole, halfClosed, ended)
			})
		}
	}
}
