package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadarouter/fleet"
)

const (
	// inTouchAfter is how long a host and the collector must have been free of faults before the
	// host must know what others know.
	inTouchAfter = 3 * time.Second
	// exchangeEvery is the interval at which a host and the collector exchange cases.
	exchangeEvery = 500 * time.Millisecond
	perMessage    = 4
	// messageWay is the transmission time of a message.
	messageWay = 5 * time.Millisecond
	deadlyPath = "/deadly"
)

// simHost is a simulated host.
type simHost struct {
	ledger    Ledger
	told      uint64 // last change of its ledger that the collector has received
	known     uint64 // last change of the collector's ledger that it has received
	exchanged time.Duration
	// calmSince is when its last fault ended.
	calmSince time.Duration
	cutUntil  time.Duration
}

// simWorld simulates several hosts, one of which is the collector, and a store. A deadly request
// terminates each server that runs it; the expected results are counted over all hosts.
type simWorld struct {
	now       time.Duration
	hosts     []*simHost
	collector int
	stored    []Case
	storedAt  time.Duration
	messages  []simMessage
	servers   int

	ends  []time.Duration // terminations during the deadly request
	after int             // copies sent by hosts in touch that had to know the request
}

// simMessage is a message to a host. It may be delivered again.
type simMessage struct {
	to    int
	sent  time.Duration
	cases []Case
}

func newSimWorld(hosts int) *simWorld {
	w := &simWorld{now: time.Minute}
	for range hosts {
		w.hosts = append(w.hosts, &simHost{calmSince: w.now})
	}
	return w
}

func (w *simWorld) hub() *simHost { return w.hosts[w.collector] }

// inTouch reports whether a host must know what others know.
func (w *simWorld) inTouch(h *simHost) bool {
	return w.now-h.calmSince >= inTouchAfter && w.now-w.hub().calmSince >= inTouchAfter
}

// copy lets a copy of the deadly request arrive at a host.
func (w *simWorld) copy(h *simHost) {
	const maxAttempts = 2
	for attempt := range maxAttempts {
		verdict := h.ledger.Judge(w.now, mark(deadlyPath)).Verdict
		if verdict == Quarantined || attempt > 0 && verdict == Suspected {
			return
		}
		if len(w.ends) >= provenAfter && w.now > w.ends[provenAfter-1]+inTouchAfter && w.inTouch(h) {
			w.after++
		}
		w.servers++
		w.ends = append(w.ends, w.now)
		h.ledger.Blame(w.now, run(fmt.Sprint("s", w.servers)), ended(deadlyPath, w.now))
	}
	w.exchange(h) // a host reports a termination at once
}

// exchange lets a host and the collector exchange cases unless one of them is disconnected.
func (w *simWorld) exchange(h *simHost) {
	hub := w.hub()
	h.exchanged = w.now
	if w.now < h.cutUntil || w.now < hub.cutUntil {
		return
	}
	if h != hub {
		report, upTo := h.ledger.Tell(w.now, h.told, perMessage, Collector)
		hub.ledger.Take(w.now+messageWay, report)
		response, known := hub.ledger.Tell(w.now, h.known, perMessage, Everyone)
		h.ledger.Take(w.now+2*messageWay, response)
		h.told, h.known = upTo, known
		w.messages = append(w.messages, simMessage{to: slices.Index(w.hosts, h), sent: w.now, cases: response}, simMessage{to: w.collector, sent: w.now, cases: report})
	}
	w.stored, w.storedAt = hub.ledger.Proven(w.now), w.now
}

// pass advances the time.
func (w *simWorld) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 50 * time.Millisecond
		for _, h := range w.hosts {
			if w.now < h.cutUntil {
				h.calmSince = w.now
			}
			if w.now-h.exchanged >= exchangeEvery {
				w.exchange(h)
			}
		}
	}
}

// restart restarts a host, which loses its state.
func (w *simWorld) restart(i int) { w.hosts[i] = &simHost{calmSince: w.now} }

// collect makes another host the collector. It reads the stored cases, and the hosts send it
// everything that they know.
func (w *simWorld) collect(i int) {
	w.collector = i
	for _, h := range w.hosts {
		h.told, h.known = 0, 0
	}
	stored := slices.Clone(w.stored)
	for c := range stored {
		stored[c].Ends = slices.Clone(stored[c].Ends)
		for e := range stored[c].Ends {
			stored[c].Ends[e].AgeMs += (w.now - w.storedAt).Milliseconds()
		}
	}
	w.hub().ledger.Take(w.now, stored)
	w.hub().calmSince = w.now
}

