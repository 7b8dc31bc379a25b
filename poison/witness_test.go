package poison

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// mark returns the fingerprint of a request with the given path.
func mark(path string) Fingerprint {
	return Identity{Method: "GET", Host: "site.example", Target: path}.Fingerprint()
}

func run(id string) fleet.Incarnation { return fleet.Incarnation{ID: id, Start: 1} }

const address = "10.0.0.1:80"

func TestFingerprintTellsPathCallerAndBodyApart(t *testing.T) {
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
	want := mark("/a")
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
func TestWitnessBlamesWhatWasUnderWay(t *testing.T) {
	var w Witness
	assert.Assert(t, !w.Unanswered(0, run("s"), address, mark("/a")))
	assert.Assert(t, !w.Unanswered(0, run("s"), address, mark("/a")))
	assert.Assert(t, !w.Unanswered(0, run("other"), address, mark("/b")))
	assert.DeepEqual(t, w.Ended(time.Millisecond, run("s")), []Blame{{Request: mark("/a")}})
	assert.Equal(t, len(w.Ended(time.Millisecond, run("s"))), 0, "blamed twice")
	assert.Assert(t, w.Unanswered(2*time.Millisecond, run("s"), address, mark("/c")), "the server is already known to have terminated")
}

// A server that answers a later call has not terminated. Connections break and requests time out at
// live servers too.
func TestWitnessAcquitsAtServersThatLive(t *testing.T) {
	var w Witness
	w.Unanswered(10, run("s"), address, mark("/before"))
	w.Alive(run("s"), Lived{To: 20})
	w.Unanswered(30, run("s"), address, mark("/after"))
	assert.DeepEqual(t, w.Ended(40, run("s")), []Blame{{Request: mark("/after"), At: 30}})
	w.Alive(run("s"), Lived{To: 35}) // the call began before the termination
	assert.Assert(t, w.Unanswered(45, run("s"), address, mark("/later")))
	w.Alive(run("s"), Lived{To: 50})
	assert.Assert(t, !w.Unanswered(55, run("s"), address, mark("/later")), "the server had not terminated")
}

// Guards against forgetting a termination when the next process answers under the same ID before
// its start is registered. The answer was taken as a sign that the first process had never
// terminated: 9 servers terminated, but hosts counted only 4.
func TestWitnessIsNotMisledByTheNextProcess(t *testing.T) {
	var w Witness
	w.Unanswered(10, run("s"), address, mark("/a"))
	w.Alive(run("s"), Lived{From: 11, To: 20}) // on a connection opened after the request
	assert.DeepEqual(t, w.Ended(30, run("s")), []Blame{{Request: mark("/a"), At: 10}})
	w.Unanswered(40, run("t"), address, mark("/a"))
	w.Alive(run("t"), Lived{From: 9, To: 50}) // on a connection opened before the request
	assert.Equal(t, len(w.Ended(60, run("t"))), 0)
}

// Requests that went unanswered long before a server's termination are not blamed for it.
func TestWitnessForgets(t *testing.T) {
	var w Witness
	w.Unanswered(0, run("s"), address, mark("/old"))
	w.Unanswered(proofWithin, run("s"), address, mark("/new"))
	assert.DeepEqual(t, w.Ended(proofWithin+1, run("s")), []Blame{{Request: mark("/new"), At: proofWithin}})
}

// A server that terminated without notice is detected when another incarnation takes its address or
// ID.
func TestWitnessSeesThatServersWereReplaced(t *testing.T) {
	var w Witness
	w.Unanswered(0, run("s"), address, mark("/a"))
	w.Unanswered(0, run("t"), "10.0.0.2:80", mark("/a"))
	w.Unanswered(0, run("u"), "10.0.0.3:80", mark("/a"))
	later := fleet.Incarnation{ID: "u", Start: 2}
	present := map[string]fleet.Incarnation{"new": run("new"), "t": run("t"), "u": later}
	at := map[string]fleet.Incarnation{address: run("new"), "10.0.0.2:80": run("t")}
	replaced := w.Replaced(present, at)
	slices.SortFunc(replaced, func(a, b fleet.Incarnation) int { return int(a.ID[0]) - int(b.ID[0]) })
	assert.DeepEqual(t, replaced, []fleet.Incarnation{run("s"), run("u")})
}

// Callers choose what they send, so the stored state must be bounded.
func TestWitnessIsBounded(t *testing.T) {
	var w Witness
	for i := range 3 * mostServers {
		for j := range 2 * mostAtServer {
			w.Unanswered(0, fleet.Incarnation{ID: "s", Start: int64(i)}, address, Fingerprint{byte(j)})
		}
	}
	assert.Equal(t, len(w.servers), mostServers)
	assert.Equal(t, len(w.Ended(1, fleet.Incarnation{ID: "s", Start: 0})), mostAtServer)
	w.Unanswered(2*proofWithin, run("later"), address, mark("/a"))
	assert.Equal(t, len(w.servers), 1, "expired servers make room for new ones")
}
