package keyspace

import (
	"cmp"
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
	// planEvery is the least time between plans for balance: the reports of all
	// hosts come once within it. Loads are those of keys, so a plan knows the
	// effect of the one before without waiting for it.
	planEvery = 500 * time.Millisecond
	// tolerance is the load over the fair share that is left alone.
	tolerance = 1.25
	// busyShare is the share of its slots that the fullest server must have
	// busy before load is worth a move.
	busyShare = 0.45
	// movesPerPlan and serversPerMove bound the moves of one plan, which hold
	// requests back for as long as those at the old owners run: four, or one for
	// each four servers. A group of keys that takes a third of a service's load
	// needs a third of its servers.
	movesPerPlan   = 4
	serversPerMove = 4
	// leastMostRanges and rangesPerServer bound the ranges of a service: each costs
	// the controller a call for every renewal, 330 a second for a small service and
	// 1.7 a second for each server of a large one. A group of hot keys that takes a
	// third of the load needs a range for each of its keys, up to one a server.
	leastMostRanges = 400
	rangesPerServer = 2
	// overFill is how far a receiver may be filled over its share: keys can't
	// be cut as finely as the load.
	overFill = 1.3
	// worthwhile is the fullness of a receiver after the move of a single busy
	// key over that of its owner before it, above which the move only turns
	// the two about.
	worthwhile = 0.8
	// leastSpan is the least share of what is wanted that is worth a move.
	leastSpan = 0.1
)

// cutsOfMove is by how many ranges a move of some keys from the middle of a range
// makes the record grow.
const cutsOfMove = 2

// rangesAllowed is the most ranges of a service. A bound that does not follow the
// servers ends all balancing of a service that has as many: with 400 for 434
// servers, 0.68 of the demand fitted while 200 keys were hot, 0.91 with it.
func rangesAllowed(servers int) int { return max(leastMostRanges, rangesPerServer*servers) }

