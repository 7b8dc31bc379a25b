package domain

import "time"

// Limits for the health of backend servers. Failure detection, the expiry of a
// lease, two writes and a grant together must take less than 2 s.
const (
	// silenceToAsk is the silence of a server after which peers are asked to probe it.
	silenceToAsk = 250 * time.Millisecond
	// silenceToSuspect is the silence after which a server is suspected if no other
	// observer has had an answer from it.
	silenceToSuspect = 450 * time.Millisecond
	// silenceToGiveUp is the silence after which a server is suspected even if other
	// observers reach it: without answers to this controller it gets no leases.
	silenceToGiveUp = 2 * time.Second
	// signFreshness is how long an observation by another host counts. It is shorter
	// than silenceToSuspect, since the observation is up to a tick old on arrival.
	signFreshness = 300 * time.Millisecond
	// silenceOfStranger is the silence after which a server is suspected that has not
	// answered since this controller began to contact it. The controller may just
	// have taken over the page from a failed member; if the server failed at the same
	// time, the two detection times must not add up.
	silenceOfStranger = 300 * time.Millisecond
)

// serverHealth holds the observations of one backend server. Each kind of
// observation can be late or wrong, so several are combined.
type serverHealth struct {
	firstAsked  time.Duration
	asked       bool
	lastAnswer  time.Duration // to this controller
	lastSign    time.Duration // to a dispatcher's request or a peer's probe
	heardSign   bool
	askedPeers  time.Duration
	draining    bool
	incarnation uint64
	// told is the result of suspected that was last logged.
	told bool
}

func (h *serverHealth) noteAsked(now time.Duration) {
	if h.asked {
		return
	}
	h.asked = true
	h.firstAsked = now
	h.lastAnswer = now
}

func (h *serverHealth) noteAnswer(now time.Duration, incarnation uint64, draining bool) {
	h.lastAnswer = now
	h.draining = draining
	h.incarnation = incarnation
}

func (h *serverHealth) noteSign(now time.Duration) {
	h.lastSign = now
	h.heardSign = true
}

func (h *serverHealth) silence(now time.Duration) time.Duration {
	if !h.asked {
		return 0
	}
	return now - h.lastAnswer
}

// shouldAskPeers reports whether peers should probe the server now.
func (h *serverHealth) shouldAskPeers(now time.Duration) bool {
	return h.silence(now) >= silenceToAsk && now-h.askedPeers >= silenceToAsk
}

// suspected reports whether the server should lose its shards.
func (h *serverHealth) suspected(now time.Duration) bool {
	silent := h.silence(now)
	patience := silenceToSuspect
	if h.lastAnswer == h.firstAsked {
		patience = silenceOfStranger
	}
	if silent < patience {
		return false
	}
	contradicted := h.heardSign && now-h.lastSign < signFreshness
	return !contradicted || silent >= silenceToGiveUp
}

// routerHealth holds the observations of one router.
type routerHealth struct {
	asked      bool
	lastAnswer time.Duration
	avoidUntil time.Duration
}

// Limits for the choice of a dispatcher.
const (
	routerSilence = 450 * time.Millisecond
	routerAvoid   = 3 * time.Second
)

func (h *routerHealth) noteAsked(now time.Duration) {
	if h.asked {
		return
	}
	h.asked = true
	h.lastAnswer = now
}

// noteAnswer records an answer. A router that is shutting down is avoided for
// routerAvoid only: an avoided router is not contacted, so the controller would
// never learn that it has restarted.
func (h *routerHealth) noteAnswer(now time.Duration, leaving bool) {
	h.lastAnswer = now
	if leaving {
		h.asked = false
		h.avoidUntil = now + routerAvoid
	}
}

// usable reports whether the router may be chosen as dispatcher. One that does not
// answer is avoided for routerAvoid, then tried again.
func (h *routerHealth) usable(now time.Duration) bool {
	if now < h.avoidUntil {
		return false
	}
	if h.asked && now-h.lastAnswer >= routerSilence {
		h.asked = false
		h.avoidUntil = now + routerAvoid
		return false
	}
	return true
}
