package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadarouter/fleet"
)

const (
	// suspectAfter is the number of terminations from which a host no longer retries a request: the
	// caller gets the failure at once, and the other hosts learn of the request before its next
	// copy arrives.
	suspectAfter = 2
	// provenAfter is the number of terminations from which a request is quarantined. One or two
	// happen by chance when servers fail one after the other.
	provenAfter = 3
	// EndKept is how long a termination counts.
	EndKept = 24 * time.Hour
	// endsKept bounds the terminations stored per request.
	endsKept = 8
	// mostCases bounds the requests that a ledger stores.
	mostCases = 1024
	// forgottenAtOnce is the number of cases evicted when the ledger is full. Finding the least
	// important ones requires sorting all of them, so several are evicted at once.
	forgottenAtOnce = mostCases / 16
)

// terms are the durations of a quarantine after the last termination, by how many terminations the
// request has beyond provenAfter. After that time one copy of the request is served as a trial,
// which costs one server if the request still terminates servers.
var terms = [...]time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour, EndKept}

// term returns the duration of a quarantine after the last termination.
func term(ends int) time.Duration { return terms[min(ends-provenAfter, len(terms)-1)] }

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
	// Ends is the number of servers that terminated during the request.
	Ends int
	// LastEnd is the time of the last termination.
	LastEnd time.Duration
	// Until is when a quarantined request is served again as a trial.
	Until time.Duration
}

// Ledger records which servers terminated during which requests, as far as this host knows. Ledgers
// that exchange their contents converge in any order of messages and with duplicates: a case only
// gains terminations, and clearing a request removes all terminations up to that time. The zero
// value is ready to use. A Ledger is not safe for concurrent use.
type Ledger struct {
	cases map[Fingerprint]*record
	// servers holds the servers with a termination in some case, and possibly servers that had one
	// earlier.
	servers map[fleet.Incarnation]struct{}
	// change is the number of changes so far.
	change uint64
}

// record is the case of one request.
type record struct {
	ends map[fleet.Incarnation]end
	// acquitted is the latest time as of which the request is known to be harmless. It is valid
	// only if isAcquitted is set.
	acquitted   time.Duration
	isAcquitted bool
	// suspected is set once the request has had enough terminations to be suspected. Other hosts
	// may have learned of it then and must also learn that it is cleared.
	suspected bool
	change    uint64 // the ledger's last change to this case
}

// end is the termination of a server during a request.
type end struct {
	at time.Duration
	// withdrawn is set once the server has answered later, which shows that it had not terminated.
	// The entry stays, so that hosts that have not learned of this can't add the termination again.
	withdrawn bool
}

// standing returns the number of terminations that are not withdrawn.
func (r *record) standing() int {
	count := 0
	for _, each := range r.ends {
		if !each.withdrawn {
			count++
		}
	}
	return count
}

// latest returns the time of the last termination that is not withdrawn, or 0 if there is none.
func (r *record) latest() time.Duration {
	var last time.Duration
	first := true
	for _, each := range r.ends {
		if !each.withdrawn && (first || each.at > last) {
			last, first = each.at, false
		}
	}
	return last
}

// oldest returns the least important termination: a withdrawn one if there is any, else the oldest.
// There must be at least one.
func (r *record) oldest() (server fleet.Incarnation, oldest end) {
	first := true
	for each, known := range r.ends {
		if first || known.withdrawn && !oldest.withdrawn || known.withdrawn == oldest.withdrawn && known.at < oldest.at {
			server, oldest, first = each, known, false
		}
	}
	return server, oldest
}

// touched returns the time of the last event of the case.
func (r *record) touched() time.Duration {
	switch {
	case r.standing() == 0:
		return r.acquitted
	case r.isAcquitted:
		return max(r.latest(), r.acquitted)
	}
	return r.latest()
}

// blame adds a termination and reports whether that changed the case. If there are more than
// endsKept, the latest are kept.
func (r *record) blame(server fleet.Incarnation, added end) bool {
	existing, exists := r.ends[server]
	switch {
	case r.isAcquitted && added.at <= r.acquitted:
		return false
	case exists:
		if existing.withdrawn || !added.withdrawn {
			return false
		}
		existing.withdrawn = true
		r.ends[server] = existing
		return true
	}
	if len(r.ends) >= endsKept {
		least, oldest := r.oldest()
		if !oldest.withdrawn && added.at <= oldest.at {
			return false
		}
		delete(r.ends, least)
	}
	r.ends[server] = added
	r.suspected = r.suspected || r.standing() >= suspectAfter
	return true
}

