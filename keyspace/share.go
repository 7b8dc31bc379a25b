package keyspace

import (
	"cmp"
	"slices"
)

const (
	// oversubscribed is how many times what its owner can do a key must ask for, and
	// a standard deviation of what was measured more, before hosts are told to admit
	// a part only: queues at hosts and servers take up less than that.
	oversubscribed = 1.25
	// shareMargin is by how much the parts exceed what the owner can do: its speed is
	// known by a few samples, and it has a queue for what comes too early.
	shareMargin = 1.05
	// mostShares bounds the keys that are named to all hosts in each answer, in 1.5 KB.
	// A group of 60 keys that takes 0.4 of the load of 434 servers asks for 1.5 times
	// what the fastest owners can do, each by itself.
	mostShares = 128
)

// Shares returns, for the keys that ask for more than their owner can do by
// themselves, the part of it that the owner can take on. A key has one owner, so no
// move helps it; the owner's other keys leave with the next plans.
func (m *Machine) Shares(servers []Server) map[uint16]float64 {
	capacity := make(map[string]float64, len(servers))
	least := 0.0
	for _, server := range servers {
		able := server.capacity()
		capacity[server.ID] = able
		if least == 0 || able < least {
			least = able
		}
	}
	shares := map[uint16]float64{}
	for _, asked := range m.loads.atLeast(oversubscribed * least) {
		r := m.record.At(asked.key)
		able := 0.0
		if r != nil {
			able = capacity[r.Server]
		}
		if able > 0 && asked.rate > oversubscribed*able+m.loads.chance(asked.rate) && len(shares) < mostShares {
			shares[asked.key] = shareMargin * able / asked.rate
		}
	}
	return shares
}

// atLeast returns the keys that ask for some load or more, the busiest first.
func (k *KeyLoads) atLeast(least float64) []keyRate {
	factor := decayed(k.at - k.base)
	var busy []keyRate
	for key, rate := range k.rates {
		if rate*factor >= least {
			busy = append(busy, keyRate{key: key, rate: rate * factor})
		}
	}
	slices.SortFunc(busy, func(a, b keyRate) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.key, b.key)) })
	return busy
}
