package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadarouter/fleet"
)

const (
	// suspectThreshold is the number of terminations from which a host no longer retries a request:
	// the caller gets the failure at once, and the other hosts learn of the request before its next
	// copy arrives.
	suspectThreshold = 2
	// quarantineThreshold is the number of terminations from which a request is quarantined. One or
	// two happen by chance when servers fail one after the other.
	quarantineThreshold = 3
	// TerminationTTL is how long a termination counts.
	TerminationTTL = 24 * time.Hour
	// maxTerminations bounds the terminations stored per request.
	maxTerminations = 8
	// maxCases bounds the requests that a ledger stores.
	maxCases = 1024
	// evictionBatch is the number of cases evicted when the ledger is full. Finding the least
	// important ones requires sorting all of them, so several are evicted at once.
	evictionBatch = maxCases / 16
)

// quarantineDurations are the durations of a quarantine after the last termination, by how many
// terminations the request has beyond quarantineThreshold. After that time one copy of the request
// is served as a trial, which costs one server if the request still terminates servers.
var quarantineDurations = [...]time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour, TerminationTTL}

// quarantineDuration returns the duration of a quarantine after the last termination.
func quarantineDuration(terminations int) time.Duration {
	return quarantineDurations[min(terminations-quarantineThreshold, len(quarantineDurations)-1)]
}

// Verdict is how a request is handled.
type Verdict int

// Verdicts, from the least to the most severe.
const (
	// Unsuspected requests are served normally.
	Unsuspected Verdict = iota
	// Suspected requests are served, but a host does not retry them.
	Suspected
	// Quarantined requests are rejected.
	Quarantined
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"unsuspected", "suspected", "quarantined"}[v] }

// Judgement is a verdict and the evidence for it.
type Judgement struct {
	Verdict Verdict
	// Terminations is the number of servers that terminated during the request.
	Terminations int
	// LastTermination is the time of the last termination.
	LastTermination time.Duration
	// RetryAt is when a quarantined request is served again as a trial.
	RetryAt time.Duration
}

// Ledger records which servers terminated during which requests, as far as this host knows. Ledgers
// that exchange their contents converge in any order of messages and with duplicates: a case only
// gains terminations, and clearing a request removes all terminations up to that time. The zero
// value is ready to use. A Ledger is not safe for concurrent use.
type Ledger struct {
	cases map[Fingerprint]*caseRecord
	// terminatedServers holds the servers with a termination in some case, and possibly servers
	// that had one earlier.
	terminatedServers map[fleet.Incarnation]struct{}
	// changes is the number of changes so far.
	changes uint64
}

// caseRecord is the case of one request.
type caseRecord struct {
	terminations map[fleet.Incarnation]termination
	// clearedAt is the latest time as of which the request is known to be harmless. It is valid
	// only if isCleared is set.
	clearedAt time.Duration
	isCleared bool
	// wasSuspected is set once the request has had enough terminations to be suspected. Other hosts
	// may have learned of it then and must also learn that it is cleared.
	wasSuspected bool
	change       uint64 // the ledger's last change to this case
}

// termination is the termination of a server during a request.
type termination struct {
	at time.Duration
	// withdrawn is set once the server has answered later, which shows that it had not terminated.
	// The entry stays, so that hosts that have not learned of this can't add the termination again.
	withdrawn bool
}

// terminationCount returns the number of terminations that are not withdrawn.
func (r *caseRecord) terminationCount() int {
	count := 0
	for _, each := range r.terminations {
		if !each.withdrawn {
			count++
		}
	}
	return count
}

// lastTermination returns the time of the last termination that is not withdrawn, or 0 if there is
// none.
func (r *caseRecord) lastTermination() time.Duration {
	var last time.Duration
	first := true
	for _, each := range r.terminations {
		if !each.withdrawn && (first || each.at > last) {
			last, first = each.at, false
		}
	}
	return last
}

