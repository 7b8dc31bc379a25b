package gateway

import (
	"sync"
	"time"

	"cicadarouter/fleet"
	"cicadarouter/keyspace"
	"cicadarouter/revision"
)

// keyView is this host's view of the assignment of a service's keys.
type keyView struct {
	now func() time.Duration

	mu       sync.RWMutex
	revision uint64
	record   *keyspace.Record
	// storeRolledBack is set while the store, restored from a backup, holds an older record
	// than this one. revision is that of the record in the store even then.
	storeRolledBack bool
	receivedAt      time.Duration                // when record was received
	registered      map[string]fleet.Incarnation // registered servers by ID
	ownerlessSince  map[uint16]time.Duration     // since when a range has had no owner, by its first key
	domains         map[string]string            // failure domains of registered servers by ID
	// cutOff holds the failure domains that this host can't reach, with the time at which their keys
	// are expected to have other owners.
	cutOff map[string]time.Duration
}

func newKeyView(now func() time.Duration) *keyView {
	return &keyView{now: now, registered: map[string]fleet.Incarnation{}, ownerlessSince: map[uint16]time.Duration{}, domains: map[string]string{}}
}

// update stores a record unless a newer one is known, and reports whether it did. A late answer,
// or a store that was restored from a backup, must not bring back owners that have lost their
// keys.
func (v *keyView) update(version uint64, record *keyspace.Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.revision {
		return false
	}
	v.storeRolledBack = v.storeRolledBack || v.record != nil && revision.Era(version) > revision.Era(v.revision)
	v.revision = version
	if v.storeRolledBack && record.OlderThan(v.record) {
		return false
	}
	v.record, v.receivedAt, v.storeRolledBack = record, v.now(), false
	return true
}

// latest returns the newest known record and its revision in the store; nil before the first
// record.
func (v *keyView) latest() (*keyspace.Record, uint64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.record, v.revision
}

// age returns how long ago the newest record was received.
func (v *keyView) age() time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.now() - v.receivedAt
}

// updateServers updates the registered servers: changed ones, and the IDs of those that are no
// longer registered.
func (v *keyView) updateServers(changed []fleet.Server, gone []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range gone {
		delete(v.registered, id)
		delete(v.domains, id)
	}
	for i := range changed {
		v.registered[changed[i].ID], v.domains[changed[i].ID] = changed[i].Incarnation(), changed[i].Domain
	}
}

// setCutOff sets the failure domains that this host can't reach, and when their keys are expected to
// have other owners.
func (v *keyView) setCutOff(domains map[string]time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cutOff = domains
}

// OwnerOf implements balance.Owner.
func (v *keyView) OwnerOf(key uint16) (string, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.record == nil {
		return "", 0
	}
	r := v.record.RangeOf(key)
	if r == nil {
		return "", 0
	}
	if !r.Moving() && v.isRunning(r.Holder) {
		delete(v.ownerlessSince, r.From)
		return r.Server, 0
	}
	return "", v.ownerExpectedAt(r)
}

// isRunning reports whether a holder is registered and has not been restarted since: a later
// incarnation holds nothing until the record names it.
func (v *keyView) isRunning(holder keyspace.Holder) bool {
	incarnation, registered := v.registered[holder.Server]
	return registered && !incarnation.Replaces(holder.Incarnation())
}

// ownerExpectedAt estimates when a range will have an owner again; 0 means soon. A former
// holder that is still registered releases the range once its running requests have finished;
// one that is gone, or whose failure domain is cut off, holds it until its lease has expired.
func (v *keyView) ownerExpectedAt(r *keyspace.Range) time.Duration {
	since, known := v.ownerlessSince[r.From]
	if !known {
		since = v.now()
		v.ownerlessSince[r.From] = since
	}
	for _, former := range r.FormerHolders {
		if at, cutOff := v.cutOff[v.domains[former.Server]]; cutOff {
			return max(at, v.now()+minVacancy)
		}
	}
	_, alive := v.registered[r.Server] // even if restarted: it is then granted the keys at once
	lost := !r.Moving() && !alive
	for _, former := range r.FormerHolders {
		_, registered := v.registered[former.Server]
		lost = lost || !registered
	}
	if !lost {
		return 0
	}
	return max(since+keyspace.LeaseTerm, v.now()+minVacancy)
}

// minVacancy is the minimum time for which the keys of a lost owner are expected to stay
// without an owner.
const minVacancy = 300 * time.Millisecond
