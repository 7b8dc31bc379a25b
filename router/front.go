package router

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cicadarouter/contract/caller"
	"cicadarouter/dispatch"
	"cicadarouter/link/backendlink"
	"cicadarouter/record"
)

// servicePrefix is the path prefix of callers' requests; the service name follows.
const servicePrefix = "/s/"

// Front is the HTTP handler for callers' requests.
type Front struct{ r *Router }

// NewFront returns the HTTP handler for a router's callers.
func NewFront(r *Router) *Front { return &Front{r: r} }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	f.r.activeCalls.Add(1)
	defer f.r.activeCalls.Done()
	start := f.r.clock.Now()
	req, problem := f.parse(out, in)
	if problem != nil {
		f.reject(out, in, *problem)
		return
	}
	// Even if this attempt is rejected, an earlier one by the caller may have run.
	history := dispatch.NewHistory(req.meta.Attempt)
	reply := history.FinalReply(f.serve(in.Context(), req))
	objective := time.Duration(req.service.Objectives.LatencyMillis) * time.Millisecond
	elapsed := f.r.clock.Now() - start
	f.r.metrics.recordRequest(req.service.Name, reply, elapsed, objective)
	f.r.counts.add(req.service.Name, reply, elapsed, objective)
	writeReply(out, req, reply)
}

func (f *Front) serve(ctx context.Context, req *request) dispatch.Reply {
	if f.r.inFlight.Add(1) > int64(f.r.limits.InFlight) {
		f.r.inFlight.Add(-1)
		return notRun(caller.ReasonOverload, time.Second)
	}
	defer f.r.inFlight.Add(-1)
	deadline := req.service.Deadline()
	if req.meta.Deadline > 0 {
		deadline = min(deadline, req.meta.Deadline)
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	return f.r.deliver(ctx, req)
}

// requestError is the reason for rejecting an invalid request.
type requestError struct {
	status int
	reason caller.Reason
	text   string
}

// parse reads and validates a caller's request. An invalid one is rejected with an
// explanation and not forwarded.
func (f *Front) parse(out http.ResponseWriter, in *http.Request) (*request, *requestError) {
	rest, ok := strings.CutPrefix(backendlink.RequestTarget(in), servicePrefix)
	name, path := rest, ""
	if end := strings.IndexAny(rest, "/?"); end >= 0 {
		name, path = rest[:end], rest[end:]
	}
	service, known := f.r.directory.Service(name)
	if !ok || !known {
		return nil, &requestError{http.StatusNotFound, caller.ReasonUnknownService, "no service " + strconv.Quote(name) + "; use /s/SERVICE/PATH"}
	}
	meta, err := caller.ParseMetadata(in.Method, in.Header)
	if err != nil {
		return nil, &requestError{http.StatusBadRequest, caller.ReasonBadRequest, err.Error()}
	}
	if service.Keyed && meta.Key == "" {
		text := "header " + caller.HeaderKey + " is missing: service " + name + " is divided by key"
		return nil, &requestError{http.StatusBadRequest, caller.ReasonBadRequest, text}
	}
	body, failed := f.readBody(out, in)
	if failed != nil {
		return nil, failed
	}
	req := &request{
		service: service,
		meta:    meta,
		method:  in.Method,
		path:    path,
		headers: callerHeaders(in.Header),
		body:    body,
	}
	if !strings.HasPrefix(req.path, "/") {
		req.path = "/" + req.path
	}
	f.setPage(req)
	return req, nil
}

func (f *Front) readBody(out http.ResponseWriter, in *http.Request) ([]byte, *requestError) {
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, f.r.limits.RequestBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		text := "body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
		return nil, &requestError{http.StatusRequestEntityTooLarge, caller.ReasonBadRequest, text}
	case err != nil:
		return nil, &requestError{http.StatusBadRequest, caller.ReasonBadRequest, "body could not be read: " + err.Error()}
	}
	return body, nil
}

// setPage sets the hash and the page of a request. For services without keys,
// non-idempotent requests are hashed by their ids, so that all copies are
// deduplicated by the same router; idempotent ones use a page of this failure domain
// if the service has one there.
func (f *Front) setPage(req *request) {
	service := req.service
	switch {
	case service.Keyed:
		req.hash = record.KeyHash(service.Name, req.meta.Key)
	case !req.meta.Idempotent:
		req.hash = record.KeyHash(service.Name, req.meta.ID.String())
	default:
		req.hash = f.localHash(service)
	}
	req.page = record.PageName(service.Name, service.PageOf(req.hash))
}

// localHash returns the lowest hash of a random page of this failure domain, or a
// random hash if the service has no page here.
func (f *Front) localHash(service record.Service) uint64 {
	for position, domain := range service.Domains {
		if domain == f.r.identity.Domain {
			slot := rand.IntN(service.PagesPerDomain)
			low, _ := record.PageRange(slot*len(service.Domains)+position, service.PageCount())
			return low
		}
	}
	return rand.Uint64()
}

// writeReply sends a reply to the caller.
func writeReply(out http.ResponseWriter, req *request, reply dispatch.Reply) {
	header := out.Header()
	header.Set(caller.HeaderRequestID, req.meta.ID.String())
	header.Set(caller.HeaderOutcome, string(reply.Outcome))
	if reply.Outcome == caller.Done {
		header.Set(caller.HeaderServer, reply.Server)
		for _, field := range reply.Headers {
			header.Add(field.Name, field.Value)
		}
		header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
		out.WriteHeader(reply.Status)
		_, _ = out.Write(reply.Body)
		return
	}
	header.Set(caller.HeaderReason, string(reply.Reason))
	setRetryAfter(header, reply.RetryAfter)
	out.WriteHeader(statusOf(reply))
}

// HeaderRetryAfterMs is Retry-After in milliseconds.
const HeaderRetryAfterMs = "Cicada-Retry-After-Ms"

func setRetryAfter(header http.Header, wait time.Duration) {
	if wait <= 0 {
		return
	}
	seconds := (wait + time.Second - 1) / time.Second
	header.Set("Retry-After", strconv.Itoa(int(seconds)))
	header.Set(HeaderRetryAfterMs, strconv.FormatInt(max(1, wait.Milliseconds()), 10))
}

func statusOf(reply dispatch.Reply) int {
	if reply.Outcome == caller.NotRun {
		if reply.Reason == caller.ReasonBadRequest {
			return http.StatusBadRequest
		}
		return http.StatusServiceUnavailable
	}
	if reply.Reason == caller.ReasonDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// reject rejects an invalid request. Its headers may not have been parsed; if the
// attempt header says that there was an earlier attempt, which may have run, the
// outcome is unknown.
func (f *Front) reject(out http.ResponseWriter, in *http.Request, p requestError) {
	f.r.log.Debug("rejected invalid request", "reason", p.reason, "text", p.text)
	outcome := caller.NotRun
	if attempt := in.Header.Get(caller.HeaderAttempt); attempt != "" && attempt != "1" {
		outcome = caller.Unknown
	}
	header := out.Header()
	header.Set(caller.HeaderOutcome, string(outcome))
	header.Set(caller.HeaderReason, string(p.reason))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	out.WriteHeader(p.status)
	_, _ = io.WriteString(out, p.text+"\n")
}
