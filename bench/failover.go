package bench

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"time"

	"cicadarouter/contract/caller"
	"cicadarouter/record"
	"cicadarouter/standin"
)

// Loss is a kind of failure, or planned move, for which the recovery is measured.
type Loss string

// The kinds of losses.
const (
	FreezeServer                  Loss = "server frozen"
	LoseController                Loss = "assigning controller lost"
	FreezeServerAndLoseController Loss = "server frozen and assigning controller lost"
	LoseRouter                    Loss = "dispatch router lost"
	LoseHost                      Loss = "host of assigner or dispatcher lost"
	LoseStore                     Loss = "store down throughout"
	LoseStoreAndRouter            Loss = "store down, dispatch router lost"
	LoseStoreAndReplaceHost       Loss = "store down, assigner's host replaced"
	MoveShard                     Loss = "server drains (planned move)"
)

// Losses lists all kinds.
func Losses() []Loss {
	return []Loss{FreezeServer, LoseController, FreezeServerAndLoseController, LoseRouter, LoseHost, LoseStore, LoseStoreAndRouter, LoseStoreAndReplaceHost, MoveShard}
}

// testKey is the key whose unavailability is measured.
const testKey = "key-1"

// Recovery is the cost of a loss.
type Recovery struct {
	// Unavailable is the longest time for which an affected key was not served.
	Unavailable time.Duration
	// Writes, Reads and Watches are the calls to the store in the seconds around the loss,
	// including those that are made without a loss too.
	Writes, Reads, Watches int64
	// Moved is the number of shards whose owner changed.
	Moved int
}

// FailOver starts a site, causes a loss and returns its cost.
func FailOver(loss Loss, config Config) (Recovery, error) {
	config.HTTP = true
	site, err := Start(config)
	if err != nil {
		return Recovery{}, err
	}
	defer site.Close()
	const settle = 20 * time.Second
	if err := site.Settle(settle); err != nil {
		return Recovery{}, err
	}
	entry := site.chooseEntryHost()
	if err := site.waitUntilServing(entry, settle); err != nil {
		return Recovery{}, err
	}
	before, owners := site.readCounters(), site.owners()
	recovery := Recovery{Unavailable: site.measureLoss(loss, entry)}
	after := site.readCounters()
	recovery.Writes = after.writes - before.writes
	recovery.Reads = after.reads - before.reads
	recovery.Watches = after.watches - before.watches
	for low, owner := range site.owners() {
		if owners[low] != owner {
			recovery.Moved++
		}
	}
	return recovery, nil
}

// owners returns the owner of each shard of the service, by the shard's lowest hash.
func (s *Site) owners() map[uint64]string {
	owners := map[uint64]string{}
	for _, page := range s.pages() {
		for _, shard := range page.Shards {
			owners[shard.Low] = shard.Owner
		}
	}
	return owners
}

// measureLoss sends requests in quick succession, causes the loss, and returns the longest
// time between two requests that were answered.
func (s *Site) measureLoss(loss Loss, entry *siteHost) time.Duration {
	const (
		before = 300 * time.Millisecond
		after  = 4 * time.Second
		pause  = 3 * time.Millisecond
	)
	began := time.Now()
	last := began
	longest := time.Duration(0)
	caused := false
	for time.Since(began) < before+after {
		if !caused && time.Since(began) > before {
			caused = true
			s.causeLoss(loss)
		}
		if s.sendRequest(entry, 100*time.Millisecond) {
			longest = max(longest, time.Since(last))
			last = time.Now()
		}
		time.Sleep(pause)
	}
	return max(longest, time.Since(last))
}

func (s *Site) causeLoss(loss Loss) {
	page := s.testPage()
	switch loss {
	case FreezeServer:
		s.setFaults(page, standin.ServerFaults{Frozen: true})
	case MoveShard:
		s.setFaults(page, standin.ServerFaults{Draining: true})
	case LoseController:
		s.killController(s.host(page.Group[0]))
	case FreezeServerAndLoseController:
		s.setFaults(page, standin.ServerFaults{Frozen: true})
		s.killController(s.host(page.Group[0]))
	case LoseRouter:
		s.killRouter(s.host(s.dispatcher(page)))
	case LoseHost:
		s.kill(s.host(s.dispatcher(page)))
	case LoseStore:
		s.store.down.Store(true)
	case LoseStoreAndReplaceHost:
		s.store.down.Store(true)
		lost := s.host(page.Group[0])
		s.kill(lost)
		s.replace(lost)
	case LoseStoreAndRouter:
		s.store.down.Store(true)
		s.killRouter(s.host(s.dispatcher(page)))
	}
}

func (s *Site) setFaults(page record.Page, faults standin.ServerFaults) {
	hash := record.KeyHash(serviceName, testKey)
	owner := page.Shards[page.ShardAt(hash)].Owner
	if server, ok := s.fleet.Server(owner); ok {
		server.SetFaults(faults)
	}
}

// testPage returns the page of the test key.
func (s *Site) testPage() record.Page {
	hash := record.KeyHash(serviceName, testKey)
	for _, page := range s.pages() {
		if page.Contains(hash) {
			return page
		}
	}
	return record.Page{}
}

func (s *Site) host(name string) *siteHost {
	index := slices.IndexFunc(s.hosts, func(h *siteHost) bool { return h.name == name })
	return s.hosts[index]
}

// dispatcher returns the host whose router holds the page's dispatch lease.
func (s *Site) dispatcher(page record.Page) string {
	for _, h := range s.hosts {
		for _, held := range h.router.Status().Dispatches {
			if held.Page == page.Name {
				return h.name
			}
		}
	}
	return s.hosts[0].name
}

// chooseEntryHost returns the host to which callers send their requests. It is one that neither
// assigns nor dispatches the test page, if there is one.
func (s *Site) chooseEntryHost() *siteHost {
	page := s.testPage()
	const maxTries = 100
	for range maxTries {
		for _, h := range s.hosts {
			if h.name != page.Group[0] && h.name != s.dispatcher(page) {
				return h
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return s.hosts[len(s.hosts)-1]
}

// sendRequest sends one idempotent request and reports whether its outcome is "done".
func (s *Site) sendRequest(entry *siteHost, deadline time.Duration) bool {
	request := httptest.NewRequest(http.MethodGet, "/s/"+serviceName+"/item", nil)
	request.Header.Set(caller.HeaderKey, testKey)
	request.Header.Set(caller.HeaderDeadlineMs, strconv.FormatInt(deadline.Milliseconds(), 10))
	recorder := httptest.NewRecorder()
	entry.front.ServeHTTP(recorder, request)
	return recorder.Header().Get(caller.HeaderOutcome) == string(caller.Done)
}

// NotServedError reports a site that did not serve a request in time.
type NotServedError struct{}

// Error implements error.
func (NotServedError) Error() string { return "the site serves nothing" }

func (s *Site) waitUntilServing(entry *siteHost, limit time.Duration) error {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		if s.sendRequest(entry, time.Second) {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return NotServedError{}
}
