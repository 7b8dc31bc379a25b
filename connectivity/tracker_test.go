package connectivity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const knownServers = 10

func serverName(n int) string { return fmt.Sprintf("s%d", n) }

// What is, and what is not, evidence against the host's own links.
func TestProbeIsDue(t *testing.T) {
	now := 10 * time.Second
	for _, c := range []struct {
		name    string
		happens func(*Tracker)
		servers int
		due     bool
	}{
		{"nothing happened", func(*Tracker) {}, knownServers, false},
		{"one server accepts no connection", func(tr *Tracker) {
			tr.ConnectFailed(now, "a")
			tr.ConnectFailed(now, "a")
		}, knownServers, false},
		{"two servers accept no connection", func(tr *Tracker) {
			tr.ConnectFailed(now, "a")
			tr.ConnectFailed(now, "b")
		}, knownServers, true},
		{"another server accepts one in between", func(tr *Tracker) {
			tr.ConnectFailed(now-2*time.Millisecond, "a")
			tr.Connected(now - time.Millisecond)
			tr.ConnectFailed(now, "b")
		}, knownServers, false},
		{"another server has accepted one that was begun before", func(tr *Tracker) {
			tr.ConnectFailed(now, "a")
			tr.ConnectFailed(now, "b")
			tr.Connected(now - time.Millisecond)
		}, knownServers, true},
		{"the first failure is long ago", func(tr *Tracker) {
			tr.ConnectFailed(now-2*failureWindow, "a")
			tr.ConnectFailed(now, "b")
		}, knownServers, false},
		{"the only server accepts no connection", func(tr *Tracker) { tr.ConnectFailed(now, "a") }, 1, true},
		{"one server does not answer", func(tr *Tracker) {
			for range 5 {
				tr.Sent(now-time.Second, "a")
			}
		}, knownServers, false},
		{"three servers do not answer", func(tr *Tracker) {
			for _, server := range []string{"a", "b", "c"} {
				tr.Sent(now-silentServerAge, server)
			}
		}, knownServers, true},
		{"three servers do not answer, but a fourth does", func(tr *Tracker) {
			for _, server := range []string{"a", "b", "c", "d"} {
				tr.Sent(now-silentServerAge, server)
			}
			tr.Ended(now-SilenceThreshold/2, "d", true)
		}, knownServers, false},
		{"requests were sent only just now", func(tr *Tracker) {
			for _, server := range []string{"a", "b", "c"} {
				tr.Sent(now-silentServerAge/2, server)
			}
		}, knownServers, false},
		{"the requests have ended without answers", func(tr *Tracker) {
			for _, server := range []string{"a", "b", "c"} {
				tr.Sent(now-time.Second, server)
				tr.Ended(now, server, false)
			}
		}, knownServers, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			c.happens(tracker)
			_, due := tracker.ProbeDue(now, c.servers)
			assert.Equal(t, due, c.due)
		})
	}
}

func TestProbeResults(t *testing.T) {
	for _, c := range []struct {
		name             string
		lostBefore       bool
		accepted, failed int
		want             Result
	}{
		{"no server is known", false, 0, 0, StillUp},
		{"no server accepts", false, 0, 4, BecameLost},
		{"one of four accepts", false, 1, 3, StillUp},
		{"all accept", false, 4, 0, StillUp},
		{"still no server accepts", true, 0, 4, StillLost},
		{"one of four accepts by chance", true, 1, 3, StillLost},
		{"half accept", true, 2, 2, BecameRestored},
		{"no server is known while lost", true, 0, 0, StillLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			if c.lostBefore {
				tracker.Probed(time.Second, 0, 4)
			}
			assert.Equal(t, tracker.Probed(2*time.Second, c.accepted, c.failed), c.want)
			lost, _ := tracker.Lost()
			assert.Equal(t, lost, c.want == BecameLost || c.want == StillLost)
		})
	}
}

