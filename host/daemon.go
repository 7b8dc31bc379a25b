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

	"cicadarouter/directory"
	"cicadarouter/link"
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

// tidyEvery is how often connections are compared with the host list. After
// link's number of misses, two minutes, those to hosts that are gone are closed:
// later than any request's deadline.
const tidyEvery = 10 * time.Second

// tidyLinks closes connections to hosts that have left the host list, until the
// context ends. Hosts are replaced all day, each under addresses of its own;
// nothing else would end the attempts to reach the old ones.
func tidyLinks(ctx context.Context, dir *directory.Directory, links *link.Pool, seeds []string) {
	ticker := time.NewTicker(tidyEvery)
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

// addressesInUse are those of the settings and of the host list. Without a host
// list nothing is known to be gone.
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
