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
	// syncGrace is how long a host and the collector must have been free of faults before the
	// host must know what others know.
	syncGrace = 3 * time.Second
	// exchangeInterval is the interval at which a host and the collector exchange cases.
	exchangeInterval = 500 * time.Millisecond
	casesPerMessage  = 4
	// messageDelay is the transmission time of a message.
	messageDelay = 5 * time.Millisecond
	deadlyPath   = "/deadly"
)

// simHost is a simulated host.
type simHost struct {
	ledger       Ledger
	sentUpTo     uint64 // last change of its ledger that the collector has received
	receivedUpTo uint64 // last change of the collector's ledger that it has received
	exchangedAt  time.Duration
	// faultFreeSince is when its last fault ended.
	faultFreeSince    time.Duration
	disconnectedUntil time.Duration
}

// simulation simulates several hosts, one of which is the collector, and a store. A deadly request
// terminates each server that runs it; the expected results are counted over all hosts.
type simulation struct {
	now       time.Duration
	hosts     []*simHost
	collector int
	stored    []Case
	storedAt  time.Duration
	messages  []simMessage
	servers   int

	terminations []time.Duration // terminations during the deadly request
	lateCopies   int             // copies sent by hosts that had to know the request
}

// simMessage is a message to a host. It may be delivered again.
type simMessage struct {
	to    int
	sent  time.Duration
	cases []Case
}

func newSimulation(hosts int) *simulation {
	w := &simulation{now: time.Minute}
	for range hosts {
		w.hosts = append(w.hosts, &simHost{faultFreeSince: w.now})
	}
	return w
}

func (w *simulation) collectorHost() *simHost { return w.hosts[w.collector] }

// mustBeInSync reports whether a host must know what others know.
func (w *simulation) mustBeInSync(h *simHost) bool {
	return w.now-h.faultFreeSince >= syncGrace && w.now-w.collectorHost().faultFreeSince >= syncGrace
}

// sendCopy lets a copy of the deadly request arrive at a host.
func (w *simulation) sendCopy(h *simHost) {
	const maxAttempts = 2
	for attempt := range maxAttempts {
		verdict := h.ledger.Judge(w.now, fingerprintOf(deadlyPath)).Verdict
		if verdict == Quarantined || attempt > 0 && verdict == Suspected {
			return
		}
		if len(w.terminations) >= quarantineThreshold && w.now > w.terminations[quarantineThreshold-1]+syncGrace && w.mustBeInSync(h) {
			w.lateCopies++
		}
		w.servers++
		w.terminations = append(w.terminations, w.now)
		h.ledger.Blame(w.now, incarnationOf(fmt.Sprint("s", w.servers)), blameFor(deadlyPath, w.now))
	}
	w.exchange(h) // a host reports a termination at once
}

// exchange lets a host and the collector exchange cases unless one of them is disconnected.
func (w *simulation) exchange(h *simHost) {
	hub := w.collectorHost()
	h.exchangedAt = w.now
	if w.now < h.disconnectedUntil || w.now < hub.disconnectedUntil {
		return
	}
	if h != hub {
		report, upTo := h.ledger.ChangesSince(w.now, h.sentUpTo, casesPerMessage, ToCollector)
		hub.ledger.Merge(w.now+messageDelay, report)
		response, known := hub.ledger.ChangesSince(w.now, h.receivedUpTo, casesPerMessage, ToAllHosts)
		h.ledger.Merge(w.now+2*messageDelay, response)
		h.sentUpTo, h.receivedUpTo = upTo, known
		w.messages = append(w.messages, simMessage{to: slices.Index(w.hosts, h), sent: w.now, cases: response}, simMessage{to: w.collector, sent: w.now, cases: report})
	}
	w.stored, w.storedAt = hub.ledger.QuarantineCases(w.now), w.now
}

// advance advances the time.
func (w *simulation) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 50 * time.Millisecond
		for _, h := range w.hosts {
			if w.now < h.disconnectedUntil {
				h.faultFreeSince = w.now
			}
			if w.now-h.exchangedAt >= exchangeInterval {
				w.exchange(h)
			}
		}
	}
}

// restart restarts a host, which loses its state.
func (w *simulation) restart(i int) { w.hosts[i] = &simHost{faultFreeSince: w.now} }

