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
	return ownership.Terms{LeaseDuration: 100 * time.Millisecond, MaxClockDrift: testDrift, MaxStoreOutage: 150 * time.Millisecond}
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

func (p *process) now(s *simulation) time.Duration {
	return p.offset + time.Duration(float64(s.trueTime)*p.rate)
}

type controller struct {
	process
	voter   *ownership.Voter
	machine *ownership.StateMachine
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

type simulation struct {
	trueTime    time.Duration
	controllers map[string]*controller
	holders     map[string]*holder
	messages    []message
	// delayed are messages that the network delays for a long time.
	delayed     []message
	cut         map[[2]string]bool
	storeDown   bool
	page        record.Page
	version     int
	history     []record.Page
	attempts    int
	incarnation uint64
	effects     map[uint64]effect
	newestKnown map[string]uint64 // newest generation of each controller
	group       []string
	unchecked   bool
	lostHosts   []string
	violation   string
}

const storeName = "store"

// otherDomainNames are controllers of another failure domain, which may take the
// page over.
var otherDomainNames = []string{"d1", "d2", "d3"}

var serverNames = []string{"s1", "s2", "s3"}

var routerNames = []string{"r1", "r2"}

// clockFunc returns the rate and offset of a process's clock.
type clockFunc func(name string) (rate float64, offset time.Duration)

// randomSimulation returns a simulation with random parameters.
func randomSimulation(t *rapid.T, unchecked bool) *simulation {
	size := rapid.SampledFrom([]int{2, 3, 3, 4, 5}).Draw(t, "group")
	bounded := rapid.Bool().Draw(t, "bounded")
	rates := []float64{1 - testDrift, 1 + testDrift, 1}
	return newSimulation(size, bounded, unchecked, func(name string) (float64, time.Duration) {
		rate := rapid.SampledFrom(rates).Draw(t, "rate of "+name)
		offset := rapid.IntRange(0, 5000).Draw(t, "offset of "+name)
		return rate, time.Duration(offset) * time.Millisecond
	})
}

// fixedSimulation returns a simulation for a fixed sequence of events, with three
// group members and identical clocks.
func fixedSimulation(bounded, unchecked bool) *simulation {
	return newSimulation(3, bounded, unchecked, func(string) (float64, time.Duration) { return 1, 0 })
}

func newSimulation(size int, bounded, unchecked bool, clock clockFunc) *simulation {
	newProcess := func(name string) process {
		rate, offset := clock(name)
		return process{name: name, rate: rate, offset: offset}
	}
	s := &simulation{
		controllers: map[string]*controller{},
		holders:     map[string]*holder{},
		cut:         map[[2]string]bool{},
		effects:     map[uint64]effect{},
		newestKnown: map[string]uint64{},
		unchecked:   unchecked,
		trueTime:    time.Hour,
	}
	for _, name := range otherDomainNames {
		s.controllers[name] = &controller{process: newProcess(name)}
	}
	for i := range size + 1 {
		name := fmt.Sprintf("c%d", i+1)
		if i < size {
			s.group = append(s.group, name)
		}
		s.controllers[name] = &controller{process: newProcess(name)}
	}
	s.page = record.Page{
		Name: testPage, Service: "split", Home: "a", Low: 0, High: pageHigh, Generation: 1,
		Group: slices.Clone(s.group), GroupSince: 1, Attempt: "first",
		Bounded: bounded,
		Shards: []record.Shard{
			{Low: 0, State: record.ShardReleasing},
			{Low: 50, State: record.ShardReleasing},
		},
	}
	s.history = []record.Page{s.page}
	s.version = 1
	for _, name := range s.controllerNames() {
		s.startController(s.controllers[name])
	}
	for _, name := range serverNames {
		s.holders[name] = &holder{process: newProcess(name), kind: ownership.BackendServer}
	}
	for _, name := range routerNames {
		s.holders[name] = &holder{process: newProcess(name), kind: ownership.Router}
	}
	for _, name := range append(slices.Clone(serverNames), routerNames...) {
		s.startHolder(s.holders[name])
	}
	return s
}

func (s *simulation) startController(c *controller) {
	s.newestKnown[c.name] = 0
	c.run++
	c.paused = false
	c.reading = false
	c.voter = ownership.NewVoter(testTerms(), c.now(s))
	c.machine = ownership.NewStateMachine(testTerms(), s.newAttempt)
	c.view = s.defaultView()
}

func (s *simulation) defaultView() ownership.View {
	return ownership.View{
		Active:             true,
		Servers:            serverNames,
		Eligible:           serverNames,
		Dispatcher:         routerNames[0],
		TokensUnchecked:    s.unchecked,
		MaxRequestDuration: 150 * time.Millisecond,
		LostHosts:          s.lostHosts,
	}
}

func (s *simulation) newAttempt() string {
	s.attempts++
	return fmt.Sprint("attempt ", s.attempts)
}

func (s *simulation) startHolder(h *holder) {
	s.incarnation++
	h.run++
	h.paused = false
	h.leaving = false
	h.busy = nil
	h.holder = ownership.NewHolder(s.incarnation)
}

// send sends a message, unless the link is cut.
func (s *simulation) send(from, to string, deliver func()) {
	if s.cut[[2]string{from, to}] {
		return
	}
	s.messages = append(s.messages, message{from: from, to: to, sentAt: s.trueTime, deliver: deliver})
}

// reply sends a reply to the run of the process that sent the request, unless the
// link is cut.
func (s *simulation) reply(from string, to *process, run int, deliver func()) {
	if s.cut[[2]string{from, to.name}] {
		return
	}
	s.messages = append(s.messages, message{from: from, to: to.name, runOf: to, run: run, sentAt: s.trueTime, deliver: deliver})
}

// deliver delivers one message, unless it is a reply to an earlier run of its
// receiver.
func (s *simulation) deliver(m message) {
	if m.runOf != nil && m.runOf.run != m.run {
		return
	}
	m.deliver()
}

func (s *simulation) paused(name string) bool {
	if c, ok := s.controllers[name]; ok {
		return c.paused
	}
	if h, ok := s.holders[name]; ok {
		return h.paused
	}
	return false
}

// perform performs the pending work of a controller's state machine.
func (s *simulation) perform(c *controller) {
	for {
		ready := c.machine.Ready()
		s.sendRenewals(c, ready.Renewals)
		s.sendStops(c, ready.Stops)
		for _, grant := range ready.Grants {
			s.sendGrant(c, grant)
		}
		if ready.Write != nil {
			s.sendWrite(c, *ready.Write)
		}
		if ready.Reread {
			s.read(c)
		}
		if len(ready.Renewals)+len(ready.Stops)+len(ready.Grants) == 0 {
			return
		}
	}
}

func (s *simulation) sendRenewals(c *controller, asks []ownership.RenewalMessage) {
	run := c.run
	for _, ask := range asks {
		for _, host := range ask.Hosts {
			peer := s.controllers[host]
			if host == c.name {
				c.machine.HandleRenewalResponse(c.now(s), ask.Round, host, c.voter.Agree(c.now(s), ask.Request))
				continue
			}
			s.send(c.name, host, func() {
				if s.controllers[host] == nil {
					return // declared lost
				}
				answer := peer.voter.Agree(peer.now(s), ask.Request)
				s.reply(host, &c.process, run, func() {
					c.machine.HandleRenewalResponse(c.now(s), ask.Round, host, answer)
					s.perform(c)
				})
			})
		}
	}
}

func (s *simulation) sendStops(c *controller, stops []ownership.StopMessage) {
	run := c.run
	for _, stop := range stops {
		for _, host := range stop.Hosts {
			peer := s.controllers[host]
			if host == c.name {
				c.machine.HandlePromise(c.now(s), stop.Generation, host, c.voter.Stop(c.now(s), stop.Page, stop.Generation))
				continue
			}
			s.send(c.name, host, func() {
				if s.controllers[host] == nil {
					return // declared lost
				}
				promise := peer.voter.Stop(peer.now(s), stop.Page, stop.Generation)
				s.reply(host, &c.process, run, func() {
					c.machine.HandlePromise(c.now(s), stop.Generation, host, promise)
					s.perform(c)
				})
			})
		}
	}
}

func (s *simulation) sendGrant(c *controller, out ownership.GrantMessage) {
	run := c.run
	h := s.holders[out.Holder.Name]
	s.send(c.name, h.name, func() {
		if out.Grant != nil && !h.leaving {
			_ = h.holder.Accept(*out.Grant)
		}
		ack := ownership.HolderAck{
			SentAt:      out.SentAt,
			HolderTime:  h.now(s),
			Incarnation: h.holder.Incarnation(),
			Generation:  h.holder.Generation(out.Page),
			Leaving:     h.leaving,
			Busy:        s.busyHashes(h),
		}
		s.reply(h.name, &c.process, run, func() {
			c.machine.HandleAck(c.now(s), out.Holder, ack)
			s.perform(c)
		})
	})
}

// busyHashes lists the hashes of requests that a server still runs without holding
// a lease on them.
func (s *simulation) busyHashes(h *holder) []uint64 {
	var busy []uint64
	for _, hash := range h.busy {
		if _, held := h.holder.ShardAt(h.now(s), testPage, hash); !held {
			busy = append(busy, hash)
		}
	}
	return busy
}

func (s *simulation) sendWrite(c *controller, page record.Page) {
	run := c.run
	s.send(c.name, storeName, func() {
		if s.storeDown {
			return
		}
		result := ownership.WriteConflict
		if s.page.Generation == page.Generation-1 {
			s.commit(page)
			result = ownership.WriteDone
		}
		s.reply(storeName, &c.process, run, func() {
			c.machine.HandleWriteResult(c.now(s), page.Attempt, result)
			if result == ownership.WriteDone {
				c.voter.Learn(page.Name, page.Generation)
			}
			s.perform(c)
		})
	})
}

// commit stores a generation and checks that no hash changed its owner or token
// without being released before.
func (s *simulation) commit(page record.Page) {
	for hash := uint64(0); hash <= pageHigh; hash += 5 {
		before := s.page.Shards[s.page.ShardAt(hash)]
		after := page.Shards[page.ShardAt(hash)]
		if before.Grantable() && after.Grantable() && (before.Owner != after.Owner || before.Token != after.Token) {
			s.violation = fmt.Sprintf("hash %d moved from %s to %s without being released", hash, before.Owner, after.Owner)
		}
	}
	s.page = page
	s.version++
	s.history = append(s.history, page)
}

// read makes a controller read the store.
func (s *simulation) read(c *controller) {
	run := c.run
	began := c.now(s)
	s.send(c.name, storeName, func() {
		if s.storeDown {
			return
		}
		page := s.page
		s.reply(storeName, &c.process, run, func() {
			c.voter.Learn(page.Name, page.Generation)
			c.voter.StoreRead(began)
			c.machine.Learn(c.now(s), page)
			s.perform(c)
		})
	})
}

// relay makes a controller learn a page from a peer, as happens through routers'
// feeds.
func (s *simulation) relay(from, to *controller) {
	page := from.machine.Page()
	if page.Generation == 0 {
		return
	}
	s.send(from.name, to.name, func() {
		to.voter.Learn(page.Name, page.Generation)
		to.machine.Learn(to.now(s), page)
		s.perform(to)
	})
}

// request sends a request from a router that holds a valid lease by its own clock.
func (s *simulation) request(router *holder, hash uint64) {
	now := router.now(s)
	if now >= router.holder.Expiry(testPage) || router.leaving {
		return
	}
	generation := router.holder.Generation(testPage)
	page := s.history[generation-1]
	shard := page.Shards[page.ShardAt(hash)]
	if !shard.Grantable() {
		return
	}
	server := s.holders[shard.Owner]
	sentAt := s.trueTime
	s.send(router.name, server.name, func() { s.accept(server, hash, shard.Token, sentAt) })
}

// accept delivers a request to a server, which runs it at once if it may.
func (s *simulation) accept(server *holder, hash, token uint64, sentAt time.Duration) {
	if s.unchecked {
		// Servers that do not check tokens must honour deadlines. A request in
		// transit for longer is the documented residual risk.
		if s.trueTime-sentAt < s.defaultView().MaxRequestDuration {
			s.run(server, hash, token)
		}
		return
	}
	if server.holder.Holds(server.now(s), testPage, hash, token) {
		s.run(server, hash, token)
	}
}

func (s *simulation) run(server *holder, hash, token uint64) {
	before := s.effects[hash]
	if token < before.token || token == before.token && server.name != before.server {
		s.violation = fmt.Sprintf("hash %d ran at %s under token %d after %s under token %d",
			hash, server.name, token, before.server, before.token)
	}
	s.effects[hash] = effect{server: server.name, token: token}
}

func (s *simulation) processNames() []string {
	names := slices.Sorted(maps.Keys(s.controllers))
	names = append(names, serverNames...)
	names = append(names, routerNames...)
	return append(names, storeName)
}