// leastImportant returns the termination to remove first: a withdrawn one if there is any, else the
// oldest. There must be at least one.
func (r *caseRecord) leastImportant() (server fleet.Incarnation, oldest termination) {
	first := true
	for each, known := range r.terminations {
		if first || known.withdrawn && !oldest.withdrawn || known.withdrawn == oldest.withdrawn && known.at < oldest.at {
			server, oldest, first = each, known, false
		}
	}
	return server, oldest
}

// lastActivity returns the time of the last event of the case.
func (r *caseRecord) lastActivity() time.Duration {
	switch {
	case r.terminationCount() == 0:
		return r.clearedAt
	case r.isCleared:
		return max(r.lastTermination(), r.clearedAt)
	}
	return r.lastTermination()
}

// addTermination adds a termination and reports whether that changed the case. If there are more
// than maxTerminations, the latest are kept.
func (r *caseRecord) addTermination(server fleet.Incarnation, added termination) bool {
	existing, exists := r.terminations[server]
	switch {
	case r.isCleared && added.at <= r.clearedAt:
		return false
	case exists:
		if existing.withdrawn || !added.withdrawn {
			return false
		}
		existing.withdrawn = true
		r.terminations[server] = existing
		return true
	}
	if len(r.terminations) >= maxTerminations {
		least, oldest := r.leastImportant()
		if !oldest.withdrawn && added.at <= oldest.at {
			return false
		}
		delete(r.terminations, least)
	}
	r.terminations[server] = added
	r.wasSuspected = r.wasSuspected || r.terminationCount() >= suspectThreshold
	return true
}

// clear clears the request as of a time, and reports whether the case changed in substance: it was
// never cleared before, or terminations were removed. A clearance that is only slightly later does
// not count, because the time shifts by the transmission time of each message and two ledgers would
// send it to each other forever.
func (r *caseRecord) clear(at time.Duration) bool {
	if r.isCleared && at <= r.clearedAt {
		return false
	}
	first, before := !r.isCleared, len(r.terminations)
	r.clearedAt, r.isCleared = at, true
	maps.DeleteFunc(r.terminations, func(_ fleet.Incarnation, each termination) bool { return each.at <= at })
	return first || len(r.terminations) < before
}

// Blame records that a server terminated during a request, and reports whether that changed the
// ledger.
func (l *Ledger) Blame(now time.Duration, server fleet.Incarnation, blame Blame) bool {
	rec := l.caseOf(now, blame.Request)
	return l.addTermination(rec, server, termination{at: blame.At}) && l.recordChange(rec)
}

// Clear clears a request as of a time at which a server gave a complete answer to it, and reports
// whether that changed the ledger.
func (l *Ledger) Clear(at time.Duration, request Fingerprint) bool {
	rec := l.cases[request]
	return rec != nil && rec.terminationCount() > 0 && rec.clear(at) && l.recordChange(rec)
}

// Release clears a request on behalf of an operator. Unlike Clear it also records the clearance of
// a request without a case, because other hosts may still report terminations during it.
func (l *Ledger) Release(now, at time.Duration, request Fingerprint) bool {
	rec := l.caseOf(now, request)
	return rec.clear(at) && l.recordChange(rec)
}

// addTermination adds a termination to a case and reports whether that changed the case.
func (l *Ledger) addTermination(rec *caseRecord, server fleet.Incarnation, added termination) bool {
	if !rec.addTermination(server, added) {
		return false
	}
	if l.terminatedServers == nil || len(l.terminatedServers) >= maxCases*maxTerminations {
		l.terminatedServers = map[fleet.Incarnation]struct{}{}
		for _, each := range l.cases {
			for known := range each.terminations {
				l.terminatedServers[known] = struct{}{}
			}
		}
	}
	l.terminatedServers[server] = struct{}{}
	return true
}

