package domain

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"cicadarouter/contract/platform"
)

// Delays between attempts to reach the store.
const (
	storeRetryFirst = 50 * time.Millisecond
	storeRetryMost  = time.Second
)

func storeBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = storeRetryFirst
	policy.MaxInterval = storeRetryMost
	return policy
}

// watchStore keeps the directory at the store's state: by a watch of its own if
// this controller is one of its domain's watchers, and else by relay from one of
// them, so that the store's load grows with domains and not with hosts.
func (c *Controller) watchStore(ctx context.Context) {
	retry := storeBackoff()
	listed := false
	for turn := 0; ctx.Err() == nil; turn++ {
		if listed && c.relays(turn) {
			c.followRelay(ctx, turn)
			continue
		}
		var err error
		if listed {
			err = c.watchOnce(ctx)
		} else {
			err = c.listOnce(ctx)
		}
		if answers := err == nil || errors.Is(err, platform.ErrCompacted); c.storeAnswers.Swap(answers) != answers {
			c.log.Warn("contact to the store changed", "answers", answers)
		}
		switch {
		case err == nil:
			listed = true
			retry.Reset()
		case errors.Is(err, platform.ErrCompacted):
			listed = false
		default:
			c.log.Debug("store does not answer", "error", err)
			sleep(ctx, retry.NextBackOff())
		}
	}
}

func (c *Controller) listOnce(ctx context.Context) error {
	began := c.clock.Now()
	snapshot, err := c.store.List(ctx)
	if err != nil {
		return err
	}
	c.learn(snapshot.Objects, snapshot.Revision)
	// Only now has the voter seen every generation that a predecessor at this
	// address may have promised to stop.
	c.voter.storeRead(began)
	return nil
}

func (c *Controller) watchOnce(ctx context.Context) error {
	began := c.clock.Now()
	snapshot, err := c.store.Watch(ctx, c.directory.Revision(), c.timing.WatchWait)
	if err != nil {
		return err
	}
	c.learn(snapshot.Objects, snapshot.Revision)
	c.voter.storeRead(began)
	return nil
}

// watchHosts reads the platform's host list from time to time, unless it comes
// by relay.
func (c *Controller) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		wait := c.timing.HostsEvery
		if !c.relayed.Load() {
			hosts, err := c.store.Hosts(ctx)
			if err == nil {
				c.directory.SetHosts(hosts)
			}
		}
		if len(c.directory.Hosts()) == 0 {
			wait = storeRetryFirst
		}
		sleep(ctx, wait)
	}
}

// sleep waits, or less if the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
