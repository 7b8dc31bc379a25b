package keyspace

import (
	"hash/fnv"
	"time"

	"cicadarouter/fleet"
)

const (
	// releaseRetryDelay is the delay before an unanswered release is sent again.
	callRetry = 250 * time.Millisecond
	// probeInterval is how often an unresponsive server is probed. Probes overlap: one sent
	// while the network is down never arrives, so with one probe of 0.6 s at a time a server's
	// return would be noticed up to 0.85 s late. Shorter intervals cost more calls.
	probeEvery = 250 * time.Millisecond
)

// CallCompleted takes the result of a call with its start and end times. An unanswered call
// must have been aborted, so that it can't arrive after ended.
func (m *Machine) Answered(call Call, result CallResult, handoff string, began, ended time.Duration) {
	m.underWay--
	l, known := m.leases[leaseKey{from: call.From, to: call.To, holder: call.Holder}]
	if !known {
		return
	}
	l.calling = false
	l.heard = result != CallUnanswered
	switch call.Kind {
	case GrantCall:
		m.grantAnswered(l, call.Server, result, began, ended)
	case ReleaseCall:
		if result == CallUnanswered {
			l.retry = ended + callRetry
			return
		}
		l.released = true
		if !l.successor {
			l.handoff = handoff
		}
	case ProbeCall:
		if result != CallUnanswered {
			m.noteAnswer(call.Incarnation(), ended)
		} else {
			l.silent = true
		}
	}
}

// noteResponse records that a server answers again, and makes its unresponsive ranges due
// for renewal.
func (m *Machine) noteAnswer(server fleet.Incarnation, now time.Duration) {
	for key, l := range m.leases {
		if key.holder.Incarnation() == server && l.silent {
			l.silent, l.next, l.backAt = false, now, now
		}
	}
}

// firstRenewal returns the delay from a server's first grant to its first renewal. Servers
// that are granted ranges at the same time are renewed at different times from then on, the
// ranges of one server together.
func firstRenewal(server string) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(server)) // never fails
	return renewEvery/2 + renewEvery/2*time.Duration(hash.Sum32()%1000)/1000
}

func (m *Machine) grantAnswered(l *lease, server string, result CallResult, began, ended time.Duration) {
	l.until = max(l.until, lapse(ended))
	switch result {
	case CallDone:
		l.next = began + renewEvery
		if !l.granted {
			l.next = began + firstRenewal(server)
		}
		l.granted, l.silent = true, false
	case CallStale:
		l.stale = true
		l.next = ended + renewEvery
	case CallUnanswered:
		l.late = max(l.late, lapse(ended))
		l.silent = true
		l.next = ended
	}
}
