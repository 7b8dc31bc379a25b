package balance

import (
	"container/heap"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadarouter/fleet"
	"cicadarouter/notice"
	"cicadarouter/ratelimit"
)

// Required behavior: a limit applies from contactGrace after its first announcement on, to hosts
// that have known it for knownGrace and have not restarted within contactGrace. It is counted over
// any limitWindow.
const (
	contactGrace = 3 * time.Second
	knownGrace   = 500 * ms
	limitWindow  = 4 * time.Second
)

// simulatedHost is one host. Its process may be restarted.
type simulatedHost struct {
	pool         *Pool
	ledger       notice.Ledger[float64]
	starts       int
	startedAt    time.Duration // start of the current process
	toldAt       time.Duration // when the current process first got an answer with a limit; -1 before
	schedulerCut bool          // set while the scheduler can't be reached
}

// sentRequest is a request sent to the server.
type sentRequest struct {
	at      time.Duration
	counted bool // whether the limit applies: the host knew the limit and had not just restarted
}

// limitSimulation simulates one limited server, several hosts, and the scheduler of its permits.
// The delays of answers, permit requests and notifications are random, so they overtake each
// other, and some are lost.
type limitSimulation struct {
	t      *rapid.T
	events eventQueue
	keyed  bool
	server fleet.Server
	hosts  []*simulatedHost
	// limits are the limits that the server announced, each valid from a time on.
	limits []struct {
		from      time.Duration
		perSecond float64
	}
	schedule *ratelimit.Schedule // nil while no process may act as scheduler
	sends    []sentRequest
}

func (w *limitSimulation) at(t time.Duration, do func(time.Duration)) {
	heap.Push(&w.events, modelEvent{at: t, do: do})
}

func (w *limitSimulation) randomDelay(label string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(w.t, label)) * ms
}

// currentLimit returns the limit that the server currently announces.
func (w *limitSimulation) currentLimit() float64 { return w.limits[len(w.limits)-1].perSecond }

func (w *limitSimulation) announce(now time.Duration, perSecond float64) {
	w.limits = append(w.limits, struct {
		from      time.Duration
		perSecond float64
	}{now, perSecond})
}

// start starts a new process of a host, without any state.
func (w *limitSimulation) start(now time.Duration, h *simulatedHost) {
	var owner Owner
	if w.keyed {
		owner = fixedOwners{w.server.ID}
	}
	h.starts++
	h.startedAt = now
	h.pool, h.ledger, h.toldAt = NewPool("d", owner, uint64(h.starts)*100+uint64(slices.Index(w.hosts, h))), notice.Ledger[float64]{}, -1
	h.pool.ReplaceServers(now, []fleet.Server{w.server})
}

// enqueue queues a enqueue at a host.
func (w *limitSimulation) enqueue(now time.Duration, h *simulatedHost) {
	waiter := &Waiter{Keyed: w.keyed, Arrived: now, Deadline: now + 2*time.Second, Objective: time.Second, Ready: make(chan struct{})}
	h.pool.Enqueue(now, waiter)
	w.poll(now, h, h.pool, waiter)
	w.reservePermits(now, h)
}

// poll polls until the request is assigned the server or rejected.
func (w *limitSimulation) poll(now time.Duration, h *simulatedHost, pool *Pool, waiter *Waiter) {
	switch {
	case h.pool != pool || waiter.Rejected != nil:
		return
	case waiter.Server != nil:
		w.send(now, h, pool, waiter)
		return
	}
	w.at(now+20*ms, func(now time.Duration) {
		pool.Dispatch(now)
		w.poll(now, h, pool, waiter)
		w.reservePermits(now, h)
	})
}

func (w *limitSimulation) send(now time.Duration, h *simulatedHost, pool *Pool, waiter *Waiter) {
	knowsLimit := h.toldAt >= 0 && now-h.toldAt >= knownGrace
	notRestarted := h.starts == 1 || now-h.startedAt >= contactGrace // the limit does not apply right after a restart
	w.sends = append(w.sends, sentRequest{at: now, counted: knowsLimit && notRestarted})
	w.at(now+w.randomDelay("run time", 1, 150), func(completed time.Duration) {
		perSecond := w.currentLimit()
		w.at(completed+w.randomDelay("return delay", 1, 60), func(received time.Duration) {
			w.answer(received, h, pool, waiter, notice.Update[float64]{Value: perSecond, SentAt: now, ReceivedAt: received})
		})
	})
}

func (w *limitSimulation) answer(now time.Duration, h *simulatedHost, pool *Pool, waiter *Waiter, news notice.Update[float64]) {
	if h.pool != pool {
		return
	}
	if news.Value > 0 && h.toldAt < 0 {
		h.toldAt = now
	}
	if h.ledger.Apply(w.server.Incarnation(), news) {
		pool.SetLimits(now, h.ledger.Values(), len(w.hosts))
		w.notifyOthers(now, h)
	}
	pool.Done(now, waiter.Server, AttemptResult{Outcome: Answered, Took: now - news.SentAt, Objective: time.Second})
	w.reservePermits(now, h)
}

