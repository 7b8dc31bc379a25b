package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"cicadarouter/gateway"
	"cicadarouter/host/logs"
	"cicadarouter/platform"
)

const (
	// maxQueuedLogLines is the maximum number of log lines that wait to be written.
	maxQueuedLogLines = 512
	// gcPercent is the garbage collector's target percentage. It is below the default of 100
	// because peak memory is scarcer than the processor time of the additional collections.
	gcPercent = 40
	// runtimeMemoryFraction is the fraction of the allowed memory that the Go runtime may use.
	runtimeMemoryFraction = 0.6
	// readAheadFraction is the fraction of the allowed memory that may buffer responses that
	// callers have not read yet.
	readAheadFraction = 0.0625
	// stopMargin is the time reserved before the process is killed.
	stopMargin = 600 * time.Millisecond
	// abortTimeout bounds the time for sending the responses to requests that are aborted at
	// shutdown.
	abortTimeout = 200 * time.Millisecond
	// settingsCheckInterval is the interval of checks whether the settings file has changed, which
	// works without a signal.
	settingsCheckInterval = 2 * time.Second
	// maxHeaderBytes bounds a request's header before a configuration is in force.
	maxHeaderBytes = 64 << 10
)

// A host below one of these is small. A controller sends each change of an assignment, some 12 KB,
// to all hosts: with 76 hosts these are 7 Mbit, which occupy a link of 10 Mbit/s for most of a
// second and delay the host's own requests.
const (
	smallProcessor = 0.25 // cores
	smallLinkMbps  = 50.0 // Mbit/s
)

// Daemon is the cicada-gateway process.
type Daemon struct {
	settings Settings
	gateway  *gateway.Gateway
	store    *platform.Store
	log      *log.Logger
	logQueue *logs.BoundedWriter
}

func newLines() *logs.BoundedWriter { return logs.NewBoundedWriter(maxQueuedLogLines) }

func newLog(s Settings, lines *logs.BoundedWriter) *log.Logger {
	return logs.New(lines, "cicada-gateway", s.Host, logs.Level(s.LogLevel))
}

func newStore(s Settings) *platform.Store { return platform.NewStore(s.Store) }

func newIdentity(s Settings) gateway.Identity {
	return gateway.Identity{Host: s.Host, Domain: s.Domain, PeerAddress: s.Peers, Incarnation: rand.Uint64() >> 1, FirstStart: s.FirstStart, RetryRatio: s.RetryRatio, RetryReserve: s.RetryReserve, ByPriority: gateway.ByPriority(s.ByPriority),
		ReadAheadLimit: int64(float64(s.MemoryMB) * readAheadFraction * (1 << 20)),
		Seeds:          s.Seeds, ApplyWithin: min(s.ConfigurationWithin, s.DrainWithin), EvacuateWithin: s.EvacuateWithin,
		Small: s.Processor < smallProcessor || s.LinkMbps < smallLinkMbps}
}

func newPlatform(store *platform.Store) gateway.Platform {
	return gateway.Platform{Store: store, Registry: platform.Registry{}, Codec: platform.Codec{}, Keys: platform.NewKeys()}
}

func newDaemon(s Settings, g *gateway.Gateway, store *platform.Store, logger *log.Logger, lines *logs.BoundedWriter) *Daemon {
	return &Daemon{settings: s, gateway: g, store: store, log: logger, logQueue: lines}
}

// listeners are the listening sockets of the process.
type listeners struct{ callers, ready, peers, metrics net.Listener }

func (d *Daemon) listen() (listeners, error) {
	var l listeners
	for _, each := range []struct {
		what, address string
		into          *net.Listener
	}{
		{"callers", d.settings.Callers, &l.callers}, {"readiness checks", d.settings.Ready, &l.ready},
		{"other hosts", d.settings.Peers, &l.peers}, {"metrics", d.settings.Metrics, &l.metrics},
	} {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			return l, eris.Wrapf(err, "listening for %s on %s", each.what, each.address)
		}
		*each.into = listener
	}
	return l, nil
}

