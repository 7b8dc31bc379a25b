package ownership

import (
	"slices"
	"time"

	"cicadarouter/record"
)

// Release proposes to take a shard from its owner and give it to the server Next.
type Release struct {
	Low  uint64
	Next string
}

// Split proposes to divide a shard so that a new one begins at At.
type Split struct {
	At uint64
}

// Proposal is a set of changes to a page that placement or group membership asks
// for.
type Proposal struct {
	Splits   []Split
	Releases []Release
	// Group is the new renewal group; it is empty if the group does not change.
	Group []string
}

// Empty reports whether nothing is proposed.
func (p Proposal) Empty() bool {
	return len(p.Splits) == 0 && len(p.Releases) == 0 && len(p.Group) == 0
}

// Propose replaces the proposal that is pending for the next write. Changes that no
// longer fit the page are left out when the write is built.
func (m *StateMachine) Propose(now time.Duration, proposal Proposal) {
	m.proposal = proposal
	if m.hasPage && m.view.Active {
		m.writeNextGeneration(now)
		m.requestStops()
	}
}

// Idle reports whether there is no write, proposal, shard release or group change
// pending.
func (m *StateMachine) Idle() bool {
	return m.writing == nil && m.proposal.Empty() && len(m.generationsToStop()) == 0
}

// writeNextGeneration requests a write of the next generation if a pending change
// has become provably safe or a change is proposed.
func (m *StateMachine) writeNextGeneration(now time.Duration) {
	if m.writing != nil || !m.view.Active {
		return
	}
	for _, generation := range m.generationsToStop() {
		m.addLostHosts(now, m.promisesFor(generation))
	}
	next := m.page.Clone()
	next.Generation++
	changed := m.assignReleasedShards(now, &next)
	changed = m.dropOldGroup(now, &next) || changed
	changed = applyProposal(&next, m.proposal) || changed
	m.proposal = Proposal{}
	if !changed {
		return
	}
	next.Attempt = m.newAttemptID()
	m.writing = &next
	m.ready.Write = &next
}

// assignReleasedShards assigns an owner to each releasing shard that no server can
// hold any more.
func (m *StateMachine) assignReleasedShards(now time.Duration, next *record.Page) bool {
	changed := false
	for i := range next.Shards {
		shard := &next.Shards[i]
		if !shard.Releasing() || !m.unheld(now, *shard) {
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

// nextOwner returns the server that the move was planned for if it is eligible.
// Other shards are spread over the eligible servers.
func (m *StateMachine) nextOwner(shard record.Shard, index int) string {
	if slices.Contains(m.view.Eligible, shard.Next) {
		return shard.Next
	}
	if len(m.view.Eligible) == 0 {
		return ""
	}
	return m.view.Eligible[index%len(m.view.Eligible)]
}

// unheld reports whether no server can hold a releasing shard any more.
func (m *StateMachine) unheld(now time.Duration, shard record.Shard) bool {
	if shard.Released == 0 {
		return true // never owned
	}
	if !m.previousDomainExpired(now) {
		return false
	}
	promises := m.promisesFor(shard.Released - 1)
	if m.view.TokensUnchecked {
		return m.unheldUnchecked(now, shard, promises)
	}
	return m.leasesExpired(now, promises) || m.releaseConfirmed(shard, promises)
}

// unheldUnchecked is the stricter condition for servers that run requests without
// checking tokens: no router may dispatch on the old generation any more, and the
// requests sent before have ended by their deadline. A confirmation by the server
// cannot shorten that wait, since a request may still be in transit to it.
func (m *StateMachine) unheldUnchecked(now time.Duration, shard record.Shard, promises *promiseSet) bool {
	if !m.leasesExpired(now, promises) {
		return false
	}
	if slices.Contains(m.view.LostServers, shard.Owner) {
		return true
	}
	lastSent := max(promises.majorityAt+m.terms.SafeWait(m.terms.LeaseDuration), m.previousDomainExpiresAt())
	if now < lastSent+m.terms.SafeWait(m.view.MaxRequestDuration) {
		return false
	}
	return m.releaseConfirmed(shard, promises) || !m.view.WaitForOperator
}

// releaseConfirmed reports whether the old owner has confirmed that it released the
// shard, which saves waiting for the lease to expire. Only a response to a message
// sent after a majority stopped counts: an owner that restarts after its response
// loses track of the release, and a majority formed before the stop could still
// grant the shard to the new incarnation.
func (m *StateMachine) releaseConfirmed(shard record.Shard, promises *promiseSet) bool {
	state, known := m.holders[HolderID{Kind: BackendServer, Name: shard.Owner}]
	if !known || !state.answered || !promises.reachedMajority {
		return false
	}
	if state.ackSentAt < promises.majorityAt || state.generation < shard.Released {
		return false
	}
	high := m.page.ShardHigh(m.page.ShardAt(shard.Low))
	return !slices.ContainsFunc(state.busy, func(hash uint64) bool {
		return hash >= shard.Low && hash <= high
	})
}

// previousDomainExpired reports whether no lease granted by the failure domain that
// had the page before a takeover can be valid any more.
func (m *StateMachine) previousDomainExpired(now time.Duration) bool {
	return now >= m.previousDomainExpiresAt()
}

// previousDomainExpiresAt returns when every lease that the page's previous failure
// domain may have granted has expired. The wait is by time alone: the previous
// group may be unreachable, and the new group's promises do not cover it.
func (m *StateMachine) previousDomainExpiresAt() time.Duration {
	if m.page.TakenOver == 0 {
		return 0
	}
	wait := m.terms.SafeWait(m.terms.LeaseDuration)
	if m.page.Bounded {
		wait += m.terms.SafeWait(m.terms.MaxStoreOutage)
	}
	return m.takeoverSeenAt + wait
}

// dropOldGroup removes the old group from the page once no lease that only the old
// group agreed to can be valid.
func (m *StateMachine) dropOldGroup(now time.Duration, next *record.Page) bool {
	if len(m.page.OldGroup) == 0 {
		return false
	}
	if !m.leasesExpired(now, m.promisesFor(m.page.GroupSince-1)) {
		return false
	}
	next.OldGroup = nil
	return true
}

// applyProposal applies the proposal to next and reports whether that changed
// anything.
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

// splitShard divides an owned shard; both parts keep the owner and token.
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

// TakeOver returns the generation of the page with which another failure domain
// takes it over: every shard is releasing and the group is replaced without
// agreement of the old group. It is for domains that an operator declared lost, and
// for services whose domains stop renewing by themselves when cut off (Bounded
// pages).
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
