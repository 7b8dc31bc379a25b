package backendlink

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against taking a new connection to be to the same server process after the
// process has closed an idle connection before its timeout.
func TestLostIdleConnectionIsTold(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	serverSide := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serverSide <- conn
		}
	}()
	pool := NewPool(listener.Addr().String(), 4, 1<<10)
	defer pool.Close()
	assert.NilError(t, pool.Connect(t.Context()))
	kept, err := pool.Begin(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, !kept.AfterLoss, "the idle connection is still open")
	kept.Abort()
	assert.NilError(t, (<-serverSide).Close())

	assert.NilError(t, pool.Connect(t.Context()))
	assert.NilError(t, (<-serverSide).Close())
	idle := pool.idle[0].Conn
	for idleState(idle) == connOpen { // until the close has arrived
		time.Sleep(time.Millisecond)
	}
	lost, err := pool.Begin(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, lost.AfterLoss)
	lost.Abort()
	assert.NilError(t, (<-serverSide).Close())

	assert.NilError(t, pool.Connect(t.Context()))
	pool.idle[0].reuseUntil = time.Now().Add(-time.Second)
	expired, err := pool.Begin(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, !expired.AfterLoss, "the server may close the connection after its timeout")
	expired.Abort()
}
