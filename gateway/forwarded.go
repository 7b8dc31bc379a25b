package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// forwardedCount counts the forwarded requests that this host is handling.
type forwardedCount struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when the count reaches 0; nil if nobody waits
}

func (c *forwardedCount) add(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count += change
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// await waits until there are none. It returns the context's error if that ends first.
func (c *forwardedCount) await(ctx context.Context) error {
	c.mu.Lock()
	if c.count == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// AwaitForwarded waits until no request that another host has forwarded is in progress. It returns
// the context's error if that ends first.
func (g *Gateway) AwaitForwarded(ctx context.Context) error { return g.forwardedInProgress.await(ctx) }

// serveForwarded handles a request that another host has forwarded.
func (g *Gateway) serveForwarded(w http.ResponseWriter, r *http.Request) {
	var info forwardInfo
	if err := json.Unmarshal([]byte(r.Header.Get(headerForward)), &info); err != nil {
		g.log.Warn("can't decode a request that another host has forwarded", "error", err.Error())
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Header.Del(headerForward)
	g.forwardedInProgress.add(1)
	defer g.forwardedInProgress.add(-1)
	req := &request{httpRequest: r, arrivedAt: g.now() - time.Duration(info.ElapsedMicros)*time.Microsecond, forwarded: &info, sendCount: info.Sends, counted: info.Counted}
	defer func() {
		if req.cancel != nil {
			req.cancel()
		}
	}()
	answer := g.declineForwarded(req)
	if answer == nil {
		answer = g.handle(w, r, req)
	}
	encoded, err := json.Marshal(forwardResult{Outcome: answer.outcome, Declined: answer.declined, Sends: req.sendCount})
	if err != nil {
		panic(err) // can't happen: the struct holds a string, a flag and a number
	}
	w.Header().Set(headerForwardResult, string(encoded))
	g.writeReply(w, r, req, answer)
}

// declineForwarded returns the reply to a forwarded request that this host can't handle now, or nil.
func (g *Gateway) declineForwarded(req *request) *reply {
	current := g.configuration.Current()
	switch {
	case g.stop.stopping():
		return declined(outcomeStopping)
	case current == nil:
		return declined("no-configuration")
	case current.Version != req.forwarded.Configuration:
		return declined(outcomeConfigurationDiffers)
	}
	return nil
}

// declined returns a reply by which the host that forwarded a request learns that it has not run and
// that another host may handle it.
func declined(outcome string) *reply {
	answer := rejection(outcome, 0)
	answer.declined = true
	return answer
}
