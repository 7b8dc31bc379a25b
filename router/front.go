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
	"cicadarouter/record"
)

// servicePrefix begins the paths of callers' requests.
const servicePrefix = "/s/"

// Front serves callers over HTTP.
type Front struct{ r *Router }

// NewFront returns the callers' handler of a router.
func NewFront(r *Router) *Front { return &Front{r: r} }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	f.r.tracked.Add(1)
	defer f.r.tracked.Done()
	began := f.r.clock.Now()
	req, problem := f.parse(out, in)
	if problem != nil {
		f.refuse(out, in, *problem)
		return
	}
	// Whatever refused this attempt, an earlier one that the caller made may
	// have run.
	history := dispatch.NewHistory(req.meta.Attempt)
	reply := history.Conclude(f.serve(in.Context(), req))
	objective := time.Duration(req.service.Objectives.LatencyMillis) * time.Millisecond
	took := f.r.clock.Now() - began
	f.r.meters.request(req.service.Name, reply, took, objective)
	f.r.counts.note(req.service.Name, reply, took, objective)
	write(out, req, reply)
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

// problem is a request that cannot be taken.
type problem struct {
	status int
	reason caller.Reason
	text   string
}

// parse reads a caller's request. What is wrong with it is told in full and
// nothing of it is passed on.
func (f *Front) parse(out http.ResponseWriter, in *http.Request) (*request, *problem) {
	rest, ok := strings.CutPrefix(in.URL.Path, servicePrefix)
	name, _, _ := strings.Cut(rest, "/")
	service, known := f.r.directory.Service(name)
	if !ok || !known {
		return nil, &problem{http.StatusNotFound, caller.ReasonUnknownService, "no service " + strconv.Quote(name) + "; use /s/SERVICE/PATH"}
	}
	meta, err := caller.ParseMetadata(in.Method, in.Header)
	if err != nil {
		return nil, &problem{http.StatusBadRequest, caller.ReasonBadRequest, err.Error()}
	}
	if service.Keyed && meta.Key == "" {
		text := "header " + caller.HeaderKey + " is missing: service " + name + " is divided by key"
		return nil, &problem{http.StatusBadRequest, caller.ReasonBadRequest, text}
	}
	body, failed := f.readBody(out, in)
	if failed != nil {
		return nil, failed
	}
	req := &request{
		service: service,
		meta:    meta,
		method:  in.Method,
		path:    strings.TrimPrefix(in.URL.RequestURI(), servicePrefix+name),
		headers: callerHeaders(in.Header),
		body:    body,
	}
	if !strings.HasPrefix(req.path, "/") {
		req.path = "/" + req.path
	}
	f.locate(req)
	return req, nil
}

func (f *Front) readBody(out http.ResponseWriter, in *http.Request) ([]byte, *problem) {
	body, err := io.ReadAll(http.MaxBytesReader(out, in.Body, f.r.limits.RequestBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		text := "body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
		return nil, &problem{http.StatusRequestEntityTooLarge, caller.ReasonBadRequest, text}
	case err != nil:
		return nil, &problem{http.StatusBadRequest, caller.ReasonBadRequest, "body could not be read: " + err.Error()}
	}
	return body, nil
}

// locate finds the page of a request. Requests to services without keys meet by
// their ids if they are not idempotent, so that all copies reach one memory;
// others stay in this failure domain where it serves them.
func (f *Front) locate(req *request) {
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

// localHash returns a random hash of one of this domain's pages, or of any page
// if the domain has none.
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

// write sends a reply to the caller.
func write(out http.ResponseWriter, req *request, reply dispatch.Reply) {
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

// HeaderRetryAfterMs says more finely than Retry-After when to come back.
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

// refuse answers a request that cannot be taken. Its headers may be unreadable,
// but one that claims to be a further attempt is not told that it has not run.
func (f *Front) refuse(out http.ResponseWriter, in *http.Request, p problem) {
	f.r.log.Debug("request refused", "reason", p.reason, "text", p.text)
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
