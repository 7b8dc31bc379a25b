// Package soak runs randomized fault-injection tests. It runs real cicada-gateway processes
// on one machine with fake platform services and fake backend servers, injects a seeded
// sequence of faults from outside the processes, and checks the system's guarantees from
// what callers and servers observe.
//
// It needs a built cicada-gateway, sends to loopback only, and ends only the
// processes that it started.
package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cicadarouter/platform"
	"cicadarouter/platform/platformtest"
)

const readyPath = platform.ReadyPath

// Options configures a run.
type Options struct {
	// Program is the built cicada-gateway.
	Program string
	// Dir is the directory for the hosts' settings and logs.
	Dir  string
	Seed uint64
	// Series is the version of the list of faults; 0 for the current one.
	Series Series
	// Only, if set, restricts the faults to those whose names contain it.
	Only string
	// Hosts is the number of processes, Servers the number of fake servers of each of two
	// services, and Callers the number of concurrent callers.
	Hosts, Servers, Callers int
	// Length is the time during which faults are started.
	Length time.Duration
	// Every is the mean time between two faults.
	Every time.Duration
	// Print is called with a line for each fault.
	Print func(line string)
}

// Result is the result of a run.
type Result struct {
	Seed     uint64
	Faults   int
	Requests int
	Statuses map[int]int
	// EndedServers is how many servers were terminated by deadly requests.
	EndedServers int
	// Broken lists the violations of guarantees.
	Broken []string
}

// Time bounds from the system's requirements. Most checks add margin, because the machine
// may be busy.
const (
	configureWithin = 2 * time.Second
	leaveWithin     = 2 * time.Second
	evacuateWithin  = 5 * time.Second
	deadlyWithin    = 3 * time.Second
	margin          = time.Second
	// calm is how long no fault must have been active before a time bound applies.
	calm = 3 * time.Second
	// recoverWithin bounds the time after the last fault until all keys are served again.
	recoverWithin = 20 * time.Second
)

// run is the state of one run.
type run struct {
	options Options
	site    *platformtest.Site
	serving context.Context
	first   []*Proxy // to the servers that are present from the start
	hosts   []*host
	load    *platformtest.Load
	loading context.Context
	began   time.Time
	// deadlyCallers send copies of deadly requests.
	deadlyCallers sync.WaitGroup

	mu       sync.Mutex
	fronts   []*Proxy // to all servers
	broken   []string
	troubles []window // when at least one fault was active
	on       int      // number of active faults
	onSince  time.Time
	versions []version
	faults   int
}

// version is a configuration change and when the store acknowledged it.
type version struct {
	number int
	at     time.Time
}

// Run runs the test with one seed. It returns an error only if the run itself failed;
// violated guarantees are in the result.
func Run(ctx context.Context, options Options) (Result, error) {
	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	r := &run{options: options, serving: serving, began: time.Now()}
	defer r.close()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	loading, endLoad := context.WithCancel(serving)
	defer endLoad()
	r.loading = loading
	var checks sync.WaitGroup
	checks.Go(func() { r.load.Run(loading) })
	checks.Go(func() { r.watchKeys(loading) })
	checks.Go(func() { r.watchVersions(loading) })
	r.makeFaults(ctx)
	r.recovered()
	// The last planned operations are checked too, so their time bounds have to pass
	// while the load is still running.
	pause(ctx, leaveWithin+2*margin)
	if len(r.site.Deadly()) > 0 {
		pause(ctx, calm+margin) // copies count only while no fault is active
	}
	endLoad()
	checks.Wait()
	r.deadlyCallers.Wait()
	return r.judge(), ctx.Err()
}

