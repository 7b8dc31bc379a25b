package dispatch_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadarouter/contract/caller"
	"cicadarouter/dispatch"
)

// idAt returns the request id that a caller would create at a time on its clock.
func idAt(at time.Time, serial int) uuid.UUID {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6] = 0x70
	id[8] = 0x80
	id[14], id[15] = byte(serial>>8), byte(serial)
	return id
}

func testPolicy() dispatch.DedupPolicy {
	return dispatch.DedupPolicy{
		Window:             2 * time.Second,
		MaxClockSkew:       500 * time.Millisecond,
		MaxEntries:         4,
		MaxBodyBytes:       1000,
		MaxReplayBodyBytes: 100,
	}
}

// sentRequest is a request with the record of its runs.
type sentRequest struct {
	id       uuid.UUID
	attempts int
	ran      int
	running  []int // routers that run a copy
	notRun   bool  // a reply said that it has not run
}

// dedupSimulation simulates two routers that dispatch one page alternately, and
// callers whose clocks differ from the routers' within MaxClockSkew.
type dedupSimulation struct {
	now        time.Time
	routers    [2]*dispatch.Deduplicator
	dispatcher int
	requests   []*sentRequest
}

// TestAtMostOnce checks that no request runs twice, however often it is sent again,
// whichever router dispatches the page at the time, and although entries expire and
// exceed the limits.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.UnixMilli(1_800_000_000_000)
		s := &dedupSimulation{now: start}
		s.routers[0] = dispatch.NewDeduplicator(testPolicy(), start)
		s.routers[1] = dispatch.NewDeduplicator(testPolicy(), start)
		t.Repeat(map[string]func(*rapid.T){
			"":          func(t *rapid.T) { s.check(t) },
			"send":      s.send,
			"send more": s.send,
			"re-send":   s.resend,
			"re-send 2": s.resend,
			"re-send 3": s.resend,
			"finish":    s.finish,
			"finish 2":  s.finish,
			"wait":      s.wait,
			"hand over": s.handOver,
			"restart":   s.restart,
		})
	})
}

func (s *dedupSimulation) check(t *rapid.T) {
	for _, request := range s.requests {
		if request.ran > 1 {
			t.Fatalf("request %s ran %d times", request.id, request.ran)
		}
		if request.notRun && request.ran > 0 {
			t.Fatalf("request %s ran although its reply said that it did not", request.id)
		}
	}
}

func (s *dedupSimulation) send(t *rapid.T) {
	ahead := time.Duration(rapid.IntRange(-499, 499).Draw(t, "caller's clock is ahead by ms")) * time.Millisecond
	request := &sentRequest{id: idAt(s.now.Add(ahead), len(s.requests))}
	s.requests = append(s.requests, request)
	s.attempt(request)
}

func (s *dedupSimulation) resend(t *rapid.T) {
	if len(s.requests) > 0 {
		s.attempt(rapid.SampledFrom(s.requests).Draw(t, "request"))
	}
}

// attempt delivers a copy to the router that dispatches the page. An admitted copy
// takes effect at once; its reply comes with finish, or never.
func (s *dedupSimulation) attempt(request *sentRequest) {
	request.attempts++
	admission, _, _ := s.routers[s.dispatcher].Begin(s.now, request.id, request.attempts)
	if admission == dispatch.AdmitRun {
		request.ran++
		request.running = append(request.running, s.dispatcher)
	}
}

func (s *dedupSimulation) finish(t *rapid.T) {
	if len(s.requests) == 0 {
		return
	}
	request := rapid.SampledFrom(s.requests).Draw(t, "request")
	if len(request.running) == 0 {
		return
	}
	router := request.running[0]
	request.running = request.running[1:]
	reply := dispatch.Reply{Outcome: caller.Done, Body: make([]byte, rapid.IntRange(0, 200).Draw(t, "body"))}
	switch rapid.SampledFrom([]string{"done", "unknown", "not run"}).Draw(t, "outcome") {
	case "unknown":
		reply = dispatch.Reply{Outcome: caller.Unknown}
	case "not run":
		request.ran-- // it was rejected before it took effect
		reply = dispatch.Reply{Outcome: caller.NotRun}
	}
	s.routers[router].Finish(request.id, reply)
}

