package soak

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// buildGateway builds cicada-gateway from this tree and returns its path.
func buildGateway(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "cicada-gateway")
	output, err := exec.Command("go", "build", "-o", program, "cicadarouter/cmd/cicada-gateway").CombinedOutput()
	assert.NilError(t, err, string(output))
	return program
}

// Runs the faults of one seed for a short time. A failure means that a guarantee was
// violated while faults were active, or that not all keys were served again after the last
// fault.
func TestShortSoak(t *testing.T) {
	runShortSoak(t, EvacuationFaults)
}

// Guards against a restarted server that gets the load of a warmed-up one. It came about
// when a server restarted under its ID while the store rejected all calls: the server
// tolerates 40 requests per second, 68 in any one second.
func TestShortSoakWithDeadlyRequests(t *testing.T) {
	runShortSoak(t, DeadlyRequestFaults)
}

func runShortSoak(t *testing.T, series FaultListVersion) {
	t.Helper()
	result, err := Run(context.Background(), Options{Program: buildGateway(t), Dir: t.TempDir(), Seed: 7, FaultList: series, Hosts: 3, Servers: 3, Callers: 6,
		FaultDuration: 5 * time.Second, MeanInterval: 600 * time.Millisecond, Print: func(line string) { t.Log(line) }})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Violations), 0, "%v", result.Violations)
	assert.Assert(t, result.Statuses[200] > 0)
}

// Guards against hosts that keep sending requests known to terminate servers. The copies
// that reach servers are counted over all hosts, under ordinary load.
func TestShortSoakOfDeadlyRequests(t *testing.T) {
	result, err := Run(context.Background(), Options{Program: buildGateway(t), Dir: t.TempDir(), Seed: 3, FaultList: GarbledFaults, Only: deadlyFault, Hosts: 3, Servers: 4, Callers: 6,
		FaultDuration: 3 * time.Second, MeanInterval: time.Second, Print: func(line string) { t.Log(line) }})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Violations), 0, "%v", result.Violations)
	assert.Assert(t, result.TerminatedServers >= 3, "%d servers ended", result.TerminatedServers)
}

// Guards against hosts that together exceed the rate limit that a server announces.
func TestShortSoakOfLimits(t *testing.T) {
	result, err := Run(context.Background(), Options{Program: buildGateway(t), Dir: t.TempDir(), Seed: 5, FaultList: GarbledFaults, Only: limitFault, Hosts: 3, Servers: 4, Callers: 6,
		FaultDuration: time.Second, MeanInterval: time.Second, Print: func(line string) { t.Log(line) }})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Violations), 0, "%v", result.Violations)
}

// Guards against hosts that send to a server after it has announced in responses that it
// is leaving, while the store rejects all calls.
func TestShortSoakOfLeavingServers(t *testing.T) { runFault(t, GarbledFaults, leavingFault, 6) }

// Guards against hosts that send to a server which has asked them to back off.
func TestShortSoakOfBackoff(t *testing.T) { runFault(t, GarbledFaults, backoffFault, 8) }

// Guards against hosts that keep using data which the store lost when it was restored from
// a backup, and so miss what the store acknowledges after the restore.
func TestShortSoakOfStoreRestore(t *testing.T) { runFault(t, GarbledFaults, restoreFault, 4) }

// Guards against callers that are told that a request has not run because a server repeated the
// rejection of its first send.
func TestShortSoakOfRepeatedResponses(t *testing.T) { runFault(t, GarbledFaults, repeatFault, 2) }

// Guards against callers that take a response for complete that its server broke off.
func TestShortSoakOfBrokenOffResponses(t *testing.T) { runFault(t, GarbledFaults, breakOffFault, 2) }

// Guards against hosts that handle requests by a replaced configuration in the first seconds after
// the first start of the system, when they read the store by stale reads.
func TestShortSoakOfFirstStart(t *testing.T) { runFault(t, StartFaults, moveFault, 201) }

// Guards against hosts that trust a controller whose watch of the configuration has gone silent while
// its other calls to the store work.
func TestShortSoakOfSilentStoreConnections(t *testing.T) {
	runFault(t, StartFaults, silenceFault, 301)
}

