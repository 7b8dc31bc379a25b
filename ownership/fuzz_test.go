package ownership_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadarouter/ownership"

	"cicadarouter/internal/fixedseed"
)

// TestMain fixes the seed of the stateful tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

// TestAtMostOneOwner runs the three state machines under random faults and
// combinations of them (lost, late and repeated messages, partitions, clock drift,
// pauses, restarts, store outages, group changes and takeovers) and checks the
// invariants after each step.
func TestAtMostOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkRandomActions(t, false) })
}

// TestAtMostOneOwnerUnchecked does the same with servers that do not check tokens.
func TestAtMostOneOwnerUnchecked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkRandomActions(t, true) })
}

// checkRandomActions takes random actions in a new simulation and checks the
// invariants.
func checkRandomActions(t *rapid.T, unchecked bool) {
	s := randomSimulation(t, unchecked)
	for _, name := range s.controllerNames() {
		s.read(s.controllers[name])
	}
	s.settle(t)
	a := actions{s}
	t.Repeat(weighted(map[string]weightedAction{
		"work":           {a.runNormally, 6},
		"tick":           {a.tick, 1},
		"deliver":        {a.deliver, 1},
		"deliver all":    {a.deliverAll, 1},
		"advance":        {a.advance, 2},
		"advance far":    {a.advanceFar, 1},
		"duplicate":      {a.duplicate, 1},
		"drop":           {a.drop, 1},
		"hold":           {a.delay, 2},
		"let go":         {a.releaseDelayed, 2},
		"cut":            {a.cut, 1},
		"isolate":        {a.isolate, 1},
		"partition":      {a.partition, 1},
		"heal":           {a.heal, 3},
		"store":          {a.store, 1},
		"lose reply":     {a.loseReply, 1},
		"pause":          {a.pause, 1},
		"resume":         {a.resume, 2},
		"restart":        {a.restartController, 1},
		"restart holder": {a.restartHolder, 1},
		"leave":          {a.leave, 1},
		"move":           {a.move, 2},
		"split":          {a.split, 1},
		"change group":   {a.changeGroup, 1},
		"suspect":        {a.suspect, 1},
		"prefer":         {a.preferDispatcher, 1},
		"take over":      {a.takeOver, 1},
		"relay":          {a.relay, 1},
		"request":        {a.request, 4},
		"declare lost":   {a.declareLost, 1},
		"fail over":      {a.failOver, 2},
		"switch router":  {a.switchRouter, 2},
		"cut off domain": {a.cutOffDomain, 1},
	}, func(t *rapid.T) { s.checkInvariants(t) }))
}

// weightedAction is an action that is chosen weight times as often as one of weight
// 1.
type weightedAction struct {
	act    func(*rapid.T)
	weight int
}

// weighted lists each action under as many names as its weight.
func weighted(acts map[string]weightedAction, check func(*rapid.T)) map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){"": check}
	for name, entry := range acts {
		for i := range entry.weight {
			all[fmt.Sprint(name, strings.Repeat("+", i))] = entry.act
		}
	}
	return all
}

// actions are the events that can happen in a simulation.
type actions struct{ sim *simulation }

// settle runs the system without faults for a few ticks.
func (s *simulation) settle(t *rapid.T) {
	a := actions{s}
	for range 4 {
		a.runNormally(t)
	}
}

// runNormally runs the system without new faults: all controllers tick and messages
// are delivered to the processes that are not paused.
func (a actions) runNormally(t *rapid.T) {
	for range 2 {
		for _, name := range a.sim.controllerNames() {
			a.watch(a.sim.controllers[name])
			a.tickOne(a.sim.controllers[name])
		}
		a.deliverAll(t)
		a.sim.trueTime += 10 * time.Millisecond
		a.sim.checkInvariants(t)
	}
}

