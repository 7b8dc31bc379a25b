package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadarouter/fleet"
)

const (
	// suspectAfter is after how many ends a request is not sent once more by a host:
	// its caller hears of the failure at once, and other hosts of the request before
	// its next copy comes.
	suspectAfter = 2
	// provenAfter is after how many ends a request is turned away. One or two ends
	// happen to a request by chance on days on which servers fail one after the other.
	provenAfter = 3
	// EndKept is for how long an end counts.
	EndKept = 24 * time.Hour
	// endsKept bounds the ends that are kept of one request.
	endsKept = 8
	// mostCases bounds the requests about which a ledger keeps anything.
	mostCases = 1024
	// forgottenAtOnce is how many are forgotten when there is no room: to find the least
	// takes a look at all.
	forgottenAtOnce = mostCases / 16
)

// terms are for how long a request is turned away after its last end, by how many
// ends it has more than it needs. When a term is over one copy of it is a trial that
// costs one server if it still ends those that run it.
var terms = [...]time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour, EndKept}

// term returns for how long a request is turned away after its last end.
func term(ends int) time.Duration { return terms[min(ends-provenAfter, len(terms)-1)] }

// Verdict is what is done with a request.
type Verdict int

// The verdicts.
const (
	// Unsuspected requests are served like any.
	Unsuspected Verdict = iota
	// Suspected requests are served, but a host does not send them once more.
	Suspected
	// Quarantined requests are turned away.
	Quarantined
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"unsuspected", "suspected", "quarantined"}[v] }

// Judgement is a verdict with what it rests on.
type Judgement struct {
	Verdict Verdict
	// Ends is how many servers ended under the request.
	Ends int
	// LastEnd is when the last of them did.
	LastEnd time.Duration
	// Until is when a quarantined request is tried again.
	Until time.Duration
}

// Ledger holds the servers that ended under requests, as far as this host knows. Two
// ledgers that tell each other what they hold agree, in whatever order and however
// often they do: a case only gains ends, and an acquittal ends all those before it.
// The zero value is ready. It is not safe for concurrent use.
type Ledger struct {
	cases map[Fingerprint]*record
	// servers are those with an end in some case, and perhaps some that had one.
	servers map[fleet.Incarnation]struct{}
	// change counts the changes.
	change uint64
}

// record is what is held of one request.
type record struct {
	ends map[fleet.Incarnation]end
	// acquitted is the latest moment as of which the request is known to be harmless;
	// of interest only if isAcquitted.
	acquitted   time.Duration
	isAcquitted bool
	// suspected is set once it has had the ends of a suspect: hosts may have heard of
	// it and must hear of its acquittal.
	suspected bool
	change    uint64 // the ledger's last change of it
}

// end is the end of a server under a request.
type end struct {
	at time.Duration
	// withdrawn is set once the server has answered after it: it had not ended. It is
	// kept, so that those who have not heard of that can't bring the end back.
	withdrawn bool
}

// standing returns how many ends count.
func (r *record) standing() int {
	count := 0
	for _, each := range r.ends {
		if !each.withdrawn {
			count++
		}
	}
	return count
}

// latest returns the last of the ends that count; 0 if there is none.
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

// oldest returns the end that matters least; there must be one.
func (r *record) oldest() (server fleet.Incarnation, oldest end) {
	first := true
	for each, known := range r.ends {
		if first || known.withdrawn && !oldest.withdrawn || known.withdrawn == oldest.withdrawn && known.at < oldest.at {
			server, oldest, first = each, known, false
		}
	}
	return server, oldest
}

// touched returns when something last happened that is held of the request.
func (r *record) touched() time.Duration {
	switch {
	case r.standing() == 0:
		return r.acquitted
	case r.isAcquitted:
		return max(r.latest(), r.acquitted)
	}
	return r.latest()
}

// blame adds an end, and reports whether that is news. Of more ends than are kept the
// latest count.
func (r *record) blame(server fleet.Incarnation, told end) bool {
	known, have := r.ends[server]
	switch {
	case r.isAcquitted && told.at <= r.acquitted:
		return false
	case have:
		if known.withdrawn || !told.withdrawn {
			return false
		}
		known.withdrawn = true
		r.ends[server] = known
		return true
	}
	if len(r.ends) >= endsKept {
		least, oldest := r.oldest()
		if !oldest.withdrawn && told.at <= oldest.at {
			return false
		}
		delete(r.ends, least)
	}
	r.ends[server] = told
	r.suspected = r.suspected || r.standing() >= suspectAfter
	return true
}

