package gateway

import (
	"context"
	"errors"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/host/clock"
)

// The entries of thousands of servers are megabytes. Hundreds of hosts that start within a
// second and all read them from the store keep its link busy for longer than callers wait, so
// a host that starts lists them from a host that already has them.

const (
	// peerListWait is how long a host waits for another one that has the servers: while the
	// whole system starts for the first time, a host that has claimed control; after the loss
	// of all hosts, a relay that has read them.
	peerListWait = 3 * time.Second
	// assignmentsWait is how long a starting host waits until it has read the assignments,
	// which name the relays, or the store has refused to list them.
	assignmentsWait = 5 * time.Second
	// storeReadSpacing is the time per host over which hosts that get no list from others
	// spread their reads of the store.
	storeReadSpacing = 5 * time.Millisecond
	// sourcePollInterval is the interval at which a starting host checks whether it has read
	// the assignments and whether there is another host to list from.
	sourcePollInterval = 20 * time.Millisecond
	// sourceRetryDelay is the pause after a host that could not list the servers.
	sourceRetryDelay = 200 * time.Millisecond
)

var errStaleList = errors.New("the host's view of the store is too old")

// listServersAtStartup lists the servers from another host after the start of the process. ok
// is false if they have to be read from the store.
func (g *Gateway) listServersAtStartup(ctx context.Context) (got fetched, ok bool) {
	if !g.listsServersFromPeers(ctx) {
		return fetched{}, false
	}
	deadline := g.now() + peerListWait + g.storeReadDelay()
	for g.now() < deadline && ctx.Err() == nil && !g.freshness.isController() {
		source := g.startupServerSource()
		if source == "" {
			clock.Sleep(ctx, sourcePollInterval)
			continue
		}
		began := g.now()
		listing, age, err := g.listServersFrom(ctx, source)
		if err == nil {
			return g.listedFrom(listing, source, began, age), true
		}
		g.sources.skip(source)
		g.log.Info("host did not list the servers", "source", source, "error", err.Error())
		clock.Sleep(ctx, sourceRetryDelay)
	}
	return fetched{}, false
}

// storeReadDelay returns how long this host delays its read of the store after it got no list
// from others, so that the hosts' reads are spread.
func (g *Gateway) storeReadDelay() time.Duration {
	return hashedDelay(time.Duration(g.sources.hostCount())*storeReadSpacing, g.identity.Host)
}

// listsServersFromPeers reports whether to list the servers from other hosts. While the whole
// system starts for the first time nobody knows yet how many hosts there are, so all but the
// controller do.
func (g *Gateway) listsServersFromPeers(ctx context.Context) bool {
	if g.identity.FirstStart {
		return true
	}
	deadline := g.now() + assignmentsWait
	for !g.control.assignmentsListed.Load() && !g.control.listRejected.Load() && g.now() < deadline && ctx.Err() == nil {
		clock.Sleep(ctx, sourcePollInterval)
	}
	return g.sources.listsFromHosts()
}

// startupServerSource returns a host that may have the servers; empty if there is none yet.
// While the whole system starts for the first time, the relays list them from the controller.
func (g *Gateway) startupServerSource() string {
	switch {
	case !g.identity.FirstStart:
		return g.sources.current()
	case !g.freshness.sourceTried():
		return ""
	}
	return g.sources.upstream(g.sources.controllerAddress())
}

// listServersFrom lists the servers from a host. It fails if that host's view of the store is
// too old.
func (g *Gateway) listServersFrom(ctx context.Context, source string) (listing objects.Listing, age time.Duration, err error) {
	listing, age, err = g.listFromPeer(ctx, source, g.registry.ServerKind())
	if err == nil && age >= g.freshness.validFor() {
		err = errStaleList
	}
	return listing, age, err
}