func (s *simulation) controllerNames() []string {
	names := []string{}
	for _, name := range s.processNames() {
		if _, ok := s.controllers[name]; ok {
			names = append(names, name)
		}
	}
	return names
}

// watch makes a running controller read the store, as a watch would.
func (a actions) watch(c *controller) {
	if !c.paused {
		a.sim.read(c)
	}
}

func (a actions) tickOne(c *controller) {
	if c.paused || !slices.Contains(c.machine.Page().Voters(), c.name) {
		return
	}
	c.machine.Tick(c.now(a.sim), c.view)
	a.sim.perform(c)
}

func (a actions) someController(t *rapid.T) *controller {
	return a.sim.controllers[rapid.SampledFrom(a.sim.controllerNames()).Draw(t, "controller")]
}

func (a actions) tick(t *rapid.T) { a.tickOne(a.someController(t)) }

// takeMessage removes and returns a message.
func (a actions) takeMessage(t *rapid.T) (message, bool) {
	if len(a.sim.messages) == 0 {
		return message{}, false
	}
	index := rapid.IntRange(0, len(a.sim.messages)-1).Draw(t, "message")
	m := a.sim.messages[index]
	a.sim.messages = slices.Delete(a.sim.messages, index, index+1)
	return m, true
}

func (a actions) deliver(t *rapid.T) {
	m, ok := a.takeMessage(t)
	if !ok {
		return
	}
	if a.sim.paused(m.to) {
		a.sim.messages = append(a.sim.messages, m) // stays in the receiver's socket buffer
		return
	}
	a.sim.deliver(m)
}

// deliverAll delivers the messages in transit and those sent in response, in the
// order sent or in reverse.
func (a actions) deliverAll(t *rapid.T) {
	backwards := rapid.Bool().Draw(t, "backwards")
	for range 6 {
		batch := a.sim.messages
		a.sim.messages = nil
		if backwards {
			slices.Reverse(batch)
		}
		for _, m := range batch {
			if a.sim.paused(m.to) {
				a.sim.messages = append(a.sim.messages, m)
				continue
			}
			a.sim.deliver(m)
			a.sim.checkInvariants(t)
		}
	}
}

func (a actions) advance(t *rapid.T) {
	a.sim.trueTime += time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond
}

func (a actions) advanceFar(t *rapid.T) {
	a.sim.trueTime += time.Duration(rapid.IntRange(30, 300).Draw(t, "ms")) * time.Millisecond
}

func (a actions) duplicate(t *rapid.T) {
	if len(a.sim.messages) == 0 {
		return
	}
	m := rapid.SampledFrom(a.sim.messages).Draw(t, "message")
	a.sim.messages = append(a.sim.messages, m)
}

func (a actions) drop(t *rapid.T) { _, _ = a.takeMessage(t) }

// delay sets a message aside; the network delivers it much later.
func (a actions) delay(t *rapid.T) {
	if m, ok := a.takeMessage(t); ok {
		a.sim.delayed = append(a.sim.delayed, m)
	}
}

// delayFrom sets all messages of one process aside.
func (a actions) delayFrom(name string) {
	a.sim.messages = slices.DeleteFunc(a.sim.messages, func(m message) bool {
		if m.from == name {
			a.sim.delayed = append(a.sim.delayed, m)
		}
		return m.from == name
	})
}

func (a actions) releaseDelayed(*rapid.T) {
	a.sim.messages = append(a.sim.messages, a.sim.delayed...)
	a.sim.delayed = nil
}

