package main

// priorityMutants break the rules by which hosts divide capacity and retries by priority.
func priorityMutants() []mutant {
	routes := breaking("routing", ".")
	retries := breaking("dispatch", "Urgent|SmallestReserve|Budget")
	pool := breaking("balance", "Gate|DecidedOnOnce|Returning|Invalid|Undivided|HeldAndThen|ControllerInputs|FirstReport")
	host := breaking("gateway", "Admission|Classes|Divide|Divided|UrgentDemand|LastRetries|LearnTheir|ForwardedRequestIsDecided|ByAGate|NamedController")
	return []mutant{
		routes("routing.go", "priority: divide services without urgent requests", "return len(priorities) > 1 && priorities[0] == 0", "return len(priorities) > 1"),
		routes("routing.go", "priority: divide services with one priority", "return len(priorities) > 1 && priorities[0] == 0", "return len(priorities) > 0 && priorities[0] == 0"),
		routes("routing.go", "priority: count routes that send nothing", "target.Service == service && target.Weight > 0", "target.Service == service"),
		breaking("admission", "UrgentShare")("urgent.go", "priority: divide for rare requests", "return u.share >= minUrgentShare", "return u.share > 0"),
		breaking("gateway", "RareUrgent")("admission.go", "priority: keep retries for rare requests", "s.priorities.always || s.urgent.Significant()", "true"),
		breaking("gateway", "RareUrgent")("admission.go", "priority: divide a service for rare requests", "g.identity.ByPriority == ByPriorityOn || urgent.Significant()", "true"),
		retries("budget.go", "priority: keep no retries for urgent requests", "return b.tokens >= min(1+urgentRetryReserve, b.reserve) && b.TakeRetry()", "return b.TakeRetry()"),
		retries("budget.go", "priority: retries of less urgent requests cost nothing", "return b.tokens >= min(1+urgentRetryReserve, b.reserve) && b.TakeRetry()", "return b.tokens >= min(1+urgentRetryReserve, b.reserve)"),
		pool("pool.go", "priority: ask no gate", "		rejected = p.checkGates(now, waiter)\n", ""),
		pool("pool.go", "priority: forget requests that were held and then rejected", "	waiter.noteHeldThenRejected(now)\n", ""),
		pool("pool.go", "priority: hide that the host decided", "if rejected.Reason == Overload && rejected.Decision == nil && p.gates != nil {", "if false {"),
		pool("pool.go", "priority: report no queues", "		p.recordQueue(server, *result.Load, result.Outcome == Refused)\n", ""),
		pool("gates.go", "priority: decide on each attempt", "if p.gates == nil || waiter.Admission != nil {", "if p.gates == nil {"),
		pool("gates.go", "priority: take returning callers for new ones", "admission.ClassOf(waiter.Priority, waiter.Arrived-waiter.firstAttemptAt)", "admission.ClassOf(waiter.Priority, 0)"),
		pool("gates.go", "priority: skip the gate of the key", "	if gate := p.gates.keys[waiter.Key]; gate != nil {", "	if gate := p.gates.keys[waiter.Key]; gate != nil && false {"),
		pool("gates.go", "priority: skip the gate of the owner", "	if gate := p.gates.owners[id]; gate != nil {", "	if gate := p.gates.owners[id]; gate != nil && false {"),
		pool("gates.go", "priority: keep gates that are not named", "			delete(known, of)\n", ""),
		pool("gates.go", "priority: begin the first report at the start of the clock", "		p.gates.service.Report(now) // begins the first report\n", ""),
		pool("gates.go", "priority: count servers that leave", "if !server.Leaving() && !server.unreachable(now) {", "if !server.unreachable(now) {"),
		pool("gates.go", "priority: count servers that can't be reached", "if !server.Leaving() && !server.unreachable(now) {", "if !server.Leaving() {"),
		pool("gates.go", "priority: count limited servers in full", "	if server.hasLimit() {", "	if false {"),
		pool("gates.go", "priority: start anew at each configuration", "	if divided == (p.gates != nil) {\n		return\n	}\n", ""),
		pool("share.go", "priority: apply the share of a key twice", "	if p.hasKeyGate(waiter.Key) {", "	if false {"),
		host("admission.go", "priority: ignore the setting", "switch b {", "switch ByPriorityAuto {"),
		host("admission.go", "priority: apply answers of any process", "record.Controller.Incarnation != e.to.Incarnation {", "false {"),
		host("admission.go", "priority: keep fractions that the answer does not have", "	for _, s := range g.dividedServices() {\n		g.logInvalidFractions(s, e.to.Host, s.set", "	for _, s := range g.dividedServices() {\n		if len(e.answer.Admission[s.name]) == 0 {\n			continue\n		}\n		g.logInvalidFractions(s, e.to.Host, s.set"),
		host("admission.go", "priority: leave out the controller's own host", "	g.logInvalidFractions(s, g.identity.Host, s.setFractions(d.fractions))\n", ""),
		host("admission.go", "priority: keep services that are not divided any more", "	c.division.services = nil\n	if c.service", "	if c.service"),
		host("admission.go", "priority: take any number of classes", "range r.Demand[:min(len(r.Demand), maxAdmissionClasses)] {", "range r.Demand {"),
		host("admission.go", "priority: send any number of classes", "return classes[:min(len(classes), maxAdmissionClasses)]", "return classes"),
		host("admission.go", "priority: drop the urgent demand for keys", "		c.machine.Loads().AddUrgent(now, priority, demand)\n", ""),
		host("admission.go", "priority: take the least urgent demand for urgent", "return priority < 0 || priority >= p.leastUrgent", "return priority < 0"),
		host("admission.go", "priority: do not divide keys and owners", "	if c.service.isDivided() {\n", "	if false {\n"),
		host("admission.go", "priority: decide again on forwarded requests", "if r.forwarded == nil || !r.forwarded.Counted {", "if true {"),
		host("control.go", "priority: keep the division of an earlier term", "c.members, c.schedules, c.division = newMembers(), nil, division{}", "c.members, c.schedules = newMembers(), nil"),
		host("service.go", "priority: give all retries to whoever asks", "	if s.keepsRetries() && priority > s.priorities.mostUrgent {", "	if false {"),
		host("service.go", "priority: report all demand for keys as urgent", "if s.priorities.divided && priority < s.priorities.leastUrgent {", "if s.priorities.divided {"),
		host("service.go", "priority: report urgent demand for keys again", "s.keyDemand, s.urgentKeyDemand, s.paces = map[uint16]time.Duration{}, urgentDemand{}, map", "s.keyDemand, s.paces = map[uint16]time.Duration{}, map"),
		host("gateway.go", "priority: tell services nothing", "	g.applyPriorities(offered)\n", ""),
	}
}
