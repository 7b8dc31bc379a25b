package standin

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadarouter/contract/backend"
	"cicadarouter/contract/caller"
)

// BalancePolicy is a Passthrough's load balancing policy.
type BalancePolicy string

// The load balancing policies.
const (
	// BalanceHash is consistent hashing of the key. Requests without a key go round robin.
	BalanceHash BalancePolicy = "hash"
	// BalanceRoundRobin is round robin.
	BalanceRoundRobin BalancePolicy = "turn"
)

// Passthrough is the baseline that the system is benchmarked against: a reverse proxy
// without leases, queues, limits or per-request state. It is safe for concurrent use.
type Passthrough struct {
	servers    []string
	balance    BalancePolicy
	ring       []virtualNode
	nextServer atomic.Uint64
	client     *http.Client
}

// virtualNode is a virtual node of a server on the hash ring.
type virtualNode struct {
	hash   uint64
	server string
}

// virtualNodesPerServer is the number of virtual nodes of each server. Several of them even out
// the shares of the hash ring.
const virtualNodesPerServer = 64

// NewPassthrough returns a proxy to the servers at the given addresses.
func NewPassthrough(servers []string, balance BalancePolicy) *Passthrough {
	const maxIdleConnections = 256
	p := &Passthrough{servers: servers, balance: balance,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}}}
	for _, server := range servers {
		for i := range virtualNodesPerServer {
			p.ring = append(p.ring, virtualNode{hash: xxhash.Sum64String(server + "/" + strconv.Itoa(i)), server: server})
		}
	}
	slices.SortFunc(p.ring, func(a, b virtualNode) int { return cmp.Compare(a.hash, b.hash) })
	return p
}

func (p *Passthrough) chooseServer(key string) string {
	if p.balance == BalanceRoundRobin || key == "" {
		return p.servers[p.nextServer.Add(1)%uint64(len(p.servers))]
	}
	hash := xxhash.Sum64String(key)
	index, _ := slices.BinarySearchFunc(p.ring, hash, func(entry virtualNode, target uint64) int { return cmp.Compare(entry.hash, target) })
	return p.ring[index%len(p.ring)].server
}

// ServeHTTP implements http.Handler.
func (p *Passthrough) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == "/healthz" {
		return
	}
	ctx, cancel := p.withDeadline(in)
	defer cancel()
	response, body, err := p.forward(ctx, in)
	if err != nil {
		out.Header().Set(caller.HeaderOutcome, string(caller.Unknown))
		out.WriteHeader(http.StatusBadGateway)
		return
	}
	outcome := caller.Done
	if response.Header.Get(backend.HeaderRefused) != "" {
		outcome = caller.NotRun
	}
	for name, values := range response.Header {
		out.Header()[name] = values
	}
	out.Header().Set(caller.HeaderOutcome, string(outcome))
	out.Header().Set(caller.HeaderServer, response.Request.URL.Host)
	out.WriteHeader(response.StatusCode)
	_, _ = out.Write(body)
}

func (p *Passthrough) withDeadline(in *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(in.Header.Get(caller.HeaderDeadlineMs))
	if err != nil {
		return context.WithCancel(in.Context())
	}
	return context.WithTimeout(in.Context(), time.Duration(millis)*time.Millisecond)
}

func (p *Passthrough) forward(ctx context.Context, in *http.Request) (*http.Response, []byte, error) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return nil, nil, err
	}
	_, path, _ := strings.Cut(strings.TrimPrefix(in.URL.Path, "/s/"), "/")
	targetURL := "http://" + p.chooseServer(in.Header.Get(caller.HeaderKey)) + "/" + path
	request, err := http.NewRequestWithContext(ctx, in.Method, targetURL, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set(backend.HeaderRequestID, in.Header.Get(caller.HeaderRequestID))
	request.Header.Set(backend.HeaderKey, in.Header.Get(caller.HeaderKey))
	request.Header.Set(backend.HeaderDeadlineMs, in.Header.Get(caller.HeaderDeadlineMs))
	response, err := p.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	return response, responseBody, err
}
