package keyspace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Move takes the keys to another server.
type Move struct {
	From, To uint16
	Server   string
}

// Policy of placement.
const (
	// planEvery is the least time between plans for balance: a move takes
	// effect and is measured within it.
	planEvery = 700 * time.Millisecond
	// tolerance is the load over the fair share that is left alone.
	tolerance = 1.25
	// busyShare is the share of its slots that the fullest server must have
	// busy before load is worth a move.
	busyShare = 0.45
	// movesPerPlan bounds the moves of one plan: each holds requests back for
	// as long as those at the old owner run.
	movesPerPlan = 4
	// mostRanges bounds the ranges of a service.
	mostRanges = 400
	// loadMemory is the time constant of the measured load.
	loadMemory = 3 * time.Second
	// leastRate is the busy slots below which a key's load is forgotten.
	leastRate = 0.002
)

// KeyLoads is the smoothed load of single keys, in busy slots.
type KeyLoads struct {
	rates map[uint16]float64
	at    time.Duration
}

// NewKeyLoads returns loads without observations.
func NewKeyLoads() *KeyLoads { return &KeyLoads{rates: map[uint16]float64{}} }

// Add takes the time that requests for keys held slots, as measured by one
// host up to now.
func (k *KeyLoads) Add(now time.Duration, busy map[uint16]time.Duration) {
	k.decay(now)
	for key, held := range busy {
		k.rates[key] += float64(held) / float64(loadMemory)
	}
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
	capacity map[string]float64
	load     map[string]float64
	keys     map[string][]keyRate
	spans    map[string]int // keys owned
	names    []string
}

func newLedger(record *Record, servers []Server, loads *KeyLoads) *ledger {
	l := &ledger{capacity: map[string]float64{}, load: map[string]float64{}, keys: map[string][]keyRate{}, spans: map[string]int{}}
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		l.capacity[server.ID] = float64(server.Slots) * cmp.Or(server.Speed, 1)
		l.names = append(l.names, server.ID)
	}
	slices.Sort(l.names)
	for _, key := range slices.Sorted(maps.Keys(loads.rates)) {
		if r := record.At(key); r != nil {
			l.load[r.Server] += loads.rates[key]
			l.keys[r.Server] = append(l.keys[r.Server], keyRate{key: key, rate: loads.rates[key]})
		}
	}
	for _, r := range record.Ranges {
		l.spans[r.Server] += int(r.To) - int(r.From) + 1
	}
	return l
}

func (l *ledger) full(name string) float64 { return l.load[name] / l.capacity[name] }

// lightest returns the server that is least busy, by load and then by keys.
func (l *ledger) lightest() string {
	return slices.MinFunc(l.names, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.full(a), l.full(b)), cmp.Compare(l.spans[a], l.spans[b]))
	})
}

func (l *ledger) heaviest() string {
	return slices.MaxFunc(l.names, func(a, b string) int { return cmp.Compare(l.full(a), l.full(b)) })
}

func (l *ledger) mean() float64 {
	load, capacity := 0.0, 0.0
	for _, name := range l.names {
		load += l.load[name]
		capacity += l.capacity[name]
	}
	return load / capacity
}

// evacuations moves the keys of servers that are gone or leaving. Ranges are
// cut so that no single server takes over all of a lost one's load.
func evacuations(record *Record, live map[string]Server, servers []Server, loads *KeyLoads) []Move {
	l := newLedger(record, servers, loads)
	if len(l.names) == 0 {
		return nil
	}
	var moves []Move
	for i := range record.Ranges {
		r := &record.Ranges[i]
		if server, known := live[r.Server]; known && !server.Leaving {
			continue
		}
		moves = append(moves, l.spread(r, loads)...)
	}
	return moves
}

const (
	// partsOfLost is into how many parts a busy range of a lost server is cut.
	partsOfLost = 3
	// wholeShare is the share of a server's mean load up to which a range is
	// left whole.
	wholeShare = 0.25
)

