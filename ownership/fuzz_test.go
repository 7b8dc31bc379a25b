package ownership_test

import (
	"flag"
	"os"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadarouter/ownership"
)

// steps counts the actions taken by all stateful tests of this package.
var steps atomic.Int64

// TestMain fixes the seed, so that CI gives the same verdict every time. Longer
// searches pass -rapid.seed, -rapid.checks and -rapid.steps.
func TestMain(m *testing.M) {
	seeded := false
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded {
		_ = flag.Set("rapid.seed", "20261202")
	}
	code := m.Run()
	println("stateful steps:", steps.Load())
	os.Exit(code)
}

// TestAtMostOneOwner drives the three state machines through every fault that
// the brief names, singly and together, and asks the oracle after each step.
func TestAtMostOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { explore(t, false) })
}

// TestAtMostOneOwnerUnchecked does the same with servers that run whatever
// reaches them.
func TestAtMostOneOwnerUnchecked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { explore(t, true) })
}

// explore takes random actions in a new world.
func explore(t *rapid.T, unchecked bool) {
	w := newWorld(t, unchecked)
	for _, c := range w.controllers {
		w.read(c)
	}
	w.settle(t)
	a := actions{w}
	t.Repeat(map[string]func(*rapid.T){
		"":               func(t *rapid.T) { steps.Add(1); w.check(t) },
		"work":           a.work,
		"work again":     a.work,
		"work on":        a.work,
		"tick":           a.tick,
		"deliver":        a.deliver,
		"deliver more":   a.deliver,
		"deliver all":    a.deliverAll,
		"advance":        a.advance,
		"advance far":    a.advanceFar,
		"duplicate":      a.duplicate,
		"drop":           a.drop,
		"cut":            a.cut,
		"heal":           a.heal,
		"isolate":        a.isolate,
		"store":          a.store,
		"lose reply":     a.loseReply,
		"pause":          a.pause,
		"resume":         a.resume,
		"restart":        a.restartController,
		"restart holder": a.restartHolder,
		"leave":          a.leave,
		"move":           a.move,
		"move on":        a.move,
		"split":          a.split,
		"change group":   a.changeGroup,
		"suspect":        a.suspect,
		"prefer":         a.preferDispatcher,
		"read":           a.read,
		"relay":          a.relay,
		"request":        a.request,
		"request again":  a.request,
		"declare lost":   a.declareLost,
	})
}

// actions are what can happen in a world.
type actions struct{ w *world }

// settle lets the system run undisturbed for a few ticks.
func (w *world) settle(t *rapid.T) {
	a := actions{w}
	for range 4 {
		a.work(t)
	}
}

// work is a stretch of ordinary running: all controllers tick and most of the
// messages arrive.
func (a actions) work(t *rapid.T) {
	for range 2 {
		for _, name := range a.w.controllerNames() {
			a.tickOne(a.w.controllers[name])
		}
		a.deliverAll(t)
		a.w.time += 10 * time.Millisecond
		a.w.check(t)
	}
}

func (w *world) controllerNames() []string {
	names := []string{}
	for _, name := range w.processNames() {
		if _, ok := w.controllers[name]; ok {
			names = append(names, name)
		}
	}
	return names
}

func (a actions) tickOne(c *controller) {
	if c.paused {
		return
	}
	c.machine.Tick(c.now(a.w), c.view)
	a.w.carryOut(c)
}

func (a actions) someController(t *rapid.T) *controller {
	return a.w.controllers[rapid.SampledFrom(a.w.controllerNames()).Draw(t, "controller")]
}

func (a actions) tick(t *rapid.T) { a.tickOne(a.someController(t)) }

// takeMessage removes and returns a message.
func (a actions) takeMessage(t *rapid.T) (message, bool) {
	if len(a.w.messages) == 0 {
		return message{}, false
	}
	index := rapid.IntRange(0, len(a.w.messages)-1).Draw(t, "message")
	m := a.w.messages[index]
	a.w.messages = slices.Delete(a.w.messages, index, index+1)
	return m, true
}

func (a actions) deliver(t *rapid.T) {
	m, ok := a.takeMessage(t)
	if !ok {
		return
	}
	if a.w.paused(m.to) {
		a.w.messages = append(a.w.messages, m) // waits in the receiver's socket
		return
	}
	a.w.deliver(m)
}

// deliverAll delivers what is on its way and what that brings about, in an
// order of rapid's choice.
func (a actions) deliverAll(t *rapid.T) {
	backwards := rapid.Bool().Draw(t, "backwards")
	for range 6 {
		batch := a.w.messages
		a.w.messages = nil
		if backwards {
			slices.Reverse(batch)
		}
		for _, m := range batch {
			if a.w.paused(m.to) {
				a.w.messages = append(a.w.messages, m)
				continue
			}
			a.w.deliver(m)
			a.w.check(t)
		}
	}
}

func (a actions) advance(t *rapid.T) {
	a.w.time += time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond
}

func (a actions) advanceFar(t *rapid.T) {
	a.w.time += time.Duration(rapid.IntRange(30, 300).Draw(t, "ms")) * time.Millisecond
}

func (a actions) duplicate(t *rapid.T) {
	if len(a.w.messages) == 0 {
		return
	}
	m := rapid.SampledFrom(a.w.messages).Draw(t, "message")
	a.w.messages = append(a.w.messages, m)
}

func (a actions) drop(t *rapid.T) { _, _ = a.takeMessage(t) }

