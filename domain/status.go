package domain

import "io"

// Status is the state of a controller as shown to operators.
type Status struct {
	Host     string   `json:"host"`
	Domain   string   `json:"domain"`
	Revision uint64   `json:"revision"`
	Pages    int      `json:"pages"`
	Rejected []string `json:"rejected,omitempty"`
}

// Status returns the controller's state.
func (c *Controller) Status() Status {
	status := Status{
		Host:     c.identity.Host,
		Domain:   c.identity.Domain,
		Revision: c.directory.Revision(),
		Pages:    len(c.directory.Pages()),
	}
	for ref, err := range c.directory.Rejected() {
		status.Rejected = append(status.Rejected, ref.String()+": "+err.Error())
	}
	return status
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (c *Controller) WriteMetrics(out io.Writer) { c.meters.set.WritePrometheus(out) }
