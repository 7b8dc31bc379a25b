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

// Balance is how a Passthrough chooses a server.
type Balance string

// The choices of Balance.
const (
	// BalanceHash is plain consistent hashing of the key.
	BalanceHash Balance = "hash"
	// BalanceTurn takes servers in turn.
	BalanceTurn Balance = "turn"
)

// Passthrough is the baseline that the system is measured against: it passes
// each request to a server and the answer back, without leases, queues, limits
// or memory. It is safe for concurrent use.
type Passthrough struct {
	servers []string
	balance Balance
	ring    []point
	turn    atomic.Uint64
	client  *http.Client
}

// point is a server's place on the ring of hashes.
type point struct {
	hash   uint64
	server string
}

// pointsPerServer evens the ranges of plain consistent hashing out.
const pointsPerServer = 64

// NewPassthrough returns a baseline before the servers at the addresses.
func NewPassthrough(servers []string, balance Balance) *Passthrough {
	const idle = 256
	p := &Passthrough{servers: servers, balance: balance,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idle, DisableCompression: true}}}
	for _, server := range servers {
		for i := range pointsPerServer {
			p.ring = append(p.ring, point{hash: xxhash.Sum64String(server + "/" + strconv.Itoa(i)), server: server})
		}
	}
	slices.SortFunc(p.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return p
}

func (p *Passthrough) choose(key string) string {
	if p.balance == BalanceTurn || key == "" {
		return p.servers[p.turn.Add(1)%uint64(len(p.servers))]
	}
	hash := xxhash.Sum64String(key)
	index, _ := slices.BinarySearchFunc(p.ring, hash, func(at point, wanted uint64) int { return cmp.Compare(at.hash, wanted) })
	return p.ring[index%len(p.ring)].server
}

// ServeHTTP implements http.Handler.
func (p *Passthrough) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == "/healthz" {
		return
	}
	ctx, cancel := p.deadline(in)
	defer cancel()
	answer, body, err := p.pass(ctx, in)
	if err != nil {
		out.Header().Set(caller.HeaderOutcome, string(caller.Unknown))
		out.WriteHeader(http.StatusBadGateway)
		return
	}
	outcome := caller.Done
	if answer.Header.Get(backend.HeaderRefused) != "" {
		outcome = caller.NotRun
	}
	for name, values := range answer.Header {
		out.Header()[name] = values
	}
	out.Header().Set(caller.HeaderOutcome, string(outcome))
	out.Header().Set(caller.HeaderServer, answer.Request.URL.Host)
	out.WriteHeader(answer.StatusCode)
	_, _ = out.Write(body)
}

func (p *Passthrough) deadline(in *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(in.Header.Get(caller.HeaderDeadlineMs))
	if err != nil {
		return context.WithCancel(in.Context())
	}
	return context.WithTimeout(in.Context(), time.Duration(millis)*time.Millisecond)
}

func (p *Passthrough) pass(ctx context.Context, in *http.Request) (*http.Response, []byte, error) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return nil, nil, err
	}
	_, path, _ := strings.Cut(strings.TrimPrefix(in.URL.Path, "/s/"), "/")
	target := "http://" + p.choose(in.Header.Get(caller.HeaderKey)) + "/" + path
	request, err := http.NewRequestWithContext(ctx, in.Method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set(backend.HeaderRequestID, in.Header.Get(caller.HeaderRequestID))
	request.Header.Set(backend.HeaderKey, in.Header.Get(caller.HeaderKey))
	request.Header.Set(backend.HeaderDeadlineMs, in.Header.Get(caller.HeaderDeadlineMs))
	answer, err := p.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer answer.Body.Close()
	whole, err := io.ReadAll(answer.Body)
	return answer, whole, err
}