// partition splits the controllers into two sides. The store and each holder are
// reachable from one side or from both.
func (a actions) partition(t *rapid.T) {
	clear(a.sim.cut)
	near := map[string]bool{}
	for _, name := range a.sim.controllerNames() {
		near[name] = rapid.Bool().Draw(t, "near")
	}
	for _, one := range a.sim.controllerNames() {
		for _, other := range a.sim.controllerNames() {
			if near[one] != near[other] {
				a.sim.cut[[2]string{one, other}] = true
			}
		}
	}
	for _, name := range append(slices.Clone(serverNames), append(slices.Clone(routerNames), storeName)...) {
		reach := rapid.SampledFrom([]string{"near", "far", "both"}).Draw(t, "reach of "+name)
		for _, one := range a.sim.controllerNames() {
			if reach == "both" || near[one] == (reach == "near") {
				continue
			}
			a.sim.cut[[2]string{one, name}] = true
			a.sim.cut[[2]string{name, one}] = true
		}
	}
}

// cut breaks one direction of one link.
func (a actions) cut(t *rapid.T) {
	names := a.sim.processNames()
	from := rapid.SampledFrom(names).Draw(t, "from")
	to := rapid.SampledFrom(names).Draw(t, "to")
	a.sim.cut[[2]string{from, to}] = true
}

// isolate cuts one process off from all others but one.
func (a actions) isolate(t *rapid.T) {
	names := a.sim.processNames()
	one := rapid.SampledFrom(names).Draw(t, "one")
	friend := rapid.SampledFrom(names).Draw(t, "friend")
	for _, other := range names {
		if other != friend {
			a.sim.cut[[2]string{one, other}] = true
			a.sim.cut[[2]string{other, one}] = true
		}
	}
}

func (a actions) heal(*rapid.T) {
	clear(a.sim.cut)
	a.sim.storeDown = false
}

func (a actions) store(t *rapid.T) { a.sim.storeDown = rapid.Bool().Draw(t, "down") }

// loseReply drops the replies of the store to one controller and lets its write
// time out.
func (a actions) loseReply(t *rapid.T) {
	c := a.someController(t)
	a.sim.messages = slices.DeleteFunc(a.sim.messages, func(m message) bool {
		return m.from == storeName && m.to == c.name
	})
	c.machine.HandleWriteTimeout(c.now(a.sim))
	a.sim.perform(c)
}

func (a actions) pause(t *rapid.T) {
	name := rapid.SampledFrom(a.sim.processNames()).Draw(t, "process")
	a.sim.setPaused(name, true)
}

func (a actions) resume(*rapid.T) {
	for _, name := range a.sim.processNames() {
		a.sim.setPaused(name, false)
	}
	for _, name := range routerNames {
		if a.sim.holders[name].leaving {
			a.sim.startHolder(a.sim.holders[name])
		}
	}
}

func (s *simulation) setPaused(name string, paused bool) {
	if c, ok := s.controllers[name]; ok {
		c.paused = paused
	}
	if h, ok := s.holders[name]; ok {
		h.paused = paused
	}
}

// restartController replaces a controller by a new process without state at the
// same address.
func (a actions) restartController(t *rapid.T) {
	c := a.someController(t)
	c.offset = time.Duration(rapid.IntRange(0, 5000).Draw(t, "offset")) * time.Millisecond
	a.sim.startController(c)
	a.sim.read(c)
}

func (a actions) someHolder(t *rapid.T, names []string) *holder {
	return a.sim.holders[rapid.SampledFrom(names).Draw(t, "holder")]
}

func (a actions) restartHolder(t *rapid.T) {
	h := a.someHolder(t, append(slices.Clone(serverNames), routerNames...))
	h.offset = time.Duration(rapid.IntRange(0, 5000).Draw(t, "offset")) * time.Millisecond
	a.sim.startHolder(h)
}

// leave makes a router release its leases for a graceful stop.
func (a actions) leave(t *rapid.T) { a.someHolder(t, routerNames).leaving = true }

func (a actions) move(t *rapid.T) {
	c := a.someController(t)
	shards := c.machine.Page().Shards
	if len(shards) == 0 || c.paused {
		return
	}
	shard := rapid.SampledFrom(shards).Draw(t, "shard")
	next := rapid.SampledFrom(serverNames).Draw(t, "next")
	c.machine.Propose(c.now(a.sim), ownership.Proposal{Releases: []ownership.Release{{Low: shard.Low, Next: next}}})
	a.sim.perform(c)
}

