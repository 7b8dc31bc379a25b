package ownership

import "time"

// Verdict is a voter's decision on a RenewalRequest.
type Verdict uint8

// The verdicts.
const (
	// Agreed: the voter accounts for leases that are based on clock readings from
	// before the request.
	Agreed Verdict = iota + 1
	// NewerGenerationKnown: the voter knows a newer generation.
	NewerGenerationKnown
	// Stopped: the voter promised to stop this or a newer generation.
	Stopped
	// Abstains: the voter has not read the store since it started, or has had no
	// contact to it for longer than the page allows.
	Abstains
	// DispatcherBusy: another router's lease on the page may still be valid.
	DispatcherBusy
)

// RenewalRequest asks a voter to agree to one more lease period for a page's
// generation.
type RenewalRequest struct {
	Page       string
	Generation uint64
	// Dispatcher is the router that is to dispatch the page's requests. It is empty
	// if only the leases of backend servers are renewed.
	Dispatcher string
	// DispatcherIncarnation is the incarnation of Dispatcher that the lease is for.
	DispatcherIncarnation uint64
	// ReleasedDispatcher is a router that has released its lease on the page and
	// will not accept another in ReleasedIncarnation, so that another router need
	// not wait for the lease to expire. The incarnation is needed because the
	// router may have restarted and hold a new lease by the time this request
	// arrives.
	ReleasedDispatcher  string
	ReleasedIncarnation uint64
	// Bounded is set for pages that another failure domain takes over when theirs
	// is cut off. Renewal without contact to the store is then limited to
	// MaxStoreOutage.
	Bounded bool
}

// RenewalResponse is a voter's response to a RenewalRequest.
type RenewalResponse struct {
	Verdict Verdict
	// KnownGeneration is the newest generation that the voter knows.
	KnownGeneration uint64
	// Dispatcher is the router whose lease may still be valid.
	Dispatcher string
	// BusyFor is how long that lease may still be valid.
	BusyFor time.Duration
}

// Promise is a voter's response to a StopMessage.
type Promise struct {
	// Remaining is how long leases that this voter agreed to, on the stopped or an
	// older generation, may still be valid.
	Remaining time.Duration
}

// agreement records until when leases on one generation may be valid.
type agreement struct {
	generation uint64
	until      time.Duration
}

// pageVote is a voter's state for one page.
type pageVote struct {
	known                 uint64
	stopped               uint64
	agreements            []agreement
	dispatcher            string
	dispatcherIncarnation uint64
	dispatchUntil         time.Duration
}

// Voter decides for a controller on lease renewals. It keeps its state in memory
// only. predecessorLeasesUntil and hasReadStore make up for the state that a
// restart loses.
type Voter struct {
	terms Terms
	// predecessorLeasesUntil is when every lease that an earlier process at this
	// address agreed to has expired.
	predecessorLeasesUntil time.Duration
	// hasReadStore is set by the first complete read of the store. An earlier
	// process promised to stop a generation only after a newer one was in the
	// store, so every generation that it may have stopped is known to be outdated
	// after that read.
	hasReadStore     bool
	lastStoreContact time.Duration
	pages            map[string]*pageVote
}

// NewVoter returns a voter that starts at now without any state.
func NewVoter(terms Terms, now time.Duration) *Voter {
	return &Voter{
		terms:                  terms,
		predecessorLeasesUntil: now + terms.SafeWait(terms.LeaseDuration),
		pages:                  map[string]*pageVote{},
	}
}

// StoreRead records that the voter has learned everything that the store held at
// began, a time before the read was sent.
func (v *Voter) StoreRead(began time.Duration) {
	v.hasReadStore = true
	v.lastStoreContact = max(v.lastStoreContact, began)
}

// HasReadStore reports whether the voter has read the store since it started.
func (v *Voter) HasReadStore() bool { return v.hasReadStore }

// Learn records a page's generation, which may come from any source.
func (v *Voter) Learn(page string, generation uint64) {
	vote := v.pageState(page)
	vote.known = max(vote.known, generation)
}

// Agree decides on a renewal request. After Agreed, the voter counts a lease on the
// generation as valid until SafeWait(LeaseDuration) from now.
func (v *Voter) Agree(now time.Duration, request RenewalRequest) RenewalResponse {
	vote := v.pageState(request.Page)
	if verdict := v.checkRenewal(now, vote, request); verdict != 0 {
		return RenewalResponse{Verdict: verdict, KnownGeneration: vote.known}
	}
	if busy, ok := v.dispatcherBusy(now, vote, request); !ok {
		return RenewalResponse{Verdict: DispatcherBusy, KnownGeneration: vote.known, Dispatcher: vote.dispatcher, BusyFor: busy}
	}
	until := now + v.terms.SafeWait(v.terms.LeaseDuration)
	vote.recordAgreement(now, request.Generation, until)
	if request.Dispatcher != "" {
		vote.dispatcher = request.Dispatcher
		vote.dispatcherIncarnation = request.DispatcherIncarnation
		vote.dispatchUntil = until
	}
	return RenewalResponse{Verdict: Agreed, KnownGeneration: vote.known, Dispatcher: vote.dispatcher}
}

func (v *Voter) checkRenewal(now time.Duration, vote *pageVote, request RenewalRequest) Verdict {
	switch {
	case !v.hasReadStore:
		return Abstains
	case request.Bounded && now > v.lastStoreContact+v.terms.MaxStoreOutage:
		return Abstains
	case request.Generation <= vote.stopped:
		return Stopped
	case request.Generation < vote.known:
		return NewerGenerationKnown
	}
	return 0
}

// dispatcherBusy returns for how long another router may still dispatch the page,
// and whether the requested one may start. If two routers dispatched one page, each
// could run a copy of the same request. Any two majorities share a voter that
// remembers the current dispatcher, which prevents this.
func (v *Voter) dispatcherBusy(now time.Duration, vote *pageVote, request RenewalRequest) (time.Duration, bool) {
	if request.Dispatcher == "" {
		return 0, true
	}
	if vote.dispatcher == request.Dispatcher {
		return 0, true
	}
	if vote.dispatcher != "" && vote.dispatcher == request.ReleasedDispatcher && vote.dispatcherIncarnation == request.ReleasedIncarnation {
		return 0, true
	}
	busyUntil := max(vote.dispatchUntil, v.predecessorLeasesUntil)
	return busyUntil - now, now >= busyUntil
}

// Stop promises never again to agree to the generation or an older one, and returns
// how long leases that it agreed to may still be valid.
func (v *Voter) Stop(now time.Duration, page string, generation uint64) Promise {
	vote := v.pageState(page)
	vote.stopped = max(vote.stopped, generation)
	vote.known = max(vote.known, generation)
	until := v.predecessorLeasesUntil
	for _, agreed := range vote.agreements {
		if agreed.generation <= generation {
			until = max(until, agreed.until)
		}
	}
	return Promise{Remaining: max(0, until-now)}
}

func (v *Voter) pageState(page string) *pageVote {
	if known, ok := v.pages[page]; ok {
		return known
	}
	fresh := &pageVote{}
	v.pages[page] = fresh
	return fresh
}

// recordAgreement records an agreement and drops those that have expired.
func (p *pageVote) recordAgreement(now time.Duration, generation uint64, until time.Duration) {
	kept := p.agreements[:0]
	for _, old := range p.agreements {
		if old.until > now && old.generation != generation {
			kept = append(kept, old)
		}
	}
	p.agreements = append(kept, agreement{generation: generation, until: until})
}
