package gateway

const (
	// defaultRetryRatio is the allowed ratio of retries to requests over all hosts if
	// the operator sets none.
	defaultRetryRatio = 0.2
	// usedRetryFraction is the fraction of the allowed ratio that is used. The rest is a margin,
	// because operators measure the ratio over windows of their own.
	usedRetryFraction = 0.8
	// maxRetryReserve is the largest burst of retries of one host after a quiet period.
	maxRetryReserve = 3
	// minRetryReserve is the smallest burst that lets a host retry at all.
	minRetryReserve = 1
)

// retryReserve is a host's share of the retries that are allowed beyond the ratio.
type retryReserve struct {
	// capacity is how many retries may accumulate; the other field is how many are available
	// after a start. All hosts may start within one of the operator's measurement windows and
	// use both.
	capacity, initial float64
}

// dividedInitialShare is the share of a host's reserve that is available after a start in services that
// are divided by priority. The rest is capacity, so that a retry can be kept for urgent requests.
const dividedInitialShare = 0.2

// divided returns the reserve of a service that is divided by priority: the same number of retries in
// all, of which more may accumulate.
func (r retryReserve) divided() retryReserve {
	total := r.capacity + r.initial
	return retryReserve{capacity: (1 - dividedInitialShare) * total, initial: dividedInitialShare * total}
}

// retryReserveFor divides the retries that the operator allows beyond the ratio among all hosts.
// allowed is 0 if the operator sets none, hosts is 0 if their number is not known.
func retryReserveFor(allowed float64, hosts int) retryReserve {
	if allowed <= 0 {
		return retryReserve{capacity: maxRetryReserve, initial: maxRetryReserve}
	}
	if hosts <= 0 {
		return retryReserve{capacity: minRetryReserve}
	}
	perHost := allowed / float64(hosts)
	most := min(max(perHost/2, minRetryReserve), maxRetryReserve)
	return retryReserve{capacity: most, initial: min(max(perHost-most, 0), most)}
}
