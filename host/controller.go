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

// serverIdleConnections is what a controller keeps open to one backend server.
const serverIdleConnections = 2

// newServerDialer shares one transport between the backend servers' clients.
func newServerDialer() domain.ServerDialer {
	const idleFor = 10 * time.Second
	transport := &http.Transport{
		MaxIdleConnsPerHost: serverIdleConnections,
		IdleConnTimeout:     idleFor,
		DisableCompression:  true,
	}
	return func(server record.Server) backend.Control {
		return backend.NewClient(server.Name, server.Address, transport)
	}
}

// stopWait bounds a controller's graceful stop.
const stopWait = 5 * time.Second

// Run serves until the context ends, then stops gracefully: peers take the
// pages over when this controller falls silent, long before a lease lapses.
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
	go tidyLinks(ctx, d.directory, d.links, d.settings.Peers)
	go serveGRPC(server, linkListener, d.log)
	go serveHTTP(admin, adminListener, d.log)
	d.log.Info("controller started", "domain", d.settings.Domain, "link", d.settings.Link)
	d.controller.Run(ctx)
	d.log.Info("controller stops")
	stopping, cancel := context.WithTimeout(context.Background(), stopWait)
	defer cancel()
	server.Stop()
	d.links.Close()
	return admin.Shutdown(stopping)
}
