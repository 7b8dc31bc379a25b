package ownership

import "time"

// Verdict is a voter's answer to an Ask.
type Verdict uint8

// The verdicts.
const (
	// Agreed: the voter accounts for leases with stamps taken before the ask.
	Agreed Verdict = iota + 1
	// Newer: the voter knows a newer generation.
	Newer
	// Stopped: the voter promised to stop this generation.
	Stopped
	// Abstains: the voter has not read the store since it started, or has been
	// away from it for longer than the page allows.
	Abstains
	// DispatcherBusy: another router's lease on the page may still run.
	DispatcherBusy
)

// Ask requests agreement to one more term of a page's generation.
type Ask struct {
	Page       string
	Generation uint64
	// Dispatcher names the router that would dispatch the page, or is empty
	// when only backend servers' leases are renewed.
	Dispatcher string
	// Run is the incarnation of Dispatcher that the lease is for.
	Run uint64
	// Released names a router that has given up its lease on the page and will
	// not take another in the run ReleasedRun, so that a successor need not
	// wait. The run matters: the router may have started again and hold a new
	// lease by the time this ask arrives.
	Released    string
	ReleasedRun uint64
	// Bounded is set for pages whose service moves when cut off.
	Bounded bool
}

// Answer is a voter's reply to an Ask.
type Answer struct {
	Verdict Verdict
	// Known is the newest generation that the voter knows.
	Known uint64
	// Dispatcher is the router whose lease may still run.
	Dispatcher string
	// BusyFor is how long that lease may still run.
	BusyFor time.Duration
}

// Promise is a voter's reply to a request to stop a generation.
type Promise struct {
	// Remaining is how long leases that this voter agreed to, on the stopped or
	// an older generation, may still run.
	Remaining time.Duration
}

// agreement records until when leases on one generation may run.
type agreement struct {
	generation uint64
	until      time.Duration
}

// vote is a voter's memory of one page.
type vote struct {
	known         uint64
	stopped       uint64
	agreements    []agreement
	dispatcher    string
	dispatcherRun uint64
	dispatchUntil time.Duration
}

// Voter is a controller's voice in renewals. Its memory starts empty: what it
// forgot by restarting is covered by freshUntil and established.
type Voter struct {
	terms Terms
	// freshUntil is when every lease that a predecessor at this address agreed
	// to has lapsed.
	freshUntil time.Duration
	// established is set by the first complete read of the store. A predecessor
	// promised to stop a generation only after a newer one was in the store, so
	// that read shows every generation it may have stopped as outdated.
	established  bool
	storeContact time.Duration
	pages        map[string]*vote
}

// NewVoter returns a voter that starts at now with an empty memory.
func NewVoter(terms Terms, now time.Duration) *Voter {
	return &Voter{
		terms:      terms,
		freshUntil: now + terms.Guard(terms.Lease),
		pages:      map[string]*vote{},
	}
}

// StoreRead tells the voter that it has learned all that the store held at
// began, a time before the read was sent.
func (v *Voter) StoreRead(began time.Duration) {
	v.established = true
	v.storeContact = max(v.storeContact, began)
}

// Established reports whether the voter has read the store since it started.
func (v *Voter) Established() bool { return v.established }

// Learn tells the voter of a page's generation, from whatever source.
func (v *Voter) Learn(page string, generation uint64) {
	vote := v.vote(page)
	vote.known = max(vote.known, generation)
}

// Agree answers an ask. Agreed means: until Guard(Lease) from now, this voter
// will count a lease on the generation as running.
func (v *Voter) Agree(now time.Duration, ask Ask) Answer {
	vote := v.vote(ask.Page)
	if verdict := v.refusal(now, vote, ask); verdict != 0 {
		return Answer{Verdict: verdict, Known: vote.known}
	}
	if busy, ok := v.dispatcherBusy(now, vote, ask); !ok {
		return Answer{Verdict: DispatcherBusy, Known: vote.known, Dispatcher: vote.dispatcher, BusyFor: busy}
	}
	until := now + v.terms.Guard(v.terms.Lease)
	vote.agree(now, ask.Generation, until)
	if ask.Dispatcher != "" {
		vote.dispatcher = ask.Dispatcher
		vote.dispatcherRun = ask.Run
		vote.dispatchUntil = until
	}
	return Answer{Verdict: Agreed, Known: vote.known, Dispatcher: vote.dispatcher}
}

func (v *Voter) refusal(now time.Duration, vote *vote, ask Ask) Verdict {
	switch {
	case !v.established:
		return Abstains
	case ask.Bounded && now > v.storeContact+v.terms.StoreAway:
		return Abstains
	case ask.Generation <= vote.stopped:
		return Stopped
	case ask.Generation < vote.known:
		return Newer
	}
	return 0
}

// dispatcherBusy returns for how long another router may still dispatch the
// page, and whether the asked one may start. Two routers that dispatch one page
// would each run a copy of the same request; the majority's memory prevents it.
func (v *Voter) dispatcherBusy(now time.Duration, vote *vote, ask Ask) (time.Duration, bool) {
	if ask.Dispatcher == "" {
		return 0, true
	}
	if vote.dispatcher == ask.Dispatcher {
		return 0, true
	}
	if vote.dispatcher != "" && vote.dispatcher == ask.Released && vote.dispatcherRun == ask.ReleasedRun {
		return 0, true
	}
	busyUntil := max(vote.dispatchUntil, v.freshUntil)
	return busyUntil - now, now >= busyUntil
}

// Stop promises never again to agree to the generation or an older one.
func (v *Voter) Stop(now time.Duration, page string, generation uint64) Promise {
	vote := v.vote(page)
	vote.stopped = max(vote.stopped, generation)
	vote.known = max(vote.known, generation)
	until := v.freshUntil
	for _, agreed := range vote.agreements {
		if agreed.generation <= generation {
			until = max(until, agreed.until)
		}
	}
	return Promise{Remaining: max(0, until-now)}
}

func (v *Voter) vote(page string) *vote {
	if known, ok := v.pages[page]; ok {
		return known
	}
	fresh := &vote{}
	v.pages[page] = fresh
	return fresh
}

// agree notes the agreement and forgets those that have lapsed.
func (t *vote) agree(now time.Duration, generation uint64, until time.Duration) {
	kept := t.agreements[:0]
	for _, old := range t.agreements {
		if old.until > now && old.generation != generation {
			kept = append(kept, old)
		}
	}
	t.agreements = append(kept, agreement{generation: generation, until: until})
}
