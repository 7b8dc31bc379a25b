// Package admission divides the capacity of a service among priorities over all hosts, and
// decides which of its own requests each host admits.
//
// Load pattern: 80 hosts each receive 5 to 30 requests per second, of two or three priorities,
// for a service whose servers are full. No host sees enough requests to compare the priorities,
// so one host rejects its most urgent request while another sends its least urgent one. The
// controller adds up what all hosts were asked for and tells each the fraction of every class of
// requests to admit. A host with more demand thus admits more, and hosts need not exchange
// permits.
//
// The package is pure: it imports neither the network nor the clock.
package admission

import (
	"maps"
	"slices"
	"time"
)

const (
	// leastUrgentFloor is the fraction of the capacity that the least urgent priority keeps. It
	// lets a client account that sends only such requests get some of them served.
	leastUrgentFloor = 0.1
	// maxReturningShare is the fraction of a priority's capacity that returning requests get
	// before new ones. If they got all of it during lasting overload, every caller would be served
	// only at its second attempt, after its latency objective.
	maxReturningShare = 0.5
)

// Class is what admission tells apart within a service.
type Class struct {
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Returning is set if the caller was rejected before and came back.
	Returning bool
}

// Demand is the slot time that requests of each class asked for: their expected service times,
// summed up, whether or not they were admitted.
type Demand map[Class]time.Duration

// Fractions holds the fraction of the requests of each class to admit. A class that is missing is
// admitted in full.
type Fractions map[Class]float64

// Divide divides a capacity among classes by their demand, both in busy slots. It returns nil if
// the capacity suffices for all.
//
// More urgent priorities come first; the least urgent one keeps a floor.
func Divide(capacity float64, demand map[Class]float64) Fractions {
	byPriority, total := map[int]float64{}, 0.0
	for _, class := range slices.SortedFunc(maps.Keys(demand), Class.Compare) {
		if asked := demand[class]; asked > 0 {
			byPriority[class.Priority] += asked
			total += asked
		}
	}
	if total == 0 || total <= capacity {
		return nil
	}
	capacity = max(capacity, 0)
	priorities := slices.Sorted(maps.Keys(byPriority))
	leastUrgent := priorities[len(priorities)-1]
	floor := min(leastUrgentFloor*capacity, byPriority[leastUrgent])
	left := capacity - floor
	fractions := Fractions{}
	for _, priority := range priorities {
		if priority == leastUrgent {
			left += floor
		}
		given := min(byPriority[priority], left)
		left -= given
		divideByReturn(fractions, priority, given, demand)
	}
	return fractions
}

// divideByReturn divides what a priority gets between its returning and its new requests.
func divideByReturn(fractions Fractions, priority int, given float64, demand map[Class]float64) {
	back, first := Class{Priority: priority, Returning: true}, Class{Priority: priority}
	returning := min(demand[back], max(maxReturningShare*given, given-demand[first]))
	setFraction(fractions, back, returning, demand[back])
	setFraction(fractions, first, given-returning, demand[first])
}

func setFraction(fractions Fractions, class Class, given, asked float64) {
	if asked > 0 {
		fractions[class] = min(given/asked, 1)
	}
}

// sum returns the demand of all classes.
func sum(demand map[Class]float64) float64 {
	total := 0.0
	for _, class := range slices.SortedFunc(maps.Keys(demand), Class.Compare) {
		total += demand[class]
	}
	return total
}
