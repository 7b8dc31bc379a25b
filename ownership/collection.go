package ownership

import (
	"slices"
	"time"
)

// promiseSet collects voters' promises to stop one generation and all older ones.
type promiseSet struct {
	// leasesExpireAt holds, for each voter that promised, the local time at which
	// every lease that the voter agreed to has expired.
	leasesExpireAt map[string]time.Duration
	// majorityAt is when a majority had promised; it is valid if reachedMajority is
	// set.
	reachedMajority bool
	majorityAt      time.Duration
}

// promisesFor returns the promises to stop the generation and all older ones.
func (m *StateMachine) promisesFor(generation uint64) *promiseSet {
	if known, ok := m.stopPromises[generation]; ok {
		return known
	}
	fresh := &promiseSet{leasesExpireAt: map[string]time.Duration{}}
	m.stopPromises[generation] = fresh
	return fresh
}

// pruneStopPromises drops the promises that no pending change of the newest
// generation needs, and checks the others against the majority of the page's
// current groups.
func (m *StateMachine) pruneStopPromises() {
	needed := m.generationsToStop()
	for generation, promises := range m.stopPromises {
		if !slices.Contains(needed, generation) {
			delete(m.stopPromises, generation)
			continue
		}
		promises.reachedMajority = promises.reachedMajority && m.hasMajority(promises.hosts())
	}
}

// generationsToStop lists the generations that must be stopped for the pending
// changes.
func (m *StateMachine) generationsToStop() []uint64 {
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
func (m *StateMachine) requestStops() {
	for _, generation := range m.generationsToStop() {
		promises := m.promisesFor(generation)
		var missing []string
		for _, host := range m.page.Voters() {
			if _, promised := promises.leasesExpireAt[host]; !promised {
				missing = append(missing, host)
			}
		}
		if len(missing) > 0 {
			stop := StopMessage{Hosts: missing, Page: m.page.Name, Generation: generation}
			m.ready.Stops = append(m.ready.Stops, stop)
		}
	}
}

// HandlePromise processes a voter's promise to stop a generation.
func (m *StateMachine) HandlePromise(now time.Duration, generation uint64, host string, promise Promise) {
	promises, wanted := m.stopPromises[generation]
	if !wanted {
		return
	}
	if _, duplicate := promises.leasesExpireAt[host]; duplicate {
		return
	}
	promises.leasesExpireAt[host] = now + m.terms.SafeWait(promise.Remaining)
	m.checkMajority(now, promises)
	m.writeNextGeneration(now)
}

func (m *StateMachine) checkMajority(now time.Duration, promises *promiseSet) {
	if promises.reachedMajority || !m.hasMajority(promises.hosts()) {
		return
	}
	promises.reachedMajority = true
	promises.majorityAt = now
	m.probeOwners(now)
}

// probeOwners immediately asks the old owners of releasing shards whether they have
// released them, rather than at the next tick.
func (m *StateMachine) probeOwners(now time.Duration) {
	asked := map[string]bool{}
	for _, shard := range m.page.Shards {
		if !shard.Releasing() || shard.Owner == "" || asked[shard.Owner] {
			continue
		}
		asked[shard.Owner] = true
		m.queueMessage(now, HolderID{Kind: BackendServer, Name: shard.Owner}, nil)
	}
}

// addLostHosts counts a host that an operator declared lost as stopped; the leases
// that it may have agreed to expire after one lease duration.
func (m *StateMachine) addLostHosts(now time.Duration, promises *promiseSet) {
	for _, host := range m.view.LostHosts {
		if _, promised := promises.leasesExpireAt[host]; !promised {
			promises.leasesExpireAt[host] = now + m.terms.SafeWait(m.terms.LeaseDuration)
		}
	}
	m.checkMajority(now, promises)
}

func (s *promiseSet) hosts() map[string]bool {
	hosts := map[string]bool{}
	for host := range s.leasesExpireAt {
		hosts[host] = true
	}
	return hosts
}

// leasesExpired reports whether a majority stopped and the leases that it agreed to
// have expired, so that no lease on the generation or an older one can be valid.
func (m *StateMachine) leasesExpired(now time.Duration, promises *promiseSet) bool {
	expired := map[string]bool{}
	for host, at := range promises.leasesExpireAt {
		if now >= at {
			expired[host] = true
		}
	}
	return promises.reachedMajority && m.hasMajority(expired)
}
