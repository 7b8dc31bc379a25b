// Package directory is a process's copy of the records and of the host list. It
// keeps the highest version of each record that it has seen and refuses lower
// ones, whoever sends them: accepted configuration never reverts, not even for
// a process that is fed by a stale peer.
package directory

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
)

// entry is a record with the local order in which it was learned.
type entry struct {
	object platform.Object
	seq    uint64
}

// Directory is safe for concurrent use.
type Directory struct {
	mu       sync.RWMutex
	seq      uint64
	revision uint64
	// config is the newest version of an operator's record.
	config   uint64
	entries  map[record.Ref]entry
	services map[string]record.Service
	servers  map[string]record.Server
	pages    map[string]record.Page
	lost     map[string]record.Lost
	// spread caches the division of servers among pages.
	spread   map[spreadKey]map[int][]record.Server
	rejected map[record.Ref]error

	hosts       []platform.Host
	hostsByName map[string]platform.Host
	hostsSeq    uint64

	dispatchers    map[string]string
	dispatchersSeq map[string]uint64

	changed chan struct{}
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		entries:        map[record.Ref]entry{},
		services:       map[string]record.Service{},
		servers:        map[string]record.Server{},
		pages:          map[string]record.Page{},
		lost:           map[string]record.Lost{},
		spread:         map[spreadKey]map[int][]record.Server{},
		rejected:       map[record.Ref]error{},
		dispatchers:    map[string]string{},
		dispatchersSeq: map[string]uint64{},
		changed:        make(chan struct{}),
	}
}

// Apply takes objects from any source, and the store's revision that the source
// has reached. It returns the references whose newer version was accepted.
func (d *Directory) Apply(objects []platform.Object, revision uint64) []record.Ref {
	d.mu.Lock()
	defer d.mu.Unlock()
	var accepted []record.Ref
	for _, object := range objects {
		if d.accept(object) {
			accepted = append(accepted, object.Ref())
		}
	}
	advanced := revision > d.revision
	d.revision = max(d.revision, revision)
	if len(accepted) > 0 || advanced {
		d.wake()
	}
	return accepted
}

func (d *Directory) accept(object platform.Object) bool {
	ref := object.Ref()
	if object.Version <= d.entries[ref].object.Version {
		return false
	}
	d.seq++
	d.entries[ref] = entry{object: object, seq: d.seq}
	if object.Kind == record.KindServer || object.Kind == record.KindService {
		clear(d.spread)
	}
	if object.Kind.Operators() {
		d.config = max(d.config, object.Version)
	}
	delete(d.rejected, ref)
	if err := d.index(object); err != nil {
		d.rejected[ref] = err
	}
	return true
}

// index decodes an object into its typed map. An object that does not decode
// leaves the last good one in force.
func (d *Directory) index(object platform.Object) error {
	switch object.Kind {
	case record.KindService:
		return put(d.services, object, record.DecodeService)
	case record.KindServer:
		return put(d.servers, object, record.DecodeServer)
	case record.KindPage:
		return put(d.pages, object, record.DecodePage)
	case record.KindLost:
		return put(d.lost, object, record.DecodeLost)
	}
	return nil
}

func put[T any](into map[string]T, object platform.Object, decode func(record.Envelope) (T, error)) error {
	if object.Deleted {
		delete(into, object.Name)
		return nil
	}
	value, err := decode(object.Envelope)
	if err != nil {
		return err
	}
	into[object.Name] = value
	return nil
}

func (d *Directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetHosts replaces the host list. An empty list is ignored: it is what a
// failing platform would give, and every process lives on a host.
func (d *Directory) SetHosts(hosts []platform.Host) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(hosts) == 0 || slices.Equal(hosts, d.hosts) {
		return false
	}
	d.seq++
	d.hosts = slices.Clone(hosts)
	d.hostsByName = make(map[string]platform.Host, len(hosts))
	for _, host := range hosts {
		d.hostsByName[host.Name] = host
	}
	d.hostsSeq = d.seq
	d.wake()
	return true
}

