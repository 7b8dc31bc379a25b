package domain

import "time"

// Limits for the health of backend servers. Failure detection, the expiry of a
// lease, two writes and a grant together must take less than 2 s.
const (
	// peerProbeDelay is the silence of a server after which peers are asked to probe it.
	peerProbeDelay = 250 * time.Millisecond
	// suspectAfter is the silence after which a server is suspected if no other
	// observer has had an answer from it.
	suspectAfter = 450 * time.Millisecond
	// suspectDespitePeersAfter is the silence after which a server is suspected even
	// if other observers reach it: without answers to this controller it gets no
	// leases.
	suspectDespitePeersAfter = 2 * time.Second
	// observationValidity is how long an observation by another host counts. It is shorter
	// than suspectAfter, since the observation is up to a tick old on arrival.
	observationValidity = 300 * time.Millisecond
	// suspectUnansweredAfter is the silence after which a server is suspected that has
	// not answered since this controller began to contact it. The controller may just
	// have taken over the page from a failed member; if the server failed at the same
	// time, the two detection times must not add up.
	suspectUnansweredAfter = 300 * time.Millisecond
)

// serverHealth holds the observations of one backend server. Each kind of
// observation can be late or wrong, so several are combined.
type serverHealth struct {
	firstContact    time.Duration
	contacted       bool
	lastAnswer      time.Duration // to this controller
	lastObservation time.Duration // to a dispatcher's request or a peer's probe
	observed        bool
	lastPeerProbe   time.Duration
	draining        bool
	incarnation     uint64
	// loggedSuspected is the result of suspected that was last logged.
	loggedSuspected bool
}

func (h *serverHealth) recordContact(now time.Duration) {
	if h.contacted {
		return
	}
	h.contacted = true
	h.firstContact = now
	h.lastAnswer = now
}

func (h *serverHealth) recordAnswer(now time.Duration, incarnation uint64, draining bool) {
	h.lastAnswer = now
	h.draining = draining
	h.incarnation = incarnation
}

func (h *serverHealth) recordObservation(now time.Duration) {
	h.lastObservation = now
	h.observed = true
}

func (h *serverHealth) silence(now time.Duration) time.Duration {
	if !h.contacted {
		return 0
	}
	return now - h.lastAnswer
}

// shouldProbeFromPeers reports whether peers should probe the server now.
func (h *serverHealth) shouldProbeFromPeers(now time.Duration) bool {
	return h.silence(now) >= peerProbeDelay && now-h.lastPeerProbe >= peerProbeDelay
}

// suspected reports whether the server should lose its shards.
func (h *serverHealth) suspected(now time.Duration) bool {
	silent := h.silence(now)
	limit := suspectAfter
	if h.lastAnswer == h.firstContact {
		limit = suspectUnansweredAfter
	}
	if silent < limit {
		return false
	}
	contradicted := h.observed && now-h.lastObservation < observationValidity
	return !contradicted || silent >= suspectDespitePeersAfter
}

// routerHealth holds the observations of one router.
type routerHealth struct {
	contacted  bool
	lastAnswer time.Duration
	avoidUntil time.Duration
}

// Limits for the choice of a dispatcher.
const (
	maxRouterSilence = 450 * time.Millisecond
	routerAvoidance  = 3 * time.Second
)

func (h *routerHealth) recordContact(now time.Duration) {
	if h.contacted {
		return
	}
	h.contacted = true
	h.lastAnswer = now
}

// recordAnswer records an answer. A router that is shutting down is avoided for
// routerAvoidance only: an avoided router is not contacted, so the controller would
// never learn that it has restarted.
func (h *routerHealth) recordAnswer(now time.Duration, leaving bool) {
	h.lastAnswer = now
	if leaving {
		h.contacted = false
		h.avoidUntil = now + routerAvoidance
	}
}

// usable reports whether the router may be chosen as dispatcher. One that does not
// answer is avoided for routerAvoidance, then tried again.
func (h *routerHealth) usable(now time.Duration) bool {
	if now < h.avoidUntil {
		return false
	}
	if h.contacted && now-h.lastAnswer >= maxRouterSilence {
		h.contacted = false
		h.avoidUntil = now + routerAvoidance
		return false
	}
	return true
}
