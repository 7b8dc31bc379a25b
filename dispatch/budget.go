package dispatch

// RetryBudget limits retries to a fraction of the first attempts, so that retries
// do not amplify an overload. It is not safe for concurrent use.
type Budget struct {
	share  float64
	most   float64
	tokens float64
}

// NewRetryBudget returns a budget that allows retryRatio retries per first attempt
// and at most reserve retries at once.
func NewBudget(retryRatio, reserve float64) *Budget {
	return &Budget{share: retryRatio, most: reserve, tokens: reserve}
}

// SetReserve sets how many retries may be made at once, and adds to the retries
// that may be made now.
func (b *Budget) SetReserve(reserve, added float64) {
	b.most = reserve
	b.tokens = min(reserve, b.tokens+added)
}

// RecordFirstAttempt records a first attempt.
func (b *Budget) First() { b.tokens = min(b.most, b.tokens+b.share) }

// TakeRetry reports whether a retry is allowed, and deducts it from the budget.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
