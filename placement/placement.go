// Package placement decides which backend server should own which shard. It is
// pure: from the time and the loads it computes splits and moves of shards.
//
// A plan weighs the imbalance of load between the page's servers against the cost
// of moving shards. The cost of a move depends on the service: for one that weighs
// churn, a larger imbalance is left alone and fewer shards move at a time.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadarouter/record"
)

// HotHash is a key hash that carries a large part of its shard's load.
type HotHash struct {
	Hash uint64
	Rate float64
}

// ShardLoad is one measurement of a shard's load, in busy slots.
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

// Input is what a plan is computed from.
type Input struct {
	Now     time.Duration
	Page    record.Page
	Weigh   record.Weigh
	Servers []Server
}

// Move gives the shard that begins at Low to another server.
type Move struct {
	Low uint64
	To  string
}

// Plan lists the splits and moves to make now.
type Plan struct {
	Splits []uint64
	Moves  []Move
}

// Policy holds the parameters of planning.
type Policy struct {
	// Smoothing is the time constant of the load averages.
	Smoothing time.Duration
	// MinPlanInterval is the minimum time between two plans that balance load.
	MinPlanInterval time.Duration
	// Tolerance is the imbalance (utilization of the most utilized server over the
	// mean) that is left alone, by what the service weighs.
	Tolerance map[record.Weigh]float64
	// MovesPerPlan limits the moves that balance load in one plan.
	MovesPerPlan map[record.Weigh]int
	// MinUtilization is the fraction of its slots that the most utilized server
	// must have busy before shards are moved to balance load. Below it no request
	// waits for a slot, and an apparent imbalance is mostly random.
	MinUtilization float64
	// MinSplitFraction is the fraction of a server's load that one shard must carry
	// to be split.
	MinSplitFraction float64
	// MaxShards limits the shards of a page: a page with as many is not split
	// further.
	MaxShards int
}

// DefaultPolicy returns the policy that docs/design/placement.md evaluates.
func DefaultPolicy() Policy {
	return Policy{
		Smoothing:        time.Second,
		MinPlanInterval:  1500 * time.Millisecond,
		Tolerance:        map[record.Weigh]float64{record.WeighUnavailability: 1.15, record.WeighChurn: 1.35},
		MovesPerPlan:     map[record.Weigh]int{record.WeighUnavailability: 6, record.WeighChurn: 2},
		MinUtilization:   0.1,
		MinSplitFraction: 0.35,
		MaxShards:        4000,
	}
}

// Planner computes plans for one page from the loads that are reported to it. It is
// not safe for concurrent use.
type Planner struct {
	policy         Policy
	loads          map[uint64]*loadAverage
	lastObservedAt time.Duration
	lastPlanAt     time.Duration
	loadByOwner    map[string]float64 // load by owner at the last plan
}

// NewPlanner returns a planner without load measurements.
func NewPlanner(policy Policy) *Planner {
	return &Planner{policy: policy, loads: map[uint64]*loadAverage{}, loadByOwner: map[string]float64{}}
}

// Observe records the loads of shards that a dispatch router reports. Shards that
// are not reported were idle.
func (p *Planner) Observe(now time.Duration, loads []ShardLoad) {
	p.lastObservedAt = now
	reported := make(map[uint64]bool, len(loads))
	for _, load := range loads {
		reported[load.Low] = true
	}
	for low, known := range p.loads {
		if !reported[low] {
			known.add(now, p.policy.Smoothing, ShardLoad{Low: low})
		}
	}
	for _, load := range loads {
		known, ok := p.loads[load.Low]
		if !ok {
			known = &loadAverage{}
			p.loads[load.Low] = known
		}
		known.add(now, p.policy.Smoothing, load)
	}
}

// LeastLoadedFirst orders servers by the load that they had at the last plan.
func (p *Planner) LeastLoadedFirst(names []string) []string {
	ordered := slices.Clone(names)
	slices.SortStableFunc(ordered, func(a, b string) int { return cmp.Compare(p.loadByOwner[a], p.loadByOwner[b]) })
	return ordered
}

// Plan returns the changes to make now. Shards whose owner is no longer eligible
// are always moved; splits and moves that balance load are made at most once per
// MinPlanInterval, and not while shards are releasing.
func (p *Planner) Plan(input Input) Plan {
	if len(input.Servers) == 0 {
		return Plan{}
	}
	model := p.newLoadModel(input)
	plan := Plan{Moves: model.evacuate()}
	p.loadByOwner = maps.Clone(model.load)
	if len(plan.Moves) > 0 || model.releasing > 0 {
		return plan
	}
	if p.lastPlanAt != 0 && input.Now-p.lastPlanAt < p.policy.MinPlanInterval {
		return plan
	}
	plan = p.balance(input, model)
	if len(plan.Moves)+len(plan.Splits) > 0 {
		p.lastPlanAt = input.Now
	}
	return plan
}

func (p *Planner) balance(input Input, model *loadModel) Plan {
	if moves := model.fillIdleServers(p.policy.MovesPerPlan[input.Weigh]); len(moves) > 0 {
		return Plan{Moves: moves}
	}
	if model.utilization(model.mostUtilized()) < p.policy.MinUtilization {
		return Plan{}
	}
	tolerance := p.policy.Tolerance[input.Weigh]
	if model.imbalance() <= tolerance {
		return Plan{}
	}
	if splits := p.splits(input, model); len(splits) > 0 {
		return Plan{Splits: splits}
	}
	return Plan{Moves: model.rebalance(tolerance, p.policy.MovesPerPlan[input.Weigh])}
}
