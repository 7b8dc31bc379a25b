package gateway

// coordinationService is the name of a service without servers and requests. Deployments in
// which no service is divided by key have it, so that they have a controller too: one process,
// named in the store, that passes on state between hosts, counts them, and grants reservations
// at rate-limited servers.
const coordinationService = "cicada-hosts"

// ensureController ensures that there is a controller if no service is divided by key. Once
// created, the service is never removed.
func (g *Gateway) ensureController() {
	if len(g.keyedServices()) == 0 {
		g.keyedService(coordinationService)
	}
}

// coordinatingService returns the service whose controller does the work for all hosts that is
// not tied to keys, or nil. All hosts choose the same one, since they see the same records.
func (g *Gateway) coordinatingService() *service {
	var first *service
	for _, s := range g.keyedServices() {
		if s.name == coordinationService {
			return s
		}
		if first == nil || s.name < first.name {
			first = s
		}
	}
	return first
}
