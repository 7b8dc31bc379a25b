// Package host implements the two daemons of a host, the controller and the router: it
// reads their settings, wires their parts together and runs them until they are stopped.
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

	"cicadarouter/directory"
	"cicadarouter/link"
)

// Limits of the HTTP servers. They bound how long a caller can hold a connection by
// sending its headers or body slowly.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// newHTTPServer returns an HTTP server with the limits of this package.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// ListenError reports that a daemon can't listen on an address.
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

// serveHTTP serves until the server is shut down, and logs any other error.
func serveHTTP(server *http.Server, listener net.Listener, logger *log.Logger) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		logger.Error("HTTP server ended", "address", listener.Addr().String(), "error", eris.ToString(err, false))
	}
}

// serveGRPC serves until the server is stopped, and logs any other error.
func serveGRPC(server *grpc.Server, listener net.Listener, logger *log.Logger) {
	if err := server.Serve(listener); err != nil {
		logger.Error("link server ended", "address", listener.Addr().String(), "error", eris.ToString(err, false))
	}
}

// closeUnusedInterval is the interval at which connections are compared with the host list.
// links.Keep closes a connection after 12 comparisons in a row that don't find its
// address. That takes two minutes, which is longer than any request's deadline, so no
// request is cut off.
const closeUnusedInterval = 10 * time.Second

// closeUnusedLinks closes connections to hosts that have left the host list, until the context
// ends. Hosts are replaced often, and each new one has its own addresses; without this,
// the attempts to reconnect to the old ones would never end.
func closeUnusedLinks(ctx context.Context, dir *directory.Directory, links *link.Pool, seeds []string) {
	ticker := time.NewTicker(closeUnusedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			links.CloseUnused(addressesInUse(dir, seeds))
		case <-ctx.Done():
			return
		}
	}
}

// addressesInUse returns the addresses of the settings and of the host list. It returns
// nil if the host list is empty, because then no host is known to have left.
func addressesInUse(dir *directory.Directory, seeds []string) map[string]bool {
	hosts := dir.Hosts()
	if len(hosts) == 0 {
		return nil
	}
	inUse := map[string]bool{}
	for _, seed := range seeds {
		inUse[seed] = true
	}
	for _, host := range hosts {
		inUse[host.Link] = true
		inUse[host.RouterLink] = true
	}
	return inUse
}

// stopGRPC stops a link server gracefully, or at once when the context ends.
func stopGRPC(ctx context.Context, server *grpc.Server) {
	stopped := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		server.Stop()
	}
}
