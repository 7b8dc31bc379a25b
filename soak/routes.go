package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"cicadarouter/platform/platformtest"
)

// probedVersions is how many of the newest versions the probes request routes of. A host that has an
// outdated version still serves the route of that one.
const probedVersions = 8

// probeKinds is the number of kinds of probes, which take turns: of the route that moves, of the newest
// version's route, and of that of any of the newest versions.
const probeKinds = 3

// probeInterval is the interval at which each host is probed for the configuration in force there.
const probeInterval = 25 * time.Millisecond

// version is a version of the configuration: when the operator sent it, and when the store had
// acknowledged it.
type version struct {
	number   int
	sent, at time.Time
	// turnService is the service to which it sends the requests of platformtest.TurnPath.
	turnService string
}

// probe is a request that shows which version of the configuration a host handled it by.
type probe struct {
	host     *host
	id, path string
	// version is the version whose own route was requested; 0 for the route that moves.
	version        int
	sent, answered time.Time
	status         int
}

// changeVersion writes a version of the configuration and records it.
func (r *run) changeVersion(ctx context.Context, write func(context.Context) (int, error)) {
	sent := time.Now()
	number, err := write(ctx)
	r.recordError(err)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, version{number: number, sent: sent, at: time.Now(), turnService: r.site.TurnService(number)})
}

// knownVersions returns the versions so far by their numbers.
func (r *run) knownVersions() []version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(slices.Values(r.versions), func(a, b version) int { return a.number - b.number })
}

// probeRoutes probes a host until the context ends, over a connection that it keeps.
func (r *run) probeRoutes(ctx context.Context, h *host) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := int64(0); ctx.Err() == nil; n++ {
		p := probe{host: h, path: platformtest.TurnPath + "x"}
		if versions := r.knownVersions(); n%probeKinds > 0 && len(versions) > 0 {
			age := 0 // a host with any earlier version does not know the newest route
			if n%probeKinds > 1 {
				age = rand.IntN(min(len(versions), probedVersions))
			}
			p.version = versions[len(versions)-1-age].number
			p.path = platformtest.VersionPath(p.version) + "x"
		}
		p.send(client, n)
		r.mu.Lock()
		r.probes = append(r.probes, p)
		r.mu.Unlock()
		sleep(ctx, probeInterval)
	}
}

// send sends the probe. The status is 0 if there was no complete response.
func (p *probe) send(client *http.Client, n int64) {
	p.sent = time.Now()
	p.id = platformtest.RequestID(p.host.callersAddress, p.sent, -1-n) // callers of the load use numbers from 0 on
	request, err := http.NewRequest(http.MethodGet, "http://"+p.host.callersAddress+p.path, nil)
	if err != nil {
		panic("invalid address of a host: " + err.Error())
	}
	request.Host = platformtest.SiteHost
	request.Header.Set("X-Request-Id", p.id)
	request.Header.Set("X-Deadline-Ms", "1000")
	request.Header.Set("X-Shard-Key", fmt.Sprint(rand.IntN(65536)))
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	p.answered = time.Now()
	if err == nil {
		p.status = response.StatusCode
	}
}

// versionViolations returns a violation for each host that handled requests in a way that only an
// outdated version of the configuration allows: one that another version had replaced more than
// configureWithin before the request was sent. No margin is added.
func (r *run) versionViolations() []string {
	const maxReported = 3
	services := r.servicesByRequest()
	versions := r.knownVersions()
	found := map[*host]int{}
	var violations []string
	for _, p := range r.probes {
		broken := p.violation(versions, services[p.id])
		if broken == "" || !r.inTouch(p.host, p.sent, p.answered) {
			continue
		}
		if found[p.host]++; found[p.host] <= maxReported {
			violations = append(violations, fmt.Sprintf("%s (%s, up for %.2f s): request %s for %s, sent %.2f s after the start, %s",
				p.host.name, p.host.callersAddress, p.sent.Sub(p.host.startedBefore(p.sent)).Seconds(), p.id, p.path, p.sent.Sub(r.began).Seconds(), broken))
		}
	}
	for h, count := range found {
		if count > maxReported {
			violations = append(violations, fmt.Sprintf("%s: %d more requests handled by an outdated configuration", h.name, count-maxReported))
		}
	}
	return violations
}

// servicesByRequest returns the services whose servers ran a probe, by its ID.
func (r *run) servicesByRequest() map[string][]string {
	services := map[string][]string{}
	for _, server := range r.site.Servers() {
		for _, run := range server.Runs() {
			if strings.Contains(run.RequestID, "/-") {
				services[run.RequestID] = append(services[run.RequestID], server.Service)
			}
		}
	}
	return services
}

// violation describes how the probe was handled by a version that was outdated when it was sent.
// It returns "" if a version that may have been in force allows what happened.
func (p *probe) violation(versions []version, ranBy []string) string {
	due := p.sent.Add(-configureWithin)
	newest := -1 // that had to be in force
	for i := range versions {
		if !versions[i].at.After(due) {
			newest = i
		}
	}
	if newest < 0 {
		return ""
	}
	return p.outdated(versions[newest:], ranBy)
}

// outdated describes how the probe was handled by a version older than all of the given ones, of which
// the first had to be in force. It returns "" if one of them allows what happened.
func (p *probe) outdated(versions []version, ranBy []string) string {
	newest := versions[0]
	allowed := slices.DeleteFunc(slices.Clone(versions), func(v version) bool { return !v.sent.Before(p.answered) })
	late := fmt.Sprintf("although version %d was acknowledged %.3f s before", newest.number, p.sent.Sub(newest.at).Seconds())
	for _, service := range ranBy {
		if p.version == 0 && !slices.ContainsFunc(allowed, func(v version) bool { return v.turnService == service }) {
			return fmt.Sprintf("was run by the service %s %s", service, late)
		}
		if p.version > 0 && !slices.ContainsFunc(allowed, func(v version) bool { return v.number == p.version }) {
			return fmt.Sprintf("was run %s, which has no such route", late)
		}
	}
	if p.status == http.StatusNotFound && len(allowed) == 1 && (p.version == 0 || p.version == newest.number) {
		return "was answered 404 " + late
	}
	return ""
}

// inTouch reports whether the time bounds applied to a host from a time until another: it had been
// started quietPeriod before, and since then nothing had been done to its process, to its link to
// the store or to the store. Faults of other hosts are no excuse.
func (r *run) inTouch(h *host, from, to time.Time) bool {
	from = from.Add(-quietPeriod)
	undisturbed := h.undisturbed(from, to)
	r.mu.Lock()
	defer r.mu.Unlock()
	return undisturbed && !anyOverlaps(r.storeFaults, from, to)
}

// undisturbed reports whether the host was not started in an interval and nothing was done to its
// process or to its link to the store.
func (h *host) undisturbed(from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	started := slices.ContainsFunc(h.starts, func(start time.Time) bool { return start.After(from) && start.Before(to) })
	return !started && !anyOverlaps(h.plannedStops, from, to) && !anyOverlaps(h.disturbances, from, to) &&
		!anyOverlaps(h.overdueStops, from, to) && !anyOverlaps(h.linkFaults, from, to)
}
