package domain

import "time"

// Times of the judgement of health. Detection, the lapse of a lease, two writes
// and a grant together stay under 2 s.
const (
	// silenceToAsk is how long a server may be silent before others are asked.
	silenceToAsk = 250 * time.Millisecond
	// silenceToSuspect is how long a server may be silent before it is suspected,
	// if nobody else has heard from it.
	silenceToSuspect = 450 * time.Millisecond
	// silenceToGiveUp is how long others' word keeps a silent server trusted. A
	// server that only this controller cannot reach gets no leases all the same.
	silenceToGiveUp = 2 * time.Second
	// signFreshness is how long another observer's word counts. It is shorter
	// than the silence, since that word was on its way for up to a tick.
	signFreshness = 300 * time.Millisecond
	// silenceOfStranger is how long a server may be silent that has never
	// answered this controller, which has just taken the page over from a
	// silent member: two losses at once must not add up.
	silenceOfStranger = 300 * time.Millisecond
)

// serverHealth gathers the signs about one backend server. Reports lag and
// mislead, so that no single sign decides.
type serverHealth struct {
	firstAsked  time.Duration
	asked       bool
	lastAnswer  time.Duration // to this controller
	lastSign    time.Duration // to a dispatch router's request, or to a peer's probe
	heardSign   bool
	askedPeers  time.Duration
	draining    bool
	incarnation uint64
	// told is the judgement that was last logged.
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

// shouldAskPeers reports whether another observer's word is wanted.
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

// routerHealth is what a controller knows of one router.
type routerHealth struct {
	asked      bool
	lastAnswer time.Duration
	avoidUntil time.Duration
}

// Times of the choice of a dispatch router.
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

// noteAnswer takes an answer. A router that leaves is left out for a while, not
// for good: nobody asks a router that is left out, so nobody would learn that
// another run of it has come back.
func (h *routerHealth) noteAnswer(now time.Duration, leaving bool) {
	h.lastAnswer = now
	if leaving {
		h.asked = false
		h.avoidUntil = now + routerAvoid
	}
}

// usable reports whether the router may be chosen. A silent one is left out for
// a while, then tried again.
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
