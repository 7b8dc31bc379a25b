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
	// inTouchAfter is for how long nothing may have been wrong with a host and the
	// collector before the host is held to what others know.
	inTouchAfter = 3 * time.Second
	// exchangeEvery is how often a host and the collector tell each other.
	exchangeEvery = 500 * time.Millisecond
	perMessage    = 4
	// messageWay is how long a message is under way.
	messageWay = 5 * time.Millisecond
	deadlyPath = "/deadly"
)

// simHost is a host of the simulated world.
type simHost struct {
	ledger    Ledger
	told      uint64 // up to which change the collector has heard of its ledger
	known     uint64 // and it of the collector's
	exchanged time.Duration
	// calmSince is since when nothing has been wrong with it.
	calmSince time.Duration
	cutUntil  time.Duration
}

// simWorld is several hosts, of which one collects, and a store. One request ends each
// server that runs it; the oracle counts over all hosts.
type simWorld struct {
	now       time.Duration
	hosts     []*simHost
	collector int
	stored    []Case
	storedAt  time.Duration
	messages  []simMessage
	servers   int

	ends  []time.Duration // of servers under the deadly request
	after int             // copies sent by hosts in touch when all had to know
}

// simMessage is what a host was told once.
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

// inTouch reports whether a host is held to what others know.
func (w *simWorld) inTouch(h *simHost) bool {
	return w.now-h.calmSince >= inTouchAfter && w.now-w.hub().calmSince >= inTouchAfter
}

// copy has a copy of the deadly request come to a host.
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
	w.exchange(h) // a host tells of an end at once
}

// exchange has a host and the collector tell each other, if they can.
func (w *simWorld) exchange(h *simHost) {
	hub := w.hub()
	h.exchanged = w.now
	if w.now < h.cutUntil || w.now < hub.cutUntil {
		return
	}
	if h != hub {
		told, upTo := h.ledger.Tell(w.now, h.told, perMessage, Collector)
		hub.ledger.Take(w.now+messageWay, told)
		answer, known := hub.ledger.Tell(w.now, h.known, perMessage, Everyone)
		h.ledger.Take(w.now+2*messageWay, answer)
		h.told, h.known = upTo, known
		w.messages = append(w.messages, simMessage{to: slices.Index(w.hosts, h), sent: w.now, cases: answer}, simMessage{to: w.collector, sent: w.now, cases: told})
	}
	w.stored, w.storedAt = hub.ledger.Proven(w.now), w.now
}

// pass lets time pass.
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

// restart has a host start again, knowing nothing.
func (w *simWorld) restart(i int) { w.hosts[i] = &simHost{calmSince: w.now} }

// collect makes another host the collector. It reads what is stored; hosts tell it all
// that they know.
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

// bystander has a harmless request be under way at a server that ends, and be answered
// at another host later.
func (w *simWorld) bystander(at, answeredAt *simHost, path string) {
	w.servers++
	at.ledger.Blame(w.now, run(fmt.Sprint("s", w.servers)), ended(path, w.now))
	w.pass(time.Second)
	answeredAt.ledger.Acquit(w.now, mark(path))
}

// However hosts are cut off and start again, whoever collects, and in whatever order
// and however often they hear of each other: once three servers have ended under a
// request and all hosts in touch had time to hear of it, they send it no more than
// three times, counted over all hosts.
func TestDeadlyRequestIsStoppedEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimWorld(rapid.IntRange(2, 6).Draw(t, "hosts"))
		host := func(what string) int { return rapid.IntRange(0, len(w.hosts)-1).Draw(t, what) }
		t.Repeat(map[string]func(*rapid.T){
			"copy": func(t *rapid.T) { w.copy(w.hosts[host("at")]) },
			"time passes": func(t *rapid.T) {
				w.pass(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"host cut off": func(t *rapid.T) {
				h := w.hosts[host("cut")]
				h.cutUntil, h.calmSince = w.now+time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms"))*time.Millisecond, w.now
			},
			"host starts again": func(t *rapid.T) {
				if i := host("started"); i != w.collector {
					w.restart(i)
				}
			},
			"another collects": func(t *rapid.T) { w.collect(host("collector")) },
			"collector lost": func(t *rapid.T) {
				w.restart(w.collector)
				w.collect(host("collector"))
			},
			"all lost": func(t *rapid.T) {
				for i := range w.hosts {
					w.restart(i)
				}
				w.collect(host("collector"))
				if !slices.ContainsFunc(w.stored, func(c Case) bool { return c.Request == mark(deadlyPath) }) {
					w.ends, w.after = nil, 0 // nobody is left who knows
				}
			},
			"told once more": func(t *rapid.T) {
				if len(w.messages) > 0 {
					old := w.messages[rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")]
					w.hosts[old.to].ledger.Take(w.now, old.cases)
				}
			},
			"server that was taken to have ended answers": func(t *rapid.T) {
				h := w.hosts[host("answered at")]
				h.ledger.Blame(w.now, run("cut off"), ended(deadlyPath, w.now))
				w.pass(time.Second)
				w.hosts[host("answered at")].ledger.Alive(run("cut off"), Lived{To: w.now})
			},
			"bystander": func(t *rapid.T) {
				w.bystander(w.hosts[host("under way at")], w.hosts[host("answered at")], fmt.Sprint("/", rapid.IntRange(0, 3).Draw(t, "path")))
			},
			"": func(t *rapid.T) {
				if w.after > provenAfter {
					t.Fatalf("%d copies sent when all had to know; %d servers ended", w.after, len(w.ends))
				}
				for _, h := range w.hosts {
					if len(h.ledger.cases) > mostCases {
						t.Fatalf("%d cases", len(h.ledger.cases))
					}
				}
			},
		})
	})
}

// Two ledgers that have told each other everything judge alike. A server ends at one
// moment, whoever sees it and when.
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
		for range 2 { // a message, and its echo
			for i := range ledgers {
				told, _ := ledgers[i].Tell(now, 0, mostCases, Collector)
				ledgers[1-i].Take(now, told)
			}
		}
		for _, path := range paths {
			one, other := ledgers[0].Judge(now, mark(path)), ledgers[1].Judge(now, mark(path))
			assert.DeepEqual(t, one, other)
		}
	})
}
