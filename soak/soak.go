// Package soak runs the real daemon as separate processes on one machine, with
// stand-ins of the hosted platform and of backend servers, injects faults from
// outside them by a seeded series, and checks the promises from what callers and
// servers see.
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

// Options are what a run is made of.
type Options struct {
	// Program is the built cicada-gateway.
	Program string
	// Dir takes the hosts' settings and logs.
	Dir  string
	Seed uint64
	// Series is the version of the list of faults; 0 for the current one.
	Series Series
	// Only, if set, leaves the faults whose names contain it.
	Only string
	// Hosts are processes; Servers are stand-ins for each of two services.
	Hosts, Servers, Callers int
	// Length is for how long faults begin.
	Length time.Duration
	// Every is the mean time between two faults.
	Every time.Duration
	// Print takes a line for each fault.
	Print func(line string)
}

// Result is what a run found.
type Result struct {
	Seed     uint64
	Faults   int
	Requests int
	Statuses map[int]int
	// EndedServers is how many servers ended under deadly requests.
	EndedServers int
	// Broken lists the promises that were broken.
	Broken []string
}

// Bounds of promises with a time, of the users' rules with a margin for a
// machine that is busy.
const (
	configureWithin = 2 * time.Second
	leaveWithin     = 2 * time.Second
	evacuateWithin  = 5 * time.Second
	deadlyWithin    = 3 * time.Second
	margin          = time.Second
	// calm is how long nothing must have been wrong before a bound in time holds.
	calm = 3 * time.Second
	// recoverWithin is how long after the last fault all must be served.
	recoverWithin = 20 * time.Second
)

// run is one run.
type run struct {
	options Options
	site    *platformtest.Site
	serving context.Context
	first   []*Proxy // to the servers that are there from the start
	hosts   []*host
	load    *platformtest.Load
	loading context.Context
	began   time.Time
	// deadlyCallers send copies of deadly requests.
	deadlyCallers sync.WaitGroup

	mu       sync.Mutex
	fronts   []*Proxy // to all servers
	broken   []string
	troubles []window // while any fault was on
	on       int
	onSince  time.Time
	versions []version
	faults   int
}

// version is a configuration that was put in force at a time.
type version struct {
	number int
	at     time.Time
}

// Run plays one seed. An error says that the run itself failed.
func Run(ctx context.Context, options Options) (Result, error) {
	serving, end := context.WithCancel(ctx)
	defer end()
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
	// What was planned last is judged too: its time has to be over under load.
	pause(ctx, leaveWithin+2*margin)
	if len(r.site.DeadlyRequests()) > 0 {
		pause(ctx, calm+margin) // copies are judged while nothing is wrong
	}
	endLoad()
	checks.Wait()
	r.deadlyCallers.Wait()
	return r.judge(), ctx.Err()
}

// start starts the site and the hosts, and waits until they serve.
func (r *run) start() error {
	// Each run has a network of its own on loopback, so that runs at the same time
	// don't meet.
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

// makeFaults draws the whole series first, and then plays it.
func (r *run) makeFaults(ctx context.Context) {
	drawn := newSeries(r.options.Seed, cmp.Or(r.options.Series, CurrentSeries), r.options.Only)
	var playing sync.WaitGroup
	start := time.Now()
	for at := time.Duration(0); at < r.options.Length; at += time.Duration(drawn.random.ExpFloat64() * float64(r.options.Every)) {
		kind, length := drawn.next()
		do := kind.plan(r, drawn.random, length)
		playing.Go(func() {
			pause(ctx, time.Until(start.Add(at)))
			r.options.Print(fmt.Sprintf("%6.2f s  %s (%v)", time.Since(r.began).Seconds(), kind.name, length.Round(time.Millisecond)))
			if !kind.harmless {
				r.trouble(1)
				defer r.trouble(-1)
			}
			do(ctx)
		})
		r.faults++
	}
	playing.Wait()
}

// trouble counts the faults that are on.
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

// calmBetween reports whether nothing was wrong in a span and shortly before it.
func (r *run) calmBetween(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	from = from.Add(-calm)
	if r.on > 0 && r.onSince.Before(to) {
		return false
	}
	return !anyOverlaps(r.troubles, from, to)
}

// restart starts a host that has been ended, as the platform does.
func (r *run) restart(h *host) { r.fail(h.start()) }

// fail notes an error of the run itself.
func (r *run) fail(err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		r.breaks("the run itself failed: " + err.Error())
	}
}

