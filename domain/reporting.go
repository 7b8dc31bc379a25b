package domain

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cicadarouter/contract/platform"
	"cicadarouter/host/clock"
	"cicadarouter/link/linkpb"
	"cicadarouter/record"
	"cicadarouter/report"
)

// Reports are aggregated along a tree of the failure domain's hosts, so that neither
// the store nor any daemon receives one from every host. The root writes two kinds
// of records: the configuration in force, and the counts for the burn report.
const (
	reportFanIn    = 32
	reportInterval = 2 * time.Second
	burnInterval   = 10 * time.Second
	// maxReportAge is how long the report of a child or of the router is valid.
	maxReportAge = 10 * time.Second
	maxLagging   = 5
	countTimeout = 500 * time.Millisecond
)

// reportPeriodically sends or writes this controller's report every reportInterval.
func (c *Controller) reportPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, reportInterval)
		c.readRouterCounts(ctx)
		c.reportOnce(ctx)
	}
}

// readRouterCounts reads the counters of the router on the same host.
func (c *Controller) readRouterCounts(ctx context.Context) {
	self, ok := c.directory.Host(c.identity.Host)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	reply, err := c.links.Dispatch(self.RouterLink).Counts(ctx, &linkpb.CountsRequest{})
	if err == nil {
		c.reporter.addRouterCounts(c.clock.Now(), reply)
	}
}

// parent returns the host that this controller reports to, or "" for the root.
func (c *Controller) parent() string {
	order := rendezvousOrder("report\x00"+c.identity.Domain, liveHosts(c.directory.Hosts(), c.identity.Domain))
	rank := slices.Index(order, c.identity.Host)
	if rank <= 0 {
		return ""
	}
	return order[(rank-1)/reportFanIn]
}

func (c *Controller) reportOnce(ctx context.Context) {
	now := c.clock.Now()
	total := c.reporter.takeTotal(now, c.identity.Host, c.directory.Revision())
	parent := c.parent()
	if parent == "" {
		c.writeEnforced(ctx, now, total)
		c.writeBurn(ctx, now, total)
		return
	}
	if !c.sendReport(ctx, parent, total) {
		c.reporter.restore(total.GetServices())
	}
}

// sendReport sends a report to the parent and reports whether it was acknowledged.
// If only the reply is lost, the counts are added twice; a burn rate tolerates that.
func (c *Controller) sendReport(ctx context.Context, parent string, total *linkpb.DomainReport) bool {
	host, ok := c.directory.Host(parent)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, err := c.links.Control(host.Link).Report(ctx, total)
	return err == nil
}

// enforcedInterval is the interval between writes of reports in which only the store's
// revision has changed, by writes that do not concern this domain.
const enforcedInterval = 10 * time.Second

// writeEnforced writes the configuration in force if that is due; see
// reporter.shouldWriteEnforced.
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
	if total.GetRevision() < c.directory.ConfigVersion() {
		enforced.Lagging = total.GetLagging()
	}
	if !c.reporter.shouldWriteEnforced(now, enforced, c.directory.ConfigVersion()) {
		return
	}
	envelope, err := enforced.Encode()
	if err == nil && c.overwrite(ctx, envelope) {
		c.reporter.lastWritten = enforced
		c.reporter.enforcedDue = now + enforcedInterval
	}
}

// overwrite overwrites the stored version of a record that has no other writer, and
// reports whether it succeeded.
func (c *Controller) overwrite(ctx context.Context, envelope record.Envelope) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	current, err := c.current(ctx, envelope.Ref())
	if err != nil {
		return false
	}
	_, err = c.store.Update(ctx, envelope, current.Version)
	return err == nil
}

// current reads a record. A record that does not exist has version 0.
func (c *Controller) current(ctx context.Context, ref record.Ref) (platform.Object, error) {
	object, err := c.store.Get(ctx, ref)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.Object{}, nil
	}
	return object, err
}

// writeBurn adds the counts to the burn records every burnInterval. Counts that are not
// due yet or could not be written are kept for the next call.
func (c *Controller) writeBurn(ctx context.Context, now time.Duration, total *linkpb.DomainReport) {
	if now < c.reporter.burnDue || len(total.GetServices()) == 0 {
		c.reporter.restore(total.GetServices())
		return
	}
	c.reporter.burnDue = now + burnInterval
	for _, count := range total.GetServices() {
		if count.GetTotal() == 0 {
			continue
		}
		if err := c.addBurn(ctx, count); err != nil {
			c.log.Warn("cannot write burn record; keeping its counts for the next write", "service", count.GetService(), "error", err)
			c.reporter.restore([]*linkpb.ServiceCount{count})
		}
	}
}

// BurnName returns the name of a service's burn record in a failure domain.
func BurnName(domain, service string) string { return domain + "." + service }

func (c *Controller) addBurn(ctx context.Context, count *linkpb.ServiceCount) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	ref := record.Ref{Kind: record.KindBurn, Name: BurnName(c.identity.Domain, count.GetService())}
	current, err := c.current(ctx, ref)
	if err != nil {
		return err
	}
	var series report.Series
	if current.Version != 0 {
		if err := json.Unmarshal(current.Spec, &series); err != nil {
			c.log.Warn("cannot decode burn record; replacing it with an empty one", "record", ref.String(), "error", err)
			series = report.Series{}
		}
	}
	fresh := report.Count{Total: count.GetTotal(), Bad: count.GetBad(), Slow: count.GetSlow()}
	series.Domain = c.identity.Domain
	series.Service = count.GetService()
	series.Add(time.Now(), fresh, count.GetCauses())
	spec, err := json.Marshal(series)
	if err != nil {
		return eris.Wrap(err, "encoding a burn record")
	}
	envelope := record.Envelope{Kind: ref.Kind, Name: ref.Name, Schema: record.SchemaV2, Spec: spec}
	_, err = c.store.Update(ctx, envelope, current.Version)
	return err
}

// Report implements linkpb.ControlServer.
func (s *LinkServer) Report(_ context.Context, in *linkpb.DomainReport) (*linkpb.ReportReply, error) {
	s.c.reporter.addChildReport(s.c.clock.Now(), in)
	return &linkpb.ReportReply{}, nil
}
