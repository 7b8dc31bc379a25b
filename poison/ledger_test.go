package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// ended returns a blame of a request at a time.
func ended(path string, at time.Duration) Blame { return Blame{Request: mark(path), At: at} }

// server returns the one that ended as the n-th under a request; each test has its own.
func server(path string, n int) fleet.Incarnation { return run(fmt.Sprintf("%s-%d", path, n)) }

// blameTimes has servers end under a request, one a second.
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
		assert.Equal(t, got.Verdict, want, "%d ends", ends)
		assert.Equal(t, got.Ends, ends)
		assert.Equal(t, l.Judge(last, mark("/b")).Verdict, Unsuspected, "another request")
	}
}

// Two hosts had a copy under way at one server: one server ended.
func TestOneServerCountsOnce(t *testing.T) {
	var l Ledger
	for i := range 5 {
		at := time.Duration(i) * time.Second
		assert.Equal(t, l.Blame(at, run("s"), ended("/a", at)), i == 0)
	}
	assert.Equal(t, l.Judge(5*time.Second, mark("/a")).Ends, 1)
	l.Blame(5*time.Second, fleet.Incarnation{ID: "s", Start: 2}, ended("/a", 5*time.Second))
	assert.Equal(t, l.Judge(5*time.Second, mark("/a")).Ends, 2, "the same server, started again")
}

// A whole answer shows that a request does not end the servers that run it, however
// many ended while it was under way before.
func TestWholeAnswerAcquits(t *testing.T) {
	var l Ledger
	last := blameTimes(&l, "/a", 4, 0)
	assert.Assert(t, l.Acquit(last+time.Second, mark("/a")))
	assert.Equal(t, l.Judge(last+time.Second, mark("/a")).Verdict, Unsuspected)
	assert.Assert(t, !l.Acquit(last+2*time.Second, mark("/a")), "nothing was held against it")
	l.Blame(last+3*time.Second, run("late"), ended("/a", last))
	assert.Equal(t, l.Judge(last+3*time.Second, mark("/a")).Ends, 0, "it ended before the acquittal")
	blameTimes(&l, "/a", 3, last+4*time.Second)
	assert.Equal(t, l.Judge(last+7*time.Second, mark("/a")).Verdict, Quarantined, "ends after the acquittal count")
}

// A cut that refuses connections looks as if servers had ended. Once one of them answers
// any host, its end is withdrawn everywhere, and those who have not heard of that can't
// bring it back.
func TestEndOfServerThatAnswersIsWithdrawn(t *testing.T) {
	var cut, whole Ledger
	last := blameTimes(&cut, "/a", 3, 0)
	told, _ := cut.Tell(last, 0, 10, Everyone)
	whole.Take(last, told)
	assert.Equal(t, len(whole.Alive(server("/a", 1), Lived{To: time.Second})), 0, "the call began before the end")
	assert.DeepEqual(t, whole.Alive(server("/a", 1), Lived{To: last + 1}), []Fingerprint{mark("/a")})
	assert.Equal(t, whole.Judge(last, mark("/a")).Verdict, Suspected)
	assert.Equal(t, len(whole.Take(last, told)), 0, "stale news")
	assert.Equal(t, whole.Judge(last, mark("/a")).Verdict, Suspected)
	news, _ := whole.Tell(last, 0, 10, Everyone)
	cut.Take(last, news)
	assert.Equal(t, cut.Judge(last, mark("/a")).Verdict, Suspected)
	var late Ledger
	late.Take(last, news)
	assert.Equal(t, late.Judge(last, mark("/a")).Ends, 2, "heard of both at once")
}

// A quarantine ends by itself; the first copy after it costs one server if nothing has
// changed, and the next quarantine is longer.
func TestQuarantineEndsAndGrows(t *testing.T) {
	var l Ledger
	last := blameTimes(&l, "/a", provenAfter, 0)
	for trial, length := range terms {
		judged := l.Judge(last+length-1, mark("/a"))
		assert.Equal(t, judged.Verdict, Quarantined, "trial %d", trial)
		assert.Equal(t, judged.Until, last+length)
		assert.Equal(t, l.Judge(last+length, mark("/a")).Verdict, Suspected, "trial %d", trial)
		last += length
		l.Blame(last, run(fmt.Sprint("trial", trial)), ended("/a", last))
	}
}

// Of a request that goes on ending servers after many have been counted, the latest
// count: else its quarantine would never begin again.
func TestLatestEndsCount(t *testing.T) {
	var l Ledger
	last := blameTimes(&l, "/a", 3*endsKept, 0)
	assert.Equal(t, l.Judge(last, mark("/a")).Ends, endsKept)
	assert.Equal(t, l.Judge(last, mark("/a")).LastEnd, last)
	assert.Assert(t, !l.Blame(last, run("early"), ended("/a", 0)), "an end before all that are kept")
}

// Callers choose what they send. Thousands of requests that were once under way at a
// server that ended don't push out one that is proven.
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
	assert.Assert(t, len(l.cases) <= forgottenAtOnce+1, "what is too old to count is forgotten")
}

