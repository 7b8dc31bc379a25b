package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadarouter/admission"
	"cicadarouter/balance"
	"cicadarouter/keyspace"
	"cicadarouter/routing"
)

// The capacity of a service that is divided by priority is divided by one process: the service's
// controller if it has keys, or else the coordinating controller. Hosts report the demand by
// priority with their load reports, and the answers carry the fractions to admit.

// ByPriority tells for which services the capacity is divided by priority over all hosts.
type ByPriority string

// Values of ByPriority. The zero value is ByPriorityAuto.
const (
	// ByPriorityAuto: services whose routes include priority 0 and a less urgent one.
	ByPriorityAuto ByPriority = "auto"
	ByPriorityOn   ByPriority = "on"
	ByPriorityOff  ByPriority = "off"
)

func (b ByPriority) divides(c *routing.Configuration, service string) bool {
	switch b {
	case ByPriorityOn:
		return true
	case ByPriorityOff:
		return false
	default:
		return c.DividedByPriority(service)
	}
}

const (
	// maxAdmissionClasses bounds the classes of a service in a message, some 60 B each. 8 priorities
	// have so many.
	maxAdmissionClasses = 16
	// maxReportedPriorities bounds the priorities whose demand by key a controller takes from one
	// report.
	maxReportedPriorities = maxAdmissionClasses / 2
)

// admissionReport is what a host saw of a service without keys since its last report.
type admissionReport struct {
	SpanMs int64         `json:"spanMs"`
	Demand []classDemand `json:"demand,omitempty"`
	// Queue is the mean number of queued requests per slot over Answers answers of servers.
	Queue   float64 `json:"queue,omitempty"`
	Answers int     `json:"answers,omitempty"`
	// Refused is how many of the answers were refusals by servers with short queues.
	Refused int `json:"refused,omitempty"`
}

// classDemand is the slot time that requests of one class asked for.
type classDemand struct {
	Priority  int   `json:"priority"`
	Returning bool  `json:"returning,omitempty"`
	Micros    int64 `json:"micros"`
}

// classFraction is the fraction of the requests of one class to admit.
type classFraction struct {
	Priority  int     `json:"priority"`
	Returning bool    `json:"returning,omitempty"`
	Fraction  float64 `json:"fraction"`
}

// priorityFraction is the fraction of the requests of one priority to admit.
type priorityFraction struct {
	Priority int     `json:"priority"`
	Fraction float64 `json:"fraction"`
}

func newAdmissionReport(r admission.Report) admissionReport {
	message := admissionReport{SpanMs: r.Span.Milliseconds(), Queue: r.Queue, Answers: r.Answers, Refused: r.Refused}
	for _, class := range classesOf(r.Demand) {
		message.Demand = append(message.Demand, classDemand{Priority: class.Priority, Returning: class.Returning, Micros: r.Demand[class].Microseconds()})
	}
	return message
}

func (r *admissionReport) report() admission.Report {
	report := admission.Report{Span: time.Duration(r.SpanMs) * time.Millisecond, Demand: admission.Demand{}, Queue: r.Queue, Answers: r.Answers, Refused: r.Refused}
	for _, each := range r.Demand[:min(len(r.Demand), maxAdmissionClasses)] {
		report.Demand[admission.Class{Priority: each.Priority, Returning: each.Returning}] += time.Duration(each.Micros) * time.Microsecond
	}
	return report
}

// classesOf returns the classes that a message names, the most urgent first.
func classesOf[V any](of map[admission.Class]V) []admission.Class {
	classes := slices.SortedFunc(maps.Keys(of), admission.Class.Compare)
	return classes[:min(len(classes), maxAdmissionClasses)]
}

func classFractions(fractions admission.Fractions) []classFraction {
	var message []classFraction
	for _, class := range classesOf(fractions) {
		message = append(message, classFraction{Priority: class.Priority, Returning: class.Returning, Fraction: fractions[class]})
	}
	return message
}

func fractionsOf(message []classFraction) admission.Fractions {
	fractions := admission.Fractions{}
	for _, each := range message {
		fractions[admission.Class{Priority: each.Priority, Returning: each.Returning}] = each.Fraction
	}
	return fractions
}

