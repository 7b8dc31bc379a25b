package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// ended returns the blame of a request at a time.
func ended(path string, at time.Duration) Blame { return Blame{Request: mark(path), At: at} }

// server returns the n-th server that terminated during a request. Each request has its own
// servers.
func server(path string, n int) fleet.Incarnation { return run(fmt.Sprintf("%s-%d", path, n)) }

// blameTimes records terminations during a request, one per second, and returns the time of the
// last one.
func blameTimes(l *Ledger, path string, count int, from time.Duration) time.Duration {
	at := from
	for i := range count {
		at = from + time.Duration(i)*time.Second
		l.Blame(at, server(path, i), ended(path, at))
	}
	return at
}

func TestVerdictFollowsTheServersThatEnded(t *testing.T) {
	for ends, want := range []Verdict{Unsuspected, Unsuspected, Suspected, Quarantined, Quarantined} {
		var l Ledger
		last := blameTimes(&l, "/a", ends, time.Second)
		got := l.Judge(last, mark("/a"))
		assert.Equal(t, got.Verdict, want, "%d terminations", ends)
		assert.Equal(t, got.Ends, ends)
		assert.Equal(t, l.Judge(last, mark("/b")).Verdict, Unsuspected, "another request")
	}
}

// The termination of one server during several copies of a request counts once.
func TestOneServerCountsOnce(t *testing.T) {
	var l Ledger
	for i := range 5 {
		at := time.Duration(i) * time.Second
		assert.Equal(t, l.Blame(at, run("s"), ended("/a", at)), i == 0)
	}
	assert.Equal(t, l.Judge(5*time.Second, mark("/a")).Ends, 1)
	l.Blame(5*time.Second, fleet.Incarnation{ID: "s", Start: 2}, ended("/a", 5*time.Second))
	assert.Equal(t, l.Judge(5*time.Second, mark("/a")).Ends, 2, "the same server after a restart")
}

// A complete answer shows that a request does not terminate the servers that run it, however many
// terminated while it was in flight before.
func TestWholeAnswerAcquits(t *testing.T) {
	var l Ledger
	last := blameTimes(&l, "/a", 4, 0)
	assert.Assert(t, l.Acquit(last+time.Second, mark("/a")))
	assert.Equal(t, l.Judge(last+time.Second, mark("/a")).Verdict, Unsuspected)
	assert.Assert(t, !l.Acquit(last+2*time.Second, mark("/a")), "no terminations were recorded")
	l.Blame(last+3*time.Second, run("late"), ended("/a", last))
	assert.Equal(t, l.Judge(last+3*time.Second, mark("/a")).Ends, 0, "the termination was before the clearance")
	blameTimes(&l, "/a", 3, last+4*time.Second)
	assert.Equal(t, l.Judge(last+7*time.Second, mark("/a")).Verdict, Quarantined, "terminations after the clearance count")
}

// A network failure that refuses connections looks as if servers had terminated. Once one of them
// answers any host, its termination is withdrawn everywhere, and hosts that have not learned of
// that can't add it again.
func TestEndOfServerThatAnswersIsWithdrawn(t *testing.T) {
	var cut, whole Ledger
	last := blameTimes(&cut, "/a", 3, 0)
	cases, _ := cut.Tell(last, 0, 10, Everyone)
	whole.Take(last, cases)
	assert.Equal(t, len(whole.Alive(server("/a", 1), Lived{To: time.Second})), 0, "the call began before the termination")
	assert.DeepEqual(t, whole.Alive(server("/a", 1), Lived{To: last + 1}), []Fingerprint{mark("/a")})
	assert.Equal(t, whole.Judge(last, mark("/a")).Verdict, Suspected)
	assert.Equal(t, len(whole.Take(last, cases)), 0, "outdated cases")
	assert.Equal(t, whole.Judge(last, mark("/a")).Verdict, Suspected)
	update, _ := whole.Tell(last, 0, 10, Everyone)
	cut.Take(last, update)
	assert.Equal(t, cut.Judge(last, mark("/a")).Verdict, Suspected)
	var late Ledger
	late.Take(last, update)
	assert.Equal(t, late.Judge(last, mark("/a")).Ends, 2, "received both at once")
}