// Guards against servers that end hosts by responses without end.
func TestShortSoakOfEndlessResponses(t *testing.T) { runFault(t, EndlessFaults, endlessFault, 1) }

// Guards against hosts that wait for a paused host with a list of what the store has dropped from its
// history, and meanwhile handle requests by a replaced configuration.
func TestShortSoakOfPausedSource(t *testing.T) { runFault(t, HistoryFaults, frozenSourceFault, 704) }

// Guards against hosts that wait for a list which a silent store has left unanswered although the store
// is back.
func TestShortSoakOfSilentStore(t *testing.T) {
	result, err := Run(context.Background(), Options{Program: buildGateway(t), Dir: t.TempDir(), Seed: 616, FaultList: HistoryFaults, Only: silentStoreFault, Hosts: 6, Servers: 4, Callers: 12,
		FaultDuration: 24 * time.Second, MeanInterval: 12 * time.Second, Print: func(line string) { t.Log(line) }})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Violations), 0, "%v", result.Violations)
	assert.Assert(t, result.Statuses[200] > 0)
}

// Guards against hosts that keep an outdated configuration after a silence of the store because they wait
// for calls that it has lost, one after the other.
func TestShortSoakOfRepeatedSilence(t *testing.T) {
	result, err := Run(context.Background(), Options{Program: buildGateway(t), Dir: t.TempDir(), Seed: 301, FaultList: HistoryFaults, Only: repeatedSilenceFault + "responses are lost",
		Hosts: 8, Domains: 3, Servers: 8, Callers: 4, Repetitions: 2, FaultDuration: time.Second, MeanInterval: time.Hour, Print: func(line string) { t.Log(line) }})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Violations), 0, "%v", result.Violations)
	assert.Assert(t, result.Statuses[200] > 0)
}

func runFault(t *testing.T, list FaultListVersion, fault string, seed uint64) {
	t.Helper()
	result, err := Run(context.Background(), Options{Program: buildGateway(t), Dir: t.TempDir(), Seed: seed, FaultList: list, Only: fault, Hosts: 3, Servers: 4, Callers: 6,
		FaultDuration: time.Second, MeanInterval: 500 * time.Millisecond, Print: func(line string) { t.Log(line) }})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Violations), 0, "%v", result.Violations)
	assert.Assert(t, result.Statuses[200] > 0)
}

// Guards against a seed that draws different faults when it is run again.
func TestSeedGivesSameFaults(t *testing.T) {
	draw := func() []string {
		var names []string
		drawn := newFaultSource(9, CurrentFaults, "")
		for range 50 {
			kind, length := drawn.next()
			names = append(names, kind.name+length.String())
		}
		return names
	}
	assert.DeepEqual(t, draw(), draw())
}

// Guards against new kinds of faults that change what an older version of the fault list
// draws: a seed that failed could not be replayed.
func TestFaultListVersionsDoNotChange(t *testing.T) {
	drawn := newFaultSource(2651125409, InitialFaults, "")
	var names []string
	for range 4 {
		kind, _ := drawn.next()
		names = append(names, kind.name)
	}
	assert.DeepEqual(t, names, []string{"a server leaves grants unanswered", "a host is killed", "a server leaves", "the configuration changes"})
}

// startEchoServer starts a TCP echo server on a free port and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// Data that a cut holds back is delivered when the cut ends, and a reset closes connections.
func TestProxy(t *testing.T) {
	proxy, err := NewProxy(startEchoServer(t))
	assert.NilError(t, err)
	defer proxy.Close()
	conn, err := net.Dial("tcp", proxy.Address())
	assert.NilError(t, err)
	defer conn.Close()
	responses := make(chan []byte, 1)
	read := func() {
		got := make([]byte, 2)
		if _, err := io.ReadFull(conn, got); err != nil {
			got = nil
		}
		responses <- got
	}
	_, err = conn.Write([]byte("ab"))
	assert.NilError(t, err)
	read()
	assert.Assert(t, bytes.Equal(<-responses, []byte("ab")))

	proxy.SetCondition(LinkCondition{CutFrom: true})
	_, err = conn.Write([]byte("cd"))
	assert.NilError(t, err)
	go read()
	assert.Equal(t, len(responses), 0)
	proxy.SetCondition(LinkCondition{})
	assert.Assert(t, bytes.Equal(<-responses, []byte("cd")))

	proxy.Reset()
	read()
	assert.Assert(t, <-responses == nil)
}

