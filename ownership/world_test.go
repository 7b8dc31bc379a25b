package ownership_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cicadarouter/ownership"
	"cicadarouter/record"
)

// The simulation of the stateful tests: processes with their own clocks, one page
// in a store, and messages that arrive in any order, late, twice or never.
// Invariants are checked at true time, which no process knows.

const (
	testPage  = "split.0"
	testDrift = 0.1
	pageHigh  = 99
)

func testTerms() ownership.Terms {
	return ownership.Terms{Lease: 100 * time.Millisecond, Drift: testDrift, StoreAway: 150 * time.Millisecond}
}

// process is the common state of all processes: a clock, and a run number that
// pending replies belong to.
type process struct {
	name   string
	rate   float64
	offset time.Duration
	paused bool
	run    int
}

func (p *process) now(world *world) time.Duration {
	return p.offset + time.Duration(float64(world.time)*p.rate)
}

type controller struct {
	process
	voter   *ownership.Voter
	machine *ownership.Machine
	view    ownership.View
	reading bool
}

type holder struct {
	process
	kind    ownership.HolderKind
	holder  *ownership.Holder
	leaving bool
	// busy holds the hashes of accepted requests that have not taken effect.
	busy []uint64
}

// message is a message in transit. runOf and run are set on replies, which reach
// only the run of the process that sent the request.
type message struct {
	from, to string
	runOf    *process
	run      int
	sentAt   time.Duration
	deliver  func()
}

// effect is the latest request that ran for a hash.
type effect struct {
	server string
	token  uint64
}

type world struct {
	time        time.Duration
	controllers map[string]*controller
	holders     map[string]*holder
	messages    []message
	// delayed are messages that the network delays for a long time.
	held        []message
	cut         map[[2]string]bool
	storeDown   bool
	page        record.Page
	version     int
	history     []record.Page
	attempts    int
	incarnation uint64
	effects     map[uint64]effect
	known       map[string]uint64 // newest generation of each controller
	group       []string
	unchecked   bool
	lostHosts   []string
	problem     string
}

const storeName = "store"

// otherDomainNames are controllers of another failure domain, which may take the
// page over.
var heirNames = []string{"d1", "d2", "d3"}

var serverNames = []string{"s1", "s2", "s3"}

var routerNames = []string{"r1", "r2"}

// clockFunc returns the rate and offset of a process's clock.
type clockOf func(name string) (rate float64, offset time.Duration)

// randomSimulation returns a simulation with random parameters.
func drawnWorld(t *rapid.T, unchecked bool) *world {
	size := rapid.SampledFrom([]int{2, 3, 3, 4, 5}).Draw(t, "group")
	bounded := rapid.Bool().Draw(t, "bounded")
	rates := []float64{1 - testDrift, 1 + testDrift, 1}
	return newWorld(size, bounded, unchecked, func(name string) (float64, time.Duration) {
		rate := rapid.SampledFrom(rates).Draw(t, "rate of "+name)
		offset := rapid.IntRange(0, 5000).Draw(t, "offset of "+name)
		return rate, time.Duration(offset) * time.Millisecond
	})
}

// fixedSimulation returns a simulation for a fixed sequence of events, with three
// group members and identical clocks.
func plainWorld(bounded, unchecked bool) *world {
	return newWorld(3, bounded, unchecked, func(string) (float64, time.Duration) { return 1, 0 })
}

func newWorld(size int, bounded, unchecked bool, clock clockOf) *world {
	newProcess := func(name string) process {
		rate, offset := clock(name)
		return process{name: name, rate: rate, offset: offset}
	}
	w := &world{
		controllers: map[string]*controller{},
		holders:     map[string]*holder{},
		cut:         map[[2]string]bool{},
		effects:     map[uint64]effect{},
		known:       map[string]uint64{},
		unchecked:   unchecked,
		time:        time.Hour,
	}
	for _, name := range heirNames {
		w.controllers[name] = &controller{process: newProcess(name)}
	}
	for i := range size + 1 {
		name := fmt.Sprintf("c%d", i+1)
		if i < size {
			w.group = append(w.group, name)
		}
		w.controllers[name] = &controller{process: newProcess(name)}
	}
	w.page = record.Page{
		Name: testPage, Service: "split", Home: "a", Low: 0, High: pageHigh, Generation: 1,
		Group: slices.Clone(w.group), GroupSince: 1, Attempt: "first",
		Bounded: bounded,
		Shards: []record.Shard{
			{Low: 0, State: record.ShardReleasing},
			{Low: 50, State: record.ShardReleasing},
		},
	}
	w.history = []record.Page{w.page}
	w.version = 1
	for _, name := range w.controllerNames() {
		w.startController(w.controllers[name])
	}
	for _, name := range serverNames {
		w.holders[name] = &holder{process: newProcess(name), kind: ownership.BackendServer}
	}
	for _, name := range routerNames {
		w.holders[name] = &holder{process: newProcess(name), kind: ownership.Router}
	}
	for _, name := range append(slices.Clone(serverNames), routerNames...) {
		w.startHolder(w.holders[name])
	}
	return w
}

