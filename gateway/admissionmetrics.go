package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cicadarouter/balance"
)

// admissionMetrics returns the metrics of the services that are divided by priority now. They are
// collected anew each time, so that none is left of a service that is not divided any more.
func (g *Gateway) admissionMetrics() *metrics.Set {
	set := metrics.NewSet()
	for _, s := range g.allServices() {
		state, divided := s.admissionState()
		if !divided {
			continue
		}
		label := fmt.Sprintf("service=%q", s.name)
		addAdmissionCounts(set, label, &state)
		if s.view != nil {
			addGauge(set, `cicada_admission_limited{`+label+`,by="key"}`, float64(state.Keys))
			addGauge(set, `cicada_admission_limited{`+label+`,by="owner"}`, float64(state.Owners))
			continue
		}
		addGauge(set, `cicada_admission_age_seconds{`+label+`}`, state.Service.Age.Seconds())
		for class, each := range state.Service.Classes {
			if !class.Returning {
				addGauge(set, fmt.Sprintf(`cicada_admission_share{%s,priority="%d"}`, label, class.Priority), each.Fraction)
			}
		}
	}
	return set
}

func addAdmissionCounts(set *metrics.Set, label string, state *balance.AdmissionState) {
	for decision, counts := range map[string]map[int]uint64{"admitted": state.Admitted, "rejected": state.Rejected} {
		for priority, count := range counts {
			addCounter(set, fmt.Sprintf(`cicada_admission_total{%s,priority="%d",decision=%q}`, label, priority, decision), count)
		}
	}
	addCounter(set, `cicada_admission_forecast_errors_total{`+label+`,kind="rejected-with-room"}`, state.RejectedWithRoom)
	addCounter(set, `cicada_admission_forecast_errors_total{`+label+`,kind="held-then-rejected"}`, state.HeldThenRejected)
}

func addCounter(set *metrics.Set, name string, value uint64) { set.NewCounter(name).Set(value) }

func addGauge(set *metrics.Set, name string, value float64) { set.NewGauge(name, nil).Set(value) }