// acquit clears the request as of a time, and reports whether the case changed in substance: it was
// never cleared before, or terminations were removed. A clearance that is only slightly later does
// not count, because the time shifts by the transmission time of each message and two ledgers would
// send it to each other forever.
func (r *record) acquit(at time.Duration) bool {
	if r.isAcquitted && at <= r.acquitted {
		return false
	}
	first, ends := !r.isAcquitted, len(r.ends)
	r.acquitted, r.isAcquitted = at, true
	maps.DeleteFunc(r.ends, func(_ fleet.Incarnation, each end) bool { return each.at <= at })
	return first || len(r.ends) < ends
}

// Blame records that a server terminated during a request, and reports whether that changed the
// ledger.
func (l *Ledger) Blame(now time.Duration, server fleet.Incarnation, blame Blame) bool {
	rec := l.hold(now, blame.Request)
	return l.blame(rec, server, end{at: blame.At}) && l.changed(rec)
}

// Acquit clears a request as of a time at which a server gave a complete answer to it, and reports
// whether that changed the ledger.
func (l *Ledger) Acquit(at time.Duration, request Fingerprint) bool {
	rec := l.cases[request]
	return rec != nil && rec.standing() > 0 && rec.acquit(at) && l.changed(rec)
}

// Release clears a request on behalf of an operator. Unlike Acquit it also records the clearance of
// a request without a case, because other hosts may still report terminations during it.
func (l *Ledger) Release(now, at time.Duration, request Fingerprint) bool {
	rec := l.hold(now, request)
	return rec.acquit(at) && l.changed(rec)
}

// blame adds a termination to a case and reports whether that changed the case.
func (l *Ledger) blame(rec *record, server fleet.Incarnation, added end) bool {
	if !rec.blame(server, added) {
		return false
	}
	if l.servers == nil || len(l.servers) >= mostCases*endsKept {
		l.servers = map[fleet.Incarnation]struct{}{}
		for _, each := range l.cases {
			for known := range each.ends {
				l.servers[known] = struct{}{}
			}
		}
	}
	l.servers[server] = struct{}{}
	return true
}

// Alive records that a server's process was running during a time span, withdraws its recorded
// terminations within that span, and returns the requests concerned. A host may have been wrong
// about a termination because something between it and the server refuses connections, for example
// during a network failure.
func (l *Ledger) Alive(server fleet.Incarnation, lived Lived) []Fingerprint {
	if _, tracked := l.servers[server]; !tracked {
		return nil // fast path of nearly every answer
	}
	var cleared []Fingerprint
	for request, rec := range l.cases {
		existing, exists := rec.ends[server]
		if exists && !existing.withdrawn && lived.during(existing.at) {
			existing.withdrawn = true
			rec.ends[server] = existing
			l.changed(rec)
			cleared = append(cleared, request)
		}
	}
	return cleared
}

// changed assigns the next change number to a case. It always returns true.
func (l *Ledger) changed(rec *record) bool {
	l.change++
	rec.change = l.change
	return true
}

// hold returns the case of a request, which it creates if there is none.
func (l *Ledger) hold(now time.Duration, request Fingerprint) *record {
	if l.cases == nil {
		l.cases = map[Fingerprint]*record{}
	}
	rec := l.cases[request]
	if rec == nil {
		l.makeRoom(now)
		rec = &record{ends: map[fleet.Incarnation]end{}}
		l.cases[request] = rec
	}
	return rec
}

// makeRoom removes expired cases when the ledger is full. If none has expired, it evicts the least
// important ones: those with the fewest terminations, and of these the ones that were inactive
// longest. Callers choose what they send; requests that merely were in flight at a terminated
// server must not evict the quarantined ones.
func (l *Ledger) makeRoom(now time.Duration) {
	if len(l.cases) < mostCases {
		return
	}
	maps.DeleteFunc(l.cases, func(_ Fingerprint, rec *record) bool { return now-rec.touched() > EndKept })
	if len(l.cases) < mostCases {
		return
	}
	ordered := slices.SortedFunc(maps.Keys(l.cases), func(a, b Fingerprint) int { return l.cases[a].compare(l.cases[b]) })
	for _, least := range ordered[:forgottenAtOnce] {
		delete(l.cases, least)
	}
}

// compare orders cases by importance.
func (r *record) compare(other *record) int {
	return cmp.Or(cmp.Compare(r.standing(), other.standing()), cmp.Compare(r.touched(), other.touched()))
}

