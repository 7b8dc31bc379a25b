package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadarouter/record"
)

// Windows are the periods for which burn rates are computed, the shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Alarm is the urgency of a burn rate.
type Alarm string

// Each alarm requires a high burn rate in a long window, so that short bursts don't
// raise it, and in a short window, so that it clears soon after the failures stop.
const (
	AlarmNone Alarm = ""
	// AlarmPage is raised if the budget of a month would be spent in about two days.
	AlarmPage Alarm = "page"
	// AlarmTicket is raised if the budget of a month would be spent in five days.
	AlarmTicket Alarm = "ticket"
)

// Burn rates above which the alarms are raised.
const (
	pageBurnRate   = 14.4
	ticketBurnRate = 6
)

// Cause is a reason for bad requests and the number of requests that it affected.
type Cause struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// ServiceBurn is the error budget burn of one service in one failure domain.
type ServiceBurn struct {
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Availability and Latency are the burn rates by window: 1 spends the
	// budget exactly as fast as the objective allows.
	Availability []float64 `json:"availabilityBurn"`
	Latency      []float64 `json:"latencyBurn"`
	// BudgetLeft is the fraction of the availability budget of the longest window that
	// is left; it is negative if more than the budget is spent.
	BudgetLeft float64 `json:"budgetLeft"`
	// Requests is the number of requests in the longest window.
	Requests uint64  `json:"requests"`
	Alarm    Alarm   `json:"alarm"`
	Causes   []Cause `json:"causes,omitempty"`
}

// Burn computes the error budget burn of one service in one failure domain.
func Burn(now time.Time, service record.Service, series Series) ServiceBurn {
	line := ServiceBurn{Service: series.Service, Domain: series.Domain, Causes: topCauses(series.Causes)}
	objectives := service.Objectives
	for _, window := range Windows {
		count := series.Within(now, window)
		line.Availability = append(line.Availability, burnRate(count.Bad, count.Total, objectives.Availability))
		line.Latency = append(line.Latency, burnRate(count.Slow, count.Total, objectives.LatencyShare))
		line.Requests = count.Total
	}
	line.BudgetLeft = 1 - line.Availability[len(Windows)-1]
	line.Alarm = highestAlarm(line.Availability, line.Latency)
	return line
}

// burnRate returns the ratio of the failure rate to the one that the objective allows.
func burnRate(failed, total uint64, objective float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(failed) / float64(total) / (1 - objective)
}

func highestAlarm(rates ...[]float64) Alarm {
	worst := AlarmNone
	for _, burn := range rates {
		switch {
		case burn[0] > pageBurnRate && burn[1] > pageBurnRate:
			return AlarmPage
		case burn[1] > ticketBurnRate && burn[2] > ticketBurnRate:
			worst = AlarmTicket
		}
	}
	return worst
}

// maxCauses is the maximum number of causes in a Line.
const maxCauses = 3

func topCauses(causes map[string]uint64) []Cause {
	list := make([]Cause, 0, len(causes))
	for _, reason := range slices.Sorted(maps.Keys(causes)) {
		list = append(list, Cause{Reason: reason, Count: causes[reason]})
	}
	slices.SortStableFunc(list, func(a, b Cause) int { return cmp.Compare(b.Count, a.Count) })
	return list[:min(maxCauses, len(list))]
}
