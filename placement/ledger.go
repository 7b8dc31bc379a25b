package placement

import (
	"cmp"
	"slices"

	"cicadarouter/record"
)

// item is a shard with its load.
type item struct {
	low   uint64
	owner string
	rate  float64
	hot   []HotHash
}

// ledger is the load of each server as moves are planned.
type ledger struct {
	servers   []Server
	slots     map[string]float64
	load      map[string]float64
	count     map[string]int
	items     []item
	stranded  []item
	releasing int
}

func (p *Planner) newLedger(world World) *ledger {
	l := &ledger{
		servers: world.Servers,
		slots:   map[string]float64{},
		load:    map[string]float64{},
		count:   map[string]int{},
	}
	for _, server := range world.Servers {
		l.slots[server.Name] = float64(server.Slots)
		l.load[server.Name] = 0
		l.count[server.Name] = 0
	}
	for _, shard := range world.Page.Shards {
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

// evacuate finds a place for every shard whose owner may own nothing any more.
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

// lightest returns the server with the least load for its slots, and among
// equals the one with the fewest shards.
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

// meanPerSlot returns the load that each slot would carry if it were spread evenly.
func (l *ledger) meanPerSlot() float64 {
	total, slots := 0.0, 0.0
	for _, server := range l.servers {
		total += l.load[server.Name]
		slots += l.slots[server.Name]
	}
	return total / slots
}

// imbalance returns the load of the most loaded server over the mean.
func (l *ledger) imbalance() float64 {
	mean := l.meanPerSlot()
	if mean == 0 {
		return 1
	}
	return l.perSlot(l.heaviest()) / mean
}

// idleShare is the part of the mean load below which a server counts as idle.
const idleShare = 0.5

// spreadCount gives idle servers their share by number, taken from the servers
// with the most. It serves servers that join, before their load says anything.
func (l *ledger) spreadCount(most int) []Move {
	var moves []Move
	share := len(l.items) / len(l.servers)
	for _, server := range l.servers {
		if l.perSlot(server.Name) > l.meanPerSlot()*idleShare {
			continue
		}
		for l.count[server.Name] < share && len(moves) < most {
			move, ok := l.takeForJoiner(server.Name)
			if !ok {
				break
			}
			moves = append(moves, move)
		}
	}
	return moves
}

// takeForJoiner moves one shard from the heaviest server with shards to spare.
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

// level moves shards from the most to the least loaded servers until the
// imbalance is tolerable or nothing helps.
func (l *ledger) level(tolerance float64, most int) []Move {
	var moves []Move
	moved := map[uint64]bool{}
	for len(moves) < most && l.imbalance() > tolerance {
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

// bestMove returns the move off a server that lowers the higher of the two
// servers' loads most. A shard that would only swap the roles is not moved: the
// hot shard itself stays and its neighbours go.
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
