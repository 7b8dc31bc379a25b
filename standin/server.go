package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"cicadarouter/contract/backend"
	"cicadarouter/host/clock"
	"cicadarouter/ownership"
	"cicadarouter/record"
)

// ServerConfig describes a backend server stand-in.
type ServerConfig struct {
	Name    string
	Service string
	Slots   int
	// Checked is set for a server that checks tokens.
	Checked bool
	// Work is how long a request holds a slot.
	Work time.Duration
	// ColdFor is how long after its start the server takes ColdFactor times as long.
	ColdFor    time.Duration
	ColdFactor float64
	// ReportLag is how old the load in a report is.
	ReportLag time.Duration
}

// ServerFaults are the faults that a server stand-in can be given.
type ServerFaults struct {
	// Frozen stops all progress, as a paused process would.
	Frozen bool `json:"frozen"`
	// Draining tells that the server is about to leave.
	Draining bool `json:"draining"`
	// Shed refuses all requests.
	Shed bool `json:"shed"`
	// WrongID answers with another request's id.
	WrongID bool `json:"wrongId"`
	// SlowFactor multiplies the work, if above 0.
	SlowFactor float64 `json:"slowFactor"`
}

// Run is one effect that a server has had.
type Run struct {
	Server string    `json:"server"`
	ID     string    `json:"id"`
	Key    string    `json:"key,omitempty"`
	Token  uint64    `json:"token,omitempty"`
	At     time.Time `json:"at"`
}

// Server is a backend server that holds keys exclusively. It is safe for
// concurrent use.
type Server struct {
	config ServerConfig
	clock  clock.Clock

	mu       sync.Mutex
	holder   *ownership.Holder
	started  time.Duration
	faults   ServerFaults
	thawed   chan struct{}
	running  map[*inFlight]struct{}
	slots    chan struct{}
	runs     []Run
	sampled  int
	sampleAt time.Duration
}

// inFlight is a request that the server works on.
type inFlight struct {
	page  string
	hash  uint64
	token uint64
	keyed bool
}

// NewServer returns a server that holds nothing. incarnation must differ from
// that of every earlier run at its address.
func NewServer(config ServerConfig, clk clock.Clock, incarnation uint64) *Server {
	return &Server{
		config:  config,
		clock:   clk,
		holder:  ownership.NewHolder(incarnation),
		started: clk.Now(),
		running: map[*inFlight]struct{}{},
		slots:   make(chan struct{}, config.Slots),
	}
}

// SetFaults replaces the faults. A thaw lets all that was frozen go on.
func (s *Server) SetFaults(faults ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Frozen && !s.faults.Frozen {
		s.thawed = make(chan struct{})
	}
	if !faults.Frozen && s.faults.Frozen {
		close(s.thawed)
	}
	s.faults = faults
}

// Runs returns the effects that the server has had.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Holds reports whether the server believes that it owns the hash, and under
// which token.
func (s *Server) Holds(page string, hash uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.holder.HeldAt(s.clock.Now(), page, hash)
	return held.Token, ok
}

// frozen waits while the server is frozen, as its process would.
func (s *Server) frozen(ctx context.Context) {
	for {
		s.mu.Lock()
		stopped := s.faults.Frozen
		thawed := s.thawed
		s.mu.Unlock()
		if !stopped {
			return
		}
		// A frozen process notices neither cancellation nor deadline.
		<-thawed
		if ctx.Err() != nil {
			return
		}
	}
}

