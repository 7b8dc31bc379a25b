package domain

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"cicadarouter/contract/platform"
	"cicadarouter/directory"
	"cicadarouter/host/clock"
	"cicadarouter/link/linkpb"
)

// Limits of the delay between attempts to reach the store.
const (
	minStoreRetryDelay = 50 * time.Millisecond
	maxStoreRetryDelay = 400 * time.Millisecond
)

// unreachableWatchWait is how long a watch waits while the store does not answer.
const unreachableWatchWait = 100 * time.Millisecond

func storeBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = minStoreRetryDelay
	policy.MaxInterval = maxStoreRetryDelay
	return policy
}

// watchStore keeps the directory up to date. A controller that is one of its
// domain's watchers watches the store itself; the others follow a relay from one of
// them, so that the store's load grows with the number of domains, not of hosts.
func (c *Controller) watchStore(ctx context.Context) {
	retry := storeBackoff()
	listed := false
	for turn := 0; ctx.Err() == nil; turn++ {
		if listed && c.shouldFollowRelay(turn) {
			c.followRelay(ctx, turn)
			continue
		}
		var err error
		if listed {
			err = c.watchOnce(ctx)
		} else {
			err = c.listOnce(ctx)
		}
		if answers := err == nil || errors.Is(err, platform.ErrCompacted); c.storeReachable.Swap(answers) != answers {
			c.log.Warn("contact with the store changed", "answers", answers)
		}
		switch {
		case err == nil:
			listed = true
			retry.Reset()
		case errors.Is(err, platform.ErrCompacted):
			listed = false
		default:
			c.log.Debug("store does not answer", "error", err)
			c.readFromPeer(ctx, listed, turn, retry.NextBackOff())
		}
	}
}

// readFromPeer waits until the next attempt to reach the store. A controller that
// started during the outage meanwhile reads records from a peer. It can then renew
// pages together with its peers, although its own vote counts only after it has read
// the store.
func (c *Controller) readFromPeer(ctx context.Context, listed bool, turn int, wait time.Duration) {
	peers := c.knownPeers()
	if listed || len(peers) == 0 {
		clock.Sleep(ctx, wait)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, max(wait, minPeerFollowTime))
	defer cancel()
	request := &linkpb.RecordsRequest{From: c.identity.Host, Domain: c.identity.Domain, Relay: true, Cached: true}
	err := directory.Follow(ctx, c.links.Control(peers[turn%len(peers)]), request, c.applyRelayed)
	c.log.Debug("reading records from a peer ended", "error", err)
	clock.Sleep(ctx, minStoreRetryDelay)
}

// minPeerFollowTime is the least time limit for following a peer before the next
// attempt to reach the store.
const minPeerFollowTime = 2 * time.Second

// knownPeers returns the link addresses of other controllers: the seeds and the
// other hosts of this domain.
func (c *Controller) knownPeers() []string {
	peers := slices.Clone([]string(c.seeds))
	for _, host := range c.directory.Hosts() {
		if host.Domain == c.identity.Domain && host.Name != c.identity.Host && !slices.Contains(peers, host.Link) {
			peers = append(peers, host.Link)
		}
	}
	return peers
}

func (c *Controller) listOnce(ctx context.Context) error {
	began := c.clock.Now()
	snapshot, err := c.store.List(ctx)
	if err != nil {
		return err
	}
	c.applyRecords(snapshot.Objects, snapshot.Revision)
	// Only now does the voter know every generation that a previous incarnation at
	// this address may have promised to stop renewing.
	c.voter.storeRead(began)
	return nil
}

func (c *Controller) watchOnce(ctx context.Context) error {
	began := c.clock.Now()
	wait := c.timing.WatchTimeout
	if !c.storeReachable.Load() {
		wait = min(wait, unreachableWatchWait) // any answer, not a change, shows that the store is back
	}
	snapshot, err := c.store.Watch(ctx, c.directory.Revision(), wait)
	if err != nil {
		return err
	}
	c.applyRecords(snapshot.Objects, snapshot.Revision)
	c.voter.storeRead(began)
	return nil
}

// watchHosts reads the platform's host list every timing.HostsInterval, and more often
// while the list is empty. While a relay is followed, the list comes from the relay.
func (c *Controller) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		wait := c.timing.HostsInterval
		if !c.followingRelay.Load() {
			hosts, err := c.store.Hosts(ctx)
			if err == nil {
				c.directory.SetHosts(hosts)
			}
		}
		if len(c.directory.Hosts()) == 0 {
			wait = minStoreRetryDelay
		}
		clock.Sleep(ctx, wait)
	}
}
