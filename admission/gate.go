package admission

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// fractionsLifetime is how long fractions stay valid: three reports. A host that hears nothing
	// from the controller for longer decides alone.
	fractionsLifetime = 1500 * time.Millisecond
	// maxRetryAfter bounds the delay given to a rejected caller: the load can't be predicted for
	// longer than some seconds.
	maxRetryAfter = 10 * time.Second
	// rateSmoothing is the time constant of the request rates from which return times are computed.
	// A host gets a few requests of a class per second.
	rateSmoothing = 2 * time.Second
)

// Decision is what a Gate decides on one request.
type Decision struct {
	Admitted bool
	// RetryAfter is when a rejected caller may return.
	RetryAfter time.Duration
	// Fraction is the fraction of the class's requests to admit; 1 if the class is not limited.
	Fraction float64
	// Age is the age of the fractions; 0 if there are none.
	Age time.Duration
}

// Gate applies fractions to the requests of one host, for one service, owner or key.
type Gate struct {
	random    *rand.Rand
	fractions Fractions // nil if the gate admits everything
	setAt     time.Duration
	classes   map[Class]*gateClass
	// lastReturnAt is the last return time given to a caller, by priority.
	lastReturnAt map[int]time.Duration

	// demand and the sums below are those of the report that is being collected.
	demand           Demand
	collectingSince  time.Duration
	queued           float64
	answers, refused int

	rejectedWithRoom, heldThenRejected uint64
}

// gateClass is what a gate knows of one class.
type gateClass struct {
	// tokens is the fill of the token bucket: each request adds the class's fraction, and each admitted
	// one takes a token. As no time but only requests fill it, it never holds more than one.
	tokens             float64
	requests           decayedCount
	returns            []time.Duration // times when rejected callers may return, ascending
	admitted, rejected uint64
}

// Snapshot is the state of a Gate for metrics.
type Snapshot struct {
	// Limiting is set while the gate has valid fractions; Age is their age.
	Limiting bool
	Age      time.Duration
	// Classes holds the classes that have sent requests or have a fraction.
	Classes map[Class]ClassSnapshot
	// RejectedWithRoom counts requests that were rejected although all requests of their class were
	// admitted again before the caller was to return.
	RejectedWithRoom uint64
	// HeldThenRejected counts requests that were admitted and then rejected after they had waited.
	HeldThenRejected uint64
}

// ClassSnapshot is the state of one class. The counts are since the start.
type ClassSnapshot struct {
	Fraction           float64
	Admitted, Rejected uint64
}

// NewGate returns a Gate that admits everything until it is given fractions.
func NewGate(random *rand.Rand) *Gate {
	return &Gate{random: random, classes: map[Class]*gateClass{}, lastReturnAt: map[int]time.Duration{}, demand: Demand{}}
}

// Set replaces the fractions. With none, everything is admitted. Fractions with an invalid value
// are dropped: the gate keeps those that it has, and the error is a *FieldError.
func (g *Gate) Set(now time.Duration, fractions Fractions) error {
	if err := fractions.Check(); err != nil {
		return err
	}
	g.fractions, g.setAt = nil, now
	if len(fractions) > 0 {
		g.fractions = maps.Clone(fractions)
	}
	for class, known := range g.classes {
		if g.fraction(class) < 1 {
			continue
		}
		known.forgetReturns(now)
		g.rejectedWithRoom += uint64(len(known.returns))
		known.returns = nil
	}
	for priority := range g.lastReturnAt {
		if g.fraction(Class{Priority: priority}) >= 1 && g.fraction(Class{Priority: priority, Returning: true}) >= 1 {
			delete(g.lastReturnAt, priority)
		}
	}
	return nil
}

// Admit decides on one request. work is its expected service time.
func (g *Gate) Admit(now time.Duration, class Class, work time.Duration) Decision {
	known := g.class(now, class)
	known.requests.add(now)
	g.demand[class] += max(work, 0)
	if !g.limiting(now) {
		known.admitted++
		return Decision{Admitted: true, Fraction: 1}
	}
	decision := Decision{Fraction: g.fraction(class), Age: now - g.setAt}
	// The bucket is not cut to one token before the request takes its own: that would lose up to half
	// of the fraction.
	known.tokens += decision.Fraction
	if known.tokens >= 1 {
		known.tokens--
		known.admitted++
		decision.Admitted = true
		return decision
	}
	known.rejected++
	returnAt := g.nextReturn(now, class.Priority)
	known.forgetReturns(now)
	known.returns = append(known.returns, returnAt)
	decision.RetryAfter = returnAt - now
	return decision
}

