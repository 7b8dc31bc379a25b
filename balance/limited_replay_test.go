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

// division is how hosts share a limit.
type division int

const (
	// byPlaces: one scheduler issues permits to all hosts on demand.
	byPlaces division = iota
	// equalParts: each host schedules an equal part of the limit by itself.
	equalParts
	// eachAll: each host schedules the whole limit by itself.
	eachAll
	// outOfReach: the scheduler never answers.
	outOfReach
)

const (
	// newsAfter is the delay until a limit that one host learned is known to all hosts.
	newsAfter = 250 * ms
	// askTime is the round-trip time of a permit request.
	askTime = 4 * ms
)

// limitedUse is what a limited server got, from 3 s after it first announced its limit.
type limitedUse struct {
	perSecond float64
	// fullest is the most requests in any 4 s; mean is the rate per second.
	fullest int
	mean    float64
}

// allowed returns the most requests that the requirement allows in 4 s.
func (u limitedUse) allowed() float64 { return 1.5*4*u.perSecond + 5 }

func (u limitedUse) String() string {
	return fmt.Sprintf("%d in 4 s, %.1f per second", u.fullest, u.mean)
}

// modelLimits simulates servers that announce limits in the middle third of a run.
type modelLimits struct {
	w        *world
	from, to time.Duration
	known    []map[fleet.Incarnation]float64 // limits known to each host
	places   map[string]*ratelimit.Schedule
	got      map[string][]time.Duration
}

func newModelLimits(w *world) *modelLimits {
	l := &modelLimits{w: w, from: w.length / 3, to: 2 * w.length / 3, places: map[string]*ratelimit.Schedule{}, got: map[string][]time.Duration{}}
	for range w.hosts {
		l.known = append(l.known, map[fleet.Incarnation]float64{})
	}
	return l
}

// named returns the limit that a server announces at a time, or 0.
func (l *modelLimits) named(now time.Duration, s *modelServer) float64 {
	if now < l.from || now >= l.to || slices.Index(l.w.servers, s) >= l.w.limited {
		return 0
	}
	return l.w.limit
}

// sent records a request that reaches a server.
func (l *modelLimits) sent(now time.Duration, s *modelServer) {
	if l != nil && l.named(now, s) > 0 {
		l.got[s.ID] = append(l.got[s.ID], now)
	}
}

// answered tells one host, and after a delay all others, which limit the server announces.
func (l *modelLimits) answered(now time.Duration, r *modelRequest) {
	if l == nil {
		return
	}
	server, named := r.server.Incarnation(), l.named(now, r.server)
	if l.known[r.host][server] == named {
		return
	}
	l.tell(now, r.host, server, named)
	l.w.at(now+newsAfter, func(now time.Duration) {
		for host := range l.known {
			l.tell(now, host, server, named)
		}
		l.w.placed(now)
	})
}

