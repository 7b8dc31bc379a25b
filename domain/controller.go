package domain

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"cicadarouter/contract/backend"
	"cicadarouter/contract/platform"
	"cicadarouter/directory"
	"cicadarouter/host/clock"
	"cicadarouter/host/ring"
	"cicadarouter/link"
	"cicadarouter/ownership"
	"cicadarouter/record"
)

// Seeds are the link addresses of controllers from which records can be read if
// the store does not answer at startup.
type Seeds []string

// ServerDialer returns the control interface of a backend server.
type ServerDialer func(server record.Server) backend.Control

// Timing holds the intervals of a controller.
type Timing struct {
	// TickInterval is the interval at which the loop renews leases.
	TickInterval time.Duration
	// WatchTimeout is how long the store may hold a watch call without changes. A watch whose response
	// was lost ends a second later, so that records still take effect within 4 s.
	WatchTimeout time.Duration
	// HostsInterval is the interval between reads of the host list.
	HostsInterval time.Duration
}

// DefaultTiming returns intervals that fit ownership.DefaultTerms.
func DefaultTiming() Timing {
	const (
		tickInterval  = 150 * time.Millisecond
		watchTimeout  = 2 * time.Second
		hostsInterval = 2 * time.Second
	)
	return Timing{TickInterval: tickInterval, WatchTimeout: watchTimeout, HostsInterval: hostsInterval}
}

// Controller renews leases and moves shards for one failure domain, together
// with the controllers on the domain's other hosts.
type Controller struct {
	identity  link.Identity
	terms     ownership.Terms
	timing    Timing
	store     platform.Store
	directory *directory.Directory
	links     link.Peers
	dial      ServerDialer
	seeds     Seeds
	clock     clock.Clock
	log       *log.Logger
	meters    *meters
	reporter  *reporter

	events *ring.Ring[event]
	voter  lockedVoter
	// lastRenewals holds the time of each peer's last renewal request for each page.
	lastRenewals renewalTimes
	// storeReachable is set while the store answers this controller's own calls.
	storeReachable atomic.Bool
	// finishedTakeovers names the lost domains that have no page left for this domain
	// to take over.
	finishedTakeovers atomic.Value
	// followingRelay is set while the records are read from another controller.
	followingRelay atomic.Bool

	callsMu       sync.Mutex
	callsInFlight map[string]int // by target
	goroutines    sync.WaitGroup
}

// eventQueueSize is the capacity of the loop's event queue. Answers that arrive
// while it is full are dropped, as if the message had been lost.
const eventQueueSize = 4096

// NewController returns a controller that does nothing until Run is called.
func NewController(identity link.Identity, terms ownership.Terms, timing Timing, store platform.Store,
	dir *directory.Directory, links link.Peers, dial ServerDialer, seeds Seeds, clk clock.Clock, logger *log.Logger) *Controller {
	c := &Controller{
		identity:      identity,
		terms:         terms,
		timing:        timing,
		store:         store,
		directory:     dir,
		links:         links,
		dial:          dial,
		seeds:         seeds,
		clock:         clk,
		log:           logger,
		meters:        newMeters(),
		reporter:      newReporter(),
		events:        ring.New[event](eventQueueSize),
		callsInFlight: map[string]int{},
	}
	c.voter.voter = ownership.NewVoter(terms, clk.Now())
	c.meters.addStoreGauge(c.storeReachable.Load)
	c.lastRenewals.at = map[renewalKey]time.Duration{}
	return c
}

// Run runs the controller until the context is cancelled, then waits for its
// goroutines to return.
func (c *Controller) Run(ctx context.Context) {
	c.spawn(func() { c.watchStore(ctx) })
	c.spawn(func() { c.watchHosts(ctx) })
	c.spawn(func() { c.reportPeriodically(ctx) })
	loop := newLoop(c)
	loop.run(ctx)
	c.goroutines.Wait()
}

// spawn runs work in a goroutine that Run waits for.
func (c *Controller) spawn(work func()) {
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		work()
	}()
}

// maxCallsPerTarget bounds the calls in flight to a process that does not answer.
const maxCallsPerTarget = 3