// cut breaks one direction of one link.
func (a actions) cut(t *rapid.T) {
	names := a.w.processNames()
	from := rapid.SampledFrom(names).Draw(t, "from")
	to := rapid.SampledFrom(names).Draw(t, "to")
	a.w.cut[[2]string{from, to}] = true
}

// isolate cuts one process off from all but a few.
func (a actions) isolate(t *rapid.T) {
	names := a.w.processNames()
	one := rapid.SampledFrom(names).Draw(t, "one")
	friend := rapid.SampledFrom(names).Draw(t, "friend")
	for _, other := range names {
		if other != friend {
			a.w.cut[[2]string{one, other}] = true
			a.w.cut[[2]string{other, one}] = true
		}
	}
}

func (a actions) heal(*rapid.T) { clear(a.w.cut) }

func (a actions) store(t *rapid.T) { a.w.storeDown = rapid.Bool().Draw(t, "down") }

// loseReply drops a reply of the store and lets the writer time out.
func (a actions) loseReply(t *rapid.T) {
	c := a.someController(t)
	a.w.messages = slices.DeleteFunc(a.w.messages, func(m message) bool {
		return m.from == storeName && m.to == c.name
	})
	c.machine.WriteTimedOut(c.now(a.w))
	a.w.carryOut(c)
}

func (a actions) pause(t *rapid.T) {
	name := rapid.SampledFrom(a.w.processNames()).Draw(t, "process")
	a.w.setPaused(name, true)
}

func (a actions) resume(*rapid.T) {
	for _, name := range a.w.processNames() {
		a.w.setPaused(name, false)
	}
}

func (w *world) setPaused(name string, paused bool) {
	if c, ok := w.controllers[name]; ok {
		c.paused = paused
	}
	if h, ok := w.holders[name]; ok {
		h.paused = paused
	}
}

// restartController replaces a controller by an empty one at its address.
func (a actions) restartController(t *rapid.T) {
	c := a.someController(t)
	c.offset = time.Duration(rapid.IntRange(0, 5000).Draw(t, "offset")) * time.Millisecond
	a.w.startController(c)
	a.w.read(c)
}

func (a actions) someHolder(t *rapid.T, names []string) *holder {
	return a.w.holders[rapid.SampledFrom(names).Draw(t, "holder")]
}

func (a actions) restartHolder(t *rapid.T) {
	h := a.someHolder(t, append(slices.Clone(serverNames), routerNames...))
	h.offset = time.Duration(rapid.IntRange(0, 5000).Draw(t, "offset")) * time.Millisecond
	a.w.startHolder(h)
}

// leave has a router give its leases up for a graceful stop.
func (a actions) leave(t *rapid.T) { a.someHolder(t, routerNames).leaving = true }

func (a actions) move(t *rapid.T) {
	c := a.someController(t)
	shards := c.machine.Page().Shards
	if len(shards) == 0 || c.paused {
		return
	}
	shard := rapid.SampledFrom(shards).Draw(t, "shard")
	next := rapid.SampledFrom(serverNames).Draw(t, "next")
	c.machine.Propose(c.now(a.w), ownership.Proposal{Releases: []ownership.Release{{Low: shard.Low, Next: next}}})
	a.w.carryOut(c)
}

func (a actions) split(t *rapid.T) {
	c := a.someController(t)
	if c.paused || len(c.machine.Page().Shards) > 8 {
		return
	}
	at := uint64(rapid.IntRange(1, pageHigh).Draw(t, "at"))
	c.machine.Propose(c.now(a.w), ownership.Proposal{Splits: []ownership.Split{{At: at}}})
	a.w.carryOut(c)
}

func (a actions) changeGroup(t *rapid.T) {
	c := a.someController(t)
	if c.paused {
		return
	}
	size := rapid.IntRange(1, len(a.w.controllers)).Draw(t, "size")
	group := rapid.Permutation(a.w.controllerNames()).Draw(t, "group")[:size]
	c.machine.Propose(c.now(a.w), ownership.Proposal{Group: group})
	a.w.carryOut(c)
}

// suspect has a controller take some servers for lost, rightly or not.
func (a actions) suspect(t *rapid.T) {
	c := a.someController(t)
	c.view = a.w.defaultView()
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
	c.machine.Propose(c.now(a.w), ownership.Proposal{Releases: releases})
	a.w.carryOut(c)
}

func (a actions) preferDispatcher(t *rapid.T) {
	a.someController(t).view.Dispatcher = rapid.SampledFrom(append([]string{""}, routerNames...)).Draw(t, "router")
}

func (a actions) read(t *rapid.T) {
	if c := a.someController(t); !c.paused {
		a.w.read(c)
	}
}

func (a actions) relay(t *rapid.T) {
	from, to := a.someController(t), a.someController(t)
	if !from.paused && from != to {
		a.w.relay(from, to)
	}
}

func (a actions) request(t *rapid.T) {
	router := a.someHolder(t, routerNames)
	if router.paused {
		return
	}
	hash := uint64(rapid.IntRange(0, pageHigh/5).Draw(t, "hash")) * 5
	a.w.request(router, hash)
}

// declareLost has an operator declare a controller's host lost, which must be
// true: the host is gone and its name does not come back.
func (a actions) declareLost(t *rapid.T) {
	if len(a.w.lostHosts) > 0 {
		return
	}
	c := a.someController(t)
	c.paused = true
	c.run++
	a.w.lostHosts = []string{c.name}
	delete(a.w.controllers, c.name)
	for _, other := range a.w.controllers {
		other.view.LostHosts = a.w.lostHosts
	}
}
