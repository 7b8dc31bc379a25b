package ownership

import "time"

// clockReading is a holder's last known clock reading when a round began.
type clockReading struct {
	holderTime  time.Duration
	incarnation uint64
}

// round is one attempt to get a majority to agree to a lease period for a
// generation.
type round struct {
	number        uint64
	startedAt     time.Duration
	generation    uint64
	dispatcher    string
	clockReadings map[HolderID]clockReading
	agreed        map[string]bool
	granted       bool
}

// startRound records the holders' clock readings and then asks the group. The order
// is essential: every voter agrees after the readings were taken and so accounts
// for leases based on them, however long this process pauses between the agreement
// and the grant.
func (m *StateMachine) startRound(now time.Duration) {
	m.lastRound++
	m.round = round{
		number:        m.lastRound,
		startedAt:     now,
		generation:    m.page.Generation,
		clockReadings: m.snapshotClockReadings(),
		agreed:        map[string]bool{},
	}
	m.round.dispatcher = m.dispatcherToRenew(now)
	request := RenewalRequest{
		Page:                  m.page.Name,
		Generation:            m.round.generation,
		Dispatcher:            m.round.dispatcher,
		DispatcherIncarnation: m.round.dispatcherIncarnation(),
		ReleasedDispatcher:    m.releasedDispatcher,
		ReleasedIncarnation:   m.releasedIncarnation,
		Bounded:               m.page.Bounded,
	}
	m.ready.Renewals = append(m.ready.Renewals, RenewalMessage{Hosts: m.page.Voters(), Round: m.lastRound, Request: request})
}

// dispatcherToRenew returns the dispatcher to request a lease for. It returns an
// empty string while another router's lease may be valid, so that the leases of
// backend servers are renewed in the meantime.
func (m *StateMachine) dispatcherToRenew(now time.Duration) string {
	if !m.previousDomainExpired(now) {
		return "" // a router of the previous domain may still dispatch the page
	}
	if m.view.Dispatcher != m.dispatcher && now < m.dispatcherBusyUntil {
		return ""
	}
	if _, answered := m.round.clockReadings[HolderID{Kind: Router, Name: m.view.Dispatcher}]; !answered {
		return "" // a lease needs the router's clock reading
	}
	return m.view.Dispatcher
}

// dispatcherIncarnation returns the incarnation of the round's dispatcher.
func (r round) dispatcherIncarnation() uint64 {
	return r.clockReadings[HolderID{Kind: Router, Name: r.dispatcher}].incarnation
}

func (m *StateMachine) snapshotClockReadings() map[HolderID]clockReading {
	readings := map[HolderID]clockReading{}
	for _, id := range m.holderIDs() {
		state := m.holder(id)
		if state.answered {
			readings[id] = clockReading{holderTime: state.holderTime, incarnation: state.incarnation}
		}
	}
	return readings
}

// HandleRenewalResponse processes a voter's response to the request of a round.
func (m *StateMachine) HandleRenewalResponse(now time.Duration, number uint64, host string, response RenewalResponse) {
	if number != m.round.number || m.round.generation != m.page.Generation {
		return
	}
	switch response.Verdict {
	case Agreed:
		m.round.agreed[host] = true
		m.grantLeases(now)
	case DispatcherBusy:
		m.dispatcher = response.Dispatcher
		m.dispatcherBusyUntil = max(m.dispatcherBusyUntil, now+response.BusyFor)
	case NewerGenerationKnown, Stopped:
		m.ready.Reread = true
	}
}

// grantLeases sends the leases of a round as soon as a majority has agreed.
func (m *StateMachine) grantLeases(now time.Duration) {
	if m.round.granted || !m.hasMajority(m.round.agreed) {
		return
	}
	m.round.granted = true
	if m.round.dispatcher != "" {
		m.dispatcher = m.round.dispatcher
		m.releasedDispatcher = ""
		m.dispatcherBusyUntil = now + m.terms.SafeWait(m.terms.LeaseDuration)
	}
	for _, id := range m.holderIDs() {
		reading, ok := m.round.clockReadings[id]
		if !ok || id.Kind == Router && id.Name != m.round.dispatcher {
			continue
		}
		m.queueMessage(now, id, m.grantFor(id, reading))
	}
}

// hasMajority reports whether the hosts are a majority of the page's group and,
// during a change of the group, of the old group too.
func (m *StateMachine) hasMajority(hosts map[string]bool) bool {
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
