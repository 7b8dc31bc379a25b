package placement

// splits returns where shards of the most loaded server should be divided. A
// shard with a hot hash is cut around that hash, so that its neighbours can
// move away from it; one without is cut in the middle.
func (p *Planner) splits(world World, ledger *ledger) []uint64 {
	if len(world.Page.Shards) >= p.policy.MostShards {
		return nil
	}
	heaviest := ledger.heaviest()
	limit := ledger.load[heaviest] * p.policy.SplitShare
	excess := ledger.load[heaviest] - ledger.meanPerSlot()*ledger.slots[heaviest]
	var cuts []uint64
	for _, entry := range ledger.items {
		if entry.owner != heaviest || entry.rate < limit || entry.rate < excess {
			continue
		}
		cuts = append(cuts, p.cut(world, entry)...)
	}
	return cuts
}

// cut returns the new shard boundaries for one shard, or none if it is a
// single hash already.
func (p *Planner) cut(world World, entry item) []uint64 {
	index := world.Page.ShardAt(entry.low)
	high := world.Page.ShardHigh(index)
	if entry.low == high {
		return nil
	}
	if len(entry.hot) > 0 && entry.hot[0].Rate >= entry.rate/2 {
		return p.cutAround(entry, high)
	}
	middle := entry.low + (high-entry.low)/2 + 1
	p.share(entry.low, middle)
	return []uint64{middle}
}

func (p *Planner) cutAround(entry item, high uint64) []uint64 {
	hot := entry.hot[0].Hash
	var cuts []uint64
	if hot > entry.low && hot <= high {
		cuts = append(cuts, hot)
	}
	if hot >= entry.low && hot < high {
		cuts = append(cuts, hot+1)
	}
	for _, at := range cuts {
		p.loads[at] = &average{at: p.observed, set: true, rate: 0}
	}
	if len(cuts) == 0 {
		return nil
	}
	p.spread(entry, cuts)
	return cuts
}

// spread gives the parts of a shard cut around its hot hash their loads.
func (p *Planner) spread(entry item, cuts []uint64) {
	rest := (entry.rate - entry.hot[0].Rate) / float64(len(cuts))
	p.loads[entry.low].rate = rest
	for _, at := range cuts {
		p.loads[at].rate = rest
	}
	if entry.hot[0].Hash == entry.low {
		p.loads[entry.low].rate = entry.hot[0].Rate
		return
	}
	p.loads[entry.hot[0].Hash].rate = entry.hot[0].Rate
}

// share divides a shard's load evenly between its halves.
func (p *Planner) share(low, middle uint64) {
	half := p.loads[low].rate / 2
	p.loads[low].rate = half
	p.loads[middle] = &average{at: p.observed, set: true, rate: half}
}
