// Package gateway is the daemon of a host: it takes callers' requests, sends
// each to a backend server, follows the registry and the operator's
// configuration, and, where it is the controller of a service, assigns keys.
//
// Goroutines: one a request; one a watched kind; one that controls keys. They
// meet in a service, under its lock, and in immutable snapshots.
package gateway

import (
	"cmp"
	"maps"
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
	"cicadarouter/poison"
	"cicadarouter/routing"
)

// Identity is who this process is.
type Identity struct {
	Host   string
	Domain string
	// Peers is the address at which other hosts reach this one.
	Peers string
	// Seeds are addresses of hosts that one which has just started may ask.
	Seeds []string
	// Small hosts claim control later than others.
	Small bool
	// RetryRatio is the share of requests that operators allow to be sent once
	// more, over all hosts; 0 if they name none.
	RetryRatio float64
	// RetryReserve is how many more operators allow, over all hosts and in the time over
	// which they count; 0 if they name none.
	RetryReserve float64
	// ObeyWithin is the time in which a change in the store has to be obeyed; 0 if
	// operators name none.
	ObeyWithin time.Duration
	// EvacuateWithin is the time after which nothing may reach the servers of a failure
	// domain that operators have evacuated; 0 if no domain ever is.
	EvacuateWithin time.Duration
	// FirstStart is set if the whole system starts for the first time: no
	// configuration has been in force yet that this host could fall behind.
	FirstStart bool
	// ReadAhead bounds what is held of answers that callers have not read, in bytes; 0 for a
	// default.
	ReadAhead int64
	// Incarnation is drawn anew at each start.
	Incarnation uint64
}

// Platform is what the gateway uses of the hosting platform.
type Platform struct {
	Store    objects.Store
	Registry adapter.Registry
	Codec    adapter.Codec
	Keys     adapter.Keys
}

// Gateway is one host's part of the system. It is safe for concurrent use.
type Gateway struct {
	identity Identity
	codec    adapter.Codec
	registry adapter.Registry
	store    objects.Store
	keys     adapter.Keys
	clock    clock.Clock
	boot     clock.Clock
	log      *log.Logger
	counts   *counts

	// Lines that come with the load are bounded, each kind by itself: those of
	// requests that failed must not be crowded out by those that went well.
	requestLines, failureLines, callLines, entryLines, loadLines *lineQuota

	inForce           routing.InForce
	listed            atomic.Bool // the registry has been read once
	evacuationsListed atomic.Bool // and so have the evacuations

	// distributing makes distributions follow each other: an earlier one that ended last
	// would bring back what a later one knew better.
	distributing sync.Mutex

	mu        sync.Mutex
	directory *fleet.Directory
	services  map[string]*service

	stop    stop
	control control
	fresh   freshness
	sources *sources
	reach   storeAvailability
	ends    serverEnds
	limits  notices[float64] // in requests a second
	leaving notices[bool]
	// applyingLimits makes services hear of limits in the order in which they changed.
	applyingLimits sync.Mutex
	// leavingAsked is when servers were last asked that said that they leave; of the
	// control loop.
	leavingAsked time.Duration
	hosts        hostCount
	relay        relayCache
	era          atomic.Uint64 // of the store, as last told
	calls        storeCalls
	deltas       deltaCache
	unread       byteQuota // of answers that callers have not read
	peers        *http.Client
	wake         chan struct{} // the controller has something to do
}

// New returns a gateway that knows nothing yet.
func New(identity Identity, platform Platform, logger *log.Logger) *Gateway {
	g := &Gateway{
		identity: identity, codec: platform.Codec, registry: platform.Registry, keys: platform.Keys,
		clock: clock.System(), boot: clock.Boot(), log: logger, counts: newCounts(),
		directory: fleet.NewDirectory(), services: map[string]*service{},
		stop: newStop(), control: newControl(), fresh: newFreshness(identity.ObeyWithin), sources: newSources(identity), deltas: newDeltaCache(identity), peers: newPeerClient(), wake: make(chan struct{}, 1),
	}
	g.unread.most = cmp.Or(identity.ReadAhead, defaultReadAhead)
	g.counts.set.NewGauge("cicada_unread_answer_bytes", func() float64 { return float64(g.unread.held.Load()) })
	g.evacuationsListed.Store(identity.EvacuateWithin == 0) // then there is nothing to read
	g.store = newCountingStore(platform.Store, g.countStoreCall)
	g.counts.set.NewGauge("cicada_in_flight", g.inFlight)
	g.counts.set.NewGauge("cicada_hosts", func() float64 { return float64(g.hosts.count()) })
	g.counts.set.NewGauge("cicada_limited_servers", g.limits.count)
	g.counts.set.NewGauge("cicada_leaving_servers", g.leaving.count)
	g.counts.set.NewGauge("cicada_resting_servers", g.resting)
	g.counts.set.NewGauge("cicada_store_era", func() float64 { return float64(g.era.Load()) })
	for _, verdict := range []poison.Verdict{poison.Suspected, poison.Quarantined} {
		g.counts.set.NewGauge(`cicada_judged_requests{verdict="`+verdict.String()+`"}`, g.judgedAs(verdict))
	}
	g.requestLines = newLineQuota(logger, g.clock, "request")
	g.failureLines = newLineQuota(logger, g.clock, "request that failed")
	g.callLines = newLineQuota(logger, g.clock, "call about keys")
	g.entryLines = newLineQuota(logger, g.clock, "entry that names no server")
	g.loadLines = newLineQuota(logger, g.clock, "load that can't be read")
	return g
}

