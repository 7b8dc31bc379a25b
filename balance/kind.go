package balance

import "time"

// maxClasses is the number of request classes that a service tells apart.
const maxClasses = 16

// requestClass holds what a pool has measured of requests with the same latency objective. There
// are hundreds of routes and they change, so requests are classified by objective rather
// than by route. A single mean would be useless for a service that runs requests of 36 ms
// and of 220 ms: short requests would be judged late when they are not, and fast servers
// would be judged slow.
type requestClass struct {
	// serviceTime is the smoothed time to an answer of requests that met no queue at the server.
	serviceTime time.Duration
	// timeout is the timeout that most callers use, found by majority vote: all first
	// attempts state the same timeout, and retries state what is left of it.
	timeout time.Duration
	votes   int
}

// class returns the request class of an objective, or nil if there are too many classes.
func (p *Pool) class(objective time.Duration) *requestClass {
	known := p.classes[objective]
	if known == nil && len(p.classes) < maxClasses {
		known = &requestClass{}
		p.classes[objective] = known
	}
	return known
}

// serviceTime returns the expected service time of requests with an objective.
func (p *Pool) serviceTime(objective time.Duration) time.Duration {
	if known := p.classes[objective]; known != nil && known.serviceTime > 0 {
		return known.serviceTime
	}
	return p.meanServiceTime
}

// recordClassServiceTime updates the service time of a request class from an answer.
func (p *Pool) recordClassServiceTime(objective, took time.Duration) {
	known := p.class(objective)
	if known == nil {
		return
	}
	if known.serviceTime == 0 {
		known.serviceTime = p.meanServiceTime
	}
	known.serviceTime += time.Duration(serviceTimeWeight * float64(took-known.serviceTime))
}

// voteTimeout counts the timeout of one request.
func (k *requestClass) voteTimeout(timeout time.Duration) {
	switch {
	case timeout == k.timeout:
		k.votes = min(k.votes+1, maxVotes)
	case k.votes > 0:
		k.votes--
	default:
		k.timeout, k.votes = timeout, 1
	}
}

// maxVotes caps the votes. A change of the callers' timeout is therefore noticed within
// that many requests.
const maxVotes = 64

// alreadyWaited returns how long the caller has waited before this attempt, at another
// host or after a rejection. The objective counts from the caller's first attempt, and a
// caller that retried when told to should be served before a new one.
func (k *requestClass) alreadyWaited(timeout time.Duration) time.Duration {
	if k.votes < maxVotes/4 || timeout <= 0 || timeout >= k.timeout {
		return 0
	}
	return k.timeout - timeout
}
