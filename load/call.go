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

// call is one operation of a caller. It may take several requests: after the outcome "not
// run" the caller sends a new request, and after an unknown outcome it sends the same
// request again.
type call struct {
	stream   Stream
	due      time.Time
	key      string
	caller   string
	writes   bool
	attempts int
}

// Result is the result of one request ID.
type Result struct {
	Stream  string
	Service string
	ID      string
	Key     string
	Writes  bool
	// Outcomes are the outcomes of the attempts. "" means that the connection to the entry
	// host failed.
	Outcomes []caller.Outcome
	Reason   caller.Reason
	// WrongRequest is set if a response belonged to another request.
	WrongRequest bool
	// Partial is set if the body of a response with the outcome "done" could not be
	// parsed.
	Partial bool
	Server  string
	// Due is when the call was scheduled, and Took is measured from then, not from when
	// the request was sent.
	Due  time.Time
	Took time.Duration
	// Last marks the last request of a call.
	Last bool
}

// Final returns the outcome of the last attempt.
func (r Result) Final() caller.Outcome { return r.Outcomes[len(r.Outcomes)-1] }

// Done reports whether the final outcome is "done".
func (r Result) Done() bool { return r.Final() == caller.Done }

// How callers retry: the attempts with one request ID, the requests of one call, and the
// delay before a request is sent again.
const (
	maxAttempts = 3
	maxRequests = 4
	resendDelay = 50 * time.Millisecond
)

// perform sends requests until one gets an outcome other than "not run", the deadline would
// pass before a retry, or the maximum number of requests is reached.
func (c *call) perform(ctx context.Context, r *Runner) []Result {
	var results []Result
	for len(results) < maxRequests {
		result, retryAfter := c.request(ctx, r)
		results = append(results, result)
		if result.Final() != caller.NotRun || time.Since(c.due)+retryAfter > c.stream.Deadline {
			break
		}
		time.Sleep(retryAfter)
	}
	results[len(results)-1].Last = true
	return results
}

// request sends one request, and sends it again if its outcome is unknown. It returns the
// result and how long to wait before a new request.
func (c *call) request(ctx context.Context, r *Runner) (Result, time.Duration) {
	result := Result{
		Stream:  c.stream.Name,
		Service: c.stream.Service,
		ID:      uuid.Must(uuid.NewV7()).String(),
		Key:     c.key,
		Writes:  c.writes,
		Due:     c.due,
	}
	var retryAfter time.Duration
	entry := ""
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		entry = r.balancer.pick(entry)
		retryAfter = c.send(ctx, r, entry, attempt, &result)
		if result.Final() == caller.Done || result.Final() == caller.NotRun {
			break
		}
		if time.Since(c.due) > c.stream.Deadline {
			break
		}
		time.Sleep(resendDelay)
	}
	result.Took = time.Since(c.due)
	return result, retryAfter
}

// send makes one attempt and adds its outcome to the result. It returns how long to wait
// before a new request.
func (c *call) send(ctx context.Context, r *Runner, entry string, attempt int, result *Result) time.Duration {
	remaining := max(c.stream.Deadline-time.Since(c.due), 50*time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, remaining+500*time.Millisecond)
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
	request.Header.Set(caller.HeaderDeadlineMs, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	response, err := r.client.Do(request)
	if err != nil {
		result.Outcomes = append(result.Outcomes, "")
		return 0
	}
	defer response.Body.Close()
	return result.addResponse(response)
}

// addResponse adds a response to the result and returns its retry delay.
func (result *Result) addResponse(response *http.Response) time.Duration {
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
		result.checkBody(body)
	}
	millis, _ := strconv.Atoi(response.Header.Get("Cicada-Retry-After-Ms"))
	return time.Duration(millis) * time.Millisecond
}

// checkBody compares the body of a response with the request.
func (result *Result) checkBody(body []byte) {
	var run standin.Run
	if err := json.Unmarshal(body, &run); err != nil {
		result.Partial = true
		return
	}
	result.WrongRequest = run.ID != result.ID || run.Key != result.Key
}
