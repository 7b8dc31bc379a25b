package router

import (
	"context"
	"maps"
	"sync"
	"time"

	"cicadarouter/contract/caller"
	"cicadarouter/dispatch"
	"cicadarouter/link/linkpb"
)

// serviceCount counts one service's requests since the router started.
type serviceCount struct {
	total, bad, slow uint64
	causes           map[string]uint64
}

// counts holds the request counts from which the error budget's burn rate is reported.
type counts struct {
	mu       sync.Mutex
	services map[string]*serviceCount
}

// add counts a reply. Invalid requests don't count against a service's error budget.
func (c *counts) add(service string, reply dispatch.Reply, elapsed, objective time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, known := c.services[service]
	if !known {
		count = &serviceCount{causes: map[string]uint64{}}
		c.services[service] = count
	}
	count.total++
	switch {
	case reply.Outcome != caller.Done && reply.Reason != caller.ReasonBadRequest:
		count.bad++
		count.causes[string(reply.Reason)]++
	case elapsed > objective:
		count.slow++
	}
}

func (c *counts) read() []*linkpb.ServiceCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*linkpb.ServiceCount
	for name, count := range c.services {
		list = append(list, &linkpb.ServiceCount{
			Service: name,
			Total:   count.total,
			Bad:     count.bad,
			Slow:    count.slow,
			Causes:  maps.Clone(count.causes),
		})
	}
	return list
}

// Counts implements linkpb.DispatchServer.
func (s *LinkServer) Counts(context.Context, *linkpb.CountsRequest) (*linkpb.CountsReply, error) {
	return &linkpb.CountsReply{
		Incarnation: s.r.holder.Incarnation(),
		Revision:    s.r.directory.Revision(),
		Services:    s.r.counts.read(),
	}, nil
}
