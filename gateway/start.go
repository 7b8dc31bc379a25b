package gateway

import (
	"context"
	"sync"
)

// Start starts the gateway's background goroutines. They end when the context is canceled.
func (g *Gateway) Start(ctx context.Context) *sync.WaitGroup {
	var tasks sync.WaitGroup
	context.AfterFunc(ctx, g.endBackground)
	tasks.Go(func() { g.followServers(ctx) })
	tasks.Go(func() { g.followConfiguration(ctx) })
	if g.identity.EvacuateWithin > 0 {
		tasks.Go(func() { g.followEvacuations(ctx) })
	}
	tasks.Go(func() { g.followAssignments(ctx) })
	tasks.Go(func() { g.runControl(ctx) })
	tasks.Go(func() { g.queryRelays(ctx) })
	tasks.Go(func() { g.expireWatches(ctx) })
	tasks.Go(func() { g.verifyCopies(ctx) })
	tasks.Go(func() { g.logStoreCalls(ctx) })
	return &tasks
}
