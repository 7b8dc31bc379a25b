package keyspace

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// entryExpiry is the time without heartbeats after which a server's entry is gone: three
// heartbeats of 0.87 s.
const entryExpiry = 2600 * time.Millisecond

// timeWithoutOwner returns for how long from now on key 0 has no owner that runs requests.
func timeWithoutOwner(b *harness, runsAt func(owner string, held bool) bool) time.Duration {
	var without time.Duration
	for end := b.now + 20*time.Second; b.now < end; {
		b.run(b.now + tick)
		if !runsAt(b.owner()) {
			without += tick
		}
	}
	return without
}

// losses are the ways in which server a, which owns key 0, stops running requests.
var losses = []struct {
	cause string
	worst time.Duration
	play  func(b *harness) time.Duration
}{
	{"planned move", 200 * time.Millisecond, func(b *harness) time.Duration {
		b.servers[0].Leaving = true
		return timeWithoutOwner(b, func(_ string, held bool) bool { return held })
	}},
	{"server lost, another answers at its address", entryExpiry + 300*time.Millisecond, func(b *harness) time.Duration {
		return lost(b, func() { b.m.IncarnationEnded(fleet.Incarnation{ID: "a"}) })
	}},
	{"server lost, another answers before its entry expires", 2*time.Second + 300*time.Millisecond, func(b *harness) time.Duration {
		proofAt := b.now + 2*time.Second
		return lost(b, func() {}, func() {
			if b.now >= proofAt {
				b.m.IncarnationEnded(fleet.Incarnation{ID: "a"})
			}
		})
	}},
	{"server unresponsive", renewInterval + leaseExpiry(0) + 2*tick, func(b *harness) time.Duration {
		return lost(b, func() {})
	}},
	{"server cut off from the registry only", 200 * time.Millisecond, func(b *harness) time.Duration {
		b.servers = b.servers[1:]
		return timeWithoutOwner(b, func(_ string, held bool) bool { return held })
	}},
	{"failure domain cut off for 3.5 s", 3700 * time.Millisecond, func(b *harness) time.Duration {
		registered := b.servers
		back := b.now + 3500*time.Millisecond
		b.loseA()
		b.servers = registered
		gone := b.now + entryExpiry
		return timeWithoutOwner(b, func(owner string, held bool) bool {
			switch {
			case b.now >= back+entryExpiry/3:
				b.servers, b.answer = registered, nil
			case b.now >= gone:
				b.servers = registered[1:]
			}
			return held && (owner == "b" || b.now >= back)
		})
	}},
}

// lost makes a unresponsive. When its entry expires, the entry goes and proof is called.
func lost(b *harness, proof func(), always ...func()) time.Duration {
	registered := b.servers
	b.loseA()
	gone := b.now + entryExpiry
	unregistered := b.servers
	b.servers = registered
	return timeWithoutOwner(b, func(owner string, held bool) bool {
		for _, do := range always {
			do()
		}
		if b.now >= gone {
			b.servers = unregistered
			proof()
		}
		return held && owner == "b"
	})
}

// Bounds the time that keys have no owner, by cause of the loss, over all times of the loss
// between two renewals.
func TestTimeWithoutAnOwner(t *testing.T) {
	for _, loss := range losses {
		var times []time.Duration
		for phase := time.Duration(0); phase < renewInterval; phase += tick {
			b := newHarness(t, New(twoServers(), 0, 0), 0)
			b.run(10*time.Second + phase)
			times = append(times, loss.play(b))
		}
		slices.Sort(times)
		median, worst := times[len(times)/2], times[len(times)-1]
		t.Logf("%-45s median %v, worst %v", loss.cause, median, worst)
		assert.Assert(t, worst <= loss.worst, "%s: %v", loss.cause, worst)
	}
}
