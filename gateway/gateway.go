// Package gateway implements the daemon of a host. It accepts callers' requests, forwards each
// to a backend server, follows the server registry and the operator's configuration, and
// assigns keys to servers for the services of which it is the controller.
//
// Goroutines: one per request, one per watched kind of object, and one control loop for the
// assignment of keys. They share state through services, which are locked, and through
// immutable snapshots.
package gateway

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"cicadarouter/contract/adapter"
	"cicadarouter/contract/objects"
	"cicadarouter/fleet"
	"cicadarouter/host/clock"
	"cicadarouter/link/backendlink"
	"cicadarouter/poison"
	"cicadarouter/routing"
)

// Identity identifies this process and holds its settings.
type Identity struct {
	Host   string
	Domain string
	// PeerAddress is the address at which other hosts reach this one.
	PeerAddress string
	// Seeds are addresses of hosts that a newly started host may ask for the state of the
	// store.
	Seeds []string
	// Small hosts claim the controller role later than others.
	Small bool
	// RetryRatio is the share of requests that may be retried, over all hosts; 0 if not
	// configured.
	RetryRatio float64
	// RetryReserve is the number of additional retries that are allowed, over all hosts and
	// within the period over which retries are counted; 0 if not configured.
	RetryReserve float64
	// ByPriority tells for which services the capacity is divided by priority.
	ByPriority ByPriority
	// ApplyWithin is the time within which a change in the store must take effect; 0 if not
	// configured.
	ApplyWithin time.Duration
	// EvacuateWithin is the time after which no request may reach the servers of a failure
	// domain that operators have evacuated; 0 if domains are never evacuated.
	EvacuateWithin time.Duration
	// FirstStart is set if the whole system starts for the first time: no configuration has
	// been in force yet, so this host can't have an outdated one.
	FirstStart bool
	// ReadAheadLimit bounds the memory for response data that callers have not read yet, in
	// bytes, and likewise that for large heads of responses; 0 selects the default.
	ReadAheadLimit int64
	// Incarnation is a random number, different for each start of the process.
	Incarnation uint64
}

// Platform holds the gateway's interfaces to the hosting platform.
type Platform struct {
	Store    objects.Store
	Registry adapter.Registry
	Codec    adapter.Codec
	Keys     adapter.Keys
	// ServerDialer opens the connections that carry requests to backend servers; nil selects
	// the system's.
	ServerDialer backendlink.Dialer
}

// Gateway is the daemon of one host. It is safe for concurrent use.
type Gateway struct {
	identity  Identity
	codec     adapter.Codec
	registry  adapter.Registry
	store     objects.Store
	keys      adapter.Keys
	dialer    backendlink.Dialer // to backend servers
	clock     clock.Clock
	bootClock clock.Clock
	log       *log.Logger
	metrics   *hostMetrics

	// Rate limits for log lines whose number grows with the load. Each kind has its own limit,
	// so that lines of successful requests can't displace those of failed ones.
	requestLogLimit, failureLogLimit, callLogLimit, entryLogLimit, noticeLogLimit *logLimiter

	configuration     routing.ActiveConfiguration
	registryListed    atomic.Bool // the registry has been read at least once
	evacuationsListed atomic.Bool // the evacuations have been read at least once

	// distributeMu serializes distributions: if an earlier one finished last, it would
	// overwrite newer state.
	distributeMu sync.Mutex

	mu        sync.Mutex
	directory *fleet.Directory
	services  map[string]*service

	stop shutdown
	// background ends with the gateway's background goroutines.
	background    context.Context
	endBackground context.CancelFunc
	peers         *forwardPeers
	// forwardedInProgress counts requests that other hosts have forwarded to this one.
	forwardedInProgress forwardedCount
	control             control
	freshness           freshness
	sources             *sources
	storeAvailability   storeAvailability
	storeAnswers        storeAnswers
	terminations        terminationTracker
	serverLimits        noticeLedger[float64] // in requests per second
	leavingServers      noticeLedger[bool]
	// applyLimitsMu ensures that services receive limits in the order in which they changed.
	applyLimitsMu sync.Mutex
	// leavingProbedAt is when servers that had announced their shutdown were last probed; used by
	// the control loop only.
	leavingProbedAt time.Duration
	hosts           hostCount
	relayCache      relayCache
	era             atomic.Uint64 // the store's era, as last reported by the store
	storeCalls      storeCalls
	deltas          deltaCache
	unreadBytes     byteQuota // of response data that callers have not read
	heads           *backendlink.HeadQuota
	peerClient      *http.Client
	wake            chan struct{} // wakes the control loop
}