// A quarantine ends by itself. If the request still terminates servers, the first copy afterwards
// costs one server, and the next quarantine is longer.
func TestQuarantineEndsAndGrows(t *testing.T) {
	var l Ledger
	last := blameTimes(&l, "/a", provenAfter, 0)
	for trial, duration := range terms {
		judgement := l.Judge(last+duration-1, mark("/a"))
		assert.Equal(t, judgement.Verdict, Quarantined, "trial %d", trial)
		assert.Equal(t, judgement.Until, last+duration)
		assert.Equal(t, l.Judge(last+duration, mark("/a")).Verdict, Suspected, "trial %d", trial)
		last += duration
		l.Blame(last, run(fmt.Sprint("trial", trial)), ended("/a", last))
	}
}

// If a request keeps terminating servers beyond the number that is stored, the latest terminations
// are kept: otherwise its quarantine would never start again.
func TestLatestEndsCount(t *testing.T) {
	var l Ledger
	last := blameTimes(&l, "/a", 3*endsKept, 0)
	assert.Equal(t, l.Judge(last, mark("/a")).Ends, endsKept)
	assert.Equal(t, l.Judge(last, mark("/a")).LastEnd, last)
	assert.Assert(t, !l.Blame(last, run("early"), ended("/a", 0)), "a termination before all stored ones")
}

// Callers choose what they send. Thousands of requests that once were in flight at a terminated
// server do not evict a quarantined one.
func TestLedgerIsBoundedAndKeepsWhatIsProven(t *testing.T) {
	var l Ledger
	blameTimes(&l, "/deadly", provenAfter, 0)
	for i := range 3 * mostCases {
		at := time.Minute + time.Duration(i)
		l.Blame(at, run("s"), ended(fmt.Sprint("/", i), at))
	}
	assert.Assert(t, len(l.cases) <= mostCases && len(l.cases) >= mostCases-forgottenAtOnce, "%d cases", len(l.cases))
	assert.Equal(t, l.Judge(time.Minute, mark("/deadly")).Verdict, Quarantined)
	later := 2*time.Minute + EndKept
	for i := range forgottenAtOnce + 1 {
		l.Blame(later, run("s"), ended(fmt.Sprint("/later", i), later))
	}
	assert.Assert(t, len(l.cases) <= forgottenAtOnce+1, "expired cases are removed")
}

// Each of three hosts observed one termination, from which none of them can detect the request by
// itself. The collector merges their observations and informs all hosts, also those that start
// later.
func TestHostsPutTogetherWhatTheySaw(t *testing.T) {
	var collector, late Ledger
	hosts := make([]Ledger, 3)
	now := time.Minute
	for i := range hosts {
		hosts[i].Blame(now, run(fmt.Sprint("s", i)), ended("/a", now))
		cases, _ := hosts[i].Tell(now, 0, 10, Collector)
		collector.Take(now, cases)
	}
	cases, upTo := collector.Tell(now, 0, 10, Everyone)
	assert.Equal(t, len(cases), 1)
	for i := range hosts {
		assert.Equal(t, hosts[i].Judge(now, mark("/a")).Verdict, Unsuspected)
		hosts[i].Take(now, cases)
		assert.Equal(t, hosts[i].Judge(now, mark("/a")).Verdict, Quarantined)
	}
	again, _ := collector.Tell(now, upTo, 10, Everyone)
	assert.Equal(t, len(again), 0, "sent twice")

	// A host that starts later and whose clock differs reaches the same verdict.
	cases, _ = collector.Tell(now+time.Second, 0, 10, Everyone)
	late.Take(time.Millisecond, cases)
	assert.Equal(t, late.Judge(time.Millisecond, mark("/a")).Verdict, Quarantined)
	assert.Equal(t, late.Judge(time.Millisecond, mark("/a")).LastEnd, time.Millisecond-time.Second)
}

// A dozen requests are in flight at a server that terminates. Single terminations are sent to the
// collector only, and without terminations nothing is sent.
func TestSingleEndsAreNotTold(t *testing.T) {
	var l Ledger
	cases, _ := l.Tell(0, 0, 10, Collector)
	assert.Equal(t, len(cases), 0)
	for i := range 12 {
		l.Blame(0, run("s"), ended(fmt.Sprint("/", i), 0))
	}
	toAll, _ := l.Tell(0, 0, 20, Everyone)
	assert.Equal(t, len(toAll), 0)
	toCollector, upTo := l.Tell(0, 0, 10, Collector)
	assert.Equal(t, len(toCollector), 10)
	rest, _ := l.Tell(0, upTo, 10, Collector)
	assert.Equal(t, len(rest), 2, "what did not fit into the first message")
}

