package ownership

import (
	"slices"
	"time"

	"cicadarouter/record"
)

// Release asks for a shard to be taken from its owner and given to another.
type Release struct {
	Low  uint64
	Next string
}

// Split asks for a shard to be divided so that a new one begins at At.
type Split struct {
	At uint64
}

// Proposal is what placement or membership would like to change in a page.
type Proposal struct {
	Splits   []Split
	Releases []Release
	// Group replaces the renewing group, if not empty.
	Group []string
}

// Empty reports whether nothing is proposed.
func (p Proposal) Empty() bool {
	return len(p.Splits) == 0 && len(p.Releases) == 0 && len(p.Group) == 0
}

// Propose replaces the proposal that waits for the next write. What no longer
// fits the page is left out when the write is built.
func (m *Machine) Propose(now time.Duration, proposal Proposal) {
	m.proposal = proposal
	if m.known && m.view.Active {
		m.advance(now)
		m.requestStops()
	}
}

// Idle reports whether nothing is being written or waits for release.
func (m *Machine) Idle() bool {
	return m.writing == nil && m.proposal.Empty() && len(m.stopTargets()) == 0
}

// advance writes the next generation if anything has become provably safe, or
// is proposed.
func (m *Machine) advance(now time.Duration) {
	if m.writing != nil || !m.view.Active {
		return
	}
	for _, generation := range m.stopTargets() {
		m.countLost(now, m.stopTarget(generation))
	}
	next := m.page.Clone()
	next.Generation++
	changed := m.assignReleased(now, &next)
	changed = m.finishGroup(now, &next) || changed
	changed = applyProposal(&next, m.proposal) || changed
	m.proposal = Proposal{}
	if !changed {
		return
	}
	next.Attempt = m.attempts()
	m.writing = &next
	m.ready.Write = &next
}

// assignReleased gives an owner to each shard that nobody can hold any more.
func (m *Machine) assignReleased(now time.Duration, next *record.Page) bool {
	changed := false
	for i := range next.Shards {
		shard := &next.Shards[i]
		if !shard.Releasing() || !m.released(now, *shard) {
			continue
		}
		owner := m.nextOwner(*shard, i)
		if owner == "" {
			continue
		}
		*shard = record.Shard{
			Low:   shard.Low,
			Owner: owner,
			State: record.ShardOwned,
			Token: next.Generation,
		}
		changed = true
	}
	return changed
}

// nextOwner prefers the server that the move was planned for, and spreads
// shards without a plan over the eligible servers.
func (m *Machine) nextOwner(shard record.Shard, index int) string {
	if slices.Contains(m.view.Eligible, shard.Next) {
		return shard.Next
	}
	if len(m.view.Eligible) == 0 {
		return ""
	}
	return m.view.Eligible[index%len(m.view.Eligible)]
}

// released reports whether no server but the next owner can hold the shard.
func (m *Machine) released(now time.Duration, shard record.Shard) bool {
	if shard.Released == 0 {
		return true // never owned
	}
	if !m.takeoverSettled(now) {
		return false
	}
	gathered := m.stopTarget(shard.Released - 1)
	if m.view.Unchecked {
		return m.releasedUnchecked(now, shard, gathered)
	}
	return m.lapsed(now, gathered) || m.confirmed(shard, gathered)
}

// releasedUnchecked asks for more where the server runs whatever reaches it: no
// router may dispatch on the old generation any more, and what was sent before
// has ended by its deadline. The server's own word cannot shorten that wait,
// since a request may still be on its way to it.
func (m *Machine) releasedUnchecked(now time.Duration, shard record.Shard, gathered *collection) bool {
	if !m.lapsed(now, gathered) {
		return false
	}
	if slices.Contains(m.view.LostServers, shard.Owner) {
		return true
	}
	lastSent := max(gathered.majorityAt+m.terms.Guard(m.terms.Lease), m.takeoverSettledAt())
	if now < lastSent+m.terms.Guard(m.view.DrainWait) {
		return false
	}
	return m.confirmed(shard, gathered) || !m.view.WaitForOperator
}

