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
	// FaultList is the version of the list of faults; 0 for the current one.
	FaultList FaultListVersion
	// Only, if set, restricts the faults to those whose names contain it.
	Only string
	// Hosts is the number of processes, Servers the number of fake servers of each of two
	// services, and Callers the number of concurrent callers.
	Hosts, Servers, Callers int
	// Domains is the number of failure domains of the hosts; 0 for one.
	Domains int
	// ProcessorShare is the share of a processor that each host has as a quota from the end of its start on;
	// 0 for no quota.
	ProcessorShare float64
	// Repetitions is how often the faults that repeat themselves do so; 0 for 5 times.
	Repetitions int
	// FaultDuration is the time during which faults are started.
	FaultDuration time.Duration
	// MeanInterval is the mean time between two faults.
	MeanInterval time.Duration
	// Print is called with a line for each fault.
	Print func(line string)
}

// Result is the result of a run.
type Result struct {
	Seed     uint64
	Faults   int
	Requests int
	Statuses map[int]int
	// TerminatedServers is how many servers were terminated by deadly requests.
	TerminatedServers int
	// Lateness is how late versions of the configuration took effect.
	Lateness Lateness
	// Violations lists the violations of guarantees.
	Violations []string
}

// Time bounds from the system's requirements. Most checks add margin, because the machine
// may be busy.
const (
	configureWithin = 2 * time.Second
	leaveWithin     = 2 * time.Second
	evacuateWithin  = 5 * time.Second
	deadlyWithin    = 3 * time.Second
	margin          = time.Second
	// quietPeriod is how long no fault must have been active before a time bound applies.
	quietPeriod = 3 * time.Second
	// recoverWithin bounds the time after the last fault until all keys are served again.
	recoverWithin = 20 * time.Second
)

// run is the state of one run.
type run struct {
	options        Options
	site           *platformtest.Site
	servingCtx     context.Context
	initialProxies []*Proxy // to the servers that are present from the start
	hosts          []*host
	load           *platformtest.Load
	loadCtx        context.Context
	began          time.Time
	// deadlyCallers send copies of deadly requests.
	deadlyCallers sync.WaitGroup

	mu           sync.Mutex
	proxies      []*Proxy // to all servers
	violations   []string
	faultWindows []window // when at least one fault was active
	activeFaults int      // number of active faults
	activeSince  time.Time
	versions     []version
	probes       []probe  // by which versionViolations judges
	storeFaults  []window // when the store had a fault, for all hosts
	faultCount   int
}

// Run runs the test with one seed. It returns an error if the run could not start or was
// canceled. Violations of guarantees, and errors of the run after its start, are in the
// result.
func Run(ctx context.Context, options Options) (Result, error) {
	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	r := &run{options: options, servingCtx: serving, began: time.Now()}
	defer r.close()
	loading, endLoad := context.WithCancel(serving)
	defer endLoad()
	r.loadCtx = loading
	var checks sync.WaitGroup
	if err := r.start(&checks); err != nil {
		return Result{}, err
	}
	checks.Go(func() { r.load.Run(loading) })
	checks.Go(func() { r.checkKeyHolders(loading) })
	checks.Go(func() { r.checkVersions(loading) })
	checks.Go(func() { r.checkMemory(loading) })
	if share := r.options.ProcessorShare; share > 0 {
		for _, h := range r.hosts {
			checks.Go(func() { h.throttle(loading, share) })
		}
	}
	r.injectFaults(ctx)
	r.checkRecovery()
	// The last planned operations are checked too, so their time bounds have to pass
	// while the load is still running.
	sleep(ctx, leaveWithin+2*margin)
	if len(r.site.DeadlyRequests()) > 0 {
		sleep(ctx, quietPeriod+margin) // copies count only while no fault is active
	}
	endLoad()
	checks.Wait()
	r.deadlyCallers.Wait()
	return r.checkGuarantees(), ctx.Err()
}