// acquit ends the case as of a moment, and reports whether that is news: it is the first
// time, or ends count no more. That the moment is a little later is none: it moves by the
// way of each message, and ledgers would tell each other of it without end.
func (r *record) acquit(at time.Duration) bool {
	if r.isAcquitted && at <= r.acquitted {
		return false
	}
	first, ends := !r.isAcquitted, len(r.ends)
	r.acquitted, r.isAcquitted = at, true
	maps.DeleteFunc(r.ends, func(_ fleet.Incarnation, each end) bool { return each.at <= at })
	return first || len(r.ends) < ends
}

// Blame notes that a server ended under a request, and reports whether that is news.
func (l *Ledger) Blame(now time.Duration, server fleet.Incarnation, blame Blame) bool {
	held := l.hold(now, blame.Request)
	return l.blame(held, server, end{at: blame.At}) && l.changed(held)
}

// Acquit notes that a request is harmless as of a moment, since a server gave a whole
// answer to it, and reports whether that is news.
func (l *Ledger) Acquit(at time.Duration, request Fingerprint) bool {
	held := l.cases[request]
	return held != nil && held.standing() > 0 && held.acquit(at) && l.changed(held)
}

// Release is Acquit by an operator's word, also for a request of which nothing is held
// yet: other hosts may still tell of its ends.
func (l *Ledger) Release(now, at time.Duration, request Fingerprint) bool {
	held := l.hold(now, request)
	return held.acquit(at) && l.changed(held)
}

