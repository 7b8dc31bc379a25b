package placement

import (
	"cmp"
	"slices"

	"cicadarouter/record"
)

// loadedShard is a shard with its load.
type loadedShard struct {
	low   uint64
	owner string
	rate  float64
	hot   []HotHash
}

// loadModel is the expected load of each server, including the moves that are
// already planned.
type loadModel struct {
	servers   []Server
	slots     map[string]float64
	load      map[string]float64
	count     map[string]int
	shards    []loadedShard
	displaced []loadedShard
	releasing int
}

func (p *Planner) newLoadModel(input Input) *loadModel {
	m := &loadModel{
		servers: input.Servers,
		slots:   map[string]float64{},
		load:    map[string]float64{},
		count:   map[string]int{},
	}
	for _, server := range input.Servers {
		m.slots[server.Name] = float64(server.Slots)
		m.load[server.Name] = 0
		m.count[server.Name] = 0
	}
	for _, shard := range input.Page.Shards {
		m.addShard(p.shardLoadOf(shard), shard)
	}
	return m
}

func (p *Planner) shardLoadOf(shard record.Shard) loadedShard {
	entry := loadedShard{low: shard.Low, owner: shard.Owner}
	if known, ok := p.loads[shard.Low]; ok {
		entry.rate = known.rate
		entry.hot = known.hot
	}
	return entry
}

func (m *loadModel) addShard(entry loadedShard, shard record.Shard) {
	if shard.Releasing() {
		m.releasing++
		if _, eligible := m.slots[shard.Next]; eligible {
			m.load[shard.Next] += entry.rate
			m.count[shard.Next]++
		}
		return
	}
	if _, eligible := m.slots[entry.owner]; !eligible {
		m.displaced = append(m.displaced, entry)
		return
	}
	m.load[entry.owner] += entry.rate
	m.count[entry.owner]++
	m.shards = append(m.shards, entry)
}

// evacuate moves every shard whose owner is no longer eligible.
func (m *loadModel) evacuate() []Move {
	slices.SortFunc(m.displaced, func(a, b loadedShard) int { return cmp.Compare(b.rate, a.rate) })
	var moves []Move
	for _, entry := range m.displaced {
		to := m.leastUtilized()
		m.load[to] += entry.rate
		m.count[to]++
		moves = append(moves, Move{Low: entry.low, To: to})
	}
	return moves
}

// leastUtilized returns the server with the least load per slot and, among equals,
// the one with the fewest shards per slot.
func (m *loadModel) leastUtilized() string {
	best := m.servers[0]
	for _, server := range m.servers[1:] {
		if m.compare(server.Name, best.Name) < 0 {
			best = server
		}
	}
	return best.Name
}

func (m *loadModel) mostUtilized() string {
	worst := m.servers[0]
	for _, server := range m.servers[1:] {
		if m.compare(server.Name, worst.Name) > 0 {
			worst = server
		}
	}
	return worst.Name
}

// compare orders servers by load per slot, then by shards per slot, then by name.
func (m *loadModel) compare(a, b string) int {
	if c := cmp.Compare(m.utilization(a), m.utilization(b)); c != 0 {
		return c
	}
	if c := cmp.Compare(float64(m.count[a])/m.slots[a], float64(m.count[b])/m.slots[b]); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

func (m *loadModel) utilization(name string) float64 { return m.load[name] / m.slots[name] }

// meanUtilization returns the load per slot if the load were spread evenly.
func (m *loadModel) meanUtilization() float64 {
	total, slots := 0.0, 0.0
	for _, server := range m.servers {
		total += m.load[server.Name]
		slots += m.slots[server.Name]
	}
	return total / slots
}

// imbalance returns the utilization of the most utilized server over the mean.
func (m *loadModel) imbalance() float64 {
	mean := m.meanUtilization()
	if mean == 0 {
		return 1
	}
	return m.utilization(m.mostUtilized()) / mean
}

// idleFraction is the fraction of the mean utilization up to which a server counts
// as idle.
const idleFraction = 0.5

// fillIdleServers gives idle servers an equal number of shards, taken from the most
// utilized servers that have more shards. It is for servers that have just joined
// and have no meaningful load yet.
func (m *loadModel) fillIdleServers(maxMoves int) []Move {
	var moves []Move
	share := len(m.shards) / len(m.servers)
	for _, server := range m.servers {
		if m.utilization(server.Name) > m.meanUtilization()*idleFraction {
			continue
		}
		for m.count[server.Name] < share && len(moves) < maxMoves {
			move, ok := m.moveToIdleServer(server.Name)
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
func (m *loadModel) moveToIdleServer(to string) (Move, bool) {
	best := -1
	for i, entry := range m.shards {
		if entry.owner == to || m.count[entry.owner] <= m.count[to]+1 {
			continue
		}
		if best < 0 || m.compare(entry.owner, m.shards[best].owner) > 0 {
			best = i
		}
	}
	if best < 0 {
		return Move{}, false
	}
	return m.applyMove(best, to), true
}

func (m *loadModel) applyMove(index int, to string) Move {
	entry := &m.shards[index]
	m.load[entry.owner] -= entry.rate
	m.count[entry.owner]--
	m.load[to] += entry.rate
	m.count[to]++
	entry.owner = to
	return Move{Low: entry.low, To: to}
}

// rebalance moves shards from the most to the least utilized server until the
// imbalance is within the tolerance, no move reduces it, or maxMoves is reached.
func (m *loadModel) rebalance(tolerance float64, maxMoves int) []Move {
	var moves []Move
	moved := map[uint64]bool{}
	for len(moves) < maxMoves && m.imbalance() > tolerance {
		from := m.mostUtilized()
		index, to := m.bestMove(from, moved)
		if index < 0 {
			return moves
		}
		moved[m.shards[index].low] = true
		moves = append(moves, m.applyMove(index, to))
	}
	return moves
}

// bestMove returns the move from a server to the least utilized one that most
// reduces the higher utilization of the two. A shard so loaded that its move would
// only swap the two servers' roles is not moved: a hot shard stays and other shards
// of its server move away.
func (m *loadModel) bestMove(from string, moved map[uint64]bool) (index int, to string) {
	to = m.leastUtilized()
	index = -1
	best := m.utilization(from)
	for i, entry := range m.shards {
		if entry.owner != from || moved[entry.low] || entry.rate == 0 {
			continue
		}
		after := max((m.load[from]-entry.rate)/m.slots[from], (m.load[to]+entry.rate)/m.slots[to])
		if after < best {
			best = after
			index = i
		}
	}
	return index, to
}
