package domain

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"cicadarouter/contract/platform"
	"cicadarouter/link/linkpb"
	"cicadarouter/record"
	"cicadarouter/report"
)

// Reports climb a tree over the hosts of the failure domain, so that neither the
// store nor any one daemon hears from every other. The root writes two kinds of
// records: which configuration is in force, and the counts for the burn report.
const (
	reportFanIn = 32
	reportEvery = 2 * time.Second
	burnEvery   = 30 * time.Second
	// reportAge is how long a child's report counts.
	reportAge    = 10 * time.Second
	mostLagging  = 5
	countTimeout = 500 * time.Millisecond
)

// childReport is the last report of a child, and when it came.
type childReport struct {
	report *linkpb.DomainReport
	at     time.Duration
}

// reporter gathers the reports of one controller's part of the tree.
type reporter struct {
	mu       sync.Mutex
	children map[string]childReport
	counts   map[string]*linkpb.ServiceCount // since the last report
	// last is what the own router had counted at the last reading.
	last        map[string]*linkpb.ServiceCount
	incarnation uint64
	revision    uint64
	routerHeard time.Duration
	written     record.Enforced
	enforcedDue time.Duration
	burnDue     time.Duration
}

func newReporter() *reporter {
	return &reporter{
		children: map[string]childReport{},
		counts:   map[string]*linkpb.ServiceCount{},
		last:     map[string]*linkpb.ServiceCount{},
	}
}

// reportOften sends or writes this controller's report from time to time.
func (c *Controller) reportOften(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reportEvery)
		c.readRouter(ctx)
		c.reportOnce(ctx)
	}
}

// readRouter takes the counts of the router on the same host.
func (c *Controller) readRouter(ctx context.Context) {
	self, ok := c.directory.Host(c.identity.Host)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	reply, err := c.links.Dispatch(self.RouterLink).Counts(ctx, &linkpb.CountsRequest{})
	if err == nil {
		c.reporter.takeRouter(c.clock.Now(), reply)
	}
}

// takeRouter adds what a router has counted since the last reading.
func (r *reporter) takeRouter(now time.Duration, reply *linkpb.CountsReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.GetIncarnation() != r.incarnation {
		r.incarnation = reply.GetIncarnation()
		clear(r.last)
	}
	r.revision = reply.GetRevision()
	r.routerHeard = now
	for _, count := range reply.GetServices() {
		r.add(difference(count, r.last[count.GetService()]))
		r.last[count.GetService()] = count
	}
}

func difference(now, before *linkpb.ServiceCount) *linkpb.ServiceCount {
	grown := &linkpb.ServiceCount{
		Service: now.GetService(),
		Total:   now.GetTotal() - before.GetTotal(),
		Bad:     now.GetBad() - before.GetBad(),
		Slow:    now.GetSlow() - before.GetSlow(),
		Causes:  map[string]uint64{},
	}
	for cause, n := range now.GetCauses() {
		if n > before.GetCauses()[cause] {
			grown.Causes[cause] = n - before.GetCauses()[cause]
		}
	}
	return grown
}

// add adds counts to those that the next report carries. The caller holds r.mu.
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

// takeChild notes a child's report.
func (r *reporter) takeChild(now time.Duration, child *linkpb.DomainReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children[child.GetFrom()] = childReport{report: child, at: now}
	for _, count := range child.GetServices() {
		r.add(count)
	}
}

// sum makes this controller's report: its own two daemons and its children.
func (r *reporter) sum(now time.Duration, host string, revision uint64) *linkpb.DomainReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := &linkpb.DomainReport{From: host, Daemons: 1, Revision: revision, Lagging: []string{host + " controller"}}
	if now-r.routerHeard < reportAge && r.routerHeard != 0 {
		join(total, &linkpb.DomainReport{Daemons: 1, Revision: r.revision, Lagging: []string{host + " router"}})
	}
	for name, child := range r.children {
		if now-child.at >= reportAge {
			delete(r.children, name)
			continue
		}
		join(total, child.report)
	}
	for _, count := range r.counts {
		total.Services = append(total.Services, count)
	}
	return total
}

// join adds a report to a total: the lowest revision counts, and those who are at
// it are named.
func join(total, part *linkpb.DomainReport) {
	total.Daemons += part.GetDaemons()
	switch {
	case part.GetRevision() < total.GetRevision():
		total.Revision = part.GetRevision()
		total.Lagging = slices.Clone(part.GetLagging())
	case part.GetRevision() == total.GetRevision():
		total.Lagging = append(total.Lagging, part.GetLagging()...)
	}
	total.Lagging = total.Lagging[:min(len(total.Lagging), mostLagging)]
}

// reported forgets the counts that a report has carried away.
func (r *reporter) reported(services []*linkpb.ServiceCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, carried := range services {
		if sum, known := r.counts[carried.GetService()]; known && sum == carried {
			delete(r.counts, carried.GetService())
		}
	}
}

