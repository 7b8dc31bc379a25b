package keyspace

// A store may be restored from a backup that is some seconds old. Its record is then an
// earlier one: it names owners that have released their keys, a highest token below those
// issued since, and perhaps a controller that has stopped.
//
// Two failures must be prevented. The controller may stay active with a record that the
// store does not hold, and fail to write the next one. Or another process may take the old
// record for the newest, renew owners whose keys are held by others, and issue tokens twice.
//
// A record therefore contains the store's era in which it was written; each restore from a
// backup begins a new era. A controller that has authority and reads an older record than its
// own writes its own again. A successor that takes over a record written in an earlier era
// knows neither all holders nor all tokens. Every range then waits until all leases that may
// have been granted have expired, and tokens and terms continue above any that may have been
// issued.

const (
	// tokensPerEra and termsPerEra exceed the numbers that can be issued in the seconds of
	// writes that a restore loses.
	tokensPerEra = 1 << 20
	termsPerEra  = 1 << 20
	// unknownServer stands for an unknown holder, whose lease only ends by expiry.
	unknownServer = "?"
)

// OlderThan reports whether a record was written before another one of the same service. This
// holds across eras too: the terms of a later era exceed all terms before.
func (r *Record) OlderThan(other *Record) bool {
	if r.Term != other.Term {
		return r.Term < other.Term
	}
	return r.Writes < other.Writes
}

// WrittenIn reports whether the record was written in the given era of the store or later, or
// contains no era.
func (r *Record) WrittenIn(era uint64) bool { return r.Era == 0 || r.Era > era }

// TakeOverInEra returns the record with a new controller that writes it in an era of the store.
func (r *Record) TakeOverInEra(era uint64, controller Controller) *Record {
	next := r.TakeOver(controller)
	if !r.WrittenIn(era) {
		next.addUnknownHolders()
	}
	next.Era, next.Writes = era+1, 0
	return next
}

// addUnknownHolders accounts for holders and tokens that the record may not contain.
func (r *Record) addUnknownHolders() {
	r.Term += termsPerEra
	r.LastToken += tokensPerEra
	for i := range r.Ranges {
		at := &r.Ranges[i]
		r.LastToken++
		at.reassign(Holder{Server: at.Server, Start: at.Start, Token: r.LastToken}, false)
		at.FormerHolders = append(at.FormerHolders, Holder{Server: unknownServer, Token: r.LastToken})
	}
}

// RewriteLostRecord makes the record that the store has lost pending again, in the era since
// the restore. No write may be in flight. The controller must have authority; a lost
// successor's record has then not had any effect.
func (m *StateMachine) RewriteLostRecord(era uint64) {
	next := m.record
	if m.pending != nil {
		next = m.pending
	}
	next = next.Clone()
	next.Era = era + 1
	next.Term += termsPerEra
	next.LastToken += tokensPerEra
	next.Writes = m.record.Writes + 1
	m.pending = next
}
