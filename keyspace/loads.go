package keyspace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cicadarouter/admission"
)

const (
	// loadTimeConstant is the time constant of the measured load. A group of keys that
	// becomes busy is noticed within two reports of the hosts.
	loadTimeConstant = 1500 * time.Millisecond
	// minRate is the number of busy slots below which a key's load is dropped.
	minRate = 0.002
)

// KeyLoads is the smoothed demand for each key, in slots: how many slots the owner would
// have busy if it could accept every request. The number of requests that a fully loaded
// owner serves does not show how many more are wanted.
//
// Load pattern: hundreds of hosts report twice a second, with tens of thousands of keys each
// requested occasionally. All loads decay at the same rate, so they are stored relative to
// one time, base, and later additions are scaled up. Only a change of the base visits every
// key. Decaying every key at each report cost a controller with 300 hosts 18 ms per half
// second (go test -bench Reports).
type KeyLoads struct {
	// rates are the loads in slots relative to base; later additions have a larger weight.
	rates      map[uint16]float64
	base       time.Duration
	lastReport time.Duration
	// serviceTime is how long one request occupies a slot.
	serviceTime time.Duration
	// urgent are the parts of rates that belong to priorities more urgent than leastUrgent.
	urgent      map[int]map[uint16]float64
	leastUrgent int
}

// rebaseInterval is how long the base is kept: a few time constants, so that most keys
// below minRate are dropped soon.
const rebaseInterval = 2 * loadTimeConstant

// NewKeyLoads returns an empty KeyLoads.
func NewKeyLoads() *KeyLoads {
	return &KeyLoads{rates: map[uint16]float64{}, urgent: map[int]map[uint16]float64{}}
}

// Any reports whether any key has been requested recently.
func (k *KeyLoads) Any() bool { return len(k.rates) > 0 }

// Add adds the slot time that requests for keys demanded at one host, up to now.
// serviceTime is how long one request occupies a slot.
func (k *KeyLoads) Add(now time.Duration, demand map[uint16]time.Duration, serviceTime time.Duration) {
	k.lastReport, k.serviceTime = now, serviceTime
	if now-k.base >= rebaseInterval {
		k.rebase(now)
	}
	k.addTo(k.rates, now, demand)
}

// AddUrgent adds the part of the demand of one report that belongs to a priority more urgent
// than the service's least urgent one. It follows Add, which takes the whole demand, for the
// same report.
func (k *KeyLoads) AddUrgent(now time.Duration, priority int, demand map[uint16]time.Duration) {
	k.leastUrgent = max(k.leastUrgent, priority+1)
	rates := k.urgent[priority]
	if rates == nil {
		rates = map[uint16]float64{}
		k.urgent[priority] = rates
	}
	k.addTo(rates, now, demand)
}

// SetLeastUrgent sets the least urgent priority of the service, to which all demand belongs
// that AddUrgent does not take. Until it is called, this is the priority after the least urgent
// one that AddUrgent has taken; a service whose priorities have gaps has to set it.
func (k *KeyLoads) SetLeastUrgent(priority int) { k.leastUrgent = priority }

func (k *KeyLoads) addTo(rates map[uint16]float64, now time.Duration, demand map[uint16]time.Duration) {
	scale := 1 / decayFactor(now-k.base)
	for key, slotTime := range demand {
		rates[key] += scale * float64(slotTime) / float64(loadTimeConstant)
	}
}

// decayFactor is the fraction of a load that is left after some time.
func decayFactor(d time.Duration) float64 { return math.Exp(-float64(d) / float64(loadTimeConstant)) }

// rebase converts all loads to be relative to now, and drops the smallest ones.
func (k *KeyLoads) rebase(now time.Duration) {
	factor := decayFactor(now - k.base)
	k.base = now
	rebaseRates(k.rates, factor)
	for priority, rates := range k.urgent {
		if rebaseRates(rates, factor); len(rates) == 0 {
			delete(k.urgent, priority)
		}
	}
}

func rebaseRates(rates map[uint16]float64, factor float64) {
	for key, rate := range rates {
		if rate *= factor; rate < minRate {
			delete(rates, key)
			continue
		}
		rates[key] = rate
	}
}

// byPriority divides the load of a key among the priorities. If reports give the urgent ones
// more than the whole, as after a report that came in part, nothing is left for the others.
func (k *KeyLoads) byPriority(asked keyRate) map[admission.Class]float64 {
	factor := decayFactor(k.lastReport - k.base)
	demand, left := map[admission.Class]float64{}, asked.rate
	for _, priority := range slices.Sorted(maps.Keys(k.urgent)) {
		part := min(left, factor*k.urgent[priority][asked.key])
		if part > 0 && priority != k.leastUrgent {
			demand[admission.Class{Priority: priority}] = part
			left -= part
		}
	}
	if left > 0 {
		demand[admission.Class{Priority: k.leastUrgent}] = left
	}
	return demand
}

