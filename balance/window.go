package balance

// Load pattern: two thirds of a service's servers are gone for some seconds, one domain
// evacuated and another dark. Each of a hundred hosts meets each of the rest once in
// some seconds, so what a server last told has faded when the host chooses again; it
// takes all of them to have room. Their queues fill, and half of what they work at has
// been given up by the time that it gets a slot. What a host sees at once is how long
// the queues are at the servers that answer. It bounds its own requests under way by
// that, as a sender bounds its window by the queues on the way: all hosts together then
// send what the servers can do, and the rest waits or is turned away at the hosts, where
// the most urgent can go first.

const (
	// crowdedQueue is how many requests wait at a server for each of its slots, on
	// average over the answers, from which on a host sends less: one is as long as the
	// work itself, half of what most objectives leave.
	crowdedQueue = 1.0
	// easyQueue is that from which on it sends more again. Some wait by chance: servers
	// of unequal speed at four fifths of their load have 0.2 to 0.4 waiting.
	easyQueue = 0.5
	// queueWeight is the weight of a new answer in the average: some five answers.
	queueWeight = 0.2
	// windowCut is what is left of the window after each answer while the average is
	// crowded: in the time of one window of seven requests it halves. windowGrowth is
	// what is added in that time while it is easy. Without the window a replay of two
	// thirds of the servers lost earned 0.78 of the worth asked for, with it 0.82
	// (TestReplayTwoThirdsLost).
	windowCut    = 0.9
	windowGrowth = 1.0
	// leastWindow keeps a host in touch with the servers' queues.
	leastWindow = 1.0
	// openWindow is from when on there is no limit: no host has as many under way.
	openWindow = 256.0
)

// window bounds the requests of this host under way at a service's servers.
type window struct {
	inFlight int
	queue    float64 // smoothed, waiting requests for each slot
	limit    float64 // 0: none
}

// open reports whether one more may be sent.
func (w *window) open() bool { return w.limit == 0 || float64(w.inFlight) < w.limit }

// report takes the load that came with an answer.
func (w *window) report(load Load) {
	if load.Slots <= 0 {
		return
	}
	w.queue += queueWeight * (float64(load.Waiting)/float64(load.Slots) - w.queue)
	switch {
	case w.queue > crowdedQueue:
		if w.limit == 0 {
			w.limit = float64(w.inFlight + 1)
		}
		w.limit = max(w.limit*windowCut, leastWindow)
	case w.limit > 0 && w.queue < easyQueue:
		if w.limit += windowGrowth / w.limit; w.limit >= openWindow {
			w.limit = 0
		}
	}
}
