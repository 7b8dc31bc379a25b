package poison

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// fingerprintOf returns the fingerprint of a request with the given path.
func fingerprintOf(path string) Fingerprint {
	return Identity{Method: "GET", Host: "site.example", Target: path}.Fingerprint()
}

func incarnationOf(id string) fleet.Incarnation { return fleet.Incarnation{ID: id, Start: 1} }

const address = "10.0.0.1:80"

func TestFingerprintDependsOnAllFields(t *testing.T) {
	same := Identity{Method: "POST", Host: "site.example", Target: "/a?x=1", Caller: "someone", Body: []byte("body"), Length: 4}
	assert.Equal(t, same.Fingerprint(), same.Fingerprint())
	for what, change := range map[string]func(*Identity){
		"method":                    func(i *Identity) { i.Method = "PUT" },
		"host":                      func(i *Identity) { i.Host = "other.example" },
		"query":                     func(i *Identity) { i.Target = "/a?x=2" },
		"caller":                    func(i *Identity) { i.Caller = "another" },
		"body":                      func(i *Identity) { i.Body = []byte("bodY") },
		"length of a longer body":   func(i *Identity) { i.Length = 5 },
		"where one part ends":       func(i *Identity) { i.Host, i.Target = "site.example/a", "?x=1" },
		"where the caller's begins": func(i *Identity) { i.Target, i.Caller = "/a?x=1some", "one" },
	} {
		other := same
		change(&other)
		assert.Assert(t, other.Fingerprint() != same.Fingerprint(), what)
	}
}

func TestFingerprintAsText(t *testing.T) {
	want := fingerprintOf("/a")
	text, err := want.MarshalText()
	assert.NilError(t, err)
	var got Fingerprint
	assert.NilError(t, got.UnmarshalText(text))
	assert.Equal(t, got, want)
	assert.ErrorContains(t, got.UnmarshalText([]byte("ab")), "must be 32 hexadecimal digits")
	assert.ErrorContains(t, got.UnmarshalText([]byte("zz345678901234567890123456789012")), "fingerprint")
}

// A broken connection proves nothing by itself. The termination of the server does, whether it is
// proven before or after the request is found to be unanswered.
func TestTrackerBlamesUnansweredRequests(t *testing.T) {
	var w UnansweredTracker
	assert.Assert(t, !w.NoteUnanswered(0, incarnationOf("s"), address, fingerprintOf("/a")))
	assert.Assert(t, !w.NoteUnanswered(0, incarnationOf("s"), address, fingerprintOf("/a")))
	assert.Assert(t, !w.NoteUnanswered(0, incarnationOf("other"), address, fingerprintOf("/b")))
	assert.DeepEqual(t, w.NoteTerminated(time.Millisecond, incarnationOf("s")), []Blame{{Request: fingerprintOf("/a")}})
	assert.Equal(t, len(w.NoteTerminated(time.Millisecond, incarnationOf("s"))), 0, "blamed twice")
	assert.Assert(t, w.NoteUnanswered(2*time.Millisecond, incarnationOf("s"), address, fingerprintOf("/c")), "the server is already known to have terminated")
}

// A server that answers a later call has not terminated. Connections break and requests time out at
// live servers too.
func TestTrackerDoesNotBlameRequestsAtLiveServers(t *testing.T) {
	var w UnansweredTracker
	w.NoteUnanswered(10, incarnationOf("s"), address, fingerprintOf("/before"))
	w.NoteAlive(incarnationOf("s"), AliveSpan{To: 20})
	w.NoteUnanswered(30, incarnationOf("s"), address, fingerprintOf("/after"))
	assert.DeepEqual(t, w.NoteTerminated(40, incarnationOf("s")), []Blame{{Request: fingerprintOf("/after"), At: 30}})
	w.NoteAlive(incarnationOf("s"), AliveSpan{To: 35}) // the call began before the termination
	assert.Assert(t, w.NoteUnanswered(45, incarnationOf("s"), address, fingerprintOf("/later")))
	w.NoteAlive(incarnationOf("s"), AliveSpan{To: 50})
	assert.Assert(t, !w.NoteUnanswered(55, incarnationOf("s"), address, fingerprintOf("/later")), "the server had not terminated")
}

// Guards against forgetting a termination when the next process answers under the same ID before
// its start is registered. The answer was taken as a sign that the first process had never
// terminated: 9 servers terminated, but hosts counted only 4.
func TestWitnessIsNotMisledByTheNextProcess(t *testing.T) {
	var w UnansweredTracker
	w.NoteUnanswered(10, incarnationOf("s"), address, fingerprintOf("/a"))
	w.NoteAlive(incarnationOf("s"), AliveSpan{From: 11, To: 20}) // on a connection opened after the request
	assert.DeepEqual(t, w.NoteTerminated(30, incarnationOf("s")), []Blame{{Request: fingerprintOf("/a"), At: 10}})
	w.NoteUnanswered(40, incarnationOf("t"), address, fingerprintOf("/a"))
	w.NoteAlive(incarnationOf("t"), AliveSpan{From: 9, To: 50}) // on a connection opened before the request
	assert.Equal(t, len(w.NoteTerminated(60, incarnationOf("t"))), 0)
}

// Requests that went unanswered long before a server's termination are not blamed for it.
func TestTrackerIgnoresOldRequests(t *testing.T) {
	var w UnansweredTracker
	w.NoteUnanswered(0, incarnationOf("s"), address, fingerprintOf("/old"))
	w.NoteUnanswered(blameWindow, incarnationOf("s"), address, fingerprintOf("/new"))
	assert.DeepEqual(t, w.NoteTerminated(blameWindow+1, incarnationOf("s")), []Blame{{Request: fingerprintOf("/new"), At: blameWindow}})
}

// A server that terminated without notice is detected when another incarnation takes its address or
// ID.
func TestTrackerDetectsReplacedServers(t *testing.T) {
	var w UnansweredTracker
	w.NoteUnanswered(0, incarnationOf("s"), address, fingerprintOf("/a"))
	w.NoteUnanswered(0, incarnationOf("t"), "10.0.0.2:80", fingerprintOf("/a"))
	w.NoteUnanswered(0, incarnationOf("u"), "10.0.0.3:80", fingerprintOf("/a"))
	later := fleet.Incarnation{ID: "u", Start: 2}
	present := map[string]fleet.Incarnation{"new": incarnationOf("new"), "t": incarnationOf("t"), "u": later}
	at := map[string]fleet.Incarnation{address: incarnationOf("new"), "10.0.0.2:80": incarnationOf("t")}
	replaced := w.ReplacedServers(present, at)
	slices.SortFunc(replaced, func(a, b fleet.Incarnation) int { return int(a.ID[0]) - int(b.ID[0]) })
	assert.DeepEqual(t, replaced, []fleet.Incarnation{incarnationOf("s"), incarnationOf("u")})
}

// Callers choose what they send, so the stored state must be bounded.
func TestTrackerIsBounded(t *testing.T) {
	var w UnansweredTracker
	for i := range 3 * maxServers {
		for j := range 2 * maxUnansweredPerServer {
			w.NoteUnanswered(0, fleet.Incarnation{ID: "s", Start: int64(i)}, address, Fingerprint{byte(j)})
		}
	}
	assert.Equal(t, len(w.servers), maxServers)
	assert.Equal(t, len(w.NoteTerminated(1, fleet.Incarnation{ID: "s", Start: 0})), maxUnansweredPerServer)
	w.NoteUnanswered(2*blameWindow, incarnationOf("later"), address, fingerprintOf("/a"))
	assert.Equal(t, len(w.servers), 1, "expired servers make room for new ones")
}
