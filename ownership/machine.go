package ownership

import (
	"time"

	"cicadarouter/record"
)

// HolderKind says what holds a lease.
type HolderKind uint8

// The kinds of holders.
const (
	BackendServer HolderKind = iota + 1
	Router
)

// HolderID names a lease holder.
type HolderID struct {
	Kind HolderKind
	Name string
}

// View is what the surrounding loop believes of the world. A wrong belief costs
// time or an unneeded move; it never breaks an invariant.
type View struct {
	// Active is set while this controller should renew and write for the page.
	Active bool
	// Servers are the backend servers of the page's service and domain.
	Servers []string
	// Eligible are those that may become owners, best first.
	Eligible []string
	// Dispatcher is the preferred dispatch router, or empty.
	Dispatcher string
	// LostHosts and LostServers are what operators have declared lost.
	LostHosts   []string
	LostServers []string
	// Unchecked is set when the servers do not check tokens.
	Unchecked bool
	// WaitForOperator keeps keys of an unreachable unchecked server unowned.
	WaitForOperator bool
	// DrainWait is the longest that a request once sent may run.
	DrainWait time.Duration
}

// HolderAck is a holder's answer to a grant or probe.
type HolderAck struct {
	// SentAt is this controller's time at which the grant or probe left.
	SentAt time.Duration
	// Stamp is the holder's clock when it answered.
	Stamp       time.Duration
	Incarnation uint64
	// Generation is the newest that the holder has accepted for the page.
	Generation uint64
	// Leaving is set by a router that has given up all its leases and will take
	// none in its present run.
	Leaving bool
	// Busy lists hashes that requests still run for, although the newest
	// generation no longer gives them to the holder.
	Busy []uint64
}

// GrantOut is a grant to send, or a probe when Grant is nil.
type GrantOut struct {
	Holder HolderID
	SentAt time.Duration
	Page   string
	Grant  *Grant
}

// AskOut is an ask to send to other members of the group.
type AskOut struct {
	Hosts []string
	Round uint64
	Ask   Ask
}

// StopOut is a request to stop a generation.
type StopOut struct {
	Hosts      []string
	Page       string
	Generation uint64
}

// Ready is what the loop must do next. A Write must not be announced before
// the store has acknowledged it.
type Ready struct {
	Asks   []AskOut
	Stops  []StopOut
	Grants []GrantOut
	Write  *record.Page
	// Reread asks for the page to be read again: a write's outcome is not known.
	Reread bool
}

// WriteResult is the outcome of a conditional update.
type WriteResult uint8

// The outcomes.
const (
	WriteDone WriteResult = iota + 1
	WriteConflict
	// WriteUnknown: the reply was lost; the write may or may not have taken
	// effect, now or later.
	WriteUnknown
)

// Machine renews one page and moves its shards. It is not safe for concurrent use.
type Machine struct {
	terms    Terms
	attempts func() string

	page  record.Page
	known bool
	// takenSeen is when the generation of the newest takeover was first seen.
	takenSeen time.Duration

	view        View
	holders     map[HolderID]*holderState
	round       round
	rounds      uint64
	collections map[uint64]*collection
	proposal    Proposal
	writing     *record.Page
	ready       Ready

	// dispatcher is the router that voters last reported or agreed to.
	dispatcher string
	// dispatchAfter is when another router's lease has lapsed.
	dispatchAfter time.Duration
	// gaveUp is a router that gave its leases up in the run gaveUpRun.
	gaveUp    string
	gaveUpRun uint64
}

// NewMachine returns a machine for one page. attempts mints ids for writes that
// no other writer will ever use.
func NewMachine(terms Terms, attempts func() string) *Machine {
	return &Machine{
		terms:       terms,
		attempts:    attempts,
		holders:     map[HolderID]*holderState{},
		collections: map[uint64]*collection{},
	}
}

// Page returns the newest generation known.
func (m *Machine) Page() record.Page { return m.page }

// Dispatcher returns the router that last dispatched the page, as far as known.
func (m *Machine) Dispatcher() string { return m.dispatcher }

// Ready returns what is to be done and forgets it.
func (m *Machine) Ready() Ready {
	ready := m.ready
	m.ready = Ready{}
	return ready
}

// Learn takes a generation of the page, from whatever source. Older ones are
// ignored: accepted configuration never reverts.
func (m *Machine) Learn(now time.Duration, page record.Page) {
	if m.known && page.Generation <= m.page.Generation {
		return
	}
	if !m.known || page.TakenOver != m.page.TakenOver {
		m.takenSeen = now
	}
	m.page = page
	m.known = true
	m.round = round{}
	m.forgetCollections()
	if !m.view.Active {
		return
	}
	m.startRound(now)
	m.advance(now)
	m.requestStops()
}

// Tick starts a round of renewal and re-sends what went unanswered.
func (m *Machine) Tick(now time.Duration, view View) {
	m.view = view
	if !m.known || !view.Active {
		return
	}
	m.probeSilent(now)
	m.startRound(now)
	m.advance(now)
	m.requestStops()
}

// WriteResult takes the outcome of the write that Ready gave out.
func (m *Machine) WriteResult(now time.Duration, attempt string, result WriteResult) {
	if m.writing == nil || m.writing.Attempt != attempt {
		return
	}
	written := *m.writing
	m.writing = nil
	if result == WriteDone {
		m.Learn(now, written)
		return
	}
	// After a lost reply only the store knows. Reading it settles the matter,
	// since the page carries the attempt that wrote it; assuming failure would
	// have this machine act on a generation that is no longer the newest.
	m.ready.Reread = true
}

// WriteTimedOut tells that no reply to the write that Ready gave out will be
// waited for any longer.
func (m *Machine) WriteTimedOut(now time.Duration) {
	if m.writing != nil {
		m.WriteResult(now, m.writing.Attempt, WriteUnknown)
	}
}
