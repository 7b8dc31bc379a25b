package ownership_test

import (
	"slices"

	"pgregory.net/rapid"

	"cicadarouter/ownership"
)

// injectFault injects one random fault, or none.
func (a actions) disturb(t *rapid.T) {
	all := []func(*rapid.T){
		a.restartController, a.restartHolder, a.partition, a.heal, a.store, a.hold, a.letGo,
		a.changeGroup, a.request, a.request, a.request, a.resume, a.isolate, a.loseReply, a.move,
	}
	choice := rapid.IntRange(0, 4*len(all)).Draw(t, "fault")
	if choice < len(all) {
		all[choice](t)
	}
}

// runWithFaults runs the system for some rounds and injects faults.
func (a actions) follow(t *rapid.T, rounds int) {
	for range rounds {
		a.work(t)
		a.request(t)
		a.disturb(t)
	}
}

// member returns a running controller of the page's group, or nil.
func (a actions) member(t *rapid.T) *controller {
	name := rapid.SampledFrom(a.w.page.Group).Draw(t, "member")
	c := a.w.controllers[name]
	if c == nil || c.paused {
		return nil
	}
	return c
}

// failOver makes a server unavailable, by a pause or a network partition, and has
// its shards moved. Then the server returns with its old state.
func (a actions) failOver(t *rapid.T) {
	c := a.member(t)
	if c == nil {
		return
	}
	lost := rapid.SampledFrom(serverNames).Draw(t, "lost")
	if rapid.Bool().Draw(t, "pause") {
		a.w.setPaused(lost, true)
	} else {
		for _, name := range a.w.controllerNames() {
			a.w.cut[[2]string{name, lost}] = true
			a.w.cut[[2]string{lost, name}] = true
		}
	}
	c.view.Eligible = slices.DeleteFunc(slices.Clone(serverNames), func(name string) bool { return name == lost })
	var releases []ownership.Release
	for _, shard := range c.machine.Page().Shards {
		if shard.Owner == lost {
			releases = append(releases, ownership.Release{Low: shard.Low, Next: c.view.Eligible[0]})
		}
	}
	a.request(t)
	c.machine.Propose(c.now(a.w), ownership.Proposal{Releases: releases})
	a.w.carryOut(c)
	a.follow(t, 10)
	a.w.setPaused(lost, false)
	a.follow(t, 2)
	a.heal(t)
	c.view = a.w.defaultView()
}

// switchRouter makes the controllers prefer another dispatch router, because the
// previous one stops, restarts, pauses or is partitioned, or without such a reason.
func (a actions) switchRouter(t *rapid.T) {
	old := a.someHolder(t, routerNames)
	switch rapid.SampledFrom([]string{"leave", "restart", "pause", "cut", "none"}).Draw(t, "how") {
	case "leave":
		old.leaving = true
	case "restart":
		a.w.startHolder(old)
	case "pause":
		a.w.setPaused(old.name, true)
	case "cut":
		for _, name := range a.w.controllerNames() {
			a.w.cut[[2]string{name, old.name}] = true
		}
	}
	a.follow(t, 1)
	for _, c := range a.w.controllers {
		c.view.Dispatcher = routerNames[0]
		if old.name == routerNames[0] {
			c.view.Dispatcher = routerNames[1]
		}
	}
	a.follow(t, 6)
	a.heal(t)
	a.resume(t)
}

// cutOffDomain partitions the page's failure domain from the store and the other
// domain, which then takes the page over.
func (a actions) cutOffDomain(t *rapid.T) {
	if a.w.page.Home == "b" || !a.w.page.Bounded {
		return
	}
	for _, name := range a.w.namesOf("a") {
		for _, other := range append([]string{storeName}, heirNames...) {
			a.w.cut[[2]string{name, other}] = true
			a.w.cut[[2]string{other, name}] = true
		}
	}
	a.takeOver(t)
	a.follow(t, 18)
	a.heal(t)
	a.follow(t, 2)
}