// parent returns the host that this controller reports to, or "" for the root.
func (c *Controller) parent() string {
	order := ranked("report\x00"+c.identity.Domain, liveHosts(c.directory.Hosts(), c.identity.Domain))
	rank := slices.Index(order, c.identity.Host)
	if rank <= 0 {
		return ""
	}
	return order[(rank-1)/reportFanIn]
}

func (c *Controller) reportOnce(ctx context.Context) {
	now := c.clock.Now()
	total := c.reporter.sum(now, c.identity.Host, c.directory.Revision())
	parent := c.parent()
	if parent == "" {
		c.writeEnforced(ctx, now, total)
		c.writeBurn(ctx, now, total)
		return
	}
	host, ok := c.directory.Host(parent)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if _, err := c.links.Control(host.Link).Report(ctx, total); err == nil {
		c.reporter.reported(total.GetServices())
	}
}

// enforcedEvery is how often a report is renewed that says nothing new but that
// the store's revision has moved on, by changes that do not concern this domain.
const enforcedEvery = 10 * time.Second

// writeEnforced writes which configuration is in force, if there is news.
func (c *Controller) writeEnforced(ctx context.Context, now time.Duration, total *linkpb.DomainReport) {
	live := liveHosts(c.directory.Hosts(), c.identity.Domain)
	if len(live) == 0 {
		return
	}
	enforced := record.Enforced{
		Domain:   c.identity.Domain,
		Config:   total.GetRevision(),
		Daemons:  int(total.GetDaemons()),
		Expected: 2 * len(live),
		Reporter: c.identity.Host,
	}
	if total.GetRevision() < c.directory.Config() {
		enforced.Lagging = total.GetLagging()
	}
	if !c.reporter.isNews(now, enforced, c.directory.Config()) {
		return
	}
	envelope, err := enforced.Encode()
	if err == nil && c.replace(ctx, envelope) {
		c.reporter.written = enforced
		c.reporter.enforcedDue = now + enforcedEvery
	}
}

// isNews reports whether a report should be written: it counts other daemons or
// laggards than the last one, or a change that concerns this domain has come
// into force since. Every write moves the revision, so that this alone is no news.
func (r *reporter) isNews(now time.Duration, fresh record.Enforced, config uint64) bool {
	last := r.written
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

// replace writes a record that only this controller means to write, over
// whatever version is there. It reports whether it did.
func (c *Controller) replace(ctx context.Context, envelope record.Envelope) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	current, ok := c.current(ctx, envelope.Ref())
	if !ok {
		return false
	}
	_, err := c.store.Update(ctx, envelope, current.Version)
	return err == nil
}

// current reads a record; one that does not exist has version 0.
func (c *Controller) current(ctx context.Context, ref record.Ref) (platform.Object, bool) {
	object, err := c.store.Get(ctx, ref)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.Object{}, true
	}
	return object, err == nil
}

// writeBurn adds the counts to the burn records.
func (c *Controller) writeBurn(ctx context.Context, now time.Duration, total *linkpb.DomainReport) {
	if now < c.reporter.burnDue {
		return
	}
	c.reporter.burnDue = now + burnEvery
	for _, count := range total.GetServices() {
		if count.GetTotal() == 0 || !c.addBurn(ctx, count) {
			continue
		}
		c.reporter.reported([]*linkpb.ServiceCount{count})
	}
}

// BurnName returns the name of a service's burn record in a failure domain.
func BurnName(domain, service string) string { return domain + "." + service }

func (c *Controller) addBurn(ctx context.Context, count *linkpb.ServiceCount) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	ref := record.Ref{Kind: record.KindBurn, Name: BurnName(c.identity.Domain, count.GetService())}
	current, ok := c.current(ctx, ref)
	if !ok {
		return false
	}
	var series report.Series
	if current.Version != 0 {
		if err := json.Unmarshal(current.Spec, &series); err != nil {
			c.log.Warn("burn record does not decode and is begun anew", "record", ref.String(), "error", err)
			series = report.Series{}
		}
	}
	fresh := report.Count{Total: count.GetTotal(), Bad: count.GetBad(), Slow: count.GetSlow()}
	series.Domain = c.identity.Domain
	series.Service = count.GetService()
	series.Add(time.Now(), fresh, count.GetCauses())
	spec, err := json.Marshal(series)
	if err != nil {
		return false
	}
	_, err = c.store.Update(ctx, record.Envelope{Kind: ref.Kind, Name: ref.Name, Schema: record.SchemaV2, Spec: spec}, current.Version)
	return err == nil
}

// Report implements linkpb.ControlServer.
func (s *LinkServer) Report(_ context.Context, in *linkpb.DomainReport) (*linkpb.ReportReply, error) {
	s.c.reporter.takeChild(s.c.clock.Now(), in)
	return &linkpb.ReportReply{}, nil
}