// evacuations moves the ranges that do not stay with their owners, which are gone
// or leaving. They are cut so that no single server takes over all of a lost one's
// load.
func evacuations(record *Record, servers []Server, loads *KeyLoads, stays func(*Range) bool) []Move {
	var leaving []*Range
	for i := range record.Ranges {
		if r := &record.Ranges[i]; !stays(r) {
			leaving = append(leaving, r)
		}
	}
	if len(leaving) == 0 {
		return nil // nearly always: the ledger looks at every key
	}
	l := newLedger(record, servers, loads)
	if len(l.receivers) == 0 {
		return nil
	}
	var moves []Move
	for _, r := range leaving {
		moves = append(moves, l.spread(r)...)
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
func (l *ledger) spread(r *Range) []Move {
	busy := l.busyIn(r)
	total := 0.0
	for _, k := range busy {
		total += k.rate
	}
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
// servers without keys some. It fills as many servers as it takes up to their
// share: making two servers even at a time leaves a group of busy keys in pairs
// of servers that are both too full for as many plans as it takes to halve it.
func rebalance(record *Record, servers []Server, loads *KeyLoads) []Move {
	l := newLedger(record, servers, loads)
	if len(l.names) < 2 || len(l.receivers) == 0 {
		return nil
	}
	share := l.mean()
	var moves []Move
	for range max(movesPerPlan, len(l.names)/serversPerMove) {
		move, ok := l.next(record, share)
		if !ok {
			break
		}
		moves = append(moves, move)
	}
	return moves
}

// next returns the move that helps most: to the least full server, from the
// fullest that has something to give.
func (l *ledger) next(record *Record, share float64) (Move, bool) {
	to := l.lightest()
	if l.spans[to] == 0 {
		return l.join(record, to)
	}
	for _, from := range l.overloaded(share) {
		if span, fastest, ok := l.saturating(record, from); ok {
			return l.move(span, from, fastest), true
		}
		want := min(l.load[from]-share*l.capacity[from], share*l.capacity[to]-l.load[to])
		if span, ok := l.span(record, from, want); ok {
			return l.move(span, from, to), true
		}
		if span, ok := l.busiestKey(record, from, to); ok {
			return l.move(span, from, to), true
		}
	}
	return Move{}, false
}

// join gives a server without keys its share, from the fullest server.
func (l *ledger) join(record *Record, to string) (Move, bool) {
	from := slices.MaxFunc(l.names, func(a, b string) int { return cmp.Compare(l.full(a), l.full(b)) })
	want := (l.full(from) - l.full(to)) / (1/l.capacity[from] + 1/l.capacity[to])
	if span, ok := l.span(record, from, want); ok && from != to {
		return l.move(span, from, to), true
	}
	return l.half(record, to)
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
	if widest == nil || widest.To == widest.From || l.ranges < 1 {
		return Move{}, false
	}
	middle := widest.From + (widest.To-widest.From)/2 + 1
	l.spans[to] += int(widest.To-middle) + 1
	l.ranges--
	return Move{From: middle, To: widest.To, Server: to}, true
}

// keySpan is a run of busy keys within one range.
type keySpan struct {
	from, to uint16
	load     float64
	first, n int // its keys, as an index into the server's
	cuts     int // ranges that the record grows by
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
			if sum > want*overFill {
				break
			}
			if sum <= best.load {
				continue
			}
			if candidate := l.widen(r, name, first, last); candidate.cuts <= l.ranges {
				candidate.load = sum
				best = candidate
			}
		}
	}
	return best, best.n > 0 && best.load >= want*leastSpan
}

// busiestKey returns the busiest single key whose move makes the fuller of the
// two servers less full. Where keys are busier than what a server lacks, no run
// of keys fits, and the owner of several such keys would keep them all. A key
// that is nearly all of its owner's load stays: another owner would be as full,
// and the key would go on from server to server.
func (l *ledger) busiestKey(record *Record, from, to string) (keySpan, bool) {
	var best keySpan
	for i, busy := range l.keys[from] {
		after := (l.load[to] + busy.rate) / l.capacity[to]
		stays := (l.load[from] - busy.rate) / l.capacity[from]
		if busy.rate <= best.load || after > worthwhile*l.full(from) || stays < busyShare {
			continue
		}
		if candidate := l.widen(record.At(busy.key), from, i, i); candidate.cuts <= l.ranges {
			candidate.load = busy.rate
			best = candidate
		}
	}
	return best, best.n > 0
}

// saturatedShare is the share of its owner's slots that a single key must ask for to
// decide by itself how much of it is served.
const saturatedShare = 0.9

// saturating returns the busiest key of a server if it fills its owner by itself, and
// the fastest server, if that serves enough more of it to be worth the move. No
// server has room for such a key, so the least full one is not looked for. The
// other keys of its new owner leave that with the next plans. A server that has
// such a key already is not given another.
func (l *ledger) saturating(record *Record, from string) (span keySpan, fastest string, ok bool) {
	i := l.saturatedBy(from)
	if i < 0 {
		return keySpan{}, "", false
	}
	for _, name := range l.receivers {
		if !l.saturated[name] && l.saturatedBy(name) < 0 && (fastest == "" || l.capacity[name] > l.capacity[fastest]) {
			fastest = name
		}
	}
	if fastest == "" || l.capacity[from] > worthwhile*l.capacity[fastest] {
		return keySpan{}, "", false
	}
	span = l.widen(record.At(l.keys[from][i].key), from, i, i)
	span.load = l.keys[from][i].rate
	if span.cuts > l.ranges {
		return keySpan{}, "", false
	}
	l.saturated[fastest] = true
	return span, fastest, true
}

// saturatedBy returns the index of the busiest of a server's keys if that fills the
// server by itself, or -1.
func (l *ledger) saturatedBy(name string) int {
	busiest, most := -1, saturatedShare*l.capacity[name]
	for i, busy := range l.keys[name] {
		if busy.rate >= most {
			busiest, most = i, busy.rate
		}
	}
	return busiest
}

// widen returns the run of a server's keys with the idle keys of its range
// beside it, if it reaches to an end of the range's busy keys.
func (l *ledger) widen(r *Range, name string, first, last int) keySpan {
	keys := l.keys[name]
	span := keySpan{from: keys[first].key, to: keys[last].key, first: first, n: last - first + 1}
	if first == 0 || keys[first-1].key < r.From {
		span.from = r.From
	}
	if last+1 == len(keys) || keys[last+1].key > r.To {
		span.to = r.To
	}
	if span.from != r.From {
		span.cuts++
	}
	if span.to != r.To {
		span.cuts++
	}
	return span
}

// move takes a run of keys from one server to another.
func (l *ledger) move(span keySpan, from, to string) Move {
	l.load[from] -= span.load
	l.load[to] += span.load
	l.spans[to] += int(span.to) - int(span.from) + 1
	l.keys[from] = slices.Delete(slices.Clone(l.keys[from]), span.first, span.first+span.n)
	l.ranges -= span.cuts
	return Move{From: span.from, To: span.to, Server: to}
}
