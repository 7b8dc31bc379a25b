package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"cicadarouter/contract/backend"
	"cicadarouter/host/clock"
	"cicadarouter/record"
)

// handleRequest handles one request.
func (s *Server) handleRequest(out http.ResponseWriter, in *http.Request) {
	ctx, cancel := requestContext(in)
	defer cancel()
	s.waitWhileFrozen(ctx)
	_, _ = io.Copy(io.Discard, in.Body)
	request := s.identify(in)
	if refusal := s.admit(request); refusal != "" {
		refuse(out, refusal)
		return
	}
	defer s.finish(request)
	if refusal := s.acquireSlot(ctx); refusal != "" {
		refuse(out, refusal)
		return
	}
	defer func() { <-s.slots }()
	clock.Sleep(ctx, s.serviceTime())
	s.waitWhileFrozen(ctx)
	run, refusal := s.apply(ctx, in, request)
	if refusal != "" {
		refuse(out, refusal)
		return
	}
	s.respond(out, run)
}

func requestContext(in *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(in.Header.Get(backend.HeaderDeadlineMs))
	if err != nil {
		return context.WithCancel(in.Context())
	}
	return context.WithTimeout(in.Context(), time.Duration(millis)*time.Millisecond)
}

func (s *Server) identify(in *http.Request) *inFlightRequest {
	key := in.Header.Get(backend.HeaderKey)
	token, _ := strconv.ParseUint(in.Header.Get(backend.HeaderToken), 10, 64)
	return &inFlightRequest{
		page:  in.Header.Get(backend.HeaderPage),
		hash:  record.KeyHash(s.config.Service, key),
		token: token,
		keyed: key != "",
	}
}

// maxQueuedPerSlot is the maximum number of queued requests per slot.
const maxQueuedPerSlot = 4

// admit admits a request and returns "", or returns why it is refused.
func (s *Server) admit(request *inFlightRequest) backend.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Draining && !request.keyed:
		return backend.RefusedDraining
	case s.faults.RejectRequests || len(s.requests) >= s.config.Slots*(1+maxQueuedPerSlot):
		return backend.RefusedShed
	case s.stale(request):
		return backend.RefusedToken
	}
	s.requests[request] = struct{}{}
	return ""
}

// stale reports whether the request must be refused because of its token. Only a server
// that checks tokens refuses keyed requests for it.
func (s *Server) stale(request *inFlightRequest) bool {
	if !s.config.ChecksTokens || !request.keyed {
		return false
	}
	return !s.holder.Holds(s.clock.Now(), request.page, request.hash, request.token)
}

func (s *Server) finish(request *inFlightRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, request)
}

func (s *Server) acquireSlot(ctx context.Context) backend.Refusal {
	select {
	case s.slots <- struct{}{}:
		return ""
	case <-ctx.Done():
		return backend.RefusedExpired
	}
}

func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := float64(s.config.ServiceTime)
	if s.faults.SlowFactor > 0 {
		work *= s.faults.SlowFactor
	}
	if s.config.ColdFactor > 0 && s.clock.Now()-s.started < s.config.ColdFor {
		work *= s.config.ColdFactor
	}
	return time.Duration(work)
}

// apply makes a request take effect. Its deadline and token may have expired while it was
// queued, running or frozen, so both are checked again here, under the lock under which the
// effect is recorded.
func (s *Server) apply(ctx context.Context, in *http.Request, request *inFlightRequest) (Run, backend.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return Run{}, backend.RefusedExpired
	}
	if s.stale(request) {
		return Run{}, backend.RefusedToken
	}
	run := Run{
		Server: s.config.Name,
		ID:     in.Header.Get(backend.HeaderRequestID),
		Key:    in.Header.Get(backend.HeaderKey),
		Token:  request.token,
		At:     time.Now(),
	}
	s.runs = append(s.runs, run)
	return run, ""
}

func (s *Server) respond(out http.ResponseWriter, run Run) {
	s.mu.Lock()
	wrong := s.faults.WrongRequestID
	s.mu.Unlock()
	id := run.ID
	if wrong {
		id = "00000000-0000-7000-8000-000000000000"
	}
	out.Header().Set(backend.HeaderRequestID, id)
	out.Header().Set("Content-Type", "application/json")
	body, _ := json.Marshal(run)
	_, _ = out.Write(body)
}

func refuse(out http.ResponseWriter, refusal backend.Refusal) {
	out.Header().Set(backend.HeaderRefused, string(refusal))
	out.WriteHeader(http.StatusServiceUnavailable)
}
