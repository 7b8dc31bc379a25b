package placement

// splits returns where to divide shards of the most utilized server. A shard with a
// hot hash is split around that hash, so that the neighbouring hashes can be moved
// away from it; any other is split in the middle.
func (p *Planner) splits(input Input, model *loadModel) []uint64 {
	if len(input.Page.Shards) >= p.policy.MaxShards {
		return nil
	}
	mostUtilized := model.mostUtilized()
	limit := model.load[mostUtilized] * p.policy.MinSplitFraction
	excess := model.load[mostUtilized] - model.meanUtilization()*model.slots[mostUtilized]
	var points []uint64
	for _, entry := range model.shards {
		if entry.owner != mostUtilized || entry.rate < limit || entry.rate < excess {
			continue
		}
		points = append(points, p.splitPoints(input, entry)...)
	}
	return points
}

// splitPoints returns the new shard boundaries for one shard, or none if it is a
// single hash already.
func (p *Planner) splitPoints(input Input, entry loadedShard) []uint64 {
	index := input.Page.ShardAt(entry.low)
	high := input.Page.ShardHigh(index)
	if entry.low == high {
		return nil
	}
	if len(entry.hot) > 0 && entry.hot[0].Rate >= entry.rate/2 {
		return p.splitAroundHotHash(entry, high)
	}
	middle := entry.low + (high-entry.low)/2 + 1
	p.splitLoadEvenly(entry.low, middle)
	return []uint64{middle}
}

func (p *Planner) splitAroundHotHash(entry loadedShard, high uint64) []uint64 {
	hot := entry.hot[0].Hash
	var points []uint64
	if hot > entry.low && hot <= high {
		points = append(points, hot)
	}
	if hot >= entry.low && hot < high {
		points = append(points, hot+1)
	}
	for _, at := range points {
		p.loads[at] = &loadAverage{updatedAt: p.lastObservedAt, initialized: true, rate: 0}
	}
	if len(points) == 0 {
		return nil
	}
	p.assignPartLoads(entry, points)
	return points
}

// assignPartLoads sets the load averages of the parts of a shard that is split
// around its hot hash.
func (p *Planner) assignPartLoads(entry loadedShard, points []uint64) {
	rest := (entry.rate - entry.hot[0].Rate) / float64(len(points))
	p.loads[entry.low].rate = rest
	for _, at := range points {
		p.loads[at].rate = rest
	}
	if entry.hot[0].Hash == entry.low {
		p.loads[entry.low].rate = entry.hot[0].Rate
		return
	}
	p.loads[entry.hot[0].Hash].rate = entry.hot[0].Rate
}

// splitLoadEvenly divides a shard's load average evenly between its halves.
func (p *Planner) splitLoadEvenly(low, middle uint64) {
	half := p.loads[low].rate / 2
	p.loads[low].rate = half
	p.loads[middle] = &loadAverage{updatedAt: p.lastObservedAt, initialized: true, rate: half}
}
