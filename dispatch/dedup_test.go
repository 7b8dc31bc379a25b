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

// idAt mints a request id that a caller's clock would give at a time.
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
		Window:        2 * time.Second,
		Skew:          500 * time.Millisecond,
		MostEntries:   4,
		MostBodyBytes: 1000,
		KeepBody:      100,
	}
}

// sent is a request as its caller knows it.
type sent struct {
	id       uuid.UUID
	attempts int
	ran      int
	running  []int // routers that run a copy
	notRun   bool  // a reply proved that it has not run
}

// dedupWorld is two routers that dispatch one page in turn, and callers whose
// clocks are ahead of or behind the routers', within the margin.
type dedupWorld struct {
	now      time.Time
	routers  [2]*dispatch.Dedup
	holder   int
	requests []*sent
}

// TestAtMostOnce: whatever is re-sent, to whichever router dispatches the page
// at the time, with memories that expire and overflow, no request runs twice.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.UnixMilli(1_800_000_000_000)
		w := &dedupWorld{now: start}
		w.routers[0] = dispatch.NewDedup(testPolicy(), start)
		w.routers[1] = dispatch.NewDedup(testPolicy(), start)
		t.Repeat(map[string]func(*rapid.T){
			"":          func(t *rapid.T) { w.check(t) },
			"send":      w.send,
			"send more": w.send,
			"re-send":   w.resend,
			"re-send 2": w.resend,
			"re-send 3": w.resend,
			"finish":    w.finish,
			"finish 2":  w.finish,
			"wait":      w.wait,
			"hand over": w.handOver,
			"restart":   w.restart,
		})
	})
}

func (w *dedupWorld) check(t *rapid.T) {
	for _, request := range w.requests {
		if request.ran > 1 {
			t.Fatalf("request %s ran %d times", request.id, request.ran)
		}
		if request.notRun && request.ran > 0 {
			t.Fatalf("request %s ran although it was told not run", request.id)
		}
	}
}

func (w *dedupWorld) send(t *rapid.T) {
	ahead := time.Duration(rapid.IntRange(-499, 499).Draw(t, "caller's clock is ahead by ms")) * time.Millisecond
	request := &sent{id: idAt(w.now.Add(ahead), len(w.requests))}
	w.requests = append(w.requests, request)
	w.attempt(request)
}

func (w *dedupWorld) resend(t *rapid.T) {
	if len(w.requests) > 0 {
		w.attempt(rapid.SampledFrom(w.requests).Draw(t, "request"))
	}
}

// attempt brings a copy to the router that dispatches the page. Its effect
// comes at once; its reply comes with finish, or never.
func (w *dedupWorld) attempt(request *sent) {
	request.attempts++
	admission, _, _ := w.routers[w.holder].Begin(w.now, request.id, request.attempts)
	if admission == dispatch.AdmitRun {
		request.ran++
		request.running = append(request.running, w.holder)
	}
}

func (w *dedupWorld) finish(t *rapid.T) {
	if len(w.requests) == 0 {
		return
	}
	request := rapid.SampledFrom(w.requests).Draw(t, "request")
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
		request.ran-- // it was refused before it had any effect
		reply = dispatch.Reply{Outcome: caller.NotRun}
	}
	w.routers[router].Finish(request.id, reply)
}

func (w *dedupWorld) wait(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
}

// handOver gives the page to the other router, whose memory covers nothing yet.
func (w *dedupWorld) handOver(*rapid.T) {
	w.holder = 1 - w.holder
	w.routers[w.holder].Uncover(w.now)
}

// restart replaces the dispatching router by one without memory.
func (w *dedupWorld) restart(*rapid.T) {
	w.routers[w.holder] = dispatch.NewDedup(testPolicy(), w.now)
	for _, request := range w.requests {
		request.running = nil
	}
}

// Symptom: a request runs twice, long after its first run.
// Sequence: it runs and ends; its memory expires; its caller sends it again.
// Cause: a memory that has dropped what it knew still claims to cover the time.
func TestExpiredMemoryCoversNothing(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	d := dispatch.NewDedup(testPolicy(), start)
	now := start.Add(time.Second)
	id := idAt(now, 1)
	admission, _, _ := d.Begin(now, id, 1)
	assert.Equal(t, admission, dispatch.AdmitRun)
	d.Finish(id, dispatch.Reply{Outcome: caller.Done})
	now = now.Add(testPolicy().Window)
	admission, _, _ = d.Begin(now, id, 2)
	assert.Equal(t, admission, dispatch.AdmitUnknown)
}

// TestReplay: a copy that comes after the end gets the same answer.
func TestReplay(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	d := dispatch.NewDedup(testPolicy(), now)
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

// TestLargeAnswerIsNotReplayed: what is too large to keep is told as run, never
// run again.
func TestLargeAnswerIsNotReplayed(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	d := dispatch.NewDedup(testPolicy(), now)
	id := idAt(now, 1)
	d.Begin(now, id, 1)
	d.Finish(id, dispatch.Reply{Outcome: caller.Done, Body: make([]byte, 101)})
	admission, reply, _ := d.Begin(now, id, 2)
	assert.Equal(t, admission, dispatch.AdmitReplay)
	assert.Equal(t, reply.Outcome, caller.Unknown)
	assert.Equal(t, reply.Reason, caller.ReasonEarlierAttemptMayHaveRun)
}

// TestRefusalOfLastAttempt: a refusal proves only that its own attempt has not run.
func TestRefusalOfLastAttempt(t *testing.T) {
	refusal := dispatch.Reply{Outcome: caller.NotRun}
	rows := []struct {
		name    string
		attempt int
		earlier []caller.Outcome
		want    caller.Outcome
	}{
		{"first attempt", 1, nil, caller.NotRun},
		{"the caller's second attempt", 2, nil, caller.Unknown},
		{"after a refusal", 1, []caller.Outcome{caller.NotRun}, caller.NotRun},
		{"after an unknown end", 1, []caller.Outcome{caller.Unknown, caller.NotRun}, caller.Unknown},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			history := dispatch.NewHistory(row.attempt)
			for _, outcome := range row.earlier {
				history.Note(dispatch.Reply{Outcome: outcome})
			}
			assert.Equal(t, history.Conclude(refusal).Outcome, row.want)
		})
	}
}
