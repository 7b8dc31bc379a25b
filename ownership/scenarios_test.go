package ownership_test

import (
	"slices"

	"pgregory.net/rapid"

	"cicadarouter/ownership"
)

// injectFault injects one random fault, or none.
func (a actions) injectFault(t *rapid.T) {
	all := []func(*rapid.T){
		a.restartController, a.restartHolder, a.partition, a.heal, a.store, a.delay, a.releaseDelayed,
		a.changeGroup, a.request, a.request, a.request, a.resume, a.isolate, a.loseReply, a.move,
	}
	choice := rapid.IntRange(0, 4*len(all)).Draw(t, "fault")
	if choice < len(all) {
		all[choice](t)
	}
}

// runWithFaults runs the system for some rounds and injects faults.
func (a actions) runWithFaults(t *rapid.T, rounds int) {
	for range rounds {
		a.runNormally(t)
		a.request(t)
		a.injectFault(t)
	}
}

// member returns a running controller of the page's group, or nil.
func (a actions) member(t *rapid.T) *controller {
	name := rapid.SampledFrom(a.sim.page.Group).Draw(t, "member")
	c := a.sim.controllers[name]
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
		a.sim.setPaused(lost, true)
	} else {
		for _, name := range a.sim.controllerNames() {
			a.sim.cut[[2]string{name, lost}] = true
			a.sim.cut[[2]string{lost, name}] = true
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
	c.machine.Propose(c.now(a.sim), ownership.Proposal{Releases: releases})
	a.sim.perform(c)
	a.runWithFaults(t, 10)
	a.sim.setPaused(lost, false)
	a.runWithFaults(t, 2)
	a.heal(t)
	c.view = a.sim.defaultView()
}

// switchRouter makes the controllers prefer another dispatch router, because the
// previous one stops, restarts, pauses or is partitioned, or without such a reason.
func (a actions) switchRouter(t *rapid.T) {
	old := a.someHolder(t, routerNames)
	switch rapid.SampledFrom([]string{"leave", "restart", "pause", "cut", "none"}).Draw(t, "how") {
	case "leave":
		old.leaving = true
	case "restart":
		a.sim.startHolder(old)
	case "pause":
		a.sim.setPaused(old.name, true)
	case "cut":
		for _, name := range a.sim.controllerNames() {
			a.sim.cut[[2]string{name, old.name}] = true
		}
	}
	a.runWithFaults(t, 1)
	for _, c := range a.sim.controllers {
		c.view.Dispatcher = routerNames[0]
		if old.name == routerNames[0] {
			c.view.Dispatcher = routerNames[1]
		}
	}
	a.runWithFaults(t, 6)
	a.heal(t)
	a.resume(t)
}

// cutOffDomain partitions the page's failure domain from the store and the other
// domain, which then takes the page over.
func (a actions) cutOffDomain(t *rapid.T) {
	if a.sim.page.Home == "b" || !a.sim.page.Bounded {
		return
	}
	for _, name := range a.sim.namesOf("a") {
		for _, other := range append([]string{storeName}, otherDomainNames...) {
			a.sim.cut[[2]string{name, other}] = true
			a.sim.cut[[2]string{other, name}] = true
		}
	}
	a.takeOver(t)
	a.runWithFaults(t, 18)
	a.heal(t)
	a.runWithFaults(t, 2)
}