// New returns a gateway without any state.
func New(identity Identity, platform Platform, logger *log.Logger) *Gateway {
	g := &Gateway{
		identity: identity, codec: platform.Codec, registry: platform.Registry, keys: platform.Keys,
		clock: clock.System(), bootClock: clock.Boot(), log: logger, metrics: newHostMetrics(),
		directory: fleet.NewDirectory(), services: map[string]*service{},
		stop: newShutdown(), peers: newForwardPeers(), control: newControl(), freshness: newFreshness(identity), sources: newSources(identity), deltas: newDeltaCache(identity), peerClient: newPeerClient(), wake: make(chan struct{}, 1),
	}
	g.background, g.endBackground = context.WithCancel(context.Background())
	g.dialer = platform.ServerDialer
	if g.dialer == nil {
		g.dialer = &net.Dialer{}
	}
	g.unreadBytes.limit = cmp.Or(identity.ReadAheadLimit, defaultReadAheadTotalBytes)
	g.heads = backendlink.NewHeadQuota(g.unreadBytes.limit)
	g.metrics.set.NewGauge("cicada_large_head_bytes", func() float64 { return float64(g.heads.Used()) })
	g.metrics.set.NewGauge("cicada_unread_answer_bytes", func() float64 { return float64(g.unreadBytes.used.Load()) })
	g.evacuationsListed.Store(identity.EvacuateWithin == 0) // without evacuations there is nothing to read
	g.store = newObservedStore(platform.Store, g.observeStoreCall, g.observeStaleRead)
	g.metrics.set.NewGauge("cicada_in_flight", g.inFlight)
	g.metrics.set.NewGauge("cicada_hosts", func() float64 { return float64(g.hosts.value()) })
	g.metrics.set.NewGauge("cicada_limited_servers", g.serverLimits.count)
	g.metrics.set.NewGauge("cicada_leaving_servers", g.leavingServers.count)
	g.metrics.set.NewGauge("cicada_resting_servers", g.serversInBackoff)
	g.metrics.set.NewGauge("cicada_links_lost", g.linksLostGauge)
	g.metrics.set.NewGauge("cicada_peers", g.peers.count)
	g.metrics.set.NewGauge("cicada_store_era", func() float64 { return float64(g.era.Load()) })
	g.addCopyMetrics()
	for _, verdict := range []poison.Verdict{poison.Suspected, poison.Quarantined} {
		g.metrics.set.NewGauge(`cicada_judged_requests{verdict="`+verdict.String()+`"}`, g.verdictGauge(verdict))
	}
	g.requestLogLimit = newLogLimiter(logger, g.clock, "request")
	g.failureLogLimit = newLogLimiter(logger, g.clock, "failed request")
	g.callLogLimit = newLogLimiter(logger, g.clock, "key lease call")
	g.entryLogLimit = newLogLimiter(logger, g.clock, "invalid server entry")
	g.noticeLogLimit = newLogLimiter(logger, g.clock, "server notice or reservation")
	return g
}

func (g *Gateway) now() time.Duration { return g.clock.Now() }

// Ready reports whether callers' requests should be routed to this host.
func (g *Gateway) Ready() bool {
	return !g.stop.stopping() && g.configuration.Current() != nil && g.registryListed.Load() && g.evacuationsListed.Load()
}

// Limits returns the limits on callers' requests, which the listener enforces.
func (g *Gateway) Limits() routing.Limits {
	if current := g.configuration.Current(); current != nil {
		return current.Limits
	}
	return routing.Limits{}
}

