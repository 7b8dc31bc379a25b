package router

import (
	"context"
	"slices"
	"time"

	"cicadarouter/contract/platform"
	"cicadarouter/directory"
	"cicadarouter/link/linkpb"
	"cicadarouter/record"
)

// feedRetry is the pause before another controller is tried.
const feedRetry = 100 * time.Millisecond

// Feed keeps a directory filled from any controller of a failure domain, until
// the context ends. seeds are the controllers named in the settings; those in
// the host list are tried too.
func Feed(ctx context.Context, dir *directory.Directory, links Links, identity Identity, seeds []string) {
	for turn := 0; ctx.Err() == nil; turn++ {
		addresses := controllers(dir, identity.Domain, seeds)
		address := addresses[turn%len(addresses)]
		_ = follow(ctx, dir, links.Control(address), identity)
		pause(ctx, feedRetry)
	}
}

func controllers(dir *directory.Directory, domain string, seeds []string) []string {
	addresses := slices.Clone(seeds)
	for _, host := range dir.Hosts() {
		if host.Domain == domain && !slices.Contains(addresses, host.Link) {
			addresses = append(addresses, host.Link)
		}
	}
	return addresses
}

// follow reads one controller's stream until it breaks.
func follow(ctx context.Context, dir *directory.Directory, client linkpb.ControlClient, identity Identity) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Records(ctx, &linkpb.RecordsRequest{From: identity.Host, Domain: identity.Domain})
	if err != nil {
		return err
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return err
		}
		take(dir, update)
	}
}

// take applies an update. The directory refuses what is older than it knows.
func take(dir *directory.Directory, update *linkpb.RecordsUpdate) {
	objects := make([]platform.Object, 0, len(update.GetRecords()))
	for _, in := range update.GetRecords() {
		objects = append(objects, platform.Object{
			Envelope: record.Envelope{
				Kind:   record.Kind(in.GetKind()),
				Name:   in.GetName(),
				Schema: record.Schema(in.GetSchema()),
				Spec:   in.GetSpec(),
			},
			Version: in.GetVersion(),
			Deleted: in.GetDeleted(),
		})
	}
	dir.Apply(objects, update.GetRevision())
	if update.GetHostsChanged() {
		dir.SetHosts(hostsOf(update.GetHosts()))
	}
	for _, dispatcher := range update.GetDispatchers() {
		dir.SetDispatcher(dispatcher.GetPage(), dispatcher.GetHost())
	}
}

func hostsOf(in []*linkpb.Host) []platform.Host {
	hosts := make([]platform.Host, 0, len(in))
	for _, host := range in {
		hosts = append(hosts, platform.Host{
			Name:       host.GetName(),
			Domain:     host.GetDomain(),
			Link:       host.GetLink(),
			RouterLink: host.GetRouterLink(),
			Leaving:    host.GetLeaving(),
		})
	}
	return hosts
}

// Ready reports whether the directory holds a host list and services, so that
// the router can serve.
func Ready(dir *directory.Directory) bool {
	return len(dir.Hosts()) > 0 && len(dir.Services()) > 0
}

// WaitReady waits until Ready or the context ends.
func WaitReady(ctx context.Context, dir *directory.Directory) {
	const poll = 20 * time.Millisecond
	for !Ready(dir) && ctx.Err() == nil {
		pause(ctx, poll)
	}
}
