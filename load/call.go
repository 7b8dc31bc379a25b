package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"cicadarouter/contract/caller"
	"cicadarouter/standin"
)

// call is what a caller wants done once. It may take several requests: a caller
// that is told "not run" comes back with a new request, and one that does not
// know sends the same request again.
type call struct {
	stream   Stream
	due      time.Time
	key      string
	caller   string
	writes   bool
	attempts int
}

// Result is what became of one request id.
type Result struct {
	Stream  string
	Service string
	ID      string
	Key     string
	Writes  bool
	// Outcomes are what each attempt was told; "" means the connection to the
	// entry host broke.
	Outcomes []caller.Outcome
	Reason   caller.Reason
	// Foreign is set when an answer belonged to another request.
	Foreign bool
	// Partial is set when an answer that was said to be whole was not.
	Partial bool
	Server  string
	// Due and Took count from when the call was due, not from when it was sent.
	Due  time.Time
	Took time.Duration
	// Last is set on the last request of a call.
	Last bool
}

// Final returns what the last attempt was told.
func (r Result) Final() caller.Outcome { return r.Outcomes[len(r.Outcomes)-1] }

// Done reports whether the caller got its answer.
func (r Result) Done() bool { return r.Final() == caller.Done }

// How callers come back.
const (
	mostAttempts = 3
	mostRequests = 4
	resendPause  = 50 * time.Millisecond
)

// perform makes requests until one is done or the caller's patience ends.
func (c *call) perform(ctx context.Context, r *Runner) []Result {
	var results []Result
	for len(results) < mostRequests {
		result, comeBack := c.request(ctx, r)
		results = append(results, result)
		if result.Final() != caller.NotRun || time.Since(c.due)+comeBack > c.stream.Deadline {
			break
		}
		time.Sleep(comeBack)
	}
	results[len(results)-1].Last = true
	return results
}

// request sends one request, again if its outcome is not known.
func (c *call) request(ctx context.Context, r *Runner) (Result, time.Duration) {
	result := Result{
		Stream:  c.stream.Name,
		Service: c.stream.Service,
		ID:      uuid.Must(uuid.NewV7()).String(),
		Key:     c.key,
		Writes:  c.writes,
		Due:     c.due,
	}
	var comeBack time.Duration
	entry := ""
	for attempt := 1; attempt <= mostAttempts; attempt++ {
		entry = r.balancer.pick(entry)
		comeBack = c.send(ctx, r, entry, attempt, &result)
		if result.Final() == caller.Done || result.Final() == caller.NotRun {
			break
		}
		if time.Since(c.due) > c.stream.Deadline {
			break
		}
		time.Sleep(resendPause)
	}
	result.Took = time.Since(c.due)
	return result, comeBack
}

// send makes one attempt and notes what it was told.
func (c *call) send(ctx context.Context, r *Runner, entry string, attempt int, result *Result) time.Duration {
	patience := max(c.stream.Deadline-time.Since(c.due), 50*time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, patience+500*time.Millisecond)
	defer cancel()
	method := http.MethodGet
	if c.writes {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry+"/s/"+c.stream.Service+"/item", strings.NewReader(""))
	if err != nil {
		result.Outcomes = append(result.Outcomes, "")
		return 0
	}
	request.Header.Set(caller.HeaderKey, c.key)
	request.Header.Set(caller.HeaderRequestID, result.ID)
	request.Header.Set(caller.HeaderAttempt, strconv.Itoa(attempt))
	request.Header.Set(caller.HeaderCaller, c.caller)
	request.Header.Set(caller.HeaderDeadlineMs, strconv.FormatInt(max(1, patience.Milliseconds()), 10))
	response, err := r.client.Do(request)
	if err != nil {
		result.Outcomes = append(result.Outcomes, "")
		return 0
	}
	defer response.Body.Close()
	return result.take(response)
}

// take notes an answer and returns when to come back.
func (result *Result) take(response *http.Response) time.Duration {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.Outcomes = append(result.Outcomes, "")
		return 0
	}
	outcome := caller.Outcome(response.Header.Get(caller.HeaderOutcome))
	result.Outcomes = append(result.Outcomes, outcome)
	result.Reason = caller.Reason(response.Header.Get(caller.HeaderReason))
	result.Server = response.Header.Get(caller.HeaderServer)
	if outcome == caller.Done {
		result.check(body)
	}
	millis, _ := strconv.Atoi(response.Header.Get("Cicada-Retry-After-Ms"))
	return time.Duration(millis) * time.Millisecond
}

// check compares a whole answer with its request.
func (result *Result) check(body []byte) {
	var run standin.Run
	if err := json.Unmarshal(body, &run); err != nil {
		result.Partial = true
		return
	}
	result.Foreign = run.ID != result.ID || run.Key != result.Key
}