// spread divides a range among the lightest servers.
func (l *ledger) spread(r *Range, loads *KeyLoads) []Move {
	total := 0.0
	var busy []keyRate
	for key, rate := range loads.rates {
		if key >= r.From && key <= r.To {
			busy = append(busy, keyRate{key: key, rate: rate})
			total += rate
		}
	}
	slices.SortFunc(busy, func(a, b keyRate) int { return cmp.Compare(a.key, b.key) })
	if total <= wholeShare*l.mean()*l.capacity[l.lightest()] {
		busy = nil
	}
	var moves []Move
	from, sum := r.From, 0.0
	give := func(to uint16) {
		name := l.lightest()
		l.load[name] += sum
		l.spans[name] += int(to) - int(from) + 1
		moves = append(moves, Move{From: from, To: to, Server: name})
	}
	for _, k := range busy {
		sum += k.rate
		if sum >= total/partsOfLost && k.key < r.To {
			give(k.key)
			from, sum = k.key+1, 0
		}
	}
	if len(busy) == 0 {
		sum = total
	}
	give(r.To)
	return moves
}

// rebalance moves load off servers that have more than their share, and gives
// servers without keys some.
func rebalance(record *Record, servers []Server, loads *KeyLoads) []Move {
	if len(record.Ranges) >= mostRanges {
		return nil
	}
	l := newLedger(record, servers, loads)
	if len(l.names) < 2 {
		return nil
	}
	var moves []Move
	for range movesPerPlan {
		move, ok := l.next(record)
		if !ok {
			break
		}
		moves = append(moves, move)
	}
	return moves
}

// next returns the move that helps most.
func (l *ledger) next(record *Record) (Move, bool) {
	to := l.lightest()
	from := l.heaviest()
	mean := l.mean()
	joins := l.spans[to] == 0
	if from == to || !joins && (l.full(from) < busyShare || l.full(from) < mean*tolerance) {
		return Move{}, false
	}
	if joins && len(l.keys[from]) == 0 {
		return l.half(record, to)
	}
	// What brings both to the same fullness.
	want := (l.full(from) - l.full(to)) / (1/l.capacity[from] + 1/l.capacity[to])
	span, ok := l.span(record, from, want)
	if !ok {
		return Move{}, false
	}
	l.move(span, from, to)
	return Move{From: span.from, To: span.to, Server: to}, true
}

// half gives a server that joins half of the widest range, when no load is known.
func (l *ledger) half(record *Record, to string) (Move, bool) {
	var widest *Range
	for i := range record.Ranges {
		r := &record.Ranges[i]
		if !r.Moving() && (widest == nil || r.To-r.From > widest.To-widest.From) {
			widest = r
		}
	}
	if widest == nil || widest.To == widest.From {
		return Move{}, false
	}
	middle := widest.From + (widest.To-widest.From)/2 + 1
	l.spans[to] += int(widest.To-middle) + 1
	return Move{From: middle, To: widest.To, Server: to}, true
}

// keySpan is a run of busy keys within one range.
type keySpan struct {
	from, to uint16
	load     float64
	first, n int // its keys, as an index into the server's
}

// span returns the run of a server's keys within one of its ranges whose load
// comes nearest to what is wanted without exceeding it by much. Idle keys at the
// ends of the range go with it, so that ranges don't crumble.
func (l *ledger) span(record *Record, name string, want float64) (keySpan, bool) {
	keys := l.keys[name]
	var best keySpan
	for first := range keys {
		r := record.At(keys[first].key)
		sum := 0.0
		for last := first; last < len(keys) && keys[last].key <= r.To; last++ {
			sum += keys[last].rate
			if sum > want*1.3 {
				break
			}
			if sum > best.load {
				best = keySpan{from: keys[first].key, to: keys[last].key, load: sum, first: first, n: last - first + 1}
				if first == 0 || keys[first-1].key < r.From {
					best.from = r.From
				}
				if last+1 == len(keys) || keys[last+1].key > r.To {
					best.to = r.To
				}
			}
		}
	}
	return best, best.n > 0 && best.load >= want*0.1
}

func (l *ledger) move(span keySpan, from, to string) {
	l.load[from] -= span.load
	l.load[to] += span.load
	l.spans[to] += int(span.to) - int(span.from) + 1
	l.keys[from] = slices.Delete(slices.Clone(l.keys[from]), span.first, span.first+span.n)
}
