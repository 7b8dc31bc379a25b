package bench

import (
	"time"

	"cicadarouter/dispatch"
)

// HTBSOrder is the queue order of the High-throughput Token Bucket Scheduler (HTBS), as far as
// it applies to slots: each request gets a start and a finish tag from its caller's token
// bucket, and the request with the smallest finish tag goes first. The other half of HTBS,
// waiting for a caller's next request, saves disk seeks and has no counterpart here. It is a
// baseline for comparisons.
//
// Source: "A QoS-Aware Disk Scheduler: High-throughput Token Bucket Scheduler",
// section III, figures 1 and 2.
type HTBSOrder struct {
	// Rate is each caller's requests per second and Burst its bucket size. Delay is the time
	// from the start tag to the finish tag, delta in the paper.
	Rate  float64
	Burst float64
	Delay time.Duration

	buckets map[string]*tokenBucket
	queue   []taggedWaiter
}

type tokenBucket struct {
	tokens   float64
	updated  time.Duration
	maxStart time.Duration
}

type taggedWaiter struct {
	waiter *dispatch.Waiter
	finish time.Duration
}

var _ dispatch.Order = (*HTBSOrder)(nil)

// NewHTBSOrder returns an empty order.
func NewHTBSOrder(rate, burst float64, delay time.Duration) *HTBSOrder {
	return &HTBSOrder{Rate: rate, Burst: burst, Delay: delay, buckets: map[string]*tokenBucket{}}
}

// Push implements dispatch.Order.
func (q *HTBSOrder) Push(now time.Duration, waiter *dispatch.Waiter) {
	b := q.bucketOf(now, waiter.Caller)
	start := now
	if b.tokens < 1 {
		start = max(b.maxStart, now)
		b.maxStart = start + time.Duration(float64(time.Second)/q.Rate)
	}
	b.tokens--
	q.queue = append(q.queue, taggedWaiter{waiter: waiter, finish: start + q.Delay})
}

// bucketOf returns a caller's bucket, refilled up to now.
func (q *HTBSOrder) bucketOf(now time.Duration, caller string) *tokenBucket {
	b, known := q.buckets[caller]
	if !known {
		b = &tokenBucket{tokens: q.Burst, updated: now}
		q.buckets[caller] = b
	}
	b.tokens = min(q.Burst, b.tokens+q.Rate*(now-b.updated).Seconds())
	b.updated = now
	return b
}

// finishOf returns the finish tag that a new request of the caller would get.
func (q *HTBSOrder) finishOf(now time.Duration, caller string) time.Duration {
	b := q.bucketOf(now, caller)
	if b.tokens < 1 {
		return max(b.maxStart, now) + q.Delay
	}
	return now + q.Delay
}

// CountAhead implements dispatch.Order.
func (q *HTBSOrder) CountAhead(now time.Duration, caller string) int {
	finish := q.finishOf(now, caller)
	ahead := 0
	for _, entry := range q.queue {
		if entry.finish <= finish {
			ahead++
		}
	}
	return ahead
}

// Evict implements dispatch.Order: it removes the request with the largest finish tag if a
// new request of the caller would get a smaller one.
func (q *HTBSOrder) Evict(now time.Duration, caller string) *dispatch.Waiter {
	worst := -1
	for i, entry := range q.queue {
		if worst < 0 || entry.finish > q.queue[worst].finish {
			worst = i
		}
	}
	if worst < 0 || q.queue[worst].finish <= q.finishOf(now, caller) {
		return nil
	}
	waiter := q.queue[worst].waiter
	q.queue = append(q.queue[:worst], q.queue[worst+1:]...)
	return waiter
}

// Pop implements dispatch.Order.
func (q *HTBSOrder) Pop(time.Duration) *dispatch.Waiter {
	if len(q.queue) == 0 {
		return nil
	}
	best := 0
	for i, entry := range q.queue {
		if entry.finish < q.queue[best].finish {
			best = i
		}
	}
	waiter := q.queue[best].waiter
	q.queue = append(q.queue[:best], q.queue[best+1:]...)
	return waiter
}

// Len implements dispatch.Order.
func (q *HTBSOrder) Len() int { return len(q.queue) }