// setCollector makes another host the collector. It reads the stored cases, and the hosts send it
// everything that they know.
func (w *simulation) setCollector(i int) {
	w.collector = i
	for _, h := range w.hosts {
		h.sentUpTo, h.receivedUpTo = 0, 0
	}
	stored := slices.Clone(w.stored)
	for c := range stored {
		stored[c].Terminations = slices.Clone(stored[c].Terminations)
		for e := range stored[c].Terminations {
			stored[c].Terminations[e].AgeMs += (w.now - w.storedAt).Milliseconds()
		}
	}
	w.collectorHost().ledger.Merge(w.now, stored)
	w.collectorHost().faultFreeSince = w.now
}

// sendBystander lets a harmless request be in flight at a server that terminates, and be answered
// at another host later.
func (w *simulation) sendBystander(at, answeredAt *simHost, path string) {
	w.servers++
	at.ledger.Blame(w.now, incarnationOf(fmt.Sprint("s", w.servers)), blameFor(path, w.now))
	w.advance(time.Second)
	answeredAt.ledger.Clear(w.now, fingerprintOf(path))
}

// Once three servers have terminated during a request, the hosts that have been free of faults for
// syncGrace send it at most three more times, counted over all of them. This must hold whichever
// hosts are disconnected or restart, whichever host is the collector, and in whatever order and
// however often messages arrive.
func TestDeadlyRequestIsQuarantinedAtAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(2, 6).Draw(t, "hosts"))
		host := func(what string) int { return rapid.IntRange(0, len(w.hosts)-1).Draw(t, what) }
		t.Repeat(map[string]func(*rapid.T){
			"copy arrives": func(t *rapid.T) { w.sendCopy(w.hosts[host("at")]) },
			"time passes": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"host disconnected": func(t *rapid.T) {
				h := w.hosts[host("cut")]
				h.disconnectedUntil, h.faultFreeSince = w.now+time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms"))*time.Millisecond, w.now
			},
			"host restarts": func(t *rapid.T) {
				if i := host("started"); i != w.collector {
					w.restart(i)
				}
			},
			"another host collects": func(t *rapid.T) { w.setCollector(host("collector")) },
			"collector restarts": func(t *rapid.T) {
				w.restart(w.collector)
				w.setCollector(host("collector"))
			},
			"all hosts restart": func(t *rapid.T) {
				for i := range w.hosts {
					w.restart(i)
				}
				w.setCollector(host("collector"))
				if !slices.ContainsFunc(w.stored, func(c Case) bool { return c.Request == fingerprintOf(deadlyPath) }) {
					w.terminations, w.lateCopies = nil, 0 // no host and no stored case knows the request
				}
			},
			"update redelivered": func(t *rapid.T) {
				if len(w.messages) > 0 {
					old := w.messages[rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")]
					w.hosts[old.to].ledger.Merge(w.now, old.cases)
				}
			},
			"server considered terminated answers": func(t *rapid.T) {
				h := w.hosts[host("answered at")]
				h.ledger.Blame(w.now, incarnationOf("cut off"), blameFor(deadlyPath, w.now))
				w.advance(time.Second)
				w.hosts[host("answered at")].ledger.NoteAlive(incarnationOf("cut off"), AliveSpan{To: w.now})
			},
			"bystander request": func(t *rapid.T) {
				w.sendBystander(w.hosts[host("in flight at")], w.hosts[host("answered at")], fmt.Sprint("/", rapid.IntRange(0, 3).Draw(t, "path")))
			},
			"": func(t *rapid.T) {
				if w.lateCopies > quarantineThreshold {
					t.Fatalf("%d copies sent by hosts that had to know the request; %d servers terminated", w.lateCopies, len(w.terminations))
				}
				for _, h := range w.hosts {
					if len(h.ledger.cases) > maxCases {
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
				l.Clear(now, fingerprintOf(path))
				continue
			case 1:
				l.NoteAlive(fleet.Incarnation{ID: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "alive"))}, AliveSpan{To: now})
				continue
			}
			server := rapid.IntRange(0, 9).Draw(t, "server")
			if _, known := endedAt[server]; !known {
				endedAt[server] = now
			}
			l.Blame(now, fleet.Incarnation{ID: fmt.Sprint(server)}, blameFor(path, endedAt[server]))
		}
		for range 2 { // a message and the response to it
			for i := range ledgers {
				cases, _ := ledgers[i].ChangesSince(now, 0, maxCases, ToCollector)
				ledgers[1-i].Merge(now, cases)
			}
		}
		for _, path := range paths {
			one, other := ledgers[0].Judge(now, fingerprintOf(path)), ledgers[1].Judge(now, fingerprintOf(path))
			assert.DeepEqual(t, one, other)
		}
	})
}