// NoteAlive records that a server's process was running during a time span, withdraws its recorded
// terminations within that span, and returns the requests concerned. A host may have been wrong
// about a termination because something between it and the server refuses connections, for example
// during a network failure.
func (l *Ledger) NoteAlive(server fleet.Incarnation, alive AliveSpan) []Fingerprint {
	if _, tracked := l.terminatedServers[server]; !tracked {
		return nil // fast path of nearly every answer
	}
	var cleared []Fingerprint
	for request, rec := range l.cases {
		existing, exists := rec.terminations[server]
		if exists && !existing.withdrawn && alive.contains(existing.at) {
			existing.withdrawn = true
			rec.terminations[server] = existing
			l.recordChange(rec)
			cleared = append(cleared, request)
		}
	}
	return cleared
}

// recordChange assigns the next change number to a case. It always returns true.
func (l *Ledger) recordChange(rec *caseRecord) bool {
	l.changes++
	rec.change = l.changes
	return true
}

// caseOf returns the case of a request, which it creates if there is none.
func (l *Ledger) caseOf(now time.Duration, request Fingerprint) *caseRecord {
	if l.cases == nil {
		l.cases = map[Fingerprint]*caseRecord{}
	}
	rec := l.cases[request]
	if rec == nil {
		l.evict(now)
		rec = &caseRecord{terminations: map[fleet.Incarnation]termination{}}
		l.cases[request] = rec
	}
	return rec
}

// evict removes expired cases when the ledger is full. If it is still full then, it evicts the
// least important ones: those with the fewest terminations, and of these the ones that were
// inactive longest. Callers choose what they send; requests that merely were in flight at a
// terminated server must not evict the quarantined ones.
func (l *Ledger) evict(now time.Duration) {
	if len(l.cases) < maxCases {
		return
	}
	maps.DeleteFunc(l.cases, func(_ Fingerprint, rec *caseRecord) bool { return now-rec.lastActivity() > TerminationTTL })
	if len(l.cases) < maxCases {
		return
	}
	ordered := slices.SortedFunc(maps.Keys(l.cases), func(a, b Fingerprint) int { return l.cases[a].compare(l.cases[b]) })
	for _, least := range ordered[:evictionBatch] {
		delete(l.cases, least)
	}
}

// compare orders cases by importance.
func (r *caseRecord) compare(other *caseRecord) int {
	return cmp.Or(cmp.Compare(r.terminationCount(), other.terminationCount()), cmp.Compare(r.lastActivity(), other.lastActivity()))
}

// Judge returns how a request is to be handled.
func (l *Ledger) Judge(now time.Duration, request Fingerprint) Judgement {
	rec := l.cases[request]
	if rec == nil || rec.terminationCount() == 0 {
		return Judgement{}
	}
	count, last := rec.terminationCount(), rec.lastTermination()
	judgement := Judgement{Terminations: count, LastTermination: last}
	switch {
	case count >= quarantineThreshold && now < last+quarantineDuration(count):
		judgement.Verdict, judgement.RetryAt = Quarantined, last+quarantineDuration(count)
	case count >= suspectThreshold && now-last <= TerminationTTL:
		judgement.Verdict = Suspected
	}
	return judgement
}

// Count returns the number of requests with the given verdict, which must not be Unsuspected.
func (l *Ledger) Count(now time.Duration, verdict Verdict) int {
	count := 0
	for request := range l.cases {
		if l.Judge(now, request).Verdict == verdict {
			count++
		}
	}
	return count
}

// AnySuspected reports whether any request may be suspected or quarantined.
func (l *Ledger) AnySuspected() bool {
	for _, rec := range l.cases {
		if rec.terminationCount() >= suspectThreshold {
			return true
		}
	}
	return false
}

// ChangeCount returns the number of changes so far.
func (l *Ledger) ChangeCount() uint64 { return l.changes }

// Case is the state of one request as ledgers exchange it. Times are ages in milliseconds, because
// the clocks of hosts differ.
type Case struct {
	Request      Fingerprint   `json:"request"`
	Terminations []Termination `json:"ends,omitempty"`
	// ClearedAgeMs is how long ago the request was known to be harmless; nil if it was never
	// cleared.
	ClearedAgeMs *int64 `json:"acquittedAgeMs,omitempty"`
}

