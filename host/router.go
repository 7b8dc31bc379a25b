package host

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"cicadarouter/directory"
	"cicadarouter/host/logs"
	"cicadarouter/link"
	"cicadarouter/link/linkpb"
	"cicadarouter/router"
)

// RouterDaemon is a router with its listeners.
type RouterDaemon struct {
	settings  RouterSettings
	creds     LinkCredentials
	router    *router.Router
	directory *directory.Directory
	links     *link.Pool
	identity  link.Identity
	log       *log.Logger
}

func routerCredentials(s RouterSettings) (LinkCredentials, error) { return newCredentials(s.TLS) }

func routerIdentity(s RouterSettings) link.Identity {
	return link.Identity{Host: s.Host, Domain: s.Domain}
}

func routerLimits(s RouterSettings) router.Limits {
	limits := router.DefaultLimits()
	limits.InFlight = s.InFlight
	return limits
}

func routerLog(s RouterSettings) *log.Logger {
	return logs.New(os.Stderr, "cicada-router", s.Host, logs.Level(s.LogLevel))
}

// newIncarnation returns a random number that identifies this run of the process. It is
// never 0.
func newIncarnation() uint64 { return rand.Uint64() | 1 }

func wallClock() func() time.Time { return time.Now }

// Run serves until the context ends, then stops gracefully: the health check fails for
// balancer-wait, so that the load balancer stops sending callers; then the listener for
// callers closes, and requests in progress may finish within drain-wait. Dispatch leases
// are handed back.
func (d *RouterDaemon) Run(ctx context.Context) error {
	callersListener, err := listen("callers", d.settings.Callers)
	if err != nil {
		return err
	}
	linkListener, err := listen("the link", d.settings.Link)
	if err != nil {
		return err
	}
	adminListener, err := listen("administration", d.settings.Admin)
	if err != nil {
		return err
	}
	feeding, stopFeed := context.WithCancel(context.Background())
	defer stopFeed()
	go closeUnusedLinks(feeding, d.directory, d.links, d.settings.Controllers)
	go router.Feed(feeding, d.directory, d.links, d.identity, d.settings.Controllers)

	linkServer := link.NewServer(d.creds)
	linkpb.RegisterDispatchServer(linkServer, router.NewLinkServer(d.router))
	callers := newHTTPServer(router.NewFront(d.router))
	admin := newHTTPServer(newAdminHandler(adminRoutes{
		healthy: func() bool { return !d.router.Leaving() && router.Ready(d.directory) },
		status:  func() any { return d.router.Status() },
		extra:   func(out io.Writer) { d.router.WriteMetrics(out) },
	}))
	go serveGRPC(linkServer, linkListener, d.log)
	go serveHTTP(admin, adminListener, d.log)
	go serveHTTP(callers, callersListener, d.log)
	d.log.Info("router started", "domain", d.settings.Domain, "callers", d.settings.Callers)

	<-ctx.Done()
	d.log.Info("router stops", "balancer-wait", d.settings.BalancerWait, "drain-wait", d.settings.DrainWait)
	d.router.Leave()
	time.Sleep(d.settings.BalancerWait)
	stopping, cancel := context.WithTimeout(context.Background(), d.settings.DrainWait)
	defer cancel()
	err = callers.Shutdown(stopping)
	drained := d.router.Drain(stopping)
	stopGRPC(stopping, linkServer)
	d.log.Info("router stopped", "drained", drained)
	d.links.Close()
	if err != nil {
		return err
	}
	return admin.Shutdown(stopping)
}
