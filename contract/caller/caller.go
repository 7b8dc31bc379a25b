// Package caller is the contract with callers: the headers of a request and
// what an answer promises.
//
// A caller sends its request over HTTP to any entry host, at /s/SERVICE/PATH.
package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
)

// Headers of a caller's request.
const (
	// HeaderKey names the key, for services that are divided by key.
	HeaderKey = "Cicada-Key"
	// HeaderRequestID is a UUID of version 7, minted once for a request and
	// sent again unchanged with each further attempt at it.
	HeaderRequestID = "Cicada-Request-Id"
	// HeaderAttempt counts attempts at the same request from 1.
	HeaderAttempt = "Cicada-Attempt"
	// HeaderIdempotent is "true" or "false". Without it, requests by GET and
	// HEAD are idempotent and others are not.
	HeaderIdempotent = "Cicada-Idempotent"
	// HeaderDeadlineMs is the time in milliseconds that the caller will wait.
	HeaderDeadlineMs = "Cicada-Deadline-Ms"
	// HeaderCaller names the caller that shares are counted for.
	HeaderCaller = "Cicada-Caller"
)

// Headers of an answer.
const (
	// HeaderOutcome is set on every answer.
	HeaderOutcome = "Cicada-Outcome"
	// HeaderReason says why a request was not done.
	HeaderReason = "Cicada-Reason"
	// HeaderServer names the backend server that ran the request.
	HeaderServer = "Cicada-Server"
)

// Outcome is what an answer says about the request.
type Outcome string

// The outcomes.
const (
	// Done: the answer is the whole answer of the server that ran the request.
	Done Outcome = "done"
	// NotRun: the request has not run and will not run.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// Reason refines an outcome other than Done.
type Reason string

// The reasons.
const (
	ReasonBadRequest      Reason = "bad-request"
	ReasonUnknownService  Reason = "unknown-service"
	ReasonOverload        Reason = "overload"
	ReasonDeadline        Reason = "deadline"
	ReasonNoOwner         Reason = "no-owner"
	ReasonNoDispatcher    Reason = "no-dispatcher"
	ReasonUnreachable     Reason = "unreachable"
	ReasonShed            Reason = "shed"
	ReasonStopping        Reason = "stopping"
	ReasonConnectionLost  Reason = "connection-lost"
	ReasonAnswerTooLarge  Reason = "answer-too-large"
	ReasonMaybeRunBefore  Reason = "earlier-attempt-may-have-run"
	ReasonRunning         Reason = "earlier-attempt-running"
	ReasonCancelled       Reason = "cancelled"
	ReasonForeignResponse Reason = "answer-to-another-request"
)

// HeaderError is a caller's mistake in one header.
type HeaderError struct {
	Header string
	Value  string
	Fix    string
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s has value %q: %s", e.Header, e.Value, e.Fix)
}

// Limits of what a caller may send.
const (
	MaxKeyLength = 512
	MaxAttempt   = 1000
	maxShown     = 64
)

// Meta is what a caller says about its request.
type Meta struct {
	Key        string
	ID         uuid.UUID
	Attempt    int
	Idempotent bool
	// Deadline is the time left, or 0 where the caller does not say.
	Deadline time.Duration
	Caller   string
	// Minted is set when the id was made here because the caller sent none.
	Minted bool
}

// ParseMeta reads a request's headers or returns a *HeaderError.
func ParseMeta(method string, header http.Header) (Meta, error) {
	meta := Meta{Key: header.Get(HeaderKey), Caller: header.Get(HeaderCaller), Attempt: 1}
	if len(meta.Key) > MaxKeyLength {
		return Meta{}, headerError(HeaderKey, meta.Key, "use at most 512 bytes")
	}
	if len(meta.Caller) > MaxKeyLength {
		return Meta{}, headerError(HeaderCaller, meta.Caller, "use at most 512 bytes")
	}
	for _, parse := range []func(*Meta, string, http.Header) error{parseID, parseAttempt, parseIdempotent, parseDeadline} {
		if err := parse(&meta, method, header); err != nil {
			return Meta{}, err
		}
	}
	return meta, nil
}

func headerError(name, value, fix string) error {
	if len(value) > maxShown {
		value = value[:maxShown] + "..."
	}
	return &HeaderError{Header: name, Value: value, Fix: fix}
}

func parseID(meta *Meta, _ string, header http.Header) error {
	text := header.Get(HeaderRequestID)
	if text == "" {
		meta.Minted = true
		meta.ID = uuid.Must(uuid.NewV7())
		return nil
	}
	const versionWithTime = 7
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != versionWithTime {
		return headerError(HeaderRequestID, text, "use a UUID of version 7, or leave the header out")
	}
	meta.ID = id
	return nil
}

func parseAttempt(meta *Meta, _ string, header http.Header) error {
	text := header.Get(HeaderAttempt)
	if text == "" {
		return nil
	}
	attempt, err := strconv.Atoi(text)
	if err != nil || attempt < 1 || attempt > MaxAttempt {
		return headerError(HeaderAttempt, text, "use a whole number from 1 to 1000")
	}
	if attempt > 1 && meta.Minted {
		return headerError(HeaderAttempt, text, "send the "+HeaderRequestID+" of the first attempt with each further one")
	}
	meta.Attempt = attempt
	return nil
}

func parseIdempotent(meta *Meta, method string, header http.Header) error {
	switch text := header.Get(HeaderIdempotent); text {
	case "":
		meta.Idempotent = method == http.MethodGet || method == http.MethodHead
	case "true":
		meta.Idempotent = true
	case "false":
		meta.Idempotent = false
	default:
		return headerError(HeaderIdempotent, text, "use true or false")
	}
	return nil
}

func parseDeadline(meta *Meta, _ string, header http.Header) error {
	text := header.Get(HeaderDeadlineMs)
	if text == "" {
		return nil
	}
	const mostMillis = 60_000
	millis, err := strconv.Atoi(text)
	if err != nil || millis < 1 || millis > mostMillis {
		return headerError(HeaderDeadlineMs, text, "use milliseconds from 1 to 60000")
	}
	meta.Deadline = time.Duration(millis) * time.Millisecond
	return nil
}

// BirthTime returns the time at which an id of version 7 was minted, by the
// clock of whoever minted it.
func BirthTime(id uuid.UUID) time.Time {
	var millis int64
	const timeBytes = 6
	for _, part := range id[:timeBytes] {
		millis = millis<<8 | int64(part)
	}
	return time.UnixMilli(millis)
}
