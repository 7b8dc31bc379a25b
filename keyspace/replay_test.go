package keyspace

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/ratelimit"
)

// keyLoad is a load on the keys of a service: a background load over all keys, and from
// hotFrom on a share of all requests for a few adjacent keys.
type keyLoad struct {
	servers   int
	slots     int
	perSecond float64
	work      time.Duration
	hotShare  float64
	hotKeys   int
	hotFrom   time.Duration
	length    time.Duration
	seed      uint64
	// The first limited servers accept limit requests per second from limitFrom on. told
	// reports whether the plan knows the limit.
	limited    int
	limit      float64
	limitFrom  time.Duration
	limitKnown bool
	// patience is how long a request waits for a permit of a limited server.
	patience  time.Duration
	limitFill float64
}

// limitedAt reports whether a server's requests per second are limited at a time.
func (l keyLoad) limitedAt(now time.Duration, server string) bool {
	return now >= l.limitFrom && server < serverName(l.limited)
}

func serverName(i int) string { return fmt.Sprintf("s%03d", i) }

// replayResult is the outcome of a replay while the keys were hot.
type replayResult struct {
	served float64 // share of the demand that the keys' owners could accept
	moved  float64 // keys that changed owners, as a share of all keys
}

func (v replayResult) String() string { return fmt.Sprintf("fits %.3f, moved %.3f", v.served, v.moved) }

// replayKeys simulates the load with a state machine whose calls are answered at once.
func replayKeys(t *testing.T, l keyLoad) replayResult {
	var servers []Server
	for i := range l.servers {
		servers = append(servers, Server{ID: serverName(i), Slots: l.slots, Speed: 1})
	}
	b := newHarness(t, New(NewRecord(Controller{Host: "one", Incarnation: 1}, 0, servers), 0, 0), 0)
	b.servers = servers
	random := rand.New(rand.NewPCG(l.seed, 1))
	hotAt := uint16(random.IntN(LastKey + 1 - l.hotKeys))
	verdict, demand, fitting := replayResult{}, 0.0, 0.0
	owners := ownersOf(b.m.Record())
	const reports = 10 // ticks between two reports of the hosts
	busy, waiting := map[uint16]time.Duration{}, backlogs{}
	places := map[string]*ratelimit.Schedule{}
	for n := 0; b.now < l.length; n++ {
		hot := b.now >= l.hotFrom
		arrived := l.arrivals(random, hot, hotAt)
		for key, asked := range arrived {
			busy[key] += asked
		}
		if n%reports == 0 {
			b.m.Loads().Add(b.now, busy, l.work)
			busy = map[uint16]time.Duration{}
		}
		for i := range b.servers {
			if server := &b.servers[i]; l.limitKnown {
				server.Speed = 1
				if l.limitedAt(b.now, server.ID) {
					server.Speed = l.limitFill * l.limit * l.work.Seconds() / float64(l.slots)
				}
			}
		}
		b.run(b.now + tick)
		d, f := waiting.take(l, b.now, b.m.Record(), arrived, places)
		if hot {
			demand, fitting = demand+d, fitting+f
		}
		now := ownersOf(b.m.Record())
		verdict.moved += float64(differ(owners, now)) / (LastKey + 1)
		owners = now
	}
	verdict.served = fitting / demand
	return verdict
}

// arrivals draws the slot time that is demanded in one tick, by key.
func (l keyLoad) arrivals(random *rand.Rand, hot bool, hotAt uint16) map[uint16]time.Duration {
	arrived := map[uint16]time.Duration{}
	mean := l.perSecond * tick.Seconds()
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		key := uint16(random.IntN(LastKey + 1))
		if hot && random.Float64() < l.hotShare {
			key = hotAt + uint16(random.IntN(l.hotKeys))
		}
		arrived[key] += l.work
	}
	return arrived
}

// backlogs is the demanded slot time that has not been served yet, by server.
type backlogs map[string]float64

// maxWait is how long a request may wait for a slot, in service times, before it is rejected.
const maxWait = 2