// startCall runs work in a goroutine, unless maxCallsPerTarget calls to the target
// are in flight. It reports whether the work was started.
func (c *Controller) startCall(target string, work func()) bool {
	c.callsMu.Lock()
	full := c.callsInFlight[target] >= maxCallsPerTarget
	if !full {
		c.callsInFlight[target]++
	}
	c.callsMu.Unlock()
	if full {
		return false
	}
	c.spawn(func() {
		defer c.endCall(target)
		work()
	})
	return true
}

func (c *Controller) endCall(target string) {
	c.callsMu.Lock()
	defer c.callsMu.Unlock()
	c.callsInFlight[target]--
	if c.callsInFlight[target] == 0 {
		delete(c.callsInFlight, target)
	}
}

// enqueue queues an event for the loop. If the queue is full, the event is dropped
// as if the network had lost the message; the next tick sends the request again.
func (c *Controller) enqueue(ev event) {
	if !c.events.Offer(ev) {
		c.meters.dropped.Inc()
	}
}

// applyRecords applies objects to the directory and passes new versions of pages to
// the voter and the loop.
func (c *Controller) applyRecords(objects []platform.Object, revision uint64) {
	relevant := slices.DeleteFunc(slices.Clone(objects), func(object platform.Object) bool {
		return !c.isRelevant(object)
	})
	accepted := c.directory.Apply(relevant, revision)
	for _, ref := range accepted {
		if ref.Kind == record.KindService || ref.Kind == record.KindLost {
			c.enqueue(rescanRequested{}) // pages may have to be created or taken over
		}
		if ref.Kind != record.KindPage {
			continue
		}
		page, _, ok := c.directory.Page(ref.Name)
		if !ok {
			continue
		}
		c.voter.learn(page.Name, page.Generation)
		c.enqueue(pageChanged{page: page})
	}
	if len(accepted) > 0 {
		c.logRejected()
	}
}

func (c *Controller) logRejected() {
	for ref, err := range c.directory.Rejected() {
		c.log.Warn("cannot decode record; keeping its last valid version", "record", ref.String(), "error", err)
	}
}

// isRelevant reports whether an object is kept in the directory. Reports are not,
// since only operators read them. Pages and servers are kept only if they belong
// to this failure domain, and pages also if they did: those of all domains would
// not fit in the memory of a small host. Records that do not decode and deletions
// of servers are passed on in any case.
func (c *Controller) isRelevant(object platform.Object) bool {
	switch object.Kind {
	case record.KindPage:
		if _, _, known := c.directory.Page(object.Name); known {
			return true
		}
		page, err := record.DecodePage(object.Envelope)
		return err != nil || page.Home == c.identity.Domain
	case record.KindServer:
		server, err := record.DecodeServer(object.Envelope)
		return err != nil || object.Deleted || server.Domain == c.identity.Domain
	case record.KindEnforced, record.KindBurn:
		return false
	}
	return true
}

// newAttempt returns a new ID for a write.
func newAttempt() string { return uuid.Must(uuid.NewV7()).String() }

// lockedVoter makes a voter safe for use by the loop and the RPC handlers.
type lockedVoter struct {
	mu    sync.Mutex
	voter *ownership.Voter
}

func (v *lockedVoter) learn(page string, generation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.voter.Learn(page, generation)
}

func (v *lockedVoter) storeRead(began time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.voter.StoreRead(began)
}

func (v *lockedVoter) hasReadStore() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.HasReadStore()
}

func (v *lockedVoter) agree(now time.Duration, request ownership.RenewalRequest) ownership.RenewalResponse {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.Agree(now, request)
}

func (v *lockedVoter) stop(now time.Duration, page string, generation uint64) ownership.Promise {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.Stop(now, page, generation)
}

type renewalKey struct{ page, host string }

// renewalTimes holds the time of each peer's last renewal request for a page. From
// it, a later member of a group tells whether an earlier one is active.
type renewalTimes struct {
	mu sync.Mutex
	at map[renewalKey]time.Duration
}

func (h *renewalTimes) record(page, host string, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at[renewalKey{page, host}] = now
}

// last returns the time of the host's last renewal request for the page.
func (h *renewalTimes) last(page, host string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.at[renewalKey{page, host}]
	return at, ok
}

// removeHosts removes the entries of hosts for which gone reports true.
func (h *renewalTimes) removeHosts(gone func(host string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key := range h.at {
		if gone(key.host) {
			delete(h.at, key)
		}
	}
}
