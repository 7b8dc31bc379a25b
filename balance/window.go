package balance

// Load pattern: two thirds of a service's servers are gone for some seconds, one failure domain
// evacuated and another one down. Each of a hundred hosts uses each remaining server once in
// some seconds, so a load report has decayed by the time the host chooses again, and all servers
// seem to have room. Their queues fill, and callers give up on half of the requests before these
// get a slot. A host does see at once how long the queues are at the servers that answer. It
// bounds its requests in flight accordingly, as TCP bounds its congestion window. All hosts
// together then send what the servers can process, and the other requests wait or are rejected
// at the hosts, where the most urgent can go first.

const (
	// congestedQueue is the average number of queued requests per slot above which a host
	// sends less. A queue of one per slot takes as long as the work itself, which is half of
	// the time that most objectives leave.
	congestedQueue = 1.0
	// uncongestedQueue is the average below which a host sends more again. Some queueing is random:
	// servers of unequal speed at 80 % utilization have 0.2 to 0.4 queued requests per slot.
	uncongestedQueue = 0.5
	// queueWeight is the weight of a new answer in the average, which covers about five.
	queueWeight = 0.2
	// windowDecrease multiplies the window after each answer while the queues are too long; over
	// the seven answers of a window of seven requests it halves. windowIncrease is added to the
	// window over as many answers as it holds while the queues are short. In the simulated
	// loss of two thirds of the servers (TestSimulateTwoThirdsLost) the completed requests have
	// 0.82 of the offered value with the window, and 0.78 without.
	windowDecrease = 0.9
	windowIncrease = 1.0
	// minWindow lets a host still learn the length of the servers' queues.
	minWindow = 1.0
	// unlimitedWindow is the size at which the limit is lifted; no host has as many requests in
	// flight.
	unlimitedWindow = 256.0
)

// sendWindow bounds the number of this host's requests in flight at the servers of a service.
type sendWindow struct {
	inFlight      int
	smoothedQueue float64 // smoothed number of queued requests per slot
	limit         float64 // most requests in flight; 0: not limited
}

// allowsSend reports whether one more request may be sent.
func (w *sendWindow) allowsSend() bool { return w.limit == 0 || float64(w.inFlight) < w.limit }

// recordLoad adjusts the window to the load that came with an answer.
func (w *sendWindow) recordLoad(load Load) {
	if load.Slots <= 0 {
		return
	}
	w.smoothedQueue += queueWeight * (float64(load.Waiting)/float64(load.Slots) - w.smoothedQueue)
	switch {
	case w.smoothedQueue > congestedQueue:
		if w.limit == 0 {
			w.limit = float64(w.inFlight + 1)
		}
		w.limit = max(w.limit*windowDecrease, minWindow)
	case w.limit > 0 && w.smoothedQueue < uncongestedQueue:
		if w.limit += windowIncrease / w.limit; w.limit >= unlimitedWindow {
			w.limit = 0
		}
	}
}