// Grant implements backend.Control within the process.
func (s *Server) Grant(ctx context.Context, grant ownership.Grant) (backend.Report, error) {
	s.frozen(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.holder.Accept(grant)
	report := s.report(grant.Page)
	var refusal *ownership.GrantRefusal
	if errors.As(err, &refusal) {
		report.Refusal = refusal.Reason
	}
	return report, nil
}

// Report implements backend.Control within the process.
func (s *Server) Report(ctx context.Context, page string) (backend.Report, error) {
	s.frozen(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report(page), nil
}

var _ backend.Control = (*Server)(nil)

// report describes the server. The caller holds s.mu.
func (s *Server) report(page string) backend.Report {
	now := s.clock.Now()
	if now-s.sampleAt >= s.config.ReportLag {
		s.sampled = len(s.running)
		s.sampleAt = now
	}
	return backend.Report{
		Server:      s.config.Name,
		Clock:       now,
		Incarnation: s.holder.Incarnation(),
		Generation:  s.holder.Generation(page),
		Busy:        s.busy(now, page),
		InFlight:    s.sampled,
		Draining:    s.faults.Draining,
	}
}

// busy lists hashes that requests run for although they are no longer held.
func (s *Server) busy(now time.Duration, page string) []uint64 {
	var hashes []uint64
	for request := range s.running {
		if request.page != page || !request.keyed {
			continue
		}
		if !s.holder.Holds(now, page, request.hash, request.token) {
			hashes = append(hashes, request.hash)
		}
	}
	return hashes
}

// Handler returns the server's HTTP interface: the control paths and, below
// every other path, requests.
func (s *Server) Handler() http.Handler {
	container := restful.NewContainer()
	routes := new(restful.WebService)
	routes.Path("/cicada").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	routes.Route(routes.POST("/grant").To(s.takeGrant))
	routes.Route(routes.GET("/report").To(s.takeProbe))
	container.Add(routes)
	mux := http.NewServeMux()
	mux.Handle("/cicada/", container)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) takeGrant(request *restful.Request, response *restful.Response) {
	var grant ownership.Grant
	if err := json.NewDecoder(request.Request.Body).Decode(&grant); err != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
		return
	}
	report, _ := s.Grant(request.Request.Context(), grant)
	response.PrettyPrint(false)
	_ = response.WriteAsJson(report)
}

func (s *Server) takeProbe(request *restful.Request, response *restful.Response) {
	report, _ := s.Report(request.Request.Context(), request.QueryParameter("page"))
	response.PrettyPrint(false)
	_ = response.WriteAsJson(report)
}

// serve runs one request.
func (s *Server) serve(out http.ResponseWriter, in *http.Request) {
	ctx, cancel := requestContext(in)
	defer cancel()
	s.frozen(ctx)
	_, _ = io.Copy(io.Discard, in.Body)
	request := s.identify(in)
	if refusal := s.admit(request); refusal != "" {
		refuse(out, refusal)
		return
	}
	defer s.leave(request)
	if refusal := s.takeSlot(ctx); refusal != "" {
		refuse(out, refusal)
		return
	}
	defer func() { <-s.slots }()
	pause(ctx, s.work())
	s.frozen(ctx)
	run, refusal := s.effect(ctx, in, request)
	if refusal != "" {
		refuse(out, refusal)
		return
	}
	s.answer(out, run)
}

func requestContext(in *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(in.Header.Get(backend.HeaderDeadlineMs))
	if err != nil {
		return context.WithCancel(in.Context())
	}
	return context.WithTimeout(in.Context(), time.Duration(millis)*time.Millisecond)
}

func (s *Server) identify(in *http.Request) *inFlight {
	key := in.Header.Get(backend.HeaderKey)
	token, _ := strconv.ParseUint(in.Header.Get(backend.HeaderToken), 10, 64)
	return &inFlight{
		page:  in.Header.Get(backend.HeaderPage),
		hash:  record.KeyHash(s.config.Service, key),
		token: token,
		keyed: key != "",
	}
}

// queueFactor is how many requests may wait for each slot.
const queueFactor = 4

// admit takes a request in, or says why not.
func (s *Server) admit(request *inFlight) backend.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Draining && !request.keyed:
		return backend.RefusedDraining
	case s.faults.Shed || len(s.running) >= s.config.Slots*(1+queueFactor):
		return backend.RefusedShed
	case s.stale(request):
		return backend.RefusedToken
	}
	s.running[request] = struct{}{}
	return ""
}

// stale reports whether a server that checks tokens must refuse the request.
func (s *Server) stale(request *inFlight) bool {
	if !s.config.Checked || !request.keyed {
		return false
	}
	return !s.holder.Holds(s.clock.Now(), request.page, request.hash, request.token)
}

func (s *Server) leave(request *inFlight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, request)
}

func (s *Server) takeSlot(ctx context.Context) backend.Refusal {
	select {
	case s.slots <- struct{}{}:
		return ""
	case <-ctx.Done():
		return backend.RefusedExpired
	}
}

func (s *Server) work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := float64(s.config.Work)
	if s.faults.SlowFactor > 0 {
		work *= s.faults.SlowFactor
	}
	if s.config.ColdFactor > 0 && s.clock.Now()-s.started < s.config.ColdFor {
		work *= s.config.ColdFactor
	}
	return time.Duration(work)
}

// effect is the moment at which a request takes effect. What was true when it
// began may have changed while it waited, worked or was frozen, so that it is
// checked again here, under the same lock as the effect.
func (s *Server) effect(ctx context.Context, in *http.Request, request *inFlight) (Run, backend.Refusal) {
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

func (s *Server) answer(out http.ResponseWriter, run Run) {
	s.mu.Lock()
	wrong := s.faults.WrongID
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
