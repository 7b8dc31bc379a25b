package gateway

const (
	// defaultRetryRatio is the share of requests that may be sent once more, over
	// all hosts, where operators name none.
	defaultRetryRatio = 0.2
	// retryPart is the part of the operators' ratio that is used: they count over
	// windows of their own.
	retryPart = 0.8
	// mostRetryReserve is how many requests a host may send once more at once after a calm
	// time, if that many of all hosts are allowed.
	mostRetryReserve = 3
	// leastRetryReserve lets a host send requests once more at all.
	leastRetryReserve = 1
)

// retryReserve is a host's part of the requests that may be sent once more beyond the ratio.
type retryReserve struct {
	// most is how many may be saved, first how many there are after a start. All hosts may
	// start within the time over which operators count, and use both.
	most, first float64
}

// reserveOf divides what operators allow beyond the ratio over all hosts, 0 if they name
// nothing, among a number of hosts, 0 if that is not known.
func reserveOf(allowed float64, hosts int) retryReserve {
	if allowed <= 0 {
		return retryReserve{most: mostRetryReserve, first: mostRetryReserve}
	}
	if hosts <= 0 {
		return retryReserve{most: leastRetryReserve}
	}
	each := allowed / float64(hosts)
	most := min(max(each/2, leastRetryReserve), mostRetryReserve)
	return retryReserve{most: most, first: min(max(each-most, 0), most)}
}
