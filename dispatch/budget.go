package dispatch

// Budget bounds retries to a share of first attempts, so that retries cannot
// make an overload worse. It is not safe for concurrent use.
type Budget struct {
	share  float64
	most   float64
	tokens float64
}

// NewBudget returns a budget that lets share retries through for each first
// attempt, and at most reserve at once.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, most: reserve, tokens: reserve}
}

// SetReserve sets how many retries there may be at once, and adds some to those that may be
// made now.
func (b *Budget) SetReserve(reserve, added float64) {
	b.most = reserve
	b.tokens = min(reserve, b.tokens+added)
}

// First notes a first attempt.
func (b *Budget) First() { b.tokens = min(b.most, b.tokens+b.share) }

// Retry takes the right to one retry, if there is one.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
