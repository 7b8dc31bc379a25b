package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandSmoothing is the time constant of the measured demand. An exponential mean with this
	// constant has the variance of a mean over 1 s, which is two reports.
	demandSmoothing = 500 * time.Millisecond
	// silenceAllowed is how long a host may be silent before its demand decays: a report may be
	// lost or late.
	silenceAllowed = time.Second
	// hostLifetime is how long a silent host's demand counts.
	hostLifetime = 2 * time.Second
	// hostMemory is how long a silent host counts as one of the known hosts. Hosts that are cut off
	// from the controller decide alone; if they are the majority, the others do too.
	hostMemory = 30 * time.Second
	// startDelay is how long no fractions are given at first: a controller that has just started has
	// received only part of the demand.
	startDelay = 3 * time.Second
	// minKnownShare is the part of the known hosts that must have reported.
	minKnownShare = 0.5
	// minStep is the time between two corrections of the capacity. Fractions are computed every
	// 500 ms; the difference allows for timers that fire early.
	minStep = 400 * time.Millisecond
	// negligibleShare is the part of the slots below which the demand of a class is ignored. A class
	// that no route has any more would otherwise keep the floor of the least urgent priority.
	negligibleShare = 0.001

	// forecastAhead is how far demand is extrapolated. Reports, fractions and the answers that carry
	// them take as long in all; a demand that swings by 30% in that time otherwise leaves slots idle
	// while it falls.
	forecastAhead = time.Second
	// maxGrowth bounds the extrapolation.
	maxGrowth = 1.3

	// highQueue and lowQueue are the mean numbers of queued requests per slot above which the usable
	// capacity falls and below which it grows. A queue of one request per slot takes as long
	// as the work itself.
	highQueue, lowQueue = 1.0, 0.5
	// correctionStep is the factor by which a step changes the usable capacity. A queue fills faster
	// than fractions take effect, so with 0.9 the capacity swings between 0.5 and 1.4 times the slots.
	correctionStep = 0.98
	// queueGain is how much a queue that differs by one request per slot from targetQueue changes the
	// usable capacity for this step only, in addition. It damps the correction. targetQueue is above
	// highQueue, because what hosts admit arrives unevenly: with highQueue 5% of the slot time is idle
	// in the replay, with 1.25 some 4%.
	queueGain   = 0.3
	targetQueue = 1.25
	// maxDampedQueue bounds the queue that counts for queueGain.
	maxDampedQueue = 2.5
	// minCorrection and maxCorrection bound the usable capacity, relative to the slots. The lower
	// bound keeps a service from being closed for queues that other callers than these hosts have caused.
	minCorrection, maxCorrection = 0.2, 1.5

	// refusedWeight is the weight of a step in the share of requests that servers refuse although
	// they have room. maxRefusedShare bounds the share that is made up for.
	refusedWeight, maxRefusedShare = 0.5, 2.0 / 3
	// shortQueue is the number of queued requests per slot up to which a refusal is not due to
	// overload.
	shortQueue = lowQueue
)

// Report is what one host saw of a service since its last report.
type Report struct {
	// Span is the time that the report covers.
	Span time.Duration
	// Demand is the slot time of the requests that asked for a server, whether or not they were
	// admitted.
	Demand Demand
	// Queue is the mean number of queued requests per slot that servers reported with Answers
	// answers.
	Queue   float64
	Answers int
	// Refused is how many of the answers were refusals by servers with short queues. Such requests
	// have occupied no slot.
	Refused int
}

// Allocator computes the fractions of one service without keys, at the coordinating controller.
type Allocator struct {
	hosts   map[string]*hostDemand
	started bool
	// startedAt is the time of the first call.
	startedAt time.Duration
	// steppedAt is when current was computed.
	steppedAt time.Duration
	current   Fractions
	// total is the demand of all classes at the last step, in slots.
	total float64
	// correction is the usable capacity relative to the slots, as queues have shown in the long
	// run; damping is a factor for the current step.
	correction, damping float64
	// queued is the sum of the queues reported since the last step, weighted by answers; refused
	// counts the refusals among them.
	queued, answers, refused float64
	// refusedShare is the smoothed share of the answers that were refusals.
	refusedShare float64
}

// hostDemand is the smoothed demand of one host: the decayed sums of the work and of the time
// of its reports. As the demand is their quotient, a report that is lost does not lower it.
type hostDemand struct {
	work       map[Class]float64 // seconds
	span       float64           // seconds
	reportedAt time.Duration
}

// NewAllocator returns an Allocator that has heard from no host.
func NewAllocator() *Allocator {
	return &Allocator{hosts: map[string]*hostDemand{}, correction: 1, damping: 1}
}

