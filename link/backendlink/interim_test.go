package backendlink

import (
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an interim answer that is taken for the final one, which then waits on the connection
// for the next request.
func TestInterimAnswerIsNotFinal(t *testing.T) {
	address := serveConns(t, func(conn net.Conn) {
		_, _ = fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
	})
	pool := NewPool(address, 4, 1<<10)
	defer pool.Close()
	answer, err := pool.Do(t.Context(), "id", newGet(t), func() bool { return true })
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200)
	assert.Equal(t, string(answer.Body), "body")
}
