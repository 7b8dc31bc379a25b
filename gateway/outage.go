package gateway

import "time"

// outage adds up what a follower has spent its time on since its first call that failed.
type outage struct {
	began       time.Duration
	failedCalls int
	// calls is the time for failed calls, pauses that between two calls, and waits that for the
	// store to be available.
	calls, pauses, waits time.Duration
}

// addCall adds a call that failed.
func (o *outage) addCall(began, ended time.Duration) {
	if o.failedCalls == 0 {
		o.began = began
	}
	o.failedCalls++
	o.calls += ended - began
}

// noteFollowedAgain logs and measures the outage of a kind that ends with an answer to a call, which was
// started at a time.
func (g *Gateway) noteFollowedAgain(kind string, lost *outage, began time.Duration, answer fetched) {
	if lost.failedCalls == 0 {
		return
	}
	for part, took := range map[string]time.Duration{"calls": lost.calls, "pauses": lost.pauses, "waits": lost.waits, "last-call": g.now() - began} {
		g.metrics.set.GetOrCreateHistogram(`cicada_outage_seconds{kind="` + kind + `",part="` + part + `"}`).Update(took.Seconds())
	}
	g.log.Info("kind is followed again", "kind", kind, "reader", answer.reader, "source", answer.source, "outage-ms", (g.now() - lost.began).Milliseconds(), "failed-calls", lost.failedCalls,
		"calls-ms", lost.calls.Milliseconds(), "pauses-ms", lost.pauses.Milliseconds(), "waits-ms", lost.waits.Milliseconds(), "last-call-ms", (g.now() - began).Milliseconds())
	*lost = outage{}
}
