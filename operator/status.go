package operator

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
	"cicadarouter/report"
)

// DomainStatus describes the configuration that is in force in a failure domain.
type DomainStatus struct {
	record.Enforced
	// InForce reports whether every daemon of the domain has applied the newest
	// configuration.
	InForce bool `json:"inForce"`
}

// Status describes in which failure domains the newest configuration is in force.
type Status struct {
	// Config is the highest version among the records that operators write.
	Config  uint64         `json:"config"`
	Domains []DomainStatus `json:"domains"`
}

// Status summarizes the failure domains' reports. It reads the store once, however
// many daemons there are.
func (c *Client) Status(ctx context.Context) (Status, error) {
	snapshot, err := c.store.List(ctx)
	if err != nil {
		return Status{}, err
	}
	var status Status
	for _, object := range snapshot.Objects {
		if object.Kind.WrittenByOperators() {
			status.Config = max(status.Config, object.Version)
		}
	}
	for _, object := range snapshot.Objects {
		if object.Kind != record.KindEnforced {
			continue
		}
		enforced, err := record.DecodeEnforced(object.Envelope)
		if err != nil {
			return Status{}, err
		}
		complete := enforced.Daemons >= enforced.Expected
		status.Domains = append(status.Domains, DomainStatus{
			Enforced: enforced,
			InForce:  complete && enforced.Config >= status.Config,
		})
	}
	slices.SortFunc(status.Domains, func(a, b DomainStatus) int { return strings.Compare(a.Domain, b.Domain) })
	return status, nil
}

// Burn returns the error budget burn of each service in each failure domain.
func (c *Client) Burn(ctx context.Context, now time.Time) ([]report.ServiceBurn, error) {
	snapshot, err := c.store.List(ctx)
	if err != nil {
		return nil, err
	}
	services := recordsAfter(nil, snapshot.Objects).services
	var lines []report.ServiceBurn
	for _, object := range snapshot.Objects {
		if object.Kind != record.KindBurn {
			continue
		}
		line, err := decodeBurn(now, services, object)
		if err != nil {
			return nil, err
		}
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b report.ServiceBurn) int {
		return strings.Compare(a.Service+a.Domain, b.Service+b.Domain)
	})
	return lines, nil
}

func decodeBurn(now time.Time, services map[string]record.Service, object platform.Object) (report.ServiceBurn, error) {
	var series report.Series
	if err := json.Unmarshal(object.Spec, &series); err != nil {
		return report.ServiceBurn{}, &record.FieldError{Record: object.Ref(), Field: "spec", Fix: err.Error()}
	}
	return report.Burn(now, services[series.Service], series), nil
}
