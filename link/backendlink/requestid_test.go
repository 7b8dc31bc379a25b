package backendlink

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// exchangeOnce sends a request on a connection of the pool and returns the connection to it.
func exchangeOnce(t *testing.T, pool *Pool, id string) *Exchange {
	t.Helper()
	exchange, err := pool.BeginRequest(t.Context(), id)
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodGet, "http://"+pool.Address()+"/", nil)
	assert.NilError(t, err)
	assert.NilError(t, exchange.Send(request))
	_, err = io.Copy(io.Discard, exchange.Response.Body)
	assert.NilError(t, err)
	exchange.Keep()
	return exchange
}

func newServedPool(t *testing.T) *Pool {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	pool := NewPool(strings.TrimPrefix(server.URL, "http://"), 4, 1<<10)
	t.Cleanup(pool.Close)
	return pool
}

// Guards against sending an ID twice on one connection, and against a retry that adds to the open
// connections of a server.
func TestIDIsSentOnceOnAConnection(t *testing.T) {
	pool := newServedPool(t)
	first := exchangeOnce(t, pool, "a")
	assert.Assert(t, exchangeOnce(t, pool, "b").conn == first.conn)
	second := exchangeOnce(t, pool, "a")
	assert.Assert(t, second.conn != first.conn)
	assert.Equal(t, len(pool.idle), 1, "the new connection takes the place of the first")
	_, err := first.conn.Write([]byte("x"))
	assert.ErrorContains(t, err, "use of closed network connection")
	assert.Assert(t, exchangeOnce(t, pool, "b").conn == second.conn)

	_, err = pool.BeginIdleRequest("b")
	assert.ErrorIs(t, err, ErrNoIdleConn)
	assert.NilError(t, pool.Connect(t.Context()))
	unused, err := pool.BeginIdleRequest("b")
	assert.NilError(t, err)
	assert.Assert(t, unused.conn != second.conn)
	unused.Abort()
	assert.Equal(t, len(pool.idle), 1, "a connection that has carried the ID stays open if another one can be used")
}

// A connection remembers a bounded number of IDs, the latest ones.
func TestSentIDsAreBounded(t *testing.T) {
	var sent sentIDs
	for i := range 3 * maxSentIDs {
		sent.add(newRequestID(strconv.Itoa(i)))
	}
	assert.Equal(t, len(sent.hashes), maxSentIDs)
	for i := range 3 * maxSentIDs {
		assert.Equal(t, sent.contains(newRequestID(strconv.Itoa(i))), i >= 2*maxSentIDs, "ID %d", i)
	}
	assert.Assert(t, !sent.contains(requestID{}))
}