// Guards against finding lost links late because slow servers have led to a probe shortly before.
func TestSilenceDoesNotDelayProbeForFailures(t *testing.T) {
	tracker := NewTracker()
	now := 10 * time.Second
	for _, server := range []string{"a", "b", "c"} {
		tracker.Sent(now-silentServerAge, server)
	}
	_, due := tracker.ProbeDue(now, knownServers)
	assert.Assert(t, due)
	assert.Equal(t, tracker.Probed(now, 4, 0), StillUp)
	_, due = tracker.ProbeDue(now, knownServers)
	assert.Assert(t, !due, "the servers are slow")
	tracker.ConnectFailed(now, "a")
	tracker.ConnectFailed(now, "b")
	_, due = tracker.ProbeDue(now, knownServers)
	assert.Assert(t, due)
}

// Guards against taking four dead servers for lost links while other servers answer.
func TestProbeIsRepeatedWhileServersAnswer(t *testing.T) {
	tracker := NewTracker()
	now := 10 * time.Second
	tracker.Sent(now, "a")
	tracker.Ended(now, "a", true)
	assert.Equal(t, tracker.Probed(now, 0, 4), Inconclusive)
	assert.Equal(t, tracker.Probed(now, 1, 3), StillUp)
	assert.Equal(t, tracker.Probed(now, 0, 4), Inconclusive)
	assert.Equal(t, tracker.Probed(now, 0, 4), BecameLost)
}

// Guards against opening connections all the time where many servers are dead but the links work.
func TestRefutedProbesBecomeRare(t *testing.T) {
	tracker := NewTracker()
	probes := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		tracker.ConnectFailed(now, "a")
		tracker.ConnectFailed(now, "b")
		if _, due := tracker.ProbeDue(now, knownServers); due {
			probes++
			tracker.Probed(now, 2, 2)
		}
	}
	assert.Assert(t, probes <= 4+int(time.Minute/maxRefutedPause), "%d probes", probes)
}

// A host whose links work is not found cut off, and one that is cut off is found so, whatever its
// servers do. The network is the oracle: a server answers if it is up and the links work.
func TestTrackerFollowsTheLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now, cutSince := time.Duration(0), time.Duration(0)
		cut := false
		down := map[int]bool{}
		owed := map[int]int{}
		probe := func() {
			accepted, failed := 0, 0
			first := rapid.IntRange(0, knownServers-1).Draw(t, "first probed server")
			for i := range 4 {
				if n := (first + i) % knownServers; cut || down[n] {
					failed++
				} else {
					accepted++
				}
			}
			// At most three servers are down at a time, so that a probe of four reaches one.
			if tracker.Probed(now, accepted, failed) == Inconclusive {
				tracker.Probed(now, accepted, failed)
			}
			if accepted > 0 {
				tracker.Connected(now)
			}
		}
		attempt := func() {
			n := rapid.IntRange(0, knownServers-1).Draw(t, "server")
			switch {
			case rapid.Bool().Draw(t, "on a new connection") && (cut || down[n]):
				tracker.ConnectFailed(now, serverName(n))
			case cut || down[n]:
				tracker.Sent(now, serverName(n))
				owed[n]++
			default:
				tracker.Connected(now)
				tracker.Sent(now, serverName(n))
				tracker.Ended(now, serverName(n), true)
			}
			if _, due := tracker.ProbeDue(now, knownServers); due {
				probe()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) { attempt() },
			"cut":     func(*rapid.T) { cut, cutSince = true, now },
			"heal":    func(*rapid.T) { cut = false },
			"server down": func(t *rapid.T) {
				if len(down) < 3 {
					down[rapid.IntRange(0, knownServers-1).Draw(t, "server")] = true
				}
			},
			"servers up": func(*rapid.T) { clear(down) },
			"requests time out": func(*rapid.T) {
				for n, count := range owed {
					for range count {
						tracker.Ended(now, serverName(n), false)
					}
					delete(owed, n)
				}
			},
			"busy second": func(*rapid.T) {
				for range 100 {
					now += 10 * time.Millisecond
					attempt()
					if lost, _ := tracker.Lost(); lost && now%LostProbeInterval == 0 {
						probe()
					}
				}
				lost, _ := tracker.Lost()
				if cut && now-cutSince > time.Second+maxRefutedPause && !lost {
					t.Fatalf("the links have been cut for %v and nobody noticed", now-cutSince)
				}
				if !cut && lost {
					t.Fatal("the links work and are believed lost")
				}
			},
		})
	})
}