// start starts the site and the hosts and waits until the hosts serve requests.
func (r *run) start() error {
	// Each run uses a random loopback network, so that concurrent runs do not use the
	// same addresses.
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	storeAddress := fmt.Sprintf("%s.1:%d", network, firstPort)
	r.site = platformtest.NewSite("127.0.0.1", 0)
	r.site.Front = func(address string) (string, error) {
		proxy, err := NewProxy(address)
		if err != nil {
			return "", err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.fronts = append(r.fronts, proxy)
		return proxy.Address(), nil
	}
	if err := r.site.Start(r.serving, storeAddress, r.options.Servers); err != nil {
		return err
	}
	r.first = slices.Clone(r.fronts)
	r.load = &platformtest.Load{Callers: r.options.Callers, Pause: 5 * time.Millisecond}
	for i := range r.options.Hosts {
		h, err := newHost(fmt.Sprintf("host-%d", i), r.options.Program, r.options.Dir, fmt.Sprintf("%s.%d", network, i+2), storeAddress)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
		r.load.Hosts = append(r.load.Hosts, h.callers)
		if err := h.start(); err != nil {
			return err
		}
	}
	if missing := r.unserved(recoverWithin); missing != "" {
		return eris.Errorf("the hosts do not serve at the start: %s", missing)
	}
	return nil
}

func (r *run) close() {
	for _, h := range r.hosts {
		h.close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, proxy := range r.fronts {
		proxy.Close()
	}
}

// makeFaults draws the faults of the seed, injects each at its time and waits until all
// have ended.
func (r *run) makeFaults(ctx context.Context) {
	drawn := newSeries(r.options.Seed, cmp.Or(r.options.Series, CurrentSeries), r.options.Only)
	var injecting sync.WaitGroup
	start := time.Now()
	for at := time.Duration(0); at < r.options.Length; at += time.Duration(drawn.random.ExpFloat64() * float64(r.options.Every)) {
		kind, length := drawn.next()
		inject := kind.plan(r, drawn.random, length)
		injecting.Go(func() {
			pause(ctx, time.Until(start.Add(at)))
			r.options.Print(fmt.Sprintf("%6.2f s  %s (%v)", time.Since(r.began).Seconds(), kind.name, length.Round(time.Millisecond)))
			if !kind.harmless {
				r.trouble(1)
				defer r.trouble(-1)
			}
			inject(ctx)
		})
		r.faults++
	}
	injecting.Wait()
}

// trouble changes the number of active faults and records when at least one was active.
func (r *run) trouble(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.on == 0 {
		r.onSince = now
	}
	r.on += change
	if r.on == 0 {
		r.troubles = append(r.troubles, window{from: r.onSince, to: now})
	}
}

// calmBetween reports whether no fault was active in an interval and in the time calm
// before it.
func (r *run) calmBetween(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	from = from.Add(-calm)
	if r.on > 0 && r.onSince.Before(to) {
		return false
	}
	return !anyOverlaps(r.troubles, from, to)
}

// restart starts a host's process again if it has ended, as the platform would.
func (r *run) restart(h *host) { r.fail(h.start()) }

// fail records an error of the run itself.
func (r *run) fail(err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		r.breaks("the run itself failed: " + err.Error())
	}
}

func (r *run) breaks(violation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf("%.2f s: %s", time.Since(r.began).Seconds(), violation))
}

// watchKeys fails the run if two servers hold a key at the same time.
func (r *run) watchKeys(ctx context.Context) {
	const interval, maxReported = 20 * time.Millisecond, 5
	for found := 0; ctx.Err() == nil && found < maxReported; pause(ctx, interval) {
		if key, held := r.site.HeldTwice(); held {
			r.breaks(fmt.Sprintf("key %d is held by two servers", key))
			found++
		}
	}
}

func (r *run) configured(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, version{number: number, at: time.Now()})
}

// watchVersions requests the newest version's route from each host once the version must
// be in force. It skips versions for which a fault was active.
func (r *run) watchVersions(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	for checked := 0; ctx.Err() == nil; pause(ctx, 100*time.Millisecond) {
		r.mu.Lock()
		var newest version
		if n := len(r.versions); n > 0 {
			newest = r.versions[n-1]
		}
		r.mu.Unlock()
		due := newest.at.Add(configureWithin + margin)
		if newest.number == checked || newest.number == 0 || time.Now().Before(due) {
			continue
		}
		checked = newest.number
		for _, h := range r.hosts {
			status := ask(client, h, platformtest.VersionPath(newest.number), 0)
			if status == http.StatusNotFound && h.upFor() > calm && r.calmBetween(newest.at, time.Now()) {
				r.breaks(fmt.Sprintf("%s does not know version %d, %v after it was acknowledged", h.name, newest.number, time.Since(newest.at)))
			}
		}
	}
}