// Termination is the termination of a server during a request.
type Termination struct {
	Server fleet.Incarnation `json:"server"`
	AgeMs  int64             `json:"ageMs"`
	// Withdrawn is set if the server has answered since.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// toCase returns the case with ages as of now and its terminations ordered from the oldest to the
// latest.
func (r *caseRecord) toCase(now time.Duration, request Fingerprint) Case {
	result := Case{Request: request}
	for server, known := range r.terminations {
		result.Terminations = append(result.Terminations, Termination{Server: server, AgeMs: (now - known.at).Milliseconds(), Withdrawn: known.withdrawn})
	}
	slices.SortFunc(result.Terminations, func(a, b Termination) int {
		return cmp.Or(cmp.Compare(b.AgeMs, a.AgeMs), cmp.Compare(a.Server.String(), b.Server.String()))
	})
	if r.isCleared {
		age := (now - r.clearedAt).Milliseconds()
		result.ClearedAgeMs = &age
	}
	return result
}

// Merge merges cases from another ledger, and returns the requests whose cases changed.
func (l *Ledger) Merge(now time.Duration, cases []Case) []Fingerprint {
	var changed []Fingerprint
	for i := range cases {
		if l.mergeCase(now, &cases[i]) {
			changed = append(changed, cases[i].Request)
		}
	}
	return changed
}

// mergeCase merges one case and reports whether that changed the ledger.
func (l *Ledger) mergeCase(now time.Duration, received *Case) bool {
	if l.cases[received.Request] == nil && len(received.Terminations) == 0 {
		return false // a clearance of a request without a case
	}
	rec := l.caseOf(now, received.Request)
	changed := false
	if received.ClearedAgeMs != nil {
		changed = rec.clear(now - time.Duration(*received.ClearedAgeMs)*time.Millisecond)
	}
	for _, each := range received.Terminations {
		at := now - time.Duration(each.AgeMs)*time.Millisecond
		changed = l.addTermination(rec, each.Server, termination{at: at, withdrawn: each.Withdrawn}) || changed
	}
	return changed && l.recordChange(rec)
}

// Recipients are the ledgers that cases are sent to.
type Recipients int

const (
	// ToCollector stands for the ledger that merges the observations of all hosts. It needs single
	// terminations too.
	ToCollector Recipients = iota
	// ToAllHosts stands for the ledgers of all hosts. They need only requests that are or were
	// suspected: a dozen requests are in flight at a server that terminates, and thousands in a
	// failure domain.
	ToAllHosts
)

// isFor reports whether the recipients need the case.
func (r *caseRecord) isFor(to Recipients) bool {
	return to == ToCollector || r.wasSuspected
}

// ChangesSince returns the cases that changed after the change numbered after, oldest change first
// and at most limit of them, and the number of the last change that they cover.
func (l *Ledger) ChangesSince(now time.Duration, after uint64, limit int, to Recipients) ([]Case, uint64) {
	if after >= l.changes {
		return nil, l.changes
	}
	var due []Fingerprint
	for request, rec := range l.cases {
		if rec.change > after && rec.isFor(to) {
			due = append(due, request)
		}
	}
	slices.SortFunc(due, func(a, b Fingerprint) int { return cmp.Compare(l.cases[a].change, l.cases[b].change) })
	upTo := l.changes
	if len(due) > limit {
		due = due[:limit]
		upTo = l.cases[due[limit-1]].change
	}
	var cases []Case
	for _, request := range due {
		cases = append(cases, l.cases[request].toCase(now, request))
	}
	return cases, upTo
}

// QuarantineCases returns the cases with enough terminations for a quarantine, also those whose
// quarantine has ended, until the last termination expires. They are ordered by fingerprint.
func (l *Ledger) QuarantineCases(now time.Duration) []Case {
	var cases []Case
	for request, rec := range l.cases {
		if rec.terminationCount() >= quarantineThreshold && now-rec.lastTermination() <= TerminationTTL {
			cases = append(cases, rec.toCase(now, request))
		}
	}
	slices.SortFunc(cases, func(a, b Case) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return cases
}
