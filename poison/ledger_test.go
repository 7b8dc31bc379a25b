package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/fleet"
)

// blameFor returns the blame of a request at a time.
func blameFor(path string, at time.Duration) Blame {
	return Blame{Request: fingerprintOf(path), At: at}
}

// terminatedServer returns the n-th server that terminated during a request. Each request has its
// own servers.
func terminatedServer(path string, n int) fleet.Incarnation {
	return incarnationOf(fmt.Sprintf("%s-%d", path, n))
}

// addTerminations records terminations during a request, one per second, and returns the time of
// the last one.
func addTerminations(l *Ledger, path string, count int, from time.Duration) time.Duration {
	at := from
	for i := range count {
		at = from + time.Duration(i)*time.Second
		l.Blame(at, terminatedServer(path, i), blameFor(path, at))
	}
	return at
}

func TestVerdictDependsOnTerminations(t *testing.T) {
	for ends, want := range []Verdict{Unsuspected, Unsuspected, Suspected, Quarantined, Quarantined} {
		var l Ledger
		last := addTerminations(&l, "/a", ends, time.Second)
		got := l.Judge(last, fingerprintOf("/a"))
		assert.Equal(t, got.Verdict, want, "%d terminations", ends)
		assert.Equal(t, got.Terminations, ends)
		assert.Equal(t, l.Judge(last, fingerprintOf("/b")).Verdict, Unsuspected, "another request")
	}
}

// The termination of one server during several copies of a request counts once.
func TestOneServerCountsOnce(t *testing.T) {
	var l Ledger
	for i := range 5 {
		at := time.Duration(i) * time.Second
		assert.Equal(t, l.Blame(at, incarnationOf("s"), blameFor("/a", at)), i == 0)
	}
	assert.Equal(t, l.Judge(5*time.Second, fingerprintOf("/a")).Terminations, 1)
	l.Blame(5*time.Second, fleet.Incarnation{ID: "s", Start: 2}, blameFor("/a", 5*time.Second))
	assert.Equal(t, l.Judge(5*time.Second, fingerprintOf("/a")).Terminations, 2, "the same server after a restart")
}

// A complete answer shows that a request does not terminate the servers that run it, however many
// terminated while it was in flight before.
func TestCompleteAnswerClearsRequest(t *testing.T) {
	var l Ledger
	last := addTerminations(&l, "/a", 4, 0)
	assert.Assert(t, l.Clear(last+time.Second, fingerprintOf("/a")))
	assert.Equal(t, l.Judge(last+time.Second, fingerprintOf("/a")).Verdict, Unsuspected)
	assert.Assert(t, !l.Clear(last+2*time.Second, fingerprintOf("/a")), "no terminations were recorded")
	l.Blame(last+3*time.Second, incarnationOf("late"), blameFor("/a", last))
	assert.Equal(t, l.Judge(last+3*time.Second, fingerprintOf("/a")).Terminations, 0, "the termination was before the clearance")
	addTerminations(&l, "/a", 3, last+4*time.Second)
	assert.Equal(t, l.Judge(last+7*time.Second, fingerprintOf("/a")).Verdict, Quarantined, "terminations after the clearance count")
}

// A network failure that refuses connections looks as if servers had terminated. Once one of them
// answers any host, its termination is withdrawn everywhere, and hosts that have not learned of
// that can't add it again.
func TestTerminationOfServerThatAnswersIsWithdrawn(t *testing.T) {
	var cut, whole Ledger
	last := addTerminations(&cut, "/a", 3, 0)
	cases, _ := cut.ChangesSince(last, 0, 10, ToAllHosts)
	whole.Merge(last, cases)
	assert.Equal(t, len(whole.NoteAlive(terminatedServer("/a", 1), AliveSpan{To: time.Second})), 0, "the call began before the termination")
	assert.DeepEqual(t, whole.NoteAlive(terminatedServer("/a", 1), AliveSpan{To: last + 1}), []Fingerprint{fingerprintOf("/a")})
	assert.Equal(t, whole.Judge(last, fingerprintOf("/a")).Verdict, Suspected)
	assert.Equal(t, len(whole.Merge(last, cases)), 0, "outdated cases")
	assert.Equal(t, whole.Judge(last, fingerprintOf("/a")).Verdict, Suspected)
	update, _ := whole.ChangesSince(last, 0, 10, ToAllHosts)
	cut.Merge(last, update)
	assert.Equal(t, cut.Judge(last, fingerprintOf("/a")).Verdict, Suspected)
	var late Ledger
	late.Merge(last, update)
	assert.Equal(t, late.Judge(last, fingerprintOf("/a")).Terminations, 2, "received both at once")
}