// start starts the site and the hosts and waits until the hosts serve requests. checks waits for the
// probes, which begin with the processes.
func (r *run) start(checks *sync.WaitGroup) error {
	// Each run uses a random loopback network, so that concurrent runs do not use the
	// same addresses.
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	storeAddress := fmt.Sprintf("%s.1:%d", network, firstPort)
	r.site = platformtest.NewSite("127.0.0.1", 0)
	r.site.ProxyAddress = func(address string) (string, error) {
		proxy, err := NewProxy(address)
		if err != nil {
			return "", err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.proxies = append(r.proxies, proxy)
		return proxy.Address(), nil
	}
	if err := r.site.Start(r.servingCtx, storeAddress, r.options.Servers); err != nil {
		return err
	}
	if r.playsStarts() {
		const first = 1
		r.versions = append(r.versions, version{number: first, sent: r.began, at: time.Now(), turnService: r.site.TurnService(first)})
		r.site.Store.SetStaleness(staleness)
	}
	r.initialProxies = slices.Clone(r.proxies)
	r.load = &platformtest.Load{Callers: r.options.Callers, Pause: 5 * time.Millisecond}
	for i := range r.options.Hosts {
		h, err := newHost(fmt.Sprintf("host-%d", i), r.options.Program, r.options.Dir, fmt.Sprintf("%s.%d", network, i+2), siteDomain(i, r.options.Domains), storeAddress, r.playsStarts())
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
		r.load.Hosts = append(r.load.Hosts, h.callersAddress)
	}
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
		if r.playsStarts() {
			checks.Go(func() { r.probeRoutes(r.loadCtx, h) })
		}
	}
	if r.playsStarts() {
		r.moveRoutesAtStart()
	}
	if missing := r.waitUntilServed(recoverWithin); missing != "" {
		return eris.Errorf("the hosts do not serve at the start: %s", missing)
	}
	return nil
}

// siteDomain returns the failure domain of the nth host.
func siteDomain(n, domains int) string { return string(rune('a' + n%max(domains, 1))) }

func (r *run) close() {
	for _, h := range r.hosts {
		h.close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, proxy := range r.proxies {
		proxy.Close()
	}
}

// injectFaults draws the faults of the seed, injects each at its time and waits until all
// have ended.
func (r *run) injectFaults(ctx context.Context) {
	drawn := newFaultSource(r.options.Seed, cmp.Or(r.options.FaultList, CurrentFaults), r.options.Only)
	var injecting sync.WaitGroup
	start := time.Now()
	for at := time.Duration(0); at < r.options.FaultDuration; at += time.Duration(drawn.random.ExpFloat64() * float64(r.options.MeanInterval)) {
		kind, length := drawn.next()
		inject := kind.plan(r, drawn.random, length)
		injecting.Go(func() {
			sleep(ctx, time.Until(start.Add(at)))
			r.options.Print(fmt.Sprintf("%6.2f s  %s (%v)", time.Since(r.began).Seconds(), kind.name, length.Round(time.Millisecond)))
			if !kind.harmless {
				r.addActiveFaults(1)
				defer r.addActiveFaults(-1)
			}
			inject(ctx)
		})
		r.faultCount++
	}
	injecting.Wait()
}

// addActiveFaults changes the number of active faults and records when at least one was active.
func (r *run) addActiveFaults(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.activeFaults == 0 {
		r.activeSince = now
	}
	r.activeFaults += change
	if r.activeFaults == 0 {
		r.faultWindows = append(r.faultWindows, window{from: r.activeSince, to: now})
	}
}

// noFaultBetween reports whether no fault was active in an interval and in the time calm
// before it.
func (r *run) noFaultBetween(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	from = from.Add(-quietPeriod)
	if r.activeFaults > 0 && r.activeSince.Before(to) {
		return false
	}
	return !anyOverlaps(r.faultWindows, from, to)
}

// restart starts a host's process again if it has ended, as the platform would.
func (r *run) restart(h *host) { r.recordError(h.start()) }

// recordError records an error of the run itself.
func (r *run) recordError(err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		r.addViolation("the run itself failed: " + err.Error())
	}
}

func (r *run) addViolation(violation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%.2f s: %s", time.Since(r.began).Seconds(), violation))
}

// checkKeyHolders fails the run if two servers hold a key at the same time.
func (r *run) checkKeyHolders(ctx context.Context) {
	const interval, maxReported = 20 * time.Millisecond, 5
	for found := 0; ctx.Err() == nil && found < maxReported; sleep(ctx, interval) {
		if key, held := r.site.KeyWithTwoHolders(); held {
			r.addViolation(fmt.Sprintf("key %d is held by two servers", key))
			found++
		}
	}
}

// checkVersions requests the newest version's route from each host once the version must
// be in force. It skips versions for which a fault was active.
func (r *run) checkVersions(ctx context.Context) {
	client := &http.Client{Timeout: 2 * time.Second}
	for checked := 0; ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
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
			status := sendRequest(client, h, platformtest.VersionPath(newest.number), 0)
			if status == http.StatusNotFound && h.uptime() > quietPeriod && r.noFaultBetween(newest.at, time.Now()) {
				r.addViolation(fmt.Sprintf("%s does not know version %d, %v after it was acknowledged", h.name, newest.number, time.Since(newest.at)))
			}
		}
	}
}

// maxResidentMB is the memory that a host may use, twice what its settings allow by default: the
// kernel counts shared libraries and stacks too.
const maxResidentMB = 256