func (l *modelLimits) tell(now time.Duration, host int, server fleet.Incarnation, named float64) {
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

// wish passes the reservation requests of all hosts to the scheduler and back.
func (l *modelLimits) wish(now time.Duration) {
	if l == nil {
		return
	}
	for host, p := range l.w.pools {
		for _, wish := range p.Wishes(now) {
			l.w.at(now+askTime/2, func(at time.Duration) {
				got := l.reserve(at, host, wish)
				got.Asked = now
				l.w.at(now+askTime, func(now time.Duration) {
					p.Reserved(now, wish.Server, got)
					l.w.placed(now)
				})
			})
		}
	}
}

// reserve returns the scheduler's answer.
func (l *modelLimits) reserve(now time.Duration, host int, wish Wish) Reservation {
	if l.w.division == outOfReach {
		return Reservation{}
	}
	name, perSecond := wish.Server.ID, l.w.limit
	if l.w.division != byPlaces {
		name = fmt.Sprintf("%s of %d", name, host)
	}
	if l.w.division == equalParts {
		perSecond /= float64(l.w.hosts)
	}
	if l.places[name] == nil {
		l.places[name] = &ratelimit.Schedule{}
	}
	got := Reservation{Reached: true}
	for range wish.Places {
		wait, ok := l.places[name].Reserve(now, perSecond, wish.Within)
		if !ok {
			got.Full = max(wait, 1)
			break
		}
		got.Waits = append(got.Waits, wait)
	}
	return got
}

// uses returns what the limited servers got.
func (l *modelLimits) uses() []limitedUse {
	var uses []limitedUse
	for _, s := range l.w.servers[:l.w.limited] {
		use := limitedUse{perSecond: l.w.limit}
		from := l.from + 3*time.Second
		times := slices.DeleteFunc(l.got[s.ID], func(at time.Duration) bool { return at < from })
		for first, last := 0, 0; last < len(times); last++ {
			for times[last]-times[first] >= 4*time.Second {
				first++
			}
			use.fullest = max(use.fullest, last-first+1)
		}
		use.mean = float64(len(times)) / (l.to - from).Seconds()
		uses = append(uses, use)
	}
	return uses
}

// limitedLoad is a service of nine servers behind eight hosts, with two classes of requests at
// half of its capacity. The first servers announce a limit in the middle third.
func limitedLoad(limited int, by division, seed uint64) load {
	return load{hosts: 8, servers: 9, slots: 2, perSecond: 65, burst: 1, length: 45 * time.Second, seed: seed, returns: true, limited: limited, limit: 2.3, division: by,
		kinds: []modelKind{
			{share: 0.42, mean: 36 * ms, objective: 150 * ms, patience: 400 * ms, priority: 1, worth: 2},
			{share: 0.58, mean: 220 * ms, objective: 600 * ms, patience: 1500 * ms, priority: 2, worth: 1},
		}}
}

// Guards against a limit that each host keeps by itself, so that all hosts together exceed it.
func TestReplayLimitedServers(t *testing.T) {
	for _, limited := range []int{2, 9} {
		for seed := uint64(1); seed <= 3; seed++ {
			got, fallback := replay(limitedLoad(limited, byPlaces, seed), ours), replay(limitedLoad(limited, outOfReach, seed), ours)
			each, equal := replay(limitedLoad(limited, eachAll, seed), ours), replay(limitedLoad(limited, equalParts, seed), ours)
			t.Logf("%d limited, seed %d: permits on demand %v %v", limited, seed, got.limited, got)
			t.Logf("equal parts %v %v", equal.limited, equal)
			t.Logf("full limit at each host %v %v", each.limited, each)
			t.Logf("scheduler unreachable %v %v", fallback.limited, fallback)
			for _, use := range slices.Concat(got.limited, fallback.limited) {
				assert.Assert(t, float64(use.fullest) <= use.allowed(), "%v", use)
			}
			// If other servers have no limit, hosts hardly exceed the limits anyway.
			if limited == 9 {
				assert.Assert(t, slices.ContainsFunc(each.limited, func(use limitedUse) bool { return float64(use.fullest) > use.allowed() }))
			}
			assert.Assert(t, got.lost < got.asked/50)
		}
	}
}

// Guards against permits that stay unused at hosts with few requests while other hosts reject
// callers. All servers are limited.
func TestReplayPlacesAreUsed(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		l := limitedLoad(9, byPlaces, seed)
		l.hosts = 90
		got := replay(l, ours)
		l.division = equalParts
		equal := replay(l, ours)
		t.Logf("seed %d: permits on demand %v %v", seed, got.limited, got)
		t.Logf("equal parts %v %v", equal.limited, equal)
		used := 0.0
		for _, use := range got.limited {
			assert.Assert(t, float64(use.fullest) <= use.allowed(), "%v", use)
			used += use.mean / float64(l.limited)
		}
		assert.Assert(t, used > 0.9*l.limit, "%.2f per second of %v", used, l.limit)
		assert.Assert(t, got.worth() > equal.worth())
	}
}
