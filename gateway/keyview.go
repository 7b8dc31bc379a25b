package gateway

import (
	"sync"
	"time"

	"cicadarouter/fleet"
	"cicadarouter/keyspace"
	"cicadarouter/revision"
)

// keyView is what this host knows of a service's assignment of keys.
type keyView struct {
	now func() time.Duration

	mu       sync.RWMutex
	revision uint64
	record   *keyspace.Record
	// forgotten is set while the store, which has come back from a copy, holds an earlier
	// record than this one. revision is that of the store's record all the same.
	forgotten bool
	seen      time.Duration                // when record came
	present   map[string]fleet.Incarnation // registered servers by ID
	vacant    map[uint16]time.Duration     // by a range's first key: since when it has no owner
}

func newKeyView(now func() time.Duration) *keyView {
	return &keyView{now: now, present: map[string]fleet.Incarnation{}, vacant: map[uint16]time.Duration{}}
}

// offer takes a record unless a newer one is known: a slow answer must not
// bring back owners that have lost their keys, nor must a store that has come back
// from a copy.
func (v *keyView) offer(version uint64, record *keyspace.Record) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.revision {
		return false
	}
	v.forgotten = v.forgotten || v.record != nil && revision.Era(version) > revision.Era(v.revision)
	v.revision = version
	if v.forgotten && record.OlderThan(v.record) {
		return false
	}
	v.record, v.seen, v.forgotten = record, v.now(), false
	return true
}

// latest returns the newest record known, with its revision in the store; nil
// before the first.
func (v *keyView) latest() (*keyspace.Record, uint64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.record, v.revision
}

// age returns how long the newest record has been known.
func (v *keyView) age() time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.now() - v.seen
}

// changePresent takes servers that are registered, and the IDs of those that are not any more.
func (v *keyView) changePresent(changed []fleet.Server, gone []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range gone {
		delete(v.present, id)
	}
	for i := range changed {
		v.present[changed[i].ID] = changed[i].Incarnation()
	}
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
	if !r.Moving() && v.runs(r.Holder) {
		delete(v.vacant, r.From)
		return r.Server, 0
	}
	return "", v.backAt(r)
}

// runs reports whether a holder is registered and has not started again since: a
// later incarnation holds nothing until the record names it.
func (v *keyView) runs(holder keyspace.Holder) bool {
	incarnation, registered := v.present[holder.Server]
	return registered && !incarnation.Replaces(holder.Incarnation())
}

// backAt estimates when a range has an owner again: a former holder that is
// still registered releases it within the time of its requests; one that is
// gone holds it until its lease has run out.
func (v *keyView) backAt(r *keyspace.Range) time.Duration {
	since, known := v.vacant[r.From]
	if !known {
		since = v.now()
		v.vacant[r.From] = since
	}
	_, alive := v.present[r.Server] // perhaps started again: then it is given the keys at once
	lost := !r.Moving() && !alive
	for _, former := range r.FormerHolders {
		_, registered := v.present[former.Server]
		lost = lost || !registered
	}
	if !lost {
		return 0
	}
	return max(since+keyspace.LeaseTerm, v.now()+leastVacancy)
}

// leastVacancy is the least time for which a lost owner's keys are believed to
// stay without one.
const leastVacancy = 300 * time.Millisecond
