package ownership

import (
	"time"

	"cicadarouter/record"
)

// HolderKind is the kind of process that holds a lease.
type HolderKind uint8

// The kinds of holders.
const (
	BackendServer HolderKind = iota + 1
	Router
)

// HolderID identifies a lease holder.
type HolderID struct {
	Kind HolderKind
	Name string
}

// View is the caller's current view of the cluster. A wrong view costs time or an
// unneeded move, but never breaks an invariant.
type View struct {
	// Active is set while this controller renews the page's leases and writes its
	// generations.
	Active bool
	// Servers are the backend servers of the page's service in its failure domain.
	Servers []string
	// Eligible are the servers that may become owners, most preferred first.
	Eligible []string
	// Dispatcher is the preferred dispatch router, or empty.
	Dispatcher string
	// LostHosts and LostServers are those that an operator has declared lost.
	LostHosts   []string
	LostServers []string
	// TokensUnchecked is set when the servers do not check fencing tokens.
	Unchecked bool
	// WaitForOperator leaves the keys of an unreachable server that does not check
	// tokens without an owner until an operator declares the server lost.
	WaitForOperator bool
	// MaxRequestDuration is the longest that a request may run after it was sent.
	DrainWait time.Duration
}

// HolderAck is a holder's response to a grant or probe.
type HolderAck struct {
	// SentAt is the time on this controller's clock at which the grant or probe was
	// sent.
	SentAt time.Duration
	// HolderTime is the holder's clock reading when it responded.
	Stamp       time.Duration
	Incarnation uint64
	// Generation is the newest that the holder has accepted for the page.
	Generation uint64
	// Leaving is set by a router that has released all its leases and will accept
	// none in its current incarnation.
	Leaving bool
	// Busy lists the key hashes for which requests are still running although the
	// newest generation no longer assigns them to the holder.
	Busy []uint64
}

// GrantMessage is a grant to send, or a probe if Grant is nil.
type GrantOut struct {
	Holder HolderID
	SentAt time.Duration
	Page   string
	Grant  *Grant
}

// RenewalMessage is a renewal request to send to the members of the group.
type AskOut struct {
	Hosts []string
	Round uint64
	Ask   Ask
}

// StopMessage is a request to promise to stop a generation.
type StopOut struct {
	Hosts      []string
	Page       string
	Generation uint64
}

// Ready is what the caller must do next. A Write must not be published before the
// store has acknowledged it.
type Ready struct {
	Asks   []AskOut
	Stops  []StopOut
	Grants []GrantOut
	Write  *record.Page
	// Reread asks for the page to be read from the store again, because a write
	// failed or has an unknown outcome, or because a voter knows a newer or stopped
	// generation.
	Reread bool
}

// WriteResult is the outcome of a conditional write to the store.
type WriteResult uint8

// The outcomes of a write.
const (
	WriteDone WriteResult = iota + 1
	WriteConflict
	// WriteUnknown: the reply was lost. The write may have taken effect, may take
	// effect later or not at all.
	WriteUnknown
)

// StateMachine renews the leases of one page and moves its shards. It is not safe
// for concurrent use.
type Machine struct {
	terms    Terms
	attempts func() string

	page  record.Page
	known bool
	// takeoverSeenAt is when the generation of the latest takeover was first seen.
	takenSeen time.Duration

	view        View
	holders     map[HolderID]*holderState
	round       round
	rounds      uint64
	collections map[uint64]*collection
	proposal    Proposal
	writing     *record.Page
	ready       Ready

	// dispatcher is the router that was last reported by a voter or agreed to by a
	// majority.
	dispatcher string
	// dispatcherBusyUntil is when the dispatcher's lease has expired, so that
	// another router may be granted one.
	dispatchAfter time.Duration
	// releasedDispatcher is a router that released its leases in
	// releasedIncarnation.
	gaveUp    string
	gaveUpRun uint64
}

// NewStateMachine returns a state machine for one page. newAttemptID returns
// globally unique ids for write attempts.
func NewMachine(terms Terms, newAttemptID func() string) *Machine {
	return &Machine{
		terms:       terms,
		attempts:    newAttemptID,
		holders:     map[HolderID]*holderState{},
		collections: map[uint64]*collection{},
	}
}

// Page returns the newest known generation of the page.
func (m *Machine) Page() record.Page { return m.page }

// Dispatcher returns the last known dispatch router of the page, or an empty
// string.
func (m *Machine) Dispatcher() string { return m.dispatcher }

// Ready returns the pending work and clears it.
func (m *Machine) Ready() Ready {
	ready := m.ready
	m.ready = Ready{}
	return ready
}

// Learn accepts a generation of the page from any source. Generations that are not
// newer than the known one are ignored, so that the page never reverts.
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

// Tick starts a renewal round and repeats probes and stop requests that were not
// answered.
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

// HandleWriteResult processes the outcome of the write that Ready returned.
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
	// After a lost reply only the store knows the outcome. A read resolves it,
	// since the page carries the id of the attempt that wrote it. Assuming failure
	// could make this state machine act on a generation that is no longer the
	// newest.
	m.ready.Reread = true
}

// HandleWriteTimeout gives up waiting for a reply to the write that Ready returned;
// its outcome counts as unknown.
func (m *Machine) WriteTimedOut(now time.Duration) {
	if m.writing != nil {
		m.WriteResult(now, m.writing.Attempt, WriteUnknown)
	}
}