// notifyOthers forwards the limit to the other hosts, with a random delay; some messages are lost.
func (w *limitSimulation) notifyOthers(now time.Duration, from *simulatedHost) {
	told, _ := from.ledger.ChangesSince(now, 0, 8)
	for _, h := range w.hosts {
		if h == from || rapid.IntRange(0, 3).Draw(w.t, "lost") == 0 {
			continue
		}
		w.at(now+w.randomDelay("notification delay", 1, 1500), func(now time.Duration) {
			for _, each := range told {
				each.SentAgoMs, each.ReceivedAgoMs = each.SentAgoMs+1, each.ReceivedAgoMs+1
				if h.ledger.Apply(each.Server, each.ToUpdate(now)) {
					h.pool.SetLimits(now, h.ledger.Values(), len(w.hosts))
				}
			}
		})
	}
}

// reservePermits passes a host's reservation requests to the scheduler; some answers are lost.
func (w *limitSimulation) reservePermits(now time.Duration, h *simulatedHost) {
	pool := h.pool
	for _, request := range pool.ReservationRequests(now) {
		lost := rapid.IntRange(0, 9).Draw(w.t, "answer lost") == 0
		w.at(now+w.randomDelay("request delay", 1, 40), func(at time.Duration) {
			got := Reservation{RequestedAt: now}
			if !h.schedulerCut && w.schedule != nil {
				got = w.reserve(at, h, request, got)
			}
			if lost {
				got = Reservation{RequestedAt: now}
			}
			w.at(at+w.randomDelay("answer delay", 1, 150), func(now time.Duration) {
				if h.pool == pool {
					pool.ApplyReservation(now, request.Server, got)
				}
			})
		})
	}
}

func (w *limitSimulation) reserve(now time.Duration, h *simulatedHost, request ReservationRequest, got Reservation) Reservation {
	got.Reached = true
	perSecond := h.ledger.Value(request.Server)
	for range request.Permits {
		if perSecond == 0 {
			break
		}
		wait, ok := w.schedule.Reserve(now, perSecond, request.Within)
		if !ok {
			got.RefusedWait = max(wait, 1)
			break
		}
		got.Waits = append(got.Waits, wait)
	}
	return got
}

// check compares the requests of all hosts, in each window, with the limit.
func (w *limitSimulation) check() {
	var counted []time.Duration
	for _, send := range w.sends {
		if send.counted && send.at >= w.limits[1].from+contactGrace {
			counted = append(counted, send.at)
		}
	}
	for first, last := 0, 0; last < len(counted); last++ {
		for counted[last]-counted[first] >= limitWindow {
			first++
		}
		allowed := w.maxAllowed(counted[first], counted[last])
		assert.Assert(w.t, float64(last-first+1) <= allowed, "%d requests between %v and %v, %v allowed", last-first+1, counted[first], counted[last], allowed)
	}
}

// maxAllowed returns the most requests allowed by the highest limit that was announced during
// or shortly before the span; it does not restrict spans that include a time without a limit.
func (w *limitSimulation) maxAllowed(from, to time.Duration) float64 {
	highest := 0.0
	for i, limit := range w.limits {
		if limit.from > to || i+1 < len(w.limits) && w.limits[i+1].from < from-knownGrace {
			continue
		}
		if limit.perSecond == 0 {
			return float64(len(w.sends))
		}
		highest = max(highest, limit.perSecond)
	}
	return 1.5*limitWindow.Seconds()*highest + 5
}

// Tests that the hosts together keep to a server's limit while hosts restart, lose contact with
// the scheduler or lose its answers, while the scheduler changes, and in whatever order answers
// and notifications arrive.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &limitSimulation{t: t, keyed: rapid.Bool().Draw(t, "keyed"), server: fleet.Server{ID: "a", Domain: "d", Slots: 1000}, schedule: &ratelimit.Schedule{}}
		for range rapid.IntRange(1, 12).Draw(t, "hosts") {
			w.hosts = append(w.hosts, &simulatedHost{})
		}
		for _, h := range w.hosts {
			w.start(0, h)
		}
		w.announce(0, 0)
		w.at(time.Second, func(now time.Duration) { w.announce(now, rapid.Float64Range(0.2, 6).Draw(t, "limit")) })
		const length, every = 12 * time.Second, 40 * ms
		for at := time.Duration(0); at < length; at += every {
			w.at(at, func(now time.Duration) { w.step(now) })
		}
		for len(w.events) > 0 {
			next := heap.Pop(&w.events).(modelEvent)
			next.do(next.at)
		}
		w.check()
	})
}

// step executes one random event.
func (w *limitSimulation) step(now time.Duration) {
	h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, "host")]
	switch rapid.IntRange(0, 59).Draw(w.t, "event") {
	case 0:
		w.start(now, h)
	case 1:
		h.schedulerCut = !h.schedulerCut
	case 2: // the scheduler changes: there is none until the predecessor has stopped
		w.schedule = nil
		w.at(now+w.randomDelay("handover", 100, 5500), func(time.Duration) { w.schedule = &ratelimit.Schedule{} })
	case 3:
		if now > time.Second && w.currentLimit() > 0 {
			w.announce(now, w.currentLimit()*rapid.Float64Range(0.3, 3).Draw(w.t, "change"))
		}
	default:
		for range rapid.IntRange(0, 3).Draw(w.t, "requests") {
			w.enqueue(now, h)
		}
	}
}
