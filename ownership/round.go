package ownership

import "time"

// clockReading is a holder's last known clock reading when a round began.
type stampOf struct {
	stamp       time.Duration
	incarnation uint64
}

// round is one attempt to get a majority to agree to a lease period for a
// generation.
type round struct {
	number     uint64
	startedAt  time.Duration
	generation uint64
	dispatcher string
	stamps     map[HolderID]stampOf
	agreed     map[string]bool
	won        bool
}

// startRound records the holders' clock readings and then asks the group. The order
// is essential: every voter agrees after the readings were taken and so accounts
// for leases based on them, however long this process pauses between the agreement
// and the grant.
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
	request := Ask{
		Page:        m.page.Name,
		Generation:  m.round.generation,
		Dispatcher:  m.round.dispatcher,
		Run:         m.round.dispatcherRun(),
		Released:    m.gaveUp,
		ReleasedRun: m.gaveUpRun,
		Bounded:     m.page.Bounded,
	}
	m.ready.Asks = append(m.ready.Asks, AskOut{Hosts: m.page.Voters(), Round: m.rounds, Ask: request})
}

// dispatcherToRenew returns the dispatcher to request a lease for. It returns an
// empty string while another router's lease may be valid, so that the leases of
// backend servers are renewed in the meantime.
func (m *Machine) askedDispatcher(now time.Duration) string {
	if !m.takeoverSettled(now) {
		return "" // a router of the previous domain may still dispatch the page
	}
	if m.view.Dispatcher != m.dispatcher && now < m.dispatchAfter {
		return ""
	}
	if _, answered := m.round.stamps[HolderID{Kind: Router, Name: m.view.Dispatcher}]; !answered {
		return "" // a lease needs the router's clock reading
	}
	return m.view.Dispatcher
}

// dispatcherIncarnation returns the incarnation of the round's dispatcher.
func (r round) dispatcherRun() uint64 {
	return r.stamps[HolderID{Kind: Router, Name: r.dispatcher}].incarnation
}

func (m *Machine) freezeStamps() map[HolderID]stampOf {
	readings := map[HolderID]stampOf{}
	for _, id := range m.holderIDs() {
		state := m.holder(id)
		if state.stamped {
			readings[id] = stampOf{stamp: state.stamp, incarnation: state.incarnation}
		}
	}
	return readings
}

// HandleRenewalResponse processes a voter's response to the request of a round.
func (m *Machine) Answer(now time.Duration, number uint64, host string, response Answer) {
	if number != m.round.number || m.round.generation != m.page.Generation {
		return
	}
	switch response.Verdict {
	case Agreed:
		m.round.agreed[host] = true
		m.winRound(now)
	case DispatcherBusy:
		m.dispatcher = response.Dispatcher
		m.dispatchAfter = max(m.dispatchAfter, now+response.BusyFor)
	case Newer, Stopped:
		m.ready.Reread = true
	}
}

// grantLeases sends the leases of a round as soon as a majority has agreed.
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
		reading, ok := m.round.stamps[id]
		if !ok || id.Kind == Router && id.Name != m.round.dispatcher {
			continue
		}
		m.send(now, id, m.grantFor(id, reading))
	}
}

// hasMajority reports whether the hosts are a majority of the page's group and,
// during a change of the group, of the old group too.
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
