package ownership

import (
	"slices"
	"time"
)

// promiseSet collects voters' promises to stop one generation and all older ones.
type collection struct {
	// leasesExpireAt holds, for each voter that promised, the local time at which
	// every lease that the voter agreed to has expired.
	lapsedAt map[string]time.Duration
	// majorityAt is when a majority had promised; it is valid if reachedMajority is
	// set.
	majority   bool
	majorityAt time.Duration
}

// promisesFor returns the promises to stop the generation and all older ones.
func (m *Machine) stopTarget(generation uint64) *collection {
	if known, ok := m.collections[generation]; ok {
		return known
	}
	fresh := &collection{lapsedAt: map[string]time.Duration{}}
	m.collections[generation] = fresh
	return fresh
}

// pruneStopPromises drops the promises that no pending change of the newest
// generation needs, and checks the others against the majority of the page's
// current groups.
func (m *Machine) forgetCollections() {
	needed := m.stopTargets()
	for generation, promises := range m.collections {
		if !slices.Contains(needed, generation) {
			delete(m.collections, generation)
			continue
		}
		promises.majority = promises.majority && m.majority(promises.promised())
	}
}

// generationsToStop lists the generations that must be stopped for the pending
// changes.
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

// requestStops asks the voters that have not promised yet.
func (m *Machine) requestStops() {
	for _, generation := range m.stopTargets() {
		promises := m.stopTarget(generation)
		var missing []string
		for _, host := range m.page.Voters() {
			if _, promised := promises.lapsedAt[host]; !promised {
				missing = append(missing, host)
			}
		}
		if len(missing) > 0 {
			stop := StopOut{Hosts: missing, Page: m.page.Name, Generation: generation}
			m.ready.Stops = append(m.ready.Stops, stop)
		}
	}
}

// HandlePromise processes a voter's promise to stop a generation.
func (m *Machine) Promised(now time.Duration, generation uint64, host string, promise Promise) {
	promises, wanted := m.collections[generation]
	if !wanted {
		return
	}
	if _, duplicate := promises.lapsedAt[host]; duplicate {
		return
	}
	promises.lapsedAt[host] = now + m.terms.Guard(promise.Remaining)
	m.countPromises(now, promises)
	m.advance(now)
}

func (m *Machine) countPromises(now time.Duration, promises *collection) {
	if promises.majority || !m.majority(promises.promised()) {
		return
	}
	promises.majority = true
	promises.majorityAt = now
	m.probeOwners(now)
}

// probeOwners immediately asks the old owners of releasing shards whether they have
// released them, rather than at the next tick.
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

// addLostHosts counts a host that an operator declared lost as stopped; the leases
// that it may have agreed to expire after one lease duration.
func (m *Machine) countLost(now time.Duration, promises *collection) {
	for _, host := range m.view.LostHosts {
		if _, promised := promises.lapsedAt[host]; !promised {
			promises.lapsedAt[host] = now + m.terms.Guard(m.terms.Lease)
		}
	}
	m.countPromises(now, promises)
}

func (s *collection) promised() map[string]bool {
	hosts := map[string]bool{}
	for host := range s.lapsedAt {
		hosts[host] = true
	}
	return hosts
}

// leasesExpired reports whether a majority stopped and the leases that it agreed to
// have expired, so that no lease on the generation or an older one can be valid.
func (m *Machine) lapsed(now time.Duration, promises *collection) bool {
	expired := map[string]bool{}
	for host, at := range promises.lapsedAt {
		if now >= at {
			expired[host] = true
		}
	}
	return promises.majority && m.majority(expired)
}