func (w *world) startController(c *controller) {
	w.known[c.name] = 0
	c.run++
	c.paused = false
	c.reading = false
	c.voter = ownership.NewVoter(testTerms(), c.now(w))
	c.machine = ownership.NewMachine(testTerms(), w.newAttempt)
	c.view = w.defaultView()
}

func (w *world) defaultView() ownership.View {
	return ownership.View{
		Active:     true,
		Servers:    serverNames,
		Eligible:   serverNames,
		Dispatcher: routerNames[0],
		Unchecked:  w.unchecked,
		DrainWait:  150 * time.Millisecond,
		LostHosts:  w.lostHosts,
	}
}

func (w *world) newAttempt() string {
	w.attempts++
	return fmt.Sprint("attempt ", w.attempts)
}

func (w *world) startHolder(h *holder) {
	w.incarnation++
	h.run++
	h.paused = false
	h.leaving = false
	h.busy = nil
	h.holder = ownership.NewHolder(w.incarnation)
}

// send sends a message, unless the link is cut.
func (w *world) send(from, to string, deliver func()) {
	if w.cut[[2]string{from, to}] {
		return
	}
	w.messages = append(w.messages, message{from: from, to: to, sentAt: w.time, deliver: deliver})
}

// reply sends a reply to the run of the process that sent the request, unless the
// link is cut.
func (w *world) reply(from string, to *process, run int, deliver func()) {
	if w.cut[[2]string{from, to.name}] {
		return
	}
	w.messages = append(w.messages, message{from: from, to: to.name, runOf: to, run: run, sentAt: w.time, deliver: deliver})
}

// deliver delivers one message, unless it is a reply to an earlier run of its
// receiver.
func (w *world) deliver(m message) {
	if m.runOf != nil && m.runOf.run != m.run {
		return
	}
	m.deliver()
}

func (w *world) paused(name string) bool {
	if c, ok := w.controllers[name]; ok {
		return c.paused
	}
	if h, ok := w.holders[name]; ok {
		return h.paused
	}
	return false
}

// perform performs the pending work of a controller's state machine.
func (w *world) carryOut(c *controller) {
	for {
		ready := c.machine.Ready()
		w.carryAsks(c, ready.Asks)
		w.carryStops(c, ready.Stops)
		for _, grant := range ready.Grants {
			w.carryGrant(c, grant)
		}
		if ready.Write != nil {
			w.carryWrite(c, *ready.Write)
		}
		if ready.Reread {
			w.read(c)
		}
		if len(ready.Asks)+len(ready.Stops)+len(ready.Grants) == 0 {
			return
		}
	}
}

func (w *world) carryAsks(c *controller, asks []ownership.AskOut) {
	run := c.run
	for _, ask := range asks {
		for _, host := range ask.Hosts {
			peer := w.controllers[host]
			if host == c.name {
				c.machine.Answer(c.now(w), ask.Round, host, c.voter.Agree(c.now(w), ask.Ask))
				continue
			}
			w.send(c.name, host, func() {
				if w.controllers[host] == nil {
					return // declared lost
				}
				answer := peer.voter.Agree(peer.now(w), ask.Ask)
				w.reply(host, &c.process, run, func() {
					c.machine.Answer(c.now(w), ask.Round, host, answer)
					w.carryOut(c)
				})
			})
		}
	}
}

func (w *world) carryStops(c *controller, stops []ownership.StopOut) {
	run := c.run
	for _, stop := range stops {
		for _, host := range stop.Hosts {
			peer := w.controllers[host]
			if host == c.name {
				c.machine.Promised(c.now(w), stop.Generation, host, c.voter.Stop(c.now(w), stop.Page, stop.Generation))
				continue
			}
			w.send(c.name, host, func() {
				if w.controllers[host] == nil {
					return // declared lost
				}
				promise := peer.voter.Stop(peer.now(w), stop.Page, stop.Generation)
				w.reply(host, &c.process, run, func() {
					c.machine.Promised(c.now(w), stop.Generation, host, promise)
					w.carryOut(c)
				})
			})
		}
	}
}

