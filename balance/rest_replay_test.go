package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// backoffModel simulates an overloaded server that owns all keys. It rejects requests that
// don't fit into its queue, and asks the host that sent them to back off.
type backoffModel struct {
	random  *rand.Rand
	pools   []*Pool
	slots   int
	queue   int
	mean    time.Duration
	backoff time.Duration
	running []*backoffRequest
	waiting []*backoffRequest
	counts  backoffCounts
}

// backoffRequest is a request that is queued at a host or sent to the server.
type backoffRequest struct {
	host      int
	server    *Server
	waiter    *Waiter
	endsAt    time.Duration
	arrivedAt time.Duration
}

// backoffCounts counts the requests of a run by result.
type backoffCounts struct{ requests, served, refused, rejected int }

// simulateBackoff simulates hosts that send one server a multiple of the requests it can run.
func simulateBackoff(hosts int, overload float64, seed uint64) backoffCounts {
	m := &backoffModel{random: rand.New(rand.NewPCG(seed, 0)), slots: 2, queue: 8, mean: 90 * ms, backoff: 2 * time.Second}
	for i := range hosts {
		p := NewPool("d", fixedOwners{"a"}, seed*1000+uint64(i))
		p.ReplaceServers(0, []fleet.Server{{ID: "a", Start: 1, Domain: "d", Slots: m.slots}})
		m.pools = append(m.pools, p)
	}
	perTick := overload * float64(m.slots) / m.mean.Seconds() * ms.Seconds()
	var open []*backoffRequest
	for now := time.Duration(0); now < 30*time.Second; now += ms {
		m.completeDue(now)
		if m.random.Float64() < perTick {
			open = append(open, m.enqueue(now))
		}
		if now%(20*ms) == 0 {
			for _, p := range m.pools {
				p.Dispatch(now)
			}
		}
		kept := open[:0]
		for _, r := range open {
			switch {
			case r.waiter.Server != nil:
				m.arrive(now, r)
			case r.waiter.Rejected != nil:
				m.counts.rejected++
			default:
				kept = append(kept, r)
			}
		}
		open = kept
	}
	return m.counts
}

// enqueue queues a new request at a random host.
func (m *backoffModel) enqueue(now time.Duration) *backoffRequest {
	m.counts.requests++
	r := &backoffRequest{host: m.random.IntN(len(m.pools)), arrivedAt: now,
		waiter: &Waiter{Keyed: true, Arrived: now, Deadline: now + 800*ms, Objective: 300 * ms, Timeout: 800 * ms, Ready: make(chan struct{})}}
	m.pools[r.host].Enqueue(now, r.waiter)
	return r
}

// arrive sends a request to the server.
func (m *backoffModel) arrive(now time.Duration, r *backoffRequest) {
	r.server = r.waiter.Server
	if len(m.running) >= m.slots && len(m.waiting) >= m.queue {
		m.counts.refused++
		p := m.pools[r.host]
		p.BackOff(now, r.server.Incarnation(), m.backoff)
		p.Done(now, r.server, AttemptResult{Outcome: Refused, Load: m.load()})
		return
	}
	m.waiting = append(m.waiting, r)
	m.startQueued(now)
}

func (m *backoffModel) load() *Load {
	return &Load{Running: len(m.running), Waiting: len(m.waiting), Slots: m.slots}
}

// startQueued starts queued requests in free slots.
func (m *backoffModel) startQueued(now time.Duration) {
	for len(m.running) < m.slots && len(m.waiting) > 0 {
		r := m.waiting[0]
		m.waiting = m.waiting[1:]
		r.endsAt = now + time.Duration((0.5+m.random.Float64())*float64(m.mean))
		m.running = append(m.running, r)
	}
}

// completeDue completes the requests whose time has come.
func (m *backoffModel) completeDue(now time.Duration) {
	kept := m.running[:0]
	var ended []*backoffRequest
	for _, r := range m.running {
		if now < r.endsAt {
			kept = append(kept, r)
			continue
		}
		ended = append(ended, r)
	}
	m.running = kept
	m.startQueued(now)
	for _, r := range ended {
		if now <= r.waiter.Deadline {
			m.counts.served++
		}
		m.pools[r.host].Done(now, r.server, AttemptResult{Outcome: Answered, Took: now - r.arrivedAt, Objective: r.waiter.Objective, Load: m.load()})
	}
}

// Guards against backoffs that leave a server idle. An overloaded server must still get
// requests from some hosts while others back off.
func TestSimulateBackoffOfOverloadedServer(t *testing.T) {
	const seeds, capacity = 3, 30 * 2 / 0.09
	for _, hosts := range []int{8, 90, 295} {
		for _, overload := range []float64{1.5, 4} {
			var sum backoffCounts
			for seed := range uint64(seeds) {
				got := simulateBackoff(hosts, overload, seed)
				sum = backoffCounts{sum.requests + got.requests, sum.served + got.served, sum.refused + got.refused, sum.rejected + got.rejected}
			}
			t.Logf("%d hosts, %.1f times its capacity: %+v", hosts, overload, sum)
			assert.Assert(t, float64(sum.served) > 0.95*seeds*capacity, "%d hosts, %.1f times its capacity: %+v", hosts, overload, sum)
		}
	}
}