// A quarantine ends by itself. If the request still terminates servers, the first copy afterwards
// costs one server, and the next quarantine is longer.
func TestQuarantineEndsAndGrows(t *testing.T) {
	var l Ledger
	last := addTerminations(&l, "/a", quarantineThreshold, 0)
	for trial, duration := range quarantineDurations {
		judgement := l.Judge(last+duration-1, fingerprintOf("/a"))
		assert.Equal(t, judgement.Verdict, Quarantined, "trial %d", trial)
		assert.Equal(t, judgement.RetryAt, last+duration)
		assert.Equal(t, l.Judge(last+duration, fingerprintOf("/a")).Verdict, Suspected, "trial %d", trial)
		last += duration
		l.Blame(last, incarnationOf(fmt.Sprint("trial", trial)), blameFor("/a", last))
	}
}

// If a request keeps terminating servers beyond the number that is stored, the latest terminations
// are kept: otherwise its quarantine would never start again.
func TestLatestTerminationsAreKept(t *testing.T) {
	var l Ledger
	last := addTerminations(&l, "/a", 3*maxTerminations, 0)
	assert.Equal(t, l.Judge(last, fingerprintOf("/a")).Terminations, maxTerminations)
	assert.Equal(t, l.Judge(last, fingerprintOf("/a")).LastTermination, last)
	assert.Assert(t, !l.Blame(last, incarnationOf("early"), blameFor("/a", 0)), "a termination before all stored ones")
}

// Callers choose what they send. Thousands of requests that once were in flight at a terminated
// server do not evict a quarantined one.
func TestLedgerIsBoundedAndKeepsQuarantinedRequests(t *testing.T) {
	var l Ledger
	addTerminations(&l, "/deadly", quarantineThreshold, 0)
	for i := range 3 * maxCases {
		at := time.Minute + time.Duration(i)
		l.Blame(at, incarnationOf("s"), blameFor(fmt.Sprint("/", i), at))
	}
	assert.Assert(t, len(l.cases) <= maxCases && len(l.cases) >= maxCases-evictionBatch, "%d cases", len(l.cases))
	assert.Equal(t, l.Judge(time.Minute, fingerprintOf("/deadly")).Verdict, Quarantined)
	later := 2*time.Minute + TerminationTTL
	for i := range evictionBatch + 1 {
		l.Blame(later, incarnationOf("s"), blameFor(fmt.Sprint("/later", i), later))
	}
	assert.Assert(t, len(l.cases) <= evictionBatch+1, "expired cases are removed")
}

// Each of three hosts observed one termination, from which none of them can detect the request by
// itself. The collector merges their observations and informs all hosts, also those that start
// later.
func TestCollectorMergesObservationsOfHosts(t *testing.T) {
	var collector, late Ledger
	hosts := make([]Ledger, 3)
	now := time.Minute
	for i := range hosts {
		hosts[i].Blame(now, incarnationOf(fmt.Sprint("s", i)), blameFor("/a", now))
		cases, _ := hosts[i].ChangesSince(now, 0, 10, ToCollector)
		collector.Merge(now, cases)
	}
	cases, upTo := collector.ChangesSince(now, 0, 10, ToAllHosts)
	assert.Equal(t, len(cases), 1)
	for i := range hosts {
		assert.Equal(t, hosts[i].Judge(now, fingerprintOf("/a")).Verdict, Unsuspected)
		hosts[i].Merge(now, cases)
		assert.Equal(t, hosts[i].Judge(now, fingerprintOf("/a")).Verdict, Quarantined)
	}
	again, _ := collector.ChangesSince(now, upTo, 10, ToAllHosts)
	assert.Equal(t, len(again), 0, "sent twice")

	// A host that starts later and whose clock differs reaches the same verdict.
	cases, _ = collector.ChangesSince(now+time.Second, 0, 10, ToAllHosts)
	late.Merge(time.Millisecond, cases)
	assert.Equal(t, late.Judge(time.Millisecond, fingerprintOf("/a")).Verdict, Quarantined)
	assert.Equal(t, late.Judge(time.Millisecond, fingerprintOf("/a")).LastTermination, time.Millisecond-time.Second)
}

// A dozen requests are in flight at a server that terminates. Single terminations are sent to the
// collector only, and without terminations nothing is sent.
func TestSingleTerminationsAreSentToTheCollectorOnly(t *testing.T) {
	var l Ledger
	cases, _ := l.ChangesSince(0, 0, 10, ToCollector)
	assert.Equal(t, len(cases), 0)
	for i := range 12 {
		l.Blame(0, incarnationOf("s"), blameFor(fmt.Sprint("/", i), 0))
	}
	toAll, _ := l.ChangesSince(0, 0, 20, ToAllHosts)
	assert.Equal(t, len(toAll), 0)
	toCollector, upTo := l.ChangesSince(0, 0, 10, ToCollector)
	assert.Equal(t, len(toCollector), 10)
	rest, _ := l.ChangesSince(0, upTo, 10, ToCollector)
	assert.Equal(t, len(rest), 2, "what did not fit into the first message")
}

