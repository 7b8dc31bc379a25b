package router

// Status is the state of a router as shown to operators.
type Status struct {
	Host       string       `json:"host"`
	Domain     string       `json:"domain"`
	Revision   uint64       `json:"revision"`
	Leaving    bool         `json:"leaving"`
	InFlight   int64        `json:"inFlight"`
	Dispatches []PageStatus `json:"dispatches"`
}

// PageStatus is a page that a router holds a valid lease of.
type PageStatus struct {
	Page       string `json:"page"`
	Generation uint64 `json:"generation"`
}

// Status returns the router's state and the pages that it dispatches.
func (r *Router) Status() Status {
	status := Status{
		Host:     r.identity.Host,
		Domain:   r.identity.Domain,
		Revision: r.directory.Revision(),
		Leaving:  r.leaving.Load(),
		InFlight: r.inFlight.Load(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for name, held := range r.pages {
		if now < held.expiry() {
			status.Dispatches = append(status.Dispatches, PageStatus{Page: name, Generation: held.lease.Load().page.Generation})
		}
	}
	return status
}
