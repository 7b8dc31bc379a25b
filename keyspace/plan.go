package keyspace

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// Move assigns the keys to another server.
type Move struct {
	From, To uint16
	Server   string
}

// Policy of placement.
const (
	// planInterval is the minimum time between two plans for balance; every host reports once
	// within it. Loads are measured per key, so a plan can account for the moves of the
	// previous one without waiting for them.
	planInterval = 500 * time.Millisecond
	// mergingPlanInterval takes its place at the maximum number of ranges, not beyond it. Each
	// balancing move then needs moves that merge ranges, and each plan several records, which all
	// hosts have to read.
	mergingPlanInterval = time.Second
	// overloadTolerance is the load relative to the fair share up to which a server is left alone.
	overloadTolerance = 1.25
	// minUtilization is the utilization below which a server's load is not worth a move.
	minUtilization = 0.45
	// movesPerPlan and serversPerMove bound the moves of one plan to four, or one per four
	// servers. A move holds requests back until those running at the old owner end. A group
	// of keys with a third of a service's load needs a third of its servers.
	movesPerPlan   = 4
	serversPerMove = 4
	// minRangeLimit and rangesPerServer bound the ranges of a service. Each range costs the
	// controller a call per renewal: 330 calls a second for a small service, 1.7 a second per
	// server for a large one. A group of hot keys with a third of the load needs a range for
	// each of its keys, up to one per server.
	minRangeLimit   = 400
	rangesPerServer = 2
	// maxOverfill is how far a receiver may be filled beyond its share, because keys can't be
	// divided as finely as the load.
	maxOverfill = 1.3
	// maxRelativeUtilization bounds the utilization of a receiver after the move of a single
	// busy key, relative to the owner's utilization before it. Above the bound the move would
	// only swap the roles of the two servers.
	maxRelativeUtilization = 0.8
	// minMoveShare is the least part of the wanted load that is worth a move.
	minMoveShare = 0.1
)

// rangesAddedByMove is how many ranges a move of keys from the middle of a range adds.
const rangesAddedByMove = 2

// rangeLimit is the maximum number of ranges of a service. A limit that did not grow with
// the servers would stop all balancing of a service with that many servers: with 400 ranges
// for 434 servers, 0.68 of the demand could be served while 200 keys were hot, against 0.91.
func rangeLimit(servers int) int { return max(minRangeLimit, rangesPerServer*servers) }

// evacuations moves the ranges that do not stay with their owners, which are gone or
// leaving. Busy ranges are split so that no single server takes over a lost server's load.
func evacuations(record *Record, servers []Server, loads *KeyLoads, limit int, stays func(*Range) bool) []Move {
	var leaving []*Range
	for i := range record.Ranges {
		if r := &record.Ranges[i]; !stays(r) {
			leaving = append(leaving, r)
		}
	}
	if len(leaving) == 0 {
		return nil // the usual case; building the load model visits every key
	}
	l := newLoadModel(record, servers, loads, limit)
	if len(l.receivers) == 0 {
		return nil
	}
	var moves []Move
	for _, r := range leaving {
		moves = append(moves, l.spreadRange(r)...)
	}
	return moves
}

const (
	// partsPerLostRange is the number of parts into which a busy range of a lost server is split.
	partsPerLostRange = 3
	// maxWholeRangeShare is the load, relative to a server's mean load, up to which a range
	// is not split.
	maxWholeRangeShare = 0.25
)