// A complete answer at one host clears the request at all hosts, and receiving the terminations
// again does not restore them.
func TestClearanceIsExchanged(t *testing.T) {
	var collector, other Ledger
	addTerminations(&collector, "/a", 3, 0)
	outdated, upTo := collector.ChangesSince(3*time.Second, 0, 10, ToAllHosts)
	other.Merge(3*time.Second, outdated)
	assert.Assert(t, collector.Clear(4*time.Second, fingerprintOf("/a")))
	update, _ := collector.ChangesSince(5*time.Second, upTo, 10, ToAllHosts)
	assert.Equal(t, len(other.Merge(5*time.Second, update)), 1)
	assert.Equal(t, other.Judge(5*time.Second, fingerprintOf("/a")).Verdict, Unsuspected)
	assert.Equal(t, len(other.Merge(3*time.Second, outdated)), 0, "outdated cases")
	assert.Equal(t, other.Judge(5*time.Second, fingerprintOf("/a")).Verdict, Unsuspected)
	var unaware Ledger
	assert.Equal(t, len(unaware.Merge(5*time.Second, update)), 0)
	assert.Equal(t, len(unaware.cases), 0, "a clearance without a case is not stored")
}

// Guards against two ledgers that send each other the same clearance forever. A message contains
// ages as of its departure, so its times are later by the transmission time where it arrives, and
// each ledger took the later time for a change.
func TestExchangeOfAClearanceEnds(t *testing.T) {
	var ledgers [2]Ledger
	now := addTerminations(&ledgers[0], "/a", 3, time.Second)
	var received [2]uint64 // last change that the other ledger has received
	exchange := func(from int) int {
		cases, upTo := ledgers[from].ChangesSince(now, received[from], 10, ToCollector)
		received[from] = upTo
		now += 5 * time.Millisecond // transmission time
		ledgers[1-from].Merge(now, cases)
		return len(cases)
	}
	exchange(0)
	assert.Assert(t, ledgers[1].Clear(now, fingerprintOf("/a")))
	for range 4 {
		exchange(1)
		exchange(0)
	}
	assert.Equal(t, exchange(0)+exchange(1), 0)
	assert.Equal(t, ledgers[0].Judge(now, fingerprintOf("/a")).Terminations, 0)
}

// A release by an operator also applies to terminations that a host reports later.
func TestReleaseAppliesToTerminationsReportedLater(t *testing.T) {
	var host, collector Ledger
	last := addTerminations(&host, "/a", 3, 0)
	released, now := last+time.Second, last+time.Minute
	assert.Assert(t, collector.Release(now, released, fingerprintOf("/a")))
	cases, _ := host.ChangesSince(now, 0, 10, ToCollector)
	collector.Merge(now, cases)
	assert.Equal(t, collector.Judge(now, fingerprintOf("/a")).Terminations, 0)
	assert.Assert(t, !collector.Release(now, released, fingerprintOf("/a")), "already released")
}

func TestAnsweredRequestsExpire(t *testing.T) {
	var a RecentlyAnswered
	a.Add(time.Second, fingerprintOf("/a"))
	assert.Assert(t, a.Contains(time.Second+answeredGeneration, fingerprintOf("/a")))
	assert.Assert(t, !a.Contains(time.Second, fingerprintOf("/b")))
	assert.Assert(t, !a.Contains(time.Second+2*answeredGeneration+1, fingerprintOf("/a")))
	var idle RecentlyAnswered
	idle.Add(time.Second, fingerprintOf("/a"))
	assert.Assert(t, !idle.Contains(time.Hour, fingerprintOf("/a")), "no request was recorded in between")
	for i := range 5 * maxGenerationSize {
		a.Add(time.Minute, fingerprintOf(fmt.Sprint("/", i)))
	}
	assert.Assert(t, len(a.current)+len(a.previous) <= 2*maxGenerationSize)
	assert.Assert(t, a.Contains(time.Minute, fingerprintOf(fmt.Sprint("/", 5*maxGenerationSize-1))))
}

// BenchmarkAnswered measures the cost of recording an answered request, including its fingerprint.
func BenchmarkAnswered(b *testing.B) {
	var a RecentlyAnswered
	for i := range b.N {
		request := Identity{Method: "GET", Host: "site.example", Target: fmt.Sprint("/defects/", i%10000)}
		a.Add(time.Duration(i)*time.Millisecond, request.Fingerprint())
	}
}
