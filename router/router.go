package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"cicadarouter/directory"
	"cicadarouter/dispatch"
	"cicadarouter/host/clock"
	"cicadarouter/link"
	"cicadarouter/ownership"
)

// Limits bounds the requests of a router.
type Limits struct {
	// InFlight is the maximum number of concurrent requests from callers.
	InFlight int
	// WaitingForOwner is the maximum number of requests per page that wait for a key's
	// next owner.
	WaitingForOwner int
	// RequestBody and AnswerBody are the maximum body sizes in bytes.
	RequestBody int64
	AnswerBody  int64
	// OwnerWait is how long a request may wait for an owner or a dispatch
	// router. A lost one is replaced within 2 s; requests that wait longer are
	// rejected.
	OwnerWait time.Duration
	// RetryShare is the maximum ratio of retries to first attempts.
	RetryShare float64
}

// DefaultLimits returns limits for a small host.
func DefaultLimits() Limits {
	return Limits{
		InFlight:        8192,
		WaitingForOwner: 1024,
		RequestBody:     1 << 20,
		AnswerBody:      4 << 20,
		OwnerWait:       2200 * time.Millisecond,
		RetryShare:      0.1,
	}
}

// Router is the data path of one host. It is safe for concurrent use.
type Router struct {
	identity  link.Identity
	limits    Limits
	directory *directory.Directory
	links     link.Peers
	clock     clock.Clock
	wall      func() time.Time
	log       *log.Logger
	metrics   *routerMetrics
	counts    counts

	leaving  atomic.Bool
	inFlight atomic.Int64

	mu     sync.Mutex
	holder *ownership.Holder
	pages  map[string]*page

	budgetMu sync.Mutex
	budget   *dispatch.RetryBudget

	activeCalls sync.WaitGroup
}

// retryReserve is the number of retries that a router with little traffic may make
// at once.
const retryReserve = 20

// New returns a router. incarnation must differ from that of every earlier process
// at this address.
func New(identity link.Identity, limits Limits, dir *directory.Directory, links link.Peers,
	clk clock.Clock, wall func() time.Time, incarnation uint64, logger *log.Logger) *Router {
	return &Router{
		identity:  identity,
		limits:    limits,
		directory: dir,
		links:     links,
		clock:     clk,
		wall:      wall,
		log:       logger,
		metrics:   newRouterMetrics(),
		counts:    counts{services: map[string]*serviceCount{}},
		holder:    ownership.NewHolder(incarnation),
		pages:     map[string]*page{},
		budget:    dispatch.NewRetryBudget(limits.RetryShare, retryReserve),
	}
}

// Leave starts a graceful shutdown: the router stops using its dispatch leases,
// reports that to the controllers at their next lease request, and fails the load
// balancer's health check. Requests in progress continue; new ones are forwarded to
// the routers that take over.
func (r *Router) Leave() { r.leaving.Store(true) }

// Leaving reports whether a graceful shutdown has started.
func (r *Router) Leaving() bool { return r.leaving.Load() }

// Drain waits until no request is in progress or the context is done. It reports
// whether all requests have ended.
func (r *Router) Drain(ctx context.Context) bool {
	ended := make(chan struct{})
	go func() {
		r.activeCalls.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// leasedPage returns the page if this router holds a valid lease and isn't leaving.
func (r *Router) leasedPage(name string) (*page, bool) {
	if r.leaving.Load() {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	held, known := r.pages[name]
	if !known || r.clock.Now() >= held.expiry() {
		return nil, false
	}
	return held, true
}

func (r *Router) recordFirstAttempt() {
	r.budgetMu.Lock()
	defer r.budgetMu.Unlock()
	r.budget.RecordFirstAttempt()
}

func (r *Router) takeRetry() bool {
	r.budgetMu.Lock()
	defer r.budgetMu.Unlock()
	return r.budget.TakeRetry()
}
