package backendlink

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrConnectionLost reports an answer that was cut off because its connection was lost, not ended by the
// server.
var ErrConnectionLost = errors.New("connection was lost before the end of the answer")

// lossDetector reads and writes a connection and tells an end of stream from the loss of the connection.
//
// The kernel reports a reset, or a timeout, to one system call only. If a request is being written at
// that time, the write may get the error, and the read returns an end of stream. An answer that ends with
// its connection would then look complete.
type lossDetector struct {
	conn net.Conn

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

// Write implements io.Writer.
func (d *lossDetector) Write(data []byte) (int, error) {
	d.writing.Lock()
	defer d.writing.Unlock()
	n, err := d.conn.Write(data)
	if d.writeErr == nil {
		d.writeErr = err
	}
	return n, err
}

// Read implements io.Reader. The error is io.EOF only if the server has ended the stream, and
// ErrConnectionLost, wrapped, if the connection was lost.
func (d *lossDetector) Read(into []byte) (int, error) {
	n, err := d.conn.Read(into)
	if errors.Is(err, io.EOF) {
		err = d.streamEnd()
	}
	return n, err
}

// streamEnd returns io.EOF, or the error that a write got in place of the read. A write in progress may
// have got it already. No more data can be read, so the write is interrupted and its result awaited.
func (d *lossDetector) streamEnd() error {
	if err := d.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return fmt.Errorf("%w: %w", ErrConnectionLost, err) // closed by this host
	}
	d.writing.Lock()
	defer d.writing.Unlock()
	if isConnectionLoss(d.writeErr) {
		return fmt.Errorf("%w: %w", ErrConnectionLost, d.writeErr)
	}
	return io.EOF
}

// isConnectionLoss reports whether the error of a write may be one that a read should have got. After an
// end of stream, which arrives behind all data, a reset is reported as EPIPE: the answer is whole, and the
// server reads no more of the request.
func isConnectionLoss(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}