// service returns the service, or nil if neither the configuration nor the registry names it.
func (g *Gateway) service(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[name]
}

// newService returns a service that requests reservations at rate-limited servers through this host.
// The next distribution passes its servers to it. g.mu must be held.
func (g *Gateway) newService(name string, keyed bool) *service {
	s := newService(name, g.identity, keyed, g.now)
	s.dialer = trackingDialer{Dialer: g.dialer, gateway: g, service: s}
	s.heads = g.heads
	s.requestReservations = g.requestReservations
	s.noteUnexpectedBytes = g.noteUnexpectedBytes
	g.metrics.set.GetOrCreateGauge(`cicada_domains_cut_off{service="`+name+`"}`, s.domains.cutOffGauge)
	g.directory.MarkAllChanged()
	return s
}

// allServices returns all known services.
func (g *Gateway) allServices() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.services))
}

// keyedServices returns the services that are divided by key.
func (g *Gateway) keyedServices() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	var keyed []*service
	for _, s := range g.services {
		if s.view != nil {
			keyed = append(keyed, s)
		}
	}
	return keyed
}

// applyConfiguration applies a configuration if it is newer than the current one.
func (g *Gateway) applyConfiguration(offered *routing.Configuration) {
	before := g.configuration.Current()
	if before != nil && before.Version >= offered.Version {
		if before.Version > offered.Version {
			g.log.Info("ignoring an older configuration", "offered", offered.Version, "in-force", before.Version)
		}
		return
	}
	g.mu.Lock()
	for name, described := range offered.Services {
		if g.services[name] == nil {
			g.services[name] = g.newService(name, described.Keyed)
		}
	}
	g.mu.Unlock()
	g.ensureController()
	g.applyColdStartLimits(offered)
	g.applyPriorities(offered)
	g.applyLimits()
	// Services get their servers first: no request may match a route whose service has none
	// yet.
	g.distributeServers()
	if g.configuration.Update(offered) {
		for _, warning := range offered.Warnings {
			if g.failureLogLimit.allow() {
				g.log.Warn("configuration has a setting that can't be parsed; the strictest value is used", "version", offered.Version, "error", warning.Error())
			}
		}
		g.log.Info("configuration in force", "version", offered.Version, "hosts", len(offered.Hosts), "services", len(offered.Services))
	}
	g.wakeControl()
}

// distributeServers passes servers that have changed to their services.
func (g *Gateway) distributeServers() {
	g.distributeMu.Lock()
	defer g.distributeMu.Unlock()
	for s, changes := range g.takeServerChanges() {
		s.updateServers(changes.changed, changes.removed)
	}
}

// serverChanges are the server changes that concern one service.
type serverChanges struct {
	changed []fleet.Server
	removed []string
}

// takeServerChanges returns the changes of the directory since the last call, by service.
func (g *Gateway) takeServerChanges() map[*service]serverChanges {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed, gone := g.directory.TakeChanges()
	g.noteReplaced()
	g.serverLimits.removeStale(g.now(), g.directory.Contains)
	g.leavingServers.removeStale(g.now(), g.directory.Contains)
	concerns := make(map[*service]serverChanges, len(g.services))
	for name, s := range g.services {
		concerns[s] = g.changesFor(name, changed, gone)
	}
	return concerns
}

// changesFor returns the changes as seen by one service: a server that now belongs to another
// service is gone.
func (g *Gateway) changesFor(service string, changed []fleet.Server, gone []string) serverChanges {
	changes := serverChanges{removed: slices.Clone(gone)}
	for _, server := range changed {
		if server.Service != service {
			changes.removed = append(changes.removed, server.ID)
			continue
		}
		server.Draining = server.Draining || g.leavingServers.value(server.Incarnation())
		changes.changed = append(changes.changed, server)
	}
	return changes
}

// markServerChanged marks a server to be passed to its service again, since the server itself or
// another host has reported something about it.
func (g *Gateway) markServerChanged(server fleet.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.MarkChanged(server.ID)
}

// wakeControl wakes the control loop.
func (g *Gateway) wakeControl() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
