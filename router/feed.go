package router

import (
	"context"
	"slices"
	"time"

	"cicadarouter/directory"
	"cicadarouter/host/clock"
	"cicadarouter/link"
	"cicadarouter/link/linkpb"
)

// feedRetryDelay is the delay before the next controller is tried.
const feedRetryDelay = 100 * time.Millisecond

// Feed keeps a directory up to date from any controller of a failure domain until
// the context is done. seeds are the controllers' addresses from the settings; those
// in the host list are tried too.
func Feed(ctx context.Context, dir *directory.Directory, links link.Peers, identity link.Identity, seeds []string) {
	for turn := 0; ctx.Err() == nil; turn++ {
		addresses := controllerAddresses(dir, identity.Domain, seeds)
		address := addresses[turn%len(addresses)]
		request := &linkpb.RecordsRequest{From: identity.Host, Domain: identity.Domain}
		_ = directory.Follow(ctx, links.Control(address), request, dir.ApplyUpdate)
		clock.Sleep(ctx, feedRetryDelay)
	}
}

func controllerAddresses(dir *directory.Directory, domain string, seeds []string) []string {
	addresses := slices.Clone(seeds)
	for _, host := range dir.Hosts() {
		if host.Domain == domain && !slices.Contains(addresses, host.Link) {
			addresses = append(addresses, host.Link)
		}
	}
	return addresses
}

// Ready reports whether the directory has a host list and services, without which
// the router can't serve requests.
func Ready(dir *directory.Directory) bool {
	return len(dir.Hosts()) > 0 && len(dir.Services()) > 0
}

// WaitReady waits until Ready returns true or the context is done.
func WaitReady(ctx context.Context, dir *directory.Directory) {
	const poll = 20 * time.Millisecond
	for !Ready(dir) && ctx.Err() == nil {
		clock.Sleep(ctx, poll)
	}
}