// Data that a cut holds back is lost if its sender resets the connection. A proxy that
// delivered it let a grant arrive whose sender had abandoned the call.
func TestProxyDropsDataAfterReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	proxy, err := NewProxy(listener.Addr().String())
	assert.NilError(t, err)
	defer proxy.Close()
	conn, err := net.Dial("tcp", proxy.Address())
	assert.NilError(t, err)
	target, err := listener.Accept()
	assert.NilError(t, err)
	defer target.Close()
	proxy.SetCondition(LinkCondition{CutTo: true})
	_, err = conn.Write([]byte("late"))
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, conn.Close())
	// The proxy closes both sides after the reset, so reading ends without any data.
	got, _ := io.ReadAll(target)
	assert.Equal(t, string(got), "")
}

// A connection on which data was lost passes nothing on any more, and others do.
func TestProxyLosesData(t *testing.T) {
	proxy, err := NewProxy(startEchoServer(t))
	assert.NilError(t, err)
	defer proxy.Close()
	echoesWithin := func(conn net.Conn, within time.Duration) bool {
		_, err := conn.Write([]byte("ab"))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(within)))
		_, err = io.ReadFull(conn, make([]byte, 2))
		return err == nil
	}
	echoes := func(conn net.Conn) bool { return echoesWithin(conn, 10*time.Second) }
	isSilent := func(conn net.Conn) bool { return !echoesWithin(conn, 100*time.Millisecond) }
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", proxy.Address())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	losing, idle := dial(), dial()
	assert.Assert(t, echoes(losing) && echoes(idle))
	proxy.SetCondition(LinkCondition{Lost: true})
	assert.Assert(t, isSilent(losing))
	proxy.SetCondition(LinkCondition{})
	assert.Assert(t, isSilent(losing), "a connection on which data was lost")
	assert.Assert(t, echoes(idle))
	proxy.SilenceAll()
	assert.Assert(t, isSilent(idle))
	assert.Assert(t, echoes(dial()))
}

// Connections are not opened while a proxy does not accept them, and are opened again after that.
func TestProxyStopsAccepting(t *testing.T) {
	proxy, err := NewProxy(startEchoServer(t))
	assert.NilError(t, err)
	defer proxy.Close()
	assert.NilError(t, proxy.StopAccepting())
	_, err = net.DialTimeout("tcp", proxy.Address(), 100*time.Millisecond)
	assert.ErrorContains(t, err, "timeout")
	proxy.ResumeAccepting()
	conn, err := net.DialTimeout("tcp", proxy.Address(), 5*time.Second)
	assert.NilError(t, err)
	_ = conn.Close()
}

// A route that two moves lead back to the same service shows nothing; the newest version's route does. Guards
// against a check that takes a host for up to date because of the first.
func TestProbesShowMissingVersions(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	versions := []version{
		{number: 1, sent: at(0), at: at(0), turnService: "pages"},
		{number: 2, sent: at(10), at: at(10), turnService: "units"},
		{number: 3, sent: at(11), at: at(11), turnService: "pages"},
	}
	for name, test := range map[string]struct {
		probe   probe
		ranBy   []string
		missing int // 0: none
	}{
		"route that moved back":           {probe{status: http.StatusOK}, []string{"pages"}, 0},
		"route of the newest version":     {probe{version: 3, status: http.StatusNotFound}, nil, 3},
		"newest version is in force":      {probe{version: 3, status: http.StatusOK}, []string{"pages"}, 0},
		"route of a replaced version":     {probe{version: 1, status: http.StatusOK}, []string{"pages"}, 2},
		"route of a version that is gone": {probe{version: 2, status: http.StatusNotFound}, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			test.probe.sent, test.probe.answered = at(12), at(12)
			missing, found := test.probe.firstMissing(versions, test.ranBy)
			assert.Equal(t, missing.number, test.missing)
			assert.Equal(t, found, test.missing > 0)
		})
	}
}
