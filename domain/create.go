package domain

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"cicadarouter/contract/platform"
	"cicadarouter/ownership"
	"cicadarouter/record"
)

// Pages are created and taken over by the domain's watchers, which know all of its
// pages. The first watcher acts at once. Each later one waits watcherDelay longer, in
// case the earlier ones have failed. If two act, the store's conditional update lets
// only one succeed.
const (
	createRetryInterval = time.Second
	watcherDelay        = 3 * time.Second
	notAWatcher         = -1
	maxPagesPerScan     = 64
)

// watcherRank returns this controller's index in the list of its domain's
// watchers, or notAWatcher.
func (l *loop) watcherRank() int {
	return slices.Index(l.c.watchers(), l.c.identity.Host)
}

// shouldAttempt reports whether this controller, the watcher with the given rank,
// should perform a pending task now.
func (l *loop) shouldAttempt(now time.Duration, rank int, task string) bool {
	if rank == notAWatcher {
		return false
	}
	since, known := l.pendingSince[task]
	if !known {
		l.pendingSince[task] = now
		since = now
	}
	if now-since < time.Duration(rank)*watcherDelay {
		return false
	}
	if tried, ok := l.lastAttempt[task]; ok && now-tried < createRetryInterval {
		return false
	}
	l.lastAttempt[task] = now
	return true
}

// createPages creates this domain's missing pages, at most maxPagesPerScan at a time.
func (l *loop) createPages(now time.Duration) {
	rank := l.watcherRank()
	if !l.c.voter.hasReadStore() || rank == notAWatcher {
		return // until the store has been read, existing pages may be unknown
	}
	started := 0
	for _, service := range l.c.directory.Services() {
		for index := range service.PageCount() {
			if service.PageHome(index) == l.c.identity.Domain && started < maxPagesPerScan && l.createPage(now, rank, service, index) {
				started++
			}
		}
	}
	if started == maxPagesPerScan {
		l.nextRescan = now // more pages may be missing
	}
}

// createPage creates a page if it is missing, and reports whether it started to.
func (l *loop) createPage(now time.Duration, rank int, service record.Service, index int) bool {
	name := record.PageName(service.Name, index)
	if _, _, exists := l.c.directory.Page(name); exists {
		delete(l.pendingSince, name)
		return false
	}
	if !l.shouldAttempt(now, rank, name) {
		return false
	}
	group := renewalGroup(name, l.c.directory.Hosts(), l.c.identity.Domain)
	if len(group) == 0 {
		return false
	}
	servers := len(l.c.directory.PageServers(service, l.c.identity.Domain, index))
	l.c.writeNewPage(newPage(service, index, group, max(servers, 1)))
	return true
}

// newPage returns the first generation of a page, split into shards of equal width.
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

func (c *Controller) writeNewPage(page record.Page) {
	c.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		defer cancel()
		envelope, err := page.Encode()
		if err != nil {
			return
		}
		version, err := c.store.Update(ctx, envelope, 0)
		if err == nil {
			c.log.Info("created page", "page", page.Name, "group", page.Group)
			c.applyRecords([]platform.Object{{Envelope: envelope, Version: version}}, 0)
		}
	})
}

// takeOverLost takes over pages of domains that operators declared lost. The waits of
// later watchers start when this process first sees a lost domain; at further losses
// no watcher waits again.
func (l *loop) takeOverLost(now time.Duration) {
	lost := l.c.directory.Lost(record.LostDomain)
	if len(lost) == 0 || l.c.takeoversFinished(lost) || !l.shouldAttempt(now, l.watcherRank(), "lost domains") {
		return
	}
	hosts := l.c.directory.Hosts()
	l.c.spawn(func() { l.c.takeOver(lost, hosts) })
}

// takeOver reads all pages from the store, since the directory holds only those of
// this domain, and takes over the pages that TakeoverDomain assigns to this domain.
func (c *Controller) takeOver(lost []string, hosts []platform.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	snapshot, err := c.store.List(ctx)
	if err != nil {
		return
	}
	left := 0
	for _, object := range snapshot.Objects {
		page, err := record.DecodePage(object.Envelope)
		if object.Kind != record.KindPage || err != nil || !slices.Contains(lost, page.Home) {
			continue
		}
		service, ok := c.directory.Service(page.Service)
		if !ok || TakeoverDomain(page.Name, service, lost) != c.identity.Domain {
			continue
		}
		left++
		c.takeOverPage(ctx, object, page, hosts)
	}
	if left == 0 {
		c.recordFinishedTakeovers(lost)
	}
}

// recordFinishedTakeovers records that the lost domains have no page left for this
// domain to take over. The record of a loss may exist for weeks, and each check
// lists the whole store.
func (c *Controller) recordFinishedTakeovers(lost []string) {
	c.finishedTakeovers.Store(strings.Join(lost, ","))
}

func (c *Controller) takeoversFinished(lost []string) bool {
	done, _ := c.finishedTakeovers.Load().(string)
	return done == strings.Join(lost, ",")
}

func (c *Controller) takeOverPage(ctx context.Context, object platform.Object, page record.Page, hosts []platform.Host) {
	group := renewalGroup(page.Name, hosts, c.identity.Domain)
	next := ownership.TakeOver(page, c.identity.Domain, group, newAttempt())
	envelope, err := next.Encode()
	if err != nil || len(group) == 0 {
		return
	}
	version, err := c.store.Update(ctx, envelope, object.Version)
	c.log.Warn("taking over page of a lost domain", "page", page.Name, "from", page.Home, "error", err)
	if err == nil {
		c.applyRecords([]platform.Object{{Envelope: envelope, Version: version}}, 0)
	}
}

// TakeoverDomain returns the failure domain that takes over a page whose home
// domain is lost, or "" if all domains of the service are lost.
func TakeoverDomain(page string, service record.Service, lost []string) string {
	candidates := slices.DeleteFunc(slices.Clone(service.Domains), func(domain string) bool {
		return slices.Contains(lost, domain)
	})
	order := rendezvousOrder("heir\x00"+page, candidates)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}
