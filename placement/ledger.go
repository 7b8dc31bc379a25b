package placement

import (
	"cmp"
	"slices"

	"cicadarouter/record"
)

// loadedShard is a shard with its load.
type item struct {
	low   uint64
	owner string
	rate  float64
	hot   []HotHash
}

// loadModel is the expected load of each server, including the moves that are
// already planned.
type ledger struct {
	servers   []Server
	slots     map[string]float64
	load      map[string]float64
	count     map[string]int
	items     []item
	stranded  []item
	releasing int
}

func (p *Planner) newLedger(input World) *ledger {
	l := &ledger{
		servers: input.Servers,
		slots:   map[string]float64{},
		load:    map[string]float64{},
		count:   map[string]int{},
	}
	for _, server := range input.Servers {
		l.slots[server.Name] = float64(server.Slots)
		l.load[server.Name] = 0
		l.count[server.Name] = 0
	}
	for _, shard := range input.Page.Shards {
		l.enter(p.itemOf(shard), shard)
	}
	return l
}

func (p *Planner) itemOf(shard record.Shard) item {
	entry := item{low: shard.Low, owner: shard.Owner}
	if known, ok := p.loads[shard.Low]; ok {
		entry.rate = known.rate
		entry.hot = known.hot
	}
	return entry
}

func (l *ledger) enter(entry item, shard record.Shard) {
	if shard.Releasing() {
		l.releasing++
		if _, eligible := l.slots[shard.Next]; eligible {
			l.load[shard.Next] += entry.rate
			l.count[shard.Next]++
		}
		return
	}
	if _, eligible := l.slots[entry.owner]; !eligible {
		l.stranded = append(l.stranded, entry)
		return
	}
	l.load[entry.owner] += entry.rate
	l.count[entry.owner]++
	l.items = append(l.items, entry)
}

// evacuate moves every shard whose owner is no longer eligible.
func (l *ledger) evacuate() []Move {
	slices.SortFunc(l.stranded, func(a, b item) int { return cmp.Compare(b.rate, a.rate) })
	var moves []Move
	for _, entry := range l.stranded {
		to := l.lightest()
		l.load[to] += entry.rate
		l.count[to]++
		moves = append(moves, Move{Low: entry.low, To: to})
	}
	return moves
}

// leastUtilized returns the server with the least load per slot and, among equals,
// the one with the fewest shards per slot.
func (l *ledger) lightest() string {
	best := l.servers[0]
	for _, server := range l.servers[1:] {
		if l.compare(server.Name, best.Name) < 0 {
			best = server
		}
	}
	return best.Name
}

func (l *ledger) heaviest() string {
	worst := l.servers[0]
	for _, server := range l.servers[1:] {
		if l.compare(server.Name, worst.Name) > 0 {
			worst = server
		}
	}
	return worst.Name
}

// compare orders servers by load per slot, then by shards per slot, then by name.
func (l *ledger) compare(a, b string) int {
	if c := cmp.Compare(l.perSlot(a), l.perSlot(b)); c != 0 {
		return c
	}
	if c := cmp.Compare(float64(l.count[a])/l.slots[a], float64(l.count[b])/l.slots[b]); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

func (l *ledger) perSlot(name string) float64 { return l.load[name] / l.slots[name] }

// meanUtilization returns the load per slot if the load were spread evenly.
func (l *ledger) meanPerSlot() float64 {
	total, slots := 0.0, 0.0
	for _, server := range l.servers {
		total += l.load[server.Name]
		slots += l.slots[server.Name]
	}
	return total / slots
}

// imbalance returns the utilization of the most utilized server over the mean.
func (l *ledger) imbalance() float64 {
	mean := l.meanPerSlot()
	if mean == 0 {
		return 1
	}
	return l.perSlot(l.heaviest()) / mean
}

// idleFraction is the fraction of the mean utilization up to which a server counts
// as idle.
const idleShare = 0.5

// fillIdleServers gives idle servers an equal number of shards, taken from the most
// utilized servers that have more shards. It is for servers that have just joined
// and have no meaningful load yet.
func (l *ledger) spreadCount(maxMoves int) []Move {
	var moves []Move
	share := len(l.items) / len(l.servers)
	for _, server := range l.servers {
		if l.perSlot(server.Name) > l.meanPerSlot()*idleShare {
			continue
		}
		for l.count[server.Name] < share && len(moves) < maxMoves {
			move, ok := l.takeForJoiner(server.Name)
			if !ok {
				break
			}
			moves = append(moves, move)
		}
	}
	return moves
}

// moveToIdleServer moves one shard from the most utilized server that has at least
// two shards more than the idle one.
func (l *ledger) takeForJoiner(to string) (Move, bool) {
	best := -1
	for i, entry := range l.items {
		if entry.owner == to || l.count[entry.owner] <= l.count[to]+1 {
			continue
		}
		if best < 0 || l.compare(entry.owner, l.items[best].owner) > 0 {
			best = i
		}
	}
	if best < 0 {
		return Move{}, false
	}
	return l.move(best, to), true
}

func (l *ledger) move(index int, to string) Move {
	entry := &l.items[index]
	l.load[entry.owner] -= entry.rate
	l.count[entry.owner]--
	l.load[to] += entry.rate
	l.count[to]++
	entry.owner = to
	return Move{Low: entry.low, To: to}
}

// rebalance moves shards from the most to the least utilized server until the
// imbalance is within the tolerance, no move reduces it, or maxMoves is reached.
func (l *ledger) level(tolerance float64, maxMoves int) []Move {
	var moves []Move
	moved := map[uint64]bool{}
	for len(moves) < maxMoves && l.imbalance() > tolerance {
		from := l.heaviest()
		index, to := l.bestMove(from, moved)
		if index < 0 {
			return moves
		}
		moved[l.items[index].low] = true
		moves = append(moves, l.move(index, to))
	}
	return moves
}

// bestMove returns the move from a server to the least utilized one that most
// reduces the higher utilization of the two. A shard so loaded that its move would
// only swap the two servers' roles is not moved: a hot shard stays and other shards
// of its server move away.
func (l *ledger) bestMove(from string, moved map[uint64]bool) (index int, to string) {
	to = l.lightest()
	index = -1
	best := l.perSlot(from)
	for i, entry := range l.items {
		if entry.owner != from || moved[entry.low] || entry.rate == 0 {
			continue
		}
		after := max((l.load[from]-entry.rate)/l.slots[from], (l.load[to]+entry.rate)/l.slots[to])
		if after < best {
			best = after
			index = i
		}
	}
	return index, to
}
