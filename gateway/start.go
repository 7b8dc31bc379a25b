package gateway

import (
	"context"
	"sync"
)

// Start starts the gateway's duties. They end when the context does.
func (g *Gateway) Start(ctx context.Context) *sync.WaitGroup {
	var duties sync.WaitGroup
	duties.Go(func() { g.followServers(ctx) })
	duties.Go(func() { g.followConfiguration(ctx) })
	if g.identity.EvacuateWithin > 0 {
		duties.Go(func() { g.followEvacuations(ctx) })
	}
	duties.Go(func() { g.followAssignments(ctx) })
	duties.Go(func() { g.runControl(ctx) })
	duties.Go(func() { g.queryRelays(ctx) })
	duties.Go(func() { g.logStoreCalls(ctx) })
	return &duties
}
