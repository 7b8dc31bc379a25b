package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"

	restful "github.com/emicklei/go-restful/v3"

	"cicadarouter/host/clock"
	"cicadarouter/record"
)

// FleetConfig configures fake backend servers that run in one process.
type FleetConfig struct {
	ServerConfig
	Domains     []string
	Count       int
	IP          string
	BasePort    int
	Connections int
}

// Fleet is a group of fake backend servers in one process.
type Fleet struct {
	config      FleetConfig
	servers     map[string]*Server
	listeners   []net.Listener
	httpServers []*http.Server
}

// ServerName returns the name of the server with the given index.
func (c FleetConfig) ServerName(index int) string {
	return fmt.Sprintf("%s-%02d", c.Service, index)
}

// Records returns the records of the fleet's servers.
func (c FleetConfig) Records() []record.Server {
	records := make([]record.Server, c.Count)
	for i := range records {
		records[i] = record.Server{
			Name:        c.ServerName(i),
			Service:     c.Service,
			Domain:      c.Domains[i%len(c.Domains)],
			Address:     net.JoinHostPort(c.IP, strconv.Itoa(c.BasePort+i)),
			Slots:       c.Slots,
			Connections: c.Connections,
			State:       record.ServerActive,
		}
	}
	return records
}

// StartFleet starts the servers, each listening on its own address.
func StartFleet(config FleetConfig) (*Fleet, error) {
	fleet := &Fleet{config: config, servers: map[string]*Server{}}
	for _, entry := range config.Records() {
		listener, err := net.Listen("tcp", entry.Address)
		if err != nil {
			fleet.Close()
			return nil, err
		}
		serverConfig := config.ServerConfig
		serverConfig.Name = entry.Name
		server := NewServer(serverConfig, clock.System(), rand.Uint64()|1)
		httpServer := &http.Server{Handler: server.Handler()}
		fleet.servers[entry.Name] = server
		fleet.listeners = append(fleet.listeners, listener)
		fleet.httpServers = append(fleet.httpServers, httpServer)
		go func() { _ = httpServer.Serve(listener) }()
	}
	return fleet, nil
}

// Close stops the servers immediately, without waiting for running requests.
func (f *Fleet) Close() {
	for _, httpServer := range f.httpServers {
		_ = httpServer.Close()
	}
}

// Server returns the named server.
func (f *Fleet) Server(name string) (*Server, bool) {
	server, ok := f.servers[name]
	return server, ok
}

// Runs returns the requests that took effect on all servers, ordered by time.
func (f *Fleet) Runs() []Run {
	var runs []Run
	for _, server := range f.servers {
		runs = append(runs, server.Runs()...)
	}
	slices.SortFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	return runs
}

// Handler returns the fleet's test control API: it lists the requests that took effect and
// sets the faults of each server.
func (f *Fleet) Handler() http.Handler {
	routes := new(restful.WebService)
	routes.Path("/standin").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	routes.Route(routes.GET("/runs").To(f.getRuns))
	routes.Route(routes.PUT("/servers/{name}/faults").To(f.putFaults))
	container := restful.NewContainer()
	container.Add(routes)
	return container
}

// getRuns writes one JSON line for each request that took effect.
func (f *Fleet) getRuns(_ *restful.Request, response *restful.Response) {
	encoder := json.NewEncoder(response)
	for _, run := range f.Runs() {
		if err := encoder.Encode(run); err != nil {
			return
		}
	}
}

func (f *Fleet) putFaults(request *restful.Request, response *restful.Response) {
	server, ok := f.Server(request.PathParameter("name"))
	if !ok {
		_ = response.WriteErrorString(http.StatusNotFound, "no such server")
		return
	}
	var faults ServerFaults
	if err := request.ReadEntity(&faults); err != nil {
		_ = response.WriteErrorString(http.StatusBadRequest, err.Error())
		return
	}
	server.SetFaults(faults)
	respond(response, faults, nil)
}