// checkMemory fails the run if a host uses more memory than it may.
func (r *run) checkMemory(ctx context.Context) {
	reported := map[*host]bool{}
	for ; ctx.Err() == nil; sleep(ctx, 200*time.Millisecond) {
		for _, h := range r.hosts {
			if peak := h.peakResidentMB(); peak > maxResidentMB && !reported[h] {
				reported[h] = true
				r.addViolation(fmt.Sprintf("%s has used %d MB of memory, %d are allowed", h.name, peak, maxResidentMB))
			}
		}
	}
}

// sendRequest sends one request with a key. It returns the status, or 0 if there was no response.
func sendRequest(client *http.Client, h *host, path string, key int) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+h.callersAddress+path, nil)
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

// checkRecovery fails the run unless all hosts serve again within recoverWithin.
func (r *run) checkRecovery() {
	if missing := r.waitUntilServed(recoverWithin); missing != "" {
		r.addViolation(fmt.Sprintf("not served %v after the last fault: %s", recoverWithin, missing))
	}
}

// waitUntilServed waits until every host is ready and serves a sample of the keys. It returns "",
// or what is still missing when the time has passed.
func (r *run) waitUntilServed(within time.Duration) string {
	client := &http.Client{Timeout: 2 * time.Second}
	missing := "nothing was asked"
	for end := time.Now().Add(within); missing != "" && time.Now().Before(end) && r.servingCtx.Err() == nil; sleep(r.servingCtx, 100*time.Millisecond) {
		missing = ""
		for _, h := range r.hosts {
			if !h.isReady(client) {
				missing = h.name + " is not ready"
				continue
			}
			for key := 0; key <= 65535 && missing == ""; key += 4369 {
				if status := sendRequest(client, h, "/unit/x", key); status != http.StatusOK {
					missing = fmt.Sprintf("%s answers %d for key %d", h.name, status, key)
				}
			}
		}
	}
	return missing
}

// checkGuarantees checks the guarantees against the responses that callers got and the
// requests that servers ran.
func (r *run) checkGuarantees() Result {
	runs := r.site.RunsByID()
	report := r.load.Check(runs)
	violations := append(r.violations, report.Violations...)
	for _, h := range r.hosts {
		violations = append(append(violations, h.unexpectedExits...), h.overdueStopViolations()...)
	}
	violations = append(violations, r.site.Overlaps()...)
	violations = append(violations, r.plannedStopViolations(runs)...)
	violations = append(violations, r.leavingViolations()...)
	violations = append(violations, r.acknowledgedLeavingViolations()...)
	violations = append(violations, r.evacuationViolations()...)
	violations = append(violations, r.site.ColdOverruns()...)
	violations = append(violations, r.versionViolations()...)
	violations = append(violations, r.limitViolations()...)
	violations = append(violations, r.leavingNoticeViolations()...)
	violations = append(violations, r.backoffViolations()...)
	late, ended := r.deadlyCopyViolations()
	return Result{Seed: r.options.Seed, Faults: r.faultCount, Requests: report.Sent, Statuses: report.Statuses, TerminatedServers: ended, Lateness: r.lateness(), Violations: append(violations, late...)}
}