func (s *dedupSimulation) wait(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

// handOver makes the other router the dispatcher, which covers only requests from
// now on.
func (s *dedupSimulation) handOver(*rapid.T) {
	s.dispatcher = 1 - s.dispatcher
	s.routers[s.dispatcher].ResetCoverage(s.now)
}

// restart replaces the dispatcher by one without entries.
func (s *dedupSimulation) restart(*rapid.T) {
	s.routers[s.dispatcher] = dispatch.NewDeduplicator(testPolicy(), s.now)
	for _, request := range s.requests {
		request.running = nil
	}
}

// A request that is sent again after its entry expired must not run a second time:
// the time of an expired entry is no longer covered.
func TestExpiredEntryIsNotCovered(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	d := dispatch.NewDeduplicator(testPolicy(), start)
	now := start.Add(time.Second)
	id := idAt(now, 1)
	admission, _, _ := d.Begin(now, id, 1)
	assert.Equal(t, admission, dispatch.AdmitRun)
	d.Finish(id, dispatch.Reply{Outcome: caller.Done})
	now = now.Add(testPolicy().Window)
	admission, _, _ = d.Begin(now, id, 2)
	assert.Equal(t, admission, dispatch.AdmitUnknown)
}

// TestReplay checks that a copy waits for a running one, and that a later copy gets
// the same reply.
func TestReplay(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	d := dispatch.NewDeduplicator(testPolicy(), now)
	id := idAt(now, 1)
	admission, _, _ := d.Begin(now, id, 1)
	assert.Equal(t, admission, dispatch.AdmitRun)
	admission, _, done := d.Begin(now, id, 2)
	assert.Equal(t, admission, dispatch.AdmitWait)
	d.Finish(id, dispatch.Reply{Outcome: caller.Done, Status: 201, Body: []byte("x")})
	<-done
	admission, reply, _ := d.Begin(now, id, 3)
	assert.Equal(t, admission, dispatch.AdmitReplay)
	assert.Equal(t, reply.Status, 201)
}

// TestLargeAnswerIsNotReplayed checks that a request whose reply is too large to
// keep is reported as possibly run and does not run again.
func TestLargeAnswerIsNotReplayed(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	d := dispatch.NewDeduplicator(testPolicy(), now)
	id := idAt(now, 1)
	d.Begin(now, id, 1)
	d.Finish(id, dispatch.Reply{Outcome: caller.Done, Body: make([]byte, 101)})
	admission, reply, _ := d.Begin(now, id, 2)
	assert.Equal(t, admission, dispatch.AdmitReplay)
	assert.Equal(t, reply.Outcome, caller.Unknown)
	assert.Equal(t, reply.Reason, caller.ReasonEarlierAttemptMayHaveRun)
}

// TestRefusalOfLastAttempt checks that a rejection proves only that its own attempt
// has not run.
func TestRefusalOfLastAttempt(t *testing.T) {
	rejection := dispatch.Reply{Outcome: caller.NotRun}
	rows := []struct {
		name    string
		attempt int
		earlier []caller.Outcome
		want    caller.Outcome
	}{
		{"first attempt", 1, nil, caller.NotRun},
		{"the caller's second attempt", 2, nil, caller.Unknown},
		{"after a rejection", 1, []caller.Outcome{caller.NotRun}, caller.NotRun},
		{"after an unknown outcome", 1, []caller.Outcome{caller.Unknown, caller.NotRun}, caller.Unknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			history := dispatch.NewHistory(row.attempt)
			for _, outcome := range row.earlier {
				history.Record(dispatch.Reply{Outcome: outcome})
			}
			assert.Equal(t, history.FinalReply(rejection).Outcome, row.want)
		})
	}
}