func (a actions) split(t *rapid.T) {
	c := a.someController(t)
	if c.paused || len(c.machine.Page().Shards) > 8 {
		return
	}
	at := uint64(rapid.IntRange(1, pageHigh).Draw(t, "at"))
	c.machine.Propose(c.now(a.sim), ownership.Proposal{Splits: []ownership.Split{{At: at}}})
	a.sim.perform(c)
}

func (a actions) changeGroup(t *rapid.T) {
	c := a.someController(t)
	if c.paused {
		return
	}
	home := a.sim.namesOf(c.machine.Page().Home)
	if len(home) == 0 {
		return
	}
	size := rapid.IntRange(1, len(home)).Draw(t, "size")
	group := rapid.Permutation(home).Draw(t, "group")[:size]
	c.machine.Propose(c.now(a.sim), ownership.Proposal{Group: group})
	a.sim.perform(c)
}

// namesOf lists the controllers of a failure domain.
func (s *simulation) namesOf(domain string) []string {
	return slices.DeleteFunc(s.controllerNames(), func(name string) bool {
		return slices.Contains(otherDomainNames, name) != (domain == "b")
	})
}

// takeOver makes the other domain take over a bounded page, whether or not the
// first domain is cut off.
func (a actions) takeOver(t *rapid.T) {
	c := a.sim.controllers[rapid.SampledFrom(otherDomainNames).Draw(t, "controller of other domain")]
	if c == nil || c.paused {
		return
	}
	page := c.machine.Page()
	if !page.Bounded || page.Home == "b" {
		return
	}
	a.sim.sendWrite(c, ownership.TakeOver(page, "b", slices.Clone(otherDomainNames), a.sim.newAttempt()))
}

// suspect makes a controller treat some servers as lost, whether or not they are.
func (a actions) suspect(t *rapid.T) {
	c := a.someController(t)
	c.view = a.sim.defaultView()
	c.view.Eligible = rapid.SliceOfDistinct(rapid.SampledFrom(serverNames), func(s string) string { return s }).Draw(t, "eligible")
	if len(c.view.Eligible) == 0 || c.paused {
		return
	}
	var releases []ownership.Release
	for _, shard := range c.machine.Page().Shards {
		if !slices.Contains(c.view.Eligible, shard.Owner) {
			releases = append(releases, ownership.Release{Low: shard.Low, Next: c.view.Eligible[0]})
		}
	}
	c.machine.Propose(c.now(a.sim), ownership.Proposal{Releases: releases})
	a.sim.perform(c)
}

func (a actions) preferDispatcher(t *rapid.T) {
	a.someController(t).view.Dispatcher = rapid.SampledFrom(append([]string{""}, routerNames...)).Draw(t, "router")
}

func (a actions) relay(t *rapid.T) {
	from, to := a.someController(t), a.someController(t)
	if !from.paused && from != to {
		a.sim.relay(from, to)
	}
}

func (a actions) request(t *rapid.T) {
	router := a.someHolder(t, routerNames)
	if router.paused {
		return
	}
	hash := uint64(rapid.IntRange(0, pageHigh/5).Draw(t, "hash")) * 5
	a.sim.request(router, hash)
	if rapid.Bool().Draw(t, "slow") {
		a.delayFrom(router.name)
	}
}

// declareLost makes an operator declare a controller's host lost. The declaration
// must be true: the host never runs again under its name.
func (a actions) declareLost(t *rapid.T) {
	if len(a.sim.lostHosts) > 0 {
		return
	}
	c := a.someController(t)
	c.paused = true
	c.run++
	a.sim.lostHosts = []string{c.name}
	delete(a.sim.controllers, c.name)
	for _, other := range a.sim.controllers {
		other.view.LostHosts = a.sim.lostHosts
	}
}
