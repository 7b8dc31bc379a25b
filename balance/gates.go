package balance

import (
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"cicadarouter/admission"
)

// Decider tells what decided that a request is rejected as overload.
type Decider string

// Deciders.
const (
	// DecidedByService: the service's capacity does not suffice for the request's class.
	DecidedByService Decider = "service"
	// DecidedByOwner: the owner of the request's key can't serve all that is asked of its keys.
	DecidedByOwner Decider = "owner"
	// DecidedByKey: the owner can't even serve what is asked of this one key.
	DecidedByKey Decider = "key"
	// DecidedByHost: this host expects too long a wait, or the request has waited too long.
	DecidedByHost Decider = "host"
)

// GateDecision is what was decided on a request of a service that is divided by priority.
type GateDecision struct {
	By    Decider
	Class admission.Class
	// Fraction is the fraction of such requests that hosts admit, Age the age of that fraction.
	Fraction float64
	Age      time.Duration
}

// gates decide which requests of a service that is divided by priority this host admits.
type gates struct {
	service *admission.Gate
	keys    map[uint16]*admission.Gate
	owners  map[string]*admission.Gate // by server ID
	random  *rand.Rand
	counts  AdmissionCounts
}

// AdmissionCounts counts decisions since the start.
type AdmissionCounts struct {
	// Admitted and Rejected count by priority what gates decided.
	Admitted, Rejected map[int]uint64
	// RejectedWithRoom and HeldThenRejected count wrong forecasts, like admission.Snapshot.
	RejectedWithRoom, HeldThenRejected uint64
}

// AdmissionState is the state of the division by priority, for metrics.
type AdmissionState struct {
	AdmissionCounts
	// Service is the state of the gate of a service without keys.
	Service admission.Snapshot
	// Keys and Owners count the keys and owners whose requests are limited.
	Keys, Owners int
}

// SetDividedByPriority sets whether the service's capacity is divided by priority. If not, the
// pool decides alone.
func (p *Pool) SetDividedByPriority(now time.Duration, divided bool) {
	if divided == (p.gates != nil) {
		return
	}
	p.gates = nil
	if divided {
		p.gates = &gates{random: p.random, service: admission.NewGate(p.random), keys: map[uint16]*admission.Gate{}, owners: map[string]*admission.Gate{},
			counts: AdmissionCounts{Admitted: map[int]uint64{}, Rejected: map[int]uint64{}}}
		p.gates.service.Report(now) // begins the first report
	}
}

// SetFractions sets the fractions of the requests of a service without keys to admit. The error
// is an *admission.FieldError; the earlier fractions then stay.
func (p *Pool) SetFractions(now time.Duration, fractions admission.Fractions) error {
	if p.gates == nil {
		return nil
	}
	return p.gates.service.Set(now, fractions)
}

// SetShares sets the fractions of the requests for overloaded keys, and for the keys of overloaded
// owners, to admit. Keys and owners that are not named are not limited. Invalid fractions are left
// out; the error joins an *admission.FieldError for each.
func (p *Pool) SetShares(now time.Duration, keys map[uint16]admission.Fractions, owners map[string]admission.Fractions) error {
	if p.gates == nil {
		return nil
	}
	return errors.Join(setGates(p.gates, now, p.gates.keys, keys), setGates(p.gates, now, p.gates.owners, owners))
}

func setGates[K comparable](g *gates, now time.Duration, known map[K]*admission.Gate, fractions map[K]admission.Fractions) error {
	for of, gate := range known {
		if len(fractions[of]) == 0 {
			g.retire(now, gate)
			delete(known, of)
		}
	}
	var errs []error
	for of, each := range fractions {
		if len(each) == 0 {
			continue
		}
		if known[of] == nil {
			known[of] = admission.NewGate(g.random)
		}
		errs = append(errs, known[of].Set(now, each))
	}
	return errors.Join(errs...)
}

// retire keeps the counts of a gate that is removed.
func (g *gates) retire(now time.Duration, gate *admission.Gate) {
	_ = gate.Set(now, nil) // can't fail; ends what the gate has promised
	last := gate.Snapshot(now)
	g.counts.RejectedWithRoom += last.RejectedWithRoom
	g.counts.HeldThenRejected += last.HeldThenRejected
}

// AdmissionReport returns what this host saw of a service without keys since the last report, for
// the controller.
func (p *Pool) AdmissionReport(now time.Duration) admission.Report {
	if p.gates == nil {
		return admission.Report{}
	}
	return p.gates.service.Report(now)
}

