// Package standin provides fakes of the system's dependencies for tests, benchmarks and
// local trials: the platform's store and host list, and backend servers. It also has the
// plain proxy that the system is benchmarked against.
package standin

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"cicadarouter/contract/platform"
	"cicadarouter/contract/platform/httpstore"
	"cicadarouter/contract/platform/memstore"
	"cicadarouter/host/clock"
	"cicadarouter/record"
)

// PlatformFaults are the faults that can be injected into a fake platform.
type PlatformFaults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// DelayMillis delays every call.
	DelayMillis int `json:"slowMillis"`
	// DropResponses is the number of writes from now on that take effect but get no response.
	DropResponses int `json:"loseReplies"`
	// UnreachableDomains lists the failure domains whose calls fail.
	UnreachableDomains []string `json:"cut"`
}

// PlatformCounts counts the calls to a fake platform. A watch is counted once, when it
// starts.
type PlatformCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	// Waiting is the number of watches that are waiting now.
	Waiting int64 `json:"waiting"`
}

// Platform is a fake platform: it serves an in-memory store over HTTP. It is safe for
// concurrent use.
type Platform struct {
	store *memstore.Store
	// HostLag is the delay until changes of the host list become visible.
	HostLag time.Duration

	mu     sync.Mutex
	faults PlatformFaults
	counts PlatformCounts
}

// NewPlatform returns a platform with an empty store.
func NewPlatform() *Platform { return &Platform{store: memstore.New()} }

// Store returns the store behind the HTTP interface.
func (p *Platform) Store() *memstore.Store { return p.store }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetHosts replaces the host list after the delay HostLag.
func (p *Platform) SetHosts(hosts []platform.Host) {
	if p.HostLag <= 0 {
		p.store.SetHosts(hosts)
		return
	}
	time.AfterFunc(p.HostLag, func() { p.store.SetHosts(hosts) })
}

// Handler returns the HTTP API: the store under /v1, and the test control API under
// /standin.
func (p *Platform) Handler() http.Handler {
	container := restful.NewContainer()
	container.Add(p.storeRoutes())
	container.Add(p.controlRoutes())
	return container
}

func (p *Platform) storeRoutes() *restful.WebService {
	routes := new(restful.WebService)
	routes.Path("/v1").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	routes.Filter(p.injectFaults)
	routes.Route(routes.GET("/records").To(p.list))
	routes.Route(routes.GET("/records/{kind}/{name}").To(p.get))
	routes.Route(routes.PUT("/records/{kind}/{name}").To(p.update))
	routes.Route(routes.DELETE("/records/{kind}/{name}").To(p.remove))
	routes.Route(routes.GET("/watch").To(p.watch))
	routes.Route(routes.GET("/hosts").To(p.hosts))
	return routes
}

func (p *Platform) controlRoutes() *restful.WebService {
	routes := new(restful.WebService)
	routes.Path("/standin").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	routes.Route(routes.PUT("/faults").To(p.putFaults))
	routes.Route(routes.GET("/counts").To(p.getCounts))
	routes.Route(routes.PUT("/hosts").To(p.putHosts))
	return routes
}

// injectFaults is a filter that injects faults before a call is handled: delays and failures.
func (p *Platform) injectFaults(request *restful.Request, response *restful.Response, chain *restful.FilterChain) {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.DelayMillis > 0 {
		clock.Sleep(request.Request.Context(), time.Duration(faults.DelayMillis)*time.Millisecond)
	}
	domain := request.HeaderParameter(httpstore.DomainHeader)
	if faults.Down || slices.Contains(faults.UnreachableDomains, domain) {
		_ = response.WriteErrorString(http.StatusServiceUnavailable, "store is down")
		return
	}
	chain.ProcessFilter(request, response)
}

func (p *Platform) count(change func(counts *PlatformCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counts)
}

func refOf(request *restful.Request) record.Ref {
	return record.Ref{Kind: record.Kind(request.PathParameter("kind")), Name: request.PathParameter("name")}
}

func (p *Platform) list(request *restful.Request, response *restful.Response) {
	p.count(func(c *PlatformCounts) { c.Reads++ })
	snapshot, err := p.store.List(request.Request.Context())
	respond(response, snapshot, err)
}