// limitViolations returns a violation for each server that received more requests than the
// limit it announced allows, while no host was stopped, killed or paused.
func (r *run) limitViolations() []string {
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

// leavingNoticeViolations returns a violation for each server that received requests from a host
// after responses through that host had announced that the server is leaving. Only a stop,
// kill or pause of the host excuses such a request.
func (r *run) leavingNoticeViolations() []string {
	var violations []string
	for _, server := range r.site.Servers() {
		for _, late := range server.LateArrivals(leaveWithin) {
			if h := r.hostAt(late.Host); h == nil || h.disturbedBetween(late.NotifiedAt, late.At) {
				continue
			}
			violations = append(violations, fmt.Sprintf("request %s, sent %v after an answer of %s had said that it leaves, reached it by way of the same host",
				late.ID, late.Sent.Sub(late.NotifiedAt), server.ID))
			break
		}
	}
	return violations
}

// backoffViolations returns a violation for each server that received requests from a host
// that it had asked to back off.
func (r *run) backoffViolations() []string {
	var violations []string
	for _, server := range r.site.Servers() {
		for _, use := range server.BackoffUses() {
			if h := r.hostAt(use.Host); !use.Exceeded() || h == nil || h.disturbedBetween(use.At, use.At.Add(use.Duration)) {
				continue
			}
			violations = append(violations, fmt.Sprintf("%s asked %s for %v of rest and got %d requests from it, the last of them %s", server.ID, use.Host, use.Duration, use.Received, use.LastID))
			break
		}
	}
	return violations
}

// hostAt returns the host that listens for callers at an address, or nil.
func (r *run) hostAt(address string) *host {
	for _, h := range r.hosts {
		if h.callersAddress == address {
			return h
		}
	}
	return nil
}

// undisturbed reports whether no host was stopped, killed or paused in an interval or in
// the time calm before it.
func (r *run) undisturbed(from, to time.Time) bool {
	for _, h := range r.hosts {
		if h.disturbedBetween(from.Add(-quietPeriod), to) {
			return false
		}
	}
	return true
}

// deadlyCopyViolations returns a violation for each deadly request of which too many copies reached
// servers when all hosts had to know it, and the total number of terminated servers.
func (r *run) deadlyCopyViolations() (violations []string, ended int) {
	for _, deadly := range r.site.DeadlyRequests() {
		ended += deadly.Terminations()
		late, tooMany := deadly.LateCopiesWhere(deadlyWithin+margin, func(at time.Time) bool { return r.noFaultBetween(at, at) })
		if tooMany {
			violations = append(violations, fmt.Sprintf("%d copies of %s reached servers later than %v after it had ended three; %d ended in all", late, deadly.PathPrefix, deadlyWithin, deadly.Terminations()))
		}
	}
	return violations, ended
}

// plannedStopViolations returns a violation for each request that ran but got no response
// during a planned stop of its host, unless the host was paused or killed meanwhile, or the server
// broke the response off.
func (r *run) plannedStopViolations(runs map[string]int) []string {
	var violations []string
	brokenOff := r.site.BrokenOffByID()
	for _, request := range r.load.Unanswered() {
		if brokenOff[request.ID] {
			continue
		}
		for _, h := range r.hosts {
			if h.callersAddress != request.Host || runs[request.ID] == 0 {
				continue
			}
			if anyOverlaps(h.plannedStops, request.Sent, request.At) && !anyOverlaps(h.disturbances, request.Sent, request.At) {
				violations = append(violations, fmt.Sprintf("request %s ran and got no answer from %s, which was stopped as planned", request.ID, h.name))
			}
		}
	}
	return violations
}

// leavingViolations returns a violation for each server that received a request later than
// allowed after it had announced that it is leaving.
func (r *run) leavingViolations() []string {
	var violations []string
	for _, server := range r.site.Servers() {
		left := r.site.LeavingSince(server)
		if left.IsZero() {
			continue
		}
		due := left.Add(leaveWithin + margin)
		for _, run := range server.Runs() {
			if run.At.After(due) && !strings.HasPrefix(run.RequestID, "ask-") && r.noFaultBetween(left, run.At) {
				violations = append(violations, fmt.Sprintf("request %s reached %s %v after it said that it leaves", run.RequestID, server.ID, run.At.Sub(left)))
				break
			}
		}
	}
	return violations
}

// acknowledgedLeavingViolations returns a violation for each server that received a request which its
// caller sent later than leaveWithin after the store had acknowledged that the server is leaving, by way
// of a host that the time bounds applied to. No margin is added. The acknowledgement counts if the store
// had had no fault for quietPeriod.
func (r *run) acknowledgedLeavingViolations() []string {
	var violations []string
	for _, server := range r.site.Servers() {
		left := r.site.LeavingSince(server)
		if left.IsZero() || !r.storeWasStable(left) {
			continue
		}
		for _, late := range server.ArrivalsSentAfter(left.Add(leaveWithin)) {
			if h := r.hostAt(late.Host); h != nil && r.inTouch(h, late.Sent, late.At) {
				violations = append(violations, fmt.Sprintf("request %s reached %s, sent %v after the store had acknowledged that it leaves", late.ID, server.ID, late.Sent.Sub(left)))
				break
			}
		}
	}
	return violations
}

// storeWasStable reports whether the store had had no fault for quietPeriod at a time.
func (r *run) storeWasStable(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !anyOverlaps(r.storeFaults, at.Add(-quietPeriod), at)
}

// evacuationViolations returns a violation for each server of an evacuated failure domain that
// received a request later than allowed.
func (r *run) evacuationViolations() []string {
	var violations []string
	for _, evacuation := range r.site.Evacuations() {
		due := evacuation.From.Add(evacuateWithin + margin)
		for _, server := range r.site.Servers() {
			if server.Domain != evacuation.Domain {
				continue
			}
			for _, run := range server.Runs() {
				over := !evacuation.Until.IsZero() && run.At.After(evacuation.Until)
				if run.At.After(due) && !over && r.noFaultBetween(evacuation.From, run.At) {
					violations = append(violations, fmt.Sprintf("request %s reached %s %v after its domain %s was evacuated",
						run.RequestID, server.ID, run.At.Sub(evacuation.From), evacuation.Domain))
					break
				}
			}
		}
	}
	return violations
}