func priorityFractions[K comparable](shares map[K]admission.Fractions) map[K][]priorityFraction {
	message := make(map[K][]priorityFraction, len(shares))
	for of, fractions := range shares {
		for _, class := range classesOf(fractions) {
			message[of] = append(message[of], priorityFraction{Priority: class.Priority, Fraction: fractions[class]})
		}
	}
	return message
}

func sharesOf[K comparable](message map[K][]priorityFraction) map[K]admission.Fractions {
	shares := make(map[K]admission.Fractions, len(message))
	for of, each := range message {
		shares[of] = admission.Fractions{}
		for _, fraction := range each {
			shares[of][admission.Class{Priority: fraction.Priority}] = fraction.Fraction
		}
	}
	return shares
}

// priorities are the priorities of a service's requests.
type priorities struct {
	// divided is set if the service's capacity is divided by priority, always if that does not depend
	// on how many requests of priority 0 there are.
	divided, always         bool
	mostUrgent, leastUrgent int
}

// applyPriorities tells each service the priorities of its requests.
func (g *Gateway) applyPriorities(c *routing.Configuration) {
	for _, s := range g.allServices() {
		p := priorities{divided: g.identity.ByPriority.divides(c, s.name), always: g.identity.ByPriority == ByPriorityOn}
		if known := c.Priorities(s.name); len(known) > 0 {
			p.mostUrgent, p.leastUrgent = known[0], known[len(known)-1]
		}
		s.setPriorities(p)
	}
}

func (s *service) setPriorities(p priorities) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.keepsRetries()
	s.priorities = p
	s.pool.SetDividedByPriority(s.now(), p.divided)
	s.retryReserveChanged(before)
}

func (s *service) currentPriorities() priorities {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.priorities
}

// keepsRetries reports whether retries are kept for urgent requests. s.mu must be held.
func (s *service) keepsRetries() bool {
	return s.priorities.divided && (s.priorities.always || s.urgent.Significant())
}

// isDivided reports whether the service's capacity is divided by priority.
func (s *service) isDivided() bool { return s.currentPriorities().divided }

// admissionState returns the state of the division by priority; ok is false if there is none.
func (s *service) admissionState() (state balance.AdmissionState, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.AdmissionState(s.now())
}

func (s *service) admissionReport() admission.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.AdmissionReport(s.now())
}

// usableSlots returns the slots of the servers that may be used, in slots of mean speed.
func (s *service) usableSlots() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.UsableSlots(s.now())
}

func (s *service) setFractions(fractions admission.Fractions) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.SetFractions(s.now(), fractions)
}

func (s *service) setShares(keys map[uint16]admission.Fractions, owners map[string]admission.Fractions) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool.SetShares(s.now(), keys, owners)
}

// urgentDemand is requested slot time by priority and key.
type urgentDemand map[int]map[uint16]time.Duration

func (d urgentDemand) add(priority int, key uint16, work time.Duration) {
	if d[priority] == nil {
		d[priority] = map[uint16]time.Duration{}
	}
	d[priority][key] += work
}

// micros returns the demand in the form of messages.
func (d urgentDemand) micros() map[int]map[uint16]int64 {
	message := make(map[int]map[uint16]int64, len(d))
	for priority, demand := range d {
		message[priority] = make(map[uint16]int64, len(demand))
		for key, work := range demand {
			message[priority][key] = work.Microseconds()
		}
	}
	return message
}

// admittedElsewhere returns a decision for a request that the host that forwarded it has counted and
// admitted before it lost its links, so that this host does not count and decide again; nil for
// other requests.
func (r *request) admittedElsewhere() *balance.GateDecision {
	if r.forwarded == nil || !r.forwarded.Counted {
		return nil
	}
	return &balance.GateDecision{Class: admission.Class{Priority: r.route.Priority}, Fraction: 1}
}

