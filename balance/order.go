package balance

import (
	"cmp"
	"time"
)

const (
	// onTimeMargin is how many mean service times a request must have left until its
	// objective to count as likely to meet it: service times vary, and the request may
	// have to queue at the server as well.
	onTimeMargin = 2
	// priorityStep is the head start that each priority level has over the next. It bounds
	// how long a request of low priority is overtaken by later ones, so that none starves.
	priorityStep = 80 * time.Millisecond
)

// likelyLate reports whether the request is unlikely to be answered within its objective.
// Without this distinction, lasting overload would make a server process requests in their
// order of arrival, each of them just too late.
func (p *Pool) likelyLate(now time.Duration, w *Waiter) bool {
	return now-w.firstAttemptAt > w.Objective-onTimeMargin*p.serviceTime(w.Objective)
}

// virtualDeadline returns the virtual deadline by which the queue is sorted: the time at which the
// objective ends, plus priorityStep for each level of priority, plus the objective once more
// if the request is unlikely to meet it. Requests with short objectives therefore overtake
// earlier ones with long objectives.
func (p *Pool) virtualDeadline(now time.Duration, w *Waiter) time.Duration {
	due := w.firstAttemptAt + w.Objective + time.Duration(w.Priority)*priorityStep
	if p.likelyLate(now, w) {
		due += w.Objective
	}
	return due
}

// compare orders queued requests by their virtual deadlines.
func (p *Pool) compare(now time.Duration, a, b *Waiter) int {
	return cmp.Compare(p.virtualDeadline(now, a), p.virtualDeadline(now, b))
}