// forEach calls visit for the load of every key, in key order.
func (k *KeyLoads) forEach(visit func(keyRate)) {
	factor := decayFactor(k.lastReport - k.base)
	for _, key := range slices.Sorted(maps.Keys(k.rates)) {
		if rate := factor * k.rates[key]; rate >= minRate {
			visit(keyRate{key: key, rate: rate})
		}
	}
}

// stdDev is the standard deviation of a measured load, which comes from the random arrival
// of the most recent requests.
func (k *KeyLoads) stdDev(load float64) float64 {
	return math.Sqrt(load * float64(k.serviceTime) / float64(loadTimeConstant))
}

// keyRate is the load of one key.
type keyRate struct {
	key  uint16
	rate float64
}

// loadModel is the load of the servers while a plan is made.
type loadModel struct {
	loads     *KeyLoads
	capacity  map[string]float64
	load      map[string]float64
	keys      map[string][]keyRate
	demand    []keyRate      // all requested keys, in order
	keyCounts map[string]int // number of keys by owner
	// saturated contains the servers to which this plan moves a key that saturates them.
	saturated map[string]bool
	serverIDs []string
	// receivers are the servers to which keys may be moved.
	receivers []string
	// planned has the ranges as the moves of the plan leave them; those that it moves are
	// marked as moving.
	planned *Record
	// rangesLeft is how many ranges may be added. Adjacent ranges of one owner count as one,
	// because they are merged. It is negative if the moves of lost servers' keys have exceeded
	// the maximum.
	rangesLeft int
	// splitsLeft is how many ranges may be split. It bounds the ranges that exist until moves
	// have ended and ranges are merged.
	splitsLeft int
}

func newLoadModel(record *Record, servers []Server, loads *KeyLoads, limit int) *loadModel {
	l := &loadModel{loads: loads, planned: &Record{Ranges: slices.Clone(record.Ranges)}, capacity: map[string]float64{}, load: map[string]float64{}, keys: map[string][]keyRate{}, keyCounts: map[string]int{}, saturated: map[string]bool{}}
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		l.capacity[server.ID] = server.capacity()
		l.serverIDs = append(l.serverIDs, server.ID)
		if !server.Unresponsive {
			l.receivers = append(l.receivers, server.ID)
		}
	}
	slices.Sort(l.serverIDs)
	slices.Sort(l.receivers)
	loads.forEach(func(asked keyRate) {
		l.demand = append(l.demand, asked)
		r := record.RangeOf(asked.key)
		if r == nil {
			return
		}
		l.load[r.Server] += asked.rate
		if !r.Moving() { // keys that are still moving can't be moved again
			l.keys[r.Server] = append(l.keys[r.Server], asked)
		}
	})
	for _, r := range record.Ranges {
		l.keyCounts[r.Server] += int(r.To) - int(r.From) + 1
	}
	l.rangesLeft = limit - mergedRanges(record)
	l.splitsLeft = limit + rangesAddedByMove*l.maxMoves() - len(record.Ranges)
	return l
}

// busyIn returns the requested keys of a range, in order.
func (l *loadModel) busyIn(r *Range) []keyRate {
	from, _ := slices.BinarySearchFunc(l.demand, r.From, func(k keyRate, key uint16) int { return cmp.Compare(k.key, key) })
	to := from
	for to < len(l.demand) && l.demand[to].key <= r.To {
		to++
	}
	return l.demand[from:to]
}

// utilization is the load of a server divided by its capacity.
func (l *loadModel) utilization(name string) float64 { return l.load[name] / l.capacity[name] }

// leastUtilized returns the receiver with the lowest utilization, then the fewest keys.
func (l *loadModel) leastUtilized() string {
	return slices.MinFunc(l.receivers, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.utilization(a), l.utilization(b)), cmp.Compare(l.keyCounts[a], l.keyCounts[b]))
	})
}

// overloaded returns the servers that have more than their share, the most utilized first.
// share is the mean utilization of all servers.
func (l *loadModel) overloaded(share float64) []string {
	var over []string
	for _, name := range l.serverIDs {
		load, fair := l.load[name], share*l.capacity[name]
		if load > minUtilization*l.capacity[name] && load > fair*overloadTolerance+l.loads.stdDev(load) {
			over = append(over, name)
		}
	}
	slices.SortStableFunc(over, func(a, b string) int { return cmp.Compare(l.utilization(b), l.utilization(a)) })
	return over
}

// meanUtilization is the load of all servers divided by their capacity.
func (l *loadModel) meanUtilization() float64 {
	load, capacity := 0.0, 0.0
	for _, name := range l.serverIDs {
		load += l.load[name]
		capacity += l.capacity[name]
	}
	return load / capacity
}
