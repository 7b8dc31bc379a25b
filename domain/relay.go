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

// directEvery is the number of turns after which a controller that follows a relay
// calls the store itself once, in case no watcher can be followed.
const directEvery = watchersPerDomain + 1

// errStoreAway ends a relay stream whose sender cannot reach the store, so that its
// followers switch to another watcher.
var errStoreAway = errors.New("this watcher does not reach the store")

// watchers returns the hosts of this domain whose controllers watch the store.
func (c *Controller) watchers() []string {
	live := liveHosts(c.directory.Hosts(), c.identity.Domain)
	ordered := ranked("watch\x00"+c.identity.Domain, live)
	return ordered[:min(watchersPerDomain, len(ordered))]
}

// relays reports whether the controller should follow a watcher in this turn, and
// sets relayed accordingly.
func (c *Controller) relays(turn int) bool {
	watchers := c.watchers()
	relayed := len(watchers) == watchersPerDomain &&
		!slices.Contains(watchers, c.identity.Host) &&
		!c.bounded() &&
		turn%directEvery != directEvery-1
	c.relayed.Store(relayed)
	return relayed
}

// bounded reports whether this controller votes on a page that is renewed only for
// a limited time after the last contact with the store. Such a voter must contact
// the store itself, since a relay does not tell how old its records are.
func (c *Controller) bounded() bool {
	for _, page := range c.directory.Pages() {
		if page.Bounded && slices.Contains(page.Voters(), c.identity.Host) {
			return true
		}
	}
	return false
}

// relayPause is the delay before the next watcher is tried.
const relayPause = 50 * time.Millisecond

// followRelay applies records from one watcher until its stream ends.
func (c *Controller) followRelay(ctx context.Context, turn int) {
	watchers := c.watchers()
	host, ok := c.directory.Host(watchers[turn%len(watchers)])
	if !ok {
		return
	}
	request := &linkpb.RecordsRequest{From: c.identity.Host, Domain: c.identity.Domain, Relay: true}
	err := directory.Follow(ctx, c.links.Control(host.Link), request, c.takeRelayed)
	c.log.Debug("relay ended", "from", host.Name, "error", err)
	clock.Sleep(ctx, relayPause)
}

func (c *Controller) takeRelayed(update *linkpb.RecordsUpdate) {
	c.learn(directory.ObjectsFromLink(update.GetRecords()), update.GetRevision())
	c.directory.TakeHosts(update)
}
