package gateway

import (
	"context"
	"math"
	"time"

	"cicadarouter/contract/objects"
)

// reader is the way by which a host reads a kind.
type reader string

// Readers of kinds.
const (
	readStore   reader = "store"
	readStale   reader = "stale" // stale reads of the store
	readHost    reader = "host"  // another host's copy
	readNothing reader = "none"  // the host waits for a confirmation
)

// fetched is what a call returned of a kind.
type fetched struct {
	listing objects.Listing
	reader  reader
	source  string // address of the host that answered; empty for the store
	// began is when the call was started, answeredAt when it returned.
	began, answeredAt time.Duration
	// partial is set if the store may have had more changes than it returned.
	partial bool
	// age is the age of the other host's copy when it listed it; math.MaxInt64 if it stated none.
	age time.Duration
}

// fetched returns what a call started at a time has just returned.
func (g *Gateway) fetched(listing objects.Listing, reader reader, source string, began time.Duration) fetched {
	return fetched{listing: listing, reader: reader, source: source, began: began, answeredAt: g.now(), age: math.MaxInt64}
}

// listedFrom returns a listing of another host's copy, by a call started at a time.
func (g *Gateway) listedFrom(listing objects.Listing, source string, began, age time.Duration) fetched {
	got := g.fetched(listing, readHost, source, began)
	got.age = age
	return got
}

// logWatch logs that a kind is read in another way than before.
func (g *Gateway) logWatch(kind string, plan watchPlan, by reader) {
	before, sender, confirmation := g.freshness.noteReader(kind, by, g.now())
	if before == by {
		return
	}
	g.metrics.set.GetOrCreateCounter(`cicada_reader_changes_total{kind="` + kind + `",reader="` + string(by) + `"}`).Inc()
	g.log.Info("kind is read in another way", "kind", kind, "reader", by, "before", before, "source", plan.source, "wait-ms", plan.wait.Milliseconds(),
		"copy-age-ms", ageMillis(g.freshness.copyAge(kind, g.now())), "confirmed-by", sender, "confirmation-age-ms", ageMillis(confirmation))
}

// logListBegins logs that a kind, known up to a revision, is listed again.
func (g *Gateway) logListBegins(kind string, by reader, source string, known uint64) {
	g.log.Info("kind is listed again", "kind", kind, "reader", by, "source", source, "known", known,
		"copy-age-ms", ageMillis(g.freshness.copyAge(kind, g.now())), "confirmation-age-ms", ageMillis(g.freshness.lastConfirmationAge(g.now())))
}

// noteListEnded records how long a list that began at a time has taken.
func (g *Gateway) noteListEnded(kind string, by reader, source string, began time.Duration, err error) {
	took := g.now() - began
	result := "listed"
	if err != nil {
		result = "failed"
	}
	g.metrics.set.GetOrCreateHistogram(`cicada_list_seconds{reader="` + string(by) + `",result="` + result + `"}`).Update(took.Seconds())
	g.log.Info("list ended", "kind", kind, "reader", by, "source", source, "waited-ms", took.Milliseconds(), "error", errorText(err))
}

// waitStoreAvailable waits until the store is available, logs for how long and returns it.
func (g *Gateway) waitStoreAvailable(ctx context.Context, kind string) (waited time.Duration) {
	if !g.storeAvailability.isUnavailable() {
		return 0
	}
	began := g.now()
	g.storeAvailability.waitAvailable(ctx)
	waited = g.now() - began
	g.log.Info("waited for the store", "kind", kind, "waited-ms", waited.Milliseconds())
	return waited
}

// noteReader records the way in which a kind is read. It returns the way before, and who last
// confirmed the state of the store how long ago.
func (f *freshness) noteReader(name string, by reader, now time.Duration) (before reader, sender string, confirmation time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.kind(name)
	before, state.loggedReader = state.loggedReader, by
	return before, f.sender, f.confirmationAge(now)
}

// noteApplied records that what a call returned has been applied.
func (g *Gateway) noteApplied(kind string, got fetched) {
	switch {
	case got.reader == readStore && !got.partial:
		g.freshness.noteStoreRead(kind, got.began)
	case got.reader == readHost && got.age != math.MaxInt64:
		g.freshness.noteCopied(kind, got.began-got.age)
	}
	if kind != g.registry.ConfigurationKind() || len(got.listing.Objects) == 0 {
		return
	}
	_, sender, confirmation := g.freshness.noteReader(kind, got.reader, g.now())
	g.log.Info("configuration read", "revision", got.listing.Revision, "reader", got.reader, "source", got.source, "apply-ms", (g.now() - got.answeredAt).Milliseconds(),
		"copy-age-ms", ageMillis(g.freshness.copyAge(kind, g.now())), "confirmed-by", sender, "confirmation-age-ms", ageMillis(confirmation))
}

// configurationAge returns the age of this host's copy of the configuration.
func (g *Gateway) configurationAge() time.Duration {
	return g.freshness.copyAge(g.registry.ConfigurationKind(), g.now())
}

// addCopyMetrics registers the metrics of this host's copies of the store's kinds.
func (g *Gateway) addCopyMetrics() {
	g.metrics.set.NewGauge("cicada_configuration_version", func() float64 {
		if current := g.configuration.Current(); current != nil {
			return float64(current.Version)
		}
		return 0
	})
	g.metrics.set.NewGauge("cicada_confirmation_age_seconds", func() float64 { return ageSeconds(g.freshness.lastConfirmationAge(g.now())) })
}

// addCopyAgeMetric registers the age of this host's copy of a kind.
func (g *Gateway) addCopyAgeMetric(kind string) {
	g.metrics.set.GetOrCreateGauge(`cicada_copy_age_seconds{kind="`+kind+`"}`, func() float64 { return ageSeconds(g.freshness.copyAge(kind, g.now())) })
}

// ageSeconds returns an age in seconds, or -1 if it is unknown.
func ageSeconds(age time.Duration) float64 {
	if age == math.MaxInt64 {
		return -1
	}
	return age.Seconds()
}

// lastConfirmationAge is confirmationAge for callers that don't hold the lock.
func (f *freshness) lastConfirmationAge(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmationAge(now)
}

// acceptConfirmation records a confirmation and logs one that follows a time without any. It returns
// the kinds whose watches were behind.
func (g *Gateway) acceptConfirmation(now time.Duration, c confirmation) []string {
	before := g.freshness.lastConfirmationAge(now)
	behind := g.freshness.acceptConfirmation(now, c)
	if before >= g.freshness.validFor() {
		g.log.Info("state of the store is confirmed again", "confirmed-by", c.sender, "source", c.source, "age-ms", (now - c.confirmedAt).Milliseconds(),
			"unconfirmed-ms", ageMillis(before), "answer-ms", (now - c.askedAt).Milliseconds(), "copy-ages-ms", g.freshness.copyAges(now), "behind", behind)
	}
	for _, kind := range behind {
		g.metrics.set.GetOrCreateCounter(`cicada_watches_behind_total{kind="` + kind + `"}`).Inc()
	}
	return behind
}
