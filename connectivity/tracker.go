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
	// silenceThreshold is how long no server must have answered, and minSilentServers the
	// number of servers that must have owed an answer for silentServerAge, before a probe is
	// made. A busy server may be silent for that long, but not several at once.
	silenceThreshold = 300 * time.Millisecond
	silentServerAge  = 200 * time.Millisecond
	minSilentServers = 3
	// LostProbeInterval is the interval of probes while the links are lost.
	LostProbeInterval = 200 * time.Millisecond
	// minRefutedPause and maxRefutedPause bound the pause after a probe that reached a server
	// although there was evidence against the links. It doubles from probe to probe.
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
	waiting      map[string]*pendingAnswers
	unconfirmed  bool // the last probe failed and is to be confirmed by another one
	nextProbe    time.Duration
	refutedPause time.Duration
}

// pendingAnswers are the requests to one server that have no answer.
type pendingAnswers struct {
	count int
	since time.Duration // when the first of them was sent, or the server last answered
}

// NewTracker returns a tracker whose links are up.
func NewTracker() *Tracker {
	return &Tracker{failed: map[string]time.Duration{}, waiting: map[string]*pendingAnswers{}, refutedPause: minRefutedPause}
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

// Connected records that a server accepted a connection.
func (t *Tracker) Connected() { clear(t.failed) }

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
	silent := now-t.lastAnswer >= silenceThreshold
	if t.lost || servers == 0 || now < t.nextProbe || len(t.failed) == 0 && !silent {
		return Evidence{}, false
	}
	evidence := t.evidence(now)
	if evidence.FailedServers >= min(minFailedServers, servers) {
		return evidence, true
	}
	return evidence, silent && evidence.SilentServers >= min(minSilentServers, servers)
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
		t.nextProbe, t.refutedPause = now+minRefutedPause, minRefutedPause
		clear(t.failed)
		return BecameRestored
	case t.lost:
		return StillLost
	case accepted == 0 && !unconfirmed && now-t.lastAnswer < silenceThreshold:
		t.unconfirmed = true
		return Inconclusive
	case accepted == 0:
		t.lost, t.lostSince = true, now
		return BecameLost
	}
	if now-t.nextProbe > maxRefutedPause {
		t.refutedPause = minRefutedPause
	}
	t.nextProbe = now + t.refutedPause
	t.refutedPause = min(2*t.refutedPause, maxRefutedPause)
	clear(t.failed)
	return StillUp
}
