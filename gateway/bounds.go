package gateway

import "time"

// Shares of the time within which a change has to take effect.
const (
	// shortShare is how long a watch of the store waits without a confirmation. Such a watch can miss
	// changes without an error, when its connection goes silent or the store drops its history.
	shortShare = 0.6
	// confirmationShare is how long a confirmation counts after the store's answer it is based on. The
	// remaining time is for the change to reach the hosts.
	confirmationShare = 0.75
	// verifyShare is how often a controller checks that its copies are complete: what it states of them
	// must count until the next report.
	verifyShare = 0.3
	// overdueShare is how long a call may remain unanswered before another one is made, besides the time
	// that it was asked to wait. Hosts and the store answer within milliseconds.
	overdueShare = 0.15
	// probeShare is the interval between two calls to a store that does not answer.
	probeShare = 0.2
)

// bounds are the times that follow from the time within which a change has to take effect.
type bounds struct{ maxDelay time.Duration }

func (b bounds) share(share float64) time.Duration { return time.Duration(share * float64(b.maxDelay)) }

// shortWait returns how long a watch of the store waits without a confirmation.
func (b bounds) shortWait() time.Duration { return b.share(shortShare) }

// validFor returns how long another host's confirmation counts.
func (b bounds) validFor() time.Duration { return b.share(confirmationShare) }

// verifyInterval is the interval at which a controller verifies its copies.
func (b bounds) verifyInterval() time.Duration { return b.share(verifyShare) }

// overdue returns how long a call may remain unanswered before another one is made.
func (b bounds) overdue() time.Duration { return b.share(overdueShare) }

// probeInterval returns the interval between two calls to a store that does not answer.
func (b bounds) probeInterval() time.Duration { return b.share(probeShare) }

// controllerReturn returns how long it takes after a silence of the store until other hosts hear from a
// controller whose role the store has confirmed: its next call, and the next report to it.
func (b bounds) controllerReturn() time.Duration { return b.probeInterval() + reportInterval }

// delayPart is a part of the time from the end of a silence of the store until what it holds is in force.
type delayPart struct {
	name string
	most time.Duration
}

// afterSilence returns the parts for a host that knows of the silence: its calls are overdue.
func (b bounds) afterSilence() []delayPart {
	return []delayPart{
		{"next call to the store", b.probeInterval()},
		{"pause after its history is found to be gone", minRetryDelay},
		{"list from the source, until the store is asked too", b.overdue()},
	}
}

// afterShortSilence returns the parts for a host whose watch was lost in a silence of which it does not
// know yet.
func (b bounds) afterShortSilence() []delayPart {
	return append([]delayPart{
		{"watch that nobody confirms", b.shortWait()},
		{"until it is overdue", b.overdue()},
	}, b.afterSilence()[1:]...) // a call is made as soon as the watch is overdue
}

// total adds up parts.
func total(parts []delayPart) time.Duration {
	sum := time.Duration(0)
	for _, part := range parts {
		sum += part.most
	}
	return sum
}
