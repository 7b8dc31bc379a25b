package httpstore

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// Guards against calls to the store that read a response without end until their deadline.
func TestResponsesWithoutEnd(t *testing.T) {
	for _, form := range platformtest.EndlessForms() {
		t.Run(form.String(), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = platformtest.WriteEndless(conn, form, "id") // until the client closes the connection
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err = New(listener.Addr().String(), "a").Watch(ctx, 1, time.Minute)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err())
		})
	}
}
