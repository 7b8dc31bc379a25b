package gateway

import (
	"context"

	"cicadarouter/contract/objects"
)

// followEvacuations follows the operators' requests that a failure domain's servers
// get nothing.
func (g *Gateway) followEvacuations(ctx context.Context) {
	g.follow(ctx, follower{kind: g.registry.Evacuations(), onListing: g.replaceEvacuations, onChanges: g.changeEvacuations, onError: func(error) {}})
}

// replaceEvacuations takes all that are asked for.
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

// changeEvacuations takes changes.
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

// changeEvacuation takes one change, and reports whether it was news.
func (g *Gateway) changeEvacuation(domain string, object objects.Object) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if object.Deleted {
		return g.directory.Evacuations.End(g.now(), domain, object.Revision)
	}
	return g.directory.Evacuations.Begin(domain, object.Revision)
}

// evacuatedDomain returns the domain that a request names.
func (g *Gateway) evacuatedDomain(object objects.Object) (domain string, ok bool) {
	domain, err := g.registry.Evacuation(object)
	if err != nil {
		g.log.Error("evacuation left aside", "name", object.Name, "revision", object.Revision, "error", err.Error())
		return "", false
	}
	return domain, true
}

// evacuationsChanged puts in force what has changed.
func (g *Gateway) evacuationsChanged(listing objects.Listing, changed []string) {
	if len(changed) == 0 {
		return
	}
	g.mu.Lock()
	evacuated := g.directory.Evacuations.Domains()
	g.directory.TouchAll()
	g.mu.Unlock()
	g.log.Info("evacuations changed", "revision", listing.Revision, "domains", changed, "evacuated", evacuated,
		"store-age-ms", g.fresh.currentAge(g.now()).Milliseconds())
	g.directoryChanged()
}