// dividedServices returns the services without keys that are divided by priority.
func (g *Gateway) dividedServices() []*service {
	divided := slices.DeleteFunc(g.allServices(), func(s *service) bool { return s.view != nil || !s.isDivided() })
	slices.SortFunc(divided, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return divided
}

// addAdmission adds the demand for services without keys to a report to the coordinating
// controller.
func (g *Gateway) addAdmission(c *serviceControl, report *loadReport) {
	if c.service != g.coordinatingService() {
		return
	}
	report.Admission = map[string]admissionReport{}
	for _, s := range g.dividedServices() {
		report.Admission[s.name] = newAdmissionReport(s.admissionReport())
	}
}

// applyAdmission applies the fractions of a controller's answer, unless the record meanwhile names
// another controller, whose fractions rest on other reports.
func (g *Gateway) applyAdmission(c *serviceControl, e *reportResult) {
	record, _ := c.service.view.latest()
	if c.machine != nil || record == nil || record.Controller.Incarnation != e.to.Incarnation {
		return
	}
	g.logInvalidFractions(c.service, e.to.Host, c.service.setShares(sharesOf(e.answer.KeyShares), sharesOf(e.answer.OwnerShares)))
	if c.service != g.coordinatingService() {
		return
	}
	for _, s := range g.dividedServices() {
		g.logInvalidFractions(s, e.to.Host, s.setFractions(fractionsOf(e.answer.Admission[s.name])))
	}
}

func (g *Gateway) logInvalidFractions(s *service, controller string, err error) {
	if err != nil && g.failureLogLimit.allow() {
		g.log.Warn("invalid fractions are not applied", "service", s.name, "controller", controller, "error", err.Error())
	}
}

// division is a controller's division of capacity among priorities.
type division struct {
	// services holds the services without keys that the coordinating controller divides, by name.
	services map[string]*serviceDivision
	// shares are the limits on the controller's own keys and their owners, urgent the share of
	// priority 0 in the demand for these keys.
	shares keyspace.Shares
	urgent admission.UrgentShare
}

// serviceDivision divides the capacity of one service without keys.
type serviceDivision struct {
	allocator *admission.Allocator
	fractions admission.Fractions
	reported  reportedDemand
	urgent    admission.UrgentShare
}

// reportedDemand sums up the reports on a service since the last line in the log.
type reportedDemand struct {
	since   time.Duration
	reports int
	demand  admission.Demand
	queued  float64
	answers int
}

// add adds a host's report.
func (d *serviceDivision) add(now time.Duration, host string, report admission.Report) {
	d.allocator.Add(now, host, report)
	urgent, all := 0.0, 0.0
	for class, work := range report.Demand {
		all += work.Seconds()
		if class.Priority == 0 {
			urgent += work.Seconds()
		}
	}
	d.urgent.Add(urgent, all)
	if d.reported.demand == nil {
		d.reported = reportedDemand{since: now, demand: admission.Demand{}}
	}
	d.reported.reports++
	for class, work := range report.Demand {
		d.reported.demand[class] += work
	}
	d.reported.queued += report.Queue * float64(report.Answers)
	d.reported.answers += report.Answers
}

// slots returns the mean demand in slots by class.
func (r *reportedDemand) slots(now time.Duration) []classSlots {
	var demand []classSlots
	for _, class := range classesOf(r.demand) {
		demand = append(demand, classSlots{Priority: class.Priority, Returning: class.Returning, Slots: r.demand[class].Seconds() / max(now-r.since, time.Millisecond).Seconds()})
	}
	return demand
}

// classSlots is the demand of one class in the log.
type classSlots struct {
	Priority  int     `json:"priority"`
	Returning bool    `json:"returning,omitempty"`
	Slots     float64 `json:"slots"`
}

// of returns the division of a service.
func (d *division) of(name string) *serviceDivision {
	if d.services == nil {
		d.services = map[string]*serviceDivision{}
	}
	if d.services[name] == nil {
		d.services[name] = &serviceDivision{allocator: admission.NewAllocator()}
	}
	return d.services[name]
}

// addTo adds the fractions to the answer to a report.
func (d *division) addTo(answer *loadAnswer) {
	answer.OwnerShares, answer.KeyShares = priorityFractions(d.shares.Owners), priorityFractions(d.shares.Keys)
	answer.Admission = map[string][]classFraction{}
	for name, each := range d.services {
		if len(each.fractions) > 0 {
			answer.Admission[name] = classFractions(each.fractions)
		}
	}
}

// addUrgent adds the demand for keys by priority that belongs to the report added last. all is the
// demand of all priorities.
func (c *serviceControl) addUrgent(now time.Duration, all map[uint16]time.Duration, asked map[int]map[uint16]int64) {
	p := c.service.currentPriorities()
	if !p.divided {
		return
	}
	urgentMicros, allWork := int64(0), time.Duration(0)
	for _, micros := range asked[0] {
		urgentMicros += micros
	}
	for _, work := range all {
		allWork += work
	}
	c.division.urgent.Add(float64(urgentMicros), float64(allWork.Microseconds()))
	c.machine.Loads().SetLeastUrgent(p.leastUrgent)
	urgent := slices.DeleteFunc(slices.Sorted(maps.Keys(asked)), func(priority int) bool { return priority < 0 || priority >= p.leastUrgent })
	for _, priority := range urgent[:min(len(urgent), maxReportedPriorities)] {
		demand := make(map[uint16]time.Duration, len(asked[priority]))
		for key, micros := range asked[priority] {
			demand[key] = time.Duration(micros) * time.Microsecond
		}
		c.machine.Loads().AddUrgent(now, priority, demand)
	}
}

// addReportedAdmission adds a host's report on services without keys. What the host says of services
// that this process does not divide is ignored.
func (g *Gateway) addReportedAdmission(c *serviceControl, report *loadReport, now time.Duration) {
	if len(report.Admission) == 0 || c.service != g.coordinatingService() {
		return
	}
	for _, s := range g.dividedServices() {
		if reported, named := report.Admission[s.name]; named {
			c.division.of(s.name).add(now, report.Host, reported.report())
		}
	}
}

// divideCapacity computes the fractions of the services that this controller divides, and applies
// them to this host.
func (g *Gateway) divideCapacity(c *serviceControl, servers []keyspace.Server, now time.Duration) {
	c.division.shares = keyspace.Shares{}
	if c.service.isDivided() && g.callsForDivision(&c.division.urgent) {
		c.division.shares = c.machine.SharesByPriority(servers)
	}
	if c.service.isDivided() {
		g.logInvalidFractions(c.service, g.identity.Host, c.service.setShares(c.division.shares.Keys, c.division.shares.Owners))
	}
	before := c.division.services
	c.division.services = nil
	if c.service != g.coordinatingService() {
		return
	}
	for _, s := range g.dividedServices() {
		if known := before[s.name]; known != nil {
			if c.division.services == nil {
				c.division.services = map[string]*serviceDivision{}
			}
			c.division.services[s.name] = known
		}
		g.divideService(s, c.division.of(s.name), now)
	}
}

// callsForDivision reports whether there are enough requests of priority 0 to divide a service for
// them, unless operators ask for it in any case.
func (g *Gateway) callsForDivision(urgent *admission.UrgentShare) bool {
	return g.identity.ByPriority == ByPriorityOn || urgent.Significant()
}

// fractionsLogInterval is how often a controller logs the fractions of a service, while there are
// any.
const fractionsLogInterval = time.Second

func (g *Gateway) divideService(s *service, d *serviceDivision, now time.Duration) {
	d.add(now, g.identity.Host, s.admissionReport())
	slots, limited := s.usableSlots(), len(d.fractions) > 0
	d.fractions = d.allocator.Fractions(now, slots)
	if !g.callsForDivision(&d.urgent) {
		d.fractions = nil
	}
	if err := d.fractions.Check(); err != nil {
		g.logInvalidFractions(s, g.identity.Host, err)
		d.fractions = nil
	}
	g.logInvalidFractions(s, g.identity.Host, s.setFractions(d.fractions))
	begins, ends := !limited && len(d.fractions) > 0, limited && len(d.fractions) == 0
	if !begins && !ends && now-d.reported.since < fractionsLogInterval {
		return
	}
	if limited || begins {
		g.log.Info("capacity divided by priority", "service", s.name, "fractions", classFractions(d.fractions), "slots", slots, "demand", d.reported.slots(now),
			"reports", d.reported.reports, "over-ms", (now - d.reported.since).Milliseconds(), "queue", d.reported.queued/float64(max(d.reported.answers, 1)))
	}
	d.reported = reportedDemand{since: now, demand: admission.Demand{}}
}
