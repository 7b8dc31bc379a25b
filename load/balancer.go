package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// balancer simulates the platform's load balancer: it chooses among the entry hosts that
// pass the health check.
type balancer struct {
	entries []Entry
	client  *http.Client

	mu      sync.Mutex
	healthy []string
}

func newBalancer(entries []Entry, client *http.Client) *balancer {
	return &balancer{entries: entries, client: client}
}

// Interval and timeout of the health checks.
const (
	checkEvery   = 300 * time.Millisecond
	checkTimeout = 200 * time.Millisecond
)

func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.check(ctx)
		time.Sleep(checkEvery)
	}
}

func (b *balancer) check(ctx context.Context) {
	passed := make([]bool, len(b.entries))
	var checks sync.WaitGroup
	for i, entry := range b.entries {
		checks.Go(func() { passed[i] = b.isHealthy(ctx, entry) })
	}
	checks.Wait()
	var healthy []string
	for i, entry := range b.entries {
		if passed[i] {
			healthy = append(healthy, entry.Callers)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthy = healthy
}

func (b *balancer) isHealthy(ctx context.Context, entry Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Admin+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitUntilHealthy waits until all entry hosts are healthy, at most for a limited time.
func (b *balancer) waitUntilHealthy(ctx context.Context) {
	const maxWait = 15 * time.Second
	until := time.Now().Add(maxWait)
	for ctx.Err() == nil && time.Now().Before(until) && b.healthyCount() < len(b.entries) {
		time.Sleep(checkTimeout)
	}
}

func (b *balancer) healthyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.healthy)
}

// pick returns the callers' address of a random healthy entry host, or of any entry host if
// none is healthy. Among healthy hosts it draws again, up to three times, to get one other
// than avoid.
func (b *balancer) pick(avoid string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.healthy) == 0 {
		return b.entries[rand.IntN(len(b.entries))].Callers
	}
	chosen := b.healthy[rand.IntN(len(b.healthy))]
	for range 3 {
		if chosen != avoid {
			break
		}
		chosen = b.healthy[rand.IntN(len(b.healthy))]
	}
	return chosen
}