// A complete answer at one host clears the request at all hosts, and receiving the terminations
// again does not restore them.
func TestAcquittalIsTold(t *testing.T) {
	var collector, other Ledger
	blameTimes(&collector, "/a", 3, 0)
	outdated, upTo := collector.Tell(3*time.Second, 0, 10, Everyone)
	other.Take(3*time.Second, outdated)
	assert.Assert(t, collector.Acquit(4*time.Second, mark("/a")))
	update, _ := collector.Tell(5*time.Second, upTo, 10, Everyone)
	assert.Equal(t, len(other.Take(5*time.Second, update)), 1)
	assert.Equal(t, other.Judge(5*time.Second, mark("/a")).Verdict, Unsuspected)
	assert.Equal(t, len(other.Take(3*time.Second, outdated)), 0, "outdated cases")
	assert.Equal(t, other.Judge(5*time.Second, mark("/a")).Verdict, Unsuspected)
	var unaware Ledger
	assert.Equal(t, len(unaware.Take(5*time.Second, update)), 0)
	assert.Equal(t, len(unaware.cases), 0, "a clearance without a case is not stored")
}

// Guards against two ledgers that send each other the same clearance forever. A message contains
// ages as of its departure, so its times are later by the transmission time where it arrives, and
// each ledger took the later time for a change.
func TestNewsComesToAnEnd(t *testing.T) {
	var ledgers [2]Ledger
	now := blameTimes(&ledgers[0], "/a", 3, time.Second)
	var received [2]uint64 // last change that the other ledger has received
	exchange := func(from int) int {
		cases, upTo := ledgers[from].Tell(now, received[from], 10, Collector)
		received[from] = upTo
		now += 5 * time.Millisecond // transmission time
		ledgers[1-from].Take(now, cases)
		return len(cases)
	}
	exchange(0)
	assert.Assert(t, ledgers[1].Acquit(now, mark("/a")))
	for range 4 {
		exchange(1)
		exchange(0)
	}
	assert.Equal(t, exchange(0)+exchange(1), 0)
	assert.Equal(t, ledgers[0].Judge(now, mark("/a")).Ends, 0)
}

// A release by an operator also applies to terminations that a host reports later.
func TestReleaseHoldsForWhatIsHeardOfLater(t *testing.T) {
	var host, collector Ledger
	last := blameTimes(&host, "/a", 3, 0)
	released, now := last+time.Second, last+time.Minute
	assert.Assert(t, collector.Release(now, released, mark("/a")))
	cases, _ := host.Tell(now, 0, 10, Collector)
	collector.Take(now, cases)
	assert.Equal(t, collector.Judge(now, mark("/a")).Ends, 0)
	assert.Assert(t, !collector.Release(now, released, mark("/a")), "already released")
}

func TestAnsweredRemembersForAWhile(t *testing.T) {
	var a Answered
	a.Note(time.Second, mark("/a"))
	assert.Assert(t, a.Lately(time.Second+answeredTurn, mark("/a")))
	assert.Assert(t, !a.Lately(time.Second, mark("/b")))
	assert.Assert(t, !a.Lately(time.Second+2*answeredTurn+1, mark("/a")))
	var idle Answered
	idle.Note(time.Second, mark("/a"))
	assert.Assert(t, !idle.Lately(time.Hour, mark("/a")), "no request was recorded in between")
	for i := range 5 * mostAnswered {
		a.Note(time.Minute, mark(fmt.Sprint("/", i)))
	}
	assert.Assert(t, len(a.current)+len(a.earlier) <= 2*mostAnswered)
	assert.Assert(t, a.Lately(time.Minute, mark(fmt.Sprint("/", 5*mostAnswered-1))))
}

// BenchmarkAnswered measures the cost of recording an answered request, including its fingerprint.
func BenchmarkAnswered(b *testing.B) {
	var a Answered
	for i := range b.N {
		request := Identity{Method: "GET", Host: "site.example", Target: fmt.Sprint("/defects/", i%10000)}
		a.Note(time.Duration(i)*time.Millisecond, request.Fingerprint())
	}
}