// blame adds an end to a case, and reports whether that is news.
func (l *Ledger) blame(held *record, server fleet.Incarnation, told end) bool {
	if !held.blame(server, told) {
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

// Alive notes that a server's process ran through a span, and returns the requests that
// it was taken to have ended under meanwhile: it had not. Something between a host and
// the server refuses connections, as the cut of a network may.
func (l *Ledger) Alive(server fleet.Incarnation, lived Lived) []Fingerprint {
	if _, held := l.servers[server]; !held {
		return nil // nearly every answer
	}
	var cleared []Fingerprint
	for request, held := range l.cases {
		known, have := held.ends[server]
		if have && !known.withdrawn && lived.during(known.at) {
			known.withdrawn = true
			held.ends[server] = known
			l.changed(held)
			cleared = append(cleared, request)
		}
	}
	return cleared
}

func (l *Ledger) changed(held *record) bool {
	l.change++
	held.change = l.change
	return true
}

// hold returns what is held of a request, making room for it if it is new.
func (l *Ledger) hold(now time.Duration, request Fingerprint) *record {
	if l.cases == nil {
		l.cases = map[Fingerprint]*record{}
	}
	held := l.cases[request]
	if held == nil {
		l.makeRoom(now)
		held = &record{ends: map[fleet.Incarnation]end{}}
		l.cases[request] = held
	}
	return held
}

// makeRoom forgets what no longer counts and, if there is no room then, the cases that
// matter least: those with the fewest ends, of these the ones that have rested longest.
// Callers choose what they send; requests that were merely under way somewhere must
// not push out those that are proven.
func (l *Ledger) makeRoom(now time.Duration) {
	if len(l.cases) < mostCases {
		return
	}
	maps.DeleteFunc(l.cases, func(_ Fingerprint, held *record) bool { return now-held.touched() > EndKept })
	if len(l.cases) < mostCases {
		return
	}
	order := slices.SortedFunc(maps.Keys(l.cases), func(a, b Fingerprint) int { return l.cases[a].compare(l.cases[b]) })
	for _, least := range order[:forgottenAtOnce] {
		delete(l.cases, least)
	}
}

// compare orders cases by how much they matter.
func (r *record) compare(other *record) int {
	return cmp.Or(cmp.Compare(r.standing(), other.standing()), cmp.Compare(r.touched(), other.touched()))
}

// Judge returns what is to be done with a request.
func (l *Ledger) Judge(now time.Duration, request Fingerprint) Judgement {
	held := l.cases[request]
	if held == nil || held.standing() == 0 {
		return Judgement{}
	}
	ends, last := held.standing(), held.latest()
	judgement := Judgement{Ends: ends, LastEnd: last}
	switch {
	case ends >= provenAfter && now < last+term(ends):
		judgement.Verdict, judgement.Until = Quarantined, last+term(ends)
	case ends >= suspectAfter && now-last <= EndKept:
		judgement.Verdict = Suspected
	}
	return judgement
}

// Count returns how many requests have a verdict, other than Unsuspected.
func (l *Ledger) Count(now time.Duration, verdict Verdict) int {
	count := 0
	for request := range l.cases {
		if l.Judge(now, request).Verdict == verdict {
			count++
		}
	}
	return count
}

// Suspects reports whether any request may not be served like any other.
func (l *Ledger) Suspects() bool {
	for _, held := range l.cases {
		if held.standing() >= suspectAfter {
			return true
		}
	}
	return false
}

// Changes returns how often the ledger has changed.
func (l *Ledger) Changes() uint64 { return l.change }

// Case is what one ledger tells another of a request. Ages are in milliseconds, since
// hosts' clocks differ.
type Case struct {
	Request Fingerprint `json:"request"`
	Ends    []End       `json:"ends,omitempty"`
	// AcquittedAgeMs is how long ago it was known to be harmless; nil if never.
	AcquittedAgeMs *int64 `json:"acquittedAgeMs,omitempty"`
}

// End is the end of a server under a request.
type End struct {
	Server fleet.Incarnation `json:"server"`
	AgeMs  int64             `json:"ageMs"`
	// Withdrawn is set if the server has answered since.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// tell returns a case as of now, with its ends in order.
func (r *record) tell(now time.Duration, request Fingerprint) Case {
	told := Case{Request: request}
	for server, known := range r.ends {
		told.Ends = append(told.Ends, End{Server: server, AgeMs: (now - known.at).Milliseconds(), Withdrawn: known.withdrawn})
	}
	slices.SortFunc(told.Ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(b.AgeMs, a.AgeMs), cmp.Compare(a.Server.String(), b.Server.String()))
	})
	if r.isAcquitted {
		age := (now - r.acquitted).Milliseconds()
		told.AcquittedAgeMs = &age
	}
	return told
}

// Take takes what another ledger told, and returns the requests of which that is news.
func (l *Ledger) Take(now time.Duration, told []Case) []Fingerprint {
	var news []Fingerprint
	for i := range told {
		if l.take(now, &told[i]) {
			news = append(news, told[i].Request)
		}
	}
	return news
}

// take takes one case, and reports whether it is news.
func (l *Ledger) take(now time.Duration, told *Case) bool {
	if l.cases[told.Request] == nil && len(told.Ends) == 0 {
		return false // the acquittal of what is not held
	}
	held := l.hold(now, told.Request)
	news := false
	if told.AcquittedAgeMs != nil {
		news = held.acquit(now - time.Duration(*told.AcquittedAgeMs)*time.Millisecond)
	}
	for _, each := range told.Ends {
		at := now - time.Duration(each.AgeMs)*time.Millisecond
		news = l.blame(held, each.Server, end{at: at, withdrawn: each.Withdrawn}) || news
	}
	return news && l.changed(held)
}

// Audience is to whom cases are told.
type Audience int

// The audiences.
const (
	// Collector puts together what all hosts have seen: a single end counts there.
	Collector Audience = iota
	// Everyone needs only what is suspected, and the acquittal of what was: a server
	// that ends has a dozen requests under way, and a domain thousands.
	Everyone
)

// owes reports whether an audience is to hear of a case.
func (r *record) owes(to Audience) bool {
	return to == Collector || r.suspected
}

// Tell returns the cases that changed after a change of this ledger, at most so many,
// and the change up to which that is all.
func (l *Ledger) Tell(now time.Duration, after uint64, most int, to Audience) ([]Case, uint64) {
	if after >= l.change {
		return nil, l.change
	}
	var due []Fingerprint
	for request, held := range l.cases {
		if held.change > after && held.owes(to) {
			due = append(due, request)
		}
	}
	slices.SortFunc(due, func(a, b Fingerprint) int { return cmp.Compare(l.cases[a].change, l.cases[b].change) })
	upTo := l.change
	if len(due) > most {
		due = due[:most]
		upTo = l.cases[due[most-1]].change
	}
	var told []Case
	for _, request := range due {
		told = append(told, l.cases[request].tell(now, request))
	}
	return told, upTo
}

// Proven returns the cases with as many ends as a quarantine needs, in order of their
// fingerprints.
func (l *Ledger) Proven(now time.Duration) []Case {
	var proven []Case
	for request, held := range l.cases {
		if held.standing() >= provenAfter && now-held.latest() <= EndKept {
			proven = append(proven, held.tell(now, request))
		}
	}
	slices.SortFunc(proven, func(a, b Case) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return proven
}
