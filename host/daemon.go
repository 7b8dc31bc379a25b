// Package host is an entry host: it reads the settings of its daemons, wires
// their parts together and runs them until they are told to stop.
package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
)

// Limits of the HTTP servers. A caller that sends its headers or body slowly
// holds a connection no longer than these times.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// newHTTPServer returns an HTTP server with this package's limits.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	Purpose string
	Address string
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "listening for " + e.Purpose + " on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

func listen(purpose, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Purpose: purpose, Address: address, Cause: err}
	}
	return listener, nil
}

// serveHTTP serves until the server is shut down.
func serveHTTP(server *http.Server, listener net.Listener, logger *log.Logger) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		logger.Error("HTTP server ended", "address", listener.Addr().String(), "error", eris.ToString(err, false))
	}
}

func serveGRPC(server *grpc.Server, listener net.Listener, logger *log.Logger) {
	if err := server.Serve(listener); err != nil {
		logger.Error("link server ended", "address", listener.Addr().String(), "error", eris.ToString(err, false))
	}
}

// stopGRPC ends a link server when its calls have ended, or at the context's end.
func stopGRPC(ctx context.Context, server *grpc.Server) {
	ended := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		server.Stop()
	}
}