// ask sends one request with a key. It returns the status, or 0 if there was no response.
func ask(client *http.Client, h *host, path string, key int) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+h.callers+path, nil)
	if err != nil {
		return 0
	}
	request.Host = platformtest.SiteHost
	request.Header.Set("X-Request-Id", fmt.Sprintf("ask-%d-%d", time.Now().UnixNano(), key))
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("X-Shard-Key", fmt.Sprint(key))
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status is of interest
	_ = response.Body.Close()
	return response.StatusCode
}

// recovered fails the run unless all hosts serve again within recoverWithin.
func (r *run) recovered() {
	if missing := r.unserved(recoverWithin); missing != "" {
		r.breaks(fmt.Sprintf("not served %v after the last fault: %s", recoverWithin, missing))
	}
}

// unserved waits until every host is ready and serves a sample of the keys. It returns "",
// or what is still missing when the time has passed.
func (r *run) unserved(within time.Duration) string {
	client := &http.Client{Timeout: 2 * time.Second}
	missing := "nothing was asked"
	for end := time.Now().Add(within); missing != "" && time.Now().Before(end) && r.serving.Err() == nil; pause(r.serving, 100*time.Millisecond) {
		missing = ""
		for _, h := range r.hosts {
			if !h.isReady(client) {
				missing = h.name + " is not ready"
				continue
			}
			for key := 0; key <= 65535 && missing == ""; key += 4369 {
				if status := ask(client, h, "/unit/x", key); status != http.StatusOK {
					missing = fmt.Sprintf("%s answers %d for key %d", h.name, status, key)
				}
			}
		}
	}
	return missing
}

// judge checks the guarantees against the responses that callers got and the requests that
// servers ran.
func (r *run) judge() Result {
	runs := r.site.RunsByID()
	report := r.load.Check(runs)
	violations := append(r.broken, report.Broken...)
	for _, h := range r.hosts {
		violations = append(append(violations, h.ownEnds...), h.stuck()...)
	}
	violations = append(violations, r.site.Overlaps()...)
	violations = append(violations, r.cutByPlannedStops(runs)...)
	violations = append(violations, r.lateToLeaving()...)
	violations = append(violations, r.lateToEvacuated()...)
	violations = append(violations, r.site.Overrun()...)
	violations = append(violations, r.limitsExceeded()...)
	violations = append(violations, r.lateToToldLeaving()...)
	violations = append(violations, r.restsDisturbed()...)
	late, ended := r.lateCopies()
	return Result{Seed: r.options.Seed, Faults: r.faults, Requests: report.Sent, Statuses: report.Statuses, EndedServers: ended, Broken: append(violations, late...)}
}

// limitsExceeded returns a violation for each server that received more requests than the
// limit it announced allows, while no host was stopped, killed or paused.
func (r *run) limitsExceeded() []string {
	var violations []string
	for _, server := range r.site.Servers() {
		for _, use := range server.LimitUses(r.undisturbed) {
			if use.Exceeded() {
				violations = append(violations, fmt.Sprintf("%s got %v, %.2f s after the start", server.ID, use, use.At.Sub(r.began).Seconds()))
			}
		}
	}
	return violations
}

// lateToToldLeaving returns a violation for each server that received requests from a host
// after responses through that host had announced that the server is leaving. Only a stop,
// kill or pause of the host excuses such a request.
func (r *run) lateToToldLeaving() []string {
	var violations []string
	for _, server := range r.site.Servers() {
		for _, late := range server.LateToLeaving(leaveWithin) {
			if h := r.hostAt(late.Host); h == nil || h.disturbedBetween(late.Told, late.At) {
				continue
			}
			violations = append(violations, fmt.Sprintf("request %s, sent %v after an answer of %s had said that it leaves, reached it by way of the same host",
				late.ID, late.Sent.Sub(late.Told), server.ID))
			break
		}
	}
	return violations
}