// take returns the demand of a tick and the part of it that the owners of the keys accept.
// Requests for moving keys are rejected.
func (b backlogs) take(l keyLoad, now time.Duration, record *Record, arrived map[uint16]time.Duration, places map[string]*ratelimit.Schedule) (demand, taken float64) {
	for server, left := range b {
		b[server] = max(0, left-float64(l.slots)*tick.Seconds())
	}
	for _, key := range slices.Sorted(maps.Keys(arrived)) {
		asked := arrived[key].Seconds()
		demand += asked
		r := record.RangeOf(key)
		if r.Moving() || b[r.Server]+asked > float64(l.slots)*(1+maxWait)*l.work.Seconds() {
			continue
		}
		if l.limitedAt(now, r.Server) {
			if places[r.Server] == nil {
				places[r.Server] = &ratelimit.Schedule{}
			}
			if _, ok := places[r.Server].Reserve(now, l.limit, l.patience); !ok {
				continue
			}
		}
		b[r.Server] += asked
		taken += asked
	}
	return demand, taken
}

func ownersOf(record *Record) []string {
	owners := make([]string, LastKey+1)
	for _, r := range record.Ranges {
		for key := int(r.From); key <= int(r.To); key++ {
			owners[key] = r.Server
		}
	}
	return owners
}

func differ(a, b []string) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

// manyServers returns a service of 170 small servers. A third of its requests turns to 200
// adjacent keys.
func manyServers() keyLoad {
	return keyLoad{servers: 170, slots: 2, perSecond: 1200, work: 160 * time.Millisecond,
		hotShare: 0.33, hotKeys: 200, hotFrom: 4 * time.Second, length: 9 * time.Second, seed: 1}
}

// Guards against rejecting a third of a service's requests while a group of keys is busy. A
// third of all requests turns to 200 adjacent keys, 20 times the capacity of their one owner.
// Plans that move half of the fullest server's load to one other server, and wait for all
// moves to end before the next plan, take too long; a plan must fill as many servers as
// needed up to their share.
func TestReplayHotKeysOfManyServers(t *testing.T) {
	verdict := replayKeys(t, manyServers())
	t.Log(verdict)
	assert.Assert(t, verdict.served > 0.85)
}

// The same with few servers of four slots, at 60% load.
func TestReplayHotKeysOfFewServers(t *testing.T) {
	l := manyServers()
	l.servers, l.slots, l.perSecond, l.work = 14, 4, 370, 90*time.Millisecond
	verdict := replayKeys(t, l)
	t.Log(verdict)
	assert.Assert(t, verdict.served > 0.9)
}

// Guards against moving keys all the time under an even load. Random arrival gives some
// servers more load for a while, which a plan must not treat as worth moving.
func TestReplayEvenLoadMovesFewKeys(t *testing.T) {
	l := manyServers()
	l.hotShare, l.hotFrom, l.length = 0, 2*time.Second, 12*time.Second
	verdict := replayKeys(t, l)
	t.Log(verdict)
	assert.Assert(t, verdict.moved < 0.25)
}

// limitedServers returns a service of ten servers at half of their load. Two of them accept a
// quarter of their demand.
func limitedServers(seed uint64, hotShare float64, told bool) keyLoad {
	return keyLoad{servers: 10, slots: 2, perSecond: 118, work: 90 * time.Millisecond, hotShare: hotShare, hotKeys: 60, hotFrom: 8 * time.Second, length: 30 * time.Second, seed: seed,
		limited: 2, limit: 2.8, limitFrom: 8 * time.Second, limitKnown: told, patience: 210 * time.Millisecond, limitFill: 0.5}
}

// Guards against servers that keep keys with several times the demand of the limits that the
// servers announce.
func TestReplayLimitedOwnersLoseKeys(t *testing.T) {
	for _, hotShare := range []float64{0, 0.36} {
		for seed := range uint64(2) {
			kept, moved := replayKeys(t, limitedServers(seed, hotShare, false)), replayKeys(t, limitedServers(seed, hotShare, true))
			t.Logf("%.2f hot, seed %d: keys stay: %v; keys move: %v", hotShare, seed, kept, moved)
			assert.Assert(t, moved.served > kept.served+0.08)
			assert.Assert(t, moved.served > 0.95)
		}
	}
}
