package gateway

// coordination is the name of a service without servers and requests. Deployments in which
// no service is divided by key have it, so that they too have a controller: one process that
// the store names, which passes news on between hosts, counts them, and gives out places at
// limited servers.
const coordination = "cicada-hosts"

// coordinate sees to it that there is a controller if no service is divided by key. Once
// there is one it stays.
func (g *Gateway) coordinate() {
	if len(g.keyedServices()) == 0 {
		g.keyedService(coordination)
	}
}

// firstController returns the service whose controller serves all hosts beyond its keys, or
// nil. All hosts choose the same: they follow the same records.
func (g *Gateway) firstController() *service {
	var first *service
	for _, s := range g.keyedServices() {
		if s.name == coordination {
			return s
		}
		if first == nil || s.name < first.name {
			first = s
		}
	}
	return first
}
