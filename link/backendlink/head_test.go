package backendlink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/platform/platformtest"
)

// callDeadline is far longer than any of these calls takes.
const callDeadline = time.Minute

// Guards against a server that ends a host's process by the head of one answer: without a bound, one
// connection took 1.4 GB in 2 s. The call ends long before its deadline.
func TestHeadsWithoutEnd(t *testing.T) {
	for _, form := range []platformtest.EndlessForm{platformtest.EndlessStatusLine, platformtest.EndlessField, platformtest.EndlessFields, platformtest.EndlessInterims} {
		t.Run(form.String(), func(t *testing.T) {
			address, err := platformtest.ServeEndless(t.Context(), form)
			assert.NilError(t, err)
			pool := NewPool(address, 4, 1<<10)
			pool.Heads = NewHeadQuota(1 << 20)
			defer pool.Close()
			ctx, cancel := context.WithTimeout(t.Context(), callDeadline)
			defer cancel()
			_, doErr := pool.Do(ctx, "id", newGet(t), func() bool { return true })
			exchange, err := pool.BeginRequest(ctx, "id")
			assert.NilError(t, err)
			for _, err := range []error{doErr, exchange.Send(newGet(t))} {
				var sendErr *SendError
				assert.Assert(t, errors.As(err, &sendErr) && sendErr.Written, "%v", err)
				assert.Assert(t, errors.Is(err, ErrHeadTooLarge) || errors.Is(err, ErrInterim), "%v", err)
			}
			assert.NilError(t, ctx.Err())
			assert.Equal(t, pool.Heads.Used(), int64(0))
		})
	}
}

// A body that never ends is not taken for whole, and is bounded by what the caller reads of it.
func TestBodiesWithoutEnd(t *testing.T) {
	for _, form := range []platformtest.EndlessForm{platformtest.EndlessLength, platformtest.EndlessChunks, platformtest.EndlessChunkSize, platformtest.EndlessTrailer, platformtest.EndlessClose} {
		t.Run(form.String(), func(t *testing.T) {
			address, err := platformtest.ServeEndless(t.Context(), form)
			assert.NilError(t, err)
			pool := NewPool(address, 4, 1<<10)
			defer pool.Close()
			ctx, cancel := context.WithTimeout(t.Context(), callDeadline)
			defer cancel()
			_, err = pool.Do(ctx, "id", newGet(t), func() bool { return true })
			var sendErr *SendError
			assert.Assert(t, errors.As(err, &sendErr) && sendErr.Written, "%v", err)
			assert.NilError(t, ctx.Err())
		})
	}
}

// serveHead answers with a head of some fields of a size, and a body.
func serveHead(t *testing.T, fields, size int) string {
	return serveConns(t, func(conn net.Conn) {
		var head strings.Builder
		for i := range fields {
			fmt.Fprintf(&head, "X-Field-%d: %s\r\n", i, strings.Repeat("a", size))
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nbody", head.String())
	})
}

// A large head passes as long as the heads of all answers together leave room for it, and gives that
// back.
func TestLargeHeads(t *testing.T) {
	for _, test := range []struct {
		name         string
		fields, size int
		quota        int64
		tooLarge     bool
	}{
		{"a usual head needs no quota", 20, 100, 0, false},
		{"a large cookie", 1, 60 << 10, 1 << 20, false},
		{"many fields", 400, 100, 1 << 20, false},
		{"no room left", 1, 60 << 10, 16 << 10, true},
		{"beyond the limit", 1, 160 << 10, 1 << 20, true},
		{"fields beyond the limit", 1200, 10, 1 << 20, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := NewPool(serveHead(t, test.fields, test.size), 4, 1<<10)
			pool.Heads = NewHeadQuota(test.quota)
			defer pool.Close()
			exchange, err := pool.BeginRequest(t.Context(), "id")
			assert.NilError(t, err)
			err = exchange.Send(newGet(t))
			assert.Equal(t, errors.Is(err, ErrHeadTooLarge), test.tooLarge, "%v", err)
			if !test.tooLarge {
				assert.NilError(t, err)
				assert.Equal(t, len(exchange.Response.Header), test.fields+1)
				assert.Equal(t, pool.Heads.Used() > 0, test.quota > 0)
				body, err := io.ReadAll(exchange.Response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "body")
				exchange.Keep()
			}
			assert.Equal(t, pool.Heads.Used(), int64(0))
		})
	}
}
