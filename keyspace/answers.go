package keyspace

import (
	"hash/fnv"
	"time"

	"cicadarouter/fleet"
)

const (
	// releaseRetryDelay is the delay before an unanswered release is sent again.
	releaseRetryDelay = 250 * time.Millisecond
	// probeInterval is how often an unresponsive server is probed. Probes overlap: one sent
	// while the network is down never arrives, so with one probe of 0.6 s at a time a server's
	// return would be noticed up to 0.85 s late. Shorter intervals cost more calls.
	probeInterval = 250 * time.Millisecond
)

// CallCompleted takes the result of a call with its start and end times. An unanswered call
// must have been aborted, so that it can't arrive after ended.
func (m *StateMachine) CallCompleted(call Call, result CallResult, handoff string, began, ended time.Duration) {
	m.callsInFlight--
	l, known := m.leases[leaseKey{from: call.From, to: call.To, holder: call.Holder}]
	if !known {
		return
	}
	l.callInFlight = false
	l.answeredLast = result != CallUnanswered
	switch call.Kind {
	case GrantCall:
		m.grantCompleted(l, call.Server, result, began, ended)
	case ReleaseCall:
		if result == CallUnanswered {
			l.nextRelease = ended + releaseRetryDelay
			return
		}
		l.released = true
		if !l.successorAsked {
			l.handoff = handoff
		}
	case ProbeCall:
		if result != CallUnanswered {
			m.noteResponse(call.Incarnation(), ended)
		} else {
			l.unresponsive = true
		}
	}
}

// noteResponse records that a server answers again, and makes its unresponsive ranges due
// for renewal.
func (m *StateMachine) noteResponse(server fleet.Incarnation, now time.Duration) {
	for key, l := range m.leases {
		if key.holder.Incarnation() == server && l.unresponsive {
			l.unresponsive, l.nextGrant, l.recoveredAt = false, now, now
		}
	}
}

// firstRenewal returns the delay from a server's first grant to its first renewal. Servers
// that are granted ranges at the same time are renewed at different times from then on, the
// ranges of one server together.
func firstRenewal(server string) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(server)) // never fails
	return renewInterval/2 + renewInterval/2*time.Duration(hash.Sum32()%1000)/1000
}

func (m *StateMachine) grantCompleted(l *lease, server string, result CallResult, began, ended time.Duration) {
	l.expiry = max(l.expiry, leaseExpiry(ended))
	switch result {
	case CallDone:
		l.nextGrant = began + renewInterval
		if !l.granted {
			l.nextGrant = began + firstRenewal(server)
		}
		l.granted, l.unresponsive = true, false
	case CallStaleToken:
		l.tokenStale = true
		l.nextGrant = ended + renewInterval
	case CallUnanswered:
		l.unansweredExpiry = max(l.unansweredExpiry, leaseExpiry(ended))
		l.unresponsive = true
		l.nextGrant = ended
	}
}
