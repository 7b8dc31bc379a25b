package gateway

import (
	"context"

	"cicadarouter/contract/objects"
)

// An evacuation is an operator's request that no traffic go to the servers of a failure domain.

// followEvacuations keeps the evacuations in step with the store.
func (g *Gateway) followEvacuations(ctx context.Context) {
	g.follow(ctx, follower{kind: g.registry.EvacuationKind(), onListing: g.replaceEvacuations, onChanges: g.changeEvacuations, onError: func(error) {}})
}

// replaceEvacuations applies a complete list of the evacuations.
func (g *Gateway) replaceEvacuations(listing objects.Listing) {
	listed := make(map[string]uint64, len(listing.Objects))
	for _, object := range listing.Objects {
		if domain, ok := g.evacuatedDomain(object); ok {
			listed[domain] = object.Revision
		}
	}
	g.mu.Lock()
	changed := g.directory.Evacuations.Replace(g.now(), listing.Revision, listed)
	g.mu.Unlock()
	g.evacuationsListed.Store(true)
	g.evacuationsChanged(listing, changed)
}

// changeEvacuations applies changes of single evacuations.
func (g *Gateway) changeEvacuations(listing objects.Listing) {
	var changed []string
	for _, object := range listing.Objects {
		domain, ok := g.evacuatedDomain(object)
		if !ok {
			continue
		}
		if g.changeEvacuation(domain, object) {
			changed = append(changed, domain)
		}
	}
	g.evacuationsChanged(listing, changed)
}

// changeEvacuation applies one change, and reports whether it had an effect.
func (g *Gateway) changeEvacuation(domain string, object objects.Object) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if object.Deleted {
		return g.directory.Evacuations.End(g.now(), domain, object.Revision)
	}
	return g.directory.Evacuations.Begin(domain, object.Revision)
}

// evacuatedDomain returns the failure domain that an evacuation names. ok is false if the
// object can't be decoded.
func (g *Gateway) evacuatedDomain(object objects.Object) (domain string, ok bool) {
	domain, err := g.registry.DecodeEvacuation(object)
	if err != nil {
		g.log.Error("evacuation ignored: it can't be decoded", "name", object.Name, "revision", object.Revision, "error", err.Error())
		return "", false
	}
	return domain, true
}

// evacuationsChanged makes changed evacuations take effect on the services.
func (g *Gateway) evacuationsChanged(listing objects.Listing, changed []string) {
	if len(changed) == 0 {
		return
	}
	g.mu.Lock()
	evacuated := g.directory.Evacuations.Domains()
	g.directory.MarkAllChanged()
	g.mu.Unlock()
	g.log.Info("evacuations changed", "revision", listing.Revision, "domains", changed, "evacuated", evacuated,
		"store-age-ms", g.freshness.currentAge(g.now()).Milliseconds())
	g.directoryChanged()
}
