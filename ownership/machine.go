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
	TokensUnchecked bool
	// WaitForOperator leaves the keys of an unreachable server that does not check
	// tokens without an owner until an operator declares the server lost.
	WaitForOperator bool
	// MaxRequestDuration is the longest that a request may run after it was sent.
	MaxRequestDuration time.Duration
}

// HolderAck is a holder's response to a grant or probe.
type HolderAck struct {
	// SentAt is the time on this controller's clock at which the grant or probe was
	// sent.
	SentAt time.Duration
	// HolderTime is the holder's clock reading when it responded.
	HolderTime  time.Duration
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
type GrantMessage struct {
	Holder HolderID
	SentAt time.Duration
	Page   string
	Grant  *Grant
}

// RenewalMessage is a renewal request to send to the members of the group.
type RenewalMessage struct {
	Hosts   []string
	Round   uint64
	Request RenewalRequest
}

// StopMessage is a request to promise to stop a generation.
type StopMessage struct {
	Hosts      []string
	Page       string
	Generation uint64
}

// Ready is what the caller must do next. A Write must not be published before the
// store has acknowledged it.
type Ready struct {
	Renewals []RenewalMessage
	Stops    []StopMessage
	Grants   []GrantMessage
	Write    *record.Page
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
type StateMachine struct {
	terms        Terms
	newAttemptID func() string

	page    record.Page
	hasPage bool
	// takeoverSeenAt is when the generation of the latest takeover was first seen.
	takeoverSeenAt time.Duration

	view         View
	holders      map[HolderID]*holderState
	round        round
	lastRound    uint64
	stopPromises map[uint64]*promiseSet
	proposal     Proposal
	writing      *record.Page
	ready        Ready

	// dispatcher is the router that was last reported by a voter or agreed to by a
	// majority.
	dispatcher string
	// dispatcherBusyUntil is when the dispatcher's lease has expired, so that
	// another router may be granted one.
	dispatcherBusyUntil time.Duration
	// releasedDispatcher is a router that released its leases in
	// releasedIncarnation.
	releasedDispatcher  string
	releasedIncarnation uint64
}

// NewStateMachine returns a state machine for one page. newAttemptID returns
// globally unique ids for write attempts.
func NewStateMachine(terms Terms, newAttemptID func() string) *StateMachine {
	return &StateMachine{
		terms:        terms,
		newAttemptID: newAttemptID,
		holders:      map[HolderID]*holderState{},
		stopPromises: map[uint64]*promiseSet{},
	}
}

// Page returns the newest known generation of the page.
func (m *StateMachine) Page() record.Page { return m.page }

// Dispatcher returns the last known dispatch router of the page, or an empty
// string.
func (m *StateMachine) Dispatcher() string { return m.dispatcher }

// Ready returns the pending work and clears it.
func (m *StateMachine) Ready() Ready {
	ready := m.ready
	m.ready = Ready{}
	return ready
}

// Learn accepts a generation of the page from any source. Generations that are not
// newer than the known one are ignored, so that the page never reverts.
func (m *StateMachine) Learn(now time.Duration, page record.Page) {
	if m.hasPage && page.Generation <= m.page.Generation {
		return
	}
	if !m.hasPage || page.TakenOver != m.page.TakenOver {
		m.takeoverSeenAt = now
	}
	m.page = page
	m.hasPage = true
	m.round = round{}
	m.pruneStopPromises()
	if !m.view.Active {
		return
	}
	m.startRound(now)
	m.writeNextGeneration(now)
	m.requestStops()
}

// Tick starts a renewal round and repeats probes and stop requests that were not
// answered.
func (m *StateMachine) Tick(now time.Duration, view View) {
	m.view = view
	if !m.hasPage || !view.Active {
		return
	}
	m.probeUncontacted(now)
	m.startRound(now)
	m.writeNextGeneration(now)
	m.requestStops()
}

// HandleWriteResult processes the outcome of the write that Ready returned.
func (m *StateMachine) HandleWriteResult(now time.Duration, attempt string, result WriteResult) {
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
func (m *StateMachine) HandleWriteTimeout(now time.Duration) {
	if m.writing != nil {
		m.HandleWriteResult(now, m.writing.Attempt, WriteUnknown)
	}
}
