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
	// Tick is the interval between lease renewals.
	Tick time.Duration
	// WatchWait is how long the store may hold a watch call without changes.
	WatchWait time.Duration
	// HostsEvery is the interval between reads of the host list.
	HostsEvery time.Duration
}

// DefaultTiming returns intervals that fit ownership.DefaultTerms.
func DefaultTiming() Timing {
	const (
		tick       = 150 * time.Millisecond
		watchWait  = 3 * time.Second
		hostsEvery = 2 * time.Second
	)
	return Timing{Tick: tick, WatchWait: watchWait, HostsEvery: hostsEvery}
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
	// heard holds the time of each peer's last renewal request for each page.
	heard heardAsks
	// storeAnswers is set while the store answers this controller's own calls.
	storeAnswers atomic.Bool
	// takenOver names the lost domains that have no page left for this domain to
	// take over.
	takenOver atomic.Value
	// relayed is set while the records are read from another controller.
	relayed atomic.Bool

	callsMu sync.Mutex
	calls   map[string]int // calls in flight by target
	working sync.WaitGroup
}

// eventRingSize is the capacity of the loop's event queue. Answers that arrive
// while it is full are dropped, as if the message had been lost.
const eventRingSize = 4096

// NewController returns a controller that does nothing until Run is called.
func NewController(identity link.Identity, terms ownership.Terms, timing Timing, store platform.Store,
	dir *directory.Directory, links link.Peers, dial ServerDialer, seeds Seeds, clk clock.Clock, logger *log.Logger) *Controller {
	c := &Controller{
		identity:  identity,
		terms:     terms,
		timing:    timing,
		store:     store,
		directory: dir,
		links:     links,
		dial:      dial,
		seeds:     seeds,
		clock:     clk,
		log:       logger,
		meters:    newMeters(),
		reporter:  newReporter(),
		events:    ring.New[event](eventRingSize),
		calls:     map[string]int{},
	}
	c.voter.voter = ownership.NewVoter(terms, clk.Now())
	c.meters.watchStoreMetric(c.storeAnswers.Load)
	c.heard.at = map[heardKey]time.Duration{}
	return c
}

// Run runs the controller until the context is cancelled, then waits for its
// goroutines to return.
func (c *Controller) Run(ctx context.Context) {
	c.duty(func() { c.watchStore(ctx) })
	c.duty(func() { c.watchHosts(ctx) })
	c.duty(func() { c.reportOften(ctx) })
	loop := newLoop(c)
	loop.run(ctx)
	c.working.Wait()
}

// duty runs work in a goroutine that Run waits for.
func (c *Controller) duty(work func()) {
	c.working.Add(1)
	go func() {
		defer c.working.Done()
		work()
	}()
}

// maxCallsPerTarget bounds the calls in flight to a process that does not answer.
const maxCallsPerTarget = 3

// call runs work in a goroutine, unless maxCallsPerTarget calls to the target are
// in flight. It reports whether the work was started.
func (c *Controller) call(target string, work func()) bool {
	c.callsMu.Lock()
	full := c.calls[target] >= maxCallsPerTarget
	if !full {
		c.calls[target]++
	}
	c.callsMu.Unlock()
	if full {
		return false
	}
	c.duty(func() {
		defer c.callEnded(target)
		work()
	})
	return true
}

func (c *Controller) callEnded(target string) {
	c.callsMu.Lock()
	defer c.callsMu.Unlock()
	c.calls[target]--
	if c.calls[target] == 0 {
		delete(c.calls, target)
	}
}

// post queues an event for the loop. If the queue is full, the event is dropped
// as if the network had lost the message; the next tick sends the request again.
func (c *Controller) post(happened event) {
	if !c.events.Offer(happened) {
		c.meters.dropped.Inc()
	}
}

// learn applies objects to the directory and passes new versions of pages to the
// voter and the loop.
func (c *Controller) learn(objects []platform.Object, revision uint64) {
	wanted := slices.DeleteFunc(slices.Clone(objects), func(object platform.Object) bool {
		return !c.concerns(object)
	})
	accepted := c.directory.Apply(wanted, revision)
	for _, ref := range accepted {
		if ref.Kind == record.KindService || ref.Kind == record.KindLost {
			c.post(rescanWanted{}) // pages may have to be created or taken over
		}
		if ref.Kind != record.KindPage {
			continue
		}
		page, _, ok := c.directory.Page(ref.Name)
		if !ok {
			continue
		}
		c.voter.learn(page.Name, page.Generation)
		c.post(pageLearned{page: page})
	}
	if len(accepted) > 0 {
		c.tellRejected()
	}
}

func (c *Controller) tellRejected() {
	for ref, err := range c.directory.Rejected() {
		c.log.Warn("cannot decode record; keeping its last valid version", "record", ref.String(), "error", err)
	}
}

// concerns reports whether an object is kept in the directory. Reports are not,
// since only operators read them. Pages and servers are kept only if they belong
// to this failure domain, and pages also if they did: those of all domains would
// not fit in the memory of a small host. Records that do not decode and deletions
// of servers are passed on in any case.
func (c *Controller) concerns(object platform.Object) bool {
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

func (v *lockedVoter) established() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.Established()
}

func (v *lockedVoter) agree(now time.Duration, ask ownership.Ask) ownership.Answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.Agree(now, ask)
}

func (v *lockedVoter) stop(now time.Duration, page string, generation uint64) ownership.Promise {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter.Stop(now, page, generation)
}

type heardKey struct{ page, host string }

// heardAsks holds the time of each peer's last renewal request for a page. From
// it, a later member of a group tells whether an earlier one is active.
type heardAsks struct {
	mu sync.Mutex
	at map[heardKey]time.Duration
}

func (h *heardAsks) note(page, host string, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at[heardKey{page, host}] = now
}

// last returns the time of the host's last renewal request for the page.
func (h *heardAsks) last(page, host string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.at[heardKey{page, host}]
	return at, ok
}

// forget removes the entries of hosts for which gone reports true.
func (h *heardAsks) forget(gone func(host string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key := range h.at {
		if gone(key.host) {
			delete(h.at, key)
		}
	}
}