// restsDisturbed returns a violation for each server that received requests from a host
// that it had asked to back off.
func (r *run) restsDisturbed() []string {
	var violations []string
	for _, server := range r.site.Servers() {
		for _, use := range server.RestUses() {
			if h := r.hostAt(use.Host); !use.Exceeded() || h == nil || h.disturbedBetween(use.At, use.At.Add(use.Rest)) {
				continue
			}
			violations = append(violations, fmt.Sprintf("%s asked %s for %v of rest and got %d requests from it, the last of them %s", server.ID, use.Host, use.Rest, use.Got, use.Last))
			break
		}
	}
	return violations
}

// hostAt returns the host that listens for callers at an address, or nil.
func (r *run) hostAt(address string) *host {
	for _, h := range r.hosts {
		if h.callers == address {
			return h
		}
	}
	return nil
}

// undisturbed reports whether no host was stopped, killed or paused in an interval or in
// the time calm before it.
func (r *run) undisturbed(from, to time.Time) bool {
	for _, h := range r.hosts {
		if h.disturbedBetween(from.Add(-calm), to) {
			return false
		}
	}
	return true
}

// lateCopies returns a violation for each deadly request of which too many copies reached
// servers when all hosts had to know it, and the total number of terminated servers.
func (r *run) lateCopies() (violations []string, ended int) {
	for _, deadly := range r.site.Deadly() {
		ended += deadly.Ended()
		late, tooMany := deadly.SentLateAt(deadlyWithin+margin, func(at time.Time) bool { return r.calmBetween(at, at) })
		if tooMany {
			violations = append(violations, fmt.Sprintf("%d copies of %s reached servers later than %v after it had ended three; %d ended in all", late, deadly.Path, deadlyWithin, deadly.Ended()))
		}
	}
	return violations, ended
}

// cutByPlannedStops returns a violation for each request that ran but got no response
// during a planned stop of its host, unless the host was paused or killed meanwhile.
func (r *run) cutByPlannedStops(runs map[string]int) []string {
	var violations []string
	for _, request := range r.load.Unanswered() {
		for _, h := range r.hosts {
			if h.callers != request.Host || runs[request.ID] == 0 {
				continue
			}
			if anyOverlaps(h.planned, request.Sent, request.At) && !anyOverlaps(h.disturbs, request.Sent, request.At) {
				violations = append(violations, fmt.Sprintf("request %s ran and got no answer from %s, which was stopped as planned", request.ID, h.name))
			}
		}
	}
	return violations
}

// lateToLeaving returns a violation for each server that received a request later than
// allowed after it had announced that it is leaving.
func (r *run) lateToLeaving() []string {
	var violations []string
	for _, server := range r.site.Servers() {
		left := r.site.LeftAt(server)
		if left.IsZero() {
			continue
		}
		due := left.Add(leaveWithin + margin)
		for _, run := range server.Runs() {
			if run.At.After(due) && !strings.HasPrefix(run.RequestID, "ask-") && r.calmBetween(left, run.At) {
				violations = append(violations, fmt.Sprintf("request %s reached %s %v after it said that it leaves", run.RequestID, server.ID, run.At.Sub(left)))
				break
			}
		}
	}
	return violations
}

// lateToEvacuated returns a violation for each server of an evacuated failure domain that
// received a request later than allowed.
func (r *run) lateToEvacuated() []string {
	var violations []string
	for _, evacuation := range r.site.Evacuations() {
		due := evacuation.From.Add(evacuateWithin + margin)
		for _, server := range r.site.Servers() {
			if server.Domain != evacuation.Domain {
				continue
			}
			for _, run := range server.Runs() {
				over := !evacuation.Until.IsZero() && run.At.After(evacuation.Until)
				if run.At.After(due) && !over && r.calmBetween(evacuation.From, run.At) {
					violations = append(violations, fmt.Sprintf("request %s reached %s %v after its domain %s was evacuated",
						run.RequestID, server.ID, run.At.Sub(evacuation.From), evacuation.Domain))
					break
				}
			}
		}
	}
	return violations
}