// Each of three hosts saw one server end. None of them can know more by itself; the
// one that collects does, and tells everyone, also those that start later.
func TestHostsPutTogetherWhatTheySaw(t *testing.T) {
	var collector, late Ledger
	hosts := make([]Ledger, 3)
	now := time.Minute
	for i := range hosts {
		hosts[i].Blame(now, run(fmt.Sprint("s", i)), ended("/a", now))
		told, _ := hosts[i].Tell(now, 0, 10, Collector)
		collector.Take(now, told)
	}
	told, upTo := collector.Tell(now, 0, 10, Everyone)
	assert.Equal(t, len(told), 1)
	for i := range hosts {
		assert.Equal(t, hosts[i].Judge(now, mark("/a")).Verdict, Unsuspected)
		hosts[i].Take(now, told)
		assert.Equal(t, hosts[i].Judge(now, mark("/a")).Verdict, Quarantined)
	}
	again, _ := collector.Tell(now, upTo, 10, Everyone)
	assert.Equal(t, len(again), 0, "told twice")

	// One that starts later, and whose clock reads something else, knows as much.
	told, _ = collector.Tell(now+time.Second, 0, 10, Everyone)
	late.Take(time.Millisecond, told)
	assert.Equal(t, late.Judge(time.Millisecond, mark("/a")).Verdict, Quarantined)
	assert.Equal(t, late.Judge(time.Millisecond, mark("/a")).LastEnd, time.Millisecond-time.Second)
}

// A server that ends has a dozen requests under way. That each was there once is no
// news to anyone but the collector, and nothing is told on a calm day.
func TestSingleEndsAreNotTold(t *testing.T) {
	var l Ledger
	told, _ := l.Tell(0, 0, 10, Collector)
	assert.Equal(t, len(told), 0)
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

// One host's answer acquits at all hosts; the news of the ends, told once more, does
// not bring them back.
func TestAcquittalIsTold(t *testing.T) {
	var collector, other Ledger
	blameTimes(&collector, "/a", 3, 0)
	stale, upTo := collector.Tell(3*time.Second, 0, 10, Everyone)
	other.Take(3*time.Second, stale)
	assert.Assert(t, collector.Acquit(4*time.Second, mark("/a")))
	news, _ := collector.Tell(5*time.Second, upTo, 10, Everyone)
	assert.Equal(t, len(other.Take(5*time.Second, news)), 1)
	assert.Equal(t, other.Judge(5*time.Second, mark("/a")).Verdict, Unsuspected)
	assert.Equal(t, len(other.Take(3*time.Second, stale)), 0, "stale news")
	assert.Equal(t, other.Judge(5*time.Second, mark("/a")).Verdict, Unsuspected)
	var unaware Ledger
	assert.Equal(t, len(unaware.Take(5*time.Second, news)), 0)
	assert.Equal(t, len(unaware.cases), 0, "the acquittal of what is not held takes no room")
}

// Ages are taken when a message leaves, and a moment is a little later where it arrives.
// Two ledgers told each other of one acquittal again and again, each time as of a moment
// later by the way of the message, for as long as they ran.
func TestNewsComesToAnEnd(t *testing.T) {
	var ledgers [2]Ledger
	now := blameTimes(&ledgers[0], "/a", 3, time.Second)
	var heard [2]uint64 // by the other
	exchange := func(from int) int {
		told, upTo := ledgers[from].Tell(now, heard[from], 10, Collector)
		heard[from] = upTo
		now += 5 * time.Millisecond // the way of the message
		ledgers[1-from].Take(now, told)
		return len(told)
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

// An operator's word holds against ends that a host tells of only later.
func TestReleaseHoldsForWhatIsHeardOfLater(t *testing.T) {
	var host, collector Ledger
	last := blameTimes(&host, "/a", 3, 0)
	released, now := last+time.Second, last+time.Minute
	assert.Assert(t, collector.Release(now, released, mark("/a")))
	told, _ := host.Tell(now, 0, 10, Collector)
	collector.Take(now, told)
	assert.Equal(t, collector.Judge(now, mark("/a")).Ends, 0)
	assert.Assert(t, !collector.Release(now, released, mark("/a")), "heard before")
}

func TestAnsweredRemembersForAWhile(t *testing.T) {
	var a Answered
	a.Note(time.Second, mark("/a"))
	assert.Assert(t, a.Lately(time.Second+answeredTurn, mark("/a")))
	assert.Assert(t, !a.Lately(time.Second, mark("/b")))
	assert.Assert(t, !a.Lately(time.Second+2*answeredTurn+1, mark("/a")))
	var asked Answered
	asked.Note(time.Second, mark("/a"))
	assert.Assert(t, !asked.Lately(time.Hour, mark("/a")), "nothing came in between")
	for i := range 5 * mostAnswered {
		a.Note(time.Minute, mark(fmt.Sprint("/", i)))
	}
	assert.Assert(t, len(a.current)+len(a.earlier) <= 2*mostAnswered)
	assert.Assert(t, a.Lately(time.Minute, mark(fmt.Sprint("/", 5*mostAnswered-1))))
}

// What remembering an answered request costs.
func BenchmarkAnswered(b *testing.B) {
	var a Answered
	for i := range b.N {
		request := Identity{Method: "GET", Host: "site.example", Target: fmt.Sprint("/defects/", i%10000)}
		a.Note(time.Duration(i)*time.Millisecond, request.Fingerprint())
	}
}