func (p *Platform) get(request *restful.Request, response *restful.Response) {
	p.count(func(c *PlatformCounts) { c.Reads++ })
	object, err := p.store.Get(request.Request.Context(), refOf(request))
	respond(response, object, err)
}

func (p *Platform) update(request *restful.Request, response *restful.Response) {
	p.count(func(c *PlatformCounts) { c.Writes++ })
	var envelope record.Envelope
	if err := request.ReadEntity(&envelope); err != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
		return
	}
	version, err := parseVersion(request)
	if err != nil || envelope.Ref() != refOf(request) {
		_ = response.WriteErrorString(http.StatusBadRequest, "version or name is wrong")
		return
	}
	written, err := p.store.Update(request.Request.Context(), envelope, version)
	if p.dropResponse() {
		panic(http.ErrAbortHandler) // the write took effect, but its response is dropped
	}
	respond(response, platform.Object{Envelope: envelope, Version: written}, err)
}

func (p *Platform) remove(request *restful.Request, response *restful.Response) {
	p.count(func(c *PlatformCounts) { c.Writes++ })
	version, err := parseVersion(request)
	if err != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
		return
	}
	err = p.store.Delete(request.Request.Context(), refOf(request), version)
	if p.dropResponse() {
		panic(http.ErrAbortHandler)
	}
	respond(response, struct{}{}, err)
}

func parseVersion(request *restful.Request) (uint64, error) {
	return strconv.ParseUint(request.QueryParameter("version"), 10, 64)
}

func (p *Platform) dropResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DropResponses == 0 {
		return false
	}
	p.faults.DropResponses--
	return true
}

// maxWatchDuration is the maximum duration of a watch.
const maxWatchDuration = time.Minute

func (p *Platform) watch(request *restful.Request, response *restful.Response) {
	revision, err := strconv.ParseUint(request.QueryParameter("revision"), 10, 64)
	millis, waitErr := strconv.Atoi(request.QueryParameter("wait"))
	if err != nil || waitErr != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, "revision and wait must be numbers")
		return
	}
	p.count(func(c *PlatformCounts) { c.Watches++; c.Waiting++ })
	defer p.count(func(c *PlatformCounts) { c.Waiting-- })
	wait := min(time.Duration(millis)*time.Millisecond, maxWatchDuration)
	snapshot, err := p.store.Watch(request.Request.Context(), revision, wait)
	p.mu.Lock()
	cut := p.faults.Down || slices.Contains(p.faults.UnreachableDomains, request.HeaderParameter(httpstore.DomainHeader))
	p.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler) // the store became unavailable while the watch waited
	}
	respond(response, snapshot, err)
}

func (p *Platform) hosts(request *restful.Request, response *restful.Response) {
	p.count(func(c *PlatformCounts) { c.Reads++ })
	hosts, err := p.store.Hosts(request.Request.Context())
	respond(response, hosts, err)
}

func (p *Platform) putFaults(request *restful.Request, response *restful.Response) {
	var faults PlatformFaults
	if err := request.ReadEntity(&faults); err != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
		return
	}
	p.SetFaults(faults)
	respond(response, faults, nil)
}

func (p *Platform) getCounts(_ *restful.Request, response *restful.Response) {
	respond(response, p.Counts(), nil)
}

func (p *Platform) putHosts(request *restful.Request, response *restful.Response) {
	var hosts []platform.Host
	if err := request.ReadEntity(&hosts); err != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
		return
	}
	p.SetHosts(hosts)
	respond(response, hosts, nil)
}

// respond writes the value as JSON, or the HTTP status for the error.
func respond(response *restful.Response, value any, err error) {
	response.PrettyPrint(false)
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	switch {
	case err == nil:
		_ = response.WriteAsJson(value)
	case errors.As(err, &conflict):
		_ = response.WriteHeaderAndJson(http.StatusConflict, conflict.Current, restful.MIME_JSON)
	case errors.As(err, &missing):
		_ = response.WriteErrorString(http.StatusNotFound, err.Error())
	case errors.Is(err, platform.ErrCompacted):
		_ = response.WriteErrorString(http.StatusGone, err.Error())
	default:
		_ = response.WriteErrorString(http.StatusServiceUnavailable, err.Error())
	}
}
