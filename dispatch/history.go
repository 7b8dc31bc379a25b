package dispatch

import "cicadarouter/contract/caller"

// History remembers whether any attempt at a request may have run, so that a
// refusal of the last attempt is not told as "not run" of the whole request.
// The zero History is that of a request without earlier attempts.
type History struct{ mayHaveRun bool }

// NewHistory returns the history of a request that its caller says it sends for
// the attempt-th time. What became of the caller's earlier attempts is not known.
func NewHistory(attempt int) History { return History{mayHaveRun: attempt > 1} }

// Note takes the reply of an attempt that is not the last.
func (h *History) Note(reply Reply) {
	if reply.Outcome != caller.NotRun {
		h.mayHaveRun = true
	}
}

// Conclude turns the reply of the last attempt into the request's.
func (h *History) Conclude(reply Reply) Reply {
	if reply.Outcome == caller.NotRun && h.mayHaveRun {
		reply.Outcome = caller.Unknown
	}
	return reply
}
