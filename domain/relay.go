package domain

import (
	"context"
	"errors"
	"slices"
	"time"

	"cicadarouter/directory"
	"cicadarouter/host/clock"
	"cicadarouter/link/linkpb"
)

// watchersPerDomain is the number of controllers in a failure domain that watch the
// store directly. One is enough; the others are spares in case it fails.
const watchersPerDomain = 3

// directStoreTurn is the number of turns after which a controller that follows a relay
// calls the store itself once, in case no watcher can be followed.
const directStoreTurn = watchersPerDomain + 1

// errStoreUnreachable ends a relay stream whose sender cannot reach the store, so
// that its followers switch to another watcher.
var errStoreUnreachable = errors.New("this watcher does not reach the store")

// watchers returns the hosts of this domain whose controllers watch the store.
func (c *Controller) watchers() []string {
	live := liveHosts(c.directory.Hosts(), c.identity.Domain)
	ordered := rendezvousOrder("watch\x00"+c.identity.Domain, live)
	return ordered[:min(watchersPerDomain, len(ordered))]
}

// shouldFollowRelay reports whether to follow a watcher in this turn, and sets
// followingRelay accordingly.
func (c *Controller) shouldFollowRelay(turn int) bool {
	watchers := c.watchers()
	follow := len(watchers) == watchersPerDomain &&
		!slices.Contains(watchers, c.identity.Host) &&
		!c.needsStoreContact() &&
		turn%directStoreTurn != directStoreTurn-1
	c.followingRelay.Store(follow)
	return follow
}

// needsStoreContact reports whether this controller votes on a page that is renewed
// only for a limited time after the last contact with the store. Such a voter must
// contact the store itself, since a relay does not tell how old its records are.
func (c *Controller) needsStoreContact() bool {
	for _, page := range c.directory.Pages() {
		if page.Bounded && slices.Contains(page.Voters(), c.identity.Host) {
			return true
		}
	}
	return false
}

// relayRetryDelay is the delay before the next watcher is tried.
const relayRetryDelay = 50 * time.Millisecond

// followRelay applies records from one watcher until its stream ends.
func (c *Controller) followRelay(ctx context.Context, turn int) {
	watchers := c.watchers()
	host, ok := c.directory.Host(watchers[turn%len(watchers)])
	if !ok {
		return
	}
	request := &linkpb.RecordsRequest{From: c.identity.Host, Domain: c.identity.Domain, Relay: true}
	err := directory.Follow(ctx, c.links.Control(host.Link), request, c.applyRelayed)
	c.log.Debug("relay ended", "from", host.Name, "error", err)
	clock.Sleep(ctx, relayRetryDelay)
}

func (c *Controller) applyRelayed(update *linkpb.RecordsUpdate) {
	c.applyRecords(directory.ObjectsFromLink(update.GetRecords()), update.GetRevision())
	c.directory.ApplyHosts(update)
}
