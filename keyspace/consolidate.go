package keyspace

import (
	"cmp"
	"slices"
)

// maxConsolidatedKeys is the number of keys up to which a range is moved only in order to
// merge it: a hundredth of all keys. Keys are unavailable for the time of a release.
const maxConsolidatedKeys = (LastKey + 1) / 100

// consolidation merges ranges of a plan with a neighbour by moving their keys to the
// neighbour's owner. Each group of hot keys leaves behind a range for each of its keys, and
// without consolidation no key can be moved once they have used up the maximum: 450 ranges of
// 159 servers stayed as they were, and 40 servers with 60% of the requests let a fifth of them
// time out.
type consolidation struct {
	l     *loadModel
	share float64 // mean utilization
	// spans are the ranges that the plan has not considered yet, those with the least load and
	// keys first.
	spans []consolidationSpan
	built bool
	moves int // that may still be made
}

// consolidationSpan is the keys between two changes of owner.
type consolidationSpan struct {
	from, to uint16
	load     float64
	cost     float64 // share of all load plus share of all keys
}

func (s *consolidationSpan) keys() int { return int(s.to) - int(s.from) + 1 }

func newConsolidation(l *loadModel, share float64) *consolidation {
	return &consolidation{l: l, share: share, moves: l.maxMoves()}
}

// freeRanges plans moves until the plan may add the wanted number of ranges, as far as
// possible.
func (c *consolidation) freeRanges(wanted int) []Move {
	var moves []Move
	for c.l.rangesLeft < wanted && c.moves > 0 {
		move, ok := c.next()
		if !ok {
			break
		}
		c.moves--
		moves = append(moves, move)
	}
	return moves
}

// next plans the move of the first span that has a neighbour whose owner may take its keys.
func (c *consolidation) next() (Move, bool) {
	if !c.built {
		c.spans, c.built = c.l.consolidationSpans(), true
	}
	for len(c.spans) > 0 {
		span := c.spans[0]
		c.spans = c.spans[1:]
		if run, from, to, ok := c.merging(&span); ok {
			c.l.keyCounts[from] -= span.keys()
			return c.l.applyMove(run, from, to), true
		}
	}
	return Move{}, false
}

// merging returns the keys of a span as a run, with their owner and the owner of the adjacent
// range that they should be merged with. A server keeps its last keys, because the next plan
// would fill it again. No receiver is filled above the tolerance for overload.
func (c *consolidation) merging(span *consolidationSpan) (run keyRun, from, to string, ok bool) {
	l := c.l
	from, movable := l.movableOwner(span.from, span.to)
	if !movable || l.keyCounts[from] <= span.keys() {
		return keyRun{}, "", "", false
	}
	for _, name := range neighbours(l.planned, span.from, span.to) {
		if _, known := slices.BinarySearch(l.receivers, name); !known || name == from {
			continue
		}
		if span.load > 0 && l.load[name]+span.load > overloadTolerance*c.share*l.capacity[name] {
			continue
		}
		added := addedRanges(l.planned, Move{From: span.from, To: span.to, Server: name})
		if added < run.addedRanges || added < 0 && added == run.addedRanges && l.utilization(name) < l.utilization(to) {
			run, to = l.allKeys(&Range{From: span.from, To: span.to, Holder: Holder{Server: from}}, span.from, span.to, name), name
		}
	}
	return run, from, to, to != ""
}

// consolidationSpans returns the spans that may be moved in order to merge them, those with
// the least load and keys first.
func (l *loadModel) consolidationSpans() []consolidationSpan {
	total := 0.0
	for _, asked := range l.demand {
		total += asked.rate
	}
	var spans []consolidationSpan
	ranges := l.planned.Ranges
	for first := 0; first < len(ranges); {
		next := first + 1
		for next < len(ranges) && ranges[next].Server == ranges[first].Server {
			next++
		}
		span := consolidationSpan{from: ranges[first].From, to: ranges[next-1].To}
		first = next
		if span.keys() > maxConsolidatedKeys {
			continue
		}
		for _, asked := range l.busyIn(&Range{From: span.from, To: span.to}) {
			span.load += asked.rate
		}
		span.cost = float64(span.keys()) / (LastKey + 1)
		if total > 0 {
			span.cost += span.load / total
		}
		spans = append(spans, span)
	}
	slices.SortStableFunc(spans, func(a, b consolidationSpan) int { return cmp.Compare(a.cost, b.cost) })
	return spans
}

// movableOwner returns the owner of the keys, and reports whether it is the same for all of
// them and none of them is moving.
func (l *loadModel) movableOwner(from, to uint16) (string, bool) {
	owner := l.planned.RangeOf(from).Server
	for key := from; ; {
		r := l.planned.RangeOf(key)
		if r.Server != owner || r.Moving() {
			return "", false
		}
		if r.To >= to {
			return owner, true
		}
		key = r.To + 1
	}
}

// neighbours returns the owners of the keys on both sides.
func neighbours(record *Record, from, to uint16) []string {
	var owners []string
	if from > 0 {
		owners = append(owners, record.RangeOf(from-1).Server)
	}
	if to < LastKey {
		owners = append(owners, record.RangeOf(to+1).Server)
	}
	return owners
}

// addedRanges returns how many ranges a move of keys that have one owner adds after adjacent
// ranges of one owner have been merged: at most rangesAddedByMove, and less than 0 if the move
// leads to a merge.
func addedRanges(record *Record, move Move) int {
	owner, added := record.RangeOf(move.From).Server, 0
	for _, neighbour := range neighbours(record, move.From, move.To) {
		if neighbour != owner {
			added--
		}
		if neighbour != move.Server {
			added++
		}
	}
	return added
}

// allows reports whether the number of ranges permits a move. A move that adds none is
// permitted even above the maximum.
func (l *loadModel) allows(span keyRun) bool {
	return span.addedRanges <= max(l.rangesLeft, 0) && span.splits <= max(l.splitsLeft, 0)
}

// assign records in the planned ranges that a server gets the keys.
func (l *loadModel) assign(from, to uint16, server string) {
	l.split(from)
	if to < LastKey {
		l.split(to + 1)
	}
	for i := range l.planned.Ranges {
		if r := &l.planned.Ranges[i]; r.From >= from && r.To <= to {
			r.FormerHolders, r.Holder = []Holder{r.Holder}, Holder{Server: server}
		}
	}
}

// split splits the planned range that contains a key, so that a range starts at the key.
func (l *loadModel) split(at uint16) {
	r := l.planned.RangeOf(at)
	if r.From == at {
		return
	}
	left, right := *r, *r
	left.To, right.From = at-1, at
	i := slices.IndexFunc(l.planned.Ranges, func(have Range) bool { return have.From == left.From })
	l.planned.Ranges = slices.Replace(l.planned.Ranges, i, i+1, left, right)
}

// mergedRanges is the number of ranges of a record after adjacent ranges of one owner have
// been merged.
func mergedRanges(record *Record) int {
	n := 0
	for i := range record.Ranges {
		if i == 0 || record.Ranges[i].Server != record.Ranges[i-1].Server {
			n++
		}
	}
	return n
}
