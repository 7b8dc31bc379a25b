package gateway

import (
	"context"
	"encoding/json"

	"cicadarouter/contract/objects"
	"cicadarouter/fleet"
)

// followServers follows the registry's entries of backend servers.
func (g *Gateway) followServers(ctx context.Context) {
	reader := &entryReader{gateway: g, reported: map[string]uint64{}}
	g.follow(ctx, follower{
		kind: g.registry.ServerKind(), batchDelay: batchDelay,
		onListing: func(listing objects.Listing) {
			versions := make([]fleet.Version, 0, len(listing.Objects))
			for _, object := range listing.Objects {
				versions = append(versions, reader.read(object))
			}
			g.mu.Lock()
			g.directory.Replace(g.now(), listing.Revision, versions)
			g.mu.Unlock()
			g.registryListed.Store(true)
			g.directoryChanged()
		},
		onChanges: func(listing objects.Listing) {
			gone := 0
			for _, object := range listing.Objects {
				g.applyServerChange(reader, object)
				if object.Deleted {
					gone++
				}
			}
			g.log.Info("servers changed", "revision", listing.Revision, "entries", len(listing.Objects), "gone", gone)
			g.directoryChanged()
		},
		onError: g.noteRegistryUnavailable,
	})
}

// noteRegistryUnavailable records that entries which are missing now may only not have been
// renewed, since the store is unavailable. The prober calls it as well, since only the prober
// keeps calling the store in that time.
func (g *Gateway) noteRegistryUnavailable(error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory.MarkUnavailable(g.now())
}

// applyServerChange applies one change of an entry.
func (g *Gateway) applyServerChange(reader *entryReader, object objects.Object) {
	if object.Deleted {
		g.mu.Lock()
		g.directory.Remove(g.now(), object.Name, object.Revision)
		g.mu.Unlock()
		if g.logsEntries() {
			g.log.Info("server entry gone", "server", object.Name, "revision", object.Revision)
		}
		return
	}
	version := reader.read(object)
	g.mu.Lock()
	verdict := g.directory.Put(g.now(), version)
	g.mu.Unlock()
	if verdict == fleet.Applied && !g.logsEntries() {
		return
	}
	g.log.Info("server entry", "server", version.Incarnation().String(), "service", version.Service, "draining", version.Draining,
		"unreadable", version.Unreadable, "revision", object.Revision, "verdict", verdict.String())
}

// logsEntries reports whether this host logs a line for each entry. A host that follows
// another one logs one line for several changes, with the revision by which the lines are
// found in the logs of the hosts that follow the store: with a line for each entry on every
// host, 295 hosts and 1,080 servers wrote four fifths of all lines, 216 MB in 27 s. An entry
// that a host refuses is always logged.
func (g *Gateway) logsEntries() bool { return g.freshness.currentSource(g.now()) == "" }

// directoryChanged passes the directory's changes to the services and wakes the controller.
func (g *Gateway) directoryChanged() {
	g.distributeServers()
	g.wakeControl()
}

// expireServers drops servers whose entries are still missing some time after an outage of the
// store.
func (g *Gateway) expireServers() {
	g.mu.Lock()
	changed := g.directory.Expire(g.now())
	g.mu.Unlock()
	if changed {
		g.log.Info("dropped servers whose entries did not come back")
		g.directoryChanged()
	}
}

// maxReportedEntries bounds the unreadable entries that are remembered as reported: any number
// of them may be written to the store.
const maxReportedEntries = 1024

// entryReader decodes entries. Others may write to the store what is not a valid entry; each
// version of such an entry is reported once, however often it is listed.
type entryReader struct {
	gateway  *Gateway
	reported map[string]uint64 // revision by name of the entry
}

// read returns the version of a server that an entry describes. A version that can't be
// decoded is marked as unreadable.
func (e *entryReader) read(object objects.Object) fleet.Version {
	server, err := e.decode(object)
	if err == nil {
		return fleet.Version{Server: server, Revision: object.Revision}
	}
	e.report(object, err)
	return fleet.Version{Server: fleet.Server{ID: object.Name}, Revision: object.Revision, Unreadable: true}
}

// decode decodes an entry in the registry's format or in the text form that hosts exchange.
func (e *entryReader) decode(object objects.Object) (fleet.Server, error) {
	if !isEntryText(object) {
		return e.gateway.registry.DecodeServer(object)
	}
	var text string
	if err := json.Unmarshal(object.Spec, &text); err != nil {
		return fleet.Server{}, err
	}
	return fleet.DecodeEntry(object.Name, text)
}

// report counts and logs an entry that can't be decoded, once for each version.
func (e *entryReader) report(object objects.Object, cause error) {
	if revision, known := e.reported[object.Name]; known && revision == object.Revision {
		return
	}
	if len(e.reported) >= maxReportedEntries {
		clear(e.reported)
	}
	e.reported[object.Name] = object.Revision
	e.gateway.metrics.unreadableEntries.Inc()
	if e.gateway.entryLogLimit.allow() {
		e.gateway.log.Error("invalid server entry", "server", object.Name, "revision", object.Revision, "error", cause.Error())
	}
}
