package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
	"cicadarouter/ratelimit"
)

// limitSharing is how hosts share a limit.
type limitSharing int

const (
	// byPermits: one scheduler issues permits to all hosts on demand.
	byPermits limitSharing = iota
	// equalParts: each host schedules an equal part of the limit by itself.
	equalParts
	// fullLimitEach: each host schedules the whole limit by itself.
	fullLimitEach
	// schedulerUnreachable: the scheduler never answers.
	schedulerUnreachable
)

const (
	// notificationDelay is the delay until a limit that one host learned is known to all hosts.
	notificationDelay = 250 * ms
	// permitRoundTrip is the round-trip time of a permit request.
	permitRoundTrip = 4 * ms
)

// limitUse is what a limited server got, from 3 s after it first announced its limit.
type limitUse struct {
	perSecond float64
	// maxInWindow is the most requests in any 4 s; mean is the rate per second.
	maxInWindow int
	mean        float64
}

// allowed returns the most requests that the requirement allows in 4 s.
func (u limitUse) allowed() float64 { return 1.5*4*u.perSecond + 5 }

func (u limitUse) String() string {
	return fmt.Sprintf("%d in 4 s, %.1f per second", u.maxInWindow, u.mean)
}

// limitModel simulates servers that announce limits in the middle third of a run.
type limitModel struct {
	w         *simulation
	from, to  time.Duration
	known     []map[fleet.Incarnation]float64 // limits known to each host
	schedules map[string]*ratelimit.Schedule
	arrivals  map[string][]time.Duration
}

func newLimitModel(w *simulation) *limitModel {
	l := &limitModel{w: w, from: w.length / 3, to: 2 * w.length / 3, schedules: map[string]*ratelimit.Schedule{}, arrivals: map[string][]time.Duration{}}
	for range w.hosts {
		l.known = append(l.known, map[fleet.Incarnation]float64{})
	}
	return l
}

// announced returns the limit that a server announces at a time, or 0.
func (l *limitModel) announced(now time.Duration, s *modelServer) float64 {
	if now < l.from || now >= l.to || slices.Index(l.w.servers, s) >= l.w.limitedServers {
		return 0
	}
	return l.w.limit
}

// recordArrival records a request that reaches a server.
func (l *limitModel) recordArrival(now time.Duration, s *modelServer) {
	if l != nil && l.announced(now, s) > 0 {
		l.arrivals[s.ID] = append(l.arrivals[s.ID], now)
	}
}

// recordAnswer tells one host, and after a delay all others, which limit the server announces.
func (l *limitModel) recordAnswer(now time.Duration, r *modelRequest) {
	if l == nil {
		return
	}
	server, named := r.server.Incarnation(), l.announced(now, r.server)
	if l.known[r.host][server] == named {
		return
	}
	l.tell(now, r.host, server, named)
	l.w.at(now+notificationDelay, func(now time.Duration) {
		for host := range l.known {
			l.tell(now, host, server, named)
		}
		l.w.applyDecisions(now)
	})
}

func (l *limitModel) tell(now time.Duration, host int, server fleet.Incarnation, named float64) {
	known := map[fleet.Incarnation]float64{}
	for each, limit := range l.known[host] {
		known[each] = limit
	}
	known[server] = named
	if named == 0 {
		delete(known, server)
	}
	l.known[host] = known
	l.w.pools[host].SetLimits(now, known, l.w.hosts)
}

// reservePermits passes the reservation requests of all hosts to the scheduler and back.
func (l *limitModel) reservePermits(now time.Duration) {
	if l == nil {
		return
	}
	for host, p := range l.w.pools {
		for _, request := range p.ReservationRequests(now) {
			l.w.at(now+permitRoundTrip/2, func(at time.Duration) {
				got := l.reserve(at, host, request)
				got.RequestedAt = now
				l.w.at(now+permitRoundTrip, func(now time.Duration) {
					p.ApplyReservation(now, request.Server, got)
					l.w.applyDecisions(now)
				})
			})
		}
	}
}

