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

// Limits bound what a router takes on.
type Limits struct {
	// InFlight is the most requests of callers at a time.
	InFlight int
	// Parked is the most requests that wait for a key's next owner, by page.
	Parked int
	// RequestBody and AnswerBody are in bytes.
	RequestBody int64
	AnswerBody  int64
	// OwnerWait is how long a request may wait for an owner or a dispatch
	// router. A loss is mended within 2 s; who still waits then is refused.
	OwnerWait time.Duration
	// RetryShare is the share of retries to first attempts.
	RetryShare float64
}

// DefaultLimits suits a small entry host.
func DefaultLimits() Limits {
	return Limits{
		InFlight:    8192,
		Parked:      1024,
		RequestBody: 1 << 20,
		AnswerBody:  4 << 20,
		OwnerWait:   2200 * time.Millisecond,
		RetryShare:  0.1,
	}
}

// Router is the data path of one entry host. It is safe for concurrent use.
type Router struct {
	identity  link.Identity
	limits    Limits
	directory *directory.Directory
	links     link.Peers
	clock     clock.Clock
	wall      func() time.Time
	log       *log.Logger
	meters    *meters
	counts    counts

	leaving  atomic.Bool
	inFlight atomic.Int64

	mu     sync.Mutex
	holder *ownership.Holder
	pages  map[string]*page

	budgetMu sync.Mutex
	budget   *dispatch.RetryBudget

	tracked sync.WaitGroup
}

// retryReserve is the number of retries that a quiet router may make at once.
const retryReserve = 20

// New returns a router. incarnation must differ from that of every earlier run
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
		meters:    newMeters(),
		counts:    counts{services: map[string]*serviceCount{}},
		holder:    ownership.NewHolder(incarnation),
		pages:     map[string]*page{},
		budget:    dispatch.NewRetryBudget(limits.RetryShare, retryReserve),
	}
}

// Leave begins a graceful stop: the router gives up its dispatch leases, tells
// the controllers so when they next ask, and fails the balancer's health check.
// Requests in flight go on, new ones are forwarded to the successors.
func (r *Router) Leave() { r.leaving.Store(true) }

// Leaving reports whether a graceful stop has begun.
func (r *Router) Leaving() bool { return r.leaving.Load() }

// Drain waits until no request is in flight, or the context ends. It reports
// whether all ended.
func (r *Router) Drain(ctx context.Context) bool {
	ended := make(chan struct{})
	go func() {
		r.tracked.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// dispatched returns the page if this router may dispatch it now.
func (r *Router) dispatched(name string) (*page, bool) {
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

func (r *Router) firstAttempt() {
	r.budgetMu.Lock()
	defer r.budgetMu.Unlock()
	r.budget.RecordFirstAttempt()
}

func (r *Router) mayRetry() bool {
	r.budgetMu.Lock()
	defer r.budgetMu.Unlock()
	return r.budget.TakeRetry()
}
