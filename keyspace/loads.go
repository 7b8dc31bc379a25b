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
type KeyLoads struct {
	rates map[uint16]float64
	at    time.Duration
	// work is how long one request holds a slot.
	work time.Duration
}

// NewKeyLoads returns loads without observations.
func NewKeyLoads() *KeyLoads { return &KeyLoads{rates: map[uint16]float64{}} }

// Add takes the slot time that requests for keys asked for at one host, up to
// now. work is how long one request holds a slot.
func (k *KeyLoads) Add(now time.Duration, asked map[uint16]time.Duration, work time.Duration) {
	k.decay(now)
	k.work = work
	for key, held := range asked {
		k.rates[key] += float64(held) / float64(loadMemory)
	}
}

// chance is the standard deviation of a measured load: some of what is measured
// of an even load is the luck of the last requests.
func (k *KeyLoads) chance(load float64) float64 {
	return math.Sqrt(load * float64(k.work) / float64(loadMemory))
}

func (k *KeyLoads) decay(now time.Duration) {
	factor := math.Exp(-float64(now-k.at) / float64(loadMemory))
	k.at = now
	for key, rate := range k.rates {
		if rate *= factor; rate < leastRate {
			delete(k.rates, key)
			continue
		}
		k.rates[key] = rate
	}
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
	l := &ledger{loads: loads, ranges: mostRanges - len(record.Ranges), capacity: map[string]float64{}, load: map[string]float64{}, keys: map[string][]keyRate{}, spans: map[string]int{}, saturated: map[string]bool{}}
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		l.capacity[server.ID] = float64(server.Slots) * cmp.Or(server.Speed, 1)
		l.names = append(l.names, server.ID)
		if !server.Silent {
			l.receivers = append(l.receivers, server.ID)
		}
	}
	slices.Sort(l.names)
	slices.Sort(l.receivers)
	for _, key := range slices.Sorted(maps.Keys(loads.rates)) {
		if r := record.At(key); r != nil {
			l.load[r.Server] += loads.rates[key]
			if r.Moving() {
				continue // not before it has arrived
			}
			l.keys[r.Server] = append(l.keys[r.Server], keyRate{key: key, rate: loads.rates[key]})
		}
	}
	for _, r := range record.Ranges {
		l.spans[r.Server] += int(r.To) - int(r.From) + 1
	}
	return l
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
