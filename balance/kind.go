package balance

import "time"

// mostKinds bounds the kinds of a service that are told apart.
const mostKinds = 16

// kind is what a pool has measured of requests of one objective. Routes come
// and go by hundreds; their objectives tell the kinds apart. A service that runs
// requests of 36 ms and of 220 ms has no use for their mean: it takes the short
// ones for late when they are not, and fast servers for slow.
type kind struct {
	// work is the smoothed time to an answer.
	work time.Duration
	// patience is what most callers wait in all, found by majority vote: all
	// first attempts name the same time, later ones what is left of it.
	patience time.Duration
	votes    int
}

// of returns what is known of a waiter's kind; nil if too many are known.
func (p *Pool) of(objective time.Duration) *kind {
	known := p.kinds[objective]
	if known == nil && len(p.kinds) < mostKinds {
		known = &kind{}
		p.kinds[objective] = known
	}
	return known
}

// work returns the expected time to an answer for requests of an objective.
func (p *Pool) work(objective time.Duration) time.Duration {
	if known := p.kinds[objective]; known != nil && known.work > 0 {
		return known.work
	}
	return p.mean
}

// learnWork takes the time of an answer.
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

// vote takes what one caller waits.
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

// mostVotes bounds the votes, so that a change of the callers' patience is
// noticed within as many requests.
const mostVotes = 64

// waited returns how long a caller has waited before this attempt, elsewhere or
// after a rejection. An objective counts from its first attempt, and who comes
// back as told should be served before who comes anew.
func (k *kind) waited(patience time.Duration) time.Duration {
	if k.votes < mostVotes/4 || patience <= 0 || patience >= k.patience {
		return 0
	}
	return k.patience - patience
}