// reserve returns the scheduler's answer.
func (l *limitModel) reserve(now time.Duration, host int, request ReservationRequest) Reservation {
	if l.w.sharing == schedulerUnreachable {
		return Reservation{}
	}
	name, perSecond := request.Server.ID, l.w.limit
	if l.w.sharing != byPermits {
		name = fmt.Sprintf("%s of %d", name, host)
	}
	if l.w.sharing == equalParts {
		perSecond /= float64(l.w.hosts)
	}
	if l.schedules[name] == nil {
		l.schedules[name] = &ratelimit.Schedule{}
	}
	got := Reservation{Reached: true}
	for range request.Permits {
		wait, ok := l.schedules[name].Reserve(now, perSecond, request.Within)
		if !ok {
			got.RefusedWait = max(wait, 1)
			break
		}
		got.Waits = append(got.Waits, wait)
	}
	return got
}

// uses returns what the limited servers got.
func (l *limitModel) uses() []limitUse {
	var uses []limitUse
	for _, s := range l.w.servers[:l.w.limitedServers] {
		use := limitUse{perSecond: l.w.limit}
		from := l.from + 3*time.Second
		times := slices.DeleteFunc(l.arrivals[s.ID], func(at time.Duration) bool { return at < from })
		for first, last := 0, 0; last < len(times); last++ {
			for times[last]-times[first] >= 4*time.Second {
				first++
			}
			use.maxInWindow = max(use.maxInWindow, last-first+1)
		}
		use.mean = float64(len(times)) / (l.to - from).Seconds()
		uses = append(uses, use)
	}
	return uses
}

// limitedWorkload is a service of nine servers behind eight hosts, with two classes of requests at
// half of its capacity. The first servers announce a limit in the middle third.
func limitedWorkload(limited int, by limitSharing, seed uint64) workload {
	return workload{hosts: 8, servers: 9, slots: 2, perSecond: 65, burst: 1, length: 45 * time.Second, seed: seed, retries: true, limitedServers: limited, limit: 2.3, sharing: by,
		classes: []modelClass{
			{fraction: 0.42, mean: 36 * ms, objective: 150 * ms, timeout: 400 * ms, priority: 1, value: 2},
			{fraction: 0.58, mean: 220 * ms, objective: 600 * ms, timeout: 1500 * ms, priority: 2, value: 1},
		}}
}

// Guards against a limit that each host keeps by itself, so that all hosts together exceed it.
func TestSimulateLimitedServers(t *testing.T) {
	for _, limited := range []int{2, 9} {
		for seed := uint64(1); seed <= 3; seed++ {
			got, fallback := simulate(limitedWorkload(limited, byPermits, seed), thisPackage), simulate(limitedWorkload(limited, schedulerUnreachable, seed), thisPackage)
			each, equal := simulate(limitedWorkload(limited, fullLimitEach, seed), thisPackage), simulate(limitedWorkload(limited, equalParts, seed), thisPackage)
			t.Logf("%d limited, seed %d: permits on demand %v %v", limited, seed, got.limitUses, got)
			t.Logf("equal parts %v %v", equal.limitUses, equal)
			t.Logf("full limit at each host %v %v", each.limitUses, each)
			t.Logf("scheduler unreachable %v %v", fallback.limitUses, fallback)
			for _, use := range slices.Concat(got.limitUses, fallback.limitUses) {
				assert.Assert(t, float64(use.maxInWindow) <= use.allowed(), "%v", use)
			}
			// If other servers have no limit, hosts hardly exceed the limits anyway.
			if limited == 9 {
				assert.Assert(t, slices.ContainsFunc(each.limitUses, func(use limitUse) bool { return float64(use.maxInWindow) > use.allowed() }))
			}
			assert.Assert(t, got.timedOut < got.total/50)
		}
	}
}

// Guards against permits that stay unused at hosts with few requests while other hosts reject
// callers. All servers are limited.
func TestSimulatePermitsAreUsed(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		l := limitedWorkload(9, byPermits, seed)
		l.hosts = 90
		got := simulate(l, thisPackage)
		l.sharing = equalParts
		equal := simulate(l, thisPackage)
		t.Logf("seed %d: permits on demand %v %v", seed, got.limitUses, got)
		t.Logf("equal parts %v %v", equal.limitUses, equal)
		used := 0.0
		for _, use := range got.limitUses {
			assert.Assert(t, float64(use.maxInWindow) <= use.allowed(), "%v", use)
			used += use.mean / float64(l.limitedServers)
		}
		assert.Assert(t, used > 0.9*l.limit, "%.2f per second of %v", used, l.limit)
		assert.Assert(t, got.valueFraction() > equal.valueFraction())
	}
}