func (g *Gateway) now() time.Duration { return g.clock.Now() }

// Ready reports whether callers should be sent here.
func (g *Gateway) Ready() bool {
	return !g.stop.stopping() && g.inForce.Current() != nil && g.listed.Load() && g.evacuationsListed.Load()
}

// Limits returns what callers are held to, for the listener.
func (g *Gateway) Limits() routing.Limits {
	if current := g.inForce.Current(); current != nil {
		return current.Limits
	}
	return routing.Limits{}
}

// service returns the service, or nil if neither the configuration nor the
// registry speaks of it.
func (g *Gateway) service(name string) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[name]
}

// newService returns a service that has places reserved through this host. It is handed its
// servers by the next distribution. g.mu is held.
func (g *Gateway) newService(name string, keyed bool) *service {
	s := newService(name, g.identity, keyed, g.now)
	s.reserve = g.reservePlaces
	g.directory.TouchAll()
	return s
}

// allServices returns the services that are known.
func (g *Gateway) allServices() []*service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.services))
}

// keyedServices returns the services whose keys have owners.
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

// configure puts a configuration in force if it is newer.
func (g *Gateway) configure(offered *routing.Configuration) {
	before := g.inForce.Current()
	if before != nil && before.Version >= offered.Version {
		if before.Version > offered.Version {
			g.log.Info("older configuration passed over", "offered", offered.Version, "in-force", before.Version)
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
	g.coordinate()
	g.limitCold(offered)
	g.applyLimits()
	// Services come first: a request must not meet a route without its service.
	g.distribute()
	if g.inForce.Offer(offered) {
		for _, doubt := range offered.Doubts {
			if g.failureLines.take() {
				g.log.Warn("configuration read with a doubt", "version", offered.Version, "error", doubt.Error())
			}
		}
		g.log.Info("configuration in force", "version", offered.Version, "hosts", len(offered.Hosts), "services", len(offered.Services))
	}
	g.nudge()
}

// distribute hands the servers that have changed to their services.
func (g *Gateway) distribute() {
	g.distributing.Lock()
	defer g.distributing.Unlock()
	for s, changes := range g.takeChanges() {
		s.changeServers(changes.changed, changes.gone)
	}
}

// serverChanges are the changes that concern one service.
type serverChanges struct {
	changed []fleet.Server
	gone    []string
}

// takeChanges returns what has changed in the directory since the last call, by service.
func (g *Gateway) takeChanges() map[*service]serverChanges {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed, gone := g.directory.Changes()
	g.noteReplaced()
	g.limits.retain(g.now(), g.directory.Lists)
	g.leaving.retain(g.now(), g.directory.Lists)
	concerns := make(map[*service]serverChanges, len(g.services))
	for name, s := range g.services {
		concerns[s] = g.changesOf(name, changed, gone)
	}
	return concerns
}

// changesOf returns what changes mean for a service: a server of another one is gone from it.
func (g *Gateway) changesOf(service string, changed []fleet.Server, gone []string) serverChanges {
	changes := serverChanges{gone: slices.Clone(gone)}
	for _, server := range changed {
		if server.Service != service {
			changes.gone = append(changes.gone, server.ID)
			continue
		}
		server.Draining = server.Draining || g.leaving.value(server.Incarnation())
		changes.changed = append(changes.changed, server)
	}
	return changes
}

// touchServer has a server handed to its service again, since other hosts or it itself have
// told something of it.
func (g *Gateway) touchServer(server fleet.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.Touch(server.ID)
}

// nudge wakes the controller.
func (g *Gateway) nudge() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
