package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"cicadarouter/contract/backend"
	"cicadarouter/host/clock"
	"cicadarouter/ownership"
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
	held, ok := s.holder.ShardAt(s.clock.Now(), page, hash)
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
