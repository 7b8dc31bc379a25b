package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadarouter/record"
)

// Windows are the stretches of time that burn is told for, the shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Alarm says how urgent a burn is.
type Alarm string

// The alarms. Each asks for a long window, so that it matters, and a short one,
// so that it ends when the trouble does.
const (
	AlarmNone Alarm = ""
	// AlarmPage: a month's budget would be gone in two days.
	AlarmPage Alarm = "page"
	// AlarmTicket: a month's budget would be gone in five days.
	AlarmTicket Alarm = "ticket"
)

// Burn rates that set the alarms off.
const (
	pageBurn   = 14.4
	ticketBurn = 6
)

// Cause is a reason for bad requests, with its number.
type Cause struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// Line is the burn of one service in one failure domain.
type Line struct {
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Availability and Latency are the burn rates by window: 1 spends the
	// budget exactly as fast as the objective allows.
	Availability []float64 `json:"availabilityBurn"`
	Latency      []float64 `json:"latencyBurn"`
	// BudgetLeft is the share of the budget of the longest window that is left.
	BudgetLeft float64 `json:"budgetLeft"`
	Requests   uint64  `json:"requests"`
	Alarm      Alarm   `json:"alarm"`
	Causes     []Cause `json:"causes,omitempty"`
}

// Burn computes the line of one service in one failure domain.
func Burn(now time.Time, service record.Service, series Series) Line {
	line := Line{Service: series.Service, Domain: series.Domain, Causes: topCauses(series.Causes)}
	objectives := service.Objectives
	for _, window := range Windows {
		count := series.Within(now, window)
		line.Availability = append(line.Availability, rate(count.Bad, count.Total, objectives.Availability))
		line.Latency = append(line.Latency, rate(count.Slow, count.Total, objectives.LatencyShare))
		line.Requests = count.Total
	}
	line.BudgetLeft = 1 - line.Availability[len(Windows)-1]
	line.Alarm = alarm(line.Availability, line.Latency)
	return line
}

// rate returns how many times faster than allowed requests fail.
func rate(failed, total uint64, objective float64) float64 {
	if total == 0 {
		return 0
	}
	return float64(failed) / float64(total) / (1 - objective)
}

func alarm(rates ...[]float64) Alarm {
	worst := AlarmNone
	for _, burn := range rates {
		switch {
		case burn[0] > pageBurn && burn[1] > pageBurn:
			return AlarmPage
		case burn[1] > ticketBurn && burn[2] > ticketBurn:
			worst = AlarmTicket
		}
	}
	return worst
}

// mostCauses is how many causes a line tells.
const mostCauses = 3

func topCauses(causes map[string]uint64) []Cause {
	list := make([]Cause, 0, len(causes))
	for _, reason := range slices.Sorted(maps.Keys(causes)) {
		list = append(list, Cause{Reason: reason, Count: causes[reason]})
	}
	slices.SortStableFunc(list, func(a, b Cause) int { return cmp.Compare(b.Count, a.Count) })
	return list[:min(mostCauses, len(list))]
}
