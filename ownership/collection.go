package ownership

import (
	"slices"
	"time"
)

// collection gathers promises to stop one generation and all older ones.
type collection struct {
	// lapsedAt holds, for each voter that promised, this machine's time at
	// which nothing that the voter agreed to can still run.
	lapsedAt map[string]time.Duration
	// majorityAt is when a majority had promised.
	majority   bool
	majorityAt time.Duration
}

// stopTarget returns the collection for "no lease on the generation or an older one".
func (m *Machine) stopTarget(generation uint64) *collection {
	if known, ok := m.collections[generation]; ok {
		return known
	}
	fresh := &collection{lapsedAt: map[string]time.Duration{}}
	m.collections[generation] = fresh
	return fresh
}

// forgetCollections drops those that nothing in the newest generation waits for,
// and re-counts the others against its groups.
func (m *Machine) forgetCollections() {
	needed := m.stopTargets()
	for generation, gathered := range m.collections {
		if !slices.Contains(needed, generation) {
			delete(m.collections, generation)
			continue
		}
		gathered.majority = gathered.majority && m.majority(gathered.promised())
	}
}

// stopTargets lists the generations that pending changes need stopped.
func (m *Machine) stopTargets() []uint64 {
	var targets []uint64
	for _, shard := range m.page.Shards {
		if shard.Releasing() && shard.Released > 0 {
			targets = append(targets, shard.Released-1)
		}
	}
	if len(m.page.OldGroup) > 0 {
		targets = append(targets, m.page.GroupSince-1)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// requestStops asks those voters that have not promised yet.
func (m *Machine) requestStops() {
	for _, generation := range m.stopTargets() {
		gathered := m.stopTarget(generation)
		var missing []string
		for _, host := range m.page.Voters() {
			if _, promised := gathered.lapsedAt[host]; !promised {
				missing = append(missing, host)
			}
		}
		if len(missing) > 0 {
			stop := StopOut{Hosts: missing, Page: m.page.Name, Generation: generation}
			m.ready.Stops = append(m.ready.Stops, stop)
		}
	}
}

// Promised takes a voter's promise to stop a generation.
func (m *Machine) Promised(now time.Duration, generation uint64, host string, promise Promise) {
	gathered, wanted := m.collections[generation]
	if !wanted {
		return
	}
	if _, twice := gathered.lapsedAt[host]; twice {
		return
	}
	gathered.lapsedAt[host] = now + m.terms.Guard(promise.Remaining)
	m.countPromises(now, gathered)
	m.advance(now)
}

func (m *Machine) countPromises(now time.Duration, gathered *collection) {
	if gathered.majority || !m.majority(gathered.promised()) {
		return
	}
	gathered.majority = true
	gathered.majorityAt = now
	m.probeOwners(now)
}

// probeOwners asks the old owners of releasing shards at once whether they have
// let go, rather than at the next tick.
func (m *Machine) probeOwners(now time.Duration) {
	asked := map[string]bool{}
	for _, shard := range m.page.Shards {
		if !shard.Releasing() || shard.Owner == "" || asked[shard.Owner] {
			continue
		}
		asked[shard.Owner] = true
		m.send(now, HolderID{Kind: BackendServer, Name: shard.Owner}, nil)
	}
}

// countLost lets a host that an operator declared lost count as stopped once
// everything that it may have agreed to before has lapsed.
func (m *Machine) countLost(now time.Duration, gathered *collection) {
	for _, host := range m.view.LostHosts {
		if _, promised := gathered.lapsedAt[host]; !promised {
			gathered.lapsedAt[host] = now + m.terms.Guard(m.terms.Lease)
		}
	}
	m.countPromises(now, gathered)
}

func (c *collection) promised() map[string]bool {
	hosts := map[string]bool{}
	for host := range c.lapsedAt {
		hosts[host] = true
	}
	return hosts
}

// lapsed reports whether a majority stopped and all that it agreed to has
// lapsed, so that no lease on the generation or an older one can run.
func (m *Machine) lapsed(now time.Duration, gathered *collection) bool {
	over := map[string]bool{}
	for host, at := range gathered.lapsedAt {
		if now >= at {
			over[host] = true
		}
	}
	return gathered.majority && m.majority(over)
}
