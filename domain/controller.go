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

// Seeds are the link addresses of controllers that records may be learned from
// when the store does not answer at start.
type Seeds []string

// ServerDialer returns the control interface of a backend server.
type ServerDialer func(server record.Server) backend.Control

// Timing sets the pace of a controller.
type Timing struct {
	// Tick is the time between two renewals.
	Tick time.Duration
	// WatchWait is how long one watch waits at the store.
	WatchWait time.Duration
	// HostsEvery is how often the host list is read.
	HostsEvery time.Duration
}

// DefaultTiming suits ownership.DefaultTerms.
func DefaultTiming() Timing {
	const (
		tick       = 150 * time.Millisecond
		watchWait  = 3 * time.Second
		hostsEvery = 2 * time.Second
	)
	return Timing{Tick: tick, WatchWait: watchWait, HostsEvery: hostsEvery}
}

// Controller renews leases and moves shards for one failure domain, together
// with the controllers of the domain's other entry hosts.
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
	// peers notes when each peer last asked for each page.
	heard heardAsks
	// storeAnswers is set while this controller's own calls reach the store.
	storeAnswers atomic.Bool
	// takenOver names the lost domains of which nothing is left to take.
	takenOver atomic.Value
	// relayed is set while the records come from another controller.
	relayed atomic.Bool

	callsMu sync.Mutex
	calls   map[string]int // outstanding calls by target
	working sync.WaitGroup
}

// eventRingSize bounds what may wait for the loop. Answers that find it full
// are dropped, which is the same as a lost message.
const eventRingSize = 4096

// NewController returns a controller that has not started.
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

// Run works until the context ends, then waits for its duties to end.
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

// maxCallsPerTarget bounds the calls that wait for one silent process.
const maxCallsPerTarget = 3

// call runs work beside the loop unless too many calls to the target wait. It
// reports whether the work was started.
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

// post hands an event to the loop. One that finds the ring full is dropped, as a
// message that the network lost; the next tick asks again.
func (c *Controller) post(happened event) {
	if !c.events.Offer(happened) {
		c.meters.dropped.Inc()
	}
}

// learn takes objects into the directory and tells voter and loop of new pages.
func (c *Controller) learn(objects []platform.Object, revision uint64) {
	wanted := slices.DeleteFunc(slices.Clone(objects), func(object platform.Object) bool {
		return !c.concerns(object)
	})
	accepted := c.directory.Apply(wanted, revision)
	for _, ref := range accepted {
		if ref.Kind == record.KindService || ref.Kind == record.KindLost {
			c.post(rescanWanted{}) // pages may have to be made or taken over
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
		c.log.Warn("record does not decode, its last good version stays in force", "record", ref.String(), "error", err)
	}
}

// concerns reports whether an object is worth keeping: not the reports, which
// only operators read, and of the pages and servers only those of this failure
// domain, or those that were. All domains' together would not fit a small host.
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

// newAttempt mints the id of a write.
func newAttempt() string { return uuid.Must(uuid.NewV7()).String() }

// lockedVoter shares the voter between the loop and the link's handlers.
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
	return v.voter.HasReadStore()
}

func (v *lockedVoter) agree(now time.Duration, ask ownership.RenewalRequest) ownership.RenewalResponse {
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

// heardAsks remembers when each peer last asked for a page, so that a member
// that stands later in a group knows whether an earlier one is at work.
type heardAsks struct {
	mu sync.Mutex
	at map[heardKey]time.Duration
}

func (h *heardAsks) note(page, host string, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.at[heardKey{page, host}] = now
}

// last returns when the host last asked for the page.
func (h *heardAsks) last(page, host string) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.at[heardKey{page, host}]
	return at, ok
}

// forget drops what was heard from hosts that are gone.
func (h *heardAsks) forget(gone func(host string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key := range h.at {
		if gone(key.host) {
			delete(h.at, key)
		}
	}
}
