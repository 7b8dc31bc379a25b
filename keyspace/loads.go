package keyspace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// loadMemory is the time constant of the measured load: a group of keys that
	// turns busy is known within two reports of the hosts.
	loadMemory = 1500 * time.Millisecond
	// leastRate is the busy slots below which a key's load is forgotten.
	leastRate = 0.002
)

// KeyLoads is the smoothed load that is asked of single keys, in slots: what
// the owner would have busy if it could take on every request. What a full
// owner serves says nothing of how much more is asked.
//
// Load pattern: hundreds of hosts report twice a second, tens of thousands of keys
// are asked for now and then. All loads decay alike, so they are kept as of one
// moment, base, and what is added later is scaled up; only when the base moves is
// every key looked at. With every key decayed at each report, the reports of 300
// hosts took a controller 18 ms in each half second (go test -bench Reports).
type KeyLoads struct {
	// rates are the loads in slots, as of base; what came later counts for more.
	rates map[uint16]float64
	base  time.Duration
	at    time.Duration // of the last report
	// work is how long one request holds a slot.
	work time.Duration
}

// rebaseAfter is how long the base stays: a few times the loads' memory, so that
// most keys that are forgotten are dropped soon.
const rebaseAfter = 2 * loadMemory

// NewKeyLoads returns loads without observations.
func NewKeyLoads() *KeyLoads { return &KeyLoads{rates: map[uint16]float64{}} }

// Any reports whether any key has been asked for lately.
func (k *KeyLoads) Any() bool { return len(k.rates) > 0 }

// Add takes the slot time that requests for keys asked for at one host, up to
// now. work is how long one request holds a slot.
func (k *KeyLoads) Add(now time.Duration, asked map[uint16]time.Duration, work time.Duration) {
	k.at, k.work = now, work
	if now-k.base >= rebaseAfter {
		k.rebase(now)
	}
	scale := 1 / decayed(now-k.base)
	for key, held := range asked {
		k.rates[key] += scale * float64(held) / float64(loadMemory)
	}
}

// decayed is what is left of a load after some time.
func decayed(after time.Duration) float64 { return math.Exp(-float64(after) / float64(loadMemory)) }

// rebase expresses all loads as of now, and forgets the least ones.
func (k *KeyLoads) rebase(now time.Duration) {
	factor := decayed(now - k.base)
	k.base = now
	for key, rate := range k.rates {
		if rate *= factor; rate < leastRate {
			delete(k.rates, key)
			continue
		}
		k.rates[key] = rate
	}
}

// each calls take with each key's load, in the order of the keys.
func (k *KeyLoads) each(take func(keyRate)) {
	factor := decayed(k.at - k.base)
	for _, key := range slices.Sorted(maps.Keys(k.rates)) {
		if rate := factor * k.rates[key]; rate >= leastRate {
			take(keyRate{key: key, rate: rate})
		}
	}
}

// chance is the standard deviation of a measured load: some of what is measured
// of an even load is the luck of the last requests.
func (k *KeyLoads) chance(load float64) float64 {
	return math.Sqrt(load * float64(k.work) / float64(loadMemory))
}

// keyRate is the load of one key.
type keyRate struct {
	key  uint16
	rate float64
}

// ledger is the load of the servers as a plan is made.
type ledger struct {
	loads    *KeyLoads
	capacity map[string]float64
	load     map[string]float64
	keys     map[string][]keyRate
	asked    []keyRate      // all keys that are asked for, in order
	spans    map[string]int // keys owned
	// saturated are the servers that this plan gives a key that fills them.
	saturated map[string]bool
	names     []string
	// receivers are the servers that may be given keys.
	receivers []string
	// ranges is how many more ranges the record may have.
	ranges int
}

func newLedger(record *Record, servers []Server, loads *KeyLoads) *ledger {
	l := &ledger{loads: loads, ranges: rangesAllowed(len(servers)) - len(record.Ranges), capacity: map[string]float64{}, load: map[string]float64{}, keys: map[string][]keyRate{}, spans: map[string]int{}, saturated: map[string]bool{}}
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		l.capacity[server.ID] = server.capacity()
		l.names = append(l.names, server.ID)
		if !server.Silent {
			l.receivers = append(l.receivers, server.ID)
		}
	}
	slices.Sort(l.names)
	slices.Sort(l.receivers)
	loads.each(func(asked keyRate) {
		l.asked = append(l.asked, asked)
		r := record.At(asked.key)
		if r == nil {
			return
		}
		l.load[r.Server] += asked.rate
		if !r.Moving() { // else not before it has arrived
			l.keys[r.Server] = append(l.keys[r.Server], asked)
		}
	})
	for _, r := range record.Ranges {
		l.spans[r.Server] += int(r.To) - int(r.From) + 1
	}
	return l
}

// busyIn returns the keys of a range that are asked for, in order.
func (l *ledger) busyIn(r *Range) []keyRate {
	from, _ := slices.BinarySearchFunc(l.asked, r.From, func(k keyRate, key uint16) int { return cmp.Compare(k.key, key) })
	to := from
	for to < len(l.asked) && l.asked[to].key <= r.To {
		to++
	}
	return l.asked[from:to]
}

// full is the load of a server over its slots.
func (l *ledger) full(name string) float64 { return l.load[name] / l.capacity[name] }

// lightest returns the receiver that is least busy, by load and then by keys.
func (l *ledger) lightest() string {
	return slices.MinFunc(l.receivers, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.full(a), l.full(b)), cmp.Compare(l.spans[a], l.spans[b]))
	})
}

// overloaded returns the servers that have more than their share, the fullest
// first. share is the mean load over the slots.
func (l *ledger) overloaded(share float64) []string {
	var over []string
	for _, name := range l.names {
		load, fair := l.load[name], share*l.capacity[name]
		if load > busyShare*l.capacity[name] && load > fair*tolerance+l.loads.chance(load) {
			over = append(over, name)
		}
	}
	slices.SortStableFunc(over, func(a, b string) int { return cmp.Compare(l.full(b), l.full(a)) })
	return over
}

// mean is the load of all servers over their slots.
func (l *ledger) mean() float64 {
	load, capacity := 0.0, 0.0
	for _, name := range l.names {
		load += l.load[name]
		capacity += l.capacity[name]
	}
	return load / capacity
}
