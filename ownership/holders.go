package ownership

import (
	"slices"
	"time"
)

// holderState is what a state machine knows about one lease holder.
type holderState struct {
	answered    bool
	holderTime  time.Duration
	incarnation uint64
	// generation is the newest that the holder's current incarnation has accepted.
	generation uint64
	// ackSentAt is when the latest message that the holder answered was sent.
	ackSentAt time.Duration
	busy      []uint64
	sent      bool
	sentAt    time.Duration
}

func (m *StateMachine) holder(id HolderID) *holderState {
	if known, ok := m.holders[id]; ok {
		return known
	}
	fresh := &holderState{}
	m.holders[id] = fresh
	return fresh
}

// holderIDs lists the holders that get this page's grants and probes.
func (m *StateMachine) holderIDs() []HolderID {
	names := slices.Clone(m.view.Servers)
	for _, shard := range m.page.Shards {
		if shard.Owner != "" && !slices.Contains(names, shard.Owner) {
			names = append(names, shard.Owner)
		}
	}
	ids := make([]HolderID, 0, len(names)+1)
	for _, name := range names {
		ids = append(ids, HolderID{Kind: BackendServer, Name: name})
	}
	if m.view.Dispatcher != "" {
		ids = append(ids, HolderID{Kind: Router, Name: m.view.Dispatcher})
	}
	return ids
}

// HandleAck processes a holder's response. Responses may arrive late, repeatedly
// and out of order.
func (m *StateMachine) HandleAck(now time.Duration, id HolderID, ack HolderAck) {
	state := m.holder(id)
	if state.answered && ack.SentAt < state.ackSentAt {
		return
	}
	first := !state.answered
	state.answered = true
	state.holderTime = ack.HolderTime
	state.incarnation = ack.Incarnation
	state.generation = ack.Generation
	state.ackSentAt = ack.SentAt
	state.busy = ack.Busy
	if ack.Leaving && id.Name == m.dispatcher {
		m.releasedDispatcher = id.Name
		m.releasedIncarnation = ack.Incarnation
		m.dispatcherBusyUntil = now
	}
	if !m.hasPage || !m.view.Active {
		return
	}
	m.writeNextGeneration(now)
	if first && id == (HolderID{Kind: Router, Name: m.view.Dispatcher}) && m.round.dispatcher == "" {
		m.startRound(now) // the dispatcher's lease needed this clock reading
	}
}

// probeUncontacted probes the holders that were sent nothing since the last round
// began, so that a current clock reading of holders without a lease is known in the
// next round.
func (m *StateMachine) probeUncontacted(now time.Duration) {
	for _, id := range m.holderIDs() {
		state := m.holder(id)
		if state.sent && m.round.number != 0 && state.sentAt >= m.round.startedAt {
			continue
		}
		m.queueMessage(now, id, nil)
	}
}

func (m *StateMachine) queueMessage(now time.Duration, id HolderID, grant *Grant) {
	state := m.holder(id)
	state.sent = true
	state.sentAt = now
	out := GrantMessage{Holder: id, SentAt: now, Page: m.page.Name, Grant: grant}
	m.ready.Grants = append(m.ready.Grants, out)
}

// grantFor returns the lease of one holder, based on the holder's clock reading
// from before the round began.
func (m *StateMachine) grantFor(id HolderID, reading clockReading) *Grant {
	grant := &Grant{
		Page:        m.page.Name,
		Generation:  m.round.generation,
		Incarnation: reading.incarnation,
		Expiry:      reading.holderTime + m.terms.LeaseDuration,
	}
	state := m.holder(id)
	current := state.incarnation == reading.incarnation && state.generation >= m.round.generation
	grant.Complete = !current
	if id.Kind == BackendServer && !current {
		grant.Shards = m.shardsOf(id.Name)
	}
	return grant
}

// shardsOf lists the shards that the newest generation assigns to a server.
func (m *StateMachine) shardsOf(server string) []HeldShard {
	var held []HeldShard
	for i, shard := range m.page.Shards {
		if shard.Grantable() && shard.Owner == server {
			held = append(held, HeldShard{Low: shard.Low, High: m.page.ShardHigh(i), Token: shard.Token})
		}
	}
	return held
}
