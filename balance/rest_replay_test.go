package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// restingModel simulates an overloaded server that owns all keys. It rejects requests that
// don't fit into its queue, and asks the host that sent them to back off.
type restingModel struct {
	random  *rand.Rand
	pools   []*Pool
	slots   int
	queue   int
	mean    time.Duration
	rest    time.Duration
	running []*restingRequest
	waiting []*restingRequest
	counts  restingCounts
}

// restingRequest is a request that is queued at a host or sent to the server.
type restingRequest struct {
	host   int
	given  *Server
	caller *Waiter
	until  time.Duration
	began  time.Duration
}

// restingCounts counts the requests of a run by result.
type restingCounts struct{ asked, served, shed, refused int }

// replayRests simulates hosts that send one server a multiple of the requests it can run.
func replayRests(hosts int, overload float64, seed uint64) restingCounts {
	m := &restingModel{random: rand.New(rand.NewPCG(seed, 0)), slots: 2, queue: 8, mean: 90 * ms, rest: 2 * time.Second}
	for i := range hosts {
		p := NewPool("d", fixedOwner{"a"}, seed*1000+uint64(i))
		p.SetServers(0, []fleet.Server{{ID: "a", Start: 1, Domain: "d", Slots: m.slots}})
		m.pools = append(m.pools, p)
	}
	perTick := overload * float64(m.slots) / m.mean.Seconds() * ms.Seconds()
	var open []*restingRequest
	for now := time.Duration(0); now < 30*time.Second; now += ms {
		m.serve(now)
		if m.random.Float64() < perTick {
			open = append(open, m.ask(now))
		}
		if now%(20*ms) == 0 {
			for _, p := range m.pools {
				p.Pump(now)
			}
		}
		kept := open[:0]
		for _, r := range open {
			switch {
			case r.caller.Server != nil:
				m.arrive(now, r)
			case r.caller.Rejected != nil:
				m.counts.refused++
			default:
				kept = append(kept, r)
			}
		}
		open = kept
	}
	return m.counts
}

// ask queues a new request at a random host.
func (m *restingModel) ask(now time.Duration) *restingRequest {
	m.counts.asked++
	r := &restingRequest{host: m.random.IntN(len(m.pools)), began: now,
		caller: &Waiter{Keyed: true, Arrived: now, Deadline: now + 800*ms, Objective: 300 * ms, Patience: 800 * ms, Ready: make(chan struct{})}}
	m.pools[r.host].Enter(now, r.caller)
	return r
}

// arrive sends a request to the server.
func (m *restingModel) arrive(now time.Duration, r *restingRequest) {
	r.given = r.caller.Server
	if len(m.running) >= m.slots && len(m.waiting) >= m.queue {
		m.counts.shed++
		p := m.pools[r.host]
		p.Rest(now, r.given.Incarnation(), m.rest)
		p.Done(now, r.given, End{Outcome: Refused, Load: m.load()})
		return
	}
	m.waiting = append(m.waiting, r)
	m.begin(now)
}

func (m *restingModel) load() *Load {
	return &Load{Running: len(m.running), Waiting: len(m.waiting), Slots: m.slots}
}

// begin starts queued requests in free slots.
func (m *restingModel) begin(now time.Duration) {
	for len(m.running) < m.slots && len(m.waiting) > 0 {
		r := m.waiting[0]
		m.waiting = m.waiting[1:]
		r.until = now + time.Duration((0.5+m.random.Float64())*float64(m.mean))
		m.running = append(m.running, r)
	}
}

// serve completes the requests whose time has come.
func (m *restingModel) serve(now time.Duration) {
	kept := m.running[:0]
	var ended []*restingRequest
	for _, r := range m.running {
		if now < r.until {
			kept = append(kept, r)
			continue
		}
		ended = append(ended, r)
	}
	m.running = kept
	m.begin(now)
	for _, r := range ended {
		if now <= r.caller.Deadline {
			m.counts.served++
		}
		m.pools[r.host].Done(now, r.given, End{Outcome: Answered, Took: now - r.began, Objective: r.caller.Objective, Load: m.load()})
	}
}

// Guards against backoffs that leave a server idle. An overloaded server must still get
// requests from some hosts while others back off.
func TestReplayRestsOfAnOverloadedServer(t *testing.T) {
	const seeds, capacity = 3, 30 * 2 / 0.09
	for _, hosts := range []int{8, 90, 295} {
		for _, overload := range []float64{1.5, 4} {
			var sum restingCounts
			for seed := range uint64(seeds) {
				got := replayRests(hosts, overload, seed)
				sum = restingCounts{sum.asked + got.asked, sum.served + got.served, sum.shed + got.shed, sum.refused + got.refused}
			}
			t.Logf("%d hosts, %.1f times its capacity: %+v", hosts, overload, sum)
			assert.Assert(t, float64(sum.served) > 0.95*seeds*capacity, "%d hosts, %.1f times its capacity: %+v", hosts, overload, sum)
		}
	}
}
