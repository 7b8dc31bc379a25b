package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cicadarouter/dispatch"
)

// OrderResult is the effect of a queue order on callers with steady load ("calm" callers)
// while another caller sends a burst.
type OrderResult struct {
	Order string
	// Goodput is the fraction of the server's capacity that was used for requests answered
	// in time. CalmDone and BurstDone are the fractions of the calm callers' and of the
	// burst's requests that were answered in time.
	Goodput, CalmDone, BurstDone float64
	// CalmP50 and CalmP99 are the latencies, queueing included, of the calm callers'
	// requests that were answered in time.
	CalmP50, CalmP99 time.Duration
}

// The load under which queue orders are compared: one concurrency limiter in virtual time.
const (
	orderSlots       = 4
	orderServiceTime = 2 * time.Millisecond
	orderDeadline    = 100 * time.Millisecond
	simulatedTime    = 60 * time.Second
	calmCallers      = 20
	calmRate         = 50.0 // requests per second, each
	burstRate        = 3000.0
)

// arrival is a request that arrives at the limiter.
type arrival struct {
	at     time.Duration
	caller string
	calm   bool
}

// runningRequest is a request that holds a slot.
type runningRequest struct {
	ends    time.Duration
	arrived time.Duration
	calm    bool
}

// CompareOrders simulates the same arrivals with each queue order. The calm callers need
// half of the server's capacity, the burst one and a half times the capacity.
func CompareOrders(seed uint64) []OrderResult {
	arrivals := orderArrivals(seed)
	fair := float64(orderSlots) / orderServiceTime.Seconds() / (calmCallers + 1)
	orders := []struct {
		name  string
		order dispatch.Order
	}{
		{"first in, first out", &dispatch.FIFO{}},
		{"round robin between callers", dispatch.NewRoundRobin()},
		{"HTBS tags", NewHTBSOrder(fair, fair/10, 10*time.Millisecond)},
	}
	var results []OrderResult
	for _, entry := range orders {
		result := simulate(arrivals, entry.order)
		result.Order = entry.name
		results = append(results, result)
	}
	return results
}

func orderArrivals(seed uint64) []arrival {
	var arrivals []arrival
	add := func(stream uint64, rate float64, caller string, calm bool) {
		random := rand.New(rand.NewPCG(seed, stream))
		for at := time.Duration(0); at < simulatedTime; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			arrivals = append(arrivals, arrival{at: at, caller: caller, calm: calm})
		}
	}
	for i := range calmCallers {
		add(uint64(i), calmRate, fmt.Sprintf("calm-%d", i), true)
	}
	add(calmCallers, burstRate, "burst", false)
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return arrivals
}

// queuedRequest is a queued request with its arrival.
type queuedRequest struct {
	waiter  *dispatch.Waiter
	arrival arrival
}

// simulate runs the limiter with a queue order in virtual time.
func simulate(arrivals []arrival, order dispatch.Order) OrderResult {
	limiter := dispatch.NewConcurrencyLimiter(dispatch.DefaultLimiterPolicy(), orderSlots, order)
	var active []runningRequest
	var queue []queuedRequest
	var calm []time.Duration
	done := map[bool]int{}
	admit := func(now time.Duration) {
		stillQueued := queue[:0]
		for _, w := range queue {
			select {
			case <-w.waiter.Admitted:
				if !w.waiter.Shed {
					active = append(active, runningRequest{ends: now + orderServiceTime, arrived: w.arrival.at, calm: w.arrival.calm})
				}
			default:
				stillQueued = append(stillQueued, w)
			}
		}
		queue = stillQueued
	}
	finishUntil := func(until time.Duration) {
		for {
			next := -1
			for i, r := range active {
				if r.ends <= until && (next < 0 || r.ends < active[next].ends) {
					next = i
				}
			}
			if next < 0 {
				return
			}
			ended := active[next]
			active = slices.Delete(active, next, next+1)
			if took := ended.ends - ended.arrived; took <= orderDeadline {
				done[ended.calm]++
				if ended.calm {
					calm = append(calm, took)
				}
			}
			limiter.Release(ended.ends, orderServiceTime)
			admit(ended.ends)
		}
	}
	arrived := map[bool]int{}
	for _, a := range arrivals {
		finishUntil(a.at)
		arrived[a.calm]++
		w := &dispatch.Waiter{Caller: a.caller, Deadline: a.at + orderDeadline, Admitted: make(chan struct{})}
		if ok, _ := limiter.Enqueue(a.at, w); ok {
			queue = append(queue, queuedRequest{waiter: w, arrival: a})
			admit(a.at)
		}
	}
	slices.Sort(calm)
	capacity := float64(orderSlots) * simulatedTime.Seconds() / orderServiceTime.Seconds()
	return OrderResult{
		Goodput:   float64(done[true]+done[false]) / capacity,
		CalmDone:  float64(done[true]) / float64(arrived[true]),
		BurstDone: float64(done[false]) / float64(arrived[false]),
		CalmP50:   calm[len(calm)/2],
		CalmP99:   calm[len(calm)*99/100],
	}
}
