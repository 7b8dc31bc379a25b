package dispatch

import "cicadarouter/contract/caller"

// History records whether any attempt at a request may have run, so that a rejected
// last attempt is not reported as "not run" for the whole request. The zero value
// is for a request without earlier attempts.
type History struct{ mayHaveRun bool }

// NewHistory returns the history of a request that is its caller's attempt-th. The
// outcome of the caller's earlier attempts is not known, so they may have run.
func NewHistory(attempt int) History { return History{mayHaveRun: attempt > 1} }

// Record records the reply to an attempt that is not the last.
func (h *History) Record(reply Reply) {
	if reply.Outcome != caller.NotRun {
		h.mayHaveRun = true
	}
}

// FinalReply turns the reply to the last attempt into the reply to the request.
func (h *History) FinalReply(reply Reply) Reply {
	if reply.Outcome == caller.NotRun && h.mayHaveRun {
		reply.Outcome = caller.Unknown
	}
	return reply
}
