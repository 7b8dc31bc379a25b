// Package caller defines the interface to callers: the headers of a request and
// the meaning of the headers of its response.
//
// A caller sends its request over HTTP to any host, at /s/SERVICE/PATH.
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
	// HeaderKey contains the key, for services whose requests are routed by key.
	HeaderKey = "Cicada-Key"
	// HeaderRequestID is a version 7 UUID. The caller generates it once for a
	// request and sends the same value with each retry.
	HeaderRequestID = "Cicada-Request-Id"
	// HeaderAttempt is the number of the attempt at the request, starting at 1.
	HeaderAttempt = "Cicada-Attempt"
	// HeaderIdempotent is "true" or "false". Without it, GET and HEAD requests
	// are treated as idempotent and others are not.
	HeaderIdempotent = "Cicada-Idempotent"
	// HeaderDeadlineMs is the time in milliseconds for which the caller waits.
	HeaderDeadlineMs = "Cicada-Deadline-Ms"
	// HeaderCaller names the caller to whose share of the capacity the request
	// counts.
	HeaderCaller = "Cicada-Caller"
)

// Headers of a response.
const (
	// HeaderOutcome contains the Outcome. Every response has it.
	HeaderOutcome = "Cicada-Outcome"
	// HeaderReason contains the Reason of an outcome other than Done.
	HeaderReason = "Cicada-Reason"
	// HeaderServer names the backend server that ran the request.
	HeaderServer = "Cicada-Server"
)

// Outcome tells the caller whether the request was executed.
type Outcome string

// The outcomes.
const (
	// Done means that this is the complete response of the server that ran the
	// request.
	Done Outcome = "done"
	// NotRun means that the request has not run and will not run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason is the cause of an outcome other than Done.
type Reason string

// The reasons.
const (
	ReasonBadRequest               Reason = "bad-request"
	ReasonUnknownService           Reason = "unknown-service"
	ReasonOverload                 Reason = "overload"
	ReasonDeadline                 Reason = "deadline"
	ReasonNoOwner                  Reason = "no-owner"
	ReasonNoDispatcher             Reason = "no-dispatcher"
	ReasonUnreachable              Reason = "unreachable"
	ReasonShed                     Reason = "shed"
	ReasonStopping                 Reason = "stopping"
	ReasonConnectionLost           Reason = "connection-lost"
	ReasonAnswerTooLarge           Reason = "answer-too-large"
	ReasonEarlierAttemptMayHaveRun Reason = "earlier-attempt-may-have-run"
	ReasonEarlierAttemptRunning    Reason = "earlier-attempt-running"
	ReasonCancelled                Reason = "cancelled"
	ReasonMismatchedResponse       Reason = "answer-to-another-request"
)

// HeaderError reports an invalid header of a caller's request.
type HeaderError struct {
	Header string
	Value  string
	Fix    string
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s has value %q: %s", e.Header, e.Value, e.Fix)
}

// Limits of header values. Lengths are in bytes; maxQuotedValueLength limits the
// part of a value that an error message quotes.
const (
	MaxKeyLength         = 512
	MaxAttempt           = 1000
	maxQuotedValueLength = 64
)

// Metadata holds the parsed headers of a caller's request.
type Metadata struct {
	Key        string
	ID         uuid.UUID
	Attempt    int
	Idempotent bool
	// Deadline is the remaining time, or 0 if the caller does not set it.
	Deadline time.Duration
	Caller   string
	// IDGenerated is set if the ID was generated here because the caller sent none.
	IDGenerated bool
}

// ParseMetadata parses a request's headers. It returns a *HeaderError if one is invalid.
func ParseMetadata(method string, header http.Header) (Metadata, error) {
	meta := Metadata{Key: header.Get(HeaderKey), Caller: header.Get(HeaderCaller), Attempt: 1}
	if len(meta.Key) > MaxKeyLength {
		return Metadata{}, headerError(HeaderKey, meta.Key, "use at most 512 bytes")
	}
	if len(meta.Caller) > MaxKeyLength {
		return Metadata{}, headerError(HeaderCaller, meta.Caller, "use at most 512 bytes")
	}
	for _, parse := range []func(*Metadata, string, http.Header) error{parseID, parseAttempt, parseIdempotent, parseDeadline} {
		if err := parse(&meta, method, header); err != nil {
			return Metadata{}, err
		}
	}
	return meta, nil
}

func headerError(name, value, fix string) error {
	if len(value) > maxQuotedValueLength {
		value = value[:maxQuotedValueLength] + "..."
	}
	return &HeaderError{Header: name, Value: value, Fix: fix}
}

func parseID(meta *Metadata, _ string, header http.Header) error {
	text := header.Get(HeaderRequestID)
	if text == "" {
		meta.IDGenerated = true
		meta.ID = uuid.Must(uuid.NewV7())
		return nil
	}
	const timeOrderedVersion = 7
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != timeOrderedVersion {
		return headerError(HeaderRequestID, text, "use a UUID of version 7, or leave the header out")
	}
	meta.ID = id
	return nil
}

func parseAttempt(meta *Metadata, _ string, header http.Header) error {
	text := header.Get(HeaderAttempt)
	if text == "" {
		return nil
	}
	attempt, err := strconv.Atoi(text)
	if err != nil || attempt < 1 || attempt > MaxAttempt {
		return headerError(HeaderAttempt, text, "use a whole number from 1 to 1000")
	}
	if attempt > 1 && meta.IDGenerated {
		return headerError(HeaderAttempt, text, "send the "+HeaderRequestID+" of the first attempt with each further one")
	}
	meta.Attempt = attempt
	return nil
}

func parseIdempotent(meta *Metadata, method string, header http.Header) error {
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

func parseDeadline(meta *Metadata, _ string, header http.Header) error {
	text := header.Get(HeaderDeadlineMs)
	if text == "" {
		return nil
	}
	const maxMillis = 60_000
	millis, err := strconv.Atoi(text)
	if err != nil || millis < 1 || millis > maxMillis {
		return headerError(HeaderDeadlineMs, text, "use milliseconds from 1 to 60000")
	}
	meta.Deadline = time.Duration(millis) * time.Millisecond
	return nil
}

// IDTime returns the timestamp of a version 7 UUID, which is the time at which
// it was generated by the clock of its generator.
func IDTime(id uuid.UUID) time.Time {
	var millis int64
	const timestampBytes = 6
	for _, part := range id[:timestampBytes] {
		millis = millis<<8 | int64(part)
	}
	return time.UnixMilli(millis)
}