// AdmissionState returns the state for metrics; ok is false if the service is not divided by
// priority.
func (p *Pool) AdmissionState(now time.Duration) (state AdmissionState, ok bool) {
	if p.gates == nil {
		return AdmissionState{}, false
	}
	state = AdmissionState{AdmissionCounts: p.gates.counts, Service: p.gates.service.Snapshot(now), Keys: len(p.gates.keys), Owners: len(p.gates.owners)}
	state.Admitted, state.Rejected = maps.Clone(state.Admitted), maps.Clone(state.Rejected)
	add := func(s admission.Snapshot) {
		state.RejectedWithRoom += s.RejectedWithRoom
		state.HeldThenRejected += s.HeldThenRejected
	}
	add(state.Service)
	for _, gate := range p.gates.keys {
		add(gate.Snapshot(now))
	}
	for _, gate := range p.gates.owners {
		add(gate.Snapshot(now))
	}
	return state, true
}

// checkGates returns a rejection if the service's division by priority leaves no room for the
// request.
func (p *Pool) checkGates(now time.Duration, waiter *Waiter) *RejectedError {
	if p.gates == nil || waiter.Admission != nil {
		return nil
	}
	class := admission.ClassOf(waiter.Priority, waiter.Arrived-waiter.firstAttemptAt)
	if waiter.Keyed && p.owner != nil {
		return p.checkKeyGates(now, waiter, class)
	}
	return p.gates.check(now, waiter, p.gates.service, DecidedByService, class, class, p.serviceTime(waiter.Objective))
}

// checkKeyGates applies the gate of the request's key and then that of its owner. For keys, the
// controller does not distinguish returning requests.
func (p *Pool) checkKeyGates(now time.Duration, waiter *Waiter, class admission.Class) *RejectedError {
	asked, work := admission.Class{Priority: class.Priority}, p.serviceTime(waiter.Objective)
	waiter.Admission = &GateDecision{Class: class, Fraction: 1}
	if gate := p.gates.keys[waiter.Key]; gate != nil {
		if rejected := p.gates.check(now, waiter, gate, DecidedByKey, class, asked, work); rejected != nil {
			return rejected
		}
	}
	id, _ := p.owner.OwnerOf(waiter.Key)
	if gate := p.gates.owners[id]; gate != nil {
		if rejected := p.gates.check(now, waiter, gate, DecidedByOwner, class, asked, work); rejected != nil {
			return rejected
		}
	}
	p.gates.counts.Admitted[class.Priority]++
	return nil
}

// check asks one gate about a request. asked is the class that the gate distinguishes.
func (g *gates) check(now time.Duration, waiter *Waiter, gate *admission.Gate, by Decider, class, asked admission.Class, work time.Duration) *RejectedError {
	decision := gate.Admit(now, asked, work)
	waiter.gate = gate
	waiter.Admission = &GateDecision{By: by, Class: class, Fraction: decision.Fraction, Age: decision.Age}
	if decision.Admitted {
		if by == DecidedByService {
			g.counts.Admitted[class.Priority]++
		}
		return nil
	}
	g.counts.Rejected[class.Priority]++
	return &RejectedError{Reason: Overload, RetryAfter: decision.RetryAfter, Expected: decision.RetryAfter, Decision: waiter.Admission}
}

// hasKeyGate reports whether a gate decides on the requests for a key.
func (p *Pool) hasKeyGate(key uint16) bool { return p.gates != nil && p.gates.keys[key] != nil }

// recordQueue records the queue that a server reported with an answer.
func (p *Pool) recordQueue(server *Server, load Load, refused bool) {
	if p.gates != nil {
		p.gates.service.Answered(float64(load.Waiting)/float64(max(server.Slots, 1)), refused)
	}
}

// decidedByHost returns the decision on a request that was admitted by gates and that this host
// rejects, or nil if the service is not divided by priority.
func (w *Waiter) decidedByHost() *GateDecision {
	if w.Admission == nil {
		return nil
	}
	decision := *w.Admission
	decision.By = DecidedByHost
	return &decision
}

// noteHeldThenRejected records that a request was rejected as overload after it had waited.
func (w *Waiter) noteHeldThenRejected(now time.Duration) {
	if w.gate != nil {
		w.gate.HeldThenRejected(now)
	}
}

// UsableSlots returns the slots of the servers that may be used, in slots of mean speed.
func (p *Pool) UsableSlots(now time.Duration) float64 {
	total := 0.0
	for _, server := range p.servers.sorted {
		if !server.Leaving() && !server.unreachable(now) {
			total += p.usableSlots(now, server)
		}
	}
	return total
}

// usableSlots does not go through Speed, which leaves half of a server's limit unused for the
// sake of keys.
func (p *Pool) usableSlots(now time.Duration, server *Server) float64 {
	slots := float64(server.Slots) * p.speedWithoutLimit(now, server)
	if server.hasLimit() {
		slots = min(slots, server.limit.perSecond*p.meanServiceTime.Seconds())
	}
	return slots
}
