package directory

import (
	"slices"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
)

// Delta is what changed in a directory since a point in its own order.
type Delta struct {
	Objects      []platform.Object
	Hosts        []platform.Host
	HostsChanged bool
	// Dispatchers maps pages to hosts.
	Dispatchers map[string]string
	Revision    uint64
	// Seq is the point that this delta reaches.
	Seq uint64
}

// Filter says which records a consumer needs. page is the decoded record of a
// page, and empty for other kinds.
type Filter func(object platform.Object, page record.Page) bool

// Since returns what changed after seq and passes the filter, and a channel
// that is closed at the next change.
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

// pageOf returns the decoded page of an object. The caller holds d.mu.
func (d *Directory) pageOf(object platform.Object) record.Page {
	if object.Kind != record.KindPage {
		return record.Page{}
	}
	return d.pages[object.Name]
}

// ControllerRecords passes what a controller needs: what its routers need, and
// the pages of whose groups its host is a member. A page changes with every move
// of a shard; sending it to all hosts of a domain would cost each of them more
// than its share of control.
func ControllerRecords(host, domain string) Filter {
	others := RouterRecords(domain)
	return func(object platform.Object, page record.Page) bool {
		if object.Kind == record.KindPage {
			return slices.Contains(page.Voters(), host)
		}
		return others(object, page)
	}
}

// RouterRecords passes what a router needs: all services and what operators
// declared lost, and its own domain's servers. Pages reach a router with its
// dispatch leases, so that it holds no other assignment.
func RouterRecords(domain string) Filter {
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