// spreadRange divides a range among the least utilized servers.
func (l *loadModel) spreadRange(r *Range) []Move {
	busy := l.busyIn(r)
	total := 0.0
	for _, k := range busy {
		total += k.rate
	}
	if total <= maxWholeRangeShare*l.meanUtilization()*l.capacity[l.leastUtilized()] {
		busy = nil
	}
	var moves []Move
	from, sum := r.From, 0.0
	give := func(to uint16) {
		name := l.leastUtilized()
		l.load[name] += sum
		l.keyCounts[name] += int(to) - int(from) + 1
		moves = append(moves, Move{From: from, To: to, Server: name})
	}
	for _, k := range busy {
		sum += k.rate
		if sum >= total/partsPerLostRange && k.key < r.To {
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

// rebalance moves load away from servers that have more than their share, and gives some
// to servers without keys. It fills as many servers as needed up to their share. Balancing
// two servers at a time would leave a group of busy keys on pairs of overloaded servers
// until enough plans had halved it.
//
// limit is the maximum number of ranges. While the record has as many, the plan merges ranges
// so that it can go on moving keys.
func rebalance(record *Record, servers []Server, loads *KeyLoads, limit int) []Move {
	l := newLoadModel(record, servers, loads, limit)
	if len(l.serverIDs) < 2 || len(l.receivers) == 0 {
		return nil
	}
	share := l.meanUtilization()
	c := newConsolidation(l, share)
	moves := c.freeRanges(0)
	for range l.maxMoves() {
		if l.rangesLeft < rangesAddedByMove && l.unbalanced(share) {
			moves = append(moves, c.freeRanges(rangesAddedByMove)...)
		}
		move, ok := l.nextMove(share)
		if !ok {
			break
		}
		moves = append(moves, move)
	}
	return moves
}

// maxMoves is the maximum number of balancing moves of one plan, and of moves that
// consolidate ranges.
func (l *loadModel) maxMoves() int { return max(movesPerPlan, len(l.serverIDs)/serversPerMove) }

// unbalanced reports whether the plan needs more balancing moves.
func (l *loadModel) unbalanced(share float64) bool {
	return l.keyCounts[l.leastUtilized()] == 0 || len(l.overloaded(share)) > 0
}

// nextMove returns the most useful move: to the least utilized server, from the most
// utilized one that has suitable keys.
func (l *loadModel) nextMove(share float64) (Move, bool) {
	to := l.leastUtilized()
	if l.keyCounts[to] == 0 {
		if move, ok := l.fillEmptyServer(to); ok {
			return move, true
		}
	}
	for _, from := range l.overloaded(share) {
		if span, fastest, ok := l.saturatingMove(from); ok {
			return l.applyMove(span, from, fastest), true
		}
		want := min(l.load[from]-share*l.capacity[from], share*l.capacity[to]-l.load[to])
		if span, ok := l.bestRun(from, to, want); ok {
			return l.applyMove(span, from, to), true
		}
		if span, ok := l.busiestKey(from, to); ok {
			return l.applyMove(span, from, to), true
		}
	}
	return Move{}, false
}

// fillEmptyServer gives a server without keys its share, from the most utilized server.
func (l *loadModel) fillEmptyServer(to string) (Move, bool) {
	from := slices.MaxFunc(l.serverIDs, func(a, b string) int { return cmp.Compare(l.utilization(a), l.utilization(b)) })
	want := (l.utilization(from) - l.utilization(to)) / (1/l.capacity[from] + 1/l.capacity[to])
	if span, ok := l.bestRun(from, to, want); ok && from != to {
		return l.applyMove(span, from, to), true
	}
	return l.splitWidest(to)
}

// splitWidest splits the widest range in the middle and gives a server one part, for when no
// run of busy keys fits.
func (l *loadModel) splitWidest(to string) (Move, bool) {
	var widest *Range
	for i := range l.planned.Ranges {
		r := &l.planned.Ranges[i]
		if !r.Moving() && (widest == nil || r.To-r.From > widest.To-widest.From) {
			widest = r
		}
	}
	if widest == nil || widest.To == widest.From {
		return Move{}, false
	}
	span := l.allKeys(widest, widest.From+(widest.To-widest.From)/2+1, widest.To, to)
	if !l.allows(span) {
		return Move{}, false
	}
	return l.applyMove(span, widest.Server, to), true
}

// keyRun is a run of busy keys within one range.
type keyRun struct {
	from, to     uint16
	load         float64
	first, count int // position and number of its keys in the server's list of keys
	splits       int // ranges that the move splits
	// addedRanges is by how many ranges the record grows once the move has ended and adjacent
	// ranges of one owner are merged.
	addedRanges int
}

// bestRun returns the run of a server's keys within one range whose load is closest to
// want, without exceeding it by much. Idle keys at the ends of the range are included, so
// that ranges don't fragment.
func (l *loadModel) bestRun(name, to string, want float64) (keyRun, bool) {
	keys := l.keys[name]
	var best keyRun
	for first := range keys {
		r := l.planned.RangeOf(keys[first].key)
		sum := 0.0
		for last := first; last < len(keys) && keys[last].key <= r.To; last++ {
			sum += keys[last].rate
			if sum > want*maxOverfill {
				break
			}
			if sum <= best.load {
				continue
			}
			if candidate := l.includeIdleKeys(r, to, first, last); l.allows(candidate) {
				candidate.load = sum
				best = candidate
			}
		}
	}
	return best, best.count > 0 && best.load >= want*minMoveShare
}

// busiestKey returns the busiest key whose move lowers the higher utilization of the two
// servers. Where single keys are busier than the room of a server, no run of keys fits, and
// the owner of several such keys would keep them all. A key with nearly all of its
// owner's load stays: the next owner would be as full, and the key would keep moving.
func (l *loadModel) busiestKey(from, to string) (keyRun, bool) {
	var best keyRun
	for i, busy := range l.keys[from] {
		after := (l.load[to] + busy.rate) / l.capacity[to]
		stays := (l.load[from] - busy.rate) / l.capacity[from]
		if busy.rate <= best.load || after > maxRelativeUtilization*l.utilization(from) || stays < minUtilization {
			continue
		}
		if candidate := l.includeIdleKeys(l.planned.RangeOf(busy.key), to, i, i); l.allows(candidate) {
			candidate.load = busy.rate
			best = candidate
		}
	}
	return best, best.count > 0
}

// saturatedShare is the part of its owner's capacity from which a single key counts as
// saturating the owner, whose speed then decides how much of the key's load is served.
const saturatedShare = 0.9

// saturatingMove returns the busiest key of a server if it saturates its owner, and the
// fastest server if that serves enough more of the load to be worth the move. No server has
// room for such a key, so the least utilized one is not chosen. Later plans move the new
// owner's other keys away. A server that already has such a key is not given another.
func (l *loadModel) saturatingMove(from string) (span keyRun, fastest string, ok bool) {
	i := l.saturatingKey(from)
	if i < 0 {
		return keyRun{}, "", false
	}
	for _, name := range l.receivers {
		if !l.saturated[name] && l.saturatingKey(name) < 0 && (fastest == "" || l.capacity[name] > l.capacity[fastest]) {
			fastest = name
		}
	}
	if fastest == "" || l.capacity[from] > maxRelativeUtilization*l.capacity[fastest] {
		return keyRun{}, "", false
	}
	span = l.includeIdleKeys(l.planned.RangeOf(l.keys[from][i].key), fastest, i, i)
	span.load = l.keys[from][i].rate
	if !l.allows(span) {
		return keyRun{}, "", false
	}
	l.saturated[fastest] = true
	return span, fastest, true
}

// saturatingKey returns the index of a server's busiest key if it saturates the server by
// itself, or -1.
func (l *loadModel) saturatingKey(name string) int {
	busiest, most := -1, saturatedShare*l.capacity[name]
	for i, busy := range l.keys[name] {
		if busy.rate >= most {
			busiest, most = i, busy.rate
		}
	}
	return busiest
}

// includeIdleKeys returns a run of the keys of a range's owner, extended over the idle keys
// beside it if it reaches the first or last busy key of the range.
func (l *loadModel) includeIdleKeys(r *Range, to string, first, last int) keyRun {
	keys := l.keys[r.Server]
	start, end := keys[first].key, keys[last].key
	if first == 0 || keys[first-1].key < r.From {
		start = r.From
	}
	if last+1 == len(keys) || keys[last+1].key > r.To {
		end = r.To
	}
	span := l.spanOf(r, start, end, to)
	span.first, span.count = first, last-first+1
	return span
}

// allKeys returns all keys from start to end of a range as a run that a server is to get.
func (l *loadModel) allKeys(r *Range, start, end uint16, to string) keyRun {
	span := l.spanOf(r, start, end, to)
	keys := l.keys[r.Server]
	span.first = sort.Search(len(keys), func(i int) bool { return keys[i].key >= start })
	for ; span.first+span.count < len(keys) && keys[span.first+span.count].key <= end; span.count++ {
		span.load += keys[span.first+span.count].rate
	}
	return span
}

// spanOf returns the keys from start to end of a range, without their load.
func (l *loadModel) spanOf(r *Range, start, end uint16, to string) keyRun {
	span := keyRun{from: start, to: end, addedRanges: addedRanges(l.planned, Move{From: start, To: end, Server: to})}
	if start != r.From {
		span.splits++
	}
	if end != r.To {
		span.splits++
	}
	return span
}

// applyMove accounts for the transfer of a run of keys between two servers.
func (l *loadModel) applyMove(span keyRun, from, to string) Move {
	l.load[from] -= span.load
	l.load[to] += span.load
	l.keyCounts[to] += int(span.to) - int(span.from) + 1
	l.keys[from] = slices.Delete(slices.Clone(l.keys[from]), span.first, span.first+span.count)
	l.rangesLeft -= span.addedRanges
	l.splitsLeft -= span.splits
	l.assign(span.from, span.to, to)
	return Move{From: span.from, To: span.to, Server: to}
}
