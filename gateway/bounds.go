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
	// answerShare is how long a response that has begun to arrive may take before the call counts as
	// one that is overdue.
	answerShare = 0.6
	// probeShare is the interval between two calls to a store that does not answer.
	probeShare = 0.3
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

// answerWait returns how long a response that has begun to arrive may take before another call is made.
func (b bounds) answerWait() time.Duration { return b.share(answerShare) }

// probeInterval returns the interval between two calls to a store that does not answer.
func (b bounds) probeInterval() time.Duration { return b.share(probeShare) }

// controllerReturn returns how long it takes after a silence of the store until other hosts hear from a
// controller whose role the store has confirmed: its next call, and the next report to it.
func (b bounds) controllerReturn() time.Duration { return b.probeInterval() + reportInterval }