// Judge returns how a request is to be handled.
func (l *Ledger) Judge(now time.Duration, request Fingerprint) Judgement {
	rec := l.cases[request]
	if rec == nil || rec.standing() == 0 {
		return Judgement{}
	}
	ends, last := rec.standing(), rec.latest()
	judgement := Judgement{Ends: ends, LastEnd: last}
	switch {
	case ends >= provenAfter && now < last+term(ends):
		judgement.Verdict, judgement.Until = Quarantined, last+term(ends)
	case ends >= suspectAfter && now-last <= EndKept:
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

// Suspects reports whether any request may be suspected or quarantined.
func (l *Ledger) Suspects() bool {
	for _, rec := range l.cases {
		if rec.standing() >= suspectAfter {
			return true
		}
	}
	return false
}

// Changes returns the number of changes so far.
func (l *Ledger) Changes() uint64 { return l.change }

// Case is the state of one request as ledgers exchange it. Times are ages in milliseconds, because
// the clocks of hosts differ.
type Case struct {
	Request Fingerprint `json:"request"`
	Ends    []End       `json:"ends,omitempty"`
	// AcquittedAgeMs is how long ago the request was known to be harmless; nil if it was never
	// cleared.
	AcquittedAgeMs *int64 `json:"acquittedAgeMs,omitempty"`
}

// End is the termination of a server during a request.
type End struct {
	Server fleet.Incarnation `json:"server"`
	AgeMs  int64             `json:"ageMs"`
	// Withdrawn is set if the server has answered since.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// tell returns the case with ages as of now and its terminations ordered by age.
func (r *record) tell(now time.Duration, request Fingerprint) Case {
	result := Case{Request: request}
	for server, known := range r.ends {
		result.Ends = append(result.Ends, End{Server: server, AgeMs: (now - known.at).Milliseconds(), Withdrawn: known.withdrawn})
	}
	slices.SortFunc(result.Ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(b.AgeMs, a.AgeMs), cmp.Compare(a.Server.String(), b.Server.String()))
	})
	if r.isAcquitted {
		age := (now - r.acquitted).Milliseconds()
		result.AcquittedAgeMs = &age
	}
	return result
}

// Take merges cases from another ledger, and returns the requests whose cases changed.
func (l *Ledger) Take(now time.Duration, cases []Case) []Fingerprint {
	var changed []Fingerprint
	for i := range cases {
		if l.take(now, &cases[i]) {
			changed = append(changed, cases[i].Request)
		}
	}
	return changed
}

// take merges one case and reports whether that changed the ledger.
func (l *Ledger) take(now time.Duration, received *Case) bool {
	if l.cases[received.Request] == nil && len(received.Ends) == 0 {
		return false // a clearance of a request without a case
	}
	rec := l.hold(now, received.Request)
	changed := false
	if received.AcquittedAgeMs != nil {
		changed = rec.acquit(now - time.Duration(*received.AcquittedAgeMs)*time.Millisecond)
	}
	for _, each := range received.Ends {
		at := now - time.Duration(each.AgeMs)*time.Millisecond
		changed = l.blame(rec, each.Server, end{at: at, withdrawn: each.Withdrawn}) || changed
	}
	return changed && l.changed(rec)
}

// Audience is the group of ledgers that cases are sent to.
type Audience int

const (
	// Collector is the ledger that merges the observations of all hosts. It needs single
	// terminations too.
	Collector Audience = iota
	// Everyone stands for the ledgers of all hosts. They need only requests that are or were
	// suspected: a dozen requests are in flight at a server that terminates, and thousands in a
	// failure domain.
	Everyone
)

// owes reports whether an audience needs the case.
func (r *record) owes(to Audience) bool {
	return to == Collector || r.suspected
}

// Tell returns the cases that changed after the change numbered after, oldest change first and at
// most limit of them, and the number of the last change that they cover.
func (l *Ledger) Tell(now time.Duration, after uint64, limit int, to Audience) ([]Case, uint64) {
	if after >= l.change {
		return nil, l.change
	}
	var due []Fingerprint
	for request, rec := range l.cases {
		if rec.change > after && rec.owes(to) {
			due = append(due, request)
		}
	}
	slices.SortFunc(due, func(a, b Fingerprint) int { return cmp.Compare(l.cases[a].change, l.cases[b].change) })
	upTo := l.change
	if len(due) > limit {
		due = due[:limit]
		upTo = l.cases[due[limit-1]].change
	}
	var cases []Case
	for _, request := range due {
		cases = append(cases, l.cases[request].tell(now, request))
	}
	return cases, upTo
}

// Proven returns the cases with enough unexpired terminations for a quarantine, ordered by
// fingerprint.
func (l *Ledger) Proven(now time.Duration) []Case {
	var proven []Case
	for request, rec := range l.cases {
		if rec.standing() >= provenAfter && now-rec.latest() <= EndKept {
			proven = append(proven, rec.tell(now, request))
		}
	}
	slices.SortFunc(proven, func(a, b Case) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return proven
}
