package keyspace

import (
	"cmp"
	"slices"
)

const (
	// oversubscriptionFactor is the demand for a key, relative to its owner's capacity, above
	// which hosts are told to admit only a part of the requests. Queues at hosts and servers
	// absorb less. The demand must exceed it by a standard deviation of the measurement.
	oversubscriptionFactor = 1.25
	// admissionMargin is how far the admitted load exceeds the owner's capacity: the speed is
	// estimated from few samples, and the owner has a queue for requests that come early.
	admissionMargin = 1.05
	// maxAdmissionShares bounds the keys sent to all hosts in each answer, in 1.5 KB. Each
	// key of a group of 60 with 0.4 of the load of 434 servers has 1.5 times the demand that
	// the fastest owners can serve.
	maxAdmissionShares = 128
)

// AdmissionShares returns, for each key with more demand than its owner can serve even by
// itself, the part of the requests to admit. A key has one owner, so a move does not help;
// later plans move the owner's other keys away.
func (m *StateMachine) AdmissionShares(servers []Server) map[uint16]float64 {
	capacities := make(map[string]float64, len(servers))
	minCapacity := 0.0
	for _, server := range servers {
		capacity := server.capacity()
		capacities[server.ID] = capacity
		if minCapacity == 0 || capacity < minCapacity {
			minCapacity = capacity
		}
	}
	shares := map[uint16]float64{}
	for _, asked := range m.loads.atLeast(oversubscriptionFactor * minCapacity) {
		r := m.record.RangeOf(asked.key)
		capacity := 0.0
		if r != nil {
			capacity = capacities[r.Server]
		}
		if capacity > 0 && asked.rate > oversubscriptionFactor*capacity+m.loads.stdDev(asked.rate) && len(shares) < maxAdmissionShares {
			shares[asked.key] = admissionMargin * capacity / asked.rate
		}
	}
	return shares
}

// atLeast returns the keys with at least the given load, the busiest first.
func (k *KeyLoads) atLeast(least float64) []keyRate {
	factor := decayFactor(k.lastReport - k.base)
	var busy []keyRate
	for key, rate := range k.rates {
		if rate*factor >= least {
			busy = append(busy, keyRate{key: key, rate: rate * factor})
		}
	}
	slices.SortFunc(busy, func(a, b keyRate) int { return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.key, b.key)) })
	return busy
}