// SetDispatcher notes which host's router dispatches a page. It is a hint.
func (d *Directory) SetDispatcher(page, host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if host == "" || d.dispatchers[page] == host {
		return
	}
	d.seq++
	d.dispatchers[page] = host
	d.dispatchersSeq[page] = d.seq
	d.wake()
}

// Dispatcher returns the host whose router was last known to dispatch the page.
func (d *Directory) Dispatcher(page string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.dispatchers[page]
}

// Revision returns the store's revision that this directory has reached.
func (d *Directory) Revision() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// Config returns the newest version of an operator's record that is in force here.
func (d *Directory) Config() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.config
}

// Service returns a service's record.
func (d *Directory) Service(name string) (record.Service, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	service, ok := d.services[name]
	return service, ok
}

// Services returns all services, by name.
func (d *Directory) Services() []record.Service {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return sorted(d.services)
}

// Server returns a backend server's record.
func (d *Directory) Server(name string) (record.Server, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	server, ok := d.servers[name]
	return server, ok
}

// Servers returns the backend servers of a service in a failure domain, by name.
func (d *Directory) Servers(service, domain string) []record.Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serversOf(service, domain)
}

// serversOf is Servers for callers that hold d.mu.
func (d *Directory) serversOf(service, domain string) []record.Server {
	var found []record.Server
	for _, server := range d.servers {
		if server.Service == service && server.Domain == domain {
			found = append(found, server)
		}
	}
	slices.SortFunc(found, func(a, b record.Server) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// spreadKey names the servers of a service in a failure domain.
type spreadKey struct{ service, domain string }

// PageServers returns the backend servers that belong to a page: those of its
// service in its home domain that fall to it.
func (d *Directory) PageServers(service record.Service, home string, index int) []record.Server {
	key := spreadKey{service.Name, home}
	slot := index / max(len(service.Domains), 1)
	d.mu.RLock()
	cached, known := d.spread[key]
	d.mu.RUnlock()
	if known {
		return cached[slot]
	}
	// Divided and kept under one lock: a server that came between the two would
	// be missing from what is kept until the next one comes.
	d.mu.Lock()
	defer d.mu.Unlock()
	divided := d.divide(service, home)
	d.spread[key] = divided
	return divided[slot]
}

// divide deals a domain's servers out to its pages. The caller holds d.mu.
func (d *Directory) divide(service record.Service, home string) map[int][]record.Server {
	servers := d.serversOf(service.Name, home)
	divided := map[int][]record.Server{}
	placed := record.Spread(servers, max(service.PagesPerDomain, 1))
	for _, server := range servers {
		divided[placed[server.Name]] = append(divided[placed[server.Name]], server)
	}
	return divided
}

// Page returns a page and the version it is stored under.
func (d *Directory) Page(name string) (record.Page, uint64, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	page, ok := d.pages[name]
	ref := record.Ref{Kind: record.KindPage, Name: name}
	return page, d.entries[ref].object.Version, ok
}

// Pages returns all pages, by name.
func (d *Directory) Pages() []record.Page {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return sorted(d.pages)
}

// Lost returns what operators have declared lost in a scope.
func (d *Directory) Lost(scope record.LostScope) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var targets []string
	for _, lost := range sorted(d.lost) {
		if lost.Scope == scope {
			targets = append(targets, lost.Target)
		}
	}
	return targets
}

// Hosts returns the host list.
func (d *Directory) Hosts() []platform.Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return slices.Clone(d.hosts)
}

// Host returns the named host.
func (d *Directory) Host(name string) (platform.Host, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	host, ok := d.hostsByName[name]
	return host, ok
}

// Rejected returns the records that do not decode, with the reason. The last
// good version of each stays in force.
func (d *Directory) Rejected() map[record.Ref]error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return maps.Clone(d.rejected)
}

// Object returns the stored form of a record, deleted or not.
func (d *Directory) Object(ref record.Ref) (platform.Object, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	found, ok := d.entries[ref]
	return found.object, ok
}

func sorted[T any](values map[string]T) []T {
	names := slices.Sorted(maps.Keys(values))
	list := make([]T, 0, len(names))
	for _, name := range names {
		list = append(list, values[name])
	}
	return list
}
