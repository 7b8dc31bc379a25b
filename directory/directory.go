// Package directory holds a process's local copy of the records and of the host
// list. It keeps the highest version of each record that it has received and
// ignores lower ones from any source, so that accepted configuration never
// reverts, even if a peer sends outdated records.
package directory

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
)

// entry is a record with the local sequence number of its last change.
type entry struct {
	object platform.Object
	seq    uint64
}

// Directory is the local copy of the records and hosts. It is safe for
// concurrent use.
type Directory struct {
	mu       sync.RWMutex
	seq      uint64
	revision uint64
	// configVersion is the highest version of any record that operators write.
	configVersion uint64
	entries       map[record.Ref]entry
	services      map[string]record.Service
	servers       map[string]record.Server
	pages         map[string]record.Page
	lost          map[string]record.Lost
	// pageServers caches which servers are assigned to each page.
	pageServers map[serviceDomain]map[int][]record.Server
	rejected    map[record.Ref]error

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
		pageServers:    map[serviceDomain]map[int][]record.Server{},
		rejected:       map[record.Ref]error{},
		dispatchers:    map[string]string{},
		dispatchersSeq: map[string]uint64{},
		changed:        make(chan struct{}),
	}
}

// Apply stores the objects that are newer than the local ones, and advances the
// local revision to the source's store revision if that is higher. It returns
// the references of the accepted objects.
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
		d.notifyChanged()
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
		clear(d.pageServers)
	}
	if object.Kind.WrittenByOperators() {
		d.configVersion = max(d.configVersion, object.Version)
	}
	delete(d.rejected, ref)
	if err := d.index(object); err != nil {
		d.rejected[ref] = err
	}
	return true
}

// index decodes an object into the map of its type. If an object cannot be
// decoded, the last valid version stays in use.
func (d *Directory) index(object platform.Object) error {
	switch object.Kind {
	case record.KindService:
		return decodeInto(d.services, object, record.DecodeService)
	case record.KindServer:
		return decodeInto(d.servers, object, record.DecodeServer)
	case record.KindPage:
		return decodeInto(d.pages, object, record.DecodePage)
	case record.KindLost:
		return decodeInto(d.lost, object, record.DecodeLost)
	}
	return nil
}

func decodeInto[T any](values map[string]T, object platform.Object, decode func(record.Envelope) (T, error)) error {
	if object.Deleted {
		delete(values, object.Name)
		return nil
	}
	value, err := decode(object.Envelope)
	if err != nil {
		return err
	}
	values[object.Name] = value
	return nil
}

func (d *Directory) notifyChanged() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetHosts replaces the host list and reports whether it changed. An empty list
// is ignored: this process itself runs on a host, so an empty list can only come
// from a failing platform.
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
	d.notifyChanged()
	return true
}

// SetDispatcher records which host's router dispatches a page. The value is a
// hint and may be out of date.
func (d *Directory) SetDispatcher(page, host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if host == "" || d.dispatchers[page] == host {
		return
	}
	d.seq++
	d.dispatchers[page] = host
	d.dispatchersSeq[page] = d.seq
	d.notifyChanged()
}

// Dispatcher returns the host whose router was last known to dispatch the page,
// or "".
func (d *Directory) Dispatcher(page string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.dispatchers[page]
}

// Revision returns the store revision up to which this directory is current.
func (d *Directory) Revision() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.revision
}

// ConfigVersion returns the highest version of any operator-written record that this
// directory has accepted.
func (d *Directory) ConfigVersion() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.configVersion
}

// Service returns a service's record.
func (d *Directory) Service(name string) (record.Service, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	service, ok := d.services[name]
	return service, ok
}

// Services returns all services, sorted by name.
func (d *Directory) Services() []record.Service {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return sortedByName(d.services)
}

// Server returns a backend server's record.
func (d *Directory) Server(name string) (record.Server, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	server, ok := d.servers[name]
	return server, ok
}

// Servers returns the backend servers of a service in a failure domain, sorted
// by name.
func (d *Directory) Servers(service, domain string) []record.Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.serversOf(service, domain)
}

// serversOf implements Servers. The caller holds d.mu.
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

// serviceDomain identifies the servers of a service in a failure domain.
type serviceDomain struct{ service, domain string }

// PageServers returns the backend servers of the service in the page's home
// domain that are assigned to the page.
func (d *Directory) PageServers(service record.Service, home string, index int) []record.Server {
	key := serviceDomain{service.Name, home}
	domainIndex := index / max(len(service.Domains), 1)
	d.mu.RLock()
	cached, known := d.pageServers[key]
	d.mu.RUnlock()
	if known {
		return cached[domainIndex]
	}
	// Compute and cache under one lock. A server added between the two steps
	// would clear the cache too early and be missing from it until the next
	// change of a server or service.
	d.mu.Lock()
	defer d.mu.Unlock()
	serversByPage := d.assignToPages(service, home)
	d.pageServers[key] = serversByPage
	return serversByPage[domainIndex]
}

// assignToPages assigns a domain's servers to its pages. The caller holds d.mu.
func (d *Directory) assignToPages(service record.Service, home string) map[int][]record.Server {
	servers := d.serversOf(service.Name, home)
	serversByPage := map[int][]record.Server{}
	pageOfServer := record.AssignToPages(servers, max(service.PagesPerDomain, 1))
	for _, server := range servers {
		serversByPage[pageOfServer[server.Name]] = append(serversByPage[pageOfServer[server.Name]], server)
	}
	return serversByPage
}

// Page returns a page and its stored version.
func (d *Directory) Page(name string) (record.Page, uint64, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	page, ok := d.pages[name]
	ref := record.Ref{Kind: record.KindPage, Name: name}
	return page, d.entries[ref].object.Version, ok
}

// Pages returns all pages, sorted by name.
func (d *Directory) Pages() []record.Page {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return sortedByName(d.pages)
}

// Lost returns the targets of the scope that operators have declared lost.
func (d *Directory) Lost(scope record.LostScope) []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var targets []string
	for _, lost := range sortedByName(d.lost) {
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

// Rejected returns the records whose latest version cannot be decoded, with the
// error. The last valid version of each stays in use.
func (d *Directory) Rejected() map[record.Ref]error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return maps.Clone(d.rejected)
}

// Object returns a record's latest object, including the marker of a deleted one.
func (d *Directory) Object(ref record.Ref) (platform.Object, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	found, ok := d.entries[ref]
	return found.object, ok
}

func sortedByName[T any](values map[string]T) []T {
	names := slices.Sorted(maps.Keys(values))
	list := make([]T, 0, len(names))
	for _, name := range names {
		list = append(list, values[name])
	}
	return list
}