// Run serves until the context is done, and then shuts down: readiness checks fail at once, callers
// are served until the load balancer has noticed, requests in progress are completed, and the
// process ends before it would be killed.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(d.settings.MemoryMB) * runtimeMemoryFraction * (1 << 20)))
	stopLog := make(chan struct{})
	var logWriter sync.WaitGroup
	logWriter.Go(func() { d.logQueue.Run(os.Stdout, stopLog) })
	defer logWriter.Wait()
	defer close(stopLog)
	sockets, err := d.listen()
	if err != nil {
		return err
	}
	gatewayCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := &http.Server{Handler: d.gateway, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: updateConnState, ErrorLog: d.log.StandardLog(),
		DisableGeneralOptionsHandler: true} // net/http would answer "OPTIONS *" with a success that no server has sent
	ready := d.newServer(d.readinessHandler())
	peers := d.newServer(d.gateway.PeerHandler())
	metrics := d.newServer(d.metricsHandler())
	go d.serve(callers, callerListener{Listener: sockets.callers, limits: d.gateway.Limits})
	go d.serve(ready, sockets.ready)
	go d.serve(peers, sockets.peers)
	go d.serve(metrics, sockets.metrics)
	go d.watchSettings(gatewayCtx)
	tasks := d.gateway.Start(gatewayCtx)
	d.log.Info("started", "domain", d.settings.Domain, "callers", d.settings.Callers, "store", d.settings.Store)
	<-ctx.Done()
	err = d.shutdown(callers)
	cancel()
	tasks.Wait()
	d.log.Info("stopped", "log-lines-dropped", d.logQueue.Dropped())
	return err
}

// shutdown stops serving callers.
func (d *Daemon) shutdown(callers *http.Server) error {
	d.log.Info("stopping", "leave-for-ms", d.settings.LeaveFor.Milliseconds(), "within-ms", d.settings.StopWithin.Milliseconds())
	within := d.settings.StopWithin - stopMargin
	stopCtx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	d.gateway.Stop(within)
	select {
	case <-time.After(min(d.settings.LeaveFor, within)):
	case <-stopCtx.Done():
	}
	err := callers.Shutdown(stopCtx)
	if err == nil {
		err = d.gateway.AwaitForwarded(stopCtx)
	}
	if err == nil {
		return nil
	}
	d.log.Warn("requests are still in progress at the end of the shutdown time; aborting them", "error", err.Error())
	d.gateway.AbortRequests()
	abortCtx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	if err := errors.Join(callers.Shutdown(abortCtx), d.gateway.AwaitForwarded(abortCtx)); err != nil {
		d.log.Warn("aborted requests were not answered before the process ended", "error", err.Error())
	}
	return nil
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: d.log.StandardLog()}
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		d.log.Error("server stopped accepting connections", "address", listener.Addr().String(), "error", err.Error())
	}
}

func (d *Daemon) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.gateway.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		d.gateway.WriteMetrics(w)
	})
	return mux
}

// watchSettings reloads the settings when the file has changed or on SIGHUP. If the file is
// invalid, the last valid settings stay in effect.
func (d *Daemon) watchSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	lastModified := modificationTime(d.settings.File)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if now := modificationTime(d.settings.File); now.IsZero() || now.Equal(lastModified) {
				continue
			}
		}
		lastModified = modificationTime(d.settings.File)
		d.reload()
	}
}

func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings that can change while the process runs: the store's address and the
// log level. Other changes take effect at the next start.
func (d *Daemon) reload() {
	reloaded, err := Load(d.settings.File)
	if err != nil {
		d.log.Error("settings left aside; the last valid ones stay in effect", "error", err.Error())
		return
	}
	d.store.SetAddress(reloaded.Store)
	d.log.SetLevel(logs.Level(reloaded.LogLevel))
	others := reloaded
	others.Store, others.LogLevel = d.settings.Store, d.settings.LogLevel
	d.log.Info("settings read again", "store", reloaded.Store, "level", reloaded.LogLevel, "others-wait-for-restart", !reflect.DeepEqual(others, d.settings))
}