func (r *run) breaks(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf("%.2f s: %s", time.Since(r.began).Seconds(), what))
}

// watchKeys fails the run if two servers hold a key at the same time.
func (r *run) watchKeys(ctx context.Context) {
	const every, most = 20 * time.Millisecond, 5
	for found := 0; ctx.Err() == nil && found < most; pause(ctx, every) {
		if key, held := r.site.KeyWithTwoHolders(); held {
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

// watchVersions asks each host for the route of the newest version once it must
// be in force. While anything is wrong nothing is owed.
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

// ask sends one request with a key, and returns the status, or 0.
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

// recovered fails the run unless all is served again in time.
func (r *run) recovered() {
	if missing := r.unserved(recoverWithin); missing != "" {
		r.breaks(fmt.Sprintf("not served %v after the last fault: %s", recoverWithin, missing))
	}
}

// unserved waits until every host is ready and serves a sample of all keys, and
// returns what is missing after a time.
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

// judge compares what callers were told with what servers ran.
func (r *run) judge() Result {
	runs := r.site.RunsByID()
	report := r.load.Check(runs)
	broken := append(r.broken, report.Violations...)
	for _, h := range r.hosts {
		broken = append(append(broken, h.ownEnds...), h.stuck()...)
	}
	broken = append(broken, r.site.Overlaps()...)
	broken = append(broken, r.cutByPlannedStops(runs)...)
	broken = append(broken, r.lateToLeaving()...)
	broken = append(broken, r.lateToEvacuated()...)
	broken = append(broken, r.site.ColdOverruns()...)
	broken = append(broken, r.limitsExceeded()...)
	broken = append(broken, r.lateToToldLeaving()...)
	broken = append(broken, r.restsDisturbed()...)
	late, ended := r.lateCopies()
	return Result{Seed: r.options.Seed, Faults: r.faults, Requests: report.Sent, Statuses: report.Statuses, EndedServers: ended, Broken: append(broken, late...)}
}

// limitsExceeded returns servers that got more than the limits that they named, while no
// host was stopped, killed or paused.
func (r *run) limitsExceeded() []string {
	var broken []string
	for _, server := range r.site.Servers() {
		for _, use := range server.LimitUses(r.undisturbed) {
			if use.Exceeded() {
				broken = append(broken, fmt.Sprintf("%s got %v, %.2f s after the start", server.ID, use, use.At.Sub(r.began).Seconds()))
			}
		}
	}
	return broken
}

// lateToToldLeaving returns servers that got requests from hosts whose callers had been told
// that the server leaves. Nothing but an end or a pause of the host excuses them.
func (r *run) lateToToldLeaving() []string {
	var broken []string
	for _, server := range r.site.Servers() {
		for _, late := range server.LateArrivals(leaveWithin) {
			if h := r.hostAt(late.Host); h == nil || h.disturbedBetween(late.NotifiedAt, late.At) {
				continue
			}
			broken = append(broken, fmt.Sprintf("request %s, sent %v after an answer of %s had said that it leaves, reached it by way of the same host",
				late.ID, late.Sent.Sub(late.NotifiedAt), server.ID))
			break
		}
	}
	return broken
}

// restsDisturbed returns servers that got requests from a host that they had asked for rest.
func (r *run) restsDisturbed() []string {
	var broken []string
	for _, server := range r.site.Servers() {
		for _, use := range server.BackoffUses() {
			if h := r.hostAt(use.Host); !use.Exceeded() || h == nil || h.disturbedBetween(use.At, use.At.Add(use.Duration)) {
				continue
			}
			broken = append(broken, fmt.Sprintf("%s asked %s for %v of rest and got %d requests from it, the last of them %s", server.ID, use.Host, use.Duration, use.Received, use.LastID))
			break
		}
	}
	return broken
}

// hostAt returns the host that takes callers at an address, or nil.
func (r *run) hostAt(callers string) *host {
	for _, h := range r.hosts {
		if h.callers == callers {
			return h
		}
	}
	return nil
}

// undisturbed reports whether all hosts ran through a span and shortly before it.
func (r *run) undisturbed(from, to time.Time) bool {
	for _, h := range r.hosts {
		if h.disturbedBetween(from.Add(-calm), to) {
			return false
		}
	}
	return true
}

// lateCopies returns the deadly requests of which too many copies reached servers when
// all hosts had to know them, and how many servers ended in all.
func (r *run) lateCopies() (broken []string, ended int) {
	for _, deadly := range r.site.DeadlyRequests() {
		ended += deadly.Terminations()
		late, tooMany := deadly.LateCopiesWhere(deadlyWithin+margin, func(at time.Time) bool { return r.calmBetween(at, at) })
		if tooMany {
			broken = append(broken, fmt.Sprintf("%d copies of %s reached servers later than %v after it had ended three; %d ended in all", late, deadly.PathPrefix, deadlyWithin, deadly.Terminations()))
		}
	}
	return broken, ended
}

// cutByPlannedStops returns requests that ran and got no answer around a planned
// stop of their host, which was neither paused nor killed then.
func (r *run) cutByPlannedStops(runs map[string]int) []string {
	var broken []string
	for _, request := range r.load.Unanswered() {
		for _, h := range r.hosts {
			if h.callers != request.Host || runs[request.ID] == 0 {
				continue
			}
			if anyOverlaps(h.planned, request.Sent, request.At) && !anyOverlaps(h.disturbs, request.Sent, request.At) {
				broken = append(broken, fmt.Sprintf("request %s ran and got no answer from %s, which was stopped as planned", request.ID, h.name))
			}
		}
	}
	return broken
}

// lateToLeaving returns requests that reached a server later than allowed after
// it had said that it leaves.
func (r *run) lateToLeaving() []string {
	var broken []string
	for _, server := range r.site.Servers() {
		left := r.site.LeavingSince(server)
		if left.IsZero() {
			continue
		}
		due := left.Add(leaveWithin + margin)
		for _, run := range server.Runs() {
			if run.At.After(due) && !strings.HasPrefix(run.RequestID, "ask-") && r.calmBetween(left, run.At) {
				broken = append(broken, fmt.Sprintf("request %s reached %s %v after it said that it leaves", run.RequestID, server.ID, run.At.Sub(left)))
				break
			}
		}
	}
	return broken
}

// lateToEvacuated returns requests that reached a server of an evacuated domain later
// than allowed.
func (r *run) lateToEvacuated() []string {
	var broken []string
	for _, evacuation := range r.site.Evacuations() {
		due := evacuation.From.Add(evacuateWithin + margin)
		for _, server := range r.site.Servers() {
			if server.Domain != evacuation.Domain {
				continue
			}
			for _, run := range server.Runs() {
				over := !evacuation.Until.IsZero() && run.At.After(evacuation.Until)
				if run.At.After(due) && !over && r.calmBetween(evacuation.From, run.At) {
					broken = append(broken, fmt.Sprintf("request %s reached %s %v after its domain %s was evacuated",
						run.RequestID, server.ID, run.At.Sub(evacuation.From), evacuation.Domain))
					break
				}
			}
		}
	}
	return broken
}
