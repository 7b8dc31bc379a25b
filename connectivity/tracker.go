// Package connectivity decides whether a host has lost its own links to the backend servers of a
// service.
//
// A failed connection alone does not tell whether the server or the host's link is at fault.
// The tracker therefore collects evidence over all servers, and asks for a probe of several
// of them before it changes its mind. It performs no I/O.
package connectivity

import "time"

const (
	// failureWindow is for how long a failed connection counts as evidence.
	failureWindow = time.Second
	// minFailedServers is the number of servers that must have failed to accept a connection,
	// with no successful one in between, before a probe is made.
	minFailedServers = 2
	// SilenceThreshold is how long no server must have answered, and minSilentServers the
	// number of servers that must have owed an answer for silentServerAge, before a probe is
	// made. A busy server may be silent for that long, but not several at once.
	SilenceThreshold = 300 * time.Millisecond
	silentServerAge  = 200 * time.Millisecond
	minSilentServers = 3
	// LostProbeInterval is the interval of probes while the links are lost.
	LostProbeInterval = 200 * time.Millisecond
	// minRefutedPause and maxRefutedPause bound the pause after a probe that reached a server
	// although there was evidence against the links.
	minRefutedPause = time.Second
	maxRefutedPause = 2 * time.Second
)

// Tracker tracks the state of the links. It is not safe for concurrent use.
type Tracker struct {
	lost       bool
	lostSince  time.Duration
	lastAnswer time.Duration
	// failed holds, by server, when a connection last failed since the last successful one.
	failed map[string]time.Duration
	// waiting holds the servers that owe answers.
	waiting     map[string]*pendingAnswers
	unconfirmed bool // the last probe failed and is to be confirmed by another one
	// failures and silence are the pauses between probes for each kind of evidence: slow servers
	// must not delay a probe for connections that fail.
	failures, silence probePause
	probed            *probePause // of the evidence for the current probe, or nil
}

// probePause is the pause between probes that reach servers although there is evidence against the
// links. It doubles from probe to probe.
type probePause struct {
	until, length time.Duration
}

// extend begins the next pause.
func (p *probePause) extend(now time.Duration) {
	if now-p.until > maxRefutedPause {
		p.length = minRefutedPause
	}
	p.until = now + p.length
	p.length = min(2*p.length, maxRefutedPause)
}

// pendingAnswers are the requests to one server that have no answer.
type pendingAnswers struct {
	count int
	since time.Duration // when the first of them was sent, or the server last answered
}

// NewTracker returns a tracker whose links are up.
func NewTracker() *Tracker {
	return &Tracker{failed: map[string]time.Duration{}, waiting: map[string]*pendingAnswers{},
		failures: probePause{length: minRefutedPause}, silence: probePause{length: minRefutedPause}}
}

// Lost reports whether the links to all servers are lost, and since when.
func (t *Tracker) Lost() (lost bool, since time.Duration) { return t.lost, t.lostSince }

// LastAnswer returns when a server last answered.
func (t *Tracker) LastAnswer() time.Duration { return t.lastAnswer }

// Evidence describes why a probe is due.
type Evidence struct {
	// FailedServers is the number of servers that recently failed to accept a connection,
	// SilentServers the number of servers that owe answers.
	FailedServers, SilentServers int
}

// Connected records that a server accepted a connection whose opening began at the given time. It
// says nothing about connections that have failed since.
func (t *Tracker) Connected(began time.Duration) {
	for server, at := range t.failed {
		if at <= began {
			delete(t.failed, server)
		}
	}
}

// ConnectFailed records that a connection to a server could not be opened.
func (t *Tracker) ConnectFailed(now time.Duration, server string) { t.failed[server] = now }

// Sent records that a request was sent to a server.
func (t *Tracker) Sent(now time.Duration, server string) {
	pending := t.waiting[server]
	if pending == nil {
		pending = &pendingAnswers{since: now}
		t.waiting[server] = pending
	}
	pending.count++
}

// Ended records the end of a request that was sent to a server, answered or not.
func (t *Tracker) Ended(now time.Duration, server string, answered bool) {
	if answered {
		t.lastAnswer = now
	}
	pending := t.waiting[server]
	if pending == nil {
		return
	}
	if pending.count--; pending.count <= 0 {
		delete(t.waiting, server)
	} else if answered {
		pending.since = now
	}
}

// ProbeDue reports whether servers must be probed now, and on which evidence. servers is the
// number of servers that are known. The caller probes and reports the result.
func (t *Tracker) ProbeDue(now time.Duration, servers int) (Evidence, bool) {
	t.probed = nil
	silent := now-t.lastAnswer >= SilenceThreshold
	if t.lost || servers == 0 || len(t.failed) == 0 && !silent {
		return Evidence{}, false
	}
	evidence := t.evidence(now)
	switch {
	case evidence.FailedServers >= min(minFailedServers, servers) && now >= t.failures.until:
		t.probed = &t.failures
	case silent && evidence.SilentServers >= min(minSilentServers, servers) && now >= t.silence.until:
		t.probed = &t.silence
	}
	return evidence, t.probed != nil
}

func (t *Tracker) evidence(now time.Duration) Evidence {
	var evidence Evidence
	for server, at := range t.failed {
		if now-at > failureWindow {
			delete(t.failed, server)
			continue
		}
		evidence.FailedServers++
	}
	for _, pending := range t.waiting {
		if now-pending.since >= silentServerAge {
			evidence.SilentServers++
		}
	}
	return evidence
}

// Result is the result of a probe.
type Result int

// Results of probes.
const (
	// StillUp and StillLost: the state of the links has not changed.
	StillUp Result = iota
	StillLost
	BecameLost
	BecameRestored
	// Inconclusive: another probe must be made at once.
	Inconclusive
)

// Probed records the result of a probe. The links are lost if no server accepted a connection, and
// restored if half of them did: on a lossy link some connections succeed by chance. While servers
// still answer on open connections, two probes in a row must fail, because the first one may have
// met dead servers only.
func (t *Tracker) Probed(now time.Duration, accepted, failed int) Result {
	unconfirmed := t.unconfirmed
	t.unconfirmed = false
	switch {
	case accepted+failed == 0 && t.lost:
		return StillLost
	case accepted+failed == 0:
		return StillUp
	case t.lost && accepted >= failed:
		t.lost = false
		return BecameRestored
	case t.lost:
		return StillLost
	case accepted == 0 && !unconfirmed && now-t.lastAnswer < SilenceThreshold:
		t.unconfirmed = true
		return Inconclusive
	case accepted == 0:
		t.lost, t.lostSince = true, now
		return BecameLost
	}
	if t.probed != nil {
		t.probed.extend(now)
	}
	return StillUp
}