// Add adds a host's report. A report with an invalid value is ignored.
func (a *Allocator) Add(now time.Duration, host string, report Report) {
	a.start(now)
	if report.Span <= 0 || math.IsNaN(report.Queue) || math.IsInf(report.Queue, 0) || report.Queue < 0 || report.Answers < 0 || report.Refused < 0 || report.Refused > report.Answers {
		return
	}
	known := a.hosts[host]
	if known == nil || now-known.reportedAt >= hostLifetime {
		known = &hostDemand{work: map[Class]float64{}}
		a.hosts[host] = known
	} else if now-known.reportedAt < report.Span/2 {
		// The report covers time that the last one has covered: it is a second copy, or it has come
		// together with its successor.
		return
	}
	keep := math.Exp(-report.Span.Seconds() / demandSmoothing.Seconds())
	for class := range known.work {
		known.work[class] *= keep
	}
	for class, work := range report.Demand {
		known.work[class] += max(work, 0).Seconds()
	}
	known.span = known.span*keep + report.Span.Seconds()
	known.reportedAt = now
	a.queued += report.Queue * float64(report.Answers)
	a.answers += float64(report.Answers)
	a.refused += float64(report.Refused)
}

// Fractions returns the current fractions, given the slots of all servers that may be used, in
// slots of mean speed. It is called every 500 ms; a call that follows sooner returns the
// fractions of the one before. The result is nil if everything is to be admitted, or if too little
// is known: of a service without slots, hosts know more than the controller.
func (a *Allocator) Fractions(now time.Duration, slots float64) Fractions {
	a.start(now)
	if a.steppedAt > a.startedAt && now-a.steppedAt < minStep {
		return maps.Clone(a.current)
	}
	demand, heard := a.demand(now, slots)
	a.forecast(now, demand)
	a.steppedAt = now
	a.correct(a.total > slots*a.usable())
	a.current = nil
	if slots > 0 && now-a.startedAt >= startDelay && float64(heard) >= minKnownShare*float64(len(a.hosts)) {
		a.current = Divide(slots*a.usable(), demand)
		addUnseen(a.current)
	}
	return maps.Clone(a.current)
}

// usable returns the usable capacity relative to the slots. Where servers refuse part of what they
// get although they have room, more requests are admitted than the slots can run.
func (a *Allocator) usable() float64 {
	return min(a.correction*a.damping, maxCorrection) / (1 - min(a.refusedShare, maxRefusedShare))
}

// forecast extrapolates the demand by its growth since the last step.
func (a *Allocator) forecast(now time.Duration, demand map[Class]float64) {
	total := sum(demand)
	if elapsed := now - a.steppedAt; a.total > 0 && elapsed > 0 {
		growth := math.Pow(total/a.total, forecastAhead.Seconds()/elapsed.Seconds())
		for class := range demand {
			demand[class] *= min(max(growth, 1/maxGrowth), maxGrowth)
		}
	}
	a.total = total
}

// start notes the time of the first call.
func (a *Allocator) start(now time.Duration) {
	if !a.started {
		a.started, a.startedAt, a.steppedAt = true, now, now
	}
}

// demand returns the demand of all hosts in slots, and from how many hosts it is known. It forgets
// hosts that have been silent for long.
func (a *Allocator) demand(now time.Duration, slots float64) (demand map[Class]float64, heard int) {
	demand = map[Class]float64{}
	// Sums are taken in a fixed order, here and below, so that a replay gives the same result each time.
	for _, host := range slices.Sorted(maps.Keys(a.hosts)) {
		known := a.hosts[host]
		silence := now - known.reportedAt
		if silence >= hostMemory {
			delete(a.hosts, host)
		}
		if silence >= hostLifetime {
			continue
		}
		heard++
		weight := math.Exp(-max(silence-silenceAllowed, 0).Seconds() / demandSmoothing.Seconds())
		for class, work := range known.work {
			demand[class] += weight * work / known.span
		}
	}
	maps.DeleteFunc(demand, func(_ Class, asked float64) bool { return asked < negligibleShare*slots })
	return demand, heard
}

// correct adjusts the usable capacity to the queues that servers reported since the last step.
// The capacity grows beyond the slots only while it limits the demand: otherwise short queues
// do not show that there is room.
func (a *Allocator) correct(limits bool) {
	queue, known := a.queued/a.answers, a.answers > 0
	if known {
		a.refusedShare += refusedWeight * (a.refused/a.answers - a.refusedShare)
	}
	a.queued, a.answers, a.refused = 0, 0, 0
	a.damping = 1
	if known {
		a.damping += queueGain * (targetQueue - min(queue, maxDampedQueue))
	}
	switch {
	case known && queue > highQueue:
		a.correction = max(a.correction*correctionStep, minCorrection)
	case known && queue < lowQueue && limits:
		a.correction = min(a.correction/correctionStep, maxCorrection)
	case known && queue < lowQueue && a.correction < 1:
		a.correction = min(a.correction/correctionStep, 1)
	case !limits && a.correction > 1:
		a.correction = max(a.correction*correctionStep, 1)
	}
}

// addUnseen adds the class of a priority from which no request has come yet, with the fraction of
// the priority's other class. Otherwise all callers that are rejected when overload begins would be
// admitted when they return.
func addUnseen(fractions Fractions) {
	for class, fraction := range maps.Clone(fractions) {
		other := Class{Priority: class.Priority, Returning: !class.Returning}
		if _, seen := fractions[other]; !seen {
			fractions[other] = fraction
		}
	}
}
