package directory

import (
	"slices"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
)

// Delta holds the changes of a directory since one of its sequence numbers.
type Delta struct {
	Objects      []platform.Object
	Hosts        []platform.Host
	HostsChanged bool
	// Dispatchers maps page names to host names.
	Dispatchers map[string]string
	Revision    uint64
	// Seq is the sequence number up to which this delta is complete.
	Seq uint64
}

// Filter reports whether a consumer needs a record. page is the decoded page if
// the object is one, and the zero value for other kinds.
type Filter func(object platform.Object, page record.Page) bool

// Since returns the changes after seq whose records pass the filter, and a
// channel that is closed at the next change.
func (d *Directory) Since(seq uint64, filter Filter) (Delta, <-chan struct{}) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	delta := Delta{Seq: d.seq, Revision: d.revision, Dispatchers: map[string]string{}}
	for _, known := range d.entries {
		if known.seq > seq && filter(known.object, d.pageOf(known.object)) {
			delta.Objects = append(delta.Objects, known.object)
		}
	}
	slices.SortFunc(delta.Objects, func(a, b platform.Object) int {
		return int(int64(a.Version) - int64(b.Version))
	})
	if d.hostsSeq > seq {
		delta.Hosts = slices.Clone(d.hosts)
		delta.HostsChanged = true
	}
	for page, changedAt := range d.dispatchersSeq {
		if changedAt > seq {
			delta.Dispatchers[page] = d.dispatchers[page]
		}
	}
	return delta, d.changed
}

// pageOf returns the decoded page of an object, or the zero value for other
// kinds. The caller holds d.mu.
func (d *Directory) pageOf(object platform.Object) record.Page {
	if object.Kind != record.KindPage {
		return record.Page{}
	}
	return d.pages[object.Name]
}

// ControllerFilter selects the records that a controller needs: those that its
// routers need, and the pages in whose current or old group its host is. A page
// changes each time a shard moves, so sending every page to all hosts of a domain
// would exceed the control traffic budget of each host.
func ControllerFilter(host, domain string) Filter {
	others := RouterFilter(domain)
	return func(object platform.Object, page record.Page) bool {
		if object.Kind == record.KindPage {
			return slices.Contains(page.Voters(), host)
		}
		return others(object, page)
	}
}

// RouterFilter selects the records that a router needs: all services, all
// declarations of loss, and the servers of its own domain. Deleted servers of any
// domain are included. Pages reach a router with its dispatch leases only, so
// that it has no assignment that it holds no lease for.
func RouterFilter(domain string) Filter {
	return func(object platform.Object, _ record.Page) bool {
		switch object.Kind {
		case record.KindService, record.KindLost:
			return true
		case record.KindServer:
			server, err := record.DecodeServer(object.Envelope)
			return object.Deleted || err == nil && server.Domain == domain
		}
		return false
	}
}
