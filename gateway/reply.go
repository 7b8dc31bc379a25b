package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"cicadarouter/balance"
	"cicadarouter/poison"
)

// reply is the final answer to a caller.
type reply struct {
	outcome string
	status  int
	header  http.Header
	body    []byte
	rest    io.Reader // the rest of a long answer, or nil
	finish  func(whole bool)
	// giveUp ends the reading of the rest.
	giveUp     func()
	retryAfter time.Duration
	expected   time.Duration
	judged     poison.Judgement // of a request that is quarantined
	// awaited is the server that the request would have had to wait for, because of its
	// limit, in requests a second, or because it rests.
	awaited string
	limit   float64
	cause   error
}

// Outcomes of requests, as logged and counted.
const (
	outcomeAnswered   = "answered"
	outcomeCallerLeft = "caller-left"
	// outcomeQuarantined: every server that ran the request ended.
	outcomeQuarantined = "quarantined"
)

// turnedAway answers a request that has not run and will not.
func turnedAway(why string, after time.Duration) *reply {
	return &reply{outcome: why, status: http.StatusServiceUnavailable, retryAfter: after}
}

func turnedAwayFor(rejected *balance.RejectedError) *reply {
	answer := turnedAway(string(rejected.Reason), rejected.RetryAfter)
	answer.expected = rejected.Expected
	answer.awaited, answer.limit = rejected.Server, rejected.Limit
	return answer
}

func refusal(status int, why string, cause error) *reply {
	return &reply{outcome: why, status: status, cause: cause}
}

// ownedUp returns an answer that does not deny an earlier attempt: one that is sent
// once more and then finds no server may have run before, and 503 says that it has not
// and never will.
func (a *reply) ownedUp(req *request) *reply {
	if req.mayHaveRun && a.status == http.StatusServiceUnavailable {
		a.status = http.StatusBadGateway
	}
	return a
}

// write sends the final answer.
func (g *Gateway) write(w http.ResponseWriter, r *http.Request, req *request, answer *reply) {
	defer g.logRequest(req, answer)
	if answer.outcome == outcomeCallerLeft {
		g.finished(req, answer)
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	// The standard library would guess a type and set the date.
	header["Content-Type"] = nil
	header["Date"] = nil
	for name, values := range answer.header {
		header[name] = values
	}
	if answer.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(answer.retryAfter.Seconds(), 'f', 3, 64))
	}
	if answer.rest == nil && answer.header.Get("Content-Length") == "" && bodyAllowed(r, answer.status) {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	g.finished(req, answer)
	w.WriteHeader(answer.status)
	_, err := w.Write(answer.body)
	if answer.rest != nil {
		err = g.writeRest(w, answer, err)
	} else if answer.finish != nil {
		answer.finish(err == nil)
	}
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		answer.cause = err
		// An answer that broke off must not look complete: the connection ends.
		panic(http.ErrAbortHandler)
	}
}

// writeRest passes the rest of a long answer on, unless what came before could not be written.
// The server is given back as soon as the answer has been read to its end, whether its caller
// has read it or not.
func (g *Gateway) writeRest(w http.ResponseWriter, answer *reply, before error) error {
	if before != nil {
		answer.finish(false)
		return before
	}
	ahead := newReadAhead(&g.unreadBytes)
	read := make(chan struct{})
	go func() {
		defer close(read)
		answer.finish(errors.Is(ahead.fill(answer.rest), io.EOF))
	}()
	_, err := ahead.WriteTo(flushing{w})
	if err != nil {
		answer.giveUp()
	}
	<-read
	return err
}

func bodyAllowed(r *http.Request, status int) bool {
	return r.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified && status >= http.StatusOK
}

// flushing passes each part of a streamed answer on at once.
type flushing struct{ http.ResponseWriter }

// Write implements io.Writer.
func (f flushing) Write(part []byte) (int, error) {
	n, err := f.ResponseWriter.Write(part)
	if flusher, ok := f.ResponseWriter.(http.Flusher); ok && err == nil {
		flusher.Flush()
	}
	return n, err
}
