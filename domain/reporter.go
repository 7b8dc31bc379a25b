package domain

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cicadarouter/link/linkpb"
	"cicadarouter/record"
)

// childReport is the last report of a child in the tree, with its time of arrival.
type childReport struct {
	report     *linkpb.DomainReport
	receivedAt time.Duration
}

// reporter combines the reports of one controller's subtree.
type reporter struct {
	mu       sync.Mutex
	children map[string]childReport
	counts   map[string]*linkpb.ServiceCount // since the last report
	// lastRouterCounts holds the counters of this host's router when they were last read.
	lastRouterCounts map[string]*linkpb.ServiceCount
	incarnation      uint64
	revision         uint64
	routerReadAt     time.Duration
	lastWritten      record.Enforced
	enforcedDue      time.Duration
	burnDue          time.Duration
}

func newReporter() *reporter {
	return &reporter{
		children:         map[string]childReport{},
		counts:           map[string]*linkpb.ServiceCount{},
		lastRouterCounts: map[string]*linkpb.ServiceCount{},
	}
}

// addRouterCounts adds the increase of a router's counters since they were last
// read. The counters of a new incarnation start at 0.
func (r *reporter) addRouterCounts(now time.Duration, reply *linkpb.CountsReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.GetIncarnation() != r.incarnation {
		r.incarnation = reply.GetIncarnation()
		clear(r.lastRouterCounts)
	}
	r.revision = reply.GetRevision()
	r.routerReadAt = now
	for _, count := range reply.GetServices() {
		r.add(countIncrease(count, r.lastRouterCounts[count.GetService()]))
		r.lastRouterCounts[count.GetService()] = count
	}
}

func countIncrease(now, before *linkpb.ServiceCount) *linkpb.ServiceCount {
	increase := &linkpb.ServiceCount{
		Service: now.GetService(),
		Total:   now.GetTotal() - before.GetTotal(),
		Bad:     now.GetBad() - before.GetBad(),
		Slow:    now.GetSlow() - before.GetSlow(),
		Causes:  map[string]uint64{},
	}
	for cause, n := range now.GetCauses() {
		if n > before.GetCauses()[cause] {
			increase.Causes[cause] = n - before.GetCauses()[cause]
		}
	}
	return increase
}

// add adds a count to those of the next report. The caller holds r.mu.
func (r *reporter) add(count *linkpb.ServiceCount) {
	sum, known := r.counts[count.GetService()]
	if !known {
		sum = &linkpb.ServiceCount{Service: count.GetService(), Causes: map[string]uint64{}}
		r.counts[count.GetService()] = sum
	}
	sum.Total += count.GetTotal()
	sum.Bad += count.GetBad()
	sum.Slow += count.GetSlow()
	for cause, n := range count.GetCauses() {
		sum.Causes[cause] += n
	}
}

// addChildReport stores a child's report and adds its counts.
func (r *reporter) addChildReport(now time.Duration, child *linkpb.DomainReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children[child.GetFrom()] = childReport{report: child, receivedAt: now}
	for _, count := range child.GetServices() {
		r.add(count)
	}
}

// takeTotal returns the report on the controller, on its host's router if that was read
// within maxReportAge, and on the children. It resets the counts; if the report cannot
// be delivered, restore adds them back.
func (r *reporter) takeTotal(now time.Duration, host string, revision uint64) *linkpb.DomainReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := &linkpb.DomainReport{From: host, Daemons: 1, Revision: revision, Lagging: []string{host + " controller"}}
	if now-r.routerReadAt < maxReportAge && r.routerReadAt != 0 {
		mergeReport(total, &linkpb.DomainReport{Daemons: 1, Revision: r.revision, Lagging: []string{host + " router"}})
	}
	for name, child := range r.children {
		if now-child.receivedAt >= maxReportAge {
			delete(r.children, name)
			continue
		}
		mergeReport(total, child.report)
	}
	for _, name := range slices.Sorted(maps.Keys(r.counts)) {
		total.Services = append(total.Services, r.counts[name])
	}
	r.counts = map[string]*linkpb.ServiceCount{}
	return total
}

// restore adds back the counts of a report that was not delivered.
func (r *reporter) restore(services []*linkpb.ServiceCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, count := range services {
		r.add(count)
	}
}

// mergeReport adds a report to a total. The total has the lowest revision of all reports
// and names daemons that are at that revision, at most maxLagging.
func mergeReport(total, part *linkpb.DomainReport) {
	total.Daemons += part.GetDaemons()
	switch {
	case part.GetRevision() < total.GetRevision():
		total.Revision = part.GetRevision()
		total.Lagging = slices.Clone(part.GetLagging())
	case part.GetRevision() == total.GetRevision():
		total.Lagging = append(total.Lagging, part.GetLagging()...)
	}
	total.Lagging = total.Lagging[:min(len(total.Lagging), maxLagging)]
}

// shouldWriteEnforced reports whether a report should be written now: the number of
// daemons or the lagging daemons differ from those last written, or the revision has
// risen and the last one written was below config, the newest change of an operator's
// record. Any other rise waits until enforcedDue, since every write raises the
// revision.
func (r *reporter) shouldWriteEnforced(now time.Duration, fresh record.Enforced, config uint64) bool {
	last := r.lastWritten
	switch {
	case fresh.Daemons != last.Daemons || fresh.Expected != last.Expected:
		return true
	case !slices.Equal(fresh.Lagging, last.Lagging):
		return true
	case last.Config < config && fresh.Config > last.Config:
		return true
	}
	return now >= r.enforcedDue && fresh.Config > last.Config
}
