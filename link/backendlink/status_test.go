package backendlink

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// secondAnswer follows the answer that is played, and belongs to no request unless that one is interim.
const secondAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"

// serveText answers each request with the bytes that text returns for its path, and closes the connection.
func serveText(t *testing.T, text func(path string) string) string {
	t.Helper()
	address, err := platformtest.ServeRaw(t.Context(), func(request *http.Request, _ int) (string, bool) { return text(request.URL.Path), false })
	assert.NilError(t, err)
	return address
}

// fetchBothWays sends a request by Do and as an exchange, and checks that both have the same result.
func fetchBothWays(t *testing.T, pool *Pool, path string) (status int, body string, err error) {
	t.Helper()
	request := newGet(t)
	request.URL.Path = path
	answer, doErr := pool.Do(t.Context(), "", request, func() bool { return true })
	exchange, err := pool.Begin(t.Context())
	assert.NilError(t, err)
	defer exchange.Abort()
	err = exchange.Send(request)
	assert.Equal(t, err != nil, doErr != nil, "%v, %v", err, doErr)
	if err != nil {
		var sendErr *SendError
		assert.Assert(t, errors.As(err, &sendErr) && sendErr.Written, "the request may have run: %v", err)
		return 0, "", err
	}
	data, err := io.ReadAll(exchange.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, exchange.Response.StatusCode)
	assert.Equal(t, string(answer.Body), string(data))
	return answer.Status, string(data), nil
}

// Guards against an answer that has no valid status and is taken for an interim one, so that bytes behind
// it reach the caller as the answer.
func TestStatuses(t *testing.T) {
	texts := []string{"+10", "+20", "-00", "-01", "0x1", "1e2", "2 0", " 20", "20", "2000", "20O", "", "\u0662\u0660\u0660"}
	for status := range 1000 {
		texts = append(texts, fmt.Sprintf("%03d", status))
	}
	pool := NewPool(serveText(t, func(path string) string {
		at, err := strconv.Atoi(path[1:])
		assert.Check(t, err)
		length := "Content-Length: 5\r\n\r\nfirst"
		if status := texts[at]; status == "204" || status == "304" || status < "2" {
			length = "\r\n" // has no body, or would be taken for an interim answer
		}
		return "HTTP/1.1 " + texts[at] + " Text\r\n" + length + secondAnswer
	}), 0, 1<<10)
	defer pool.Close()
	for at, text := range texts {
		got, body, err := fetchBothWays(t, pool, fmt.Sprintf("/%d", at))
		want, notNumber := strconv.Atoi(text)
		switch {
		case notNumber != nil || len(text) != 3 || text[0] < '1' || want > 599 || want == http.StatusSwitchingProtocols:
			assert.Check(t, err != nil, "%q: status %d, body %q", text, got, body)
		case want < http.StatusOK:
			assert.Check(t, err == nil && got == http.StatusOK && body == "second", "%q: status %d, body %q, %v", text, got, body, err)
		default:
			assert.Check(t, err == nil && got == want && body != "second", "%q: status %d, body %q, %v", text, got, body, err)
		}
	}
}
