package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cicadarouter/contract/backend"
	"cicadarouter/contract/platform"
	"cicadarouter/contract/platform/memstore"
	"cicadarouter/directory"
	"cicadarouter/domain"
	"cicadarouter/host/clock"
	"cicadarouter/host/logs"
	"cicadarouter/link"
	"cicadarouter/ownership"
	"cicadarouter/record"
	"cicadarouter/router"
	"cicadarouter/standin"
)

// Config is the configuration of a site: one failure domain with one keyed service.
type Config struct {
	Hosts   int
	Pages   int
	Servers int
	// Shards is the number of shards for each server.
	Shards int
	// HTTP makes the servers listen on loopback for requests and grants, instead of being
	// called directly.
	HTTP bool
	// BasePort is the port of the first server.
	BasePort int
}

// The fixed parameters of a site.
const (
	domainName  = "a"
	serviceName = "split"
	slots       = 4
	connections = 130
)

// siteHost is a host: its router and controller daemons.
type siteHost struct {
	name       string
	router     *router.Router
	front      *router.Front
	controller *domain.Controller
	// The records as each of the two daemons knows them.
	routerDirectory      *directory.Directory
	controllerDirectory  *directory.Directory
	stop, stopController context.CancelFunc
}

// Site runs one failure domain.
type Site struct {
	config  Config
	store   *countingStore
	network *network
	hosts   []*siteHost
	fleet   *standin.Fleet
	servers map[string]*standin.Server
	running sync.WaitGroup
}

// Start starts a site.
func Start(config Config) (*Site, error) {
	s := &Site{
		config:  config,
		store:   &countingStore{Store: memstore.New()},
		network: newNetwork(),
		servers: map[string]*standin.Server{},
	}
	if err := s.startServers(); err != nil {
		return nil, err
	}
	if err := s.writeRecords(); err != nil {
		return nil, err
	}
	s.store.Store.(*memstore.Store).SetHosts(s.hostList(""))
	for i := range config.Hosts {
		s.hosts = append(s.hosts, s.startHost(i))
	}
	return s, nil
}

func (s *Site) fleetConfig() standin.FleetConfig {
	return standin.FleetConfig{
		ServerConfig: standin.ServerConfig{Service: serviceName, Slots: slots, ChecksTokens: true, ServiceTime: time.Millisecond},
		Domains:      []string{domainName},
		Count:        s.config.Servers,
		IP:           "127.0.0.1",
		BasePort:     s.config.BasePort,
		Connections:  connections,
	}
}

func (s *Site) startServers() error {
	config := s.fleetConfig()
	if s.config.HTTP {
		fleet, err := standin.StartFleet(config)
		s.fleet = fleet
		return err
	}
	for i := range config.Count {
		serverConfig := config.ServerConfig
		serverConfig.Name = config.ServerName(i)
		s.servers[serverConfig.Name] = standin.NewServer(serverConfig, clock.System(), rand.Uint64()|1)
	}
	return nil
}

func (s *Site) writeRecords() error {
	service := record.Service{
		Name: serviceName, Keyed: true, Domains: []string{domainName},
		PagesPerDomain: s.config.Pages, ShardsPerServer: s.config.Shards,
		WhenCutOff: record.CutOffStay, Weigh: record.WeighUnavailability, Fencing: record.FencingChecked,
		DeadlineMillis: 3000,
		Objectives:     record.Objectives{Availability: 0.999, LatencyMillis: 15, LatencyShare: 0.99},
	}
	envelope, err := service.Encode(record.SchemaV2)
	if err != nil {
		return err
	}
	if _, err := s.store.Store.Update(context.Background(), envelope, 0); err != nil {
		return err
	}
	for _, server := range s.fleetConfig().Records() {
		envelope, err := server.Encode(record.SchemaV2)
		if err != nil {
			return err
		}
		if _, err := s.store.Store.Update(context.Background(), envelope, 0); err != nil {
			return err
		}
	}
	return nil
}

func hostName(index int) string { return fmt.Sprintf("a-%03d", index) }

// hostList returns the platform's host list without the excluded host.
func (s *Site) hostList(excluded string) []platform.Host {
	var hosts []platform.Host
	for i := range s.config.Hosts {
		name := hostName(i)
		if name != excluded {
			hosts = append(hosts, platform.Host{Name: name, Domain: domainName, Link: name + "/c", RouterLink: name + "/r"})
		}
	}
	return hosts
}

