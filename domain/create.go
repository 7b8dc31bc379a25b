package domain

import (
	"context"
	"math"
	"slices"
	"time"

	"cicadarouter/contract/platform"
	"cicadarouter/ownership"
	"cicadarouter/record"
)

// createRetry is how long a controller waits before it tries again to make a page.
const createRetry = time.Second

// createPages makes the pages of this domain that do not exist yet. Only the
// first member of the group that a page will have tries; the conditional update
// settles races.
func (l *loop) createPages(now time.Duration) {
	if !l.c.voter.established() {
		return // pages may exist that this process has not seen
	}
	for _, service := range l.c.directory.Services() {
		for index := range service.PageCount() {
			if service.PageHome(index) == l.c.identity.Domain {
				l.createPage(now, service, index)
			}
		}
	}
}

func (l *loop) createPage(now time.Duration, service record.Service, index int) {
	name := record.PageName(service.Name, index)
	if _, _, exists := l.c.directory.Page(name); exists {
		return
	}
	group := groupFor(name, l.c.directory.Hosts(), l.c.identity.Domain)
	if len(group) == 0 || group[0] != l.c.identity.Host {
		return
	}
	if tried, ok := l.created[name]; ok && now-tried < createRetry {
		return
	}
	l.created[name] = now
	servers := len(l.c.directory.Servers(service.Name, l.c.identity.Domain)) / service.PagesPerDomain
	page := newPage(service, index, group, max(servers, 1))
	l.c.createPage(page)
}

// newPage lays a page out in shards of equal width.
func newPage(service record.Service, index int, group []string, servers int) record.Page {
	low, high := record.PageRange(index, service.PageCount())
	page := record.Page{
		Name:       record.PageName(service.Name, index),
		Service:    service.Name,
		Home:       service.PageHome(index),
		Index:      index,
		Low:        low,
		High:       high,
		Generation: 1,
		Group:      group,
		GroupSince: 1,
		Bounded:    service.WhenCutOff == record.CutOffMove,
		Attempt:    newAttempt(),
	}
	count := uint64(service.ShardsPerServer * servers)
	width := (high-low)/count + 1
	if !service.Keyed || count == 1 {
		width = math.MaxUint64
	}
	for at := low; ; at += width {
		page.Shards = append(page.Shards, record.Shard{Low: at, State: record.ShardReleasing})
		if high-at < width {
			return page
		}
	}
}

func (c *Controller) createPage(page record.Page) {
	c.duty(func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		envelope, err := page.Encode()
		if err != nil {
			return
		}
		version, err := c.store.Update(ctx, envelope, 0)
		if err == nil {
			c.log.Info("page made", "page", page.Name, "group", page.Group)
			c.learn([]platform.Object{{Envelope: envelope, Version: version}}, 0)
		}
	})
}

// takeOverLost takes pages of domains that operators declared lost.
func (l *loop) takeOverLost(now time.Duration) {
	lost := l.c.directory.Lost(record.LostDomain)
	if len(lost) == 0 {
		return
	}
	for _, page := range l.c.directory.Pages() {
		if slices.Contains(lost, page.Home) {
			l.takeOver(now, page, lost)
		}
	}
}

// takeOver writes the page to this domain, if this domain is the one that
// should have it and this controller would be its assigner.
func (l *loop) takeOver(now time.Duration, page record.Page, lost []string) {
	service, ok := l.c.directory.Service(page.Service)
	if !ok {
		return
	}
	if Heir(page.Name, service, lost) != l.c.identity.Domain {
		return
	}
	group := groupFor(page.Name, l.c.directory.Hosts(), l.c.identity.Domain)
	if len(group) == 0 || group[0] != l.c.identity.Host {
		return
	}
	if tried, ok := l.created[page.Name]; ok && now-tried < createRetry {
		return
	}
	l.created[page.Name] = now
	next := ownership.TakeOver(page, l.c.identity.Domain, group, newAttempt())
	l.c.log.Warn("taking a page over from a lost domain", "page", page.Name, "from", page.Home)
	l.out.writes = append(l.out.writes, next)
}

// Heir returns the failure domain that takes a page whose home is lost, or ""
// if no domain of the service is left.
func Heir(page string, service record.Service, lost []string) string {
	heirs := slices.DeleteFunc(slices.Clone(service.Domains), func(domain string) bool {
		return slices.Contains(lost, domain)
	})
	order := ranked("heir\x00"+page, heirs)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}
