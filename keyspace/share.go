package keyspace

import (
	"cmp"
	"slices"

	"cicadarouter/admission"
)

const (
	// oversubscriptionFactor is the demand for a key, relative to its owner's capacity, above
	// which hosts are told to admit only a part of the requests. Queues at hosts and servers
	// absorb less. The demand must exceed it by a standard deviation of the measurement.
	oversubscriptionFactor = 1.25
	// admissionMargin is how far the admitted load exceeds the owner's capacity: the speed is
	// estimated from few samples, and the owner has a queue for requests that come early.
	admissionMargin = 1.05
	// maxAdmissionShares bounds the keys and the owners sent to all hosts in each answer. Each
	// key of a group of 60 with 0.4 of the load of 434 servers has 1.5 times the demand that
	// the fastest owners can serve.
	maxAdmissionShares = 128
)

// AdmissionShares returns, for each key with more demand than its owner can serve even by
// itself, the part of the requests to admit. A key has one owner, so a move does not help;
// later plans move the owner's other keys away.
func (m *StateMachine) AdmissionShares(servers []Server) map[uint16]float64 {
	shares := map[uint16]float64{}
	for _, limited := range m.limitedKeys(servers) {
		shares[limited.key] = limited.admitted / limited.rate
	}
	return shares
}

// limitedKey is a key with more demand than its owner can serve even by itself.
type limitedKey struct {
	keyRate
	admitted float64 // slots
}

// limitedKeys returns the keys whose admission is limited, the busiest first.
func (m *StateMachine) limitedKeys(servers []Server) []limitedKey {
	capacities := capacitiesOf(servers)
	minCapacity := 0.0
	for _, capacity := range capacities {
		if minCapacity == 0 || capacity < minCapacity {
			minCapacity = capacity
		}
	}
	var limited []limitedKey
	for _, asked := range m.loads.atLeast(oversubscriptionFactor * minCapacity) {
		r := m.record.RangeOf(asked.key)
		capacity := 0.0
		if r != nil {
			capacity = capacities[r.Server]
		}
		if capacity > 0 && asked.rate > oversubscriptionFactor*capacity+m.loads.stdDev(asked.rate) && len(limited) < maxAdmissionShares {
			limited = append(limited, limitedKey{keyRate: asked, admitted: admissionMargin * capacity})
		}
	}
	return limited
}

func capacitiesOf(servers []Server) map[string]float64 {
	capacities := make(map[string]float64, len(servers))
	for _, server := range servers {
		capacities[server.ID] = server.capacity()
	}
	return capacities
}

// Shares are the parts of the requests to admit for overloaded keys and owners.
type Shares struct {
	Keys   map[uint16]admission.Fractions
	Owners map[string]admission.Fractions // by server ID
}

// SharesByPriority returns the fractions by priority for the keys that AdmissionShares limits,
// and for the owners whose keys together ask for more than they can serve. A request must be
// admitted by the fractions of its key and then by those of its owner.
//
// Load pattern: a plan takes seconds to move the keys of overloaded owners away, and while most
// servers are full it finds no room for them. Without limits requests hold slots until they
// time out, the most urgent ones as often as the others.
func (m *StateMachine) SharesByPriority(servers []Server) Shares {
	shares := Shares{Keys: map[uint16]admission.Fractions{}, Owners: map[string]admission.Fractions{}}
	for _, limited := range m.limitedKeys(servers) {
		shares.Keys[limited.key] = admission.Divide(limited.admitted, m.loads.byPriority(limited.keyRate))
	}
	demand := m.admittedDemand(shares.Keys)
	for _, owner := range m.overloadedOwners(servers, demand) {
		// An owner is admitted as much as one below the limit may get, so that the limit does not take
		// effect with a jump. Its other keys move away meanwhile.
		shares.Owners[owner.id] = admission.Divide(oversubscriptionFactor*owner.capacity, demand[owner.id])
	}
	return shares
}

// admittedDemand returns the demand for the keys of each owner by priority, after the limits of
// single keys.
func (m *StateMachine) admittedDemand(limited map[uint16]admission.Fractions) map[string]map[admission.Class]float64 {
	demand := map[string]map[admission.Class]float64{}
	m.loads.forEach(func(asked keyRate) {
		r := m.record.RangeOf(asked.key)
		if r == nil {
			return
		}
		if demand[r.Server] == nil {
			demand[r.Server] = map[admission.Class]float64{}
		}
		for class, part := range m.loads.byPriority(asked) {
			if fraction, listed := limited[asked.key][class]; listed {
				part *= fraction
			}
			demand[r.Server][class] += part
		}
	})
	return demand
}

// overloadedOwner is a server with more demand than it can serve.
type overloadedOwner struct {
	id       string
	capacity float64
	excess   float64 // demand relative to the capacity
}

// overloadedOwners returns the owners whose admission is limited, the most overloaded first.
func (m *StateMachine) overloadedOwners(servers []Server, demand map[string]map[admission.Class]float64) []overloadedOwner {
	var owners []overloadedOwner
	for id, capacity := range capacitiesOf(servers) {
		total := 0.0
		for _, part := range demand[id] {
			total += part
		}
		if capacity > 0 && total > oversubscriptionFactor*capacity+m.loads.stdDev(total) {
			owners = append(owners, overloadedOwner{id: id, capacity: capacity, excess: total / capacity})
		}
	}
	slices.SortFunc(owners, func(a, b overloadedOwner) int {
		return cmp.Or(cmp.Compare(b.excess, a.excess), cmp.Compare(a.id, b.id))
	})
	return owners[:min(len(owners), maxAdmissionShares)]
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
