package ownership

import "time"

// stampOf is a holder's clock reading, frozen when a round began.
type stampOf struct {
	stamp       time.Duration
	incarnation uint64
}

// round is one attempt to have a majority agree to a term of a generation.
type round struct {
	number     uint64
	startedAt  time.Duration
	generation uint64
	dispatcher string
	stamps     map[HolderID]stampOf
	agreed     map[string]bool
	won        bool
}

// startRound freezes the holders' stamps, then asks the group. The order is the
// point: every voter that agrees does so after the stamps were taken, and so
// accounts for leases that run from them, however long this process pauses
// between the agreement and the grant.
func (m *Machine) startRound(now time.Duration) {
	m.rounds++
	m.round = round{
		number:     m.rounds,
		startedAt:  now,
		generation: m.page.Generation,
		stamps:     m.freezeStamps(),
		agreed:     map[string]bool{},
	}
	m.round.dispatcher = m.askedDispatcher(now)
	ask := Ask{
		Page:        m.page.Name,
		Generation:  m.round.generation,
		Dispatcher:  m.round.dispatcher,
		Run:         m.round.dispatcherRun(),
		Released:    m.gaveUp,
		ReleasedRun: m.gaveUpRun,
		Bounded:     m.page.Bounded,
	}
	m.ready.Asks = append(m.ready.Asks, AskOut{Hosts: m.page.Voters(), Round: m.rounds, Ask: ask})
}

// askedDispatcher leaves the dispatcher out of the ask while another router's
// lease runs, so that the backend servers' leases go on meanwhile.
func (m *Machine) askedDispatcher(now time.Duration) string {
	if !m.takeoverSettled(now) {
		return "" // a router of the domain that had the page may still dispatch it
	}
	if m.view.Dispatcher != m.dispatcher && now < m.dispatchAfter {
		return ""
	}
	if _, stamped := m.round.stamps[HolderID{Kind: Router, Name: m.view.Dispatcher}]; !stamped {
		return "" // no lease could follow
	}
	return m.view.Dispatcher
}

// dispatcherRun returns the incarnation of the round's dispatcher.
func (r round) dispatcherRun() uint64 {
	return r.stamps[HolderID{Kind: Router, Name: r.dispatcher}].incarnation
}

func (m *Machine) freezeStamps() map[HolderID]stampOf {
	frozen := map[HolderID]stampOf{}
	for _, id := range m.holderIDs() {
		state := m.holder(id)
		if state.stamped {
			frozen[id] = stampOf{stamp: state.stamp, incarnation: state.incarnation}
		}
	}
	return frozen
}

// Answer takes a voter's answer to the ask of a round.
func (m *Machine) Answer(now time.Duration, number uint64, host string, answer Answer) {
	if number != m.round.number || m.round.generation != m.page.Generation {
		return
	}
	switch answer.Verdict {
	case Agreed:
		m.round.agreed[host] = true
		m.winRound(now)
	case DispatcherBusy:
		m.dispatcher = answer.Dispatcher
		m.dispatchAfter = max(m.dispatchAfter, now+answer.BusyFor)
	case Newer, Stopped:
		m.ready.Reread = true
	}
}

// winRound sends the leases of a round as soon as a majority has agreed.
func (m *Machine) winRound(now time.Duration) {
	if m.round.won || !m.majority(m.round.agreed) {
		return
	}
	m.round.won = true
	if m.round.dispatcher != "" {
		m.dispatcher = m.round.dispatcher
		m.gaveUp = ""
		m.dispatchAfter = now + m.terms.Guard(m.terms.Lease)
	}
	for _, id := range m.holderIDs() {
		stamped, ok := m.round.stamps[id]
		if !ok || id.Kind == Router && id.Name != m.round.dispatcher {
			continue
		}
		m.send(now, id, m.grantFor(id, stamped))
	}
}

// majority reports whether the hosts are a majority of the page's group and,
// while a change of group is under way, of the old group too.
func (m *Machine) majority(hosts map[string]bool) bool {
	if !isMajority(m.page.Group, hosts) {
		return false
	}
	return len(m.page.OldGroup) == 0 || isMajority(m.page.OldGroup, hosts)
}

func isMajority(group []string, hosts map[string]bool) bool {
	count := 0
	for _, host := range group {
		if hosts[host] {
			count++
		}
	}
	return count > len(group)/2
}
