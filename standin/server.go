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

// ServerConfig configures a fake backend server.
type ServerConfig struct {
	Name    string
	Service string
	// Slots is the number of requests that run at the same time.
	Slots int
	// ChecksTokens is set for a server that checks fencing tokens.
	ChecksTokens bool
	// ServiceTime is the service time of a request, during which it holds a slot.
	ServiceTime time.Duration
	// ColdFor is how long after the server's start service times are ColdFactor times as
	// long.
	ColdFor    time.Duration
	ColdFactor float64
	// ReportInterval is the sampling interval of the load in reports.
	ReportInterval time.Duration
}

// ServerFaults are the faults that can be injected into a fake server.
type ServerFaults struct {
	// Frozen stops all progress, like a suspended process.
	Frozen bool `json:"frozen"`
	// Draining makes the server report that it is about to leave and refuse requests
	// without a key.
	Draining bool `json:"draining"`
	// RejectRequests makes the server refuse all requests.
	RejectRequests bool `json:"shed"`
	// WrongRequestID puts the ID of another request into responses.
	WrongRequestID bool `json:"wrongId"`
	// SlowFactor multiplies service times, if above 0.
	SlowFactor float64 `json:"slowFactor"`
}

// Run records that a request took effect on a server.
type Run struct {
	Server string    `json:"server"`
	ID     string    `json:"id"`
	Key    string    `json:"key,omitempty"`
	Token  uint64    `json:"token,omitempty"`
	At     time.Time `json:"at"`
}

// Server is a fake backend server with exclusive leases on keys. It is safe for concurrent
// use.
type Server struct {
	config ServerConfig
	clock  clock.Clock

	mu          sync.Mutex
	holder      *ownership.Holder
	started     time.Duration
	faults      ServerFaults
	unfrozen    chan struct{}
	requests    map[*inFlightRequest]struct{}
	slots       chan struct{}
	runs        []Run
	sampledLoad int
	sampledAt   time.Duration
}

// inFlightRequest is a request that the server has admitted and not finished.
type inFlightRequest struct {
	page  string
	hash  uint64
	token uint64
	keyed bool
}

// NewServer returns a server without leases. incarnation must differ from that of every
// earlier server at its address.
func NewServer(config ServerConfig, clock clock.Clock, incarnation uint64) *Server {
	return &Server{
		config:   config,
		clock:    clock,
		holder:   ownership.NewHolder(incarnation),
		started:  clock.Now(),
		requests: map[*inFlightRequest]struct{}{},
		slots:    make(chan struct{}, config.Slots),
	}
}

// SetFaults replaces the faults. Requests and calls that were frozen continue once Frozen
// is cleared.
func (s *Server) SetFaults(faults ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Frozen && !s.faults.Frozen {
		s.unfrozen = make(chan struct{})
	}
	if !faults.Frozen && s.faults.Frozen {
		close(s.unfrozen)
	}
	s.faults = faults
}

// Runs returns the requests that took effect on the server.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Holds returns the token under which the server holds the hash, and whether it holds it.
func (s *Server) Holds(page string, hash uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard, ok := s.holder.ShardAt(s.clock.Now(), page, hash)
	return shard.Token, ok
}

// waitWhileFrozen blocks while the server is frozen.
func (s *Server) waitWhileFrozen(ctx context.Context) {
	for {
		s.mu.Lock()
		isFrozen := s.faults.Frozen
		thawed := s.unfrozen
		s.mu.Unlock()
		if !isFrozen {
			return
		}
		// A suspended process notices neither cancellation nor deadlines.
		<-thawed
		if ctx.Err() != nil {
			return
		}
	}
}

// Grant implements backend.Control for callers in the same process.
func (s *Server) Grant(ctx context.Context, grant ownership.Grant) (backend.Report, error) {
	s.waitWhileFrozen(ctx)
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

// Report implements backend.Control for callers in the same process.
func (s *Server) Report(ctx context.Context, page string) (backend.Report, error) {
	s.waitWhileFrozen(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report(page), nil
}

var _ backend.Control = (*Server)(nil)

// report returns the server's state. The caller must hold s.mu.
func (s *Server) report(page string) backend.Report {
	now := s.clock.Now()
	if now-s.sampledAt >= s.config.ReportInterval {
		s.sampledLoad = len(s.requests)
		s.sampledAt = now
	}
	return backend.Report{
		Server:      s.config.Name,
		Clock:       now,
		Incarnation: s.holder.Incarnation(),
		Generation:  s.holder.Generation(page),
		Busy:        s.busy(now, page),
		InFlight:    s.sampledLoad,
		Draining:    s.faults.Draining,
	}
}

// busy returns the hashes that are no longer held but still have running requests. The
// caller must hold s.mu.
func (s *Server) busy(now time.Duration, page string) []uint64 {
	var hashes []uint64
	for request := range s.requests {
		if request.page != page || !request.keyed {
			continue
		}
		if !s.holder.Holds(now, page, request.hash, request.token) {
			hashes = append(hashes, request.hash)
		}
	}
	return hashes
}

// Handler returns the server's HTTP handler: the control API under /cicada, and requests
// under all other paths.
func (s *Server) Handler() http.Handler {
	container := restful.NewContainer()
	routes := new(restful.WebService)
	routes.Path("/cicada").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	routes.Route(routes.POST("/grant").To(s.handleGrant))
	routes.Route(routes.GET("/report").To(s.handleReport))
	container.Add(routes)
	mux := http.NewServeMux()
	mux.Handle("/cicada/", container)
	mux.HandleFunc("/", s.handleRequest)
	return mux
}

func (s *Server) handleGrant(request *restful.Request, response *restful.Response) {
	var grant ownership.Grant
	if err := json.NewDecoder(request.Request.Body).Decode(&grant); err != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
		return
	}
	report, _ := s.Grant(request.Request.Context(), grant)
	response.PrettyPrint(false)
	_ = response.WriteAsJson(report)
}

func (s *Server) handleReport(request *restful.Request, response *restful.Response) {
	report, _ := s.Report(request.Request.Context(), request.QueryParameter("page"))
	response.PrettyPrint(false)
	_ = response.WriteAsJson(report)
}
