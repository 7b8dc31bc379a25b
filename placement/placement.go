// Package placement decides which server should own which shard. It is pure:
// time and loads come in, splits and moves come out.
//
// The cost of a plan is the imbalance of load over the page's servers plus the
// price of the moves that lead there. The price depends on the service: one
// that weighs churn moves only what pays back several times over.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadarouter/record"
)

// HotHash is a single hash that carries a large part of its shard's load.
type HotHash struct {
	Hash uint64
	Rate float64
}

// ShardLoad is one observation of a shard's load, in busy slots.
type ShardLoad struct {
	Low  uint64
	Rate float64
	Hot  []HotHash
}

// Server is a backend server that may own shards.
type Server struct {
	Name  string
	Slots int
}

// World is what a plan is made from.
type World struct {
	Now     time.Duration
	Page    record.Page
	Weigh   record.Weigh
	Servers []Server
}

// Move takes the shard that begins at Low to another server.
type Move struct {
	Low uint64
	To  string
}

// Plan lists the splits and moves to make now.
type Plan struct {
	Splits []uint64
	Moves  []Move
}

// Policy holds the numbers that plans are judged by.
type Policy struct {
	// Smoothing is the time constant of the load averages.
	Smoothing time.Duration
	// Settle is the least time between two plans that move load.
	Settle time.Duration
	// Tolerance is the imbalance (most loaded over mean) that is left alone,
	// by what the service weighs.
	Tolerance map[record.Weigh]float64
	// MovesPerPlan bounds the moves for balance in one plan.
	MovesPerPlan map[record.Weigh]int
	// LeastLoad is the share of its slots that the heaviest server must have
	// busy before load is worth a move. Below it nobody waits for a slot, and
	// what looks like imbalance is mostly chance.
	LeastLoad float64
	// SplitShare is the part of a server's load that one shard must carry to be split.
	SplitShare float64
	// MostShards bounds the shards of a page.
	MostShards int
}

// DefaultPolicy is the policy measured in docs/design/placement.md.
func DefaultPolicy() Policy {
	return Policy{
		Smoothing:    time.Second,
		Settle:       1500 * time.Millisecond,
		Tolerance:    map[record.Weigh]float64{record.WeighUnavailability: 1.15, record.WeighChurn: 1.35},
		MovesPerPlan: map[record.Weigh]int{record.WeighUnavailability: 6, record.WeighChurn: 2},
		LeastLoad:    0.1,
		SplitShare:   0.35,
		MostShards:   4000,
	}
}

// Planner makes plans for one page from the loads that it is told. It is not
// safe for concurrent use.
type Planner struct {
	policy   Policy
	loads    map[uint64]*average
	observed time.Duration
	planned  time.Duration
	owners   map[string]float64 // load by owner at the last plan
}

// NewPlanner returns a planner without observations.
func NewPlanner(policy Policy) *Planner {
	return &Planner{policy: policy, loads: map[uint64]*average{}, owners: map[string]float64{}}
}

// Observe takes the loads of shards as a dispatch router reports them. Shards
// that it leaves out were idle.
func (p *Planner) Observe(now time.Duration, loads []ShardLoad) {
	p.observed = now
	told := make(map[uint64]bool, len(loads))
	for _, load := range loads {
		told[load.Low] = true
	}
	for low, known := range p.loads {
		if !told[low] {
			known.add(now, p.policy.Smoothing, ShardLoad{Low: low})
		}
	}
	for _, load := range loads {
		known, ok := p.loads[load.Low]
		if !ok {
			known = &average{}
			p.loads[load.Low] = known
		}
		known.add(now, p.policy.Smoothing, load)
	}
}

// LeastLoadedFirst orders servers by the load that they had at the last plan.
func (p *Planner) LeastLoadedFirst(names []string) []string {
	ordered := slices.Clone(names)
	slices.SortStableFunc(ordered, func(a, b string) int { return cmp.Compare(p.owners[a], p.owners[b]) })
	return ordered
}

// Plan returns what to change. Shards whose owner may no longer own anything
// are always moved; moves for balance come at most once per Settle.
func (p *Planner) Plan(world World) Plan {
	if len(world.Servers) == 0 {
		return Plan{}
	}
	ledger := p.newLedger(world)
	plan := Plan{Moves: ledger.evacuate()}
	p.owners = maps.Clone(ledger.load)
	if len(plan.Moves) > 0 || ledger.releasing > 0 {
		return plan
	}
	if p.planned != 0 && world.Now-p.planned < p.policy.Settle {
		return plan
	}
	plan = p.balance(world, ledger)
	if len(plan.Moves)+len(plan.Splits) > 0 {
		p.planned = world.Now
	}
	return plan
}

func (p *Planner) balance(world World, ledger *ledger) Plan {
	if moves := ledger.spreadCount(p.policy.MovesPerPlan[world.Weigh]); len(moves) > 0 {
		return Plan{Moves: moves}
	}
	if ledger.perSlot(ledger.heaviest()) < p.policy.LeastLoad {
		return Plan{}
	}
	tolerance := p.policy.Tolerance[world.Weigh]
	if ledger.imbalance() <= tolerance {
		return Plan{}
	}
	if splits := p.splits(world, ledger); len(splits) > 0 {
		return Plan{Splits: splits}
	}
	return Plan{Moves: ledger.level(tolerance, p.policy.MovesPerPlan[world.Weigh])}
}