// bystander lets a harmless request be in flight at a server that terminates, and be answered at
// another host later.
func (w *simWorld) bystander(at, answeredAt *simHost, path string) {
	w.servers++
	at.ledger.Blame(w.now, run(fmt.Sprint("s", w.servers)), ended(path, w.now))
	w.pass(time.Second)
	answeredAt.ledger.Acquit(w.now, mark(path))
}

// Once three servers have terminated during a request and all hosts in touch have had time to learn
// of it, they send it at most three more times, counted over all hosts. This must hold whichever
// hosts are disconnected or restart, whichever host is the collector, and in whatever order and
// however often messages arrive.
func TestDeadlyRequestIsStoppedEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimWorld(rapid.IntRange(2, 6).Draw(t, "hosts"))
		host := func(what string) int { return rapid.IntRange(0, len(w.hosts)-1).Draw(t, what) }
		t.Repeat(map[string]func(*rapid.T){
			"copy arrives": func(t *rapid.T) { w.copy(w.hosts[host("at")]) },
			"time passes": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"host disconnected": func(t *rapid.T) {
				h := w.hosts[host("cut")]
				h.cutUntil, h.calmSince = w.now+time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms"))*time.Millisecond, w.now
			},
			"host restarts": func(t *rapid.T) {
				if i := host("started"); i != w.collector {
					w.restart(i)
				}
			},
			"another host collects": func(t *rapid.T) { w.collect(host("collector")) },
			"collector restarts": func(t *rapid.T) {
				w.restart(w.collector)
				w.collect(host("collector"))
			},
			"all hosts restart": func(t *rapid.T) {
				for i := range w.hosts {
					w.restart(i)
				}
				w.collect(host("collector"))
				if !slices.ContainsFunc(w.stored, func(c Case) bool { return c.Request == mark(deadlyPath) }) {
					w.ends, w.after = nil, 0 // no host and no stored case knows the request
				}
			},
			"update redelivered": func(t *rapid.T) {
				if len(w.messages) > 0 {
					old := w.messages[rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")]
					w.hosts[old.to].ledger.Take(w.now, old.cases)
				}
			},
			"server considered terminated answers": func(t *rapid.T) {
				h := w.hosts[host("answered at")]
				h.ledger.Blame(w.now, run("cut off"), ended(deadlyPath, w.now))
				w.pass(time.Second)
				w.hosts[host("answered at")].ledger.Alive(run("cut off"), Lived{To: w.now})
			},
			"bystander request": func(t *rapid.T) {
				w.bystander(w.hosts[host("under way at")], w.hosts[host("answered at")], fmt.Sprint("/", rapid.IntRange(0, 3).Draw(t, "path")))
			},
			"": func(t *rapid.T) {
				if w.after > provenAfter {
					t.Fatalf("%d copies sent by hosts that had to know the request; %d servers terminated", w.after, len(w.ends))
				}
				for _, h := range w.hosts {
					if len(h.ledger.cases) > mostCases {
						t.Fatalf("a ledger holds %d cases", len(h.ledger.cases))
					}
				}
			},
		})
	})
}

// Two ledgers that have exchanged all their cases give the same verdicts. Both know the same
// termination time of a server, whichever of them records it.
func TestLedgersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledgers [2]Ledger
		now := time.Minute
		paths := []string{"/a", "/b", "/c"}
		endedAt := map[int]time.Duration{}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			l := &ledgers[rapid.IntRange(0, 1).Draw(t, "ledger")]
			path := rapid.SampledFrom(paths).Draw(t, "path")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				l.Acquit(now, mark(path))
				continue
			case 1:
				l.Alive(fleet.Incarnation{ID: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "alive"))}, Lived{To: now})
				continue
			}
			server := rapid.IntRange(0, 9).Draw(t, "server")
			if _, known := endedAt[server]; !known {
				endedAt[server] = now
			}
			l.Blame(now, fleet.Incarnation{ID: fmt.Sprint(server)}, ended(path, endedAt[server]))
		}
		for range 2 { // a message and the response to it
			for i := range ledgers {
				cases, _ := ledgers[i].Tell(now, 0, mostCases, Collector)
				ledgers[1-i].Take(now, cases)
			}
		}
		for _, path := range paths {
			one, other := ledgers[0].Judge(now, mark(path)), ledgers[1].Judge(now, mark(path))
			assert.DeepEqual(t, one, other)
		}
	})
}
