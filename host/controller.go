package host

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"cicadarouter/contract/backend"
	"cicadarouter/contract/platform"
	"cicadarouter/contract/platform/httpstore"
	"cicadarouter/directory"
	"cicadarouter/domain"
	"cicadarouter/host/logs"
	"cicadarouter/link"
	"cicadarouter/link/linkpb"
	"cicadarouter/record"
)

// ControllerDaemon is a controller with its listeners.
type ControllerDaemon struct {
	settings   ControllerSettings
	creds      LinkCredentials
	controller *domain.Controller
	directory  *directory.Directory
	links      *link.Pool
	log        *log.Logger
}

func controllerCredentials(s ControllerSettings) (LinkCredentials, error) {
	return newCredentials(s.TLS)
}

func controllerIdentity(s ControllerSettings) link.Identity {
	return link.Identity{Host: s.Host, Domain: s.Domain}
}

func controllerLog(s ControllerSettings) *log.Logger {
	return logs.New(os.Stderr, "cicada-controller", s.Host, logs.Level(s.LogLevel))
}

func controllerStore(s ControllerSettings) platform.Store {
	return httpstore.New(s.Store, s.Domain)
}

func controllerSeeds(s ControllerSettings) domain.Seeds { return s.Peers }

func newLinks(creds LinkCredentials) *link.Pool { return link.NewPool(creds) }

// maxIdleServerConnections is the number of idle connections that a controller keeps open
// to each backend server.
const maxIdleServerConnections = 2

// maxServerHeadBytes is the maximum size of the head of a server's answer to a control call, in bytes.
const maxServerHeadBytes = 16 << 10

// newServerDialer returns a dialer whose clients share one HTTP transport.
func newServerDialer() domain.ServerDialer {
	const idleConnTimeout = 10 * time.Second
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleServerConnections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxServerHeadBytes,
	}
	return func(server record.Server) backend.Control {
		return backend.NewClient(server.Name, server.Address, transport)
	}
}

// shutdownTimeout bounds the shutdown of a controller's administrative interface.
const shutdownTimeout = 5 * time.Second

// Run serves until the context ends, then stops. It doesn't hand its pages over: peers
// take them over once they no longer hear from this controller, long before a lease
// expires.
func (d *ControllerDaemon) Run(ctx context.Context) error {
	linkListener, err := listen("the link", d.settings.Link)
	if err != nil {
		return err
	}
	adminListener, err := listen("administration", d.settings.Admin)
	if err != nil {
		return err
	}
	server := link.NewServer(d.creds)
	linkpb.RegisterControlServer(server, domain.NewLinkServer(d.controller))
	admin := newHTTPServer(newAdminHandler(adminRoutes{
		healthy: func() bool { return ctx.Err() == nil },
		status:  func() any { return d.controller.Status() },
		extra:   func(out io.Writer) { d.controller.WriteMetrics(out) },
	}))
	go closeUnusedLinks(ctx, d.directory, d.links, d.settings.Peers)
	go serveGRPC(server, linkListener, d.log)
	go serveHTTP(admin, adminListener, d.log)
	d.log.Info("controller started", "domain", d.settings.Domain, "link", d.settings.Link)
	d.controller.Run(ctx)
	d.log.Info("controller stops")
	stopping, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	server.Stop()
	d.links.Close()
	return admin.Shutdown(stopping)
}
