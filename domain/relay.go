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

// watchersPerDomain is how many controllers of a failure domain watch the store
// themselves. Any one of them is enough; more stand ready for its loss.
const watchersPerDomain = 3

// directEvery has a relayed controller go to the store itself once in so many
// turns, in case that no watcher can be followed.
const directEvery = watchersPerDomain + 1

// errStoreAway ends a relay whose sender has lost the store, so that its
// followers look for one that has not.
var errStoreAway = errors.New("this watcher does not reach the store")

// watchers lists the controllers of this domain that watch the store.
func (c *Controller) watchers() []string {
	live := liveHosts(c.directory.Hosts(), c.identity.Domain)
	ordered := ranked("watch\x00"+c.identity.Domain, live)
	return ordered[:min(watchersPerDomain, len(ordered))]
}

// relays reports whether this turn should follow another controller.
func (c *Controller) relays(turn int) bool {
	watchers := c.watchers()
	relayed := len(watchers) == watchersPerDomain &&
		!slices.Contains(watchers, c.identity.Host) &&
		!c.bounded() &&
		turn%directEvery != directEvery-1
	c.relayed.Store(relayed)
	return relayed
}

// bounded reports whether this controller votes on a page whose renewal is
// bounded by the last contact to the store. Such a voter needs a contact of its
// own: a relay says nothing of how old its news is.
func (c *Controller) bounded() bool {
	for _, page := range c.directory.Pages() {
		if page.Bounded && slices.Contains(page.Voters(), c.identity.Host) {
			return true
		}
	}
	return false
}

// relayPause is the wait before another watcher is tried.
const relayPause = 50 * time.Millisecond

// followRelay takes records from one watcher until its stream breaks.
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
	c.directory.ApplyHosts(update)
}