func (w *world) carryGrant(c *controller, out ownership.GrantOut) {
	run := c.run
	h := w.holders[out.Holder.Name]
	w.send(c.name, h.name, func() {
		if out.Grant != nil && !h.leaving {
			_ = h.holder.Accept(*out.Grant)
		}
		ack := ownership.HolderAck{
			SentAt:      out.SentAt,
			Stamp:       h.now(w),
			Incarnation: h.holder.Incarnation(),
			Generation:  h.holder.Generation(out.Page),
			Leaving:     h.leaving,
			Busy:        w.busyOf(h),
		}
		w.reply(h.name, &c.process, run, func() {
			c.machine.Ack(c.now(w), out.Holder, ack)
			w.carryOut(c)
		})
	})
}

// busyHashes lists the hashes of requests that a server still runs without holding
// a lease on them.
func (w *world) busyOf(h *holder) []uint64 {
	var busy []uint64
	for _, hash := range h.busy {
		if _, held := h.holder.HeldAt(h.now(w), testPage, hash); !held {
			busy = append(busy, hash)
		}
	}
	return busy
}

func (w *world) carryWrite(c *controller, page record.Page) {
	run := c.run
	w.send(c.name, storeName, func() {
		if w.storeDown {
			return
		}
		result := ownership.WriteConflict
		if w.page.Generation == page.Generation-1 {
			w.commit(page)
			result = ownership.WriteDone
		}
		w.reply(storeName, &c.process, run, func() {
			c.machine.WriteResult(c.now(w), page.Attempt, result)
			if result == ownership.WriteDone {
				c.voter.Learn(page.Name, page.Generation)
			}
			w.carryOut(c)
		})
	})
}

// commit stores a generation and checks that no hash changed its owner or token
// without being released before.
func (w *world) commit(page record.Page) {
	for hash := uint64(0); hash <= pageHigh; hash += 5 {
		before := w.page.Shards[w.page.ShardAt(hash)]
		after := page.Shards[page.ShardAt(hash)]
		if before.Grantable() && after.Grantable() && (before.Owner != after.Owner || before.Token != after.Token) {
			w.problem = fmt.Sprintf("hash %d moved from %s to %s without being released", hash, before.Owner, after.Owner)
		}
	}
	w.page = page
	w.version++
	w.history = append(w.history, page)
}

// read makes a controller read the store.
func (w *world) read(c *controller) {
	run := c.run
	began := c.now(w)
	w.send(c.name, storeName, func() {
		if w.storeDown {
			return
		}
		page := w.page
		w.reply(storeName, &c.process, run, func() {
			c.voter.Learn(page.Name, page.Generation)
			c.voter.StoreRead(began)
			c.machine.Learn(c.now(w), page)
			w.carryOut(c)
		})
	})
}

// relay makes a controller learn a page from a peer, as happens through routers'
// feeds.
func (w *world) relay(from, to *controller) {
	page := from.machine.Page()
	if page.Generation == 0 {
		return
	}
	w.send(from.name, to.name, func() {
		to.voter.Learn(page.Name, page.Generation)
		to.machine.Learn(to.now(w), page)
		w.carryOut(to)
	})
}

// request sends a request from a router that holds a valid lease by its own clock.
func (w *world) request(router *holder, hash uint64) {
	now := router.now(w)
	if now >= router.holder.Expiry(testPage) || router.leaving {
		return
	}
	generation := router.holder.Generation(testPage)
	page := w.history[generation-1]
	shard := page.Shards[page.ShardAt(hash)]
	if !shard.Grantable() {
		return
	}
	server := w.holders[shard.Owner]
	sentAt := w.time
	w.send(router.name, server.name, func() { w.accept(server, hash, shard.Token, sentAt) })
}

// accept delivers a request to a server, which runs it at once if it may.
func (w *world) accept(server *holder, hash, token uint64, sentAt time.Duration) {
	if w.unchecked {
		// Servers that do not check tokens must honour deadlines. A request in
		// transit for longer is the documented residual risk.
		if w.time-sentAt < w.defaultView().DrainWait {
			w.run(server, hash, token)
		}
		return
	}
	if server.holder.Holds(server.now(w), testPage, hash, token) {
		w.run(server, hash, token)
	}
}

func (w *world) run(server *holder, hash, token uint64) {
	before := w.effects[hash]
	if token < before.token || token == before.token && server.name != before.server {
		w.problem = fmt.Sprintf("hash %d ran at %s under token %d after %s under token %d",
			hash, server.name, token, before.server, before.token)
	}
	w.effects[hash] = effect{server: server.name, token: token}
}

func (w *world) processNames() []string {
	names := slices.Sorted(maps.Keys(w.controllers))
	names = append(names, serverNames...)
	names = append(names, routerNames...)
	return append(names, storeName)
}