// AdmitAttempt decides on a request whose caller began its first attempt the given time ago; 0 if
// this is the first attempt or if that is not known. A caller that comes back at once gets no second
// chance: while its class is limited it is rejected, and does not count as demand.
func (g *Gate) AdmitAttempt(now time.Duration, priority int, sinceFirstAttempt, work time.Duration) Decision {
	class := ClassOf(priority, sinceFirstAttempt)
	fraction := g.fraction(class)
	if sinceFirstAttempt <= 0 || class.Returning || !g.limiting(now) || fraction >= 1 {
		return g.Admit(now, class, work)
	}
	g.class(now, class).rejected++
	wait := max(g.lastReturnAt[priority]-now, minRetryAfter)
	return Decision{RetryAfter: wait, Fraction: fraction, Age: now - g.setAt}
}

// HeldThenRejected notes that a request that Admit admitted was rejected as overload after it had
// waited. It counts as a forecast error if the gate has fractions.
func (g *Gate) HeldThenRejected(now time.Duration) {
	if g.limiting(now) {
		g.heldThenRejected++
	}
}

// Answered notes the queue that a server reported with an answer, and whether the answer was a
// refusal to run the request.
func (g *Gate) Answered(queuePerSlot float64, refused bool) {
	g.queued += queuePerSlot
	g.answers++
	if refused && queuePerSlot <= shortQueue {
		g.refused++
	}
}

// Report returns what the host saw of the service since the last report, for the controller.
func (g *Gate) Report(now time.Duration) Report {
	report := Report{Span: now - g.collectingSince, Demand: g.demand, Answers: g.answers, Refused: g.refused}
	if g.answers > 0 {
		report.Queue = g.queued / float64(g.answers)
	}
	g.demand, g.collectingSince, g.queued, g.answers, g.refused = Demand{}, now, 0, 0, 0
	return report
}

// Snapshot returns the state for metrics.
func (g *Gate) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Limiting: g.limiting(now), Classes: map[Class]ClassSnapshot{},
		RejectedWithRoom: g.rejectedWithRoom, HeldThenRejected: g.heldThenRejected}
	if s.Limiting {
		s.Age = now - g.setAt
		for class, fraction := range g.fractions {
			s.Classes[class] = ClassSnapshot{Fraction: fraction}
		}
	}
	for class, known := range g.classes {
		c := ClassSnapshot{Fraction: 1, Admitted: known.admitted, Rejected: known.rejected}
		if s.Limiting {
			c.Fraction = g.fraction(class)
		}
		s.Classes[class] = c
	}
	return s
}

func (g *Gate) class(now time.Duration, class Class) *gateClass {
	known := g.classes[class]
	if known == nil {
		// A random fill keeps hosts from sending at the same time.
		known = &gateClass{tokens: g.random.Float64(), requests: decayedCount{since: now}}
		g.classes[class] = known
	}
	return known
}

// limiting reports whether the gate has valid fractions.
func (g *Gate) limiting(now time.Duration) bool {
	return g.fractions != nil && now-g.setAt < fractionsLifetime
}

func (g *Gate) fraction(class Class) float64 {
	if fraction, named := g.fractions[class]; named {
		return fraction
	}
	return 1
}

// nextReturn returns when the next rejected caller of a priority may return: one interval after the
// previous one. Returns are spaced at the rate at which this host admits returning requests while
// the priority is overloaded.
func (g *Gate) nextReturn(now time.Duration, priority int) time.Duration {
	perSecond := 0.0
	for _, class := range []Class{{Priority: priority}, {Priority: priority, Returning: true}} {
		if known := g.classes[class]; known != nil {
			perSecond += maxReturningShare * g.fraction(class) * known.requests.perSecond(now)
		}
	}
	interval := maxRetryAfter
	if perSecond*maxRetryAfter.Seconds() > 1 {
		interval = time.Duration(float64(time.Second) / perSecond)
	}
	at := max(g.lastReturnAt[priority], now) + interval
	at = min(max(at, now+minRetryAfter), now+maxRetryAfter)
	g.lastReturnAt[priority] = at
	return at
}

// forgetReturns forgets return times that have passed.
func (c *gateClass) forgetReturns(now time.Duration) {
	passed, _ := slices.BinarySearch(c.returns, now+1)
	c.returns = c.returns[passed:]
}

// decayedCount counts events, of which older ones weigh less.
type decayedCount struct {
	count       float64
	since, last time.Duration
}

func (c *decayedCount) add(now time.Duration) {
	c.count = c.at(now) + 1
	c.last = now
}

func (c *decayedCount) at(now time.Duration) float64 {
	return c.count * math.Exp(-(now-c.last).Seconds()/rateSmoothing.Seconds())
}

// perSecond returns the rate of events. Until the time constant has passed, it is that of the
// events so far, over half a second at least.
func (c *decayedCount) perSecond(now time.Duration) float64 {
	tau := rateSmoothing.Seconds()
	covered := tau * (1 - math.Exp(-(now-c.since).Seconds()/tau))
	return c.at(now) / max(covered, tau/4)
}