func (s *Site) startHost(index int) *siteHost {
	name := hostName(index)
	ctx, stop := context.WithCancel(context.Background())
	controllerCtx, stopController := context.WithCancel(ctx)
	dir := directory.New()
	h := &siteHost{name: name, stop: stop, stopController: stopController, routerDirectory: dir, controllerDirectory: directory.New()}
	h.controller = domain.NewController(link.Identity{Host: name, Domain: domainName}, ownership.DefaultTerms(),
		domain.DefaultTiming(), s.store, h.controllerDirectory, s.network, s.dialer(), s.seeds(), clock.System(), logs.Discard())
	identity := link.Identity{Host: name, Domain: domainName}
	h.router = router.New(identity, router.DefaultLimits(), dir, s.network, clock.System(), time.Now, rand.Uint64()|1, logs.Discard())
	h.front = router.NewFront(h.router)
	s.network.mu.Lock()
	s.network.controlServers[name+"/c"] = domain.NewLinkServer(h.controller)
	s.network.dispatchServers[name+"/r"] = router.NewLinkServer(h.router)
	s.network.mu.Unlock()
	s.running.Go(func() { h.controller.Run(controllerCtx) })
	s.running.Go(func() { router.Feed(ctx, dir, s.network, identity, []string{name + "/c"}) })
	return h
}

// seeds returns the controller addresses of the first hosts, as they would be in a host's
// settings.
func (s *Site) seeds() domain.Seeds {
	var seeds domain.Seeds
	for i := range min(s.config.Hosts, 3) {
		seeds = append(seeds, hostName(i)+"/c")
	}
	return seeds
}

// dialer returns how controllers reach the servers: over HTTP, or by direct calls whose
// messages are counted.
func (s *Site) dialer() domain.ServerDialer {
	if s.config.HTTP {
		transport := &http.Transport{MaxIdleConnsPerHost: 2}
		return func(server record.Server) backend.Control {
			return backend.NewClient(server.Name, server.Address, transport)
		}
	}
	return func(server record.Server) backend.Control {
		return &countingControl{server: s.servers[server.Name], count: &s.network.servers}
	}
}

// httpOverhead is the overhead of HTTP/1.1 headers for a grant and its response.
const httpOverhead = 310

// countingControl calls a server directly and counts the messages and bytes that a network
// would carry.
type countingControl struct {
	server *standin.Server
	count  *traffic
}

// Grant implements backend.Control.
func (c *countingControl) Grant(ctx context.Context, grant ownership.Grant) (backend.Report, error) {
	report, err := c.server.Grant(ctx, grant)
	c.countMessages(grant, report)
	return report, err
}

// Report implements backend.Control.
func (c *countingControl) Report(ctx context.Context, page string) (backend.Report, error) {
	report, err := c.server.Report(ctx, page)
	c.countMessages(page, report)
	return report, err
}

func (c *countingControl) countMessages(in, out any) {
	request, _ := json.Marshal(in)
	response, _ := json.Marshal(out)
	c.count.messages.Add(2)
	c.count.bytes.Add(int64(len(request) + len(response) + httpOverhead))
}

// kill makes a host's daemons unreachable and stops them, like the failure of the host.
func (s *Site) kill(h *siteHost) {
	s.network.remove(h.name + "/c")
	s.network.remove(h.name + "/r")
	h.stop()
}

// killController makes a host's controller unreachable and stops it.
func (s *Site) killController(h *siteHost) {
	s.network.remove(h.name + "/c")
	h.stopController()
}

// killRouter makes a host's router unreachable.
func (s *Site) killRouter(h *siteHost) { s.network.remove(h.name + "/r") }

// replace starts new daemons, without records, under a killed host's name and addresses.
func (s *Site) replace(killed *siteHost) {
	for i, h := range s.hosts {
		if h == killed {
			s.hosts[i] = s.startHost(i)
		}
	}
}

// Close stops the site and waits until it has stopped.
func (s *Site) Close() {
	for _, h := range s.hosts {
		h.stop()
	}
	s.running.Wait()
	if s.fleet != nil {
		s.fleet.Close()
	}
}

// pages returns the page records in the store.
func (s *Site) pages() []record.Page {
	snapshot, _ := s.store.Store.List(context.Background())
	var pages []record.Page
	for _, object := range snapshot.Objects {
		if object.Kind != record.KindPage {
			continue
		}
		if page, err := record.DecodePage(object.Envelope); err == nil {
			pages = append(pages, page)
		}
	}
	return pages
}

// SettleError reports a site that did not assign all its keys in time.
type SettleError struct{ Pages, Unowned int }

// Error implements error.
func (e *SettleError) Error() string {
	return fmt.Sprintf("site did not settle: %d pages, %d shards without owner", e.Pages, e.Unowned)
}

// Settle waits until every shard has an owner.
func (s *Site) Settle(limit time.Duration) error {
	const pollInterval = 50 * time.Millisecond
	until := time.Now().Add(limit)
	for {
		pages := s.pages()
		unowned := 0
		for _, page := range pages {
			for _, shard := range page.Shards {
				if !shard.Grantable() {
					unowned++
				}
			}
		}
		if len(pages) == s.config.Pages && unowned == 0 {
			return nil
		}
		if time.Now().After(until) {
			return &SettleError{Pages: len(pages), Unowned: unowned}
		}
		time.Sleep(pollInterval)
	}
}
