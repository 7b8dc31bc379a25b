package balance

import "time"

// mostKinds is the number of request classes that a service tells apart.
const mostKinds = 16

// kind holds what a pool has measured of requests with the same latency objective. There
// are hundreds of routes and they change, so requests are classified by objective rather
// than by route. A single mean would be useless for a service that runs requests of 36 ms
// and of 220 ms: short requests would be judged late when they are not, and fast servers
// would be judged slow.
type kind struct {
	// work is the smoothed time to an answer of requests that met no queue at the server.
	work time.Duration
	// patience is the timeout that most callers use, found by majority vote: all first
	// attempts state the same timeout, and retries state what is left of it.
	patience time.Duration
	votes    int
}

// of returns the request class of an objective, or nil if there are too many classes.
func (p *Pool) of(objective time.Duration) *kind {
	known := p.kinds[objective]
	if known == nil && len(p.kinds) < mostKinds {
		known = &kind{}
		p.kinds[objective] = known
	}
	return known
}

// work returns the expected service time of requests with an objective.
func (p *Pool) work(objective time.Duration) time.Duration {
	if known := p.kinds[objective]; known != nil && known.work > 0 {
		return known.work
	}
	return p.mean
}

// learnWork updates the service time of a request class from an answer.
func (p *Pool) learnWork(objective, took time.Duration) {
	known := p.of(objective)
	if known == nil {
		return
	}
	if known.work == 0 {
		known.work = p.mean
	}
	known.work += time.Duration(meanWeight * float64(took-known.work))
}

// vote counts the timeout of one request.
func (k *kind) vote(patience time.Duration) {
	switch {
	case patience == k.patience:
		k.votes = min(k.votes+1, mostVotes)
	case k.votes > 0:
		k.votes--
	default:
		k.patience, k.votes = patience, 1
	}
}

// mostVotes caps the votes. A change of the callers' timeout is therefore noticed within
// that many requests.
const mostVotes = 64

// waited returns how long the caller has already waited before this attempt, at another
// host or after a rejection. The objective counts from the caller's first attempt, and a
// caller that retried when told to should be served before a new one.
func (k *kind) waited(patience time.Duration) time.Duration {
	if k.votes < mostVotes/4 || patience <= 0 || patience >= k.patience {
		return 0
	}
	return k.patience - patience
}
