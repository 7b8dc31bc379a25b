package gateway

import (
	"context"
	"errors"
	"time"

	"cicadarouter/contract/objects"
	"cicadarouter/host/clock"
)

// Thousands of servers have megabytes of entries. Hundreds of hosts that start within a second
// and each read them in the store keep its link busy for longer than callers wait, so a host
// that starts takes them from one that knows them.

const (
	// hostsWait is how long a host waits for one that knows the servers: for one that has
	// claimed control while the whole system starts for the first time, for a relay that has
	// read them if all hosts were lost.
	hostsWait = 3 * time.Second
	// assignmentsWait is how long a host that starts waits until it has read the assignments,
	// which name the relays, or could not.
	assignmentsWait = 5 * time.Second
	// storeSpread is over how long hosts that get no answer of others spread their reads of the
	// store, for each host.
	storeSpread = 5 * time.Millisecond
	// sourceLook is how often it looks whether there is one.
	sourceLook = 20 * time.Millisecond
	// sourceRetry is left after one that has nothing to tell yet.
	sourceRetry = 200 * time.Millisecond
)

var errOldList = errors.New("the host has not heard of the store for long")

// firstServers lists the servers after the start of the process as another host knows them. ok
// is false if the store is to be asked.
func (g *Gateway) firstServers(ctx context.Context) (listing objects.Listing, ok bool) {
	if !g.asksHosts(ctx) {
		return objects.Listing{}, false
	}
	until := g.now() + hostsWait + g.storeTurn()
	for g.now() < until && ctx.Err() == nil && !g.freshness.leading() {
		source := g.firstSource()
		if source == "" {
			clock.Sleep(ctx, sourceLook)
			continue
		}
		listing, err := g.serversOf(ctx, source)
		if err == nil {
			return listing, true
		}
		g.sources.pass(source)
		g.log.Info("host does not list the servers", "source", source, "error", err.Error())
		clock.Sleep(ctx, sourceRetry)
	}
	return objects.Listing{}, false
}

// storeTurn is how much later this host asks the store than the first one does that gets no
// answer of others.
func (g *Gateway) storeTurn() time.Duration {
	return hashedDelay(time.Duration(g.sources.hostsNamed())*storeSpread, g.identity.Host)
}

// asksHosts reports whether other hosts are to be asked for the servers. While the whole
// system starts for the first time nobody knows how many hosts there are.
func (g *Gateway) asksHosts(ctx context.Context) bool {
	if g.identity.FirstStart {
		return true
	}
	until := g.now() + assignmentsWait
	for !g.control.assignmentsListed.Load() && !g.control.listRejected.Load() && g.now() < until && ctx.Err() == nil {
		clock.Sleep(ctx, sourceLook)
	}
	return g.sources.asksHosts()
}

// firstSource returns a host that may know the servers; empty if there is none yet. While the
// whole system starts for the first time the relays learn of them from the controller.
func (g *Gateway) firstSource() string {
	switch {
	case !g.identity.FirstStart:
		return g.sources.current()
	case !g.freshness.vouchedOnce():
		return ""
	}
	return g.sources.upstream(g.sources.controllerAddress())
}

func (g *Gateway) serversOf(ctx context.Context, source string) (objects.Listing, error) {
	listing, age, err := g.relayedList(ctx, source, g.registry.Servers())
	if err == nil && age >= g.freshness.vouchedFor() {
		err = errOldList
	}
	return listing, err
}