// confirmed reports whether the old owner itself has let go of the shard, which
// saves the wait for the lapse. Only an answer to a message sent after a
// majority stopped counts: an owner that restarts after answering forgets what
// it let go of, and an earlier majority might still grant it to the new run.
func (m *Machine) confirmed(shard record.Shard, gathered *collection) bool {
	state, known := m.holders[HolderID{Kind: BackendServer, Name: shard.Owner}]
	if !known || !state.stamped || !gathered.majority {
		return false
	}
	if state.ackSentAt < gathered.majorityAt || state.generation < shard.Released {
		return false
	}
	high := m.page.ShardHigh(m.page.ShardAt(shard.Low))
	return !slices.ContainsFunc(state.busy, func(hash uint64) bool {
		return hash >= shard.Low && hash <= high
	})
}

// takeoverSettled reports whether the domain that had the page before can no
// longer renew it.
func (m *Machine) takeoverSettled(now time.Duration) bool {
	return now >= m.takeoverSettledAt()
}

// takeoverSettledAt returns when nothing that the domain that had the page
// before may have granted can run any more. Its group is not asked: it may be
// cut off, and a new group's word says nothing of it.
func (m *Machine) takeoverSettledAt() time.Duration {
	if m.page.TakenOver == 0 {
		return 0
	}
	wait := m.terms.Guard(m.terms.Lease)
	if m.page.Bounded {
		wait += m.terms.Guard(m.terms.StoreAway)
	}
	return m.takenSeen + wait
}

// finishGroup drops the old group once no lease that it alone agreed to can run.
func (m *Machine) finishGroup(now time.Duration, next *record.Page) bool {
	if len(m.page.OldGroup) == 0 {
		return false
	}
	if !m.lapsed(now, m.stopTarget(m.page.GroupSince-1)) {
		return false
	}
	next.OldGroup = nil
	return true
}

// applyProposal changes next as proposed and reports whether it did.
func applyProposal(next *record.Page, proposal Proposal) bool {
	changed := false
	for _, split := range proposal.Splits {
		changed = splitShard(next, split.At) || changed
	}
	for _, release := range proposal.Releases {
		changed = releaseShard(next, release) || changed
	}
	if len(proposal.Group) > 0 && len(next.OldGroup) == 0 && !slices.Equal(proposal.Group, next.Group) {
		next.OldGroup = next.Group
		next.Group = proposal.Group
		next.GroupSince = next.Generation
		changed = true
	}
	return changed
}

// splitShard divides an owned shard; both parts keep its owner and token.
func splitShard(next *record.Page, at uint64) bool {
	if !next.Contains(at) {
		return false
	}
	index := next.ShardAt(at)
	shard := next.Shards[index]
	if shard.Low == at || shard.Releasing() {
		return false
	}
	shard.Low = at
	next.Shards = slices.Insert(next.Shards, index+1, shard)
	return true
}

func releaseShard(next *record.Page, release Release) bool {
	if !next.Contains(release.Low) {
		return false
	}
	shard := &next.Shards[next.ShardAt(release.Low)]
	if shard.Low != release.Low || shard.Releasing() || shard.Owner == release.Next {
		return false
	}
	shard.State = record.ShardReleasing
	shard.Next = release.Next
	shard.Released = next.Generation
	return true
}

// TakeOver returns the page as another failure domain takes it: every shard is
// released and the group is replaced without the old group's word. It is for
// domains that an operator declared lost, and for services whose domains stop
// renewing by themselves when cut off.
func TakeOver(page record.Page, home string, group []string, attempt string) record.Page {
	next := page.Clone()
	next.Generation++
	next.Home = home
	next.Group = group
	next.OldGroup = nil
	next.GroupSince = next.Generation
	next.TakenOver = next.Generation
	next.Attempt = attempt
	for i := range next.Shards {
		shard := &next.Shards[i]
		if !shard.Releasing() {
			shard.State = record.ShardReleasing
			shard.Released = next.Generation
		}
		shard.Next = ""
	}
	return next
}
